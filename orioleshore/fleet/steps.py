"""Steps of the maintenance of one host, with time and attempt limits."""

from collections.abc import Callable

from orioleshore.fleet import events
from orioleshore.fleet import host_monitor
from orioleshore.fleet import view
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands

# Attempts to drain or reboot a host before the wave skips it.
MAX_ATTEMPTS = 3

# Minimum time between two reviews of a started host, in seconds.
REVIEW_INTERVAL_S = 2.0

_OUT_STATES = (events.ReportedState.DOWN, events.ReportedState.REBOOTING)
_DRAIN_STATES = (events.ReportedState.DRAINING, events.ReportedState.DRAINED)
_WITHDRAWABLE_STATES = (states.HostState.DRAINING, states.HostState.DRAINED)

_OUTCOME_RULES = {
    states.WaveHostState.DONE: 'rebooted and up for the proving time',
    states.WaveHostState.WAITING: 'a host that is not rebooted is given back',
    states.WaveHostState.SET_ASIDE: (
        f'a host has {MAX_ATTEMPTS} attempts, then the wave goes on without it'
    ),
}

_OUTCOME_REMEDIES = {
    states.WaveHostState.DONE: '',
    states.WaveHostState.WAITING: 'it is tried again when the cause has ended',
    states.WaveHostState.SET_ASIDE: 'repair the host, then start a new wave',
}


