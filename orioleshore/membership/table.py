"""What a process knows about its peers, and which news wins."""

import msgspec

from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states

# Periods after which a stopped process is forgotten. A dead one may be cut
# off, so it is kept, and probed, for longer.
LEFT_KEPT_PERIODS = 60
DEAD_KEPT_PERIODS = 3_600

LIVE = frozenset({states.PeerState.ALIVE, states.PeerState.SUSPECT})
_RANKS = {
    states.PeerState.ALIVE: 0,
    states.PeerState.SUSPECT: 1,
    states.PeerState.DEAD: 2,
    states.PeerState.LEFT: 3,
}


class PeerTable:
    """The newest news about each peer, with the period it came in."""

    def __init__(self) -> None:
        self._peers: dict[ids.NodeId, announcements.Peer] = {}
        self._since: dict[ids.NodeId, int] = {}
        self._live: dict[ids.NodeId, announcements.Peer] = {}
        self._highest_version = 0

    @property
    def peers(self) -> dict[ids.NodeId, announcements.Peer]:
        return self._peers

    def get(self, node: ids.NodeId) -> announcements.Peer | None:
        """Return what is known about a peer."""
        return self._peers.get(node)

    def get_live(self) -> dict[ids.NodeId, announcements.Peer]:
        """Return the peers that are alive or suspected."""
        return self._live

    def get_suspects(self) -> dict[ids.NodeId, announcements.Peer]:
        """Return the peers that are suspected."""
        return self._select(frozenset({states.PeerState.SUSPECT}))

    def get_dead(self) -> dict[ids.NodeId, announcements.Peer]:
        """Return the peers that are considered dead."""
        return self._select(frozenset({states.PeerState.DEAD}))

    def get_highest_version(self) -> int:
        """Return the highest configuration version that any peer had."""
        return self._highest_version

    def get_age(self, node: ids.NodeId, period: int) -> int:
        """Return for how many periods the state of a peer lasts."""
        return period - self._since[node]

    def restart_ages(self, nodes: set[ids.NodeId], period: int) -> None:
        """Count the states of these peers from now on."""
        for node in nodes:
            self._since[node] = period

    def put(self, peer: announcements.Peer, period: int) -> None:
        """Believe news about a peer."""
        before = self._peers.get(peer.node)
        if before is None or _get_order(before) != _get_order(peer):
            self._since[peer.node] = period
        self._peers[peer.node] = peer
        self._highest_version = max(self._highest_version, peer.version)
        if peer.state in LIVE:
            self._live[peer.node] = peer
        else:
            self._live.pop(peer.node, None)

    def merge(self, news: announcements.Peer) -> announcements.Peer | None:
        """Return the state to keep after news, None when it is not newer."""
        known = self._peers.get(news.node)
        if known is None:
            return news if news.state in LIVE else None
        if _get_order(news) < _get_order(known):
            return None
        version = max(news.version, known.version)
        if news.incarnation > known.incarnation:
            # A restarted process may have an older configuration in force.
            version = news.version
        merged = msgspec.structs.replace(news, version=version)
        return None if merged == known else merged

    def forget_old(self, period: int) -> None:
        """Forget processes that stopped long ago."""
        limits = {
            states.PeerState.LEFT: LEFT_KEPT_PERIODS,
            states.PeerState.DEAD: DEAD_KEPT_PERIODS,
        }
        for node, peer in list(self._peers.items()):
            limit = limits.get(peer.state)
            if limit is not None and self.get_age(node, period) > limit:
                del self._peers[node]
                del self._since[node]

    def _select(
        self, wanted: frozenset[states.PeerState]
    ) -> dict[ids.NodeId, announcements.Peer]:
        return {
            node: peer
            for node, peer in self._peers.items()
            if peer.state in wanted
        }


def _get_order(peer: announcements.Peer) -> tuple[int, int]:
    return (peer.incarnation, _RANKS[peer.state])
