"""Rumours that wait to be piggybacked on probes and their answers."""

from collections.abc import Callable
from collections.abc import Iterable
import math

from orioleshore.model import announcements
from orioleshore.model import ids

MAX_PIGGYBACK_BYTES = 1_200
# Each process repeats a rumour this often, times the decimal logarithm of
# the number of processes, which reaches all of them with high probability.
REPETITION_FACTOR = 6


class RumourQueue:
    """The newest rumour about each process, least repeated first.

    ``get_size`` returns the encoded bytes of a rumour, so that this module
    stays free of the encoding.
    """

    def __init__(self, get_size: Callable[[announcements.Peer], int]) -> None:
        self._get_size = get_size
        self._sent: dict[ids.NodeId, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, node: ids.NodeId) -> None:
        """Spread the news about a process, instead of older news."""
        self._sent[node] = 0

    def take(
        self,
        first: Iterable[announcements.Peer],
        peers: dict[ids.NodeId, announcements.Peer],
        fillers: Iterable[announcements.Peer],
    ) -> tuple[announcements.Peer, ...]:
        """Return the rumours of one message.

        ``first`` go into it always, fillers only into space left over.
        """
        batch = _Batch(self._get_size)
        for peer in first:
            batch.add(peer)
        limit = get_repetitions(len(peers))
        for node in sorted(self._sent, key=self._sent.__getitem__):
            peer = peers.get(node)
            if peer is None:
                del self._sent[node]
            elif not batch.add(peer):
                break
            else:
                self._count(node, limit)
        for peer in fillers:
            batch.add(peer)
        return batch.get_peers()

    def split(
        self, peers: Iterable[announcements.Peer]
    ) -> list[tuple[announcements.Peer, ...]]:
        """Return all of these rumours, in batches of bounded size."""
        batches = []
        batch = _Batch(self._get_size)
        for peer in peers:
            if not batch.add(peer):
                batches.append(batch.get_peers())
                batch = _Batch(self._get_size)
                batch.add(peer)
        batches.append(batch.get_peers())
        return batches

    def _count(self, node: ids.NodeId, limit: int) -> None:
        self._sent[node] += 1
        if self._sent[node] >= limit:
            del self._sent[node]


class _Batch:
    """Rumours within the limit of one message, one for each process."""

    def __init__(self, get_size: Callable[[announcements.Peer], int]) -> None:
        self._get_size = get_size
        self._left = MAX_PIGGYBACK_BYTES
        self._peers: dict[ids.NodeId, announcements.Peer] = {}

    def add(self, peer: announcements.Peer) -> bool:
        """Add a rumour; returns whether the message carries it now."""
        if peer.node in self._peers:
            return True
        size = self._get_size(peer)
        if size > self._left:
            return False
        self._left -= size
        self._peers[peer.node] = peer
        return True

    def get_peers(self) -> tuple[announcements.Peer, ...]:
        """Return the rumours in the order in which they came."""
        return tuple(self._peers.values())


def get_repetitions(count: int) -> int:
    """Return how often a process repeats a rumour among ``count`` peers."""
    return REPETITION_FACTOR * math.ceil(math.log10(count + 2))
