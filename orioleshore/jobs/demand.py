"""Number of hosts that each pool needs for its arriving and present work.

Answers demand that rises within a second to several times the capacity of a
pool. The arrival rate shows the need before a backlog has built up. The
backlog is weighted with the time it takes, so that no host is moved for work
that would be done before the host arrives.
"""

from __future__ import annotations

import collections
import math
import typing

import msgspec

from orioleshore.jobs import ordering
from orioleshore.jobs import progress
from orioleshore.jobs import sharing
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

# Time within which a pool should complete its backlog. A host that is ordered
# now works only after a move of 1.5 s, so less cannot be reached.
BACKLOG_CLEAR_S = 1.5
# Length of the window over which the arrival rate is measured; about a fifth
# of a demand peak.
RATE_WINDOW_S = 0.8
# Assumed run time of a task until a mean is known; between those of the
# deployments' short tasks (0.64 s) and long ones (1.3 to 1.7 s).
DEFAULT_RUN_TIME_S = 1.0
# Hosts that each pool keeps: one may be lost, and the other starts the first
# tasks of a new demand peak.
MIN_HOSTS = 2
# A pool releases hosts once it has needed fewer for this long; more than the
# gaps between the jobs of a demand peak and less than the length of a peak.
SCALE_DOWN_DELAY_S = 1.0


# A long-running task that has found no room for this long needs a further
# host, although the hosts suffice by the sum of the tasks: the free room is
# scattered. Short tasks end within this time.
SCATTERED_ROOM_WAIT_S = 2.0


class Load(msgspec.Struct, frozen=True):
    """Work of a pool, in the number of hosts that it would occupy."""

    # Long-running tasks and gang members, which must run at the same time.
    simultaneous: float = 0.0
    # Other tasks that run.
    running: float = 0.0
    # Other tasks that do not run and are not done, startable or not.
    backlog: float = 0.0
    # Tasks of the backlog that may start now.
    startable: float = 0.0
    is_waiting: bool = False
    # Fewest hosts for long-running steps: those over which they must be
    # spread, since each limits its tasks on one host, and those present if
    # no free room suffices, with a further one.
    spread: int = 0
    # The parts of backlog and startable that belong to jobs that can still
    # meet their objectives.
    timely_backlog: float = 0.0
    timely_startable: float = 0.0


def measure_load(
    scheduler: scheduling.Scheduler,
    pool: ids.PoolId,
    size: specs.Resources,
) -> Load:
    """Return the load of a pool; ``size`` is the capacity of a host."""
    simultaneous = active = backlog = startable = 0.0
    timely_backlog = timely_startable = 0.0
    is_waiting = False
    spread = 0
    mean_s = scheduler.run_times.get_mean(pool)
    rooms: dict[ids.OrganisationId, specs.Resources] = {}
    for job in scheduler.get_pool_jobs(pool):
        startable_groups = set(job.find_startable_groups(scheduler.wall_time))
        is_timely = not ordering.is_late(job, scheduler.wall_time, mean_s)
        for group in job.groups.values():
            share = get_host_share(group.step, size)
            running = sum(group.running_by_worker.values())
            waiting = 0
            if group in startable_groups:
                waiting = _take_room(scheduler, rooms, job, group)
            is_waiting = is_waiting or waiting > 0
            if group.step.is_long_running or group.step.is_gang:
                simultaneous += share * (running + waiting)
                spread = max(spread, _count_spread(group, running + waiting))
                if waiting:
                    spread = max(
                        spread,
                        _count_with_scattered_room(
                            scheduler, job, group, size
                        ),
                    )
                continue
            active += share * running
            left = share * (group.unfinished - running)
            backlog += left
            startable += share * waiting
            if is_timely:
                timely_backlog += left
                timely_startable += share * waiting
    return Load(
        simultaneous,
        active,
        backlog,
        startable,
        is_waiting,
        spread,
        timely_backlog,
        timely_startable,
    )


def count_within_room(
    count: int, need: specs.Resources, room: specs.Resources
) -> int:
    """Return how many tasks an organisation may start in its room."""
    if need == specs.Resources():
        return count
    return min(count, *_list_fitting(need, room))


def _take_room(
    scheduler: scheduling.Scheduler,
    rooms: dict[ids.OrganisationId, specs.Resources],
    job: progress.JobProgress,
    group: progress.Group,
) -> int:
    """Return how many waiting tasks the organisation's limit lets start.

    A host is of no use to the others. Their room is taken from ``rooms``.
    Short tasks take the place of those that run, so all of the limit is room
    for them.
    """
    name = job.record.organisation
    limit = scheduler.directory.get_limit(name)
    if limit == specs.Resources():
        return len(group.waiting)
    room = scheduler.usage.get_room(name, limit)
    if not (group.step.is_long_running or group.step.is_gang):
        used = scheduler.usage.get_used(name)
        room = rooms.get(name, room.plus(used))
    need = group.step.need
    count = count_within_room(len(group.waiting), need, room)
    if not (group.step.is_long_running or group.step.is_gang):
        rooms[name] = room.minus(need.times(count))
    return count


def count_hosts(load: Load, rate: float, mean_run_s: float | None) -> int:
    """Return how many hosts a load needs.

    ``rate`` is the work that arrives per second, in hosts; ``mean_run_s``
    is the mean run time of a task, None if unknown.
    """
    return _count_with_backlog(
        load, load.startable, load.backlog, rate, mean_run_s
    )


def count_timely_hosts(
    load: Load, rate: float, mean_run_s: float | None
) -> int:
    """Return how many hosts the jobs need that can still be in time."""
    return _count_with_backlog(
        load, load.timely_startable, load.timely_backlog, rate, mean_run_s
    )


