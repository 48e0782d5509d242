"""Order of the hosts of a wave that spreads zones and racks."""

import collections
from collections.abc import Iterable
import itertools

from orioleshore.model import documents
from orioleshore.model import ids


class RackQueue:
    """Hosts of one pool that wait, taken from each rack in turn.

    Neighbours in the order are of different availability zones as long
    as there are any, then of different racks.
    """

    def __init__(self, hosts: Iterable[documents.Host]) -> None:
        self._racks: collections.OrderedDict[
            ids.RackId, collections.deque[ids.HostId]
        ] = collections.OrderedDict()
        self._names: set[ids.HostId] = set()
        described = list(hosts)
        for rack in _interleave_zones(described):
            self._racks[rack] = collections.deque()
        for host in described:
            self.add(host)

    def __len__(self) -> int:
        return len(self._names)

    def add(self, host: documents.Host) -> None:
        """Put a host at the end of its rack; a known one stays."""
        if host.name in self._names:
            return
        self._names.add(host.name)
        self._racks.setdefault(host.rack, collections.deque()).append(
            host.name
        )

    def add_first(self, host: documents.Host) -> None:
        """Put a host that was taken out back as the next one."""
        self._names.add(host.name)
        rack = self._racks.setdefault(host.rack, collections.deque())
        rack.appendleft(host.name)
        self._racks.move_to_end(host.rack, last=False)

    def pop(self) -> ids.HostId:
        """Take out the next host; raises IndexError when empty."""
        while self._racks:
            rack, hosts = next(iter(self._racks.items()))
            if not hosts:
                del self._racks[rack]
                continue
            self._racks.move_to_end(rack)
            host = hosts.popleft()
            self._names.discard(host)
            return host
        raise IndexError('no host waits')


def _interleave_zones(hosts: list[documents.Host]) -> list[ids.RackId]:
    zones: dict[str, dict[ids.RackId, None]] = {}
    for host in hosts:
        zones.setdefault(host.availability_zone, {})[host.rack] = None
    rounds = itertools.zip_longest(*(zones[zone] for zone in sorted(zones)))
    return [rack for racks in rounds for rack in racks if rack is not None]
