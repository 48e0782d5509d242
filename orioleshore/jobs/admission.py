"""Admission control: whether a submitted job is accepted or refused.

Answers the load in which the demand of a queue exceeds its pool and all
standby hosts for longer than a demand peak. A job that would complete too
late to be useful is refused before it runs, with the delay after which
capacity is expected. Run times are measured, since the declared ones are
far off.
"""

from __future__ import annotations

import collections
import typing

from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

MS_PER_S = 1_000.0
# A result is useless after this many times the objective of its job, as
# agreed with the callers.
USEFUL_OBJECTIVES = 3.0
# Runs needed before the mean is reliable; run times vary by half of their
# mean.
MIN_RUNS = 20
# Weight of the newest run in the moving average of run times.
SMOOTHING_FACTOR = 0.05
# Each started task takes up 0.5 kB in each of two copies of the state, of
# 300 MB that a process has.
MAX_TASKS_PER_OCCURRENCE = 200_000
# Longest retry delay given to a refused caller. Demand changes with each
# peak, so a longer forecast is unreliable.
MAX_RETRY_AFTER_S = 30.0


class RetrySlots:
    """Future capacity of each pool, assigned to refused callers in turn."""

    def __init__(self) -> None:
        self._reserved_until: dict[ids.PoolId, float] = {}

    def reserve_slot(
        self, pool: ids.PoolId, earliest: float, work_s: float
    ) -> float:
        """Reserve capacity; return the monotonic time at which to retry.

        The time is after those given to earlier callers. ``earliest`` is a
        monotonic time, ``work_s`` how long the pool needs for the job.
        """
        retry_at = max(earliest, self._reserved_until.get(pool, 0.0)) + work_s
        retry_at = min(retry_at, earliest + MAX_RETRY_AFTER_S)
        self._reserved_until[pool] = retry_at
        return retry_at


class RunTimes:
    """Moving average of the run times of each pool's tasks, in seconds."""

    def __init__(self) -> None:
        self._means: dict[ids.PoolId, float] = {}
        self._counts: collections.Counter[ids.PoolId] = collections.Counter()

    def add_run_time(self, pool: ids.PoolId, seconds: float) -> None:
        """Add the run time of one successful run."""
        mean = self._means.get(pool, seconds)
        self._counts[pool] += 1
        self._means[pool] = mean + SMOOTHING_FACTOR * (seconds - mean)

    def get_mean(self, pool: ids.PoolId) -> float | None:
        """Return the mean run time, None before MIN_RUNS runs."""
        if self._counts[pool] < MIN_RUNS:
            return None
        return self._means[pool]


def get_objective_ms(job: specs.Job, queue: specs.Queue) -> int:
    """Return the time for completing a job, in milliseconds."""
    chain_ms = specs.get_longest_chain_ms(job.steps)
    return int(queue.stretch * chain_ms) + queue.objective_ms


def build_acceptance(
    name: ids.JobId,
    job: specs.Job,
    queue: specs.Queue,
    organisation: ids.OrganisationId,
    wall_time: ids.WallTime,
) -> ledger.JobAccepted:
    """Return the record of an accepted job; its queue may change later."""
    return ledger.JobAccepted(
        name,
        job,
        queue.host,
        queue.prefix,
        queue.pool,
        queue.priority,
        queue.max_attempts,
        get_objective_ms(job, queue),
        wall_time,
        queue.needs_approval,
        organisation,
    )


def find_refusal(
    scheduler: scheduling.Scheduler,
    job: specs.Job,
    queue: specs.Queue,
) -> errors.Failure | None:
    """Return why a job is refused, None if it is accepted."""
    spec_error = _find_spec_error(job)
    if spec_error:
        return errors.Failure(errors.ErrorKind.INVALID_REQUEST, spec_error)
    if not _fits_anywhere(scheduler, job):
        return errors.Failure(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            'a task needs more resources than any host has',
            retry_after_s=USEFUL_OBJECTIVES
            * get_objective_ms(job, queue)
            / MS_PER_S,
        )
    if job.is_long_running or job.occurrences:
        return None
    return _find_overload(scheduler, job, queue)


