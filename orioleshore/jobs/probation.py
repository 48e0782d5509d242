"""Placement of suspect tasks, which may crash the worker that starts them.

Answers tasks whose workers were lost soon after the start. The suspects of one
job are started together on one worker, the one with the fewest other runs, and
nothing else is started there until they have run for a moment. A further crash
then names the job, and harms few others.
"""

from __future__ import annotations

import logging
import typing

from orioleshore.jobs import answer_limits
from orioleshore.jobs import eligibility
from orioleshore.jobs import placement
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# Suspects wait this long for the worker with the fewest runs; workers with
# free capacity report every 0.1 s.
CHOICE_S = 0.3


def start_suspects(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> answer_limits.StartOrders:
    """Start suspects of one job on a worker; return the orders.

    Long-running jobs go first, and those under which fewer workers were lost.
    """
    none = answer_limits.make_start_orders(worker, scheduler.pace)
    if not scheduler.crashes.is_start_due(worker.pool):
        return none
    if not scheduler.crashes.has_room(worker.pool):
        return none
    waiting = scheduler.crashes.get_waiting(worker.pool)
    tasks_by_job: dict[ids.JobId, list[ids.TaskName]] = {}
    for name, task in waiting:
        tasks_by_job.setdefault(name, []).append(task)
    jobs = [
        scheduler.jobs[name]
        for name in tasks_by_job
        if _can_try_job(scheduler, scheduler.jobs[name])
    ]
    jobs.sort(
        key=lambda job: (
            not job.is_long_running,
            _count_losses(job, tasks_by_job[job.name]),
        )
    )
    for job in jobs:
        orders = _start_suspects_of_job(
            scheduler, worker, job, tasks_by_job[job.name]
        )
        if orders:
            return orders
    return none


def _can_try_job(
    scheduler: scheduling.Scheduler, job: progress.JobProgress
) -> bool:
    """Return whether suspects of a job may start on one more worker.

    One worker is enough to learn of a crash, so the others follow once the
    first suspects have run without harm.
    """
    is_tried = job.probation or scheduler.now < job.news_due_at
    return job.has_passed_probation or not is_tried


def _count_losses(job: progress.JobProgress, tasks: list[ids.TaskName]) -> int:
    return max(job.record.tasks[task].losses for task in tasks)


def _start_suspects_of_job(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    tasks: list[ids.TaskName],
) -> answer_limits.StartOrders:
    orders = answer_limits.make_start_orders(worker, scheduler.pace)
    waiting = scheduler.crashes.get_waiting(worker.pool)
    due = [
        task
        for task in tasks
        if scheduler.now >= waiting[job.name, task]
        and not job.get_group(task).step.is_gang
    ]
    if not due or not _is_preferred(scheduler, worker, job, due[0]):
        return orders
    if any(
        scheduler.crashes.give_up_instead_of_start(job.name, task)
        for task in due
    ):
        return orders
    for task in due:
        if not orders.has_room:
            break
        group = job.get_group(task)
        _, _, index = specs.parse_task_name(task)
        if index not in group.waiting:
            continue
        if not _fits(scheduler, worker, job, group):
            continue
        group.waiting.remove(index)
        attempt = ids.Attempt(job.record.tasks[task].attempt + 1)
        orders.append(
            placement.start_task(scheduler, worker, job, group, index, attempt)
        )
    if orders:
        LOG.info(
            logs.format_event(
                'suspects_started',
                job=job.name,
                worker=worker.name,
                tasks=[f'{order.task}/{order.attempt}' for order in orders],
                losses=_count_losses(job, [order.task for order in orders]),
                runs=len(worker.ordered) - len(orders),
            )
        )
    return orders


def _fits(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    need = workers.get_reserved_resources(group.step)
    return (
        workers.fits_into(need, worker.get_free_resources())
        and group.can_use_worker(worker.name)
        and eligibility.is_allowed(scheduler, worker, job, group)
        and scheduler.can_start_within_limit(job, group.step.need)
    )


def _is_preferred(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    task: ids.TaskName,
) -> bool:
    """Return whether no other worker is better for a suspect task.

    The worker with the fewest runs is preferred, and any other one to that of
    the host that was lost last.
    """
    since = scheduler.crashes.get_waiting(worker.pool)[job.name, task]
    if scheduler.now >= since + CHOICE_S:
        return True
    fewest = scheduler.crashes.get_fewest_runs(worker.pool)
    is_other_host = worker.host != job.record.tasks[task].host
    return is_other_host and len(worker.ordered) <= fewest
