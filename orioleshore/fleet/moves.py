"""Moves between pools: loans of spare hosts, and owners in the document.

A host whose pool in the document is a spare pool is lent while another
pool owns it. Any other difference between owner and document is a move
that operators asked for. No record besides the owner is needed, so a new
leader sees the same loans.
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

# Loans are planned this often, in seconds.
PLAN_INTERVAL_S = 5.0
# Demand must stay beyond a limit for this time, in seconds, times up to 4
# by the weight of moves. Queues peak for some seconds only.
HOLD_TIME_S = 60.0
# Demand over capacity at which a pool borrows, and gives back. The gap is
# wider than what one host changes in a pool of six.
BORROW_RATIO = 0.85
RETURN_RATIO = 0.6
# A report of demand counts for this time, in seconds.
DEMAND_VALIDITY_S = 120.0
# Moves under way at once.
MAX_MOVES = 16

_OUT_STATES = (events.ReportedState.DOWN, events.ReportedState.REBOOTING)


class MovePlanner:
    """Lends spare hosts, takes them back, and follows the document."""

    def __init__(self) -> None:
        self._reset()

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Begin without demand; half-done moves of others are withdrawn."""
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
            units = round(event.demanded_cores * budgets.UNITS_PER_CORE)
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
        """Return moves under way and held hosts with their reasons."""
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
        """Turn loads into the capacity that would carry them."""
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
        known = self._loaded_sections
        if (
            known is not None
            and known[0] is document.hosts
            and known[1] is document.pools
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
        need = buffer.get_largest_shortfall(fleet, demands)
        spare_hosts = buffer.get_spare_hosts(fleet)
        held = buffer.get_buffer_hosts(fleet, need, spare_hosts)
        new = [host for host in held if host not in self._buffer_hosts]
        self._buffer_hosts = held
        actions: list[events.Action] = []
        for host in new:
            actions += fleet.record_decision(
                events.RecordDecision(
                    'host',
                    host,
                    'hold as buffer',
                    {'domain': need.domain, 'reason': held[host]},
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
        coming = self._get_incoming_units(pool, fleet)
        short = demand - int(BORROW_RATIO * (serving + coming))
        lent = self._get_lent_hosts(pool, fleet)
        smallest = min((_get_units(h, fleet) for h in lent), default=0)
        idle = bool(lent) and demand < RETURN_RATIO * (serving - smallest)
        is_short_long = self._has_lasted(pool, 'short', short > 0, fleet, now)
        is_idle_long = self._has_lasted(pool, 'idle', idle, fleet, now)
        facts = {
            'demand': demand / budgets.UNITS_PER_CORE,
            'serving': serving / budgets.UNITS_PER_CORE,
        }
        if is_short_long:
            return self._lend_hosts(pool, short, facts, fleet, now)
        if is_idle_long:
            return self._return_host(lent, facts, fleet, now)
        return []

    def _has_lasted(
        self,
        pool: ids.PoolId,
        name: str,
        holds: bool,
        fleet: view.Fleet,
        now: float,
    ) -> bool:
        if not holds:
            self._lasting_since.pop((pool, name), None)
            return False
        since = self._lasting_since.setdefault((pool, name), now)
        return now - since >= get_hold_time(fleet.state.document.policy)

    def _lend_hosts(
        self,
        pool: ids.PoolId,
        short: int,
        facts: dict[str, Any],
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        weight = get_move_weight(fleet.state.document.policy)
        sums = fleet.index.get_sums(pool)
        # The buffer is for capacity that failed.
        failed = sums.down > 0
        actions: list[events.Action] = []
        for host in buffer.get_spare_hosts(fleet):
            if short <= weight * _get_units(host, fleet):
                break
            if host in self._buffer_hosts and not failed:
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
                short -= _get_units(host, fleet)
            actions += started
        return actions

    def _return_host(
        self,
        lent: list[ids.HostId],
        facts: dict[str, Any],
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        stay = fleet.state.document.policy.minimum_stay_s
        for host in lent:
            record = fleet.state.hosts[host]
            if now - record.since < stay:
                continue
            # One at a time: the next one is measured by what is left.
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
            host for host, to in self._moving_hosts.items() if to == pool
        ]
        arriving = [
            host
            for host in fleet.index.members.get(pool, ())
            if fleet.state.hosts[host].arriving
        ]
        hosts = {*moving, *arriving}
        return sum(_get_units(host, fleet) for host in hosts)

    def _get_lent_hosts(
        self, pool: ids.PoolId, fleet: view.Fleet
    ) -> list[ids.HostId]:
        return [
            host
            for host in sorted(fleet.index.members.get(pool, ()))
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
        loss = fleet.index.find_exceeded(host)
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
        # The grant was refused, or the host failed: no move any more.
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
            # The watch of hosts withdraws or fails a host without claim.
            return self._release_host(host, fleet)
        return fleet.call_platform(events.CallKind.DRAIN_HOST, host, now)

    def _change_owner(
        self,
        host: ids.HostId,
        pool: ids.PoolId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        if all(pool != known.name for known in fleet.state.document.pools):
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
        held = budgets.get_index(fleet.state).held.get(host)
        return commands.MoveHost(
            time=ids.WallTime(now),
            host=host,
            host_epoch=record.epoch,
            from_pool=record.pool,
            to_pool=pool,
            permission=held or ids.PermissionId(''),
            epoch=fleet.epoch,
        )

    def _release_host(
        self, host: ids.HostId, fleet: view.Fleet
    ) -> list[events.Action]:
        del self._moving_hosts[host]
        fleet.claimed_hosts.discard(host)
        return []


def get_move_weight(policy: documents.Policy) -> float:
    """Return the share of moves in the weights of a policy, 0 to 1."""
    weights = policy.buffer_cost + policy.rollout_time + policy.moves
    return policy.moves / weights if weights else 0.0


def get_hold_time(policy: documents.Policy) -> float:
    """Return how long demand must stay beyond a limit, in seconds."""
    return HOLD_TIME_S * (1 + 3 * get_move_weight(policy))


def _get_units(host: ids.HostId, fleet: view.Fleet) -> int:
    return round(fleet.index.hosts[host].cores * budgets.UNITS_PER_CORE)
