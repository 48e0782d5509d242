"""Steps that relieve a worker whose usage exceeds its capacity."""

import msgspec

from orioleshore.fleet import events
from orioleshore.fleet import placement
from orioleshore.fleet import tasks
from orioleshore.fleet import workers
from orioleshore.model import ids

# Minimum time between two steps, because reports lag behind their effect.
STEP_INTERVAL_S = 5.0


class Throttle(msgspec.Struct, frozen=True):
    """Limit the processor cores of a task."""

    task: tasks.Task
    cores: float


class Evict(msgspec.Struct, frozen=True):
    """Evict a task, with a checkpoint or at once."""

    task: tasks.Task
    kind: events.CallKind


class KeepAll(msgspec.Struct, frozen=True):
    """No task of the worker may be evicted."""

    worker: ids.HostId


Step = Throttle | Evict | KeepAll


class _Level(msgspec.Struct):
    step_count: int = 0
    last_step_at: float = 0.0


class PressureMonitor:
    """Escalates for each worker: throttle, then checkpoint, then stop."""

    def __init__(self) -> None:
        self._levels: dict[ids.HostId, _Level] = {}

    def get_next_step(
        self,
        worker: workers.Worker,
        usage: workers.Size,
        running: list[tasks.Task],
        now: float,
    ) -> Step | None:
        """Return the next step for a reported usage, None if none is due."""
        if usage.fits(worker.total) or not running:
            self._levels.pop(worker.name, None)
            return None
        level = self._levels.setdefault(worker.name, _Level())
        if level.step_count and now - level.last_step_at < STEP_INTERVAL_S:
            return None
        # Throttling frees cores only, so memory pressure needs eviction.
        can_throttle = usage.memory_gb <= worker.total.memory_gb
        level.step_count = max(level.step_count + 1, 1 if can_throttle else 2)
        level.last_step_at = now
        return _STEP_CHOOSERS[min(level.step_count, len(_STEP_CHOOSERS)) - 1](
            worker, running, now
        )


def _choose_throttle(
    worker: workers.Worker, running: list[tasks.Task], now: float
) -> Step:
    task = max(
        running,
        key=lambda task: (task.cores_used - task.size.cores, task.job),
    )
    return Throttle(task, round(task.size.cores, 2))


def _choose_checkpoint(
    worker: workers.Worker, running: list[tasks.Task], now: float
) -> Step:
    remaining_tasks = [task for task in running if task.eviction is None]
    if not remaining_tasks:
        return KeepAll(worker.name)
    task = min(remaining_tasks, key=lambda t: placement.get_stop_cost(t, now))
    return Evict(task, events.CallKind.CHECKPOINT_TASK)


def _choose_stop(
    worker: workers.Worker, running: list[tasks.Task], now: float
) -> Step:
    stoppable = [
        task
        for task in running
        if task.idempotent and task.eviction is not events.CallKind.STOP_TASK
    ]
    if not stoppable:
        return KeepAll(worker.name)
    task = min(stoppable, key=lambda t: placement.get_stop_cost(t, now))
    return Evict(task, events.CallKind.STOP_TASK)


_STEP_CHOOSERS = (_choose_throttle, _choose_checkpoint, _choose_stop)
