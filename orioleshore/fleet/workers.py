"""Workers by the room that they have for tasks."""

import itertools
import math

import msgspec

from orioleshore.model import ids
from orioleshore.model import states

# Workers looked at in one cell before the next cell is tried.
CELL_SCAN_LIMIT = 32
# Sizes for which a pool remembers whether any worker is large enough.
MAX_KNOWN_SIZES = 256
# Rounding errors of sums of sizes.
TOLERANCE = 1e-6

_Cell = tuple[int, int, int]


class Size(msgspec.Struct, frozen=True):
    """Processors, memory and accelerators of a task or a worker."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def fits(self, room: 'Size') -> bool:
        """Return whether there is room for this size."""
        return (
            self.cores <= room.cores + TOLERANCE
            and self.memory_gb <= room.memory_gb + TOLERANCE
            and self.accelerators <= room.accelerators
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
    """Finds a worker with enough room without walking all of them.

    Workers with similar room share a cell, so a search looks at some
    hundred cells instead of every worker.
    """

    def __init__(self) -> None:
        self._rooms: dict[ids.HostId, Size] = {}
        self._cells: dict[_Cell, dict[ids.HostId, None]] = {}

    def set(self, worker: ids.HostId, room: Size) -> None:
        """Record the room of a worker."""
        if self._rooms.get(worker) == room:
            return
        self.remove(worker)
        self._rooms[worker] = room
        self._cells.setdefault(_get_cell_key(room), {})[worker] = None

    def remove(self, worker: ids.HostId) -> None:
        """Forget a worker."""
        room = self._rooms.pop(worker, None)
        if room is None:
            return
        cell = _get_cell_key(room)
        del self._cells[cell][worker]
        if not self._cells[cell]:
            del self._cells[cell]

    def find(
        self, size: Size, avoided: frozenset[ids.HostId] = frozenset()
    ) -> ids.HostId | None:
        """Return a worker of the tightest cell that has room."""
        need = _get_cell_key(size)
        cells = sorted(
            cell
            for cell in self._cells
            if cell[0] >= need[0] and cell[1] >= need[1] and cell[2] >= need[2]
        )
        # The second pass looks at whole cells, so the search is exact.
        for limit in (CELL_SCAN_LIMIT, None):
            for cell in cells:
                members = itertools.islice(self._cells[cell], limit)
                for worker in members:
                    if worker not in avoided and size.fits(
                        self._rooms[worker]
                    ):
                        return worker
        return None


def _get_cell_key(room: Size) -> _Cell:
    return (
        max(0, room.accelerators),
        _get_level(room.cores),
        _get_level(room.memory_gb),
    )


def _get_level(value: float) -> int:
    # The tolerance keeps a worker that fits exactly out of a lower cell.
    return int(2 * math.log2(1 + max(0.0, value + 2 * TOLERANCE)))


class Reservation(msgspec.Struct, frozen=True):
    """Room that a task holds; a preemptible one gives way to urgent work."""

    size: Size
    is_preemptible: bool


class Worker(msgspec.Struct):
    """A host with what its tasks reserve."""

    name: ids.HostId
    pool: ids.PoolId
    total: Size
    epoch: ids.Epoch
    state: states.HostState | None
    used: Size = Size()
    reclaimable: Size = Size()
    tasks: dict[ids.JobId, Reservation] = {}
    is_suspended: bool = False
    # False while the platform reports it as not up, or it does not answer.
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
    """The workers of one pool by free, reclaimable and total room."""

    def __init__(self) -> None:
        self.free = CapacityIndex()
        self.reclaimable = CapacityIndex()
        self.totals = CapacityIndex()
        self.capacity = Size()
        # Whether a size fits any worker, until the workers change.
        self.fit_cache: dict[Size, bool] = {}


class WorkerTable:
    """All workers; every change of a worker costs the same."""

    def __init__(self) -> None:
        self._workers: dict[ids.HostId, Worker] = {}
        self._pools: dict[ids.PoolId, _PoolIndex] = {}
        self._workers_on_probation: set[ids.HostId] = set()

    def get(self, name: ids.HostId) -> Worker | None:
        """Return a worker, None when it is not known."""
        return self._workers.get(name)

    def get_capacity(self, pool: ids.PoolId) -> Size:
        """Return the total size of the workers of a pool."""
        index = self._pools.get(pool)
        return Size() if index is None else index.capacity

    def update_worker(
        self,
        name: ids.HostId,
        pool: ids.PoolId,
        total: Size,
        epoch: ids.Epoch,
        state: states.HostState | None,
    ) -> Worker:
        """Record owner, size and state of a host; None: it is removed."""
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
            index = self._pools.setdefault(pool, _PoolIndex())
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
        """Hold room for a task; room may become negative."""
        worker = self._workers[name]
        self.release(name, job)
        worker.tasks[job] = Reservation(size, is_preemptible)
        worker.used = worker.used.plus(size)
        if is_preemptible:
            worker.reclaimable = worker.reclaimable.plus(size)
        self._index_worker(worker)

    def release(self, name: ids.HostId, job: ids.JobId) -> None:
        """Give back the room of a task."""
        worker = self._workers.get(name)
        held = worker.tasks.pop(job, None) if worker is not None else None
        if held is None:
            return
        worker.used = worker.used.minus(held.size)
        if held.is_preemptible:
            worker.reclaimable = worker.reclaimable.minus(held.size)
        self._index_worker(worker)
        if worker.state is None and not worker.tasks:
            del self._workers[name]

    def set_health(
        self, name: ids.HostId, is_suspended: bool, is_on_probation: bool
    ) -> None:
        """Close a worker for new tasks, or open it again."""
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
        """Record whether a worker answers; return whether that is new."""
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
        avoided: frozenset[ids.HostId],
        exclude_probation: bool = False,
    ) -> ids.HostId | None:
        """Return a worker with room; ``proven``: none on probation."""
        index = self._pools.get(pool)
        if index is None:
            return None
        return index.free.find(
            size, self._exclude_probation(avoided, exclude_probation)
        )

    def find_reclaimable(
        self, pool: ids.PoolId, size: Size, avoided: frozenset[ids.HostId]
    ) -> ids.HostId | None:
        """Return a worker that has room once preemptible tasks leave."""
        index = self._pools.get(pool)
        if index is None:
            return None
        return index.reclaimable.find(
            size, self._exclude_probation(avoided, True)
        )

    def can_fit(
        self,
        pool: ids.PoolId,
        size: Size,
        avoided: frozenset[ids.HostId] = frozenset(),
    ) -> bool:
        """Return whether any other worker of a pool is large enough."""
        index = self._pools.get(pool)
        if index is None:
            return False
        if avoided:
            return index.totals.find(size, avoided) is not None
        if size not in index.fit_cache:
            if len(index.fit_cache) >= MAX_KNOWN_SIZES:
                index.fit_cache.clear()
            index.fit_cache[size] = index.totals.find(size) is not None
        return index.fit_cache[size]

    def _exclude_probation(
        self, avoided: frozenset[ids.HostId], exclude_probation: bool
    ) -> frozenset[ids.HostId]:
        return (
            avoided | self._workers_on_probation
            if exclude_probation
            else avoided
        )

    def _index_worker(self, worker: Worker) -> None:
        index = self._pools.setdefault(worker.pool, _PoolIndex())
        if not worker.is_open:
            index.free.remove(worker.name)
            index.reclaimable.remove(worker.name)
            return
        index.free.set(worker.name, worker.free)
        index.reclaimable.set(
            worker.name, worker.free.plus(worker.reclaimable)
        )

    def _unindex_worker(self, worker: Worker) -> None:
        index = self._pools.setdefault(worker.pool, _PoolIndex())
        index.free.remove(worker.name)
        index.reclaimable.remove(worker.name)
        index.totals.remove(worker.name)
        index.fit_cache.clear()
        if worker.state is not None:
            index.capacity = index.capacity.minus(worker.total)
