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
PLAN_S = 5.0
# Demand must stay beyond a limit for this time, in seconds, times up to 4
# by the weight of moves. Queues peak for some seconds only.
HOLD_S = 60.0
# Demand over capacity at which a pool borrows, and gives back. The gap is
# wider than what one host changes in a pool of six.
HIGH = 0.85
LOW = 0.6
# A report of demand counts for this time, in seconds.
DEMAND_S = 120.0
# Moves under way at once.
MAX_MOVES = 16

_GONE = (events.ReportedState.DOWN, events.ReportedState.REBOOTING)


class MovePlanner:
    """Lends spare hosts, takes them back, and follows the document."""

    def __init__(self) -> None:
        self._clear()

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Begin without demand; half-done moves of others are withdrawn."""
        self._clear()
        self._load(fleet)
        return []

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        if fleet.is_document_new:
            self._load(fleet)
        if isinstance(event, events.DemandReported):
            units = round(event.cores_wanted * budgets.MILLICORES_PER_CORE)
            self._demands[event.pool] = (units, now)
        if isinstance(event, events.DemandHeard):
            self._take_demand(event, fleet, now)
        actions: list[events.Action] = []
        for host in fleet.touched:
            actions += self._advance(host, fleet, now)
        if isinstance(event, events.TimerFired) and now >= self._next:
            self._next = now + PLAN_S
            for host in list(self._moving):
                actions += self._advance(host, fleet, now)
            actions += self._plan(fleet, now)
        return actions

    def get_dump(self) -> dict[str, Any]:
        """Return moves under way and held hosts with their reasons."""
        return {
            'moving': dict(sorted(self._moving.items())),
            'held': dict(sorted(self._held.items())),
        }

    def _take_demand(
        self, event: events.DemandHeard, fleet: view.Fleet, now: float
    ) -> None:
        """Turn loads into the capacity that would carry them."""
        self._ledger.note(event, now)
        loads = self._ledger.get_pool_loads(fleet.state.document)
        for pool, load in loads.items():
            sums = fleet.index.get_sums(pool)
            serving = sums.capacity - sums.down
            self._demands[pool] = (round(load * serving), now)

    def _clear(self) -> None:
        self._next = 0.0
        self._ledger = demand_reports.DemandLedger()
        self._demands: dict[ids.PoolId, tuple[int, float]] = {}
        self._since: dict[tuple[ids.PoolId, str], float] = {}
        self._moving: dict[ids.HostId, ids.PoolId] = {}
        self._held: dict[ids.HostId, str] = {}
        self._spares: set[ids.PoolId] = set()
        self._misplaced: dict[ids.HostId, ids.PoolId] = {}
        self._sections: tuple[object, object] | None = None

    def _load(self, fleet: view.Fleet) -> None:
        document = fleet.state.document
        known = self._sections
        if (
            known is not None
            and known[0] is document.hosts
            and known[1] is document.pools
        ):
            return
        self._sections = (document.hosts, document.pools)
        pools = {pool.name for pool in document.pools}
        self._spares = {pool.name for pool in document.pools if pool.spare}
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
        return host.pool not in self._spares or owner not in pools

    def _plan(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        if fleet.is_platform_silent(now):
            return []
        actions = self._follow_document(fleet, now)
        demands = {
            pool: units
            for pool, (units, time) in self._demands.items()
            if now - time <= DEMAND_S and pool not in self._spares
        }
        actions += self._hold(fleet, demands)
        for pool, demand in sorted(demands.items()):
            actions += self._plan_pool(pool, demand, fleet, now)
        return actions

    def _follow_document(
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

    def _hold(
        self, fleet: view.Fleet, demands: dict[ids.PoolId, int]
    ) -> list[events.Action]:
        need = buffer.get_need(fleet, demands)
        spare_hosts = buffer.get_spare_hosts(fleet)
        held = buffer.get_held_hosts(fleet, need, spare_hosts)
        new = [host for host in held if host not in self._held]
        self._held = held
        actions: list[events.Action] = []
        for host in new:
            actions += fleet.explain(
                events.Record(
                    'host',
                    host,
                    'hold as buffer',
                    {'domain': need.domain, 'reason': held[host]},
                    'the buffer covers one failure at the present demand',
                    'less demand, or more capacity outside that domain',
                )
            )
        return actions

    def _plan_pool(
        self, pool: ids.PoolId, demand: int, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        sums = fleet.index.get_sums(pool)
        serving = sums.capacity - sums.down
        coming = self._get_coming(pool, fleet)
        short = demand - int(HIGH * (serving + coming))
        lent = self._get_lent(pool, fleet)
        smallest = min((_get_units(h, fleet) for h in lent), default=0)
        idle = bool(lent) and demand < LOW * (serving - smallest)
        is_short_long = self._has_held(pool, 'short', short > 0, fleet, now)
        is_idle_long = self._has_held(pool, 'idle', idle, fleet, now)
        facts = {
            'demand': demand / budgets.MILLICORES_PER_CORE,
            'serving': serving / budgets.MILLICORES_PER_CORE,
        }
        if is_short_long:
            return self._lend(pool, short, facts, fleet, now)
        if is_idle_long:
            return self._take_back(lent, facts, fleet, now)
        return []

    def _has_held(
        self,
        pool: ids.PoolId,
        name: str,
        holds: bool,
        fleet: view.Fleet,
        now: float,
    ) -> bool:
        if not holds:
            self._since.pop((pool, name), None)
            return False
        since = self._since.setdefault((pool, name), now)
        return now - since >= get_hold_time(fleet.state.document.policy)

    def _lend(
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
            if host in self._held and not failed:
                continue
            started = self._start_move(
                host,
                pool,
                fleet,
                now,
                facts,
                f'demand above {HIGH:g} of capacity for the hold time',
            )
            if started:
                short -= _get_units(host, fleet)
            actions += started
        return actions

    def _take_back(
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
                f'demand below {LOW:g} of capacity for the hold time',
            )
            if actions:
                return actions
        return []

    def _get_coming(self, pool: ids.PoolId, fleet: view.Fleet) -> int:
        moving = [host for host, to in self._moving.items() if to == pool]
        arriving = [
            host
            for host in fleet.index.hosts_by_pool.get(pool, ())
            if fleet.state.hosts[host].arriving
        ]
        hosts = {*moving, *arriving}
        return sum(_get_units(host, fleet) for host in hosts)

    def _get_lent(
        self, pool: ids.PoolId, fleet: view.Fleet
    ) -> list[ids.HostId]:
        return [
            host
            for host in sorted(fleet.index.hosts_by_pool.get(pool, ()))
            if fleet.index.hosts[host].pool in self._spares
            and fleet.index.hosts[host].pool != pool
            and fleet.state.hosts[host].state is states.HostState.SERVING
            and host not in self._moving
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
        if len(self._moving) >= MAX_MOVES or host in fleet.claimed:
            return []
        if record.state is not states.HostState.SERVING:
            return []
        if fleet.is_pending(host) or fleet.index.is_down(host):
            return []
        loss = fleet.index.find_exceeded_with_loss_of(host)
        if loss is not None:
            return fleet.explain(
                events.Record(
                    'host',
                    host,
                    f'do not move to {pool}',
                    {'service': loss.service, 'scope': loss.scope, **facts},
                    'the loss while it moves would exceed a budget',
                    'hosts that come back, or a larger budget',
                )
            )
        self._moving[host] = pool
        fleet.claimed.add(host)
        reason = f'move to {pool}'
        return [
            *fleet.propose(
                host,
                now,
                fleet.grant(host, states.Purpose.MOVE, now),
                fleet.set_state(host, states.HostState.DRAINING, now, reason),
            ),
            *fleet.explain(events.Record('host', host, reason, facts, rule)),
        ]

    def _advance(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        pool = self._moving.get(host)
        if pool is None or fleet.is_pending(host):
            return []
        record = fleet.state.hosts.get(host)
        if record is None or record.pool == pool:
            return self._release(host, fleet)
        if record.state is states.HostState.DRAINED:
            return self._change_owner(host, pool, fleet, now)
        if record.state is states.HostState.DRAINING:
            return self._drain(host, pool, fleet, now)
        # The grant was refused, or the host failed: no move any more.
        return self._release(host, fleet)

    def _drain(
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
            return fleet.propose(
                host,
                now,
                fleet.set_state(host, states.HostState.DRAINED, now),
                self._get_move(host, pool, fleet, now),
            )
        is_gone = is_new and report.state in _GONE
        if is_gone or fleet.get_step_time(host, now) >= fleet.timings.drain_s:
            # The watch of hosts withdraws or fails a host without claim.
            return self._release(host, fleet)
        return fleet.call(events.CallKind.DRAIN_HOST, host, now)

    def _change_owner(
        self,
        host: ids.HostId,
        pool: ids.PoolId,
        fleet: view.Fleet,
        now: float,
    ) -> list[events.Action]:
        if all(pool != known.name for known in fleet.state.document.pools):
            return self._release(host, fleet)
        move = self._get_move(host, pool, fleet, now)
        return fleet.propose(host, now, move)

    def _get_move(
        self,
        host: ids.HostId,
        pool: ids.PoolId,
        fleet: view.Fleet,
        now: float,
    ) -> commands.MoveHost:
        record = fleet.state.hosts[host]
        held = budgets.get_index(fleet.state).permissions_by_host.get(host)
        return commands.MoveHost(
            time=ids.WallTime(now),
            host=host,
            host_epoch=record.epoch,
            from_pool=record.pool,
            to_pool=pool,
            permission=held or ids.PermissionId(''),
            epoch=fleet.epoch,
        )

    def _release(
        self, host: ids.HostId, fleet: view.Fleet
    ) -> list[events.Action]:
        del self._moving[host]
        fleet.claimed.discard(host)
        return []


def get_move_weight(policy: documents.Policy) -> float:
    """Return the share of moves in the weights of a policy, 0 to 1."""
    weights = policy.buffer_cost + policy.rollout_time + policy.moves
    return policy.moves / weights if weights else 0.0


def get_hold_time(policy: documents.Policy) -> float:
    """Return how long demand must stay beyond a limit, in seconds."""
    return HOLD_S * (1 + 3 * get_move_weight(policy))


def _get_units(host: ids.HostId, fleet: view.Fleet) -> int:
    return round(fleet.index.hosts[host].cores * budgets.MILLICORES_PER_CORE)
