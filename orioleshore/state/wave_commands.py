"""Progress of maintenance waves."""

import msgspec
from result import Ok
from result import Result

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import records
from orioleshore.state import registry


@registry.apply.register
def _(
    command: commands.StartWaveHost, state: records.State
) -> registry.CommandResult:
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


@registry.apply.register
def _(
    command: commands.FinishWaveHost, state: records.State
) -> registry.CommandResult:
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
        return registry.refuse(
            errors.ErrorKind.NOT_FOUND,
            f'wave {wave!r} has no host {host!r}',
        )
    return Ok(record.hosts[host])


@registry.apply.register
def _(
    command: commands.PauseWave, state: records.State
) -> registry.CommandResult:
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
    wave = state.waves.get(command.wave)
    if wave is not None:
        wave.paused.pop(command.scope, None)
    return Ok(None)
