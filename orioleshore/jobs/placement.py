"""Placement: which tasks a worker starts in answer to a heartbeat.

Tasks are placed only on the worker that is reporting, so its free capacity
is up to date. The order among jobs comes from ``ordering``.
"""

from __future__ import annotations

import logging
import math
import typing

from orioleshore.jobs import alternatives
from orioleshore.jobs import answer_limits
from orioleshore.jobs import calls
from orioleshore.jobs import claiming
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

# A suspect worker gets no task for this long after a further failure.
SUSPECT_PAUSE_S = 1.5
# Pauses after the first, the second and further start orders in a row that a
# worker did not get; no task starts there meanwhile. Other workers report
# within them and take the task. One lost order is repeated at once, since any
# link loses packets.
LOST_ORDER_PAUSES_S = (0.0, 0.5, 1.0, 2.0)
# A long-running task that waits for longer is no longer packed with others;
# it goes to any worker with free capacity.
PACKING_WAIT_S = 1.0
MS_PER_S = 1_000.0
# Longest wait for the preferred rack; half of what the objective allows
# beyond the work itself.
MAX_RACK_WAIT_S = 1.8
# Filler tasks that share the idle CPU of one worker at a time.
MAX_FILLERS_PER_WORKER = 8


def choose_starts(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> answer_limits.StartOrders:
    """Choose tasks for a worker's free capacity, and record their starts."""
    if not can_start_tasks(scheduler, worker):
        return answer_limits.make_start_orders(worker, scheduler.pace)
    orders = _start_gang_members(scheduler, worker)
    if worker.probation:
        return orders
    free = worker.get_free_resources()
    jobs = scheduler.get_pool_jobs(worker.pool)
    mean_s = scheduler.run_times.get_mean(worker.pool)
    above = scheduler.fair_shares.find_above_share(scheduler.usage.get_used)
    jobs.sort(
        key=lambda job: ordering.get_rank(
            job,
            scheduler.wall_time,
            mean_s,
            job.record.organisation in above,
        )
    )
    for job in jobs:
        if free.cpu_millis <= 0 and free.memory_mb <= 0:
            break
        if not orders.has_room:
            break
        for group in job.find_startable_groups(scheduler.wall_time):
            free = _start_from_group(
                scheduler, worker, job, group, free, orders
            )
    return orders


def can_start_tasks(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> bool:
    """Return whether a worker may get tasks.

    Nothing is started beside a run on probation, whose crash would harm it.
    """
    return (
        worker.state is states.WorkerState.READY
        and not worker.is_cordoned
        and not worker.probation
        and scheduler.now >= worker.no_starts_until
    )


def record_run_end(
    worker: workers.Worker,
    key: workers.RunKey,
    how: states.RunEnd,
    scheduler: scheduling.Scheduler,
) -> None:
    """Record the end of a run in the failure count of its worker."""
    worker.unproven_runs.discard(key)
    if how is states.RunEnd.DONE:
        worker.consecutive_failures = 0
    if how is states.RunEnd.FAILED:
        worker.failed_at = {
            task: at
            for task, at in worker.failed_at.items()
            if scheduler.now < at + claiming.RETRY_SAME_WORKER_S
        }
        worker.failed_at[key[:2]] = scheduler.now
        record_failed_run(worker, scheduler)


def record_failed_run(
    worker: workers.Worker, scheduler: scheduling.Scheduler
) -> None:
    """Count a failed or stalled run against its worker.

    A worker with too many consecutive failures gets no task for a while.
    """
    worker.consecutive_failures += 1
    if worker.consecutive_failures < eligibility.SUSPECT_FAILURE_COUNT:
        return
    worker.no_starts_until = scheduler.now + SUSPECT_PAUSE_S
    LOG.warning(
        logs.format_event(
            'worker_suspected',
            worker=worker.name,
            host=worker.host,
            failures_in_row=worker.consecutive_failures,
            shunned_s=SUSPECT_PAUSE_S,
        )
    )


def record_lost_order(
    worker: workers.Worker, scheduler: scheduling.Scheduler
) -> None:
    """Count a start order that did not reach its worker.

    A worker whose answers are lost reports that its runs are missing, and
    would be given the same tasks in the same call, again and again.
    """
    step = min(worker.lost_orders, len(LOST_ORDER_PAUSES_S) - 1)
    pause_s = LOST_ORDER_PAUSES_S[step]
    worker.lost_orders += 1
    worker.no_starts_until = max(
        worker.no_starts_until, scheduler.now + pause_s
    )
    if not pause_s:
        return
    LOG.warning(
        logs.format_event(
            'orders_not_received',
            worker=worker.name,
            host=worker.host,
            in_row=worker.lost_orders,
            paused_s=pause_s,
        )
    )


def get_heartbeat_delay_ms(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> int | None:
    """Return the delay of the next heartbeat in milliseconds.

    None leaves the interval to the worker.
    """
    if worker.state is not states.WorkerState.READY:
        return None
    delay_ms = math.ceil(eligibility.get_heartbeat_interval_ms(scheduler))
    limits = scheduler.limits
    return delay_ms if delay_ms < limits.heartbeat_ms else None


def _start_from_group(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
    free: specs.Resources,
    orders: answer_limits.StartOrders,
) -> specs.Resources:
    """Start tasks of one group; return the capacity that is left."""
    step = group.step
    need = workers.get_reserved_resources(step)
    if step.is_gang or not workers.fits_into(need, free):
        return free
    # Before the costlier checks: one organisation above its limit may have
    # hundreds of jobs that wait beside free workers.
    if not scheduler.can_start_within_limit(job, step.need):
        return free
    if not eligibility.is_allowed(scheduler, worker, job, group):
        return free
    if not is_rack_acceptable(scheduler, worker, job, group):
        return free
    started = []
    while (
        orders.has_room
        and group.waiting
        and group.can_use_worker(worker.name)
        and workers.fits_into(need, free)
        and can_accept_more(worker, step)
        and scheduler.can_start_within_limit(job, step.need)
        and (
            not step.is_long_running
            or can_place_long_running(scheduler, worker, job, group)
        )
    ):
        index = claiming.claim_task(worker, job, group, scheduler.now)
        if index is None:
            break
        task = specs.make_task_name(group.occurrence, group.position, index)
        run = job.record.tasks.get(task)
        attempt = ids.Attempt((run.attempt if run else 0) + 1)
        orders.append(
            start_task(scheduler, worker, job, group, index, attempt)
        )
        started.append(f'{task}/{attempt}')
        free = workers.subtract_resources(free, need)
    if started:
        LOG.info(
            logs.format_event(
                'tasks_started',
                job=job.name,
                worker=worker.name,
                tasks=started,
                waited_s=scheduler.wall_time - group.startable_since,
                still_waiting=len(group.waiting),
                free_cpu=free.cpu_millis,
                heartbeat=worker.sequence,
            )
        )
    return free


def is_rack_acceptable(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    """Return whether a step may start on the rack of a worker.

    Tasks take longer outside their preferred rack, so they wait for it for
    a limited time if it has available workers.
    """
    step = group.step
    racks = {step.data_rack} if step.data_rack else set()
    if step.needs_one_rack and not racks:
        racks = {
            scheduler.workers[name].rack
            for name, count in group.running_by_worker.items()
            if count and name in scheduler.workers
        }
    if not racks or worker.rack in racks:
        return True
    waited_s = scheduler.wall_time - group.startable_since
    extra_ms = (scheduler.limits.remote_factor - 1.0) * step.estimate_ms
    if waited_s >= min(extra_ms / MS_PER_S, MAX_RACK_WAIT_S):
        return True
    return not any(
        other.rack in racks
        and eligibility.is_available(scheduler, other)
        and alternatives.could_run(scheduler, other, job, group)
        for other in scheduler.get_pool_workers(job.record.pool)
    )


def _start_gang_members(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> answer_limits.StartOrders:
    """Start the gang members for which the worker has reserved capacity.

    A plan without room, because the capacity has shrunk since, expires.
    """
    orders = answer_limits.make_start_orders(worker, scheduler.pace)
    if not workers.fits_into(specs.Resources(), worker.get_free_resources()):
        return orders
    for job, group, index in gangs.find_planned_members(scheduler, worker):
        if not orders.has_room:
            break
        group.waiting.remove(index)
        group.planned_workers.pop(index, None)
        # The other members must start in time: a member gives up waiting
        # for them after this timeout.
        group.plan_expires_at = (
            scheduler.now + scheduler.limits.gang_ms / MS_PER_S
        )
        orders.append(
            start_task(
                scheduler, worker, job, group, index, group.plan_attempt
            )
        )
    return orders


def can_accept_more(worker: workers.Worker, step: specs.Step) -> bool:
    """Return whether a worker may start another task of a step's kind."""
    if (
        worker.consecutive_failures >= eligibility.SUSPECT_FAILURE_COUNT
        and worker.unproven_runs
    ):
        return False
    if not step.is_filler:
        return True
    fillers = sum(need.cpu_millis == 0 for need in worker.ordered.values())
    return fillers < MAX_FILLERS_PER_WORKER


def can_place_long_running(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    """Return whether a long-running task should be placed on a worker.

    Long-running tasks are packed on few workers, so that the other hosts
    can move between pools. A worker runs more than half of the tasks of a
    step only if no other worker can run them.
    """
    if scheduler.get_long_running_wait_s(job.name) > PACKING_WAIT_S:
        return True
    half = math.ceil(group.step.tasks / 2)
    others = [
        other
        for other in alternatives.find_others_with_room(
            scheduler, worker, job, group
        )
        if group.running_by_worker[other.name] < half
    ]
    if group.running_by_worker[worker.name] >= half:
        return not others
    if scheduler.job_table.has_long_running_task(worker):
        return True
    return not any(
        scheduler.job_table.has_long_running_task(other) for other in others
    )


def start_task(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
    index: int,
    attempt: ids.Attempt,
) -> calls.StartOrder:
    """Record the start of a task that no longer waits; return the order."""
    task = specs.make_task_name(group.occurrence, group.position, index)
    run = job.record.tasks.get(task)
    was_reserved = worker.reserved.pop((job.name, task), None) is not None
    checkpoint = run.checkpoint if run else ''
    scheduler.record_change(
        ledger.TaskStarted(
            job.name,
            task,
            attempt,
            worker.name,
            worker.incarnation,
            worker.sequence,
            worker.host,
            scheduler.wall_time,
        )
    )
    job.record_start(task, worker.name)
    key = (job.name, task, attempt)
    scheduler.crashes.record_start(worker, key, job.record.tasks[task])
    worker.ordered[key] = workers.get_reserved_resources(group.step)
    if not was_reserved:
        scheduler.usage.charge(
            worker.name, job.record.organisation, group.step.need
        )
    worker.unproven_runs.add(key)
    worker.start_ordered_at[key] = scheduler.now
    return calls.StartOrder(
        job.name,
        task,
        attempt,
        job.record.job.payload,
        checkpoint,
        scheduler.approvals.get_ticket(worker, job, group) or '',
    )
