"""Which standby hosts are lent to which pool, and when they go back.

Answers queues whose demand rises by turns to several times what their
pool holds: hosts of the standby pools follow the demand. A host moves on
only once it is without work, and goes back after a pause, since each move
takes seconds and the next turn may need it again.
"""

from __future__ import annotations

import logging
import math
import typing

from orioleshore.jobs import calls
from orioleshore.jobs import ledger
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
# Time for which a lent host is without work before it goes back; longer
# than the pause between two turns of demand.
IDLE_S = 3.0
# A host that was moved but is not heard of counts as on its way for this
# long; several times the platform's time for a move.
ARRIVAL_S = 6.0


class Lending:
    """Chooses moves of standby hosts; part of the scheduler's state."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        # Hosts on their way, with their pool and when they are given up.
        self._arriving: dict[ids.HostId, tuple[ids.PoolId, float]] = {}
        self._idle_since: dict[ids.HostId, float] = {}
        # Where an order under way sends a host.
        self._targets: dict[ids.HostId, ids.PoolId] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether hosts are lent or on their way."""
        return bool(self._scheduler.book.lent or self._targets)

    def advance(self) -> None:
        """Order the moves that the demand calls for now."""
        self._forget_arrived()
        free = self._find_free()
        for pool, missing in self._find_demand():
            for _ in range(missing):
                if not free:
                    return
                self._move(free.pop(0), pool)
        self._send_back()

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
        if call.outcome is states.HostOrderOutcome.ACCEPTED:
            self._finish(call)
            return
        worker = self._find_worker(call.host)
        if worker is not None:
            worker.is_cordoned = False
        self._arriving.pop(call.host, None)
        if call.outcome is states.HostOrderOutcome.GONE:
            scheduler.record(ledger.HostReturned(call.host))

    def _finish(self, call: calls.NoteMove) -> None:
        scheduler = self._scheduler
        worker = self._find_worker(call.host)
        if worker is not None and worker.pool != call.pool:
            scheduler.drop_worker(worker, 'moved')
        if scheduler.is_standby(call.pool):
            scheduler.record(ledger.HostReturned(call.host))
            return
        self._arriving[call.host] = (call.pool, scheduler.now + ARRIVAL_S)

    def _forget_arrived(self) -> None:
        scheduler = self._scheduler
        for worker in scheduler.workers.values():
            arriving = self._arriving.get(worker.host)
            if arriving is not None and worker.pool == arriving[0]:
                del self._arriving[worker.host]
        for host, (_, until) in list(self._arriving.items()):
            if scheduler.now >= until:
                del self._arriving[host]

    def _find_demand(self) -> list[tuple[ids.PoolId, int]]:
        """Return pools that lack hosts, the most pressing first."""
        scheduler = self._scheduler
        demand = []
        size = self._get_host_size()
        for pool in scheduler.get_pools():
            if scheduler.is_standby(pool) or not size:
                continue
            waiting = scheduler.get_waiting_cpu(pool)
            coming = sum(
                target == pool
                for target in (
                    *(target for target, _ in self._arriving.values()),
                    *self._targets.values(),
                )
            )
            missing = math.floor(waiting / size + 1 - BORROW_SHARE) - coming
            if missing > 0:
                demand.append((pool, missing))
        demand.sort(key=lambda item: -item[1])
        return demand

    def _get_host_size(self) -> int:
        """Return the processors of a typical host, in thousandths."""
        sizes = [
            worker.capacity.cpu_millis
            for worker in self._scheduler.workers.values()
        ]
        return sorted(sizes)[len(sizes) // 2] if sizes else 0

    def _find_free(self) -> list[ids.HostId]:
        """Return hosts that may move now: standby ones, then idle ones."""
        scheduler = self._scheduler
        free = []
        for host, info in scheduler.orders.hosts.items():
            if (
                scheduler.is_standby(info.pool)
                and info.state is states.PlatformHostState.UP
                and host not in scheduler.book.lent
                and self._may_move(host)
            ):
                free.append(host)
        free += [
            worker.host
            for worker in self._find_lent_workers()
            if not worker.ordered
            and not worker.listed
            and not scheduler.get_waiting_cpu(worker.pool)
            and self._may_move(worker.host)
        ]
        return free

    def _find_lent_workers(self) -> list[workers.Worker]:
        return [
            worker
            for worker in self._scheduler.workers.values()
            if worker.host in self._scheduler.book.lent
            and worker.state is states.WorkerState.READY
        ]

    def _may_move(self, host: ids.HostId) -> bool:
        scheduler = self._scheduler
        return (
            host not in self._arriving
            and not scheduler.orders.is_asked(host)
            and scheduler.orders.may_ask(host, scheduler.now)
            and not scheduler.upkeep.is_due(host)
        )

    def _send_back(self) -> None:
        scheduler = self._scheduler
        for worker in self._find_lent_workers():
            if worker.ordered or worker.listed:
                self._idle_since.pop(worker.host, None)
                continue
            since = self._idle_since.setdefault(worker.host, scheduler.now)
            if scheduler.now >= since + IDLE_S and self._may_move(worker.host):
                self._move(worker.host, scheduler.book.lent[worker.host])

    def _move(self, host: ids.HostId, pool: ids.PoolId) -> None:
        scheduler = self._scheduler
        if host not in scheduler.book.lent:
            home = scheduler.orders.hosts[host].pool
            scheduler.record(ledger.HostLent(host, home))
        worker = self._find_worker(host)
        if worker is not None:
            worker.is_cordoned = True
        self._idle_since.pop(host, None)
        self._targets[host] = pool
        scheduler.orders.move(host, pool, scheduler.now)
        LOG.info(
            logs.format_event(
                'move_ordered',
                host=host,
                pool=pool,
                waiting_cpu=scheduler.get_waiting_cpu(pool),
            )
        )

    def _find_worker(self, host: ids.HostId) -> workers.Worker | None:
        for worker in self._scheduler.workers.values():
            if worker.host == host:
                return worker
        return None
