"""Planner of moves between pools: loans of spare hosts, document changes.

A host is on loan while its pool in the document is a spare pool and
another pool owns it. Any other difference between the owner and the
document is a move that operators requested. The owner is the only record
needed, so a new leader derives the same loans.
"""

from typing import Any

from orioleshore.fleet import buffer
from orioleshore.fleet import demand as demand_reports
from orioleshore.fleet import events
from orioleshore.fleet import view
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands

# Interval between two plans of loans, in seconds.
PLAN_INTERVAL_S = 5.0
# Demand must exceed a limit for this time, in seconds, before a host is
# moved, so that peaks of a few seconds are ignored. The weight of moves in
# the policy multiplies it by up to 4.
HOLD_TIME_S = 60.0
# Ratios of demand to capacity above which a pool borrows a host, and below
# which it returns one. The gap exceeds the change that one host makes in a
# pool of six, so that a move does not trigger the opposite one.
BORROW_RATIO = 0.85
RETURN_RATIO = 0.6
# Age at which a demand is ignored, in seconds.
DEMAND_VALIDITY_S = 120.0
# Concurrent moves in the whole fleet.
MAX_MOVES = 16

_OUT_STATES = (events.ReportedState.DOWN, events.ReportedState.REBOOTING)


class MovePlanner:
    """Lends and returns spare hosts, and makes moves of the document."""

    def __init__(self) -> None:
        self._reset()

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Reset the soft state; ``HostMonitor`` withdraws unfinished moves."""
        self._reset()
        self._load_document(fleet)
        return []

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        if fleet.has_document_changed:
            self._load_document(fleet)
        if isinstance(event, events.DemandReported):
            units = round(event.demanded_cores * budgets.MILLICORES_PER_CORE)
            self._demands[event.pool] = (units, now)
        if isinstance(event, events.ServiceDemandReported):
            self._update_demands(event, fleet, now)
        actions: list[events.Action] = []
        for host in fleet.affected_hosts:
            actions += self._advance_move(host, fleet, now)
        if (
            isinstance(event, events.TimerFired)
            and now >= self._next_plan_time
        ):
            self._next_plan_time = now + PLAN_INTERVAL_S
            for host in list(self._moving_hosts):
                actions += self._advance_move(host, fleet, now)
            actions += self._plan_moves(fleet, now)
        return actions

    def get_dump(self) -> dict[str, Any]:
        """Return moves in progress, and buffer hosts with their reasons."""
        return {
            'moving': dict(sorted(self._moving_hosts.items())),
            'held': dict(sorted(self._buffer_hosts.items())),
        }

    def _update_demands(
        self,
        event: events.ServiceDemandReported,
        fleet: view.Fleet,
        now: float,
    ) -> None:
        """Convert reported loads into demands on pools, in capacity units."""
        self._demand_reports.add_report(event, now)
        loads = self._demand_reports.get_pool_loads(fleet.state.document)
        for pool, load in loads.items():
            sums = fleet.index.get_sums(pool)
            serving = sums.capacity - sums.down
            self._demands[pool] = (round(load * serving), now)

    def _reset(self) -> None:
        self._next_plan_time = 0.0
        self._demand_reports = demand_reports.DemandReports()
        self._demands: dict[ids.PoolId, tuple[int, float]] = {}
        self._lasting_since: dict[tuple[ids.PoolId, str], float] = {}
        self._moving_hosts: dict[ids.HostId, ids.PoolId] = {}
        self._buffer_hosts: dict[ids.HostId, str] = {}
        self._spare_pools: set[ids.PoolId] = set()
        self._misplaced: dict[ids.HostId, ids.PoolId] = {}
        self._loaded_sections: tuple[object, object] | None = None

    def _load_document(self, fleet: view.Fleet) -> None:
        document = fleet.state.document
        loaded = self._loaded_sections
        if (
            loaded is not None
            and loaded[0] is document.hosts
            and loaded[1] is document.pools
        ):
            return
        self._loaded_sections = (document.hosts, document.pools)
        pools = {pool.name for pool in document.pools}
        self._spare_pools = {
            pool.name for pool in document.pools if pool.spare
        }
        self._misplaced = {
            host.name: host.pool
            for host in document.hosts
            if self._is_misplaced(host, pools, fleet)
        }

    def _is_misplaced(
        self,
        host: documents.Host,
        pools: set[ids.PoolId],
        fleet: view.Fleet,
    ) -> bool:
        owner = fleet.state.hosts[host.name].pool
        if owner == host.pool:
            return False
        return host.pool not in self._spare_pools or owner not in pools

    def _plan_moves(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        if fleet.is_platform_silent(now):
            return []
        actions = self._start_document_moves(fleet, now)
        demands = {
            pool: units
            for pool, (units, time) in self._demands.items()
            if now - time <= DEMAND_VALIDITY_S
            and pool not in self._spare_pools
        }
        actions += self._update_buffer(fleet, demands)
        for pool, demand in sorted(demands.items()):
            actions += self._plan_loans(pool, demand, fleet, now)
        return actions

    def _start_document_moves(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for host, pool in list(self._misplaced.items()):
            record = fleet.state.hosts.get(host)
            if record is None or record.pool == pool:
                del self._misplaced[host]
                continue
            actions += self._start_move(
                host,
                pool,
                fleet,
                now,
                {'from': record.pool, 'to': pool},
                'the document names another pool',
            )
        return actions

    def _update_buffer(
        self, fleet: view.Fleet, demands: dict[ids.PoolId, int]
    ) -> list[events.Action]:
        shortfall = buffer.get_largest_shortfall(fleet, demands)
        spare_hosts = buffer.get_spare_hosts(fleet)
        buffer_hosts = buffer.get_buffer_hosts(fleet, shortfall, spare_hosts)
        added = [
            host for host in buffer_hosts if host not in self._buffer_hosts
        ]
        self._buffer_hosts = buffer_hosts
        actions: list[events.Action] = []
        for host in added:
            actions += fleet.record_decision(
                events.RecordDecision(
                    'host',
                    host,
                    'hold as buffer',
                    {'domain': shortfall.domain, 'reason': buffer_hosts[host]},
                    'the buffer covers one failure at the present demand',
                    'less demand, or more capacity outside that domain',
                )
            )
        return actions

    def _plan_loans(
        self, pool: ids.PoolId, demand: int, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        sums = fleet.index.get_sums(pool)
        serving = sums.capacity - sums.down
        incoming = self._get_incoming_units(pool, fleet)
        shortfall = demand - int(BORROW_RATIO * (serving + incoming))
        lent = self._get_lent_hosts(pool, fleet)
        smallest = min((_get_units(h, fleet) for h in lent), default=0)
        is_idle = bool(lent) and demand < RETURN_RATIO * (serving - smallest)
        has_lasting_shortage = self._has_lasted(
            pool, 'short', shortfall > 0, fleet, now
        )
        has_lasting_surplus = self._has_lasted(
            pool, 'idle', is_idle, fleet, now
        )
        facts = {
            'demand': demand / budgets.MILLICORES_PER_CORE,
            'serving': serving / budgets.MILLICORES_PER_CORE,
        }
        if has_lasting_shortage:
            return self._lend_hosts(pool, shortfall, facts, fleet, now)
        if has_lasting_surplus:
            return self._return_host(lent, facts, fleet, now)
        return []

    def _has_lasted(
        self,
        pool: ids.PoolId,
        name: str,
        is_met: bool,
        fleet: view.Fleet,
        now: float,
    ) -> bool:
        if not is_met:
            self._lasting_since.pop((pool, name), None)
            return False
        since = self._lasting_since.setdefault((pool, name), now)
        return now - since >= get_hold_time(fleet.state.document.policy)

    def _lend_hosts(
        self,
        pool: ids.PoolId,
        shortfall: int,
        facts: dict[str, Any],
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        weight = get_move_weight(fleet.state.document.policy)
        sums = fleet.index.get_sums(pool)
        # Buffer hosts are lent only to a pool that has lost capacity.
        has_failures = sums.down > 0
        actions: list[events.Action] = []
        for host in buffer.get_spare_hosts(fleet):
            if shortfall <= weight * _get_units(host, fleet):
                break
            if host in self._buffer_hosts and not has_failures:
                continue
            started = self._start_move(
                host,
                pool,
                fleet,
                now,
                facts,
                f'demand above {BORROW_RATIO:g} of capacity for the hold time',
            )
            if started:
                shortfall -= _get_units(host, fleet)
            actions += started
        return actions

    def _return_host(
        self,
        lent: list[ids.HostId],
        facts: dict[str, Any],
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        minimum_stay_s = fleet.state.document.policy.minimum_stay_s
        for host in lent:
            record = fleet.state.hosts[host]
            if now - record.since < minimum_stay_s:
                continue
            # One at a time: the ratio is checked again without this host.
            actions = self._start_move(
                host,
                fleet.index.hosts[host].pool,
                fleet,
                now,
                facts,
                f'demand below {RETURN_RATIO:g} of capacity for the hold time',
            )
            if actions:
                return actions
        return []

    def _get_incoming_units(self, pool: ids.PoolId, fleet: view.Fleet) -> int:
        moving = [
            host
            for host, target in self._moving_hosts.items()
            if target == pool
        ]
        arriving = [
            host
            for host in fleet.index.hosts_by_pool.get(pool, ())
            if fleet.state.hosts[host].arriving
        ]
        hosts = {*moving, *arriving}
        return sum(_get_units(host, fleet) for host in hosts)

    def _get_lent_hosts(
        self, pool: ids.PoolId, fleet: view.Fleet
    ) -> list[ids.HostId]:
        return [
            host
            for host in sorted(fleet.index.hosts_by_pool.get(pool, ()))
            if fleet.index.hosts[host].pool in self._spare_pools
            and fleet.index.hosts[host].pool != pool
            and fleet.state.hosts[host].state is states.HostState.SERVING
            and host not in self._moving_hosts
        ]

    def _start_move(
        self,
        host: ids.HostId,
        pool: ids.PoolId,
        fleet: view.Fleet,
        now: float,
        facts: dict[str, Any],
        rule: str,
    ) -> list[events.Action]:
        record = fleet.state.hosts[host]
        if len(self._moving_hosts) >= MAX_MOVES or host in fleet.claimed_hosts:
            return []
        if record.state is not states.HostState.SERVING:
            return []
        if fleet.is_pending(host) or fleet.index.is_down(host):
            return []
        loss = fleet.index.find_exceeded_with_loss_of(host)
        if loss is not None:
            return fleet.record_decision(
                events.RecordDecision(
                    'host',
                    host,
                    f'do not move to {pool}',
                    {'service': loss.service, 'scope': loss.scope, **facts},
                    'the loss while it moves would exceed a budget',
                    'hosts that come back, or a larger budget',
                )
            )
        self._moving_hosts[host] = pool
        fleet.claimed_hosts.add(host)
        reason = f'move to {pool}'
        return [
            *fleet.propose_commands(
                host,
                now,
                fleet.build_grant(host, states.Purpose.MOVE, now),
                fleet.build_state_change(
                    host, states.HostState.DRAINING, now, reason
                ),
            ),
            *fleet.record_decision(
                events.RecordDecision('host', host, reason, facts, rule)
            ),
        ]

    def _advance_move(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        pool = self._moving_hosts.get(host)
        if pool is None or fleet.is_pending(host):
            return []
        record = fleet.state.hosts.get(host)
        if record is None or record.pool == pool:
            return self._release_host(host, fleet)
        if record.state is states.HostState.DRAINED:
            return self._change_owner(host, pool, fleet, now)
        if record.state is states.HostState.DRAINING:
            return self._drain_host(host, pool, fleet, now)
        # The grant was refused, or the host failed: cancel the move.
        return self._release_host(host, fleet)

    def _drain_host(
        self,
        host: ids.HostId,
        pool: ids.PoolId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        record = fleet.state.hosts[host]
        report = fleet.reports.get(host)
        is_new = report is not None and report.time >= record.since
        if is_new and report.state is events.ReportedState.DRAINED:
            return fleet.propose_commands(
                host,
                now,
                fleet.build_state_change(host, states.HostState.DRAINED, now),
                self._build_move(host, pool, fleet, now),
            )
        is_gone = is_new and report.state in _OUT_STATES
        if (
            is_gone
            or fleet.get_time_in_state(host, now) >= fleet.timings.drain_s
        ):
            # The host monitor withdraws an unclaimed host or marks it down.
            return self._release_host(host, fleet)
        return fleet.call_platform(events.CallKind.DRAIN_HOST, host, now)

    def _change_owner(
        self,
        host: ids.HostId,
        pool: ids.PoolId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        if all(pool != other.name for other in fleet.state.document.pools):
            return self._release_host(host, fleet)
        move = self._build_move(host, pool, fleet, now)
        return fleet.propose_commands(host, now, move)

    def _build_move(
        self,
        host: ids.HostId,
        pool: ids.PoolId,
        fleet: view.Fleet,
        now: float,
    ) -> commands.MoveHost:
        record = fleet.state.hosts[host]
        index = budgets.get_index(fleet.state)
        permission = index.permissions_by_host.get(host)
        return commands.MoveHost(
            time=ids.WallTime(now),
            host=host,
            host_epoch=record.epoch,
            from_pool=record.pool,
            to_pool=pool,
            permission=permission or ids.PermissionId(''),
            epoch=fleet.epoch,
        )

    def _release_host(
        self, host: ids.HostId, fleet: view.Fleet
    ) -> list[events.Action]:
        del self._moving_hosts[host]
        fleet.claimed_hosts.discard(host)
        return []


def get_move_weight(policy: documents.Policy) -> float:
    """Return the weight of moves in a policy as a fraction, 0 to 1."""
    weights = policy.buffer_cost + policy.rollout_time + policy.moves
    return policy.moves / weights if weights else 0.0


def get_hold_time(policy: documents.Policy) -> float:
    """Return how long demand must exceed a limit, in seconds."""
    return HOLD_TIME_S * (1 + 3 * get_move_weight(policy))


def _get_units(host: ids.HostId, fleet: view.Fleet) -> int:
    return round(fleet.index.hosts[host].cores * budgets.MILLICORES_PER_CORE)