def advance_host(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    """Return the actions for a started host in its present state."""
    step = _STEPS[fleet.state.hosts[host].state]
    return step(wave, host, fleet, now)


def withdraw_host(
    wave: ids.WaveId,
    host: ids.HostId,
    fleet: view.Fleet,
    now: float,
    reason: str,
) -> list[events.Action]:
    """Return a host to service if its reboot has not begun."""
    record = fleet.state.hosts[host]
    if record.state not in _WITHDRAWABLE_STATES:
        return []
    return finish_host(
        wave,
        host,
        fleet,
        now,
        states.WaveHostState.WAITING,
        reason,
        [
            fleet.build_state_change(
                host, states.HostState.SERVING, now, reason
            )
        ],
        withdrawn=True,
    )


def build_start(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> commands.StartWaveHost:
    """Return the command that starts an attempt on a host."""
    return commands.StartWaveHost(
        time=ids.WallTime(now), wave=wave, host=host, epoch=fleet.epoch
    )


def get_next_review(host: ids.HostId, fleet: view.Fleet, now: float) -> float:
    """Return when a host needs a review without an event about it."""
    record = fleet.state.hosts[host]
    due = now + REVIEW_INTERVAL_S
    if record.state is states.HostState.PROVING:
        due = record.since + fleet.timings.proving_s
    elif record.state is states.HostState.DRAINING:
        due = record.since + fleet.timings.drain_s
    elif record.state is states.HostState.REBOOTING:
        due = record.since + fleet.timings.reboot_s
    repeat = fleet.get_next_call_time(host)
    if repeat is not None and repeat > now:
        due = min(due, repeat)
    return max(due, now + min(REVIEW_INTERVAL_S, fleet.timings.proving_s))


def _advance_serving(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    if host in budgets.get_index(fleet.state).permissions_by_host:
        drain = fleet.build_state_change(host, states.HostState.DRAINING, now)
        return fleet.propose_commands(host, now, drain)
    return finish_host(
        wave,
        host,
        fleet,
        now,
        states.WaveHostState.WAITING,
        'permission ended',
        [],
        withdrawn=True,
    )


def _advance_draining(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    report = fleet.reports.get(host)
    record = fleet.state.hosts[host]
    is_new = report is not None and report.time >= record.since
    if is_new and report.state is events.ReportedState.DRAINED:
        return fleet.propose_commands(
            host,
            now,
            fleet.build_state_change(host, states.HostState.DRAINED, now),
            fleet.build_state_change(host, states.HostState.REBOOTING, now),
        )
    if is_new and report.state in _OUT_STATES:
        return _fail_host(wave, host, fleet, now, 'failed while it drained')
    if fleet.get_time_in_state(host, now) < fleet.timings.drain_s:
        return fleet.call_platform(events.CallKind.DRAIN_HOST, host, now)
    reason = f'drain did not end in {fleet.timings.drain_s:g} s'
    outcome = states.WaveHostState.WAITING
    if _get_attempts(wave, host, fleet) >= MAX_ATTEMPTS:
        outcome = states.WaveHostState.SET_ASIDE
    serve = fleet.build_state_change(
        host, states.HostState.SERVING, now, reason
    )
    return finish_host(wave, host, fleet, now, outcome, reason, [serve])


def _advance_drained(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    reboot = fleet.build_state_change(host, states.HostState.REBOOTING, now)
    return fleet.propose_commands(host, now, reboot)


def _advance_rebooting(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    if _is_rebooted(host, fleet, now):
        prove = fleet.build_state_change(host, states.HostState.PROVING, now)
        return fleet.propose_commands(host, now, prove)
    if fleet.get_time_in_state(host, now) < fleet.timings.reboot_s:
        return fleet.call_platform(events.CallKind.REBOOT_HOST, host, now)
    return _fail_host(
        wave,
        host,
        fleet,
        now,
        f'did not come back in {fleet.timings.reboot_s:g} s',
    )


def _advance_proving(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    record = fleet.state.hosts[host]
    report = fleet.reports.get(host)
    if host_monitor.is_proven(host, fleet, now):
        serve = fleet.build_state_change(host, states.HostState.SERVING, now)
        return finish_host(
            wave, host, fleet, now, states.WaveHostState.DONE, '', [serve]
        )
    is_new = report is not None and report.time >= record.since
    if is_new and report.state in _OUT_STATES:
        return _fail_host(wave, host, fleet, now, 'failed after its reboot')
    if fleet.get_time_in_state(host, now) >= fleet.timings.proving_limit_s:
        return _fail_host(wave, host, fleet, now, 'was not proved in time')
    if is_new and report.state in _DRAIN_STATES:
        return fleet.call_platform(events.CallKind.RETURN_HOST, host, now)
    return []


def _advance_down(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    record = fleet.state.hosts[host]
    if _get_attempts(wave, host, fleet) < MAX_ATTEMPTS:
        return fleet.propose_commands(
            host,
            now,
            build_start(wave, host, fleet, now),
            fleet.build_state_change(host, states.HostState.REBOOTING, now),
        )
    set_aside = fleet.build_state_change(
        host, states.HostState.SET_ASIDE, now, record.reason
    )
    return finish_host(
        wave,
        host,
        fleet,
        now,
        states.WaveHostState.SET_ASIDE,
        record.reason,
        [set_aside],
    )


def _advance_set_aside(
    wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet, now: float
) -> list[events.Action]:
    return finish_host(
        wave,
        host,
        fleet,
        now,
        states.WaveHostState.SET_ASIDE,
        fleet.state.hosts[host].reason,
        [],
    )


def _fail_host(
    wave: ids.WaveId,
    host: ids.HostId,
    fleet: view.Fleet,
    now: float,
    reason: str,
) -> list[events.Action]:
    down = fleet.build_state_change(host, states.HostState.DOWN, now, reason)
    return [
        *fleet.propose_commands(host, now, down),
        *fleet.record_decision(
            events.RecordDecision(
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


def finish_host(
    wave: ids.WaveId,
    host: ids.HostId,
    fleet: view.Fleet,
    now: float,
    outcome: states.WaveHostState,
    reason: str,
    changes: list[commands.SetHostState],
    withdrawn: bool = False,
) -> list[events.Action]:
    """Record the outcome of a host, and end its permission."""
    outcome_command = commands.FinishWaveHost(
        time=ids.WallTime(now),
        wave=wave,
        host=host,
        outcome=outcome,
        reason=reason,
        withdrawn=withdrawn,
        epoch=fleet.epoch,
    )
    # The outcome comes first: if only some of these commands are committed,
    # the next leader must not reboot the host again.
    actions = fleet.propose_commands(
        host,
        now,
        outcome_command,
        *changes,
        *fleet.build_permission_end(host, now),
    )
    if not actions:
        return []
    record = events.RecordDecision(
        'host',
        host,
        f'{outcome.value} in wave',
        {'wave': wave, 'reason': reason},
        _OUTCOME_RULES[outcome],
        _OUTCOME_REMEDIES[outcome],
    )
    return actions + fleet.record_decision(record)


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
    if report.last_outage >= since:
        return True
    # No outage was reported. The report may date from before the reboot, so
    # wait until the platform accepted the call long enough ago.
    accepted = fleet.get_call_accepted_at(host)
    if accepted is None or accepted < since:
        return False
    return now - accepted >= fleet.timings.reboot_unseen_s


_Step = Callable[
    [ids.WaveId, ids.HostId, view.Fleet, float], list[events.Action]
]

_STEPS: dict[states.HostState, _Step] = {
    states.HostState.SERVING: _advance_serving,
    states.HostState.DRAINING: _advance_draining,
    states.HostState.DRAINED: _advance_drained,
    states.HostState.REBOOTING: _advance_rebooting,
    states.HostState.PROVING: _advance_proving,
    states.HostState.DOWN: _advance_down,
    states.HostState.SET_ASIDE: _advance_set_aside,
}
