"""Reports of the platform about tasks, and proposals of results."""

from orioleshore.fleet import events
from orioleshore.fleet import job_calls
from orioleshore.fleet import job_core
from orioleshore.fleet import job_placing
from orioleshore.fleet import timer_queue
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import job_commands


def handle_report(
    core: job_core.JobCore, event: events.TaskReported, now: float
) -> None:
    """Record the usage and the result of a reported task."""
    if core.worker_table.set_reachable(event.worker, True):
        job_placing.reopen_worker(core, event.worker, now)
    task = core.tasks.get(event.job)
    if task is None or task.attempt != event.attempt:
        handle_late_report(core, event, now)
        return
    job_calls.confirm_task(core, task, now)
    task.cores_used = event.cores_used
    task.peak_cores = max(task.peak_cores, event.cores_used)
    task.peak_memory_gb = max(task.peak_memory_gb, event.memory_used_gb)
    if event.result is not None:
        propose_result(core, event, now)


def handle_late_report(
    core: job_core.JobCore, event: events.TaskReported, now: float
) -> None:
    """Propose a result that arrives after the attempt counted as lost."""
    record = core.state.jobs.get(event.job)
    if event.result is None or event.result is states.TaskResult.LOST:
        return
    if not job_commands.is_late_result(record, event.attempt):
        return
    if event.job in core.pending_placements:
        return
    core.journal.record_job_decision(
        event.job,
        f'attempt {event.attempt} has a late result: {event.result.value}',
        {'worker': event.worker},
        'a reported result replaces the conclusion from its lease',
    )
    propose_result(core, event, now)


def propose_result(
    core: job_core.JobCore, event: events.TaskReported, now: float
) -> None:
    """Propose a reported result unless one is proposed already."""
    proposed = core.proposed_results.get(event.job)
    # A reported result replaces a proposed LOST result.
    if proposed is not None and proposed.reported:
        return
    command = commands.RecordTaskResult(
        time=ids.WallTime(now),
        job=event.job,
        attempt=event.attempt,
        result=event.result,
        reason=event.reason,
        epoch=core.epoch,
        reported=True,
    )
    propose_result_command(core, command, now)


def propose_result_command(
    core: job_core.JobCore, command: commands.RecordTaskResult, now: float
) -> None:
    """Propose a result, and repeat the proposal until it has an outcome."""
    core.proposed_results[command.job] = command
    core.actions.append(events.Propose(command))
    core.timers.add(
        now + job_core.RESULT_REPEAT_INTERVAL_S,
        timer_queue.TimerKind.REPEAT_RESULT,
        command.job,
        command.attempt,
    )


def repeat_result_proposal(
    core: job_core.JobCore, entry: timer_queue.Entry, now: float
) -> None:
    """Repeat the proposal of a result that is still valid."""
    command = core.proposed_results.get(ids.JobId(entry.subject))
    if command is None or command.attempt != entry.attempt:
        return
    del core.proposed_results[command.job]
    task = core.tasks.get(command.job)
    record = core.state.jobs.get(command.job)
    if (
        task is not None and task.attempt == command.attempt
    ) or job_commands.is_late_result(record, command.attempt):
        # The state machine accepts commands with an older time.
        propose_result_command(core, command, now)
