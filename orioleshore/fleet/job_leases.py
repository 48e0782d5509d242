"""Renewal and expiry of the leases of tasks."""

from orioleshore.fleet import events
from orioleshore.fleet import job_calls
from orioleshore.fleet import job_core
from orioleshore.fleet import job_reports
from orioleshore.fleet import tasks
from orioleshore.fleet import timer_queue
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import job_commands


def request_renewal(
    core: job_core.JobCore, entry: timer_queue.Entry, now: float
) -> None:
    """Queue the renewal of a lease if the task was reported recently."""
    task = core.tasks.get(ids.JobId(entry.subject))
    if task is None or task.attempt != entry.attempt:
        return
    if now >= task.lease_until or now < task.renew_at:
        return
    if now - max(task.last_contact, task.started) > job_core.REPORT_TIMEOUT_S:
        core.timers.add(
            now + job_core.RENEWAL_RETRY_S,
            timer_queue.TimerKind.RENEW_LEASE,
            task.job,
            task.attempt,
        )
        return
    core.pending_renewals.append(commands.LeaseHolder(task.job, task.attempt))
    core.timers.add(
        now + job_core.RENEWAL_RETRY_S,
        timer_queue.TimerKind.RENEW_LEASE,
        task.job,
        task.attempt,
    )


def schedule_renewal(
    core: job_core.JobCore, task: tasks.Task, now: float
) -> None:
    """Set a timer for the renewal of the lease of a task."""
    task.renew_at = tasks.get_renewal_time(task, now)
    core.timers.add(
        task.renew_at,
        timer_queue.TimerKind.RENEW_LEASE,
        task.job,
        task.attempt,
    )


def propose_renewals(core: job_core.JobCore, now: float) -> None:
    """Propose the queued renewals, grouped by the length of the lease."""
    groups: dict[float, list[commands.LeaseHolder]] = {}
    for holder in core.pending_renewals:
        run_time_s = core.tasks[holder.job].run_time_s
        groups.setdefault(tasks.get_renewed_lease_s(run_time_s), []).append(
            holder
        )
    core.pending_renewals = []
    for lease_s, holders in groups.items():
        for start in range(0, len(holders), job_core.MAX_RENEWALS_PER_COMMAND):
            command = commands.RenewLeases(
                time=ids.WallTime(now),
                epoch=core.epoch,
                holders=tuple(
                    holders[start : start + job_core.MAX_RENEWALS_PER_COMMAND]
                ),
                lease_until=ids.WallTime(now + lease_s),
            )
            core.actions.append(events.Propose(command))


def apply_renewal(
    core: job_core.JobCore, command: commands.RenewLeases, now: float
) -> None:
    """Extend the leases of a committed renewal, and notify the platform."""
    for holder in command.holders:
        task = core.tasks.get(holder.job)
        if task is None or task.attempt != holder.attempt:
            continue
        if command.lease_until <= task.lease_until:
            continue
        task.lease_until = command.lease_until
        schedule_renewal(core, task, now)
        call = job_calls.build_task_call(
            core,
            events.CallKind.RENEW_TASK,
            task,
            {'lease_until': task.lease_until},
            int(task.lease_until),
        )
        job_calls.send_call(core, call, task, now)


def schedule_lease_end(core: job_core.JobCore, task: tasks.Task) -> None:
    """Set a timer for the end of the lease of a task and its grace time."""
    core.timers.add(
        task.lease_until + job_commands.LEASE_GRACE_S,
        timer_queue.TimerKind.END_LEASE,
        task.job,
        task.attempt,
    )


def expire_lease(
    core: job_core.JobCore, entry: timer_queue.Entry, now: float
) -> None:
    """Propose that a task is lost if its lease has ended."""
    task = core.tasks.get(ids.JobId(entry.subject))
    if task is None or task.attempt != entry.attempt:
        return
    if now < task.lease_until + job_commands.LEASE_GRACE_S:
        schedule_lease_end(core, task)
        return
    if task.job in core.proposed_results:
        return
    job_reports.propose_result_command(
        core,
        commands.RecordTaskResult(
            time=ids.WallTime(now),
            job=task.job,
            attempt=task.attempt,
            result=states.TaskResult.LOST,
            reason=f'no result from {task.worker} within its lease',
            epoch=core.epoch,
        ),
        now,
    )
