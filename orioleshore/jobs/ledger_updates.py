"""Application of changes to the replicated records of jobs and upkeep.

Every member applies the same changes in the same order, so the effect of a
change depends on the records alone.
"""

import functools
from typing import Any

import msgspec

from orioleshore.jobs import ledger
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states

# Ends that a worker reports itself, and after which it goes on.
_HARMLESS_ENDS = frozenset(
    {
        states.RunEnd.DONE,
        states.RunEnd.FAILED,
        states.RunEnd.STOPPED,
        states.RunEnd.LAPSED,
    }
)


@functools.singledispatch
def apply_change(change: Any, state: ledger.Ledger) -> None:
    """Apply one change; an outdated change about a job has no effect.

    Raises TypeError if the type of the change is unknown.
    """
    raise TypeError(f'unknown change {type(change).__name__}')


@apply_change.register
def _(change: ledger.JobAccepted, state: ledger.Ledger) -> None:
    if change.job in state.jobs:
        return
    state.early_cancels.pop(change.job, None)
    state.jobs[change.job] = ledger.JobRecord(
        change.spec,
        change.host,
        change.prefix,
        change.pool,
        change.priority,
        change.max_attempts,
        change.objective_ms,
        change.at,
        needs_approval=change.needs_approval,
        organisation=change.organisation,
    )


@apply_change.register
def _(change: ledger.JobCancelled, state: ledger.Ledger) -> None:
    record = state.jobs.get(change.job)
    if record is None:
        state.early_cancels[change.job] = change.at
    elif not record.is_ended:
        _end_job(record, states.BatchState.CANCELLED, change.at)


@apply_change.register
def _(change: ledger.JobForgotten, state: ledger.Ledger) -> None:
    state.jobs.pop(change.job, None)
    state.early_cancels.pop(change.job, None)


@apply_change.register
def _(change: ledger.TaskStarted, state: ledger.Ledger) -> None:
    record = state.jobs.get(change.job)
    if record is None or record.is_ended:
        return
    run = record.tasks.get(change.task)
    if run is None:
        run = record.tasks[change.task] = ledger.RunRecord()
    run.stage = states.RunStage.RUNNING
    run.attempt = change.attempt
    run.worker = change.worker
    run.incarnation = change.incarnation
    run.sequence = change.sequence
    run.host = change.host
    run.started_at = change.at
    record.state = states.BatchState.RUNNING


@apply_change.register
def _(change: ledger.TaskEnded, state: ledger.Ledger) -> None:
    record = state.jobs.get(change.job)
    run = record and record.tasks.get(change.task)
    if not run or run.stage is not states.RunStage.RUNNING:
        return
    if run.attempt != change.attempt:
        return
    _, position, _ = specs.parse_task_name(change.task)
    step = record.job.steps[position]
    run.stage = states.RunStage.WAITING
    run.checkpoint = change.checkpoint or run.checkpoint
    if run.losses and change.how in _HARMLESS_ENDS:
        _clear_suspicion(state, change.job, change.task, run)
    if step.is_long_running:
        return
    if change.how is states.RunEnd.DONE:
        _finish_task(record, change, step)
    if change.how is states.RunEnd.FAILED:
        run.failures += 1
        if _count_failures(record, change, step) >= record.max_attempts:
            record.failure = states.FailureReason.ATTEMPTS
            _end_job(record, states.BatchState.FAILED, change.at)


@apply_change.register
def _(change: ledger.WorkerLost, state: ledger.Ledger) -> None:
    running = []
    for suspect in change.suspects:
        run = _find_suspect_run(state, suspect)
        if (
            run is None
            or run.attempt != suspect.attempt
            or run.stage is not states.RunStage.RUNNING
        ):
            continue
        running.append(suspect)
        run.silences += 1
        run.lone_losses += suspect.is_alone
        if suspect.is_newest or run.losses > 1:
            run.is_suspect = True
    if change.host and running:
        state.lost_workers[change.host] = ledger.LostWorker(
            change.worker,
            change.incarnation,
            change.at,
            change.newest_start,
            tuple(running),
        )


@apply_change.register
def _(change: ledger.LossExplained, state: ledger.Ledger) -> None:
    lost = state.lost_workers.pop(change.host, None)
    if lost is None or change.cause is states.LossCause.UNKNOWN:
        return
    for suspect in lost.suspects:
        run = _find_suspect_run(state, suspect)
        if run is None:
            continue
        run.silences -= 1
        if change.cause is states.LossCause.CRASHED:
            run.crashes += 1
            run.immediate_crashes += suspect.is_immediate
            continue
        run.lone_losses -= suspect.is_alone
        if not run.losses:
            run.clear_suspicion()


