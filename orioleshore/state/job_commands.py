"""Handlers of commands on jobs, and job records for a new document."""

import msgspec
from result import Err
from result import Ok

from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import records
from orioleshore.state import registry

# Number of attempts kept for each job; older ones are dropped.
MAX_ATTEMPTS_KEPT = 8
# Time after the end of a lease until its attempt counts as lost. It covers
# the difference between the clocks of the leader and of a worker.
LEASE_GRACE_S = 15.0

# States of a job in which its newest attempt may still be running.
_ATTEMPT_STATES = frozenset(
    {states.JobState.RUNNING, states.JobState.CANCELLED}
)
# States of a job in which the result of a lost attempt may still arrive.
_LATE_STATES = frozenset({states.JobState.UNKNOWN, states.JobState.WAITING})


def get_next_attempt(record: records.JobRecord) -> ids.Attempt:
    """Return the number of the attempt that may be placed next."""
    return ids.Attempt(record.placed + 1)


def get_running_attempt(
    record: records.JobRecord | None,
) -> records.AttemptRecord | None:
    """Return the attempt that may still be running, None if none is."""
    if record is None or record.state not in _ATTEMPT_STATES:
        return None
    if not record.attempts or record.attempts[-1].result is not None:
        return None
    return record.attempts[-1]


def is_late_result(
    record: records.JobRecord | None, attempt: ids.Attempt
) -> bool:
    """Return whether a result can still replace the loss of an attempt.

    The attempt must be the newest one of its job.
    """
    return (
        record is not None
        and record.state in _LATE_STATES
        and bool(record.attempts)
        and record.attempts[-1].number == attempt
        and record.attempts[-1].result is states.TaskResult.LOST
    )


@registry.apply.register
def _(
    command: commands.PlaceTask, state: records.State
) -> registry.CommandResult:
    if command.epoch < state.epoch:
        return registry.refuse_stale_epoch(command.epoch, state.epoch)
    record = state.jobs.get(command.job)
    if record is None:
        return registry.refuse(
            errors.ErrorKind.NOT_FOUND, f'no job is named {command.job!r}'
        )
    if record.state is not states.JobState.WAITING:
        return _refuse_transition(
            f'job {command.job!r} is {record.state.value}'
        )
    if command.attempt != get_next_attempt(record):
        return _refuse_transition(
            f'job {command.job!r}: attempt {command.attempt} is not next'
        )
    host = state.hosts.get(command.worker)
    if host is None:
        return registry.refuse_unknown_host(command.worker)
    if host.state is not states.HostState.SERVING or host.pool != record.pool:
        return _refuse_transition(
            f'worker {command.worker!r} is {host.state.value} in pool '
            f'{host.pool!r}, job {command.job!r} belongs to {record.pool!r}'
        )
    attempt = records.AttemptRecord(
        worker=command.worker,
        epoch=command.epoch,
        started=state.time,
        lease_until=command.lease_until,
        number=command.attempt,
        cores=command.cores,
        memory_gb=command.memory_gb,
        accelerators=command.accelerators,
    )
    kept = record.attempts[-(MAX_ATTEMPTS_KEPT - 1) :]
    state.epoch = command.epoch
    state.jobs[command.job] = msgspec.structs.replace(
        record,
        state=states.JobState.RUNNING,
        since=state.time,
        attempts=(*kept, attempt),
        placed=command.attempt,
    )
    return Ok(None)


@registry.apply.register
def _(
    command: commands.RenewLeases, state: records.State
) -> registry.CommandResult:
    if command.epoch < state.epoch:
        return registry.refuse_stale_epoch(command.epoch, state.epoch)
    state.epoch = command.epoch
    for holder in command.holders:
        record = state.jobs.get(holder.job)
        last = get_running_attempt(record)
        if last is None or last.number != holder.attempt:
            continue
        renewed = msgspec.structs.replace(
            last, lease_until=max(last.lease_until, command.lease_until)
        )
        state.jobs[holder.job] = msgspec.structs.replace(
            record, attempts=(*record.attempts[:-1], renewed)
        )
    return Ok(None)


