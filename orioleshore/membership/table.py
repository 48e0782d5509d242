"""Known states of the peers, and which update takes precedence."""

import msgspec

from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states

# Periods after which a stopped process is removed. A dead one may only be
# unreachable, so it is kept, and probed, for longer.
LEFT_RETENTION_PERIODS = 60
DEAD_RETENTION_PERIODS = 3_600

LIVE_STATES = frozenset({states.PeerState.ALIVE, states.PeerState.SUSPECT})
_STATE_RANKS = {
    states.PeerState.ALIVE: 0,
    states.PeerState.SUSPECT: 1,
    states.PeerState.DEAD: 2,
    states.PeerState.LEFT: 3,
}


class PeerTable:
    """The latest state of each peer, with the period it was set in."""

    def __init__(self) -> None:
        self._peers: dict[ids.NodeId, announcements.Peer] = {}
        self._state_since: dict[ids.NodeId, int] = {}
        self._live: dict[ids.NodeId, announcements.Peer] = {}
        self._highest_version = 0

    @property
    def peers(self) -> dict[ids.NodeId, announcements.Peer]:
        return self._peers

    def get(self, node: ids.NodeId) -> announcements.Peer | None:
        """Return the known state of a peer, None when it is unknown."""
        return self._peers.get(node)

    def get_live_peers(self) -> dict[ids.NodeId, announcements.Peer]:
        """Return the peers that are alive or suspect."""
        return self._live

    def get_suspected_peers(self) -> dict[ids.NodeId, announcements.Peer]:
        """Return the peers that are suspect."""
        return self._select_peers(frozenset({states.PeerState.SUSPECT}))

    def get_dead_peers(self) -> dict[ids.NodeId, announcements.Peer]:
        """Return the peers that are considered dead."""
        return self._select_peers(frozenset({states.PeerState.DEAD}))

    def get_highest_version(self) -> int:
        """Return the highest configuration version that any peer had."""
        return self._highest_version

    def get_state_age(self, node: ids.NodeId, period: int) -> int:
        """Return for how many periods a peer has been in its state."""
        return period - self._state_since[node]

    def restart_state_ages(self, nodes: set[ids.NodeId], period: int) -> None:
        """Count the periods of these states from now on."""
        for node in nodes:
            self._state_since[node] = period

    def put(self, peer: announcements.Peer, period: int) -> None:
        """Store the state of a peer."""
        previous = self._peers.get(peer.node)
        if previous is None or _get_precedence(previous) != _get_precedence(
            peer
        ):
            self._state_since[peer.node] = period
        self._peers[peer.node] = peer
        self._highest_version = max(self._highest_version, peer.version)
        if peer.state in LIVE_STATES:
            self._live[peer.node] = peer
        else:
            self._live.pop(peer.node, None)

    def get_merged_peer(
        self, update: announcements.Peer
    ) -> announcements.Peer | None:
        """Return the peer as it is after an update, None for no change.

        The table is not modified. An unknown peer that is not live is
        ignored.
        """
        known = self._peers.get(update.node)
        if known is None:
            return update if update.state in LIVE_STATES else None
        if _get_precedence(update) < _get_precedence(known):
            return None
        version = max(update.version, known.version)
        if update.incarnation > known.incarnation:
            # A restarted process may apply an older configuration.
            version = update.version
        merged = msgspec.structs.replace(update, version=version)
        return None if merged == known else merged

    def forget_expired_peers(self, period: int) -> None:
        """Remove stopped processes whose retention time is over."""
        limits = {
            states.PeerState.LEFT: LEFT_RETENTION_PERIODS,
            states.PeerState.DEAD: DEAD_RETENTION_PERIODS,
        }
        for node, peer in list(self._peers.items()):
            limit = limits.get(peer.state)
            if limit is not None and self.get_state_age(node, period) > limit:
                del self._peers[node]
                del self._state_since[node]

    def _select_peers(
        self, peer_states: frozenset[states.PeerState]
    ) -> dict[ids.NodeId, announcements.Peer]:
        return {
            node: peer
            for node, peer in self._peers.items()
            if peer.state in peer_states
        }


def _get_precedence(peer: announcements.Peer) -> tuple[int, int]:
    return (peer.incarnation, _STATE_RANKS[peer.state])
