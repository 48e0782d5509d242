"""Decisions of the failure detector."""

import functools
from typing import Any

import msgspec

from orioleshore.membership import events
from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states

SUSPECT_AFTER_PERIODS = 3
DEAD_AFTER_PERIODS = 8


class Detector:
    """Probes every known process once in a period."""

    def __init__(
        self,
        own: announcements.Peer,
        seeds: tuple[str, ...],
        period_s: float,
    ) -> None:
        self._own = own
        self._seeds = seeds
        self._period_s = period_s
        self._peers: dict[ids.NodeId, announcements.Peer] = {}
        self._heard_at: dict[ids.NodeId, float] = {}
        self._sequence = 0

    @property
    def own(self) -> announcements.Peer:
        return self._own

    @property
    def peers(self) -> dict[ids.NodeId, announcements.Peer]:
        return dict(self._peers)

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions that follow from an event."""
        return _handle(event, self, now)

    def _probe(self, now: float) -> list[events.Action]:
        self._sequence += 1
        actions = self._judge(now)
        view = (self._own, *self._peers.values())
        for address in self._get_addresses():
            actions.append(events.SendProbe(address, self._sequence, view))
        return actions

    def _get_addresses(self) -> list[str]:
        known = {
            peer.address
            for peer in self._peers.values()
            if peer.state is not states.PeerState.LEFT
        }
        return sorted((known | set(self._seeds)) - {self._own.address})

    def _judge(self, now: float) -> list[events.Action]:
        actions: list[events.Action] = []
        for node, peer in list(self._peers.items()):
            periods = (now - self._heard_at[node]) / self._period_s
            state = _get_state_after(periods, peer.state)
            if state is not peer.state:
                actions += self._set_state(peer, state)
        return actions

    def _hear(
        self, sender: ids.NodeId, peers: tuple, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for peer in peers:
            if peer.node == self._own.node:
                self._refute(peer)
            elif peer.node == sender or peer.node not in self._peers:
                actions += self._believe(peer, now)
        return actions

    def _refute(self, peer: announcements.Peer) -> None:
        """Outlive what others believe about an earlier run."""
        if peer.incarnation >= self._own.incarnation and (
            peer.state is not states.PeerState.ALIVE
        ):
            self._own = msgspec.structs.replace(
                self._own, incarnation=ids.Incarnation(peer.incarnation + 1)
            )

    def _believe(
        self, peer: announcements.Peer, now: float
    ) -> list[events.Action]:
        known = self._peers.get(peer.node)
        if known is not None and peer.incarnation < known.incarnation:
            return []
        self._peers[peer.node] = peer
        self._heard_at[peer.node] = now
        if known == peer:
            return []
        before = known.state if known is not None else None
        return [events.PeerStateChanged(peer, before)]

    def _set_state(
        self, peer: announcements.Peer, state: states.PeerState
    ) -> list[events.Action]:
        changed = msgspec.structs.replace(peer, state=state)
        self._peers[peer.node] = changed
        return [events.PeerStateChanged(changed, peer.state)]


def _get_state_after(
    periods: float, state: states.PeerState
) -> states.PeerState:
    if state is states.PeerState.LEFT:
        return state
    if periods >= DEAD_AFTER_PERIODS:
        return states.PeerState.DEAD
    if periods >= SUSPECT_AFTER_PERIODS:
        return states.PeerState.SUSPECT
    return state


@functools.singledispatch
def _handle(event: Any, detector: Detector, now: float) -> list[events.Action]:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle.register
def _(
    event: events.ProbeDue, detector: Detector, now: float
) -> list[events.Action]:
    return detector._probe(now)


@_handle.register
def _(
    event: events.ProbeAnswered, detector: Detector, now: float
) -> list[events.Action]:
    return []


@_handle.register
def _(
    event: events.PeersHeard, detector: Detector, now: float
) -> list[events.Action]:
    return detector._hear(event.sender, event.peers, now)


@_handle.register
def _(
    event: events.VersionChanged, detector: Detector, now: float
) -> list[events.Action]:
    detector._own = msgspec.structs.replace(
        detector._own, version=event.version
    )
    return []


@_handle.register
def _(
    event: events.LeaveRequested, detector: Detector, now: float
) -> list[events.Action]:
    detector._own = msgspec.structs.replace(
        detector._own, state=states.PeerState.LEFT
    )
    return detector._probe(now)
