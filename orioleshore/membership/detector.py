"""Decisions of the failure detector, which follows the SWIM protocol.

A peer that answers neither a direct nor an indirect probe becomes suspect,
and dead unless it refutes the suspicion in time. Membership updates are
piggybacked on probes and their acknowledgements.
"""

from collections.abc import Callable
import functools
import random
from typing import Any

import msgspec

from orioleshore.membership import events
from orioleshore.membership import probes
from orioleshore.membership import table
from orioleshore.membership import update_queue
from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states

INDIRECT_PROBES = 3
SUSPICION_PERIODS = 5
# The state of a few random peers in each message makes up for lost updates.
MAX_FILLER_UPDATES = 2
# Peers that are notified when this process leaves; they spread the update.
LEAVE_FANOUT = 10
# A longer time between two periods means that this process was paused.
PAUSE_PERIODS = 2.0
# Minimum number of periods between two reports of a name conflict.
CONFLICT_REPORT_PERIODS = 60
# Probes sent for other processes and not acknowledged yet.
MAX_RELAYED_PROBES = 1_024


class RelayedProbe(msgspec.Struct, frozen=True):
    """A probe that was sent on behalf of another process."""

    requester_address: str
    requester_sequence: int
    subject: ids.NodeId
    requester_incarnation: ids.Incarnation


