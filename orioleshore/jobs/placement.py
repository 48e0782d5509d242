"""Which tasks a worker starts when it reports.

Workers ask by their heartbeats, so room is filled where it is known to be
free; the order among jobs comes from ``ordering``.
"""

from __future__ import annotations

import math
import typing

from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import ordering
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

# Ends in a row without success after which a worker is tried with one
# task at a time: a job of its own fault fails on other workers too.
SUSPECT_FAILURES = 3
# Time for which a suspect worker gets no task after a further failure.
SHUN_S = 1.5
# A lasting task that waits for longer goes to any worker with room.
SHARE_WAIT_S = 1.0
# A worker that is silent for this long is not waited for; workers with
# room report every 0.1 s.
SILENT_S = 0.4
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
    free = worker.get_free()
    jobs = scheduler.get_pool_jobs(worker.pool)
    jobs.sort(key=lambda job: ordering.get_rank(job, scheduler.wall))
    orders: list[calls.StartOrder] = []
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
    if how is not states.RunEnd.FAILED:
        return
    worker.failures_in_row += 1
    if worker.failures_in_row >= SUSPECT_FAILURES:
        worker.shunned_until = scheduler.now + SHUN_S


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
    if step.is_gang or not _is_allowed(worker, step):
        return free
    need = workers.get_reserved(step)
    while (
        group.waiting
        and group.may_use(worker.name)
        and workers.fits(need, free)
        and _may_take_more(worker, step)
        and (
            not step.is_lasting or _may_hold(scheduler, worker, job.job, group)
        )
    ):
        orders.append(_start(scheduler, worker, job, group))
        free = workers.subtract(free, need)
    return free


def _is_allowed(worker: workers.Worker, step: specs.Step) -> bool:
    return not step.required_label or step.required_label in worker.labels


def _may_take_more(worker: workers.Worker, step: specs.Step) -> bool:
    if worker.failures_in_row >= SUSPECT_FAILURES and worker.on_trial:
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
    pools, but no worker holds more than half of a step.
    """
    if scheduler.get_lasting_wait(job) > SHARE_WAIT_S:
        return True
    half = math.ceil(group.step.tasks / 2)
    if group.workers[worker.name] >= half:
        return False
    if _holds_lasting(scheduler, worker):
        return True
    need = workers.get_reserved(group.step)
    return not any(
        group.workers[other.name] < half
        and group.may_use(other.name)
        and is_available(scheduler, other)
        and _holds_lasting(scheduler, other)
        and workers.fits(need, other.get_free())
        for other in scheduler.get_pool_workers(worker.pool)
        if other is not worker
    )


def is_available(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> bool:
    """Return whether a worker can be expected to take tasks soon."""
    return (
        worker.state is states.WorkerState.READY
        and not worker.is_cordoned
        and worker.failures_in_row < SUSPECT_FAILURES
        and scheduler.now < worker.heard_at + SILENT_S
    )


def _holds_lasting(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> bool:
    for key in worker.ordered:
        job = scheduler.jobs.get(key[0])
        if job is not None and job.get_step(key[1]).is_lasting:
            return True
    return False


def _start(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> calls.StartOrder:
    index = group.take()
    task = specs.make_task_name(group.occurrence, group.position, index)
    run = job.record.tasks.get(task)
    attempt = ids.Attempt((run.attempt if run else 0) + 1)
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
    return calls.StartOrder(
        job.job, task, attempt, job.record.job.payload, checkpoint
    )