@apply_change.register
def _(change: ledger.SuspicionCleared, state: ledger.Ledger) -> None:
    record = state.jobs.get(change.job)
    run = record and record.tasks.get(change.task)
    if run:
        _clear_suspicion(state, change.job, change.task, run)


@apply_change.register
def _(change: ledger.TaskGivenUp, state: ledger.Ledger) -> None:
    record = state.jobs.get(change.job)
    if record is None or record.is_ended:
        return
    state.given_up_at = change.at
    record.failure = states.FailureReason.CRASHES
    _end_job(record, states.BatchState.FAILED, change.at)


@apply_change.register
def _(change: ledger.ConfigurationChanged, state: ledger.Ledger) -> None:
    if change.configuration.version > state.configuration.version:
        state.configuration = change.configuration


@apply_change.register
def _(change: ledger.WaveOpened, state: ledger.Ledger) -> None:
    if change.wave in state.waves:
        return
    state.waves[change.wave] = ledger.WaveRecord(
        {host: ledger.UpkeepRecord() for host in change.hosts},
        change.at_once,
        change.opened_at,
        change.due_at,
    )


@apply_change.register
def _(change: ledger.UpkeepOrdered, state: ledger.Ledger) -> None:
    record = _get_upkeep(state, change)
    record.is_ordered = True
    record.worker = change.worker
    record.incarnation = change.incarnation


@apply_change.register
def _(change: ledger.UpkeepWithdrawn, state: ledger.Ledger) -> None:
    _get_upkeep(state, change).is_ordered = False


@apply_change.register
def _(change: ledger.UpkeepBegun, state: ledger.Ledger) -> None:
    _get_upkeep(state, change).is_started = True


@apply_change.register
def _(change: ledger.UpkeepFinished, state: ledger.Ledger) -> None:
    record = _get_upkeep(state, change)
    record.is_started = True
    record.is_finished = True


@apply_change.register
def _(change: ledger.HostOrdered, state: ledger.Ledger) -> None:
    state.ordered_at[change.host] = change.at


def _find_suspect_run(
    state: ledger.Ledger, suspect: ledger.Suspect
) -> ledger.RunRecord | None:
    """Return the record of a suspect's task, None if its job has ended."""
    record = state.jobs.get(suspect.job)
    return record.tasks.get(suspect.task) if record else None


def _clear_suspicion(
    state: ledger.Ledger,
    job: ids.JobId,
    task: ids.TaskName,
    run: ledger.RunRecord,
) -> None:
    """Clear a task, also of losses that are explained only later."""
    if run.silences:
        for lost in state.lost_workers.values():
            lost.suspects = tuple(
                suspect
                for suspect in lost.suspects
                if (suspect.job, suspect.task) != (job, task)
            )
    run.clear_suspicion()


def _get_upkeep(state: ledger.Ledger, change: Any) -> ledger.UpkeepRecord:
    return state.waves[change.wave].hosts[change.host]


def _count_failures(
    record: ledger.JobRecord, change: ledger.TaskEnded, step: specs.Step
) -> int:
    """Return the failures of a task, or of all members of its gang."""
    if not step.is_gang:
        return record.tasks[change.task].failures
    occurrence, position, _ = specs.parse_task_name(change.task)
    names = (
        specs.make_task_name(occurrence, position, index)
        for index in range(step.tasks)
    )
    return sum(
        record.tasks[name].failures for name in names if name in record.tasks
    )


def _finish_task(
    record: ledger.JobRecord, change: ledger.TaskEnded, step: specs.Step
) -> None:
    finished = [change.task]
    if step.is_gang:
        # The end of one member completes the whole gang.
        occurrence, position, _ = specs.parse_task_name(change.task)
        finished = [
            specs.make_task_name(occurrence, position, index)
            for index in range(step.tasks)
        ]
    for name in finished:
        run = record.tasks.setdefault(name, ledger.RunRecord())
        if run.stage is not states.RunStage.DONE:
            run.stage = states.RunStage.DONE
            record.done_tasks += 1
    if record.done_tasks >= ledger.count_tasks(record.job):
        _end_job(record, states.BatchState.COMPLETED, change.at)


def _end_job(
    record: ledger.JobRecord, state: states.BatchState, at: ids.WallTime
) -> None:
    record.state = state
    record.ended_at = at
    record.left_running = tuple(
        (run.worker, _get_need(record, name))
        for name, run in record.tasks.items()
        if run.stage is states.RunStage.RUNNING
    )
    # The steps are kept: they give the resources of runs not yet stopped.
    record.tasks = {}
    record.job = msgspec.structs.replace(record.job, payload='')


def _get_need(record: ledger.JobRecord, task: ids.TaskName) -> specs.Resources:
    _, position, _ = specs.parse_task_name(task)
    return record.job.steps[position].need