class Detector:
    """Probes one known process in each period.

    A direct probe times out after ``probe_timeout_s``; the indirect probes
    that follow have the rest of the period.
    """

    def __init__(
        self,
        own_peer: announcements.Peer,
        seeds: tuple[str, ...],
        period_s: float,
        probe_timeout_s: float,
        get_update_size: Callable[[announcements.Peer], int],
        generator: random.Random,
    ) -> None:
        self._own_peer = own_peer
        self._seeds = frozenset(seeds)
        self._period_s = period_s
        self._probe_timeout_s = probe_timeout_s
        self._random = generator
        self._table = table.PeerTable()
        self._updates = update_queue.UpdateQueue(get_update_size)
        self._target_order = probes.TargetOrder(generator)
        self._results = probes.Results()
        self._round: probes.Round | None = None
        self._relayed_probes: dict[int, RelayedProbe] = {}
        self._broken_paths: set[ids.NodeId] = set()
        self._sequence = 0
        self._period = 0
        self._period_started_at: float | None = None
        self._is_isolated = False
        self._next_conflict_period = 0

    @property
    def own_peer(self) -> announcements.Peer:
        return self._own_peer

    @property
    def peers(self) -> dict[ids.NodeId, announcements.Peer]:
        return dict(self._table.peers)

    @property
    def is_isolated(self) -> bool:
        return self._is_isolated

    @property
    def broken_paths(self) -> frozenset[ids.NodeId]:
        return frozenset(self._broken_paths)

    @property
    def pending_update_count(self) -> int:
        return len(self._updates)

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions that follow from an event."""
        return _handle_event(event, self, now)

    # Periods.

    def _begin_period(self, now: float) -> list[events.Action]:
        if self._own_peer.state is states.PeerState.LEFT:
            return []
        self._period += 1
        if self._was_paused(now):
            # Acknowledgements may have been lost during the pause, so the
            # open round and earlier results say nothing about the peers.
            self._round = None
            self._results.clear()
        self._period_started_at = now
        actions = self._end_round(now)
        actions += self._update_isolation(now)
        actions += self._expire_suspicions()
        self._table.forget_expired_peers(self._period)
        self._broken_paths &= self._table.get_live_peers().keys()
        return actions + self._start_round() + self._probe_absent_address()

    def _was_paused(self, now: float) -> bool:
        if self._period_started_at is None:
            return False
        return now - self._period_started_at > PAUSE_PERIODS * self._period_s

    def _end_round(self, now: float) -> list[events.Action]:
        ended, self._round = self._round, None
        if ended is None:
            return []
        self._results.record(ended.node, ended.is_answered, now)
        if ended.is_answered:
            return self._record_path(ended.node, ended.is_direct)
        peer = self._table.get(ended.node)
        if peer is None or peer.state is not states.PeerState.ALIVE:
            return []
        return self._set_peer_state(peer, states.PeerState.SUSPECT)

    def _record_path(
        self, node: ids.NodeId, is_direct: bool
    ) -> list[events.Action]:
        if is_direct is (node not in self._broken_paths):
            return []
        self._broken_paths ^= {node}
        return [events.PathChanged(node, is_direct)]

    def _update_isolation(self, now: float) -> list[events.Action]:
        is_isolated = self._results.has_failed_majority(now)
        if is_isolated is self._is_isolated:
            return []
        self._is_isolated = is_isolated
        if not is_isolated:
            # The suspicion time starts again, so that suspects can refute.
            suspects = set(self._table.get_suspected_peers())
            self._table.restart_state_ages(suspects, self._period)
        return [events.IsolationChanged(is_isolated)]

    def _expire_suspicions(self) -> list[events.Action]:
        if self._is_isolated:
            return []
        actions: list[events.Action] = []
        for node, peer in self._table.get_suspected_peers().items():
            if (
                self._table.get_state_age(node, self._period)
                >= SUSPICION_PERIODS
            ):
                actions += self._set_peer_state(peer, states.PeerState.DEAD)
        return actions

    def _start_round(self) -> list[events.Action]:
        live = self._table.get_live_peers()
        node = self._target_order.pick_target(set(live))
        if node is None:
            return []
        address = live[node].address
        self._round = probes.Round(node, address, self._allocate_sequence())
        probe = self._make_probe(address, self._round.sequence, node)
        return [probe, events.SetTimer(self._probe_timeout_s)]

    def _probe_absent_address(self) -> list[events.Action]:
        """Probe one address where a process may be running again."""
        live_addresses = {
            peer.address for peer in self._table.get_live_peers().values()
        }
        dead = self._table.get_dead_peers()
        addresses = self._seeds | {peer.address for peer in dead.values()}
        absent_addresses = sorted(
            addresses - live_addresses - {self._own_peer.address}
        )
        if not absent_addresses:
            return []
        address = self._random.choice(absent_addresses)
        subjects = [n for n, peer in dead.items() if peer.address == address]
        subject = subjects[0] if subjects else None
        return [self._make_probe(address, self._allocate_sequence(), subject)]

    def _send_indirect_probes(self) -> list[events.Action]:
        if self._round is None or self._round.is_answered:
            return []
        self._round.is_direct = False
        node = self._round.node
        helpers = [
            peer
            for peer in self._table.get_live_peers().values()
            if peer.node != node and peer.state is states.PeerState.ALIVE
        ]
        count = min(INDIRECT_PROBES, len(helpers))
        return [
            events.SendIndirectProbe(
                helper.address,
                self._round.sequence,
                node,
                self._round.address,
                self._collect_updates(helper.node),
            )
            for helper in self._random.sample(helpers, count)
        ]

    # Probes from other processes.

    def _answer_probe(
        self, event: events.ProbeReceived
    ) -> list[events.Action]:
        known = self._table.get(event.sender)
        actions = self._merge_updates(event.updates)
        if known is not None and known.state in table.LIVE_STATES:
            batches = [self._collect_updates(event.sender)]
        else:
            # A process that joins or rejoins gets the state of all peers.
            live = self._table.get_live_peers().values()
            mandatory = self._get_mandatory_updates(event.sender)
            batches = self._updates.split_into_batches((*mandatory, *live))
        for batch in batches:
            actions.append(
                events.SendAck(
                    event.reply_address,
                    event.sequence,
                    self._own_peer.node,
                    batch,
                    event.incarnation,
                )
            )
        return actions

    def _handle_probe_answer(
        self, event: events.ProbeAnswered
    ) -> list[events.Action]:
        actions = self._merge_updates(event.updates)
        current = self._round
        if current is not None and (
            (current.sequence, current.node) == (event.sequence, event.subject)
        ):
            current.is_answered = True
            # A late acknowledgement still shows that the direct path works.
            current.is_direct |= event.sender == current.node
        relayed = self._relayed_probes.get(event.sequence)
        if relayed is None or relayed.subject != event.subject:
            return actions
        del self._relayed_probes[event.sequence]
        ack = events.SendAck(
            relayed.requester_address,
            relayed.requester_sequence,
            relayed.subject,
            event.updates,
            relayed.requester_incarnation,
        )
        return [*actions, ack]

    def _relay_probe(
        self, event: events.IndirectProbeRequested
    ) -> list[events.Action]:
        actions = self._merge_updates(event.updates)
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            self._relayed_probes.pop(next(iter(self._relayed_probes)))
        sequence = self._allocate_sequence()
        self._relayed_probes[sequence] = RelayedProbe(
            event.reply_address,
            event.sequence,
            event.subject,
            event.incarnation,
        )
        probe = self._make_probe(
            event.subject_address, sequence, event.subject
        )
        return [*actions, probe]

    # Membership updates.

    def _merge_updates(self, updates: events.Updates) -> list[events.Action]:
        actions: list[events.Action] = []
        for update in updates:
            if update.node == self._own_peer.node:
                actions += self._refute_update(update)
            else:
                actions += self._apply_update(update)
        return actions

    def _refute_update(
        self, update: announcements.Peer
    ) -> list[events.Action]:
        """Override an outdated update about this process or an earlier run.

        A higher incarnation overrides it at all peers.
        """
        if self._own_peer.state is states.PeerState.LEFT:
            return []
        if update.incarnation < self._own_peer.incarnation:
            return []
        is_alive = update.state is states.PeerState.ALIVE
        if is_alive and update.incarnation == self._own_peer.incarnation:
            return []
        self._own_peer = msgspec.structs.replace(
            self._own_peer, incarnation=ids.Incarnation(update.incarnation + 1)
        )
        # An earlier run of this process would have a lower incarnation, so
        # another process uses the same name.
        if not is_alive or update.address == self._own_peer.address:
            return []
        if self._period < self._next_conflict_period:
            return []
        self._next_conflict_period = self._period + CONFLICT_REPORT_PERIODS
        return [events.NameConflictFound(update.address)]

    def _apply_update(self, update: announcements.Peer) -> list[events.Action]:
        merged = self._table.get_merged_peer(update)
        if merged is None:
            return []
        known = self._table.get(update.node)
        highest = max(
            self._own_peer.version, self._table.get_highest_version()
        )
        self._table.put(merged, self._period)
        # Of new versions, only the highest is spread: every message carries
        # the version of its sender anyway.
        if (
            not _has_changes_beyond_version(known, merged)
            and merged.version <= highest
        ):
            return []
        self._updates.add(merged.node)
        previous_state = known.state if known is not None else None
        return [events.PeerStateChanged(merged, previous_state)]

    def _set_peer_state(
        self, peer: announcements.Peer, state: states.PeerState
    ) -> list[events.Action]:
        changed = msgspec.structs.replace(peer, state=state)
        self._table.put(changed, self._period)
        self._updates.add(peer.node)
        return [events.PeerStateChanged(changed, peer.state)]

    def _set_own_version(self, version: ids.Version) -> None:
        # No update is queued: each message carries its sender's version.
        self._own_peer = msgspec.structs.replace(
            self._own_peer, version=version
        )

    def _announce_leave(self) -> list[events.Action]:
        self._own_peer = msgspec.structs.replace(
            self._own_peer, state=states.PeerState.LEFT
        )
        live = list(self._table.get_live_peers().values())
        count = min(LEAVE_FANOUT, len(live))
        return [
            self._make_probe(
                peer.address, self._allocate_sequence(), peer.node
            )
            for peer in self._random.sample(live, count)
        ]

    # Messages.

    def _make_probe(
        self, address: str, sequence: int, node: ids.NodeId | None
    ) -> events.SendProbe:
        return events.SendProbe(address, sequence, self._collect_updates(node))

    def _collect_updates(self, receiver: ids.NodeId | None) -> events.Updates:
        fillers = self._pick_fillers()
        mandatory = self._get_mandatory_updates(receiver)
        return self._updates.collect_updates(
            mandatory, self._table.peers, fillers
        )

    def _pick_fillers(self) -> list[announcements.Peer]:
        live = self._table.get_live_peers()
        if len(live) <= MAX_FILLER_UPDATES:
            return list(live.values())
        return self._random.sample(list(live.values()), MAX_FILLER_UPDATES)

    def _get_mandatory_updates(
        self, receiver: ids.NodeId | None
    ) -> list[announcements.Peer]:
        """Return the updates that a message must carry.

        A receiver that is not considered alive is sent its own state, so
        that it can refute it.
        """
        peer = self._table.get(receiver) if receiver is not None else None
        if peer is None or peer.state is states.PeerState.ALIVE:
            return [self._own_peer]
        return [self._own_peer, peer]

    def _allocate_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _has_changes_beyond_version(
    known: announcements.Peer | None, peer: announcements.Peer
) -> bool:
    """Return whether a field other than the version differs."""
    if known is None:
        return True
    return msgspec.structs.replace(known, version=peer.version) != peer


@functools.singledispatch
def _handle_event(
    event: Any, detector: Detector, now: float
) -> list[events.Action]:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle_event.register
def _(
    event: events.ProbeDue, detector: Detector, now: float
) -> list[events.Action]:
    return detector._begin_period(now)


@_handle_event.register
def _(
    event: events.ProbeTimedOut, detector: Detector, now: float
) -> list[events.Action]:
    return detector._send_indirect_probes()


@_handle_event.register
def _(
    event: events.ProbeReceived, detector: Detector, now: float
) -> list[events.Action]:
    return detector._answer_probe(event)


@_handle_event.register
def _(
    event: events.ProbeAnswered, detector: Detector, now: float
) -> list[events.Action]:
    return detector._handle_probe_answer(event)


@_handle_event.register
def _(
    event: events.IndirectProbeRequested, detector: Detector, now: float
) -> list[events.Action]:
    return detector._relay_probe(event)


@_handle_event.register
def _(
    event: events.VersionChanged, detector: Detector, now: float
) -> list[events.Action]:
    detector._set_own_version(event.version)
    return []


@_handle_event.register
def _(
    event: events.LeaveRequested, detector: Detector, now: float
) -> list[events.Action]:
    return detector._announce_leave()
