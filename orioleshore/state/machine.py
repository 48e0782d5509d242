"""Deterministic state machine: applies the commands of the log.

Every rule that must hold is checked here again, so that a stale leader
or planner cannot break it.
"""

import functools
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands
from orioleshore.state import operations
from orioleshore.state import records

DELTA_LIMIT = 512
# Answers of changes are remembered for this time; older copies are refused.
OPERATION_RETENTION_S = 86_400.0
OPERATION_LIMIT = 20_000
# Claims are remembered for this time after their key was issued.
CLAIM_RETENTION_S = 86_400.0
MAX_CLOCK_AHEAD_S = 300.0
ATTEMPT_RECORD_LIMIT = 16

CommandResult = Result[Any, errors.Failure]

LEGAL_TRANSITIONS: dict[states.HostState, frozenset[states.HostState]] = {
    states.HostState.SERVING: frozenset(
        {states.HostState.DRAINING, states.HostState.DOWN}
    ),
    states.HostState.DRAINING: frozenset(
        {
            states.HostState.DRAINED,
            states.HostState.SERVING,
            states.HostState.DOWN,
        }
    ),
    states.HostState.DRAINED: frozenset(
        {
            states.HostState.REBOOTING,
            states.HostState.PROVING,
            states.HostState.SERVING,
            states.HostState.DOWN,
        }
    ),
    states.HostState.REBOOTING: frozenset(
        {
            states.HostState.PROVING,
            states.HostState.DOWN,
            states.HostState.SET_ASIDE,
        }
    ),
    states.HostState.PROVING: frozenset(
        {
            states.HostState.SERVING,
            states.HostState.DOWN,
            states.HostState.SET_ASIDE,
        }
    ),
    states.HostState.DOWN: frozenset(
        {
            states.HostState.PROVING,
            states.HostState.REBOOTING,
            states.HostState.SET_ASIDE,
        }
    ),
    states.HostState.SET_ASIDE: frozenset({states.HostState.PROVING}),
}


class ClaimAnswer(msgspec.Struct, frozen=True):
    """Result of a claim: granted, or what an earlier claim left."""

    granted: bool
    record: records.ClaimRecord


def apply_command(
    command: commands.Command, state: records.State
) -> CommandResult:
    """Apply one command, and return its answer or why it was refused."""
    # A leader whose clock went back must not bring expired records back.
    state.time = max(state.time, command.time)
    return _apply(command, state)


@functools.singledispatch
def _apply(command: Any, state: records.State) -> CommandResult:
    raise TypeError(f'unknown command {type(command).__name__}')


@_apply.register
def _(command: commands.ChangeDocument, state: records.State) -> CommandResult:
    known = state.operations.get(command.operation_id)
    if known is not None:
        return _get_first_answer(known)
    issued = operations.parse_issued(command.operation_id)
    if issued is None:
        return _refuse(
            errors.ErrorKind.OPERATION_INVALID,
            f'operation id {command.operation_id!r} is not '
            '"<unix seconds>-<token>"',
        )
    if issued <= state.time - OPERATION_RETENTION_S:
        return _refuse(
            errors.ErrorKind.OPERATION_EXPIRED,
            f'operation id {command.operation_id!r} is older than '
            f'{OPERATION_RETENTION_S:.0f} s, so its first answer is not known',
        )
    if issued > state.time + MAX_CLOCK_AHEAD_S:
        return _refuse(
            errors.ErrorKind.OPERATION_INVALID,
            f'operation id {command.operation_id!r} was issued in the future',
        )
    _forget_operations(state)
    if len(state.operations) >= OPERATION_LIMIT:
        return _refuse(
            errors.ErrorKind.OVERLOADED,
            f'{OPERATION_LIMIT} changes are remembered already',
        )
    answer = _change_document(command, state)
    state.operations[command.operation_id] = records.OperationRecord(
        issued, command.operator, answer.ok(), answer.err()
    )
    return answer


def _get_first_answer(known: records.OperationRecord) -> CommandResult:
    if known.failure is not None:
        return Err(known.failure)
    return Ok(known.version)


def _forget_operations(state: records.State) -> None:
    horizon = state.time - OPERATION_RETENTION_S
    expired = [
        operation_id
        for operation_id, record in state.operations.items()
        if record.issued <= horizon
    ]
    for operation_id in expired:
        del state.operations[operation_id]


