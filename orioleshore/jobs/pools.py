"""How many hosts each pool has, and which hosts move.

Answers queues whose demand rises by turns to several times what their
pool holds, and is a twentieth in between: hosts follow the waiting work,
first those that are switched off, then idle ones of other pools. A host
without work goes to a standby pool after a pause, since each move takes
seconds and the next turn may need it again.
"""

from __future__ import annotations

import logging
import math
import typing

from orioleshore.jobs import calls
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# Waiting work, as a share of what one host runs at a time, from which a
# host is worth its move.
BORROW_SHARE = 0.5
# A host without work for this long may go to a pool that lacks hosts;
# above the time between two heartbeats.
SPARE_AFTER_S = 0.3
# A host without work for this long is switched off. A move back takes
# 1.5 s, so shorter pauses are not worth it.
IDLE_S = 2.5
# Hosts that each pool keeps: one may be lost, the other takes the first
# work of a new turn.
MIN_HOSTS = 2
# A host that was moved but is not heard of counts as on its way for this
# long; several times the platform's time for a move.
ARRIVAL_S = 6.0


class Pools:
    """Chooses moves of hosts; part of the scheduler's state."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        # Hosts on their way, with their pool and when they are given up.
        self._arriving: dict[ids.HostId, tuple[ids.PoolId, float]] = {}
        self._idle_since: dict[ids.HostId, float] = {}
        # Where an order under way sends a host.
        self._targets: dict[ids.HostId, ids.PoolId] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether hosts are on their way."""
        return bool(self._targets or self._arriving)

    def advance(self) -> None:
        """Order the moves that the demand calls for now."""
        self._forget_arrived()
        self._note_idle()
        demand = self._find_demand()
        free = self._find_free() if demand else []
        for pool, missing in demand:
            chosen = [host for host, home in free if home != pool][:missing]
            free = [item for item in free if item[0] not in chosen]
            for host in chosen:
                self._move(host, pool)
        self._switch_off()

    def note_outcome(self, call: calls.NoteMove) -> None:
        """Learn what the platform said about the move of a host."""
        scheduler = self._scheduler
        scheduler.orders.note_answer(call.host, call.outcome, scheduler.now)
        self._targets.pop(call.host, None)
        LOG.info(
            logs.format_event(
                'move_answered',
                host=call.host,
                pool=call.pool,
                outcome=call.outcome,
                detail=call.detail,
            )
        )
        worker = self._find_worker(call.host)
        if call.outcome is not states.HostOrderOutcome.ACCEPTED:
            # After silence the move may have been carried out; the list
            # and the worker's next heartbeat tell.
            if worker is not None:
                worker.is_cordoned = False
            return
        if worker is not None and worker.pool != call.pool:
            scheduler.drop_worker(worker, 'moved')
        if not scheduler.is_standby(call.pool):
            until = scheduler.now + ARRIVAL_S
            self._arriving[call.host] = (call.pool, until)

    def _forget_arrived(self) -> None:
        scheduler = self._scheduler
        for worker in scheduler.workers.values():
            arriving = self._arriving.get(worker.host)
            if arriving is not None and worker.pool == arriving[0]:
                del self._arriving[worker.host]
        for host, (_, until) in list(self._arriving.items()):
            if scheduler.now >= until:
                del self._arriving[host]

    def _note_idle(self) -> None:
        """Note since when each worker has nothing to run."""
        idle = {}
        for worker in self._scheduler.workers.values():
            is_ready = worker.state is states.WorkerState.READY
            if is_ready and not worker.ordered and not worker.listed:
                idle[worker.host] = self._idle_since.get(
                    worker.host, self._scheduler.now
                )
        self._idle_since = idle

    def _find_demand(self) -> list[tuple[ids.PoolId, int]]:
        """Return pools that lack hosts, the most pressing first."""
        scheduler = self._scheduler
        size = self._get_host_size()
        demand = []
        for pool in scheduler.get_pools():
            if scheduler.is_standby(pool) or not size:
                continue
            waiting = scheduler.get_waiting_cpu(pool)
            missing = math.floor(waiting / size + 1 - BORROW_SHARE)
            if scheduler.get_pool_jobs(pool):
                # Hosts that are to go down are replaced before they do.
                usable = sum(
                    not worker.is_cordoned
                    for worker in scheduler.get_pool_workers(pool)
                )
                missing = max(missing, MIN_HOSTS - usable)
            missing -= self._count_coming(pool)
            if missing > 0:
                demand.append((pool, missing))
        demand.sort(key=lambda item: -item[1])
        return demand

    def _count_coming(self, pool: ids.PoolId) -> int:
        arriving = [target for target, _ in self._arriving.values()]
        return [*arriving, *self._targets.values()].count(pool)

    def _get_host_size(self) -> int:
        """Return the processors of a typical host, in thousandths."""
        sizes = [
            worker.capacity.cpu_millis
            for worker in self._scheduler.workers.values()
        ]
        return sorted(sizes)[len(sizes) // 2] if sizes else 0

    def _find_free(self) -> list[tuple[ids.HostId, ids.PoolId]]:
        """Return hosts that may move now, with their present pools."""
        scheduler = self._scheduler
        free = [
            (host, info.pool)
            for host, info in scheduler.orders.hosts.items()
            if scheduler.is_standby(info.pool)
            and info.state is states.PlatformHostState.UP
            and self._find_worker(host) is None
            and self._may_move(host)
        ]
        free += [
            (worker.host, worker.pool)
            for worker in self._find_spare(SPARE_AFTER_S)
        ]
        return free

    def _find_spare(self, idle_s: float) -> list[workers.Worker]:
        """Return workers without work that their pools can do without."""
        scheduler = self._scheduler
        spare = []
        for pool in scheduler.get_pools():
            if scheduler.get_waiting_cpu(pool):
                continue
            members = scheduler.get_pool_workers(pool)
            usable = [w for w in members if not w.is_cordoned]
            surplus = len(usable) - MIN_HOSTS
            idle = [
                worker
                for worker in members
                if self._is_idle(worker, idle_s)
                and self._may_move(worker.host)
            ]
            spare += idle[: max(0, surplus)]
        return spare

    def _is_idle(self, worker: workers.Worker, idle_s: float) -> bool:
        since = self._idle_since.get(worker.host)
        return since is not None and self._scheduler.now >= since + idle_s

    def _may_move(self, host: ids.HostId) -> bool:
        scheduler = self._scheduler
        return (
            bool(host)
            and host not in self._arriving
            and not scheduler.orders.is_asked(host)
            and scheduler.orders.may_ask(host, scheduler.now)
            and not scheduler.upkeep.is_due(host)
        )

    def _switch_off(self) -> None:
        scheduler = self._scheduler
        standby = [
            pool
            for pool in scheduler.get_pools()
            if scheduler.is_standby(pool)
        ]
        if not standby:
            return
        for worker in self._find_spare(IDLE_S):
            self._move(worker.host, standby[0])

    def _move(self, host: ids.HostId, pool: ids.PoolId) -> None:
        scheduler = self._scheduler
        worker = self._find_worker(host)
        if worker is not None:
            worker.is_cordoned = True
        self._targets[host] = pool
        scheduler.orders.move(host, pool, scheduler.now)
        LOG.info(
            logs.format_event(
                'move_ordered',
                host=host,
                pool=pool,
                from_pool=worker.pool if worker else None,
                waiting_cpu=scheduler.get_waiting_cpu(pool),
            )
        )

    def _find_worker(self, host: ids.HostId) -> workers.Worker | None:
        for worker in self._scheduler.workers.values():
            if worker.host == host:
                return worker
        return None
