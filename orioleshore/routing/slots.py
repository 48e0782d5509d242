"""Leases of upstream slots, shared by the entry hosts.

One entry host, chosen by rendezvous hashing, owns the slots of an upstream
and leases them to all entry hosts, itself included. ``SlotOwner`` grants
the leases; ``SlotHolder`` requests, uses and returns them.
"""

import hashlib

import msgspec

from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.routing import events

LEASE_S = 2.0
# The previous owner is notified of a joining one within this time. Until then
# it may grant leases of which the new owner has no record.
JOIN_PROPAGATION_S = 2.0
# Interval at which holders renew their leases and report slots in use.
RENEW_INTERVAL_S = 0.5
# An unanswered slot request is repeated after this time.
REQUEST_TIMEOUT_S = 0.5
# A holder that was granted too few slots repeats its request after this time.
SHORTFALL_RETRY_S = 0.1
# Unused slots are returned after this time. Keeping them this long saves a
# round trip per request while requests arrive in quick succession.
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
    expires_at: float


class _HolderRecord(msgspec.Struct):
    """The owner's record of one holder.

    ``in_use`` is counted until the holder reports fewer slots or is gone,
    because running attempts continue after their lease has expired.
    """

    wanted: int = 0
    in_use: int = 0
    last_request_at: float = 0.0
    grants: list[_Grant] = []

    def get_occupied(self, now: float) -> int:
        self.grants = [
            grant for grant in self.grants if now < grant.expires_at
        ]
        granted = max((grant.granted for grant in self.grants), default=0)
        return max(granted, self.in_use)


class _UpstreamRecord(msgspec.Struct):
    """The owner's record of the slots of one upstream."""

    holders: dict[ids.NodeId, _HolderRecord] = {}
    # Slot requests to be answered when a slot becomes free.
    waiting: dict[ids.NodeId, events.SlotsRequested] = {}


class _PastMembership(msgspec.Struct, frozen=True):
    """The set of live entry hosts that was in effect until ``ended_at``."""

    ended_at: float
    nodes: tuple[ids.NodeId, ...]


class SlotOwner:
    """Grants slots of the upstreams that this entry host owns."""

    def __init__(self) -> None:
        self._own_node = ids.NodeId('')
        self._nodes: tuple[ids.NodeId, ...] = ()
        self._past_memberships: list[_PastMembership] = []
        self._grants_start_at = 0.0
        self._upstream_records: dict[ids.UpstreamId, _UpstreamRecord] = {}
        self._next_lease = 1

    def set_nodes(
        self, own_node: ids.NodeId, nodes: tuple[ids.NodeId, ...], now: float
    ) -> None:
        """Set the live entry hosts; owners may change."""
        if not self._nodes:
            # Previous owners may not have been notified of this host yet.
            self._grants_start_at = now + LEASE_S + JOIN_PROPAGATION_S
        else:
            self._past_memberships.append(_PastMembership(now, self._nodes))
        self._own_node = own_node
        self._nodes = nodes
        for upstream, upstream_record in list(self._upstream_records.items()):
            if not self.is_own(upstream):
                del self._upstream_records[upstream]
                continue
            for node, record in upstream_record.holders.items():
                if node not in nodes:
                    record.in_use = 0
                    record.wanted = 0
                    upstream_record.waiting.pop(node, None)

    def is_own(self, upstream: ids.UpstreamId) -> bool:
        """Return whether this entry host owns the slots of an upstream."""
        return choose_owner(upstream, self._nodes) == self._own_node

    def handle_request(
        self,
        event: events.SlotsRequested,
        upstream: announcements.Upstream | None,
        now: float,
    ) -> list[events.GrantSlots]:
        """Answer a slot request, at once or when a slot becomes free."""
        if upstream is None or not self.is_own(event.upstream):
            return [self._make_grant(event, 0)]
        upstream_record = self._upstream_records.setdefault(
            event.upstream, _UpstreamRecord()
        )
        record = upstream_record.holders.setdefault(
            event.node, _HolderRecord()
        )
        record.wanted = event.wanted
        record.in_use = event.held
        record.last_request_at = now
        for grant in record.grants:
            grant.granted = min(grant.granted, event.wanted)
        upstream_record.waiting[event.node] = event
        return self.grant_waiting(upstream, now)

    def grant_waiting(
        self, upstream: announcements.Upstream, now: float
    ) -> list[events.GrantSlots]:
        """Answer the waiting slot requests for an upstream."""
        upstream_record = self._upstream_records.get(upstream.address)
        if upstream_record is None:
            return []
        actions: list[events.GrantSlots] = []
        for node, event in list(upstream_record.waiting.items()):
            granted = 0
            if now >= self._get_grant_start(upstream.address, now):
                granted = self._compute_grant(
                    upstream_record, event, upstream.slots, now
                )
            if not granted and event.wanted:
                continue
            del upstream_record.waiting[node]
            action = self._make_grant(event, granted)
            if granted:
                upstream_record.holders[node].grants.append(
                    _Grant(action.lease, granted, now + LEASE_S)
                )
            actions.append(action)
        return actions

    def handle_return(self, event: events.SlotsReturned) -> None:
        """Process returned slots; ignore a return under an older lease.

        A return names the newest lease that the holder has received, so
        earlier leases are no longer in use.
        """
        upstream_record = self._upstream_records.get(event.upstream)
        if (
            upstream_record is None
            or event.node not in upstream_record.holders
        ):
            return
        record = upstream_record.holders[event.node]
        if not record.grants or record.grants[-1].lease != event.lease:
            return
        newest = record.grants[-1]
        newest.granted = max(0, newest.granted - event.returned)
        record.grants = [newest]
        record.in_use = min(record.in_use, newest.granted)

    def remove_upstream(self, upstream: ids.UpstreamId) -> None:
        """Remove an upstream that is gone."""
        self._upstream_records.pop(upstream, None)

    def get_upstreams_with_waiting(self) -> list[ids.UpstreamId]:
        """Return the upstreams that have waiting slot requests."""
        return [
            upstream
            for upstream, upstream_record in self._upstream_records.items()
            if upstream_record.waiting
        ]

    def get_dump(self, now: float) -> dict[str, dict[str, int]]:
        """Return the slots in use, by upstream and holder."""
        return {
            upstream: {
                node: record.get_occupied(now)
                for node, record in sorted(upstream_record.holders.items())
            }
            for upstream, upstream_record in sorted(
                self._upstream_records.items()
            )
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
            event.incarnation,
        )

    def _compute_grant(
        self,
        upstream_record: _UpstreamRecord,
        event: events.SlotsRequested,
        slots: int,
        now: float,
    ) -> int:
        others = sum(
            other.get_occupied(now)
            for node, other in upstream_record.holders.items()
            if node != event.node
        )
        free = max(0, slots - others)
        share = _get_fair_share(upstream_record, event.node, slots, now)
        return min(event.wanted, free, share)

    def _get_grant_start(self, upstream: ids.UpstreamId, now: float) -> float:
        """Return when all leases of previous owners have expired."""
        self._past_memberships = [
            membership
            for membership in self._past_memberships
            if now < membership.ended_at + LEASE_S
        ]
        ends = [
            membership.ended_at + LEASE_S
            for membership in self._past_memberships
            if choose_owner(upstream, membership.nodes) != self._own_node
        ]
        return max([self._grants_start_at, *ends])


