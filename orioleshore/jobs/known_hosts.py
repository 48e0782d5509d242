"""Hosts of the platform, as far as its lists and answers tell.

The list of hosts is read page by page and is no snapshot: a host that moves,
or that stays while rows before it come or go between two pages, may be in
none of them, and that in several lists in a row. A missing row therefore
proves nothing. Only the answer that there is no such host does.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from orioleshore.jobs import calls
from orioleshore.model import ids
from orioleshore.model import states

# A host that no list has shown for this long no longer counts as capacity, so
# that hosts that were withdrawn while nobody needed them are forgotten.
# Nothing else follows from it.
RETENTION_S = 60.0


class KnownHosts:
    """The last known row of each host; part of the scheduler's state."""

    def __init__(self) -> None:
        self._rows: dict[ids.HostId, calls.HostInfo] = {}
        # Hosts with a readable row in the newest list, hosts whose rows in it
        # could not be read, and whether the names of all such are known.
        self._listed: set[ids.HostId] = set()
        self._unreadable: frozenset[ids.HostId] = frozenset()
        self._is_complete = False
        # Time of the request for the newest list that showed each host.
        self._shown_at: dict[ids.HostId, float] = {}
        self._listed_at = -1.0e9

    @property
    def rows(self) -> Mapping[ids.HostId, calls.HostInfo]:
        """Return the last known row of each host by host id.

        The row of a host that the newest list lacks is from an earlier one.
        """
        return self._rows

    @property
    def listed_at(self) -> float:
        """Return the monotonic time of the request for the newest list."""
        return self._listed_at

    def is_missing(self, host: ids.HostId) -> bool:
        """Return whether the newest list has no row of a host."""
        return (
            self._is_complete
            and host not in self._listed
            and host not in self._unreadable
        )

    def is_up(self, host: ids.HostId) -> bool:
        """Return whether the newest list shows a host as up."""
        return host in self._listed and _is_up(self._rows[host])

    def may_be_up(self, host: ids.HostId) -> bool:
        """Return whether a host is listed as up or missing.

        The platform refuses an order about a host that is not up.
        """
        return self.is_up(host) or self.is_missing(host)

    def record_list(self, call: calls.NoteHosts) -> None:
        """Record a list of hosts unless a newer one is known."""
        if call.asked_at <= self._listed_at:
            return
        self._listed_at = call.asked_at
        rows = {info.host: info for info in call.hosts}
        earlier = {
            host: row for host, row in self._rows.items() if host not in rows
        }
        self._rows = earlier | rows
        self._listed = set(rows)
        self._unreadable = frozenset(call.unreadable)
        self._is_complete = call.is_complete
        shown = rows.keys() | self._unreadable
        if not call.is_complete:
            # A row without a readable name may be that of any other host.
            shown |= self._rows.keys()
        self._shown_at |= dict.fromkeys(
            shown & self._rows.keys(), call.asked_at
        )
        for host, shown_at in list(self._shown_at.items()):
            if call.asked_at - shown_at > RETENTION_S:
                self.forget(host)

    def record_move(self, host: ids.HostId, pool: ids.PoolId) -> None:
        """Record that a host began to move to a pool."""
        row = self._rows.get(host)
        if row is not None:
            self._rows[host] = msgspec.structs.replace(
                row, pool=pool, state=states.PlatformHostState.MOVING
            )

    def forget(self, host: ids.HostId) -> None:
        """Drop the row of a host until a list shows it again."""
        self._rows.pop(host, None)
        self._shown_at.pop(host, None)
        self._listed.discard(host)


def _is_up(row: calls.HostInfo) -> bool:
    return row.state is states.PlatformHostState.UP
