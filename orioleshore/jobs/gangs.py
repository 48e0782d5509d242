"""Gang scheduling: where all members of a gang start together.

Answers gangs that compete with other work: a member that waits for the
others occupies capacity without progress, so capacity is reserved for all
members before the first one starts.
"""

from __future__ import annotations

import logging
import typing

from orioleshore.jobs import eligibility
from orioleshore.jobs import organisations
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# A gang that waits for longer also starts on workers that failed often.
SUSPECTS_WAIT_S = 2.0
# A plan expires after this time if no member has started; workers with
# free capacity report every 0.1 s.
PLAN_TIMEOUT_S = 1.0


def plan_gangs(scheduler: scheduling.Scheduler) -> None:
    """Cancel expired plans and reserve capacity for startable gangs."""
    for job in list(scheduler.jobs.values()):
        for group in job.find_startable_groups(scheduler.wall_time):
            if not group.step.is_gang:
                continue
            if (
                group.planned_workers
                and scheduler.now >= group.plan_expires_at
            ):
                _cancel_plan(scheduler, job, group)
            if (
                not group.planned_workers
                and len(group.waiting) == group.step.tasks
                and scheduler.now >= job.news_due_at
                and not _give_up_members(scheduler, job, group)
            ):
                _plan_gang(scheduler, job, group)


def _give_up_members(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    """Give up a gang with a member that has done too much harm."""
    names = [
        specs.make_task_name(group.occurrence, group.position, index)
        for index in group.waiting
    ]
    return any(
        scheduler.crashes.give_up_instead_of_start(job.name, name)
        for name in names
    )


def find_planned_members(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> list[tuple[progress.JobProgress, progress.Group, int]]:
    """Return the gang members that are planned on a worker."""
    found = []
    for name, task in list(worker.reserved):
        job = scheduler.jobs.get(name)
        if job is None:
            del worker.reserved[name, task]
            continue
        _, _, index = specs.parse_task_name(task)
        found.append((job, job.get_group(task), index))
    return found


def _plan_gang(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    group: progress.Group,
) -> None:
    whole = group.step.need.times(group.step.tasks)
    if not scheduler.is_within_limit(job, whole):
        return
    waited_s = scheduler.wall_time - group.startable_since
    is_usable = (
        eligibility.is_available
        if waited_s < SUSPECTS_WAIT_S
        else eligibility.is_in_contact
    )
    members = [
        worker
        for worker in scheduler.get_pool_workers(job.record.pool)
        if is_usable(scheduler, worker)
        and not worker.probation
        and eligibility.is_allowed(scheduler, worker, job, group)
    ]
    racks = sorted({worker.rack for worker in members})
    # A single rack is faster for rack-sensitive steps and no worse for
    # others, so it is tried before all workers together.
    choices = [[w for w in members if w.rack == rack] for rack in racks]
    for candidates in (*choices, members):
        chosen = _choose_workers(group, candidates)
        if chosen is not None:
            _reserve_resources(scheduler, job, group, chosen)
            return


def _choose_workers(
    group: progress.Group, candidates: list[workers.Worker]
) -> list[workers.Worker] | None:
    """Return a worker for each member, None if capacity is insufficient."""
    need = workers.get_reserved_resources(group.step)
    limit = group.step.max_per_worker or group.step.tasks
    chosen: list[workers.Worker] = []
    for worker in candidates:
        free = worker.get_free_resources()
        count = 0
        while (
            len(chosen) < group.step.tasks
            and count < limit
            and workers.fits_into(need, free)
        ):
            chosen.append(worker)
            free = workers.subtract_resources(free, need)
            count += 1
    return chosen if len(chosen) == group.step.tasks else None


def _reserve_resources(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    group: progress.Group,
    chosen: list[workers.Worker],
) -> None:
    need = workers.get_reserved_resources(group.step)
    group.plan_expires_at = scheduler.now + PLAN_TIMEOUT_S
    group.plan_attempt = ids.Attempt(1 + _get_last_attempt(job, group))
    for index, worker in enumerate(chosen):
        task = specs.make_task_name(group.occurrence, group.position, index)
        group.planned_workers[index] = worker.name
        worker.reserved[job.name, task] = need
        scheduler.usage.charge(
            worker.name, job.record.organisation, group.step.need
        )
    LOG.info(
        logs.format_event(
            'gang_planned',
            job=job.name,
            step=group.position,
            attempt=group.plan_attempt,
            workers=sorted({worker.name for worker in chosen}),
        )
    )


def _cancel_plan(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    group: progress.Group,
) -> None:
    """Release the capacity reserved for members that did not start."""
    for index, name in group.planned_workers.items():
        worker = scheduler.workers.get(name)
        task = specs.make_task_name(group.occurrence, group.position, index)
        if worker is not None:
            worker.reserved.pop((job.name, task), None)
            scheduler.usage.set_worker(
                name,
                organisations.list_holdings(worker, scheduler.ledger.jobs),
            )
    group.planned_workers.clear()
    LOG.info(
        logs.format_event('gang_given_up', job=job.name, step=group.position)
    )


def _get_last_attempt(job: progress.JobProgress, group: progress.Group) -> int:
    attempts = [0]
    for index in range(group.step.tasks):
        task = specs.make_task_name(group.occurrence, group.position, index)
        run = job.record.tasks.get(task)
        if run is not None:
            attempts.append(run.attempt)
    return max(attempts)
