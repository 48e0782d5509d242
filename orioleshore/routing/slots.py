"""Sharing of each upstream's slots between the entry hosts.

One entry host owns the slots of an upstream and leases them to the others.
``SlotOwner`` decides on the owner's side, ``SlotHolder`` on the side of
those that hold leases. An owner also holds leases of its own.
"""

import hashlib

import msgspec

from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.routing import events

LEASE_S = 2.0
# News of a joining owner reach the one before within this time; until
# then the earlier owner may grant leases that the new one does not know.
JOIN_NOTICE_S = 2.0
# Holders renew and report this often.
RENEW_S = 0.5
# A request for slots that got no answer is repeated after this time.
ANSWER_TIMEOUT_S = 0.5
# A holder that got less than it wanted asks again after this time.
ASK_AGAIN_S = 0.1
# Unused slots go back after this time, which spares a round trip per
# request while requests come close together.
IDLE_HOLD_S = 0.1


def choose_owner(
    upstream: ids.UpstreamId, nodes: tuple[ids.NodeId, ...]
) -> ids.NodeId | None:
    """Return the node with the highest rendezvous hash."""
    return max(nodes, key=lambda node: _hash(node, upstream), default=None)


def _hash(node: ids.NodeId, upstream: ids.UpstreamId) -> bytes:
    text = f'{node}\0{upstream}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class _Grant(msgspec.Struct):
    lease: int
    granted: int
    until: float


class _Borrower(msgspec.Struct):
    """What the owner knows about one holder.

    ``in_use`` counts until the holder reports less or is gone, because
    attempts run on when a lease ends.
    """

    wanted: int = 0
    in_use: int = 0
    heard_at: float = 0.0
    grants: list[_Grant] = []

    def get_occupied(self, now: float) -> int:
        self.grants = [grant for grant in self.grants if now < grant.until]
        granted = max((grant.granted for grant in self.grants), default=0)
        return max(granted, self.in_use)


class _Ledger(msgspec.Struct):
    borrowers: dict[ids.NodeId, _Borrower] = {}
    # Requests that are answered once a slot is free.
    waiting: dict[ids.NodeId, events.SlotsRequested] = {}


class _View(msgspec.Struct, frozen=True):
    """The entry hosts that were considered alive until ``ended``."""

    ended: float
    nodes: tuple[ids.NodeId, ...]


class SlotOwner:
    """Grants slots of the upstreams that this entry host owns."""

    def __init__(self) -> None:
        self._own = ids.NodeId('')
        self._nodes: tuple[ids.NodeId, ...] = ()
        self._views: list[_View] = []
        self._granting_from = 0.0
        self._ledgers: dict[ids.UpstreamId, _Ledger] = {}
        self._next_lease = 1

    def set_nodes(
        self, own: ids.NodeId, nodes: tuple[ids.NodeId, ...], now: float
    ) -> None:
        """Take the live entry hosts; owners may change."""
        if not self._nodes:
            # Earlier owners may not have heard of this one yet.
            self._granting_from = now + LEASE_S + JOIN_NOTICE_S
        else:
            self._views.append(_View(now, self._nodes))
        self._own = own
        self._nodes = nodes
        for upstream, ledger in list(self._ledgers.items()):
            if not self.is_own(upstream):
                del self._ledgers[upstream]
                continue
            for node, borrower in ledger.borrowers.items():
                if node not in nodes:
                    borrower.in_use = 0
                    borrower.wanted = 0
                    ledger.waiting.pop(node, None)

    def is_own(self, upstream: ids.UpstreamId) -> bool:
        """Return whether this entry host owns the slots of an upstream."""
        return choose_owner(upstream, self._nodes) == self._own

    def request(
        self,
        event: events.SlotsRequested,
        upstream: announcements.Upstream | None,
        now: float,
    ) -> list[events.GrantSlots]:
        """Answer a holder, at once or when a slot becomes free."""
        if upstream is None or not self.is_own(event.upstream):
            return [self._make_grant(event, 0)]
        ledger = self._ledgers.setdefault(event.upstream, _Ledger())
        borrower = ledger.borrowers.setdefault(event.node, _Borrower())
        borrower.wanted = event.wanted
        borrower.in_use = event.held
        borrower.heard_at = now
        for grant in borrower.grants:
            grant.granted = min(grant.granted, event.wanted)
        ledger.waiting[event.node] = event
        return self.grant(upstream, now)

    def grant(
        self, upstream: announcements.Upstream, now: float
    ) -> list[events.GrantSlots]:
        """Answer the requests that wait for slots of an upstream."""
        ledger = self._ledgers.get(upstream.address)
        if ledger is None:
            return []
        actions: list[events.GrantSlots] = []
        for node, event in list(ledger.waiting.items()):
            granted = 0
            if now >= self._get_owned_from(upstream.address, now):
                granted = self._decide(ledger, event, upstream.slots, now)
            if not granted and event.wanted:
                continue
            del ledger.waiting[node]
            action = self._make_grant(event, granted)
            if granted:
                ledger.borrowers[node].grants.append(
                    _Grant(action.lease, granted, now + LEASE_S)
                )
            actions.append(action)
        return actions

    def take_back(self, event: events.SlotsReturned) -> None:
        """Take slots back; news about an older lease are ignored.

        A return names the newest lease that its holder knows, so earlier
        ones are no longer in use.
        """
        ledger = self._ledgers.get(event.upstream)
        if ledger is None or event.node not in ledger.borrowers:
            return
        borrower = ledger.borrowers[event.node]
        if not borrower.grants or borrower.grants[-1].lease != event.lease:
            return
        newest = borrower.grants[-1]
        newest.granted = max(0, newest.granted - event.returned)
        borrower.grants = [newest]
        borrower.in_use = min(borrower.in_use, newest.granted)

    def remove(self, upstream: ids.UpstreamId) -> None:
        """Forget an upstream that is gone."""
        self._ledgers.pop(upstream, None)

    def get_owned(self) -> list[ids.UpstreamId]:
        """Return the upstreams for which requests wait."""
        return [
            upstream
            for upstream, ledger in self._ledgers.items()
            if ledger.waiting
        ]

    def get_dump(self, now: float) -> dict[str, dict[str, int]]:
        """Return the slots in use, by upstream and holder."""
        return {
            upstream: {
                node: borrower.get_occupied(now)
                for node, borrower in sorted(ledger.borrowers.items())
            }
            for upstream, ledger in sorted(self._ledgers.items())
        }

    def _make_grant(
        self, event: events.SlotsRequested, granted: int
    ) -> events.GrantSlots:
        self._next_lease += 1
        return events.GrantSlots(
            event.node,
            event.upstream,
            granted,
            LEASE_S,
            self._next_lease,
            event.token,
        )

    def _decide(
        self,
        ledger: _Ledger,
        event: events.SlotsRequested,
        slots: int,
        now: float,
    ) -> int:
        others = sum(
            other.get_occupied(now)
            for node, other in ledger.borrowers.items()
            if node != event.node
        )
        free = max(0, slots - others)
        share = _get_share(ledger, event.node, slots, now)
        return min(event.wanted, free, share)

    def _get_owned_from(self, upstream: ids.UpstreamId, now: float) -> float:
        """Return when the leases of an earlier owner have ended."""
        self._views = [
            view for view in self._views if now < view.ended + LEASE_S
        ]
        ends = [
            view.ended + LEASE_S
            for view in self._views
            if choose_owner(upstream, view.nodes) != self._own
        ]
        return max([self._granting_from, *ends])


