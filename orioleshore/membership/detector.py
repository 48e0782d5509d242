"""Decisions of the failure detector, in the manner of SWIM."""

from collections.abc import Callable
import functools
import random
from typing import Any

import msgspec

from orioleshore.membership import events
from orioleshore.membership import probes
from orioleshore.membership import rumours
from orioleshore.membership import table
from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states

INDIRECT_PROBES = 3
SUSPICION_PERIODS = 5
# Random peers added to each message repair what lost rumours left out.
FILLERS = 2
# Processes that a leaving one tells; they spread it further.
LEAVE_FANOUT = 10
# A longer gap between two periods means that this process was paused.
PAUSE_PERIODS = 2.0
# Periods between two reports of another process with the same name.
CONFLICT_PERIODS = 60
# Requests of others that wait for an answer.
MAX_RELAYS = 1_024


class Relay(msgspec.Struct, frozen=True):
    """A probe that was sent for another process."""

    address: str
    sequence: int
    subject: ids.NodeId


class Detector:
    """Probes one known process in each period.

    ``probe_timeout_s`` is the time of a direct probe; what is left of the
    period is that of the indirect ones.
    """

    def __init__(
        self,
        own: announcements.Peer,
        seeds: tuple[str, ...],
        period_s: float,
        probe_timeout_s: float,
        get_size: Callable[[announcements.Peer], int],
        generator: random.Random,
    ) -> None:
        self._own = own
        self._seeds = frozenset(seeds)
        self._period_s = period_s
        self._probe_timeout_s = probe_timeout_s
        self._random = generator
        self._table = table.PeerTable()
        self._rumours = rumours.RumourQueue(get_size)
        self._order = probes.Order(generator)
        self._results = probes.Results()
        self._round: probes.Round | None = None
        self._relays: dict[int, Relay] = {}
        self._broken_paths: set[ids.NodeId] = set()
        self._sequence = 0
        self._period = 0
        self._period_began: float | None = None
        self._isolated = False
        self._next_conflict = 0

    @property
    def own(self) -> announcements.Peer:
        return self._own

    @property
    def peers(self) -> dict[ids.NodeId, announcements.Peer]:
        return dict(self._table.peers)

    @property
    def isolated(self) -> bool:
        return self._isolated

    @property
    def broken_paths(self) -> frozenset[ids.NodeId]:
        return frozenset(self._broken_paths)

    @property
    def rumours_waiting(self) -> int:
        return len(self._rumours)

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions that follow from an event."""
        return _handle(event, self, now)

    # Periods.

    def _begin_period(self, now: float) -> list[events.Action]:
        if self._own.state is states.PeerState.LEFT:
            return []
        self._period += 1
        if self._was_paused(now):
            # Answers may have come and gone meanwhile, so the open round
            # and earlier results prove nothing about the peers.
            self._round = None
            self._results.clear()
        self._period_began = now
        actions = self._end_round(now)
        actions += self._check_isolation(now)
        actions += self._check_suspects()
        self._table.forget_old(self._period)
        self._broken_paths &= self._table.get_live().keys()
        return actions + self._start_round() + self._reach_out()

    def _was_paused(self, now: float) -> bool:
        if self._period_began is None:
            return False
        return now - self._period_began > PAUSE_PERIODS * self._period_s

    def _end_round(self, now: float) -> list[events.Action]:
        ended, self._round = self._round, None
        if ended is None:
            return []
        self._results.record(ended.node, ended.answered, now)
        if ended.answered:
            return self._note_path(ended.node, ended.direct)
        peer = self._table.get(ended.node)
        if peer is None or peer.state is not states.PeerState.ALIVE:
            return []
        return self._set_state(peer, states.PeerState.SUSPECT)

    def _note_path(
        self, node: ids.NodeId, direct: bool
    ) -> list[events.Action]:
        if direct is (node not in self._broken_paths):
            return []
        self._broken_paths ^= {node}
        return [events.PathChanged(node, direct)]

    def _check_isolation(self, now: float) -> list[events.Action]:
        isolated = self._results.is_mostly_failed(now)
        if isolated is self._isolated:
            return []
        self._isolated = isolated
        if not isolated:
            # Suspects get a full suspicion time in which they can refute.
            suspects = set(self._table.get_suspects())
            self._table.restart_ages(suspects, self._period)
        return [events.IsolationChanged(isolated)]

    def _check_suspects(self) -> list[events.Action]:
        if self._isolated:
            return []
        actions: list[events.Action] = []
        for node, peer in self._table.get_suspects().items():
            if self._table.get_age(node, self._period) >= SUSPICION_PERIODS:
                actions += self._set_state(peer, states.PeerState.DEAD)
        return actions

    def _start_round(self) -> list[events.Action]:
        live = self._table.get_live()
        node = self._order.pick(set(live))
        if node is None:
            return []
        address = live[node].address
        self._round = probes.Round(node, address, self._next_sequence())
        probe = self._make_probe(address, self._round.sequence, node)
        return [probe, events.SetTimer(self._probe_timeout_s)]

    def _reach_out(self) -> list[events.Action]:
        """Probe one address at which a process may have come back."""
        live = {peer.address for peer in self._table.get_live().values()}
        dead = self._table.get_dead()
        addresses = self._seeds | {peer.address for peer in dead.values()}
        absent = sorted(addresses - live - {self._own.address})
        if not absent:
            return []
        address = self._random.choice(absent)
        subjects = [n for n, peer in dead.items() if peer.address == address]
        subject = subjects[0] if subjects else None
        return [self._make_probe(address, self._next_sequence(), subject)]

    def _probe_indirectly(self) -> list[events.Action]:
        if self._round is None or self._round.answered:
            return []
        self._round.direct = False
        node = self._round.node
        helpers = [
            peer
            for peer in self._table.get_live().values()
            if peer.node != node and peer.state is states.PeerState.ALIVE
        ]
        count = min(INDIRECT_PROBES, len(helpers))
        return [
            events.SendIndirectProbe(
                helper.address,
                self._round.sequence,
                node,
                self._round.address,
                self._take_rumours(helper.node),
            )
            for helper in self._random.sample(helpers, count)
        ]

    # Probes of others.

    def _answer(self, event: events.ProbeReceived) -> list[events.Action]:
        known = self._table.get(event.sender)
        actions = self._merge(event.peers)
        if known is not None and known.state in table.LIVE:
            batches = [self._take_rumours(event.sender)]
        else:
            # A process that joins or comes back learns of all others.
            live = self._table.get_live().values()
            first = self._get_first(event.sender)
            batches = self._rumours.split((*first, *live))
        for batch in batches:
            actions.append(
                events.SendAck(
                    event.address, event.sequence, self._own.node, batch
                )
            )
        return actions

    def _take_answer(self, event: events.ProbeAnswered) -> list[events.Action]:
        actions = self._merge(event.peers)
        current = self._round
        if current is not None and (
            (current.sequence, current.node) == (event.sequence, event.subject)
        ):
            current.answered = True
            # A late answer on the direct path still proves that path.
            current.direct |= event.sender == current.node
        relay = self._relays.get(event.sequence)
        if relay is None or relay.subject != event.subject:
            return actions
        del self._relays[event.sequence]
        ack = events.SendAck(
            relay.address, relay.sequence, relay.subject, event.peers
        )
        return [*actions, ack]

    def _relay(
        self, event: events.IndirectProbeRequested
    ) -> list[events.Action]:
        actions = self._merge(event.peers)
        if len(self._relays) >= MAX_RELAYS:
            self._relays.pop(next(iter(self._relays)))
        sequence = self._next_sequence()
        self._relays[sequence] = Relay(
            event.address, event.sequence, event.subject
        )
        probe = self._make_probe(
            event.subject_address, sequence, event.subject
        )
        return [*actions, probe]

    # News.

    def _merge(self, peers: events.Peers) -> list[events.Action]:
        actions: list[events.Action] = []
        for news in peers:
            if news.node == self._own.node:
                actions += self._refute(news)
            else:
                actions += self._update_peer(news)
        return actions

    def _refute(self, news: announcements.Peer) -> list[events.Action]:
        """Outlive wrong news about this process, also of an earlier run."""
        if self._own.state is states.PeerState.LEFT:
            return []
        if news.incarnation < self._own.incarnation:
            return []
        alive = news.state is states.PeerState.ALIVE
        if alive and news.incarnation == self._own.incarnation:
            return []
        self._own = msgspec.structs.replace(
            self._own, incarnation=ids.Incarnation(news.incarnation + 1)
        )
        # An earlier run of this process has a lower incarnation.
        if not alive or news.address == self._own.address:
            return []
        if self._period < self._next_conflict:
            return []
        self._next_conflict = self._period + CONFLICT_PERIODS
        return [events.NameConflictFound(news.address)]

    def _update_peer(self, news: announcements.Peer) -> list[events.Action]:
        merged = self._table.merge(news)
        if merged is None:
            return []
        known = self._table.get(news.node)
        highest = max(self._own.version, self._table.get_highest_version())
        self._table.put(merged, self._period)
        # Only the highest version is worth a rumour: each process tells its
        # own version in every message anyway.
        if not _differs(known, merged) and merged.version <= highest:
            return []
        self._rumours.add(merged.node)
        before = known.state if known is not None else None
        return [events.PeerStateChanged(merged, before)]

    def _set_state(
        self, peer: announcements.Peer, state: states.PeerState
    ) -> list[events.Action]:
        changed = msgspec.structs.replace(peer, state=state)
        self._table.put(changed, self._period)
        self._rumours.add(peer.node)
        return [events.PeerStateChanged(changed, peer.state)]

    def _set_version(self, version: ids.Version) -> None:
        # Every message of this process carries its own version.
        self._own = msgspec.structs.replace(self._own, version=version)

    def _leave(self) -> list[events.Action]:
        self._own = msgspec.structs.replace(
            self._own, state=states.PeerState.LEFT
        )
        live = list(self._table.get_live().values())
        count = min(LEAVE_FANOUT, len(live))
        return [
            self._make_probe(peer.address, self._next_sequence(), peer.node)
            for peer in self._random.sample(live, count)
        ]

    # Messages.

    def _make_probe(
        self, address: str, sequence: int, node: ids.NodeId | None
    ) -> events.SendProbe:
        return events.SendProbe(address, sequence, self._take_rumours(node))

    def _take_rumours(self, receiver: ids.NodeId | None) -> events.Peers:
        fillers = self._get_fillers()
        first = self._get_first(receiver)
        return self._rumours.take(first, self._table.peers, fillers)

    def _get_fillers(self) -> list[announcements.Peer]:
        live = self._table.get_live()
        if len(live) <= FILLERS:
            return list(live.values())
        return self._random.sample(list(live.values()), FILLERS)

    def _get_first(
        self, receiver: ids.NodeId | None
    ) -> list[announcements.Peer]:
        """Return what a message must carry.

        A receiver that is not considered alive must hear it to refute it.
        """
        peer = self._table.get(receiver) if receiver is not None else None
        if peer is None or peer.state is states.PeerState.ALIVE:
            return [self._own]
        return [self._own, peer]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _differs(
    known: announcements.Peer | None, peer: announcements.Peer
) -> bool:
    """Return whether more than the version differs."""
    if known is None:
        return True
    return msgspec.structs.replace(known, version=peer.version) != peer


@functools.singledispatch
def _handle(event: Any, detector: Detector, now: float) -> list[events.Action]:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle.register
def _(
    event: events.ProbeDue, detector: Detector, now: float
) -> list[events.Action]:
    return detector._begin_period(now)


@_handle.register
def _(
    event: events.ProbeTimedOut, detector: Detector, now: float
) -> list[events.Action]:
    return detector._probe_indirectly()


@_handle.register
def _(
    event: events.ProbeReceived, detector: Detector, now: float
) -> list[events.Action]:
    return detector._answer(event)


@_handle.register
def _(
    event: events.ProbeAnswered, detector: Detector, now: float
) -> list[events.Action]:
    return detector._take_answer(event)


@_handle.register
def _(
    event: events.IndirectProbeRequested, detector: Detector, now: float
) -> list[events.Action]:
    return detector._relay(event)


@_handle.register
def _(
    event: events.VersionChanged, detector: Detector, now: float
) -> list[events.Action]:
    detector._set_version(event.version)
    return []


@_handle.register
def _(
    event: events.LeaveRequested, detector: Detector, now: float
) -> list[events.Action]:
    return detector._leave()
