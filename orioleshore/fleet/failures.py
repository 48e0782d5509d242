"""Correlation of failures by rack, image and pool."""

import collections

from orioleshore.fleet import view
from orioleshore.model import ids

# Failures within this time count together, in seconds.
WINDOW_S = 600.0
# Different hosts of a rack that fail within the window before it pauses.
RACK_LIMIT = 2
# The same for a pool or an image, and as a fraction of its hosts: single
# failures are common in a large fleet.
GROUP_LIMIT = 3
GROUP_FRACTION = 0.05
# A paused scope resumes after this time without a failure, in seconds.
# It is as long as the window, so that one failure cannot pause it again.
QUIET_S = 600.0
# Each further pause of a scope doubles this time, up to a limit: a bad
# image would otherwise take a round of hosts down every ten minutes.
QUIET_LIMIT_S = 14_400.0


class FailureLog:
    """Newest failure of each host, by the scopes that may explain it."""

    def __init__(self, now: float) -> None:
        self._started = now
        self._scopes: dict[str, collections.OrderedDict[str, float]] = {}
        self._last: dict[str, float] = {}
        self._quiet: dict[str, float] = {}

    def note(
        self,
        host: ids.HostId,
        image: ids.ImageId | None,
        rebooted: int,
        fleet: view.Fleet,
        now: float,
    ) -> list[str]:
        """Keep a failure; return the scopes that must pause.

        ``image`` is given for a host that a wave has rebooted, and
        ``rebooted`` is how many hosts the waves have under way.
        """
        described = fleet.index.hosts.get(host)
        record = fleet.state.hosts.get(host)
        if described is None or record is None:
            return []
        members = len(fleet.index.hosts_by_pool.get(record.pool, ()))
        limits = {
            f'rack/{described.rack}': RACK_LIMIT,
            f'pool/{record.pool}': _get_limit(members),
        }
        if image is not None:
            limits[f'image/{image}'] = _get_limit(rebooted)
        return [
            scope
            for scope, limit in limits.items()
            if self._count(scope, host, now) >= limit
        ]

    def is_quiet(self, scope: str, now: float) -> bool:
        """Return whether a paused scope may resume."""
        last = self._last.get(scope, self._started)
        return now - last >= self._quiet.get(scope, QUIET_S)

    def note_resume(self, scope: str) -> None:
        """Ask for a longer quiet time after the next pause of a scope."""
        quiet = self._quiet.get(scope, QUIET_S)
        self._quiet[scope] = min(2 * quiet, QUIET_LIMIT_S)

    def _count(self, scope: str, host: ids.HostId, now: float) -> int:
        failures = self._scopes.setdefault(scope, collections.OrderedDict())
        failures.pop(host, None)
        failures[host] = now
        self._last[scope] = now
        while next(iter(failures.values())) < now - WINDOW_S:
            failures.popitem(last=False)
        return len(failures)


def _get_limit(hosts: int) -> int:
    return max(GROUP_LIMIT, round(GROUP_FRACTION * hosts))