def _change_document(
    command: commands.ChangeDocument, state: records.State
) -> Result[ids.Version, errors.Failure]:
    if command.base_version != state.version:
        return _refuse(
            errors.ErrorKind.VERSION_CONFLICT,
            f'the change is based on version {command.base_version}, '
            f'version {state.version} is in force',
            *_describe_changes_since(state, command.base_version),
        )
    document = changes.apply_delta(state.document, command.edits)
    problems = documents.find_contradictions(document)
    if problems:
        return _refuse(
            errors.ErrorKind.INVALID_DOCUMENT,
            'the document is not valid',
            *problems,
        )
    state.document = document
    state.version = ids.Version(state.version + 1)
    state.deltas.append(
        records.DeltaRecord(
            state.version,
            command.operation_id,
            command.operator,
            state.time,
            command.edits,
        )
    )
    del state.deltas[:-DELTA_LIMIT]
    _follow_document(state)
    return Ok(state.version)


def _describe_changes_since(state: records.State, version: int) -> list[str]:
    return [
        f'version {delta.version} by {delta.operator}: '
        + ', '.join(changes.describe_edit(edit) for edit in delta.edits[:20])
        for delta in state.deltas
        if delta.version > version
    ]


def _follow_document(state: records.State) -> None:
    """Create records for new items, and drop those of removed ones."""
    _follow_hosts(state)
    _follow_waves(state)
    _follow_jobs(state)


def _follow_hosts(state: records.State) -> None:
    named = {host.name: host for host in state.document.hosts}
    for name in [name for name in state.hosts if name not in named]:
        del state.hosts[name]
    for name, host in named.items():
        if name not in state.hosts:
            state.hosts[name] = records.HostRecord(
                host.pool,
                ids.Epoch(1),
                states.HostState.SERVING,
                state.time,
            )


def _follow_waves(state: records.State) -> None:
    named = {wave.name for wave in state.document.waves}
    for name in [name for name in state.waves if name not in named]:
        del state.waves[name]
    for wave in state.document.waves:
        if wave.name not in state.waves:
            state.waves[wave.name] = records.WaveRecord(
                states.WaveState.RUNNING,
                state.time,
                _get_wave_hosts(wave, state),
                {},
            )


def _get_wave_hosts(
    wave: documents.Wave, state: records.State
) -> dict[ids.HostId, records.WaveHostRecord]:
    return {
        host.name: records.WaveHostRecord(
            states.WaveHostState.WAITING, state.time
        )
        for host in state.document.hosts
        if state.hosts[host.name].pool in wave.pools
    }


def _follow_jobs(state: records.State) -> None:
    named = {job.name for job in state.document.jobs}
    for name in [name for name in state.jobs if name not in named]:
        record = state.jobs[name]
        if record.state is states.JobState.RUNNING:
            state.jobs[name] = msgspec.structs.replace(
                record, state=states.JobState.CANCELLED, since=state.time
            )
        else:
            del state.jobs[name]
    for name in named:
        if name not in state.jobs:
            state.jobs[name] = records.JobRecord(
                states.JobState.WAITING, state.time
            )


@_apply.register
def _(command: commands.ClaimRequest, state: records.State) -> CommandResult:
    if command.request in state.released:
        return _refuse(
            errors.ErrorKind.CLAIM_UNAVAILABLE,
            'the request was reported as not run before its claim',
        )
    _forget_claims(state)
    if command.issued <= state.time - CLAIM_RETENTION_S:
        return _refuse(
            errors.ErrorKind.KEY_EXPIRED,
            f'the key is older than {CLAIM_RETENTION_S:.0f} s, so it is not '
            'known whether the request ran',
        )
    known = state.claims.get(command.key)
    if known is not None and known.state is not states.ClaimState.NOT_RUN:
        if known.digest != command.digest:
            return _refuse(
                errors.ErrorKind.KEY_REUSED,
                'the key belongs to a different request',
            )
        granted = known.request == command.request
        return Ok(ClaimAnswer(granted, known))
    record = records.ClaimRecord(
        command.digest,
        command.request,
        command.entry_host,
        command.incarnation,
        command.issued,
        states.ClaimState.CLAIMED,
    )
    state.claims[command.key] = record
    return Ok(ClaimAnswer(True, record))


def _forget_claims(state: records.State) -> None:
    """Drop expired claims; insertion order is close to issue order."""
    horizon = state.time - CLAIM_RETENTION_S
    while state.claims:
        key = next(iter(state.claims))
        # A key may be issued ahead of the leader's clock.
        if state.claims[key].issued > horizon:
            break
        del state.claims[key]
    while state.released:
        request = next(iter(state.released))
        if state.released[request] > horizon:
            break
        del state.released[request]


