"""Handler of changes to the document."""

from result import Err
from result import Ok
from result import Result

from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import host_safety
from orioleshore.state import job_commands
from orioleshore.state import operations
from orioleshore.state import records
from orioleshore.state import registry
from orioleshore.state import wave_commands

# Number of newest deltas kept for subscribers; an older subscriber gets the
# whole document.
MAX_DELTAS_KEPT = 512
# Answers to changes are kept for this time; repeats of older changes are
# refused.
OPERATION_RETENTION_S = 86_400.0
MAX_OPERATIONS = 20_000
MAX_CLOCK_AHEAD_S = 300.0


@registry.apply.register
def _(
    command: commands.ChangeDocument, state: records.State
) -> registry.CommandResult:
    known = state.operations.get(command.operation_id)
    if known is not None:
        return _get_recorded_answer(known)
    issued = operations.parse_issue_time(command.operation_id)
    if issued is None:
        return registry.refuse(
            errors.ErrorKind.OPERATION_INVALID,
            f'operation id {command.operation_id!r} is not '
            '"<unix seconds>-<token>"',
        )
    if issued <= state.time - OPERATION_RETENTION_S:
        return registry.refuse(
            errors.ErrorKind.OPERATION_EXPIRED,
            f'operation id {command.operation_id!r} is older than '
            f'{OPERATION_RETENTION_S:.0f} s, so its first answer is not known',
        )
    if issued > state.time + MAX_CLOCK_AHEAD_S:
        return registry.refuse(
            errors.ErrorKind.OPERATION_INVALID,
            f'operation id {command.operation_id!r} was issued in the future',
        )
    _remove_expired_operations(state)
    if len(state.operations) >= MAX_OPERATIONS:
        return registry.refuse(
            errors.ErrorKind.OVERLOADED,
            f'the limit of {MAX_OPERATIONS} recorded changes is reached',
        )
    answer = _change_document(command, state)
    state.operations[command.operation_id] = records.OperationRecord(
        issued, command.operator, answer.ok(), answer.err()
    )
    return answer


def _get_recorded_answer(
    known: records.OperationRecord,
) -> registry.CommandResult:
    if known.failure is not None:
        return Err(known.failure)
    return Ok(known.version)


def _remove_expired_operations(state: records.State) -> None:
    cutoff = state.time - OPERATION_RETENTION_S
    expired = [
        operation_id
        for operation_id, record in state.operations.items()
        if record.issued <= cutoff
    ]
    for operation_id in expired:
        del state.operations[operation_id]


def _change_document(
    command: commands.ChangeDocument, state: records.State
) -> Result[ids.Version, errors.Failure]:
    if command.base_version != state.version:
        return registry.refuse(
            errors.ErrorKind.VERSION_CONFLICT,
            f'the change is based on version {command.base_version}, '
            f'version {state.version} is in force',
            *_describe_changes_since(state, command.base_version),
        )
    document = changes.apply_delta(state.document, command.edits)
    problems = documents.find_inconsistencies(document)
    if problems:
        return registry.refuse(
            errors.ErrorKind.INVALID_DOCUMENT,
            'the document is not valid',
            *problems,
        )
    unsafe = host_safety.find_unsafe_changes(state, document)
    if unsafe:
        return registry.refuse(
            errors.ErrorKind.BUDGET_EXCEEDED,
            'the change would break the rules of hosts in planned work',
            *unsafe,
        )
    old = state.document
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
    del state.deltas[:-MAX_DELTAS_KEPT]
    _update_records(state, old, command.edits)
    return Ok(state.version)


def _describe_changes_since(state: records.State, version: int) -> list[str]:
    return [
        f'version {delta.version} by {delta.operator}: '
        + ', '.join(changes.describe_edit(edit) for edit in delta.edits[:20])
        for delta in state.deltas
        if delta.version > version
    ]


def _update_records(
    state: records.State,
    old: documents.Document,
    edits: tuple[changes.Edit, ...],
) -> None:
    """Create records for new items and remove those of removed items."""
    if state.document.hosts is not old.hosts:
        _update_host_records(state)
    _update_wave_records(state)
    if state.document.hosts is not old.hosts:
        _remove_wave_hosts(state)
    job_commands.update_job_records(state, edits)


def _update_host_records(state: records.State) -> None:
    host_records = host_safety.build_host_records(state, state.document)
    for name, record in state.hosts.items():
        if name not in host_records:
            state.host_epoch_floor = max(state.host_epoch_floor, record.epoch)
    state.hosts = host_records
    # Only expired permissions can be for a removed host: they are kept until
    # the next grant, and a host with a valid one cannot be removed.
    for permission, record in list(state.permissions.items()):
        if record.host not in host_records:
            del state.permissions[permission]


def _update_wave_records(state: records.State) -> None:
    names = {wave.name for wave in state.document.waves}
    for name in [name for name in state.waves if name not in names]:
        del state.waves[name]
    for wave in state.document.waves:
        if wave.name not in state.waves:
            record = records.WaveRecord(
                states.WaveState.RUNNING,
                state.time,
                _build_wave_hosts(wave, state),
                {},
            )
            wave_commands.finish_if_done(record)
            state.waves[wave.name] = record


def _remove_wave_hosts(state: records.State) -> None:
    for record in state.waves.values():
        for host in [name for name in record.hosts if name not in state.hosts]:
            del record.hosts[host]
        wave_commands.finish_if_done(record)


def _build_wave_hosts(
    wave: documents.Wave, state: records.State
) -> dict[ids.HostId, records.WaveHostRecord]:
    return {
        host.name: records.WaveHostRecord(
            states.WaveHostState.WAITING, state.time
        )
        for host in state.document.hosts
        if state.hosts[host.name].pool in wave.pools
    }
