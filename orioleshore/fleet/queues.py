"""Order of the hosts of a wave, spread over zones and racks."""

import collections
from collections.abc import Iterable
import itertools

from orioleshore.model import documents
from orioleshore.model import ids


class RackQueue:
    """Waiting hosts of one pool, taken round-robin from its racks.

    Consecutive hosts are in different availability zones while there are
    hosts of several zones, then in different racks.
    """

    def __init__(self, hosts: Iterable[documents.Host]) -> None:
        self._racks: collections.OrderedDict[
            ids.RackId, collections.deque[ids.HostId]
        ] = collections.OrderedDict()
        self._host_names: set[ids.HostId] = set()
        waiting = list(hosts)
        for rack in _interleave_racks(waiting):
            self._racks[rack] = collections.deque()
        for host in waiting:
            self.add(host)

    def __len__(self) -> int:
        return len(self._host_names)

    def add(self, host: documents.Host) -> None:
        """Append a host to the queue of its rack unless it is queued."""
        if host.name in self._host_names:
            return
        self._host_names.add(host.name)
        self._racks.setdefault(host.rack, collections.deque()).append(
            host.name
        )

    def add_first(self, host: documents.Host) -> None:
        """Put a host that was popped back at the head of the queue."""
        self._host_names.add(host.name)
        rack = self._racks.setdefault(host.rack, collections.deque())
        rack.appendleft(host.name)
        self._racks.move_to_end(host.rack, last=False)

    def pop(self) -> ids.HostId:
        """Remove and return the next host; raise IndexError when empty."""
        while self._racks:
            rack, hosts = next(iter(self._racks.items()))
            if not hosts:
                del self._racks[rack]
                continue
            self._racks.move_to_end(rack)
            host = hosts.popleft()
            self._host_names.discard(host)
            return host
        raise IndexError('the queue of hosts is empty')


def _interleave_racks(hosts: list[documents.Host]) -> list[ids.RackId]:
    zones: dict[str, dict[ids.RackId, None]] = {}
    for host in hosts:
        zones.setdefault(host.availability_zone, {})[host.rack] = None
    rounds = itertools.zip_longest(*(zones[zone] for zone in sorted(zones)))
    return [rack for racks in rounds for rack in racks if rack is not None]
