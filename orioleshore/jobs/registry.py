"""The workers that report to the leader, found by name, host and pool."""

import logging

from orioleshore.jobs import calls
from orioleshore.jobs import roster
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)


class WorkerRegistry:
    """Owns the workers; all changes of the set go through it."""

    def __init__(self) -> None:
        self.workers: dict[ids.WorkerId, workers.Worker] = {}
        self._roster = roster.Roster()

    def find(self, key: workers.WorkerKey) -> workers.Worker | None:
        """Return a worker, None if it is gone or has restarted since."""
        worker = self.workers.get(key.name)
        return worker if worker and worker.key == key else None

    def get_pool_workers(self, pool: ids.PoolId) -> list[workers.Worker]:
        """Return the known workers of a pool."""
        return list(self._roster.iterate_pool_workers(pool))

    def get_host_workers(self, host: ids.HostId) -> list[workers.Worker]:
        """Return the workers of a host, none for an empty name."""
        return self._roster.get_host_workers(host)

    def get_hosts(self) -> set[ids.HostId]:
        """Return the hosts whose workers report to this leader."""
        return {worker.host for worker in self.workers.values()}

    def set_pool(self, worker: workers.Worker, pool: ids.PoolId) -> None:
        """Note the pool that a worker reports."""
        self._roster.set_pool(worker, pool)

    def has_newer_incarnation(self, heartbeat: calls.Heartbeat) -> bool:
        """Return whether a newer worker is known with this name or host."""
        known = self.workers.get(heartbeat.worker)
        if known is not None and known.incarnation > heartbeat.incarnation:
            return True
        return any(
            other.incarnation > heartbeat.incarnation
            for other in self._roster.get_host_workers(heartbeat.host)
        )

    def add(self, heartbeat: calls.Heartbeat, now: float) -> workers.Worker:
        """Add the worker that sent a heartbeat; ``now`` is monotonic."""
        worker = workers.Worker(
            heartbeat.worker,
            heartbeat.incarnation,
            heartbeat.host,
            heartbeat.pool,
            heartbeat.zone,
            heartbeat.capacity,
            heartbeat.labels,
            found_at=now,
        )
        self.workers[heartbeat.worker] = worker
        self._roster.add(worker)
        LOG.info(
            logs.format_event(
                'worker_found',
                worker=worker.name,
                incarnation=worker.incarnation,
                host=worker.host,
                pool=worker.pool,
                rack=worker.rack,
            )
        )
        return worker

    def find_replaced(self, worker: workers.Worker) -> list[workers.Worker]:
        """Return the earlier workers of a worker's host.

        A host runs one worker at a time, so a newer worker implies that the
        previous one and all its runs have ended.
        """
        return [
            other
            for other in self._roster.get_host_workers(worker.host)
            if other.incarnation < worker.incarnation
            and other.name != worker.name
        ]

    def find_expired(self, now: float) -> list[workers.Worker]:
        """Return the workers whose lease has ended."""
        return [
            worker
            for worker in self.workers.values()
            if now >= worker.lease_end
        ]

    def remove(
        self, worker: workers.Worker, reason: states.WorkerExit, now: float
    ) -> None:
        """Remove a worker that has ended."""
        del self.workers[worker.name]
        self._roster.remove(worker)
        LOG.warning(
            logs.format_event(
                'worker_lost',
                worker=worker.name,
                host=worker.host,
                pool=worker.pool,
                why=reason,
                runs=len(worker.ordered),
                silent_s=now - worker.last_heartbeat_at,
            )
        )
