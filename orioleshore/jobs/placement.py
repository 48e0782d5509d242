"""Which tasks a worker starts when it reports.

Workers ask by their heartbeats, so room is filled where it is known to be
free; the order among jobs comes from ``ordering``.
"""

from __future__ import annotations

import logging
import math
import typing

from orioleshore.jobs import calls
from orioleshore.jobs import eligibility
from orioleshore.jobs import gangs
from orioleshore.jobs import ledger
from orioleshore.jobs import ordering
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# Time for which a suspect worker gets no task after a further failure.
SHUN_S = 1.5
# A lasting task that waits for longer goes to any worker with room.
SHARE_WAIT_S = 1.0
MS_PER_S = 1_000.0
# Longest wait for a rack; half of the objective beyond the work itself.
MAX_RACK_WAIT_S = 1.8
# Tasks that may fill the idle processors of one worker at a time.
MAX_FILLERS = 8


def choose_starts(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> list[calls.StartOrder]:
    """Choose tasks for the free room of a worker, and record them."""
    if worker.state is not states.WorkerState.READY:
        return []
    if worker.is_cordoned or scheduler.now < worker.shunned_until:
        return []
    orders = _start_planned(scheduler, worker)
    free = worker.get_free()
    jobs = scheduler.get_pool_jobs(worker.pool)
    mean_s = scheduler.run_times.get_mean(worker.pool)
    jobs.sort(key=lambda job: ordering.get_rank(job, scheduler.wall, mean_s))
    for job in jobs:
        if free.cpu_millis <= 0 and free.memory_mb <= 0:
            break
        for group in job.find_open_groups(scheduler.wall):
            free = _fill(scheduler, worker, job, group, free, orders)
    return orders


def learn_from_end(
    worker: workers.Worker,
    key: workers.RunKey,
    how: states.RunEnd,
    scheduler: scheduling.Scheduler,
) -> None:
    """Count failures of a worker, and keep work off one that fails all."""
    worker.on_trial.discard(key)
    if how is states.RunEnd.DONE:
        worker.failures_in_row = 0
    if how is states.RunEnd.FAILED:
        learn_from_stall(worker, scheduler)


def learn_from_stall(
    worker: workers.Worker, scheduler: scheduling.Scheduler
) -> None:
    """Count a run that failed or stood still against its worker."""
    worker.failures_in_row += 1
    if worker.failures_in_row < eligibility.SUSPECT_FAILURES:
        return
    worker.shunned_until = scheduler.now + SHUN_S
    LOG.warning(
        logs.format_event(
            'worker_suspected',
            worker=worker.name,
            host=worker.host,
            failures_in_row=worker.failures_in_row,
            shunned_s=SHUN_S,
        )
    )


def get_retry_ms(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> int | None:
    """Return when a worker should report again, None for its own pace."""
    if worker.state is not states.WorkerState.READY:
        return None
    return scheduler.limits.idle_retry_ms


def _fill(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
    free: specs.Resources,
    orders: list[calls.StartOrder],
) -> specs.Resources:
    """Start tasks of one group, and return the room that is left."""
    step = group.step
    if step.is_gang or not eligibility.is_allowed(
        scheduler, worker, job, group
    ):
        return free
    if not _is_near(scheduler, worker, job, group):
        return free
    need = workers.get_reserved(step)
    started = []
    while (
        group.waiting
        and group.may_use(worker.name)
        and workers.fits(need, free)
        and _may_take_more(worker, step)
        and (
            not step.is_lasting or _may_hold(scheduler, worker, job.job, group)
        )
    ):
        index = _take_index(scheduler, worker, job, group)
        if index is None:
            break
        task = specs.make_task_name(group.occurrence, group.position, index)
        run = job.record.tasks.get(task)
        attempt = ids.Attempt((run.attempt if run else 0) + 1)
        orders.append(_start(scheduler, worker, job, group, index, attempt))
        started.append(f'{task}/{attempt}')
        free = workers.subtract(free, need)
    if started:
        LOG.info(
            logs.format_event(
                'tasks_started',
                job=job.job,
                worker=worker.name,
                tasks=started,
                waited_s=scheduler.wall - group.open_since,
                still_waiting=len(group.waiting),
                free_cpu=free.cpu_millis,
                heartbeat=worker.sequence,
            )
        )
    return free


def _is_near(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    """Return whether a worker should take a step that prefers a rack.

    On another rack the tasks take a multiple of their time, so those wait
    for a while where the rack has workers at all.
    """
    step = group.step
    racks = {step.data_rack} if step.data_rack else set()
    if step.needs_one_rack and not racks:
        racks = {
            scheduler.workers[name].rack
            for name, count in group.workers.items()
            if count and name in scheduler.workers
        }
    if not racks or worker.rack in racks:
        return True
    waited_s = scheduler.wall - group.open_since
    extra_ms = (scheduler.limits.remote_factor - 1.0) * step.estimate_ms
    if waited_s >= min(extra_ms / MS_PER_S, MAX_RACK_WAIT_S):
        return True
    return not any(
        other.rack in racks and eligibility.is_available(scheduler, other)
        for other in scheduler.get_pool_workers(job.record.pool)
    )


def _start_planned(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> list[calls.StartOrder]:
    """Start the members of gangs for which room was reserved here."""
    orders = []
    for job, group, index in gangs.find_planned(scheduler, worker):
        group.waiting.remove(index)
        group.plan.pop(index, None)
        # The others must follow: a member alone ends after a while.
        group.plan_until = scheduler.now + scheduler.limits.gang_ms / MS_PER_S
        orders.append(
            _start(scheduler, worker, job, group, index, group.plan_attempt)
        )
    return orders


def _take_index(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> int | None:
    """Take the first waiting task that did not just fail on a worker.

    A worker that fails all it starts would use up a task's attempts.
    """
    for index in sorted(group.waiting):
        task = specs.make_task_name(group.occurrence, group.position, index)
        run = job.record.tasks.get(task)
        failed_here = run and run.failures and run.worker == worker.name
        if failed_here and _has_other(scheduler, worker):
            continue
        group.waiting.remove(index)
        return index
    return None


def _has_other(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> bool:
    return any(
        other is not worker and eligibility.is_available(scheduler, other)
        for other in scheduler.get_pool_workers(worker.pool)
    )


def _may_take_more(worker: workers.Worker, step: specs.Step) -> bool:
    if (
        worker.failures_in_row >= eligibility.SUSPECT_FAILURES
        and worker.on_trial
    ):
        return False
    if not step.is_filler:
        return True
    fillers = sum(need.cpu_millis == 0 for need in worker.ordered.values())
    return fillers < MAX_FILLERS


def _may_hold(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: ids.JobId,
    group: progress.Group,
) -> bool:
    """Return whether a lasting task should go to a worker.

    Lasting tasks share few workers, so that the others can move to other
    pools. A worker holds more than half of a step only where no other can
    take it.
    """
    if scheduler.get_lasting_wait(job) > SHARE_WAIT_S:
        return True
    half = math.ceil(group.step.tasks / 2)
    others = [
        other
        for other in _find_others(scheduler, worker, group)
        if group.workers[other.name] < half
    ]
    if group.workers[worker.name] >= half:
        return not others
    if scheduler.holds_lasting(worker):
        return True
    return not any(scheduler.holds_lasting(other) for other in others)


def _find_others(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    group: progress.Group,
) -> list[workers.Worker]:
    """Return other workers that could take a task of a group now."""
    need = workers.get_reserved(group.step)
    return [
        other
        for other in scheduler.get_pool_workers(worker.pool)
        if other is not worker
        and group.may_use(other.name)
        and eligibility.is_available(scheduler, other)
        and workers.fits(need, other.get_free())
    ]


def _start(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
    index: int,
    attempt: ids.Attempt,
) -> calls.StartOrder:
    task = specs.make_task_name(group.occurrence, group.position, index)
    run = job.record.tasks.get(task)
    worker.reserved.pop((job.job, task), None)
    checkpoint = run.checkpoint if run else ''
    scheduler.record(
        ledger.TaskStarted(
            job.job,
            task,
            attempt,
            worker.name,
            worker.incarnation,
            worker.sequence,
        )
    )
    job.start(task, worker.name)
    key = (job.job, task, attempt)
    worker.ordered[key] = workers.get_reserved(group.step)
    worker.on_trial.add(key)
    worker.began_at[key] = scheduler.now
    return calls.StartOrder(
        job.job,
        task,
        attempt,
        job.record.job.payload,
        checkpoint,
        scheduler.approvals.get_ticket(worker, job, group) or '',
    )
