"""Steps against a worker that uses more than it has."""

import msgspec

from orioleshore.fleet import events
from orioleshore.fleet import placement
from orioleshore.fleet import tasks
from orioleshore.fleet import workers
from orioleshore.model import ids

# Time for a step to show in the reports, which lag, before the next one.
STEP_INTERVAL_S = 5.0


class Throttle(msgspec.Struct, frozen=True):
    """Limit the processors of a task."""

    task: tasks.Task
    cores: float


class Evict(msgspec.Struct, frozen=True):
    """Ask a task to leave, with a checkpoint or at once."""

    task: tasks.Task
    kind: events.CallKind


class KeepAll(msgspec.Struct, frozen=True):
    """Nothing on the worker may be stopped."""

    worker: ids.HostId


Step = Throttle | Evict | KeepAll


class _Level(msgspec.Struct):
    steps: int = 0
    since: float = 0.0


class PressureMonitor:
    """Escalates by worker: throttle, then checkpoint, then stop."""

    def __init__(self) -> None:
        self._levels: dict[ids.HostId, _Level] = {}

    def get_next_step(
        self,
        worker: workers.Worker,
        usage: workers.Size,
        running: list[tasks.Task],
        now: float,
    ) -> Step | None:
        """Return the next step for a reported usage, None when it fits."""
        if usage.fits(worker.total) or not running:
            self._levels.pop(worker.name, None)
            return None
        level = self._levels.setdefault(worker.name, _Level())
        if level.steps and now - level.since < STEP_INTERVAL_S:
            return None
        # Throttling frees processors only, so memory needs the next step.
        throttles = usage.memory_gb <= worker.total.memory_gb
        level.steps = max(level.steps + 1, 1 if throttles else 2)
        level.since = now
        return _STEP_CHOOSERS[min(level.steps, len(_STEP_CHOOSERS)) - 1](
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
    staying = [task for task in running if task.eviction is None]
    if not staying:
        return KeepAll(worker.name)
    task = min(staying, key=lambda t: placement.get_stop_cost(t, now))
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
