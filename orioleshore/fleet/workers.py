"""Workers indexed by their free and reclaimable capacity."""

import itertools
import math

import msgspec

from orioleshore.model import ids
from orioleshore.model import states

# Workers tried in one cell before the search goes on to the next cell.
CELL_SCAN_LIMIT = 32
# Sizes for which a pool caches whether any worker is large enough.
MAX_CACHED_SIZES = 256
# Tolerance for rounding errors in sums of sizes.
TOLERANCE = 1e-6

_Cell = tuple[int, int, int]


class Size(msgspec.Struct, frozen=True):
    """Cores, memory and accelerators of a task or a worker."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def fits(self, capacity: 'Size') -> bool:
        """Return whether this size is within a capacity."""
        return (
            self.cores <= capacity.cores + TOLERANCE
            and self.memory_gb <= capacity.memory_gb + TOLERANCE
            and self.accelerators <= capacity.accelerators
        )

    def plus(self, other: 'Size') -> 'Size':
        """Return the sum of two sizes."""
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Size') -> 'Size':
        """Return the difference of two sizes, which may be negative."""
        return Size(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )


class CapacityIndex:
    """Finds a worker with enough capacity without a scan of all workers.

    Workers with similar capacity share a cell, so a search visits some
    hundred cells instead of every worker.
    """

    def __init__(self) -> None:
        self._capacities: dict[ids.HostId, Size] = {}
        self._cells: dict[_Cell, dict[ids.HostId, None]] = {}

    def set(self, worker: ids.HostId, capacity: Size) -> None:
        """Record the capacity of a worker."""
        if self._capacities.get(worker) == capacity:
            return
        self.remove(worker)
        self._capacities[worker] = capacity
        self._cells.setdefault(_get_cell_key(capacity), {})[worker] = None

    def remove(self, worker: ids.HostId) -> None:
        """Remove a worker from the index."""
        capacity = self._capacities.pop(worker, None)
        if capacity is None:
            return
        cell = _get_cell_key(capacity)
        del self._cells[cell][worker]
        if not self._cells[cell]:
            del self._cells[cell]

    def find(
        self, size: Size, excluded: frozenset[ids.HostId] = frozenset()
    ) -> ids.HostId | None:
        """Return a worker with enough capacity, the tightest cells first."""
        required_cell = _get_cell_key(size)
        cells = sorted(
            cell
            for cell in self._cells
            if cell[0] >= required_cell[0]
            and cell[1] >= required_cell[1]
            and cell[2] >= required_cell[2]
        )
        # The second pass scans whole cells, so the search is exhaustive.
        for limit in (CELL_SCAN_LIMIT, None):
            for cell in cells:
                members = itertools.islice(self._cells[cell], limit)
                for worker in members:
                    if worker not in excluded and size.fits(
                        self._capacities[worker]
                    ):
                        return worker
        return None


def _get_cell_key(capacity: Size) -> _Cell:
    return (
        max(0, capacity.accelerators),
        _get_level(capacity.cores),
        _get_level(capacity.memory_gb),
    )


def _get_level(value: float) -> int:
    # Without the tolerance, rounding could put a worker that fits exactly
    # into a lower cell.
    return int(2 * math.log2(1 + max(0.0, value + 2 * TOLERANCE)))


class Reservation(msgspec.Struct, frozen=True):
    """Capacity of a task; a preemptible one is evicted for urgent jobs."""

    size: Size
    is_preemptible: bool


class Worker(msgspec.Struct):
    """A host with the capacity that its tasks reserve."""

    name: ids.HostId
    pool: ids.PoolId
    total: Size
    epoch: ids.Epoch
    state: states.HostState | None
    used: Size = Size()
    reclaimable: Size = Size()
    tasks: dict[ids.JobId, Reservation] = {}
    is_suspended: bool = False
    # False while the platform reports the host as not up, or calls to it
    # are not answered.
    is_reachable: bool = True
    # A worker on probation runs one task at a time.
    is_on_probation: bool = False

    @property
    def is_open(self) -> bool:
        """Return whether the worker takes new tasks."""
        if self.state is not states.HostState.SERVING:
            return False
        if self.is_suspended or not self.is_reachable:
            return False
        return not (self.is_on_probation and self.tasks)

    @property
    def free(self) -> Size:
        return self.total.minus(self.used)


class _PoolIndex:
    """The workers of one pool by free, reclaimable and total capacity."""

    def __init__(self) -> None:
        self.free = CapacityIndex()
        self.reclaimable = CapacityIndex()
        self.totals = CapacityIndex()
        self.capacity = Size()
        # Whether a size fits any worker; cleared when the workers change.
        self.fit_cache: dict[Size, bool] = {}


class WorkerTable:
    """All workers; the cost of a change does not grow with their number."""

    def __init__(self) -> None:
        self._workers: dict[ids.HostId, Worker] = {}
        self._pool_indexes: dict[ids.PoolId, _PoolIndex] = {}
        self._workers_on_probation: set[ids.HostId] = set()

    def get(self, name: ids.HostId) -> Worker | None:
        """Return a worker, None if it does not exist."""
        return self._workers.get(name)

    def get_capacity(self, pool: ids.PoolId) -> Size:
        """Return the total size of the workers of a pool."""
        index = self._pool_indexes.get(pool)
        return Size() if index is None else index.capacity

    def update_worker(
        self,
        name: ids.HostId,
        pool: ids.PoolId,
        total: Size,
        epoch: ids.Epoch,
        state: states.HostState | None,
    ) -> Worker:
        """Record owner, size and state of a host; None as state removes it."""
        worker = self._workers.get(name)
        if worker is None:
            worker = Worker(name, pool, total, epoch, state)
            self._workers[name] = worker
        else:
            self._unindex_worker(worker)
        worker.pool = pool
        worker.total = total
        worker.epoch = epoch
        worker.state = state
        if state is None and not worker.tasks:
            del self._workers[name]
            return worker
        if state is not None:
            index = self._pool_indexes.setdefault(pool, _PoolIndex())
            index.totals.set(name, total)
            index.fit_cache.clear()
            index.capacity = index.capacity.plus(total)
        self._index_worker(worker)
        return worker

    def reserve(
        self,
        name: ids.HostId,
        job: ids.JobId,
        size: Size,
        is_preemptible: bool,
    ) -> None:
        """Reserve capacity for a task; free capacity may become negative."""
        worker = self._workers[name]
        self.release(name, job)
        worker.tasks[job] = Reservation(size, is_preemptible)
        worker.used = worker.used.plus(size)
        if is_preemptible:
            worker.reclaimable = worker.reclaimable.plus(size)
        self._index_worker(worker)

    def release(self, name: ids.HostId, job: ids.JobId) -> None:
        """Release the capacity of a task."""
        worker = self._workers.get(name)
        reservation = (
            worker.tasks.pop(job, None) if worker is not None else None
        )
        if reservation is None:
            return
        worker.used = worker.used.minus(reservation.size)
        if reservation.is_preemptible:
            worker.reclaimable = worker.reclaimable.minus(reservation.size)
        self._index_worker(worker)
        if worker.state is None and not worker.tasks:
            del self._workers[name]

    def set_health(
        self, name: ids.HostId, is_suspended: bool, is_on_probation: bool
    ) -> None:
        """Record whether a worker is suspended or on probation."""
        worker = self._workers.get(name)
        self._workers_on_probation.discard(name)
        if worker is None:
            return
        worker.is_suspended = is_suspended
        worker.is_on_probation = is_on_probation
        if is_on_probation:
            self._workers_on_probation.add(name)
        self._index_worker(worker)

    def set_reachable(self, name: ids.HostId, is_reachable: bool) -> bool:
        """Record whether a worker is reachable; return if that changed."""
        worker = self._workers.get(name)
        if worker is None or worker.is_reachable is is_reachable:
            return False
        worker.is_reachable = is_reachable
        self._index_worker(worker)
        return True

    def find_free(
        self,
        pool: ids.PoolId,
        size: Size,
        excluded: frozenset[ids.HostId],
        exclude_probation: bool = False,
    ) -> ids.HostId | None:
        """Return a worker with enough free capacity, None without one."""
        index = self._pool_indexes.get(pool)
        if index is None:
            return None
        return index.free.find(
            size, self._get_exclusions(excluded, exclude_probation)
        )

    def find_reclaimable(
        self, pool: ids.PoolId, size: Size, excluded: frozenset[ids.HostId]
    ) -> ids.HostId | None:
        """Return a worker with enough capacity without preemptible tasks."""
        index = self._pool_indexes.get(pool)
        if index is None:
            return None
        return index.reclaimable.find(
            size, self._get_exclusions(excluded, True)
        )

    def can_fit(
        self,
        pool: ids.PoolId,
        size: Size,
        excluded: frozenset[ids.HostId] = frozenset(),
    ) -> bool:
        """Return whether any worker that is not excluded is large enough."""
        index = self._pool_indexes.get(pool)
        if index is None:
            return False
        if excluded:
            return index.totals.find(size, excluded) is not None
        if size not in index.fit_cache:
            if len(index.fit_cache) >= MAX_CACHED_SIZES:
                index.fit_cache.clear()
            index.fit_cache[size] = index.totals.find(size) is not None
        return index.fit_cache[size]

    def _get_exclusions(
        self, excluded: frozenset[ids.HostId], exclude_probation: bool
    ) -> frozenset[ids.HostId]:
        return (
            excluded | self._workers_on_probation
            if exclude_probation
            else excluded
        )

    def _index_worker(self, worker: Worker) -> None:
        index = self._pool_indexes.setdefault(worker.pool, _PoolIndex())
        if not worker.is_open:
            index.free.remove(worker.name)
            index.reclaimable.remove(worker.name)
            return
        index.free.set(worker.name, worker.free)
        index.reclaimable.set(
            worker.name, worker.free.plus(worker.reclaimable)
        )

    def _unindex_worker(self, worker: Worker) -> None:
        index = self._pool_indexes.setdefault(worker.pool, _PoolIndex())
        index.free.remove(worker.name)
        index.reclaimable.remove(worker.name)
        index.totals.remove(worker.name)
        index.fit_cache.clear()
        if worker.state is not None:
            index.capacity = index.capacity.minus(worker.total)
