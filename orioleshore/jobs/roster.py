"""The known workers, found by name, by host and by pool."""

from collections.abc import Iterator

from orioleshore.jobs import workers
from orioleshore.model import ids

_WorkersByName = dict[ids.WorkerId, workers.Worker]


class Roster:
    """Names of the workers by host and by pool.

    A heartbeat is handled without a look at all workers, because their number
    times that of their heartbeats would bound the size of a deployment.
    """

    def __init__(self) -> None:
        self._by_host: dict[ids.HostId, _WorkersByName] = {}
        self._by_pool: dict[ids.PoolId, _WorkersByName] = {}

    def add(self, worker: workers.Worker) -> None:
        """Add a worker under its host and its pool."""
        self._by_host.setdefault(worker.host, {})[worker.name] = worker
        self._by_pool.setdefault(worker.pool, {})[worker.name] = worker

    def remove(self, worker: workers.Worker) -> None:
        """Remove a worker that has ended."""
        _remove_from(self._by_host, worker.host, worker.name)
        _remove_from(self._by_pool, worker.pool, worker.name)

    def set_pool(self, worker: workers.Worker, pool: ids.PoolId) -> None:
        """Move a worker to the pool that it reports."""
        if worker.pool == pool:
            return
        _remove_from(self._by_pool, worker.pool, worker.name)
        worker.pool = pool
        self._by_pool.setdefault(pool, {})[worker.name] = worker

    def get_host_workers(self, host: ids.HostId) -> list[workers.Worker]:
        """Return the workers of a host; none for an empty name."""
        return list(self._by_host.get(host, {}).values()) if host else []

    def iterate_pool_workers(
        self, pool: ids.PoolId
    ) -> Iterator[workers.Worker]:
        """Yield the workers of a pool."""
        yield from self._by_pool.get(pool, {}).values()


def _remove_from(
    index: dict[str, _WorkersByName],
    key: str,
    name: ids.WorkerId,
) -> None:
    names = index[key]
    del names[name]
    if not names:
        del index[key]
