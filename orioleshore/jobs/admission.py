"""Admission control: whether a submitted job is accepted or refused.

Answers the load in which the demand of a queue exceeds its pool and all
standby hosts for longer than a demand peak. A job that would complete too
late to be useful is refused before it runs, with the delay after which
capacity is expected. Run times are measured, since the declared ones are
far off. Each organisation is refused by its own backlog and weighted share,
so that one that floods a queue has its jobs refused, and others have not.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import typing

from orioleshore.jobs import calls
from orioleshore.jobs import fair_shares
from orioleshore.jobs import ledger
from orioleshore.jobs import organisations
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

MS_PER_S = 1_000.0
MILLIS_PER_CORE = 1_000.0
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
# Longest time over which refused callers are spread, from when the first of
# them would find room. Demand changes with each peak, so a longer forecast is
# unreliable.
MAX_RETRY_AFTER_S = 120.0


class RetrySlots:
    """Future capacity of each pool, assigned to refused callers in turn.

    Each organisation has slots of its own, so that the callers of one that
    floods a pool do not make the refused callers of others wait.
    """

    def __init__(self) -> None:
        self._reserved_until: dict[
            tuple[ids.PoolId, ids.OrganisationId], float
        ] = {}

    def reserve_slot(
        self,
        pool: ids.PoolId,
        organisation: ids.OrganisationId,
        earliest: float,
        work_s: float,
    ) -> float:
        """Reserve capacity; return the monotonic time at which to retry.

        The time is after those given to earlier callers. ``earliest`` is a
        monotonic time, ``work_s`` how long the pool needs for the job beside
        the work of other organisations. Past MAX_RETRY_AFTER_S the slots are
        assigned once more from the start, so that callers never get the same
        time because they were many.
        """
        key = pool, organisation
        retry_at = max(earliest, self._reserved_until.get(key, 0.0)) + work_s
        if retry_at > earliest + MAX_RETRY_AFTER_S:
            retry_at = earliest + work_s
        self._reserved_until[key] = retry_at
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
    organisation: ids.OrganisationId = organisations.NO_ORGANISATION,
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
    return _find_overload(scheduler, job, queue, organisation)


def get_expected_wait_s(
    scheduler: scheduling.Scheduler,
    pool: ids.PoolId,
    organisation: ids.OrganisationId,
    mean_s: float,
    useful_s: float,
) -> float:
    """Return how long an organisation's backlog takes, in seconds.

    Work of another organisation that its limit holds back for longer than
    ``useful_s`` is not counted, and the backlog takes as long as the
    organisation's own limit makes it.
    """
    cores = _get_backlog_cpu_millis(scheduler, pool) / MILLIS_PER_CORE
    if not cores:
        # No estimate is possible while no host is known.
        return 0.0
    work = {
        name: _limit_work(scheduler, name, work_s, useful_s)
        if name != organisation
        else work_s
        for name, work_s in _sum_work(scheduler, pool, mean_s).items()
    }
    wait_s = fair_shares.get_clear_time_s(
        work, _get_weights(scheduler, work), organisation, cores
    )
    limit = scheduler.directory.get_limit(organisation).cpu_millis
    if limit:
        own_s = work.get(organisation, 0.0)
        wait_s = max(wait_s, own_s * MILLIS_PER_CORE / limit)
    return wait_s


def update_fair_shares(scheduler: scheduling.Scheduler) -> None:
    """Update the organisations among which capacity is shared."""
    if not scheduler.ledger.configuration.organisations:
        return
    open_jobs = [j for j in scheduler.jobs.values() if not j.is_long_running]
    names = {job.record.organisation for job in open_jobs}
    waiting = [
        fair_shares.WaitingJob(
            job.name, job.record.organisation, job.record.pool
        )
        for job in open_jobs
        if job.find_startable_groups(scheduler.wall_time)
    ]
    total = specs.Resources()
    for worker in scheduler.workers.values():
        total = total.plus(worker.capacity)
    scheduler.fair_shares.update(
        _get_weights(scheduler, names),
        total,
        waiting,
        scheduler.usage.get_used,
    )


def _find_overload(
    scheduler: scheduling.Scheduler,
    job: specs.Job,
    queue: specs.Queue,
    organisation: ids.OrganisationId,
) -> errors.Failure | None:
    mean_s = scheduler.run_times.get_mean(queue.pool)
    if mean_s is None or not scheduler.has_complete_view:
        # A new leader knows neither the capacity nor the run times.
        return None
    useful_s = USEFUL_OBJECTIVES * get_objective_ms(job, queue) / MS_PER_S
    wait_s = get_expected_wait_s(
        scheduler, queue.pool, organisation, mean_s, useful_s
    )
    if wait_s <= useful_s:
        return None
    names = {organisation, *_sum_work(scheduler, queue.pool, mean_s)}
    shares = fair_shares.get_shares(_get_weights(scheduler, names))
    work_s = (
        _get_job_cpu_millis(job)
        * mean_s
        / _get_backlog_cpu_millis(scheduler, queue.pool)
    )
    earliest = scheduler.now + wait_s - useful_s
    retry_at = scheduler.retry_slots.reserve_slot(
        queue.pool, organisation, earliest, work_s / shares[organisation]
    )
    return errors.Failure(
        errors.ErrorKind.OVERLOADED,
        f'the backlog takes {wait_s:.1f} s, but the result is useful only '
        f'within {useful_s:.1f} s',
        retry_after_s=retry_at - scheduler.now,
    )


def _limit_work(
    scheduler: scheduling.Scheduler,
    name: ids.OrganisationId,
    work_s: float,
    within_s: float,
) -> float:
    """Return the work that an organisation's limit lets run in a time."""
    limit = scheduler.directory.get_limit(name).cpu_millis
    if not limit:
        return work_s
    return min(work_s, within_s * limit / MILLIS_PER_CORE)


def _sum_work(
    scheduler: scheduling.Scheduler, pool: ids.PoolId, mean_s: float
) -> dict[ids.OrganisationId, float]:
    """Return the work that is left in a pool, in CPU seconds."""
    totals: dict[ids.OrganisationId, float] = {}
    for job in scheduler.get_pool_jobs(pool):
        if job.is_long_running:
            continue
        left = sum(
            group.unfinished
            * workers.get_reserved_resources(group.step).cpu_millis
            for group in job.groups.values()
        )
        name = job.record.organisation
        work_s = left * mean_s / MILLIS_PER_CORE
        totals[name] = totals.get(name, 0.0) + work_s
    return totals


def _get_weights(
    scheduler: scheduling.Scheduler, names: Iterable[ids.OrganisationId]
) -> dict[ids.OrganisationId, float]:
    return {name: scheduler.directory.get_weight(name) for name in names}


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
