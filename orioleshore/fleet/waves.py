"""Planner of maintenance waves: chooses which host goes down and when."""

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

# Limits on the work for one event, which blocks the event loop meanwhile.
MAX_STARTED_HOSTS = 16
MAX_SCANNED_HOSTS = 32
MAX_FILLED_POOLS = 4
MAX_REVIEWED_HOSTS = 64
# Pools are filled when an event may free budget, and also at this interval,
# in seconds, for hosts that become eligible as time passes.
FILL_INTERVAL_S = 10.0


class WavePlanner:
    """Starts hosts within the budgets, and completes their maintenance."""

    def __init__(self) -> None:
        self._reset(0.0)

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Resume every wave from its replicated record."""
        self._reset(now)
        self._load_waves(fleet, now)
        return self._fill_pools(fleet, now)

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        actions: list[events.Action] = []
        if fleet.has_document_changed:
            self._load_waves(fleet, now)
        if isinstance(event, events.CommandApplied):
            actions += _handle_command(event.command, self, fleet, now)
        if isinstance(event, events.CommandRefused):
            self._handle_refusal(event.command, fleet)
        for host in fleet.affected_hosts:
            actions += self._review_host(host, fleet, now)
            self._mark_pool_dirty(host, fleet, now)
        if isinstance(event, events.TimerFired):
            actions += self._handle_tick(fleet, now)
        return actions + self._fill_pools(fleet, now)

    def get_dump(self) -> dict[str, Any]:
        """Return the started hosts, and the number waiting in each pool."""
        return {
            'active': dict(sorted(self._active_hosts.items())),
            'waiting': {
                f'{wave}/{pool}': len(queue)
                for (wave, pool), queue in sorted(self._queues.items())
            },
        }

    def _reset(self, now: float) -> None:
        self._waves: dict[ids.WaveId, documents.Wave] = {}
        self._queues: dict[
            tuple[ids.WaveId, ids.PoolId], queues.RackQueue
        ] = {}
        self._pool_waves: dict[ids.PoolId, list[ids.WaveId]] = {}
        self._active_hosts: dict[ids.HostId, ids.WaveId] = {}
        self._planned_units: collections.Counter[ids.PoolId] = (
            collections.Counter()
        )
        self._planned_hosts: dict[ids.HostId, tuple[ids.PoolId, int]] = {}
        self._due_reviews: list[tuple[float, ids.HostId]] = []
        self._next_reviews: dict[ids.HostId, float] = {}
        self._dirty_pools: dict[ids.PoolId, None] = {}
        self._next_fill_time = 0.0
        self._failures = failures.FailureLog(now)
        self._pending_scopes: set[tuple[ids.WaveId, str]] = set()
        self._loaded_sections: tuple[object, object] | None = None

    # Updates from the document and the log.

    def _load_waves(self, fleet: view.Fleet, now: float) -> None:
        document = fleet.state.document
        loaded = self._loaded_sections
        if (
            loaded is not None
            and loaded[0] is document.hosts
            and loaded[1] is document.waves
        ):
            return
        self._loaded_sections = (document.hosts, document.waves)
        for host in list(self._active_hosts):
            self._release_host(host, fleet)
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
                self._activate_host(host, wave, fleet, now)
            elif progress.state is states.WaveHostState.WAITING:
                pool = fleet.state.hosts[host].pool
                waiting.setdefault(pool, []).append(fleet.index.hosts[host])
        for pool, hosts in waiting.items():
            self._queues[wave, pool] = queues.RackQueue(hosts)
            self._pool_waves.setdefault(pool, []).append(wave)
            self._dirty_pools[pool] = None

    def _handle_finish(
        self, command: commands.FinishWaveHost, fleet: view.Fleet
    ) -> None:
        if self._active_hosts.get(command.host) == command.wave:
            self._release_host(command.host, fleet)
        record = fleet.state.waves.get(command.wave)
        if record is None:
            return
        if record.state is states.WaveState.FINISHED:
            self._waves.pop(command.wave, None)
        elif command.outcome is states.WaveHostState.WAITING:
            self._enqueue_host(command.wave, command.host, fleet)

    def _handle_refusal(
        self, command: commands.Command, fleet: view.Fleet
    ) -> None:
        if isinstance(command, (commands.PauseWave, commands.ResumeWave)):
            self._pending_scopes.discard((command.wave, command.scope))
        if not isinstance(command, commands.GrantPermission):
            return
        wave = self._active_hosts.get(command.host)
        if wave is None or command.purpose is not states.Purpose.MAINTENANCE:
            return
        progress = fleet.state.waves[wave].hosts[command.host]
        if progress.state is states.WaveHostState.WAITING:
            self._release_host(command.host, fleet)
            self._enqueue_host(wave, command.host, fleet)

    def _enqueue_host(
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
        self._dirty_pools[record.pool] = None

    def _activate_host(
        self,
        host: ids.HostId,
        wave: ids.WaveId,
        fleet: view.Fleet,
        now: float,
    ) -> None:
        self._active_hosts[host] = wave
        fleet.claimed_hosts.add(host)
        if host not in self._planned_hosts:
            units = _get_units(host, fleet)
            pool = fleet.state.hosts[host].pool
            self._planned_hosts[host] = (pool, units)
            self._planned_units[pool] += units
        self._schedule_review(host, now)

    def _release_host(self, host: ids.HostId, fleet: view.Fleet) -> None:
        self._active_hosts.pop(host, None)
        fleet.claimed_hosts.discard(host)
        pool, units = self._planned_hosts.pop(host)
        self._planned_units[pool] -= units
        self._dirty_pools[pool] = None

    def _schedule_review(self, host: ids.HostId, due: float) -> None:
        if due < self._next_reviews.get(host, math.inf):
            self._next_reviews[host] = due
            heapq.heappush(self._due_reviews, (due, host))

    def _mark_pool_dirty(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> None:
        """Schedule filling of the pool if the host may free budget."""
        record = fleet.state.hosts.get(host)
        if record is None or record.pool not in self._pool_waves:
            return
        report = fleet.reports.get(host)
        is_repeated = report is not None and report.since < report.time == now
        if not is_repeated and not fleet.index.is_down(host):
            self._dirty_pools[record.pool] = None

    def _handle_tick(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for _ in range(MAX_REVIEWED_HOSTS):
            if not self._due_reviews or self._due_reviews[0][0] > now:
                break
            due, host = heapq.heappop(self._due_reviews)
            if self._next_reviews.get(host) != due:
                continue  # Superseded by an earlier review.
            del self._next_reviews[host]
            actions += self._review_host(host, fleet, now)
        for wave in list(self._waves):
            actions += self._resume_quiet_scopes(wave, fleet, now)
        if now >= self._next_fill_time:
            self._next_fill_time = now + FILL_INTERVAL_S
            self._dirty_pools.update(dict.fromkeys(self._pool_waves))
        return actions

    # Correlated failures.

    def _record_failure(
        self, command: commands.SetHostState, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        scopes = self._failures.record_failure(
            command.host,
            self._get_rebooted_image(command.host, fleet, now),
            len(self._active_hosts),
            fleet,
            now,
        )
        actions: list[events.Action] = []
        for wave in self._waves:
            for scope in scopes:
                actions += self._pause_scope(wave, scope, fleet, now)
        record = fleet.state.hosts[command.host]
        return actions + self._withdraw_over_budget(record.pool, fleet, now)

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

    def _pause_scope(
        self, wave: ids.WaveId, scope: str, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        paused = fleet.state.waves[wave].paused
        if scope in paused or (wave, scope) in self._pending_scopes:
            return []
        self._pending_scopes.add((wave, scope))
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
            *fleet.record_decision(
                events.RecordDecision(
                    'wave',
                    wave,
                    f'pause {scope}',
                    {'scope': scope, 'window_s': failures.WINDOW_S},
                    'several hosts of one failure domain failed together',
                    f'no failure there for {failures.QUIET_S:g} s',
                )
            ),
        ]

    def _resume_quiet_scopes(
        self, wave: ids.WaveId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for scope in fleet.state.waves[wave].paused:
            if (wave, scope) in self._pending_scopes:
                continue
            if not self._failures.is_quiet(scope, now):
                continue
            self._pending_scopes.add((wave, scope))
            resume = commands.ResumeWave(
                time=ids.WallTime(now),
                wave=wave,
                scope=scope,
                epoch=fleet.epoch,
            )
            actions.append(events.Propose(resume))
            actions += fleet.record_decision(
                events.RecordDecision(
                    'wave',
                    wave,
                    f'resume {scope}',
                    {'scope': scope},
                    f'no failure there for {failures.QUIET_S:g} s',
                )
            )
        return actions

    def _withdraw_from_scope(
        self, scope: str, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for host, wave in list(self._active_hosts.items()):
            if scope in self._get_scopes(wave, host, fleet):
                actions += steps.withdraw_host(
                    self._active_hosts[host],
                    host,
                    fleet,
                    now,
                    f'{scope} paused',
                )
        return actions

    def _withdraw_over_budget(
        self, pool: ids.PoolId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        loss = fleet.index.find_exceeded_budget(pool)
        if loss is None:
            return []
        actions = fleet.record_decision(
            events.RecordDecision(
                'pool',
                pool,
                'stop planned work',
                _get_loss_facts(loss),
                'failures took more than the budget allows',
                'hosts that come back',
            )
        )
        for host in list(self._active_hosts):
            if self._planned_hosts[host][0] == pool:
                actions += steps.withdraw_host(
                    self._active_hosts[host],
                    host,
                    fleet,
                    now,
                    'failures exceed the budget',
                )
        return actions

    def _get_scopes(
        self, wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet
    ) -> tuple[str, str, str]:
        document_host = fleet.index.hosts[host]
        return (
            f'rack/{document_host.rack}',
            f'pool/{fleet.state.hosts[host].pool}',
            f'image/{_get_image(self._waves[wave], document_host)}',
        )

    # Starting hosts.

    def _fill_pools(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        if not self._dirty_pools or fleet.is_platform_silent(now):
            return []
        actions: list[events.Action] = []
        for pool in list(self._dirty_pools)[:MAX_FILLED_POOLS]:
            del self._dirty_pools[pool]
            for wave in self._pool_waves.get(pool, ()):
                if wave in self._waves:
                    actions += self._fill_pool(wave, pool, fleet, now)
            if len(actions) > MAX_STARTED_HOSTS:
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
        exceeded_loss = fleet.index.find_exceeded_budget(pool)
        limit = self._get_planned_limit(pool, fleet)
        actions: list[events.Action] = []
        started = 0
        for _ in range(min(len(queue), MAX_SCANNED_HOSTS)):
            if started >= MAX_STARTED_HOSTS:
                self._dirty_pools[pool] = None
                break
            host = queue.pop()
            if self._requeue_moved_host(wave, pool, host, fleet):
                continue
            skip_actions = self._evaluate_host(wave, host, fleet, now)
            if skip_actions is not None:
                actions += skip_actions
                if self._is_waiting(wave, host, fleet):
                    queue.add(fleet.index.hosts[host])
                continue
            if not self._is_within_limit(pool, host, limit, fleet):
                queue.add_first(fleet.index.hosts[host])
                actions += self._explain_reserve(pool, limit, fleet)
                break
            loss = fleet.index.find_exceeded_with_loss_of(host)
            if loss is not None:
                actions += self._explain_budget(pool, loss, fleet)
                if loss.scope == 'total' or exceeded_loss is not None:
                    queue.add_first(fleet.index.hosts[host])
                    break
                queue.add(fleet.index.hosts[host])
                continue
            actions += self._start_host(wave, host, fleet, now)
            started += 1
        return actions

    def _requeue_moved_host(
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
            self._enqueue_host(wave, host, fleet)
        return True

    def _is_within_limit(
        self, pool: ids.PoolId, host: ids.HostId, limit: int, fleet: view.Fleet
    ) -> bool:
        # One host at a time may start even if the reserve takes the whole
        # budget. Otherwise the limit is rounded to whole hosts.
        planned = self._planned_units[pool]
        return not planned or planned + _get_units(host, fleet) // 2 <= limit

    def _is_waiting(
        self, wave: ids.WaveId, host: ids.HostId, fleet: view.Fleet
    ) -> bool:
        progress = fleet.state.waves[wave].hosts.get(host)
        return (
            progress is not None
            and progress.state is states.WaveHostState.WAITING
            and host not in self._active_hosts
        )

    def _evaluate_host(
        self,
        wave: ids.WaveId,
        host: ids.HostId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action] | None:
        """Return None if a waiting host may start, else actions for it."""
        record = fleet.state.hosts.get(host)
        if record is None:
            return []
        if not self._is_waiting(wave, host, fleet):
            return []
        if host in fleet.claimed_hosts or fleet.is_pending(host):
            return []
        if record.state is not states.HostState.SERVING:
            return self._skip_unavailable_host(wave, host, fleet, now)
        report = fleet.reports.get(host)
        if host in fleet.suspected_hosts or (
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

    def _skip_unavailable_host(
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
        self._activate_host(host, wave, fleet, now)
        return steps.finish_host(
            wave,
            host,
            fleet,
            now,
            states.WaveHostState.SET_ASIDE,
            f'{record.state.value} before maintenance: {record.reason}',
            [],
        )

    def _get_planned_limit(self, pool: ids.PoolId, fleet: view.Fleet) -> int:
        """Return the largest planned loss that keeps the reserve, in units.

        The reserve covers the failure of the largest rack. It is limited
        to a share of the budget, which the policy sets by the weight of
        idle capacity against that of roll-out time. Capacity that has
        already failed is taken from the reserve.
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
        failed = max(0, sums.down - self._planned_units[pool])
        return allowed - max(reserve, failed)

    def _start_host(
        self,
        wave: ids.WaveId,
        host: ids.HostId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        self._activate_host(host, wave, fleet, now)
        record = fleet.state.hosts[host]
        return [
            *fleet.propose_commands(
                host,
                now,
                fleet.build_grant(host, states.Purpose.MAINTENANCE, now),
                steps.build_start(wave, host, fleet, now),
                fleet.build_state_change(
                    host, states.HostState.DRAINING, now, wave
                ),
            ),
            *fleet.record_decision(
                events.RecordDecision(
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
        return fleet.record_decision(
            events.RecordDecision(
                'pool',
                pool,
                'hold hosts back from maintenance',
                _get_loss_facts(loss),
                'one more host would exceed a budget',
                'hosts that come back, or a larger budget',
            )
        )

    def _explain_reserve(
        self, pool: ids.PoolId, limit: int, fleet: view.Fleet
    ) -> list[events.Action]:
        return fleet.record_decision(
            events.RecordDecision(
                'pool',
                pool,
                'hold hosts back from maintenance',
                {
                    'planned': self._planned_units[pool]
                    / budgets.MILLICORES_PER_CORE,
                    'room': limit / budgets.MILLICORES_PER_CORE,
                },
                'the rest of the budget is kept for the failure of a rack',
                'a lower weight of buffer_cost against rollout_time',
            )
        )

    # Steps of started hosts.

    def _review_host(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        wave = self._active_hosts.get(host)
        if wave is None:
            return []
        if host not in fleet.state.hosts:
            self._release_host(host, fleet)
            return []
        self._schedule_review(host, steps.get_next_review(host, fleet, now))
        if fleet.is_pending(host):
            return []
        progress = fleet.state.waves[wave].hosts[host]
        if progress.state is not states.WaveHostState.STARTED:
            # The proposal to start the host was lost.
            self._release_host(host, fleet)
            if progress.state is states.WaveHostState.WAITING:
                self._enqueue_host(wave, host, fleet)
            return []
        return steps.advance_host(wave, host, fleet, now)


@functools.singledispatch
def _handle_command(
    command: commands.Command,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    """Update the soft state after a committed command."""
    return []


@_handle_command.register
def _(
    command: commands.StartWaveHost,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    if command.wave in planner._waves:
        planner._activate_host(command.host, command.wave, fleet, now)
    return []


@_handle_command.register
def _(
    command: commands.FinishWaveHost,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    planner._handle_finish(command, fleet)
    return []


@_handle_command.register
def _(
    command: commands.PauseWave,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    planner._pending_scopes.discard((command.wave, command.scope))
    return planner._withdraw_from_scope(command.scope, fleet, now)


@_handle_command.register
def _(
    command: commands.ResumeWave,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    planner._pending_scopes.discard((command.wave, command.scope))
    planner._failures.record_resume(command.scope)
    planner._dirty_pools.update(dict.fromkeys(planner._pool_waves))
    return []


@_handle_command.register
def _(
    command: commands.SetHostState,
    planner: WavePlanner,
    fleet: view.Fleet,
    now: float,
) -> list[events.Action]:
    if command.state is not states.HostState.DOWN:
        return []
    return planner._record_failure(command, fleet, now)


def _get_units(host: ids.HostId, fleet: view.Fleet) -> int:
    capacity_cores = budgets.get_capacity(fleet.index.hosts[host])
    return round(capacity_cores * budgets.MILLICORES_PER_CORE)


def _get_image(wave: documents.Wave, host: documents.Host) -> ids.ImageId:
    return host.image if wave.image is None else wave.image


def _get_loss_facts(loss: budgets.Loss) -> dict[str, Any]:
    return {
        'service': loss.service,
        'scope': loss.scope,
        'down': loss.down,
        'allowed': loss.allowed,
    }