def get_expected_wait_s(
    scheduler: scheduling.Scheduler, pool: ids.PoolId, mean_s: float
) -> float:
    """Return how long a pool needs for its backlog, in seconds."""
    capacity = _get_backlog_cpu_millis(scheduler, pool)
    if not capacity:
        # No estimate is possible while no host is known.
        return 0.0
    backlog = sum(
        group.unfinished
        * workers.get_reserved_resources(group.step).cpu_millis
        for job in scheduler.get_pool_jobs(pool)
        if not job.is_long_running
        for group in job.groups.values()
    )
    return backlog * mean_s / capacity


def _find_overload(
    scheduler: scheduling.Scheduler,
    job: specs.Job,
    queue: specs.Queue,
) -> errors.Failure | None:
    mean_s = scheduler.run_times.get_mean(queue.pool)
    if mean_s is None or not scheduler.has_complete_view:
        # A new leader knows neither the capacity nor the run times.
        return None
    wait_s = get_expected_wait_s(scheduler, queue.pool, mean_s)
    useful_s = USEFUL_OBJECTIVES * get_objective_ms(job, queue) / MS_PER_S
    if wait_s <= useful_s:
        return None
    work_s = (
        _get_job_cpu_millis(job)
        * mean_s
        / _get_backlog_cpu_millis(scheduler, queue.pool)
    )
    earliest = scheduler.now + wait_s - useful_s
    retry_at = scheduler.retry_slots.reserve_slot(queue.pool, earliest, work_s)
    return errors.Failure(
        errors.ErrorKind.OVERLOADED,
        f'the backlog takes {wait_s:.1f} s, but the result is useful only '
        f'within {useful_s:.1f} s',
        retry_after_s=retry_at - scheduler.now,
    )


def _get_job_cpu_millis(job: specs.Job) -> int:
    """Return the CPU that all tasks of a job reserve, in thousandths."""
    return sum(
        step.tasks * workers.get_reserved_resources(step).cpu_millis
        for step in job.steps
    )


def _get_backlog_cpu_millis(
    scheduler: scheduling.Scheduler, pool: ids.PoolId
) -> int:
    """Return the CPU available for a pool's backlog, in thousandths."""
    members = scheduler.get_pool_workers(pool)
    capacity = sum(worker.capacity.cpu_millis for worker in members)
    present = scheduler.get_hosts_with_worker()
    spare = sum(
        info.capacity.cpu_millis
        for host, info in scheduler.known_hosts.rows.items()
        if host not in present
        and (scheduler.is_standby(info.pool) or _is_arriving(info, pool))
    )
    long_running = sum(
        need.cpu_millis
        for worker in members
        for key, need in worker.ordered.items()
        if scheduler.is_long_running_run(key)
    )
    return max(0, capacity + spare - long_running)


def _is_arriving(info: calls.HostInfo, pool: ids.PoolId) -> bool:
    """Return whether a host is on its way to a pool."""
    return info.pool == pool and info.state is states.PlatformHostState.MOVING


def _fits_anywhere(scheduler: scheduling.Scheduler, job: specs.Job) -> bool:
    sizes = [worker.capacity for worker in scheduler.workers.values()]
    sizes += [info.capacity for info in scheduler.known_hosts.rows.values()]
    if not sizes:
        return True
    return all(
        any(
            workers.fits_into(workers.get_reserved_resources(step), size)
            for size in sizes
        )
        for step in job.steps
    )


def _find_spec_error(job: specs.Job) -> str:
    """Return why a job is invalid, empty if it is valid."""
    if not job.steps:
        return 'the job has no steps'
    if sum(step.tasks for step in job.steps) > MAX_TASKS_PER_OCCURRENCE:
        return f'the job has more than {MAX_TASKS_PER_OCCURRENCE} tasks'
    for position, step in enumerate(job.steps):
        if step.tasks < 1:
            return f'step {position} has no tasks'
        if any(not 0 <= earlier < position for earlier in step.after):
            return f'step {position} depends on a step that is not before it'
    return ''
