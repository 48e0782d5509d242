"""How many hosts each pool needs for what arrives, waits and runs in it.

Answers demand that rises within a second to several times what a pool
holds. The rate at which work arrives tells what is needed while it lasts,
before a backlog shows it; the backlog counts by the time that it takes, so
that no host is fetched for work that is done when the host comes.
"""

from __future__ import annotations

import collections
import math
import typing

import msgspec

from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

# Time in which a pool should work its backlog off, in seconds. A host that
# is ordered now works after a move (1.5 s), so less cannot be reached.
BACKLOG_CLEAR_S = 1.5
# Work is counted for this long to tell its rate, in seconds; about a fifth
# of a turn of demand.
RATE_WINDOW_S = 0.8
# Run time of a task before any was seen, in seconds; between those of the
# deployments' short tasks (0.64 s) and long ones (1.3 to 1.7 s).
DEFAULT_RUN_TIME_S = 1.0
# Hosts that each pool keeps: one may be lost, the other takes the first
# work of a new turn.
MIN_HOSTS = 2
# A pool gives hosts up when it needed fewer for this long, in seconds;
# above the gaps between the jobs of a turn and below the length of a turn.
SCALE_DOWN_DELAY_S = 1.0


class Load(msgspec.Struct, frozen=True):
    """What a pool has to do, in hosts that are busy at the same time."""

    # Tasks that last, and members of gangs: they need room all at once.
    simultaneous: float = 0.0
    # All other tasks that run.
    running: float = 0.0
    # Those that did not start, whether they may or not.
    backlog: float = 0.0
    # Those of them that may start now.
    startable: float = 0.0
    is_waiting: bool = False


def measure_load(
    scheduler: scheduling.Scheduler,
    pool: ids.PoolId,
    size: specs.Resources,
) -> Load:
    """Return what is to do in a pool; ``size`` is that of its hosts."""
    simultaneous = active = backlog = startable = 0.0
    is_waiting = False
    for job in scheduler.get_pool_jobs(pool):
        open_groups = job.find_startable_groups(scheduler.wall_time)
        is_waiting = is_waiting or bool(open_groups)
        for group in job.groups.values():
            share = get_host_share(group.step, size)
            running = sum(group.workers.values())
            waiting = len(group.waiting) if group in open_groups else 0
            if group.step.is_long_running or group.step.is_gang:
                simultaneous += share * (running + waiting)
                continue
            active += share * running
            backlog += share * (group.unfinished - running)
            startable += share * waiting
    return Load(simultaneous, active, backlog, startable, is_waiting)


def count_hosts(load: Load, rate: float, mean_run_s: float | None) -> int:
    """Return how many hosts a load needs.

    ``rate`` is the hosts that the tasks which arrive in a second would
    fill, ``mean_run_s`` the learned run time of a task, None when none is
    known.
    """
    run_s = mean_run_s or DEFAULT_RUN_TIME_S
    backlog_hosts = min(load.startable, load.backlog * run_s / BACKLOG_CLEAR_S)
    # What still runs when a host that is ordered now would work.
    still_running = load.running * max(0.0, 1.0 - BACKLOG_CLEAR_S / run_s)
    needed = load.simultaneous + still_running + rate * run_s + backlog_hosts
    return max(MIN_HOSTS, math.ceil(needed))


def get_host_share(step: specs.Step, size: specs.Resources) -> float:
    """Return which part of a host a task of a step takes.

    Tasks that leave room unused which no other of them fits count with it.
    """
    return 1.0 / _count_fitting(workers.get_reserved_resources(step), size)


def _count_fitting(need: specs.Resources, size: specs.Resources) -> int:
    """Return how many tasks of a need one host runs at a time."""
    counts = [
        room // needed
        for needed, room in (
            (need.cpu_millis, size.cpu_millis),
            (need.memory_mb, size.memory_mb),
            (need.accelerators, size.accelerators),
        )
        if needed
    ]
    return max(1, min(counts, default=1))


class DemandTracker:
    """Needed hosts of each pool now, and the most of the last seconds."""

    def __init__(self) -> None:
        self._loads: dict[ids.PoolId, Load] = {}
        self._recent: dict[
            ids.PoolId, collections.deque[tuple[float, int]]
        ] = {}
        self._measured_since: dict[ids.PoolId, float] = {}
        # Accepted tasks of the last RATE_S, as hosts that they would fill.
        self._arrivals: dict[
            ids.PoolId, collections.deque[tuple[float, float]]
        ] = {}

    def record_arrival(
        self, pool: ids.PoolId, hosts: float, now: float
    ) -> None:
        """Take work in that was accepted; ``now`` is monotonic."""
        self._arrivals.setdefault(pool, collections.deque()).append(
            (now, hosts)
        )

    def record_load(
        self,
        pool: ids.PoolId,
        load: Load,
        mean_run_s: float | None,
        now: float,
    ) -> None:
        """Take a new measurement; ``now`` is monotonic, in seconds."""
        hosts = count_hosts(load, self._get_rate(pool, now), mean_run_s)
        self._loads[pool] = load
        self._measured_since.setdefault(pool, now)
        recent = self._recent.setdefault(pool, collections.deque())
        while recent and recent[0][0] < now - SCALE_DOWN_DELAY_S:
            recent.popleft()
        # Smaller needs from before can never be the most again.
        while recent and recent[-1][1] <= hosts:
            recent.pop()
        recent.append((now, hosts))

    def is_waiting(self, pool: ids.PoolId) -> bool:
        """Return whether anything of a pool waits for room."""
        return self._loads.get(pool, Load()).is_waiting

    def get_load(self, pool: ids.PoolId) -> Load:
        """Return the newest load."""
        return self._loads.get(pool, Load())

    def get_hosts(self, pool: ids.PoolId) -> int:
        """Return the hosts needed now."""
        recent = self._recent.get(pool)
        return recent[-1][1] if recent else MIN_HOSTS

    def get_peak_hosts(self, pool: ids.PoolId, now: float) -> int | None:
        """Return the most hosts needed lately, None when known too briefly."""
        recent = self._recent.get(pool)
        if not recent or now < self._measured_since[pool] + SCALE_DOWN_DELAY_S:
            return None
        return recent[0][1]

    def _get_rate(self, pool: ids.PoolId, now: float) -> float:
        """Return the hosts that the tasks of one second would fill."""
        arrivals = self._arrivals.get(pool)
        if not arrivals:
            return 0.0
        while arrivals and arrivals[0][0] < now - RATE_WINDOW_S:
            arrivals.popleft()
        if not arrivals:
            return 0.0
        total = sum(hosts for _, hosts in arrivals)
        squares = sum(hosts * hosts for _, hosts in arrivals)
        if not squares:
            return 0.0
        # One standard error below the mean, since few or uneven jobs tell
        # little of a rate; by Kish's effective sample size.
        confidence = 1.0 - math.sqrt(squares) / total
        return confidence * total / RATE_WINDOW_S
