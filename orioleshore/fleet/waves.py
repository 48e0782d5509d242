"""Maintenance waves: which host is taken down when."""

from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import view
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands
from orioleshore.state import records

# How long a permission lasts, and how long a step may take, in seconds.
PERMISSION_S = 900.0
CALL_REPEAT_S = 2.0


class WavePlanner:
    """Walks each wave host by host."""

    def __init__(self) -> None:
        self._fleet: view.Fleet | None = None
        self._called_at: dict[ids.CallId, float] = {}
        self._pending: dict[str, float] = {}

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Take up every wave where its record stands."""
        self._fleet = fleet
        self._called_at = {}
        self._pending = {}
        return self._plan(now)

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        if isinstance(event, (events.CommandApplied, events.CommandRefused)):
            self._pending.clear()
        return self._plan(now)

    def get_dump(self) -> dict[str, Any]:
        """Return the proposals that wait for an answer."""
        return {'pending': sorted(self._pending)}

    def _plan(self, now: float) -> list[events.Action]:
        actions: list[events.Action] = []
        for wave in self._fleet.state.document.waves:
            record = self._fleet.state.waves[wave.name]
            if record.state is states.WaveState.RUNNING:
                actions += self._advance_wave(wave.name, record, now)
        return actions

    def _advance_wave(
        self, wave: ids.WaveId, record: records.WaveRecord, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for host, progress in record.hosts.items():
            if host not in self._fleet.state.hosts:
                continue
            if progress.state is states.WaveHostState.STARTED:
                actions += self._advance_host(wave, host, now)
            elif progress.state is states.WaveHostState.WAITING:
                actions += self._start_host(wave, host, now)
        return actions

    def _start_host(
        self, wave: ids.WaveId, host: ids.HostId, now: float
    ) -> list[events.Action]:
        record = self._fleet.state.hosts[host]
        if record.state is not states.HostState.SERVING:
            return []
        if host in budgets.get_held_hosts(self._fleet.state):
            return []
        loss = budgets.find_exceeded(
            self._fleet.state, record.pool, (host, *self._get_pending_hosts())
        )
        if loss is not None:
            return []
        permission = ids.PermissionId(f'{wave}/{host}/{self._fleet.epoch}')
        return self._propose_once(
            f'start/{host}',
            now,
            commands.GrantPermission(
                time=ids.WallTime(now),
                permission=permission,
                host=host,
                host_epoch=record.epoch,
                purpose=states.Purpose.MAINTENANCE,
                epoch=self._fleet.epoch,
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
        record = self._fleet.state.hosts[host]
        reported = self._fleet.reported.get(host)
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
            for name, permission in self._fleet.state.permissions.items()
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
            events.CallPlatform(
                call, kind, host, self._fleet.epoch, record.epoch
            )
        ]


_STEPS = {
    states.HostState.SERVING: WavePlanner._step_serving,
    states.HostState.DRAINING: WavePlanner._step_draining,
    states.HostState.DRAINED: WavePlanner._step_drained,
    states.HostState.REBOOTING: WavePlanner._step_rebooting,
    states.HostState.PROVING: WavePlanner._step_proving,
    states.HostState.DOWN: WavePlanner._step_waiting,
    states.HostState.SET_ASIDE: WavePlanner._step_waiting,
}