def _get_share(
    ledger: _Ledger, node: ids.NodeId, slots: int, now: float
) -> int:
    """Return the max-min fair share of a holder among those that ask.

    With fewer slots than holders, their order changes with every lease.
    """
    turn = f'{int(now / LEASE_S)}'
    wanting = sorted(
        (borrower.wanted, _hash(name, turn), name)
        for name, borrower in ledger.borrowers.items()
        if borrower.wanted and now - borrower.heard_at < LEASE_S
    )
    left = slots
    for position, (wanted, _, name) in enumerate(wanting):
        share = min(wanted, left // (len(wanting) - position))
        if name == node:
            return share
        left -= share
    return 0


class _Lease(msgspec.Struct):
    """What a holder knows about its slots at one upstream."""

    owner: ids.NodeId = ids.NodeId('')
    lease: int = 0
    granted: int = 0
    until: float = 0.0
    in_flight: int = 0
    token: int | None = None
    asked_at: float = -1.0e9
    asked: int = 0
    reported: int = 0
    ask_from: float = 0.0
    used_at: float = 0.0
    shrinking: bool = False

    def get_free(self, now: float) -> int:
        if now >= self.until:
            return 0
        return max(0, self.granted - self.in_flight)


class SlotHolder:
    """Holds leases of slots; without one, nothing may be sent."""

    def __init__(self) -> None:
        self._own = ids.NodeId('')
        self._nodes: tuple[ids.NodeId, ...] = ()
        self._leases: dict[ids.UpstreamId, _Lease] = {}
        self._next_token = 1

    def set_nodes(
        self, own: ids.NodeId, nodes: tuple[ids.NodeId, ...], now: float
    ) -> list[events.Action]:
        """Take the live entry hosts, and report to new owners."""
        before = self._nodes
        self._own = own
        self._nodes = nodes
        actions: list[events.Action] = []
        for upstream, lease in self._leases.items():
            if choose_owner(upstream, before) != choose_owner(upstream, nodes):
                actions += self._ask(upstream, lease, lease.in_flight, now)
        return actions

    def get_in_flight(self, upstream: ids.UpstreamId) -> int:
        """Return the number of attempts of this entry host."""
        lease = self._leases.get(upstream)
        return 0 if lease is None else lease.in_flight

    def get_free(self, upstream: ids.UpstreamId, now: float) -> int:
        """Return how many attempts may start now."""
        lease = self._leases.get(upstream)
        return 0 if lease is None else lease.get_free(now)

    def take(self, upstream: ids.UpstreamId, now: float) -> None:
        """Use a slot for an attempt."""
        lease = self._leases[upstream]
        lease.in_flight += 1
        lease.used_at = now

    def release(
        self, upstream: ids.UpstreamId, now: float
    ) -> list[events.Action]:
        """Note the end of an attempt."""
        lease = self._leases.get(upstream)
        if lease is None:
            return []
        lease.in_flight = max(0, lease.in_flight - 1)
        lease.used_at = now
        if not lease.shrinking or lease.in_flight > lease.granted:
            return []
        lease.shrinking = False
        return [self._make_return(upstream, lease)]

    def want(
        self,
        upstreams: list[announcements.Upstream],
        queued: int,
        now: float,
    ) -> list[events.Action]:
        """Ask for slots for queued requests, spread over upstreams."""
        candidates = []
        for upstream in upstreams:
            lease = self._leases.setdefault(upstream.address, _Lease())
            queued -= lease.get_free(now)
            if self._is_waiting(lease, now):
                queued -= max(0, lease.asked - lease.granted)
                continue
            if lease.in_flight < upstream.slots and now >= lease.ask_from:
                candidates.append((upstream, lease))
        actions: list[events.Action] = []
        for position, (upstream, lease) in enumerate(candidates):
            if queued <= 0:
                break
            part = -(-queued // (len(candidates) - position))
            part = min(part, upstream.slots - lease.in_flight)
            queued -= part
            actions += self._ask(
                upstream.address, lease, lease.in_flight + part, now
            )
        return actions

    def grant(
        self, event: events.SlotsGranted, now: float
    ) -> list[events.Action]:
        """Take the answer to the newest request for slots."""
        lease = self._leases.get(event.upstream)
        if lease is None or lease.token != event.token:
            return []
        lease.token = None
        if event.granted < lease.asked:
            lease.ask_from = now + ASK_AGAIN_S
        if not event.granted and event.node != lease.owner:
            # A new owner refuses while leases of the one before run.
            return []
        is_less = event.granted < lease.granted and now < lease.until
        lease.owner = event.node
        lease.lease = event.lease
        lease.granted = event.granted
        # From the moment of asking, so that it ends before the owner's.
        lease.until = lease.asked_at + event.lease_s
        lease.used_at = now
        if not is_less:
            return []
        if lease.in_flight > lease.granted:
            lease.shrinking = True
            return []
        return [self._make_return(event.upstream, lease)]

    def check(
        self, queued: dict[ids.UpstreamId, int], now: float
    ) -> list[events.Action]:
        """Renew leases in use, and give back those that are not.

        ``queued`` holds the slots that each upstream could use besides
        those in flight.
        """
        actions: list[events.Action] = []
        for upstream, lease in self._leases.items():
            more = queued.get(upstream, 0)
            is_idle = not more and now - lease.used_at >= IDLE_HOLD_S
            surplus = lease.granted - lease.in_flight
            if is_idle and surplus > 0 and now < lease.until:
                actions += self._ask(upstream, lease, lease.in_flight, now)
            elif now - lease.asked_at < RENEW_S:
                continue
            elif (
                lease.in_flight
                or lease.get_free(now)
                or (lease.token is not None or lease.reported)
            ):
                wanted = lease.in_flight + max(more, lease.get_free(now))
                actions += self._ask(upstream, lease, wanted, now)
        return actions

    def remove(self, upstream: ids.UpstreamId) -> None:
        """Forget an upstream that is gone."""
        lease = self._leases.get(upstream)
        if lease is not None and not lease.in_flight:
            del self._leases[upstream]

    def get_dump(self) -> dict[str, dict[str, int]]:
        """Return the leased slots and attempts, by upstream."""
        return {
            upstream: {
                'granted': lease.granted,
                'in_flight': lease.in_flight,
            }
            for upstream, lease in sorted(self._leases.items())
        }

    def _is_waiting(self, lease: _Lease, now: float) -> bool:
        return (
            lease.token is not None and now - lease.asked_at < ANSWER_TIMEOUT_S
        )

    def _ask(
        self,
        upstream: ids.UpstreamId,
        lease: _Lease,
        wanted: int,
        now: float,
    ) -> list[events.Action]:
        owner = choose_owner(upstream, self._nodes)
        if owner is None:
            return []
        # The owner forgets what it granted beyond the wanted slots.
        lease.granted = min(lease.granted, wanted)
        lease.token = self._next_token
        lease.asked_at = now
        lease.asked = wanted
        lease.reported = lease.in_flight
        self._next_token += 1
        return [
            events.RequestSlots(
                owner, upstream, wanted, lease.in_flight, lease.token
            )
        ]

    def _make_return(
        self, upstream: ids.UpstreamId, lease: _Lease
    ) -> events.Action:
        return events.ReturnSlots(lease.owner, upstream, 0, lease.lease)