def _count_with_backlog(
    load: Load,
    startable: float,
    backlog: float,
    rate: float,
    mean_run_s: float | None,
) -> int:
    run_s = mean_run_s or DEFAULT_RUN_TIME_S
    backlog_hosts = min(startable, backlog * run_s / BACKLOG_CLEAR_S)
    # Tasks that still run when a host that is ordered now would be ready.
    still_running = load.running * max(0.0, 1.0 - BACKLOG_CLEAR_S / run_s)
    needed = load.simultaneous + still_running + rate * run_s + backlog_hosts
    return max(count_base_hosts(load), math.ceil(needed))


def count_base_hosts(load: Load) -> int:
    """Return how many hosts a load needs even when hosts are scarce."""
    return max(MIN_HOSTS, load.spread, math.ceil(load.simultaneous))


def get_host_share(step: specs.Step, size: specs.Resources) -> float:
    """Return the share of a host that a task of a step occupies.

    Capacity that remains unused because no further task of the step fits
    is included.
    """
    return 1.0 / _count_fitting(workers.get_reserved_resources(step), size)


def _count_spread(group: progress.Group, tasks: int) -> int:
    """Return the fewest hosts that may run some tasks of a group."""
    limit = group.step.max_per_worker
    return math.ceil(tasks / limit) if limit else 0


def _count_with_scattered_room(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    group: progress.Group,
    size: specs.Resources,
) -> int:
    """Return one more than the hosts of a pool if none has room for a task.

    Returns 0 before the task has waited for SCATTERED_ROOM_WAIT_S, and if it
    would not fit on a further host either.
    """
    waited_s = scheduler.get_long_running_wait_s(job.name)
    if waited_s < SCATTERED_ROOM_WAIT_S:
        return 0
    need = workers.get_reserved_resources(group.step)
    present = [
        worker
        for worker in scheduler.get_pool_workers(job.record.pool)
        if worker.state is states.WorkerState.READY and not worker.is_cordoned
    ]
    has_room = any(
        workers.fits_into(need, worker.get_free_resources())
        for worker in present
    )
    if has_room or not workers.fits_into(need, size):
        return 0
    return len(present) + 1


def _count_fitting(need: specs.Resources, size: specs.Resources) -> int:
    """Return how many tasks with the given need fit on one host."""
    return max(1, min(_list_fitting(need, size), default=1))


def _list_fitting(need: specs.Resources, size: specs.Resources) -> list[int]:
    """Return how many tasks each kind of resource suffices for."""
    return [
        available // needed
        for needed, available in (
            (need.cpu_millis, size.cpu_millis),
            (need.memory_mb, size.memory_mb),
            (need.accelerators, size.accelerators),
        )
        if needed
    ]


class DemandTracker:
    """Hosts that each pool needs, now and at most in recent seconds."""

    def __init__(self) -> None:
        self._loads: dict[ids.PoolId, Load] = {}
        # Hosts for jobs that can still be in time.
        self._timely: dict[ids.PoolId, int] = {}
        self._recent: dict[
            ids.PoolId, collections.deque[tuple[float, int]]
        ] = {}
        self._measured_since: dict[ids.PoolId, float] = {}
        # Work accepted within RATE_WINDOW_S: times, and sizes in hosts.
        self._arrivals: dict[
            ids.PoolId, collections.deque[tuple[float, float]]
        ] = {}

    def record_arrival(
        self, pool: ids.PoolId, hosts: float, now: float
    ) -> None:
        """Add accepted work, in hosts; ``now`` is a monotonic time."""
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
        """Add a measured load; ``now`` is a monotonic time in seconds."""
        rate = self._get_rate(pool, now)
        hosts = count_hosts(load, rate, mean_run_s)
        self._loads[pool] = load
        self._timely[pool] = count_timely_hosts(load, rate, mean_run_s)
        self._measured_since.setdefault(pool, now)
        recent = self._recent.setdefault(pool, collections.deque())
        while recent and recent[0][0] < now - SCALE_DOWN_DELAY_S:
            recent.popleft()
        # Earlier and smaller needs can no longer become the maximum.
        while recent and recent[-1][1] <= hosts:
            recent.pop()
        recent.append((now, hosts))

    def is_waiting(self, pool: ids.PoolId) -> bool:
        """Return whether any startable task of a pool waits."""
        return self._loads.get(pool, Load()).is_waiting

    def get_load(self, pool: ids.PoolId) -> Load:
        """Return the last measured load of a pool."""
        return self._loads.get(pool, Load())

    def get_hosts(self, pool: ids.PoolId) -> int:
        """Return how many hosts a pool needs now."""
        recent = self._recent.get(pool)
        return recent[-1][1] if recent else MIN_HOSTS

    def get_need(self, pool: ids.PoolId) -> sharing.Need:
        """Return the base of a pool and the most hosts needed recently."""
        base = count_base_hosts(self.get_load(pool))
        recent = self._recent.get(pool)
        timely = max(base, self._timely.get(pool, 0))
        peak = max(timely, recent[0][1] if recent else 0)
        return sharing.Need(base, timely, peak)

    def get_peak_hosts(self, pool: ids.PoolId, now: float) -> int | None:
        """Return the most hosts needed within SCALE_DOWN_DELAY_S.

        None if the pool has been measured for less than that time.
        """
        recent = self._recent.get(pool)
        if not recent or now < self._measured_since[pool] + SCALE_DOWN_DELAY_S:
            return None
        return recent[0][1]

    def _get_rate(self, pool: ids.PoolId, now: float) -> float:
        """Return the work that arrives per second, in hosts."""
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
        # One standard error below the mean, by Kish's effective sample size,
        # since few or uneven jobs give a poor estimate of the rate.
        confidence = 1.0 - math.sqrt(squares) / total
        return confidence * total / RATE_WINDOW_S
