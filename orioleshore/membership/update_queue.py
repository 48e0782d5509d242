"""Queue of membership updates to be piggybacked on probes and their acks.

The inner protocol calls an update a rumour.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

from orioleshore.model import announcements
from orioleshore.model import ids

MAX_PIGGYBACK_BYTES = 1_200
# Each process sends an update this many times the decimal logarithm of the
# number of processes, which reaches all of them with high probability.
RETRANSMISSION_FACTOR = 6


class UpdateQueue:
    """Processes whose latest state is to be sent, least sent first.

    ``get_update_size`` returns the encoded size of an update in bytes, so
    that this module does not depend on the encoding.
    """

    def __init__(
        self, get_update_size: Callable[[announcements.Peer], int]
    ) -> None:
        self._get_update_size = get_update_size
        self._transmissions: dict[ids.NodeId, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def add(self, node: ids.NodeId) -> None:
        """Queue the current state of a process, in place of an earlier one."""
        self._transmissions[node] = 0

    def collect_updates(
        self,
        mandatory: Iterable[announcements.Peer],
        peers: dict[ids.NodeId, announcements.Peer],
        fillers: Iterable[announcements.Peer],
    ) -> tuple[announcements.Peer, ...]:
        """Return the updates of one message.

        ``mandatory`` updates come first, then the queued ones; ``fillers``
        use the space that is left.
        """
        batch = _Batch(self._get_update_size)
        for peer in mandatory:
            batch.add(peer)
        limit = get_retransmission_limit(len(peers))
        for node in sorted(
            self._transmissions, key=self._transmissions.__getitem__
        ):
            peer = peers.get(node)
            if peer is None:
                del self._transmissions[node]
            elif not batch.add(peer):
                break
            else:
                self._count_transmission(node, limit)
        for peer in fillers:
            batch.add(peer)
        return batch.get_updates()

    def split_into_batches(
        self, peers: Iterable[announcements.Peer]
    ) -> list[tuple[announcements.Peer, ...]]:
        """Return the updates about these peers, in batches of bounded size."""
        batches = []
        batch = _Batch(self._get_update_size)
        for peer in peers:
            if not batch.add(peer):
                batches.append(batch.get_updates())
                batch = _Batch(self._get_update_size)
                batch.add(peer)
        batches.append(batch.get_updates())
        return batches

    def _count_transmission(self, node: ids.NodeId, limit: int) -> None:
        self._transmissions[node] += 1
        if self._transmissions[node] >= limit:
            del self._transmissions[node]


class _Batch:
    """Updates of one message within its size limit, one per process."""

    def __init__(
        self, get_update_size: Callable[[announcements.Peer], int]
    ) -> None:
        self._get_update_size = get_update_size
        self._free_bytes = MAX_PIGGYBACK_BYTES
        self._peers: dict[ids.NodeId, announcements.Peer] = {}

    def add(self, peer: announcements.Peer) -> bool:
        """Add an update, and return whether the batch contains its process."""
        if peer.node in self._peers:
            return True
        size = self._get_update_size(peer)
        if size > self._free_bytes:
            return False
        self._free_bytes -= size
        self._peers[peer.node] = peer
        return True

    def get_updates(self) -> tuple[announcements.Peer, ...]:
        """Return the updates in the order in which they were added."""
        return tuple(self._peers.values())


def get_retransmission_limit(peer_count: int) -> int:
    """Return how often a process with this many peers sends an update."""
    return RETRANSMISSION_FACTOR * math.ceil(math.log10(peer_count + 2))
