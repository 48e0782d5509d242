"""Attempts of jobs."""

import msgspec
from result import Err
from result import Ok

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import records
from orioleshore.state import registry


@registry.apply.register
def _(
    command: commands.PlaceTask, state: records.State
) -> registry.CommandResult:
    if command.epoch < state.epoch:
        return registry.refuse_epoch(command.epoch, state.epoch)
    record = state.jobs.get(command.job)
    if record is None:
        return registry.refuse(
            errors.ErrorKind.NOT_FOUND, f'no job is named {command.job!r}'
        )
    if record.state is not states.JobState.WAITING:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'job {command.job!r} is {record.state.value}, not waiting',
        )
    if command.attempt != get_next_attempt(record):
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'job {command.job!r}: attempt {command.attempt} is not next',
        )
    if command.worker not in state.hosts:
        return registry.refuse_host(command.worker)
    attempt = records.AttemptRecord(
        command.worker, command.epoch, state.time, command.lease_until
    )
    state.epoch = command.epoch
    state.jobs[command.job] = msgspec.structs.replace(
        record,
        state=states.JobState.RUNNING,
        since=state.time,
        attempts=(*record.attempts, attempt),
    )
    return Ok(None)


def get_next_attempt(record: records.JobRecord) -> ids.Attempt:
    """Return the number of the attempt that may be placed next."""
    return ids.Attempt(len(record.attempts) + 1)


@registry.apply.register
def _(
    command: commands.RenewLease, state: records.State
) -> registry.CommandResult:
    record = state.jobs.get(command.job)
    if not _is_current_attempt(record, command.attempt):
        return _refuse_attempt(command.job, command.attempt)
    last = record.attempts[-1]
    renewed = msgspec.structs.replace(
        last, lease_until=max(last.lease_until, command.lease_until)
    )
    state.jobs[command.job] = msgspec.structs.replace(
        record, attempts=(*record.attempts[:-1], renewed)
    )
    return Ok(None)


@registry.apply.register
def _(
    command: commands.RecordTaskResult, state: records.State
) -> registry.CommandResult:
    record = state.jobs.get(command.job)
    if not _is_current_attempt(record, command.attempt):
        return _refuse_attempt(command.job, command.attempt)
    ended = msgspec.structs.replace(
        record.attempts[-1], result=command.result, reason=command.reason
    )
    state.jobs[command.job] = msgspec.structs.replace(
        record,
        state=_get_state_after(command, record, state),
        since=state.time,
        reason=command.reason,
        attempts=(*record.attempts[:-1], ended),
    )
    return Ok(None)


def _get_state_after(
    command: commands.RecordTaskResult,
    record: records.JobRecord,
    state: records.State,
) -> states.JobState:
    if record.state is states.JobState.CANCELLED:
        return states.JobState.CANCELLED
    if command.result is states.TaskResult.SUCCEEDED:
        return states.JobState.DONE
    idempotent = any(
        job.idempotent
        for job in state.document.jobs
        if job.name == command.job
    )
    if command.result is states.TaskResult.LOST and not idempotent:
        return states.JobState.UNKNOWN
    return states.JobState.WAITING


def _is_current_attempt(
    record: records.JobRecord | None, attempt: ids.Attempt
) -> bool:
    return (
        record is not None
        and len(record.attempts) == attempt
        and record.attempts[-1].result is None
    )


@registry.apply.register
def _(
    command: commands.QuarantineJob, state: records.State
) -> registry.CommandResult:
    record = state.jobs.get(command.job)
    if record is None or record.state is not states.JobState.WAITING:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'job {command.job!r} is not waiting',
        )
    state.jobs[command.job] = msgspec.structs.replace(
        record,
        state=states.JobState.QUARANTINED,
        since=state.time,
        reason=command.reason,
    )
    return Ok(None)


def _refuse_attempt(
    job: ids.JobId, attempt: ids.Attempt
) -> Err[errors.Failure]:
    return registry.refuse(
        errors.ErrorKind.ILLEGAL_TRANSITION,
        f'attempt {attempt} of job {job!r} is not running',
    )
