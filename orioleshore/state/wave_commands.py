"""Handlers of commands on the progress of maintenance waves."""

import msgspec
from result import Ok
from result import Result

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands
from orioleshore.state import host_commands
from orioleshore.state import records
from orioleshore.state import registry

UNFINISHED_STATES = (
    states.WaveHostState.WAITING,
    states.WaveHostState.STARTED,
)

# Key of the number of unfinished hosts in the ``__dict__`` of a wave record.
_UNFINISHED_KEY = '_unfinished'


@registry.apply.register
def _(
    command: commands.StartWaveHost, state: records.State
) -> registry.CommandResult:
    refusal = host_commands.check_epoch(command.epoch, state)
    if refusal is not None:
        return refusal
    found = _find_wave_host(state, command.wave, command.host)
    if found.is_err():
        return found
    record = found.unwrap()
    if record.state not in UNFINISHED_STATES:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is {record.state.value} in this wave',
        )
    host = state.hosts.get(command.host)
    if host is None:
        return registry.refuse_unknown_host(command.host)
    if not budgets.is_down(host) and not host_commands.has_permission(
        state, command.host
    ):
        return registry.refuse(
            errors.ErrorKind.BUDGET_EXCEEDED,
            f'host {command.host!r} has no permission for maintenance',
        )
    state.waves[command.wave].hosts[command.host] = msgspec.structs.replace(
        record,
        state=states.WaveHostState.STARTED,
        since=state.time,
        attempts=record.attempts + 1,
    )
    return Ok(None)


@registry.apply.register
def _(
    command: commands.FinishWaveHost, state: records.State
) -> registry.CommandResult:
    refusal = host_commands.check_epoch(command.epoch, state)
    if refusal is not None:
        return refusal
    found = _find_wave_host(state, command.wave, command.host)
    if found.is_err():
        return found
    wave = state.waves[command.wave]
    record = found.unwrap()
    if record.state not in UNFINISHED_STATES:
        return Ok(None)  # The first outcome is final.
    wave.hosts[command.host] = msgspec.structs.replace(
        record,
        attempts=record.attempts - int(command.withdrawn),
        state=command.outcome,
        since=state.time,
        reason=command.reason,
    )
    _update_wave_state(wave, record.state, command.outcome)
    return Ok(None)


def _update_wave_state(
    wave: records.WaveRecord,
    old: states.WaveHostState,
    new: states.WaveHostState,
) -> None:
    change = int(new in UNFINISHED_STATES) - int(old in UNFINISHED_STATES)
    wave.__dict__[_UNFINISHED_KEY] = _count_unfinished_hosts(wave, change)
    if wave.__dict__[_UNFINISHED_KEY] == 0:
        wave.state = states.WaveState.FINISHED


def _count_unfinished_hosts(wave: records.WaveRecord, change: int) -> int:
    """Return the number of unfinished hosts after a change of ``change``.

    The number is cached: a wave may have 19,000 hosts, and a scan of them
    at each outcome would be quadratic.
    """
    known = wave.__dict__.get(_UNFINISHED_KEY)
    if known is not None:
        return known + change
    return sum(host.state in UNFINISHED_STATES for host in wave.hosts.values())


def finish_if_done(wave: records.WaveRecord) -> None:
    """Finish a wave that has no waiting or started hosts."""
    wave.__dict__.pop(_UNFINISHED_KEY, None)
    if _count_unfinished_hosts(wave, 0) == 0:
        wave.state = states.WaveState.FINISHED


def _find_wave_host(
    state: records.State, wave: ids.WaveId, host: ids.HostId
) -> Result[records.WaveHostRecord, errors.Failure]:
    record = state.waves.get(wave)
    if record is None or host not in record.hosts:
        return registry.refuse(
            errors.ErrorKind.NOT_FOUND,
            f'wave {wave!r} has no host {host!r}',
        )
    return Ok(record.hosts[host])


@registry.apply.register
def _(
    command: commands.PauseWave, state: records.State
) -> registry.CommandResult:
    refusal = host_commands.check_epoch(command.epoch, state)
    if refusal is not None:
        return refusal
    wave = state.waves.get(command.wave)
    if wave is None:
        return registry.refuse(
            errors.ErrorKind.NOT_FOUND, f'no wave is named {command.wave!r}'
        )
    wave.paused[command.scope] = command.reason
    return Ok(None)


@registry.apply.register
def _(
    command: commands.ResumeWave, state: records.State
) -> registry.CommandResult:
    refusal = host_commands.check_epoch(command.epoch, state)
    if refusal is not None:
        return refusal
    wave = state.waves.get(command.wave)
    if wave is not None:
        wave.paused.pop(command.scope, None)
    return Ok(None)