@_apply.register
def _(command: commands.RecordOutcome, state: records.State) -> CommandResult:
    known = state.claims.get(command.key)
    if known is None or known.request != command.request:
        if command.outcome is states.ClaimState.NOT_RUN:
            state.released[command.request] = state.time
        return Ok(None)
    if known.state is states.ClaimState.ANSWERED:
        return Ok(None)
    state.claims[command.key] = msgspec.structs.replace(
        known,
        state=command.outcome,
        status=command.status,
        headers=command.headers,
        body=command.body,
        kept=command.kept,
    )
    return Ok(None)


@_apply.register
def _(
    command: commands.MarkClaimsUnknown, state: records.State
) -> CommandResult:
    marked = 0
    for key, record in state.claims.items():
        if (
            record.entry_host == command.entry_host
            and record.incarnation <= command.incarnation
            and record.state is states.ClaimState.CLAIMED
        ):
            state.claims[key] = msgspec.structs.replace(
                record, state=states.ClaimState.UNKNOWN
            )
            marked += 1
    return Ok(marked)


@_apply.register
def _(
    command: commands.GrantPermission, state: records.State
) -> CommandResult:
    if command.epoch < state.epoch:
        return _refuse_epoch(command.epoch, state.epoch)
    record = state.hosts.get(command.host)
    if record is None:
        return _refuse_host(command.host)
    if record.epoch != command.host_epoch:
        return _refuse_epoch(command.host_epoch, record.epoch)
    known = state.permissions.get(command.permission)
    if known is not None and known.host == command.host:
        return Ok(None)
    _forget_permissions(state)
    if command.host in budgets.get_held_hosts(state):
        return _refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is under a permission already',
        )
    if record.state is not states.HostState.SERVING:
        return _refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is {record.state.value}, not serving',
        )
    loss = budgets.find_exceeded(state, record.pool, (command.host,))
    if loss is not None:
        return _refuse(
            errors.ErrorKind.BUDGET_EXCEEDED,
            f'service {loss.service!r}, {loss.scope}: {loss.down:g} cores '
            f'down, {loss.allowed:g} allowed',
        )
    state.epoch = command.epoch
    state.permissions[command.permission] = records.PermissionRecord(
        command.host, command.purpose, command.epoch, command.until
    )
    return Ok(None)


def _forget_permissions(state: records.State) -> None:
    ended = [
        permission
        for permission, record in state.permissions.items()
        if record.until <= state.time
    ]
    for permission in ended:
        del state.permissions[permission]


@_apply.register
def _(command: commands.EndPermission, state: records.State) -> CommandResult:
    state.permissions.pop(command.permission, None)
    return Ok(None)


@_apply.register
def _(command: commands.SetHostState, state: records.State) -> CommandResult:
    record = state.hosts.get(command.host)
    if record is None:
        return _refuse_host(command.host)
    if record.epoch != command.host_epoch:
        return _refuse_epoch(command.host_epoch, record.epoch)
    if record.state is command.state:
        return Ok(None)
    if command.state not in LEGAL_TRANSITIONS[record.state]:
        return _refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} cannot go from {record.state.value} '
            f'to {command.state.value}',
        )
    if (
        command.state is states.HostState.DRAINING
        and command.host not in budgets.get_held_hosts(state)
    ):
        return _refuse(
            errors.ErrorKind.BUDGET_EXCEEDED,
            f'host {command.host!r} has no permission to drain',
        )
    state.hosts[command.host] = msgspec.structs.replace(
        record,
        state=command.state,
        since=state.time,
        reason=command.reason,
    )
    return Ok(None)


@_apply.register
def _(command: commands.MoveHost, state: records.State) -> CommandResult:
    record = state.hosts.get(command.host)
    if record is None:
        return _refuse_host(command.host)
    if record.epoch != command.host_epoch:
        return _refuse_epoch(command.host_epoch, record.epoch)
    if record.pool != command.from_pool:
        return _refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} belongs to pool {record.pool!r}',
        )
    if record.state is not states.HostState.DRAINED:
        return _refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is {record.state.value}, not drained',
        )
    if all(pool.name != command.to_pool for pool in state.document.pools):
        return _refuse(
            errors.ErrorKind.NOT_FOUND,
            f'no pool is named {command.to_pool!r}',
        )
    state.hosts[command.host] = records.HostRecord(
        command.to_pool,
        ids.Epoch(record.epoch + 1),
        states.HostState.PROVING,
        state.time,
        f'moved from {command.from_pool}',
    )
    state.permissions.pop(command.permission, None)
    return Ok(ids.Epoch(record.epoch + 1))


