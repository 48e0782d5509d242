"""Decisions about the fleet, made by the leader."""

import functools
from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import jobs
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.state import records

# How long a permission lasts, and how long a step may take, in seconds.
PERMISSION_S = 900.0
CALL_REPEAT_S = 2.0


class Planner:
    """Works on a copy of the replicated state."""

    def __init__(self) -> None:
        self._state = records.State()
        self._epoch: ids.Epoch | None = None
        self._reported: dict[ids.HostId, events.ReportedState] = {}
        self._called_at: dict[ids.CallId, float] = {}
        self._pending: dict[str, float] = {}
        self._jobs = jobs.JobPlanner()

    @property
    def leads(self) -> bool:
        return self._epoch is not None

    def handle(
        self, event: events.Event, now: ids.WallTime
    ) -> list[events.Action]:
        """Return the actions that follow; ``now`` is a wall time in s."""
        actions = _handle(event, self, now)
        return actions + self._jobs.handle(
            event, self._state, self._epoch, now
        )

    def get_dump(self) -> dict[str, Any]:
        """Return what the planner holds besides the replicated state."""
        return {
            'leads': self.leads,
            'epoch': self._epoch,
            'reported': {
                host: state.value
                for host, state in sorted(self._reported.items())
            },
            'jobs': self._jobs.get_dump(),
        }

    def _gain(
        self, event: events.LeadershipGained, now: float
    ) -> list[events.Action]:
        self._state = event.state
        self._epoch = event.epoch
        self._called_at = {}
        self._pending = {}
        return self._plan(now)

    def _lose(self) -> list[events.Action]:
        self._epoch = None
        self._reported = {}
        return []

    def _apply(
        self, command: commands.Command, now: float
    ) -> list[events.Action]:
        machine.apply_command(command, self._state)
        self._pending.clear()
        return self._plan(now)

    def _plan(self, now: float) -> list[events.Action]:
        if not self.leads:
            return []
        actions: list[events.Action] = []
        for wave in self._state.document.waves:
            record = self._state.waves[wave.name]
            if record.state is states.WaveState.RUNNING:
                actions += self._advance_wave(wave.name, record, now)
        return actions

    def _advance_wave(
        self, wave: ids.WaveId, record: records.WaveRecord, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for host, progress in record.hosts.items():
            if host not in self._state.hosts:
                continue
            if progress.state is states.WaveHostState.STARTED:
                actions += self._advance_host(wave, host, now)
            elif progress.state is states.WaveHostState.WAITING:
                actions += self._start_host(wave, host, now)
        return actions

    def _start_host(
        self, wave: ids.WaveId, host: ids.HostId, now: float
    ) -> list[events.Action]:
        record = self._state.hosts[host]
        if record.state is not states.HostState.SERVING:
            return []
        if host in budgets.get_held_hosts(self._state):
            return []
        loss = budgets.find_exceeded(
            self._state, record.pool, (host, *self._get_pending_hosts())
        )
        if loss is not None:
            return []
        permission = ids.PermissionId(f'{wave}/{host}/{self._epoch}')
        return self._propose_once(
            f'start/{host}',
            now,
            commands.GrantPermission(
                time=ids.WallTime(now),
                permission=permission,
                host=host,
                host_epoch=record.epoch,
                purpose=states.Purpose.MAINTENANCE,
                epoch=self._epoch,
                until=ids.WallTime(now + PERMISSION_S),
            ),
            commands.StartWaveHost(
                time=ids.WallTime(now), wave=wave, host=host
            ),
        ) + [
            events.Record(
                'host',
                host,
                'drain for maintenance',
                {'wave': wave, 'pool': record.pool},
                'the loss with this host stays within every budget',
            )
        ]

    def _get_pending_hosts(self) -> tuple[ids.HostId, ...]:
        return tuple(
            ids.HostId(name.partition('/')[2])
            for name in self._pending
            if name.startswith('start/')
        )

    def _advance_host(
        self, wave: ids.WaveId, host: ids.HostId, now: float
    ) -> list[events.Action]:
        record = self._state.hosts[host]
        reported = self._reported.get(host)
        return _STEPS[record.state](self, wave, host, record, reported, now)

    def _step_serving(
        self, wave, host, record, reported, now
    ) -> list[events.Action]:
        return self._set_state(host, record, states.HostState.DRAINING, now)

    def _step_draining(
        self, wave, host, record, reported, now
    ) -> list[events.Action]:
        if reported is events.ReportedState.DRAINED:
            return self._set_state(host, record, states.HostState.DRAINED, now)
        return self._call(events.CallKind.DRAIN_HOST, wave, host, record, now)

    def _step_drained(
        self, wave, host, record, reported, now
    ) -> list[events.Action]:
        return self._set_state(host, record, states.HostState.REBOOTING, now)

    def _step_rebooting(
        self, wave, host, record, reported, now
    ) -> list[events.Action]:
        if reported is events.ReportedState.UP:
            return self._set_state(host, record, states.HostState.PROVING, now)
        return self._call(events.CallKind.REBOOT_HOST, wave, host, record, now)

    def _step_proving(
        self, wave, host, record, reported, now
    ) -> list[events.Action]:
        if reported is not events.ReportedState.UP:
            return []
        return [
            *self._set_state(host, record, states.HostState.SERVING, now),
            *self._finish(wave, host, now),
        ]

    def _step_waiting(
        self, wave, host, record, reported, now
    ) -> list[events.Action]:
        return []

    def _finish(
        self, wave: ids.WaveId, host: ids.HostId, now: float
    ) -> list[events.Action]:
        permissions = [
            name
            for name, permission in self._state.permissions.items()
            if permission.host == host
        ]
        ends = [
            events.Propose(
                commands.EndPermission(time=ids.WallTime(now), permission=name)
            )
            for name in permissions
        ]
        finish = commands.FinishWaveHost(
            time=ids.WallTime(now),
            wave=wave,
            host=host,
            outcome=states.WaveHostState.DONE,
        )
        return [*ends, events.Propose(finish)]

    def _set_state(
        self,
        host: ids.HostId,
        record: records.HostRecord,
        state: states.HostState,
        now: float,
    ) -> list[events.Action]:
        return self._propose_once(
            f'{state.value}/{host}',
            now,
            commands.SetHostState(
                time=ids.WallTime(now),
                host=host,
                host_epoch=record.epoch,
                state=state,
            ),
        )

    def _propose_once(
        self, name: str, now: float, *proposed: commands.Command
    ) -> list[events.Action]:
        if name in self._pending:
            return []
        self._pending[name] = now
        return [events.Propose(command) for command in proposed]

    def _call(
        self,
        kind: events.CallKind,
        wave: ids.WaveId,
        host: ids.HostId,
        record: records.HostRecord,
        now: float,
    ) -> list[events.Action]:
        call = ids.CallId(f'{wave}/{host}/{kind.value}')
        if now - self._called_at.get(call, -CALL_REPEAT_S) < CALL_REPEAT_S:
            return []
        self._called_at[call] = now
        return [
            events.CallPlatform(call, kind, host, self._epoch, record.epoch)
        ]


_STEPS = {
    states.HostState.SERVING: Planner._step_serving,
    states.HostState.DRAINING: Planner._step_draining,
    states.HostState.DRAINED: Planner._step_drained,
    states.HostState.REBOOTING: Planner._step_rebooting,
    states.HostState.PROVING: Planner._step_proving,
    states.HostState.DOWN: Planner._step_waiting,
    states.HostState.SET_ASIDE: Planner._step_waiting,
}


@functools.singledispatch
def _handle(event: Any, planner: Planner, now: float) -> list[events.Action]:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle.register
def _(
    event: events.LeadershipGained, planner: Planner, now: float
) -> list[events.Action]:
    return planner._gain(event, now)


@_handle.register
def _(
    event: events.LeadershipLost, planner: Planner, now: float
) -> list[events.Action]:
    return planner._lose()


@_handle.register
def _(
    event: events.CommandApplied, planner: Planner, now: float
) -> list[events.Action]:
    return planner._apply(event.command, now)


@_handle.register
def _(
    event: events.CommandRefused, planner: Planner, now: float
) -> list[events.Action]:
    planner._pending.clear()
    return []


@_handle.register
def _(
    event: events.HostReported, planner: Planner, now: float
) -> list[events.Action]:
    planner._reported[event.host] = event.state
    return planner._plan(now)


@_handle.register(events.TaskReported)
@_handle.register(events.DemandReported)
@_handle.register(events.PlatformAnswered)
def _(
    event: events.Event, planner: Planner, now: float
) -> list[events.Action]:
    return []


@_handle.register
def _(
    event: events.TimerFired, planner: Planner, now: float
) -> list[events.Action]:
    return planner._plan(now)
