"""Steps of one host within a wave, each with a limit and attempts."""

from collections.abc import Callable

from orioleshore.fleet import capacity
from orioleshore.fleet import events
from orioleshore.fleet import view
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands

# Times that a host is drained or rebooted before it is set aside.
MAX_ATTEMPTS = 3

# A host under way is looked at at most this often, in seconds.
REVIEW_S = 2.0

_GONE = (events.ReportedState.DOWN, events.ReportedState.REBOOTING)
_DRAINED = (events.ReportedState.DRAINING, events.ReportedState.DRAINED)
_RETURNABLE = (states.HostState.DRAINING, states.HostState.DRAINED)

_RULES = {
    states.WaveHostState.DONE: 'rebooted and up for the proving time',
    states.WaveHostState.WAITING: 'a host that is not rebooted is given back',
    states.WaveHostState.SET_ASIDE: (
        f'a host has {MAX_ATTEMPTS} attempts, then the wave goes on without it'
    ),
}

_REMEDIES = {
    states.WaveHostState.DONE: '',
    states.WaveHostState.WAITING: 'it is tried again when the cause has ended',
    states.WaveHostState.SET_ASIDE: 'repair the host, then start a new wave',
}


def advance(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    """Return what the present step of a started host asks for."""
    step = _STEPS[fleet.state.hosts[host].state]
    return step(wave, host, fleet, now)


def withdraw(
    wave: ids.WaveId,
    host: ids.HostId,
    fleet: view.Fleet,
    now: float,
    reason: str,
) -> list[events.Action]:
    """Give a host back that is not rebooted yet."""
    record = fleet.state.hosts[host]
    if record.state not in _RETURNABLE:
        return []
    return finish(
        wave,
        host,
        fleet,
        now,
        states.WaveHostState.WAITING,
        reason,
        [fleet.set_state(host, states.HostState.SERVING, now, reason)],
        withdrawn=True,
    )


def get_start(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> commands.StartWaveHost:
    """Return the command that begins or repeats a host."""
    return commands.StartWaveHost(
        time=ids.WallTime(now), wave=wave, host=host, epoch=fleet.epoch
    )


def get_next_review(host: ids.HostId, fleet: view.Fleet, now: float) -> float:
    """Return when a step can change without an event of the host."""
    record = fleet.state.hosts[host]
    due = now + REVIEW_S
    if record.state is states.HostState.PROVING:
        due = record.since + fleet.timings.proving_s
    elif record.state is states.HostState.DRAINING:
        due = record.since + fleet.timings.drain_s
    elif record.state is states.HostState.REBOOTING:
        due = record.since + fleet.timings.reboot_s
    repeat = fleet.get_next_call(host)
    if repeat is not None and repeat > now:
        due = min(due, repeat)
    return max(due, now + min(REVIEW_S, fleet.timings.proving_s))


def _step_serving(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    if host in budgets.get_index(fleet.state).permissions_by_host:
        drain = fleet.set_state(host, states.HostState.DRAINING, now)
        return fleet.propose(host, now, drain)
    return finish(
        wave,
        host,
        fleet,
        now,
        states.WaveHostState.WAITING,
        'permission ended',
        [],
        withdrawn=True,
    )


def _step_draining(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    report = fleet.reports.get(host)
    record = fleet.state.hosts[host]
    is_new = report is not None and report.time >= record.since
    if is_new and report.state is events.ReportedState.DRAINED:
        return fleet.propose(
            host,
            now,
            fleet.set_state(host, states.HostState.DRAINED, now),
            fleet.set_state(host, states.HostState.REBOOTING, now),
        )
    if is_new and report.state in _GONE:
        return _fail(wave, host, fleet, now, 'failed while it drained')
    if fleet.get_step_time(host, now) < fleet.timings.drain_s:
        return fleet.call(events.CallKind.DRAIN_HOST, host, now)
    reason = f'drain did not end in {fleet.timings.drain_s:g} s'
    outcome = states.WaveHostState.WAITING
    if _get_attempts(wave, host, fleet) >= MAX_ATTEMPTS:
        outcome = states.WaveHostState.SET_ASIDE
    serve = fleet.set_state(host, states.HostState.SERVING, now, reason)
    return finish(wave, host, fleet, now, outcome, reason, [serve])


def _step_drained(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    reboot = fleet.set_state(host, states.HostState.REBOOTING, now)
    return fleet.propose(host, now, reboot)


def _step_rebooting(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    if _is_rebooted(host, fleet, now):
        prove = fleet.set_state(host, states.HostState.PROVING, now)
        return fleet.propose(host, now, prove)
    if fleet.get_step_time(host, now) < fleet.timings.reboot_s:
        return fleet.call(events.CallKind.REBOOT_HOST, host, now)
    return _fail(
        wave,
        host,
        fleet,
        now,
        f'did not come back in {fleet.timings.reboot_s:g} s',
    )


def _step_proving(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    record = fleet.state.hosts[host]
    report = fleet.reports.get(host)
    if capacity.is_proven(host, fleet, now):
        serve = fleet.set_state(host, states.HostState.SERVING, now)
        return finish(
            wave, host, fleet, now, states.WaveHostState.DONE, '', [serve]
        )
    is_new = report is not None and report.time >= record.since
    if is_new and report.state in _GONE:
        return _fail(wave, host, fleet, now, 'failed after its reboot')
    if fleet.get_step_time(host, now) >= fleet.timings.proving_limit_s:
        return _fail(wave, host, fleet, now, 'was not proved in time')
    if is_new and report.state in _DRAINED:
        return fleet.call(events.CallKind.RETURN_HOST, host, now)
    return []


def _step_down(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    record = fleet.state.hosts[host]
    if _get_attempts(wave, host, fleet) < MAX_ATTEMPTS:
        return fleet.propose(
            host,
            now,
            get_start(wave, host, fleet, now),
            fleet.set_state(host, states.HostState.REBOOTING, now),
        )
    aside = fleet.set_state(
        host, states.HostState.SET_ASIDE, now, record.reason
    )
    return finish(
        wave,
        host,
        fleet,
        now,
        states.WaveHostState.SET_ASIDE,
        record.reason,
        [aside],
    )


def _step_set_aside(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    return finish(
        wave,
        host,
        fleet,
        now,
        states.WaveHostState.SET_ASIDE,
        fleet.state.hosts[host].reason,
        [],
    )


def _fail(
    wave: ids.WaveId,
    host: ids.HostId,
    fleet: view.Fleet,
    now: float,
    reason: str,
) -> list[events.Action]:
    down = fleet.set_state(host, states.HostState.DOWN, now, reason)
    return [
        *fleet.propose(host, now, down),
        *fleet.explain(
            events.Record(
                'host',
                host,
                'count as down',
                {
                    'wave': wave,
                    'attempt': _get_attempts(wave, host, fleet),
                    'reason': reason,
                },
                f'a step has a time limit and {MAX_ATTEMPTS} attempts',
                'repair of the host',
            )
        ),
    ]


def finish(
    wave: ids.WaveId,
    host: ids.HostId,
    fleet: view.Fleet,
    now: float,
    outcome: states.WaveHostState,
    reason: str,
    changes: list[commands.SetHostState],
    withdrawn: bool = False,
) -> list[events.Action]:
    """Record the outcome of a host, with the changes that follow."""
    ended = commands.FinishWaveHost(
        time=ids.WallTime(now),
        wave=wave,
        host=host,
        outcome=outcome,
        reason=reason,
        withdrawn=withdrawn,
        epoch=fleet.epoch,
    )
    # The outcome comes first: a leader that sees only a part of these
    # commands must not reboot the host again.
    actions = fleet.propose(
        host, now, ended, *changes, *fleet.end_permission(host, now)
    )
    if not actions:
        return []
    record = events.Record(
        'host',
        host,
        f'{outcome.value} in wave',
        {'wave': wave, 'reason': reason},
        _RULES[outcome],
        _REMEDIES[outcome],
    )
    return actions + fleet.explain(record)


def _get_attempts(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet
) -> int:
    return fleet.state.waves[wave].hosts[host].attempts


def _is_rebooted(host: ids.HostId, fleet: view.Fleet, now: float) -> bool:
    report = fleet.reports.get(host)
    if report is None or report.state is not events.ReportedState.UP:
        return False
    since = fleet.state.hosts[host].since
    if report.time < since:
        return False
    if report.out >= since:
        return True
    # A report of the time before the reboot may arrive late.
    accepted = fleet.get_accepted(host)
    if accepted is None or accepted < since:
        return False
    return now - accepted >= fleet.timings.reboot_unseen_s


_Step = Callable[
    [ids.WaveId, ids.HostId, view.Fleet, float], list[events.Action]
]

_STEPS: dict[states.HostState, _Step] = {
    states.HostState.SERVING: _step_serving,
    states.HostState.DRAINING: _step_draining,
    states.HostState.DRAINED: _step_drained,
    states.HostState.REBOOTING: _step_rebooting,
    states.HostState.PROVING: _step_proving,
    states.HostState.DOWN: _step_down,
    states.HostState.SET_ASIDE: _step_set_aside,
}