@registry.apply.register
def _(
    command: commands.RecordTaskResult, state: records.State
) -> registry.CommandResult:
    record = state.jobs.get(command.job)
    last = get_running_attempt(record)
    if last is None or last.number != command.attempt:
        if not is_late_result(record, command.attempt):
            return _refuse_transition(
                f'attempt {command.attempt} of job {command.job!r} '
                'is not running'
            )
        last = record.attempts[-1]
    refusal = _refuse_early_loss(command, last, state)
    if refusal is not None:
        return refusal
    ended = msgspec.structs.replace(
        last, result=command.result, reason=command.reason, ended=state.time
    )
    if record.state is states.JobState.CANCELLED and not record.readmitted:
        _remove_job(command.job, state)
        return Ok(None)
    checkpoint = record.checkpoint
    if command.result is states.TaskResult.CHECKPOINTED:
        checkpoint = command.attempt
    if record.state is states.JobState.CANCELLED:
        next_state, checkpoint = states.JobState.WAITING, ids.Attempt(0)
    else:
        next_state = get_state_after_result(command.result, record.idempotent)
    state.jobs[command.job] = msgspec.structs.replace(
        record,
        state=next_state,
        since=state.time,
        reason=command.reason,
        attempts=(*record.attempts[:-1], ended),
        checkpoint=checkpoint,
        readmitted=False,
    )
    return Ok(None)


def _refuse_early_loss(
    command: commands.RecordTaskResult,
    last: records.AttemptRecord,
    state: records.State,
) -> Err[errors.Failure] | None:
    if command.result is not states.TaskResult.LOST or command.reported:
        return None
    if command.epoch < state.epoch:
        return registry.refuse_stale_epoch(command.epoch, state.epoch)
    if state.time < last.lease_until + LEASE_GRACE_S:
        return _refuse_transition(
            f'the lease of attempt {command.attempt} of job '
            f'{command.job!r} has not ended'
        )
    return None


def get_state_after_result(
    result: states.TaskResult, idempotent: bool
) -> states.JobState:
    """Return the state of a job after an attempt with this result.

    A job that is not idempotent is retried only when its attempt did not
    start or saved a checkpoint.
    """
    if result is states.TaskResult.SUCCEEDED:
        return states.JobState.DONE
    if idempotent or result in (
        states.TaskResult.CHECKPOINTED,
        states.TaskResult.NOT_STARTED,
    ):
        return states.JobState.WAITING
    if result is states.TaskResult.FAILED:
        return states.JobState.QUARANTINED
    return states.JobState.UNKNOWN


@registry.apply.register
def _(
    command: commands.QuarantineJob, state: records.State
) -> registry.CommandResult:
    record = state.jobs.get(command.job)
    if record is None or record.state is not states.JobState.WAITING:
        return _refuse_transition(f'job {command.job!r} is not waiting')
    state.jobs[command.job] = msgspec.structs.replace(
        record,
        state=states.JobState.QUARANTINED,
        since=state.time,
        reason=command.reason,
    )
    return Ok(None)


def update_job_records(
    state: records.State, edits: tuple[changes.Edit, ...]
) -> None:
    """Create records for new jobs and cancel removed ones."""
    edited = {
        edit.name for edit in edits if edit.section is changes.Section.JOBS
    }
    if not edited:
        return
    jobs_by_name = {
        job.name: job for job in state.document.jobs if job.name in edited
    }
    for name in sorted(edited):
        if name not in jobs_by_name:
            _cancel_job(ids.JobId(name), state)
        else:
            _update_job_record(jobs_by_name[ids.JobId(name)], state)


def _cancel_job(name: ids.JobId, state: records.State) -> None:
    record = state.jobs.get(name)
    if record is None:
        return
    if get_running_attempt(record) is None:
        _remove_job(name, state)
        return
    state.jobs[name] = msgspec.structs.replace(
        record,
        state=states.JobState.CANCELLED,
        since=state.time,
        readmitted=False,
    )


def _remove_job(name: ids.JobId, state: records.State) -> None:
    record = state.jobs.pop(name)
    state.attempt_floor = max(state.attempt_floor, record.placed)


def _update_job_record(job: documents.Job, state: records.State) -> None:
    record = state.jobs.get(job.name)
    if record is None:
        state.jobs[job.name] = records.JobRecord(
            states.JobState.WAITING,
            state.time,
            pool=job.pool,
            idempotent=job.idempotent,
            placed=state.attempt_floor,
        )
        return
    changed = {'pool': job.pool, 'idempotent': job.idempotent}
    if record.state is states.JobState.CANCELLED:
        changed['readmitted'] = True
    if _is_requeued_by_edit(record):
        changed |= {
            'state': states.JobState.WAITING,
            'since': state.time,
            'reason': '',
            'attempts': (),
        }
    state.jobs[job.name] = msgspec.structs.replace(record, **changed)


def _is_requeued_by_edit(record: records.JobRecord) -> bool:
    """Return whether editing a quarantined job lets it run again.

    A job that is not idempotent and failed in an attempt stays
    quarantined.
    """
    if record.state is not states.JobState.QUARANTINED:
        return False
    return record.idempotent or not any(
        attempt.result is states.TaskResult.FAILED
        for attempt in record.attempts
    )


def _refuse_transition(message: str) -> Err[errors.Failure]:
    return registry.refuse(errors.ErrorKind.ILLEGAL_TRANSITION, message)
