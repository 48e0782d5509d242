"""Autoscaling of pools: how many hosts each has, and which hosts move.

Answers queues whose demand alternately rises to several times the capacity
of their pool and falls to a twentieth of it. A pool that lacks hosts gets
switched-off standby hosts first, then idle hosts of other pools. A pool that
has needed fewer hosts for a while drains the least loaded ones, so that
scattered small tasks do not keep all of them running. While the pools need
more hosts than there are, each gets its share (``sharing``), and a pool above
its share drains hosts for the others although its own jobs wait.
"""

from __future__ import annotations

import logging
import typing

from orioleshore.jobs import alternatives
from orioleshore.jobs import calls
from orioleshore.jobs import demand
from orioleshore.jobs import pool_needs
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.quotas import shares
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# A host that has been idle for this long may move to a pool that lacks hosts;
# longer than the interval between two heartbeats.
SPARE_AFTER_S = 0.3
# A moved host counts as arriving for this long without a heartbeat; several
# times the duration of a move on the platform.
ARRIVAL_TIMEOUT_S = 6.0


class Pools:
    """Moves hosts between pools; part of the scheduler's state."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        # Moved hosts without a heartbeat yet: the new pool, and the time at
        # which the arrival times out.
        self._arriving: dict[ids.HostId, tuple[ids.PoolId, float]] = {}
        self._idle_since: dict[ids.HostId, float] = {}
        # Target pools of hosts whose move order has not been answered, and
        # the monotonic times at which the answer counts as lost.
        self._targets: dict[ids.HostId, ids.PoolId] = {}
        self._answer_due_at: dict[ids.HostId, float] = {}
        # Workers that the last move order about a host ends.
        self._moved: dict[ids.HostId, workers.WorkerKey] = {}
        # Workers of hosts that are cordoned so that they can be switched off.
        self._retiring: dict[ids.HostId, workers.WorkerKey] = {}
        self._needs = pool_needs.PoolNeeds()

    @property
    def is_busy(self) -> bool:
        """Return whether any host is being moved."""
        return bool(self._targets or self._arriving)

    def get_needed_hosts(self, pool: ids.PoolId) -> int:
        """Return how many hosts a pool needs now."""
        return self._needs.demand.get_hosts(pool)

    def advance(self) -> None:
        """Order the moves that the present demand requires."""
        self._end_unanswered_moves()
        self._forget_arrived_hosts()
        self._forget_ended_workers()
        self._update_idle_times()
        self._update_demand()
        self._share_hosts()
        self._move_hosts_to_short_pools()
        self._retire_surplus_hosts()
        self._switch_off_retired_hosts()

    def record_accepted_job(
        self,
        pool: ids.PoolId,
        job: specs.Job,
        organisation: ids.OrganisationId,
    ) -> None:
        """Add an accepted job to the arrival rate of its pool.

        A job whose organisation is at its limit needs no hosts soon.
        """
        size = self._get_host_size()
        if size is None or job.is_long_running or job.occurrences:
            return
        used = self._scheduler.usage.get_used(organisation)
        limit = self._scheduler.directory.get_limit(organisation)
        if not any(
            shares.fits_limit(used, step.need, limit) for step in job.steps
        ):
            return
        self._needs.demand.record_arrival(
            pool, pool_needs.count_job_hosts(job, size), self._scheduler.now
        )

    def record_outcome(self, call: calls.NoteMove) -> None:
        """Record the platform's answer to a move order."""
        scheduler = self._scheduler
        scheduler.orders.record_answer(call.host, call.outcome, scheduler.now)
        self._targets.pop(call.host, None)
        self._answer_due_at.pop(call.host, None)
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
        is_gone = call.outcome is states.HostOrderOutcome.GONE
        if is_gone and scheduler.known_hosts.is_missing(call.host):
            scheduler.known_hosts.forget(call.host)
        if call.outcome is not states.HostOrderOutcome.ACCEPTED:
            # A move without an answer may have been carried out; the list of
            # hosts and the worker's next heartbeat show whether it was.
            if worker is not None:
                worker.is_cordoned = False
            return
        scheduler.known_hosts.record_move(call.host, call.pool)
        is_moved = worker is not None and (
            worker.pool != call.pool
            and worker.key == self._moved.get(call.host)
        )
        if is_moved:
            scheduler.drop_worker(worker, states.WorkerExit.MOVED)
        if not scheduler.is_standby(call.pool):
            until = scheduler.now + ARRIVAL_TIMEOUT_S
            self._arriving[call.host] = (call.pool, until)

    def _end_unanswered_moves(self) -> None:
        """Put hosts back into use whose move order was never answered.

        The worker of such a host would stay cordoned. A later answer counts.
        """
        for host, due_at in list(self._answer_due_at.items()):
            if self._scheduler.now >= due_at:
                unknown = states.HostOrderOutcome.UNKNOWN
                self.record_outcome(
                    calls.NoteMove(
                        host, self._targets[host], unknown, 'no answer'
                    )
                )

    def _forget_arrived_hosts(self) -> None:
        scheduler = self._scheduler
        for worker in scheduler.workers.values():
            arriving = self._arriving.get(worker.host)
            if arriving is not None and worker.pool == arriving[0]:
                del self._arriving[worker.host]
        for host, (_, until) in list(self._arriving.items()):
            if scheduler.now >= until:
                del self._arriving[host]

    def _forget_ended_workers(self) -> None:
        """Forget the workers that have ended while they were retiring."""
        for host, key in list(self._retiring.items()):
            if self._scheduler.find_worker(key) is None:
                del self._retiring[host]

    def _update_idle_times(self) -> None:
        """Record since when each worker has been idle."""
        idle = {}
        for worker in self._scheduler.workers.values():
            is_ready = worker.state is states.WorkerState.READY
            if is_ready and not worker.ordered and not worker.listed:
                idle[worker.host] = self._idle_since.get(
                    worker.host, self._scheduler.now
                )
        self._idle_since = idle

    def _update_demand(self) -> None:
        scheduler = self._scheduler
        size = self._get_host_size()
        for pool in scheduler.get_pools():
            if scheduler.is_standby(pool) or size is None:
                continue
            load = demand.measure_load(scheduler, pool, size)
            mean_s = scheduler.run_times.get_mean(pool)
            self._needs.demand.record_load(pool, load, mean_s, scheduler.now)

    def _share_hosts(self) -> None:
        """Divide the hosts among the pools."""
        scheduler = self._scheduler
        present = {
            pool: None
            if scheduler.get_pool_jobs(pool)
            else len(self._find_usable_workers(pool))
            for pool in scheduler.get_pools()
            if not scheduler.is_standby(pool)
        }
        self._needs.divide_hosts(present, self._count_hosts())

    def _count_hosts(self) -> int:
        """Return how many hosts can run tasks, now or after a move."""
        scheduler = self._scheduler
        present = scheduler.get_hosts_with_worker()
        in_pools = sum(
            worker.state is states.WorkerState.READY
            and (not worker.is_cordoned or worker.host in self._retiring)
            for worker in scheduler.workers.values()
        )
        standby_pools = set(
            filter(scheduler.is_standby, scheduler.get_pools())
        )
        standby = sum(
            info.pool in standby_pools
            and scheduler.known_hosts.may_be_up(host)
            and host not in present
            and host not in self._arriving
            and host not in self._targets
            for host, info in scheduler.known_hosts.rows.items()
        )
        return in_pools + standby + len(self._arriving) + len(self._targets)

    def _move_hosts_to_short_pools(self) -> None:
        """Give each pool that lacks hosts one free host in turn."""
        missing = self._find_pools_short_of_hosts()
        free = self._find_movable_hosts() if missing else []
        queue = self._scheduler.orders
        while free and missing and queue.has_room(self._scheduler.now):
            for pool in list(missing):
                host = next((h for h, source in free if source != pool), None)
                if host is None:
                    return
                free = [item for item in free if item[0] != host]
                self._move_host(host, pool)
                missing[pool] -= 1
                if not missing[pool]:
                    del missing[pool]

    def _find_pools_short_of_hosts(self) -> dict[ids.PoolId, int]:
        """Return how many hosts pools lack, the pool with the fewest first.

        Retiring hosts are put back into use before others are moved.
        """
        scheduler = self._scheduler
        found = []
        for pool in scheduler.get_pools():
            if scheduler.is_standby(pool):
                continue
            if not scheduler.get_pool_jobs(pool):
                continue
            # Cordoned hosts do not count, so they are replaced before they
            # go down.
            present = len(self._find_usable_workers(pool))
            present += self._count_arriving_hosts(pool)
            missing = (
                self._needs.limit_to_share(
                    pool, self._needs.demand.get_hosts(pool)
                )
                - present
            )
            missing -= self._reuse_retiring_hosts(pool, missing)
            if missing > 0:
                found.append((present, pool, missing))
        return {pool: missing for _, pool, missing in sorted(found)}

    def _find_usable_workers(self, pool: ids.PoolId) -> list[workers.Worker]:
        return [
            worker
            for worker in self._scheduler.get_pool_workers(pool)
            if not worker.is_cordoned
            and worker.state is states.WorkerState.READY
        ]

    def _reuse_retiring_hosts(self, pool: ids.PoolId, missing: int) -> int:
        """Uncordon up to ``missing`` retiring hosts; return how many."""
        kept = 0
        for host, key in list(self._retiring.items()):
            worker = self._scheduler.find_worker(key)
            if worker is None or host in self._targets:
                del self._retiring[host]
                continue
            if kept >= missing or worker.pool != pool:
                continue
            del self._retiring[host]
            if not self._scheduler.upkeep.is_host_due(host):
                worker.is_cordoned = False
                kept += 1
        return kept

    def _count_arriving_hosts(self, pool: ids.PoolId) -> int:
        arriving = [target for target, _ in self._arriving.values()]
        return [*arriving, *self._targets.values()].count(pool)

    def _get_host_size(self) -> specs.Resources | None:
        return pool_needs.get_median_capacity(
            worker.capacity for worker in self._scheduler.workers.values()
        )

    def _find_movable_hosts(self) -> list[tuple[ids.HostId, ids.PoolId]]:
        """Return the hosts that may move now, with their present pools.

        Standby hosts that the newest list lacks come last.
        """
        scheduler = self._scheduler
        known = scheduler.known_hosts
        present = scheduler.get_hosts_with_worker()
        standby = [
            (host, info.pool)
            for host, info in known.rows.items()
            if scheduler.is_standby(info.pool)
            and known.may_be_up(host)
            and host not in present
            and self._can_move_host(host)
        ]
        spare = [
            (worker.host, worker.pool) for worker in self._find_spare_workers()
        ]
        listed = [item for item in standby if known.is_up(item[0])]
        missing = [item for item in standby if known.is_missing(item[0])]
        return listed + spare + missing

    def _find_spare_workers(self) -> list[workers.Worker]:
        """Return idle workers that are surplus to the need of their pool."""
        scheduler = self._scheduler
        spare = []
        for pool in scheduler.get_pools():
            if (
                self._needs.demand.is_waiting(pool)
                and not self._needs.is_scarce
            ):
                continue
            members = scheduler.get_pool_workers(pool)
            surplus = len(self._find_usable_workers(pool))
            surplus -= self._needs.limit_to_share(
                pool, self._needs.demand.get_hosts(pool)
            )
            surplus += sum(w.host in self._retiring for w in members)
            only_workers = self._find_only_workers(pool)
            idle = [
                worker
                for worker in members
                if self._is_spare(worker)
                and self._can_move_host(worker.host)
                and worker.name not in only_workers
            ]
            spare += idle[: max(0, surplus)]
        return spare

    def _find_only_workers(self, pool: ids.PoolId) -> set[ids.WorkerId]:
        """Return the workers of a pool that alone could run some step."""
        found = set()
        for job in self._scheduler.get_pool_jobs(pool):
            for group in job.groups.values():
                if not group.unfinished:
                    continue
                worker = alternatives.find_only_worker(
                    self._scheduler, job, group
                )
                if worker is not None:
                    found.add(worker.name)
        return found

    def _retire_surplus_hosts(self) -> None:
        """Cordon hosts that a pool has not needed for a while.

        A new leader waits until all workers have reported; before that, busy
        hosts may appear idle.
        """
        scheduler = self._scheduler
        if not self._find_standby_pool() or not scheduler.has_complete_view:
            return
        for pool in scheduler.get_pools():
            needed = self._needs.demand.get_peak_hosts(pool, scheduler.now)
            if needed is None or scheduler.is_standby(pool):
                continue
            needed = self._needs.limit_to_share(pool, needed)
            usable = self._find_usable_workers(pool)
            only_workers = self._find_only_workers(pool)
            candidates = [
                worker
                for worker in usable
                if self._can_move_host(worker.host)
                and not scheduler.job_table.has_long_running_task(worker)
                and worker.name not in only_workers
            ]
            candidates.sort(key=lambda worker: len(worker.ordered))
            for worker in candidates[: max(0, len(usable) - needed)]:
                self._retire_worker(worker, len(usable), needed)

    def _retire_worker(
        self, worker: workers.Worker, host_count: int, needed: int
    ) -> None:
        worker.is_cordoned = True
        self._retiring[worker.host] = worker.key
        LOG.info(
            logs.format_event(
                'host_retiring',
                host=worker.host,
                pool=worker.pool,
                runs=len(worker.ordered),
                hosts=host_count,
                needed=needed,
            )
        )

    def _is_spare(self, worker: workers.Worker) -> bool:
        """Return whether a worker is idle and no task is about to start.

        A retiring worker gets no tasks, so it may move as soon as it is idle.
        """
        since = self._idle_since.get(worker.host)
        if since is None:
            return False
        if self._retiring.get(worker.host) == worker.key:
            return True
        return self._scheduler.now >= since + SPARE_AFTER_S

    def _can_move_host(self, host: ids.HostId) -> bool:
        scheduler = self._scheduler
        return (
            bool(host)
            and host not in self._arriving
            and not scheduler.orders.is_answer_pending(host)
            and scheduler.orders.can_order(host, scheduler.now)
            and not scheduler.upkeep.is_host_due(host)
        )

    def _find_standby_pool(self) -> ids.PoolId | None:
        scheduler = self._scheduler
        for pool in scheduler.get_pools():
            if scheduler.is_standby(pool):
                return pool
        return None

    def _switch_off_retired_hosts(self) -> None:
        """Move retiring hosts that are idle to a standby pool."""
        standby = self._find_standby_pool()
        if standby is None:
            return
        for host in list(self._retiring):
            if not self._scheduler.orders.has_room(self._scheduler.now):
                return
            worker = self._find_worker(host)
            if (
                worker is not None
                and self._is_spare(worker)
                and self._can_move_host(host)
            ):
                self._move_host(host, standby)

    def _move_host(self, host: ids.HostId, pool: ids.PoolId) -> None:
        scheduler = self._scheduler
        worker = self._find_worker(host)
        if worker is not None:
            worker.is_cordoned = True
            self._moved[host] = worker.key
        self._retiring.pop(host, None)
        self._targets[host] = pool
        self._answer_due_at[host] = (
            scheduler.now + scheduler.orders.answer_timeout_s
        )
        scheduler.orders.order_move(host, pool, scheduler.now)
        LOG.info(
            logs.format_event(
                'move_ordered',
                host=host,
                pool=pool,
                from_pool=worker.pool if worker else None,
                startable=self._needs.demand.get_load(pool).startable,
                needed=self._needs.demand.get_hosts(pool),
                share=self._needs.get_share(pool),
            )
        )

    def _find_worker(self, host: ids.HostId) -> workers.Worker | None:
        found = self._scheduler.registry.get_host_workers(host)
        return found[0] if found else None
