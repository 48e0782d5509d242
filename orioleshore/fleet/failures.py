"""Correlation of host failures by rack, image and pool."""

import collections

from orioleshore.fleet import view
from orioleshore.model import ids

# Time within which failures are counted together, in seconds.
WINDOW_S = 600.0
# Number of hosts of a rack that fail within the window before waves pause
# for that rack.
RACK_LIMIT = 2
# The same limit for a pool or an image: an absolute number, and a fraction
# of its hosts, because single failures are common in a large fleet.
GROUP_LIMIT = 3
GROUP_FRACTION = 0.05
# A paused scope resumes after this time without a failure, in seconds.
# It equals the window, so that one more failure cannot pause the scope again.
QUIET_S = 600.0
# Each further pause of a scope doubles that time up to this limit, in
# seconds. Otherwise a bad image would break more hosts every ten minutes.
QUIET_LIMIT_S = 14_400.0


class FailureLog:
    """Newest failure of each host, grouped by rack, pool and image."""

    def __init__(self, now: float) -> None:
        self._started = now
        self._failures_by_scope: dict[
            str, collections.OrderedDict[str, float]
        ] = {}
        self._last_failures: dict[str, float] = {}
        self._quiet_times: dict[str, float] = {}

    def record_failure(
        self,
        host: ids.HostId,
        image: ids.ImageId | None,
        active_hosts: int,
        fleet: view.Fleet,
        now: float,
    ) -> list[str]:
        """Record a failure; return the scopes in which waves must pause.

        ``image`` is set for a host that a wave has rebooted.
        ``active_hosts`` is the number of hosts that waves have started and
        not finished.
        """
        document_host = fleet.index.hosts.get(host)
        record = fleet.state.hosts.get(host)
        if document_host is None or record is None:
            return []
        members = len(fleet.index.hosts_by_pool.get(record.pool, ()))
        limits = {
            f'rack/{document_host.rack}': RACK_LIMIT,
            f'pool/{record.pool}': _get_limit(members),
        }
        if image is not None:
            limits[f'image/{image}'] = _get_limit(active_hosts)
        return [
            scope
            for scope, limit in limits.items()
            if self._count_failures(scope, host, now) >= limit
        ]

    def is_quiet(self, scope: str, now: float) -> bool:
        """Return whether a paused scope may resume."""
        last = self._last_failures.get(scope, self._started)
        return now - last >= self._quiet_times.get(scope, QUIET_S)

    def record_resume(self, scope: str) -> None:
        """Double the quiet time that the next pause of a scope requires."""
        quiet_s = self._quiet_times.get(scope, QUIET_S)
        self._quiet_times[scope] = min(2 * quiet_s, QUIET_LIMIT_S)

    def _count_failures(self, scope: str, host: ids.HostId, now: float) -> int:
        failures = self._failures_by_scope.setdefault(
            scope, collections.OrderedDict()
        )
        failures.pop(host, None)
        failures[host] = now
        self._last_failures[scope] = now
        while next(iter(failures.values())) < now - WINDOW_S:
            failures.popitem(last=False)
        return len(failures)


def _get_limit(hosts: int) -> int:
    return max(GROUP_LIMIT, round(GROUP_FRACTION * hosts))