@_apply.register
def _(command: commands.StartWaveHost, state: records.State) -> CommandResult:
    found = _find_wave_host(state, command.wave, command.host)
    if found.is_err():
        return found
    record = found.unwrap()
    state.waves[command.wave].hosts[command.host] = msgspec.structs.replace(
        record,
        state=states.WaveHostState.STARTED,
        since=state.time,
        attempts=record.attempts + 1,
    )
    return Ok(None)


@_apply.register
def _(command: commands.FinishWaveHost, state: records.State) -> CommandResult:
    found = _find_wave_host(state, command.wave, command.host)
    if found.is_err():
        return found
    wave = state.waves[command.wave]
    wave.hosts[command.host] = msgspec.structs.replace(
        found.unwrap(),
        state=command.outcome,
        since=state.time,
        reason=command.reason,
    )
    unfinished = (states.WaveHostState.WAITING, states.WaveHostState.STARTED)
    if not any(host.state in unfinished for host in wave.hosts.values()):
        wave.state = states.WaveState.FINISHED
    return Ok(None)


def _find_wave_host(
    state: records.State, wave: ids.WaveId, host: ids.HostId
) -> Result[records.WaveHostRecord, errors.Failure]:
    record = state.waves.get(wave)
    if record is None or host not in record.hosts:
        return _refuse(
            errors.ErrorKind.NOT_FOUND,
            f'wave {wave!r} has no host {host!r}',
        )
    return Ok(record.hosts[host])


@_apply.register
def _(command: commands.PauseWave, state: records.State) -> CommandResult:
    wave = state.waves.get(command.wave)
    if wave is None:
        return _refuse(
            errors.ErrorKind.NOT_FOUND, f'no wave is named {command.wave!r}'
        )
    wave.paused[command.scope] = command.reason
    return Ok(None)


@_apply.register
def _(command: commands.ResumeWave, state: records.State) -> CommandResult:
    wave = state.waves.get(command.wave)
    if wave is not None:
        wave.paused.pop(command.scope, None)
    return Ok(None)


@_apply.register
def _(command: commands.PlaceTask, state: records.State) -> CommandResult:
    if command.epoch < state.epoch:
        return _refuse_epoch(command.epoch, state.epoch)
    record = state.jobs.get(command.job)
    if record is None:
        return _refuse(
            errors.ErrorKind.NOT_FOUND, f'no job is named {command.job!r}'
        )
    if record.state is not states.JobState.WAITING:
        return _refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'job {command.job!r} is {record.state.value}, not waiting',
        )
    if command.attempt != get_next_attempt(record):
        return _refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'job {command.job!r}: attempt {command.attempt} is not next',
        )
    if command.worker not in state.hosts:
        return _refuse_host(command.worker)
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


@_apply.register
def _(command: commands.RenewLease, state: records.State) -> CommandResult:
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


@_apply.register
def _(
    command: commands.RecordTaskResult, state: records.State
) -> CommandResult:
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


@_apply.register
def _(command: commands.QuarantineJob, state: records.State) -> CommandResult:
    record = state.jobs.get(command.job)
    if record is None or record.state is not states.JobState.WAITING:
        return _refuse(
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


def _refuse(
    kind: errors.ErrorKind, message: str, *details: str
) -> Err[errors.Failure]:
    return Err(errors.Failure(kind, message, tuple(details)))


def _refuse_host(host: ids.HostId) -> Err[errors.Failure]:
    return _refuse(errors.ErrorKind.NOT_FOUND, f'no host is named {host!r}')


def _refuse_epoch(given: int, current: int) -> Err[errors.Failure]:
    return _refuse(
        errors.ErrorKind.STALE_EPOCH,
        f'epoch {given} was given, epoch {current} is in force',
    )


def _refuse_attempt(
    job: ids.JobId, attempt: ids.Attempt
) -> Err[errors.Failure]:
    return _refuse(
        errors.ErrorKind.ILLEGAL_TRANSITION,
        f'attempt {attempt} of job {job!r} is not running',
    )
