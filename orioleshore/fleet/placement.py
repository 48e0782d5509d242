"""Queue of the waiting jobs of a pool, and choice of preempted tasks."""

import heapq
import itertools
import math

import msgspec

from orioleshore.fleet import quotas
from orioleshore.fleet import tasks
from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids

_Entry = tuple[float, int, ids.JobId]


class _Item(msgspec.Struct, frozen=True):
    """A waiting job; ``order`` increases with the time of queueing."""

    job: documents.Job
    order: int
    core_s: float


class JobQueue:
    """Waiting jobs of one pool.

    Urgent jobs come first, then jobs with deadlines, the earliest first.
    The other jobs follow, each from the team with the smallest dominant
    share of its quota.
    """

    def __init__(self) -> None:
        self._items: dict[ids.JobId, _Item] = {}
        self._urgent: list[_Entry] = []
        self._deadlines: list[_Entry] = []
        self._teams: dict[ids.TeamId, list[_Entry]] = {}
        self._parked: dict[ids.TeamId, dict[ids.JobId, None]] = {}
        self._parked_urgent: dict[ids.TeamId, dict[ids.JobId, None]] = {}
        self._order = itertools.count()
        self._priority_core_s = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, name: ids.JobId) -> bool:
        return name in self._items

    @property
    def priority_core_s(self) -> float:
        """Return the waiting work that is urgent or has a deadline."""
        return self._priority_core_s

    def push(self, job: documents.Job, core_s: float) -> None:
        """Add a job with its estimated work in core seconds."""
        if job.name in self._items:
            return
        item = _Item(job, next(self._order), core_s)
        self._items[job.name] = item
        if _is_priority(job):
            self._priority_core_s += core_s
        self._push_item(item)

    def remove(self, name: ids.JobId) -> None:
        """Remove a job; its entry in a heap is skipped when it is popped."""
        item = self._items.pop(name, None)
        if item is None:
            return
        if _is_priority(item.job):
            self._priority_core_s -= item.core_s
        self._parked.get(item.job.team, {}).pop(name, None)
        self._parked_urgent.get(item.job.team, {}).pop(name, None)

    def pop(self, ledger: quotas.QuotaLedger) -> documents.Job | None:
        """Return the next job, None without one.

        The job remains in the queue but is not returned again until
        ``put_back`` or ``unpark`` is called. The caller must call
        ``put_back``, ``park`` or ``remove`` for it.
        """
        for heap in (self._urgent, self._deadlines):
            item = self._pop_item(heap)
            if item is not None:
                return item.job
        while self._teams:
            team = min(self._teams, key=ledger.get_share)
            item = self._pop_item(self._teams[team])
            if not self._teams[team]:
                del self._teams[team]
            if item is not None:
                return item.job
        return None

    def put_back(self, name: ids.JobId) -> None:
        """Make a popped job available again at its original position."""
        item = self._items.get(name)
        if item is not None:
            self._push_item(item)

    def park(self, name: ids.JobId) -> None:
        """Withhold a popped job until ``unpark`` is called for its team."""
        item = self._items[name]
        self._parked.setdefault(item.job.team, {})[name] = None
        if item.job.urgent:
            self._parked_urgent.setdefault(item.job.team, {})[name] = None

    def has_parked_urgent(self, team: ids.TeamId) -> bool:
        """Return whether an urgent job of a team is parked."""
        return bool(self._parked_urgent.get(team))

    def unpark(self, team: ids.TeamId) -> bool:
        """Make the parked jobs of a team available; return if any were."""
        parked = self._parked.pop(team, {})
        self._parked_urgent.pop(team, None)
        for name in parked:
            self._push_item(self._items[name])
        return bool(parked)

    def _push_item(self, item: _Item) -> None:
        job = item.job
        deadline = math.inf if job.deadline is None else job.deadline
        entry = (deadline, item.order, job.name)
        if job.urgent:
            heapq.heappush(self._urgent, entry)
        elif job.deadline is not None:
            heapq.heappush(self._deadlines, entry)
        else:
            heapq.heappush(self._teams.setdefault(job.team, []), entry)

    def _pop_item(self, heap: list[_Entry]) -> _Item | None:
        while heap:
            _, order, name = heapq.heappop(heap)
            item = self._items.get(name)
            if item is not None and item.order == order:
                return item
        return None


def _is_priority(job: documents.Job) -> bool:
    return job.urgent or job.deadline is not None


def select_victims(
    candidates: list[tasks.Task], missing: workers.Size, now: float
) -> list[tasks.Task]:
    """Return the cheapest tasks that free the missing capacity.

    Return no task if all of them together do not free enough. Idempotent
    tasks come first, because they may be stopped if they do not complete
    a checkpoint in time.
    """
    ordered = sorted(
        candidates,
        key=lambda task: (not task.idempotent, *get_stop_cost(task, now)),
    )
    victims: list[tasks.Task] = []
    freed = workers.Size()
    for task in ordered:
        if missing.fits(freed):
            break
        victims.append(task)
        freed = freed.plus(task.size)
    return victims if missing.fits(freed) else []


def get_stop_cost(
    task: tasks.Task, now: float
) -> tuple[bool, float, ids.JobId]:
    """Return a sort key of the work that is lost if a task is stopped."""
    return (task.urgent, task.size.cores * (now - task.started), task.job)