def _get_fair_share(
    upstream_record: _UpstreamRecord, node: ids.NodeId, slots: int, now: float
) -> int:
    """Return the max-min fair share of a holder among those with requests.

    Holders with equal requests are served in an order that changes every
    ``LEASE_S``, so that each gets its turn when slots are scarce.
    """
    lease_round = f'{int(now / LEASE_S)}'
    requesting = sorted(
        (record.wanted, _hash(name, lease_round), name)
        for name, record in upstream_record.holders.items()
        if record.wanted and now - record.last_request_at < LEASE_S
    )
    remaining = slots
    for position, (wanted, _, name) in enumerate(requesting):
        share = min(wanted, remaining // (len(requesting) - position))
        if name == node:
            return share
        remaining -= share
    return 0


class _Lease(msgspec.Struct):
    """A holder's state of its slots at one upstream.

    ``token`` is the slot request that is not answered yet. While
    ``is_shrinking``, more attempts run than the newest grant allows.
    """

    owner: ids.NodeId = ids.NodeId('')
    lease: int = 0
    granted: int = 0
    expires_at: float = 0.0
    in_flight: int = 0
    token: int | None = None
    requested_at: float = -1.0e9
    requested: int = 0
    reported_in_flight: int = 0
    next_request_at: float = 0.0
    last_used_at: float = 0.0
    is_shrinking: bool = False

    def get_free(self, now: float) -> int:
        if now >= self.expires_at:
            return 0
        return max(0, self.granted - self.in_flight)


class SlotHolder:
    """Holds slot leases; no attempt may start without one."""

    def __init__(self) -> None:
        self._own_node = ids.NodeId('')
        self._nodes: tuple[ids.NodeId, ...] = ()
        self._leases: dict[ids.UpstreamId, _Lease] = {}
        self._next_token = 1

    def set_nodes(
        self, own_node: ids.NodeId, nodes: tuple[ids.NodeId, ...], now: float
    ) -> list[events.Action]:
        """Set the live entry hosts, and report slots in use to new owners."""
        previous_nodes = self._nodes
        self._own_node = own_node
        self._nodes = nodes
        actions: list[events.Action] = []
        for upstream, lease in self._leases.items():
            if choose_owner(upstream, previous_nodes) != choose_owner(
                upstream, nodes
            ):
                actions += self._start_slot_request(
                    upstream, lease, lease.in_flight, now
                )
        return actions

    def get_in_flight(self, upstream: ids.UpstreamId) -> int:
        """Return the number of running attempts of this entry host."""
        lease = self._leases.get(upstream)
        return 0 if lease is None else lease.in_flight

    def get_free(self, upstream: ids.UpstreamId, now: float) -> int:
        """Return how many attempts may start now."""
        lease = self._leases.get(upstream)
        return 0 if lease is None else lease.get_free(now)

    def use_slot(self, upstream: ids.UpstreamId, now: float) -> None:
        """Use a slot for an attempt."""
        lease = self._leases[upstream]
        lease.in_flight += 1
        lease.last_used_at = now

    def release_slot(
        self, upstream: ids.UpstreamId, now: float
    ) -> list[events.Action]:
        """Free the slot of an attempt that ended."""
        lease = self._leases.get(upstream)
        if lease is None:
            return []
        lease.in_flight = max(0, lease.in_flight - 1)
        lease.last_used_at = now
        if not lease.is_shrinking or lease.in_flight > lease.granted:
            return []
        lease.is_shrinking = False
        return [self._make_return(upstream, lease)]

    def request_slots(
        self,
        upstreams: list[announcements.Upstream],
        queued: int,
        now: float,
    ) -> list[events.Action]:
        """Request slots for queued requests, spread over the upstreams."""
        candidates = []
        for upstream in upstreams:
            lease = self._leases.setdefault(upstream.address, _Lease())
            queued -= lease.get_free(now)
            if self._is_awaiting_grant(lease, now):
                queued -= max(0, lease.requested - lease.granted)
                continue
            if (
                lease.in_flight < upstream.slots
                and now >= lease.next_request_at
            ):
                candidates.append((upstream, lease))
        actions: list[events.Action] = []
        for position, (upstream, lease) in enumerate(candidates):
            if queued <= 0:
                break
            share = -(-queued // (len(candidates) - position))
            share = min(share, upstream.slots - lease.in_flight)
            queued -= share
            actions += self._start_slot_request(
                upstream.address, lease, lease.in_flight + share, now
            )
        return actions

    def apply_grant(
        self, event: events.SlotsGranted, now: float
    ) -> list[events.Action]:
        """Apply the answer to the newest slot request."""
        lease = self._leases.get(event.upstream)
        if lease is None or lease.token != event.token:
            return []
        lease.token = None
        if event.granted < lease.requested:
            lease.next_request_at = now + SHORTFALL_RETRY_S
        if not event.granted and event.node != lease.owner:
            # A new owner grants nothing until earlier leases have expired.
            return []
        is_reduced = event.granted < lease.granted and now < lease.expires_at
        lease.owner = event.node
        lease.lease = event.lease
        lease.granted = event.granted
        # Counted from the request, so that it expires before the grant
        # does at the owner.
        lease.expires_at = lease.requested_at + event.lease_s
        lease.last_used_at = now
        if not is_reduced:
            return []
        if lease.in_flight > lease.granted:
            lease.is_shrinking = True
            return []
        return [self._make_return(event.upstream, lease)]

    def update_leases(
        self, queued: dict[ids.UpstreamId, int], now: float
    ) -> list[events.Action]:
        """Renew leases in use, and return idle slots.

        ``queued`` is the number of slots that queued requests could use at
        each upstream, besides those in flight.
        """
        actions: list[events.Action] = []
        for upstream, lease in self._leases.items():
            additional = queued.get(upstream, 0)
            is_idle = (
                not additional and now - lease.last_used_at >= IDLE_HOLD_S
            )
            surplus = lease.granted - lease.in_flight
            if is_idle and surplus > 0 and now < lease.expires_at:
                actions += self._start_slot_request(
                    upstream, lease, lease.in_flight, now
                )
            elif now - lease.requested_at < RENEW_INTERVAL_S:
                continue
            elif (
                lease.in_flight
                or lease.get_free(now)
                or (lease.token is not None or lease.reported_in_flight)
            ):
                wanted = lease.in_flight + max(additional, lease.get_free(now))
                actions += self._start_slot_request(
                    upstream, lease, wanted, now
                )
        return actions

    def remove_upstream(self, upstream: ids.UpstreamId) -> None:
        """Remove an upstream that is gone."""
        lease = self._leases.get(upstream)
        if lease is not None and not lease.in_flight:
            del self._leases[upstream]

    def get_dump(self) -> dict[str, dict[str, int]]:
        """Return the leased slots and running attempts, by upstream."""
        return {
            upstream: {
                'granted': lease.granted,
                'in_flight': lease.in_flight,
            }
            for upstream, lease in sorted(self._leases.items())
        }

    def _is_awaiting_grant(self, lease: _Lease, now: float) -> bool:
        return (
            lease.token is not None
            and now - lease.requested_at < REQUEST_TIMEOUT_S
        )

    def _start_slot_request(
        self,
        upstream: ids.UpstreamId,
        lease: _Lease,
        wanted: int,
        now: float,
    ) -> list[events.Action]:
        owner = choose_owner(upstream, self._nodes)
        if owner is None:
            return []
        # The owner reduces earlier grants to the wanted slots.
        lease.granted = min(lease.granted, wanted)
        lease.token = self._next_token
        lease.requested_at = now
        lease.requested = wanted
        lease.reported_in_flight = lease.in_flight
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
