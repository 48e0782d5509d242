"""Maintenance waves: which host is taken down when."""

import collections
import functools
import heapq
import math
from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import failures
from orioleshore.fleet import queues
from orioleshore.fleet import steps
from orioleshore.fleet import view
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands

# Bounds on the work of one event, which shares its loop with others.
MAX_STARTS = 16
MAX_SCANS = 32
MAX_POOLS = 4
MAX_REVIEWS = 64
# Pools are filled when an event gives room, and besides this often, in
# seconds, for hosts that may start because time has passed.
FILL_S = 10.0


class WavePlanner:
    """Fills the budget of each pool, and walks each host to its end."""

    def __init__(self) -> None:
        self._clear(0.0)

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Take up every wave where its record stands."""
        self._clear(now)
        self._load(fleet, now)
        return self._fill(fleet, now)

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        actions: list[events.Action] = []
        if fleet.is_document_new:
            self._load(fleet, now)
        if isinstance(event, events.CommandApplied):
            actions += _follow(event.command, self, fleet, now)
        if isinstance(event, events.CommandRefused):
            self._forget_refused(event.command, fleet)
        for host in fleet.touched:
            actions += self._review(host, fleet, now)
            self._mark(host, fleet, now)
        if isinstance(event, events.TimerFired):
            actions += self._tick(fleet, now)
        return actions + self._fill(fleet, now)

    def get_dump(self) -> dict[str, Any]:
        """Return the hosts under way and how many wait in each pool."""
        return {
            'active': dict(sorted(self._active.items())),
            'waiting': {
                f'{wave}/{pool}': len(queue)
                for (wave, pool), queue in sorted(self._queues.items())
            },
        }

    def _clear(self, now: float) -> None:
        self._waves: dict[ids.WaveId, documents.Wave] = {}
        self._queues: dict[
            tuple[ids.WaveId, ids.PoolId], queues.RackQueue
        ] = {}
        self._pool_waves: dict[ids.PoolId, list[ids.WaveId]] = {}
        self._active: dict[ids.HostId, ids.WaveId] = {}
        self._planned: collections.Counter[ids.PoolId] = collections.Counter()
        self._planned_hosts: dict[ids.HostId, tuple[ids.PoolId, int]] = {}
        self._due: list[tuple[float, ids.HostId]] = []
        self._scheduled: dict[ids.HostId, float] = {}
        self._dirty: dict[ids.PoolId, None] = {}
        self._next_fill = 0.0
        self._failures = failures.FailureLog(now)
        self._pausing: set[tuple[ids.WaveId, str]] = set()
        self._sections: tuple[object, object] | None = None

    # Following the document and the log.

    def _load(self, fleet: view.Fleet, now: float) -> None:
        document = fleet.state.document
        known = self._sections
        if (
            known is not None
            and known[0] is document.hosts
            and known[1] is document.waves
        ):
            return
        self._sections = (document.hosts, document.waves)
        for host in list(self._active):
            self._release(host, fleet)
        self._waves = {}
        self._queues = {}
        self._pool_waves = {}
        for wave in document.waves:
            record = fleet.state.waves[wave.name]
            if record.state is states.WaveState.RUNNING:
                self._waves[wave.name] = wave
                self._load_wave(wave.name, fleet, now)

    def _load_wave(
        self, wave: ids.WaveId, fleet: view.Fleet, now: float
    ) -> None:
        waiting: dict[ids.PoolId, list[documents.Host]] = {}
        for host, progress in fleet.state.waves[wave].hosts.items():
            if host not in fleet.state.hosts:
                continue
            if progress.state is states.WaveHostState.STARTED:
                self._activate(host, wave, fleet, now)
            elif progress.state is states.WaveHostState.WAITING:
                pool = fleet.state.hosts[host].pool
                waiting.setdefault(pool, []).append(fleet.index.hosts[host])
        for pool, hosts in waiting.items():
            self._queues[wave, pool] = queues.RackQueue(hosts)
            self._pool_waves.setdefault(pool, []).append(wave)
            self._dirty[pool] = None

    def _follow_finish(
        self, command: commands.FinishWaveHost, fleet: view.Fleet
    ) -> None:
        if self._active.get(command.host) == command.wave:
            self._release(command.host, fleet)
        record = fleet.state.waves.get(command.wave)
        if record is None:
            return
        if record.state is states.WaveState.FINISHED:
            self._waves.pop(command.wave, None)
        elif command.outcome is states.WaveHostState.WAITING:
            self._queue(command.wave, command.host, fleet)

    def _forget_refused(
        self, command: commands.Command, fleet: view.Fleet
    ) -> None:
        if isinstance(command, (commands.PauseWave, commands.ResumeWave)):
            self._pausing.discard((command.wave, command.scope))
        if not isinstance(command, commands.GrantPermission):
            return
        wave = self._active.get(command.host)
        if wave is None or command.purpose is not states.Purpose.MAINTENANCE:
            return
        progress = fleet.state.waves[wave].hosts[command.host]
        if progress.state is states.WaveHostState.WAITING:
            self._release(command.host, fleet)
            self._queue(wave, command.host, fleet)

    def _queue(
        self, wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet
    ) -> None:
        record = fleet.state.hosts.get(host)
        if record is None or wave not in self._waves:
            return
        key = (wave, record.pool)
        if key not in self._queues:
            self._queues[key] = queues.RackQueue([])
            self._pool_waves.setdefault(record.pool, []).append(wave)
        self._queues[key].add(fleet.index.hosts[host])
        self._dirty[record.pool] = None

    def _activate(
        self,
        host: ids.HostId,
        wave: ids.WaveId,
        fleet: view.Fleet,
        now: float,
    ) -> None:
        self._active[host] = wave
        fleet.claimed.add(host)
        if host not in self._planned_hosts:
            units = _get_units(host, fleet)
            pool = fleet.state.hosts[host].pool
            self._planned_hosts[host] = (pool, units)
            self._planned[pool] += units
        self._schedule(host, now)

    def _release(self, host: ids.HostId, fleet: view.Fleet) -> None:
        self._active.pop(host, None)
        fleet.claimed.discard(host)
        pool, units = self._planned_hosts.pop(host)
        self._planned[pool] -= units
        self._dirty[pool] = None

    def _schedule(self, host: ids.HostId, due: float) -> None:
        if due < self._scheduled.get(host, math.inf):
            self._scheduled[host] = due
            heapq.heappush(self._due, (due, host))

    def _mark(self, host: ids.HostId, fleet: view.Fleet, now: float) -> None:
        """Fill the pool of a host again that may give room."""
        record = fleet.state.hosts.get(host)
        if record is None or record.pool not in self._pool_waves:
            return
        report = fleet.reports.get(host)
        is_repeated = report is not None and report.since < report.time == now
        if not is_repeated and not fleet.index.is_down(host):
            self._dirty[record.pool] = None

    def _tick(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        actions: list[events.Action] = []
        for _ in range(MAX_REVIEWS):
            if not self._due or self._due[0][0] > now:
                break
            due, host = heapq.heappop(self._due)
            if self._scheduled.get(host) != due:
                continue  # Looked at earlier than planned.
            del self._scheduled[host]
            actions += self._review(host, fleet, now)
        for wave in list(self._waves):
            actions += self._resume_quiet(wave, fleet, now)
        if now >= self._next_fill:
            self._next_fill = now + FILL_S
            self._dirty.update(dict.fromkeys(self._pool_waves))
        return actions

    # Correlated failures.

    def _note_failure(
        self, command: commands.SetHostState, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        scopes = self._failures.note(
            command.host,
            self._get_rebooted_image(command.host, fleet, now),
            len(self._active),
            fleet,
            now,
        )
        actions: list[events.Action] = []
        for wave in self._waves:
            for scope in scopes:
                actions += self._pause(wave, scope, fleet, now)
        record = fleet.state.hosts[command.host]
        return actions + self._withdraw_beyond_budget(record.pool, fleet, now)

    def _get_rebooted_image(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> ids.ImageId | None:
        for name, wave in self._waves.items():
            progress = fleet.state.waves[name].hosts.get(host)
            if progress is None:
                continue
            is_recent = now - progress.since <= failures.WINDOW_S
            if progress.state is states.WaveHostState.STARTED or (
                progress.state is states.WaveHostState.DONE and is_recent
            ):
                return _get_image(wave, fleet.index.hosts[host])
        return None

    def _pause(
        self, wave: ids.WaveId, scope: str, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        paused = fleet.state.waves[wave].paused
        if scope in paused or (wave, scope) in self._pausing:
            return []
        self._pausing.add((wave, scope))
        return [
            events.Propose(
                commands.PauseWave(
                    time=ids.WallTime(now),
                    wave=wave,
                    scope=scope,
                    reason='failures correlate',
                    epoch=fleet.epoch,
                )
            ),
            *fleet.explain(
                events.Record(
                    'wave',
                    wave,
                    f'pause {scope}',
                    {'scope': scope, 'window_s': failures.WINDOW_S},
                    'several hosts of one failure domain failed together',
                    f'no failure there for {failures.QUIET_S:g} s',
                )
            ),
        ]

    def _resume_quiet(
        self, wave: ids.WaveId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for scope in fleet.state.waves[wave].paused:
            if (wave, scope) in self._pausing:
                continue
            if not self._failures.is_quiet(scope, now):
                continue
            self._pausing.add((wave, scope))
            resume = commands.ResumeWave(
                time=ids.WallTime(now),
                wave=wave,
                scope=scope,
                epoch=fleet.epoch,
            )
            actions.append(events.Propose(resume))
            actions += fleet.explain(
                events.Record(
                    'wave',
                    wave,
                    f'resume {scope}',
                    {'scope': scope},
                    f'no failure there for {failures.QUIET_S:g} s',
                )
            )
        return actions

    def _withdraw_paused(
        self, scope: str, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for host, wave in list(self._active.items()):
            if scope in self._get_scopes(wave, host, fleet):
                actions += steps.withdraw(
                    self._active[host], host, fleet, now, f'{scope} paused'
                )
        return actions

    def _withdraw_beyond_budget(
        self, pool: ids.PoolId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        loss = fleet.index.find_exceeded_budget(pool)
        if loss is None:
            return []
        actions = fleet.explain(
            events.Record(
                'pool',
                pool,
                'stop planned work',
                _get_facts(loss),
                'failures took more than the budget allows',
                'hosts that come back',
            )
        )
        for host in list(self._active):
            if self._planned_hosts[host][0] == pool:
                actions += steps.withdraw(
                    self._active[host],
                    host,
                    fleet,
                    now,
                    'failures exceed the budget',
                )
        return actions

    def _get_scopes(
        self, wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet
    ) -> tuple[str, str, str]:
        described = fleet.index.hosts[host]
        return (
            f'rack/{described.rack}',
            f'pool/{fleet.state.hosts[host].pool}',
            f'image/{_get_image(self._waves[wave], described)}',
        )

    # Starting hosts.

    def _fill(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        if not self._dirty or fleet.is_platform_silent(now):
            return []
        actions: list[events.Action] = []
        for pool in list(self._dirty)[:MAX_POOLS]:
            del self._dirty[pool]
            for wave in self._pool_waves.get(pool, ()):
                if wave in self._waves:
                    actions += self._fill_pool(wave, pool, fleet, now)
            if len(actions) > MAX_STARTS:
                break
        return actions

    def _fill_pool(
        self,
        wave: ids.WaveId,
        pool: ids.PoolId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        queue = self._queues[wave, pool]
        exceeded = fleet.index.find_exceeded_budget(pool)
        room = self._get_room(pool, fleet)
        actions: list[events.Action] = []
        started = 0
        for _ in range(min(len(queue), MAX_SCANS)):
            if started >= MAX_STARTS:
                self._dirty[pool] = None
                break
            host = queue.pop()
            if self._requeue_moved(wave, pool, host, fleet):
                continue
            finding = self._evaluate(wave, host, fleet, now)
            if finding is not None:
                actions += finding
                if self._is_waiting(wave, host, fleet):
                    queue.add(fleet.index.hosts[host])
                continue
            if not self._has_room(pool, host, room, fleet):
                queue.add_first(fleet.index.hosts[host])
                actions += self._explain_reserve(pool, room, fleet)
                break
            loss = fleet.index.find_exceeded_with_loss_of(host)
            if loss is not None:
                actions += self._explain_budget(pool, loss, fleet)
                if loss.scope == 'total' or exceeded is not None:
                    queue.add_first(fleet.index.hosts[host])
                    break
                queue.add(fleet.index.hosts[host])
                continue
            actions += self._start(wave, host, fleet, now)
            started += 1
        return actions

    def _requeue_moved(
        self,
        wave: ids.WaveId,
        pool: ids.PoolId,
        host: ids.HostId,
        fleet: view.Fleet,
    ) -> bool:
        record = fleet.state.hosts.get(host)
        if record is None or record.pool == pool:
            return False
        if self._is_waiting(wave, host, fleet):
            self._queue(wave, host, fleet)
        return True

    def _has_room(
        self, pool: ids.PoolId, host: ids.HostId, room: int, fleet: view.Fleet
    ) -> bool:
        # One host at a time goes on where the reserve takes the budget.
        # Hosts are whole, so the reserve is kept to the nearest host.
        planned = self._planned[pool]
        return not planned or planned + _get_units(host, fleet) // 2 <= room

    def _is_waiting(
        self, wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet
    ) -> bool:
        progress = fleet.state.waves[wave].hosts.get(host)
        return (
            progress is not None
            and progress.state is states.WaveHostState.WAITING
            and host not in self._active
        )

    def _evaluate(
        self,
        wave: ids.WaveId,
        host: ids.HostId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action] | None:
        """Return None when a waiting host may start, else what follows."""
        record = fleet.state.hosts.get(host)
        if record is None:
            return []
        if not self._is_waiting(wave, host, fleet):
            return []
        if host in fleet.claimed or fleet.is_pending(host):
            return []
        if record.state is not states.HostState.SERVING:
            return self._give_up_waiting(wave, host, fleet, now)
        report = fleet.reports.get(host)
        if host in fleet.suspects or (
            report is not None and report.state is not events.ReportedState.UP
        ):
            return []
        if fleet.index.is_down(host):
            return []
        paused = fleet.state.waves[wave].paused
        if paused and any(
            scope in paused for scope in self._get_scopes(wave, host, fleet)
        ):
            return []
        return None

    def _give_up_waiting(
        self,
        wave: ids.WaveId,
        host: ids.HostId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        record = fleet.state.hosts[host]
        since = max(record.since, fleet.state.waves[wave].started)
        is_set_aside = record.state is states.HostState.SET_ASIDE
        if not is_set_aside and now - since < fleet.timings.down_s:
            return []
        self._activate(host, wave, fleet, now)
        return steps.finish(
            wave,
            host,
            fleet,
            now,
            states.WaveHostState.SET_ASIDE,
            f'{record.state.value} before maintenance: {record.reason}',
            [],
        )

    def _get_room(self, pool: ids.PoolId, fleet: view.Fleet) -> int:
        """Return the planned loss that leaves the reserve, in units.

        The reserve is what the failure of one rack takes. It is bounded
        by the weight of idle capacity against that of roll-out time, and
        failures that have happened use it up.
        """
        sums = fleet.index.get_sums(pool)
        services = fleet.index.services.get(pool, ())
        if not services:
            return sums.capacity
        fraction = min(service.budget.total for service in services)
        allowed = int(
            fraction * sums.capacity * (1 + budgets.RELATIVE_TOLERANCE)
        )
        racks = fleet.index.get_scopes(pool, 'rack').values()
        rack = max((r.capacity - r.down for r in racks), default=0)
        policy = fleet.state.document.policy
        weights = policy.buffer_cost + policy.rollout_time
        share = policy.buffer_cost / weights if weights else 0.0
        reserve = min(rack, int(allowed * share))
        failed = max(0, sums.down - self._planned[pool])
        return allowed - max(reserve, failed)

    def _start(
        self,
        wave: ids.WaveId,
        host: ids.HostId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        self._activate(host, wave, fleet, now)
        record = fleet.state.hosts[host]
        return [
            *fleet.propose(
                host,
                now,
                fleet.grant(host, states.Purpose.MAINTENANCE, now),
                steps.get_start(wave, host, fleet, now),
                fleet.set_state(host, states.HostState.DRAINING, now, wave),
            ),
            *fleet.explain(
                events.Record(
                    'host',
                    host,
                    'drain for maintenance',
                    {'wave': wave, 'pool': record.pool},
                    'the loss with this host stays within every budget',
                )
            ),
        ]

    def _explain_budget(
        self, pool: ids.PoolId, loss: budgets.Loss, fleet: view.Fleet
    ) -> list[events.Action]:
        return fleet.explain(
            events.Record(
                'pool',
                pool,
                'hold hosts back from maintenance',
                _get_facts(loss),
                'one more host would exceed a budget',
                'hosts that come back, or a larger budget',
            )
        )

    def _explain_reserve(
        self, pool: ids.PoolId, room: int, fleet: view.Fleet
    ) -> list[events.Action]:
        return fleet.explain(
            events.Record(
                'pool',
                pool,
                'hold hosts back from maintenance',
                {
                    'planned': self._planned[pool]
                    / budgets.MILLICORES_PER_CORE,
                    'room': room / budgets.MILLICORES_PER_CORE,
                },
                'the rest of the budget is kept for the failure of a rack',
                'a lower weight of buffer_cost against rollout_time',
            )
        )

    # Steps of a host under way.

    def _review(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        wave = self._active.get(host)
        if wave is None:
            return []
        if host not in fleet.state.hosts:
            self._release(host, fleet)
            return []
        self._schedule(host, steps.get_next_review(host, fleet, now))
        if fleet.is_pending(host):
            return []
        progress = fleet.state.waves[wave].hosts[host]
        if progress.state is not states.WaveHostState.STARTED:
            # The proposal to start was lost.
            self._release(host, fleet)
            if progress.state is states.WaveHostState.WAITING:
                self._queue(wave, host, fleet)
            return []
        return steps.advance(wave, host, fleet, now)


@functools.singledispatch
def _follow(
    command: commands.Command,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    """Keep the soft state in step with a committed command."""
    return []


@_follow.register
def _(
    command: commands.StartWaveHost,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    if command.wave in planner._waves:
        planner._activate(command.host, command.wave, fleet, now)
    return []


@_follow.register
def _(
    command: commands.FinishWaveHost,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    planner._follow_finish(command, fleet)
    return []


@_follow.register
def _(
    command: commands.PauseWave,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    planner._pausing.discard((command.wave, command.scope))
    return planner._withdraw_paused(command.scope, fleet, now)


@_follow.register
def _(
    command: commands.ResumeWave,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    planner._pausing.discard((command.wave, command.scope))
    planner._failures.note_resume(command.scope)
    planner._dirty.update(dict.fromkeys(planner._pool_waves))
    return []


@_follow.register
def _(
    command: commands.SetHostState,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    if command.state is not states.HostState.DOWN:
        return []
    return planner._note_failure(command, fleet, now)


def _get_units(host: ids.HostId, fleet: view.Fleet) -> int:
    capacity_cores = budgets.get_capacity(fleet.index.hosts[host])
    return round(capacity_cores * budgets.MILLICORES_PER_CORE)


def _get_image(wave: documents.Wave, host: documents.Host) -> ids.ImageId:
    return host.image if wave.image is None else wave.image


def _get_facts(loss: budgets.Loss) -> dict[str, Any]:
    return {
        'service': loss.service,
        'scope': loss.scope,
        'down': loss.down,
        'allowed': loss.allowed,
    }
