"""Calls to the platform that are repeated until they are answered."""

from orioleshore.fleet import events
from orioleshore.fleet import tasks
from orioleshore.fleet import timer_queue
from orioleshore.model import ids

REPEAT_INTERVAL_S = 2.0
# Calls repeated in one tick; the others wait for the next one.
MAX_REPEATS_PER_TICK = 256


class OpenCalls:
    """Open calls; the platform answers a repeated call without acting."""

    def __init__(self, timers: timer_queue.TimerQueue) -> None:
        self._timers = timers
        self._open: dict[ids.CallId, events.CallPlatform] = {}
        self._repeats_left = MAX_REPEATS_PER_TICK

    def __len__(self) -> int:
        return len(self._open)

    def get(self, call: ids.CallId) -> events.CallPlatform | None:
        """Return an open call, None when it is answered or dropped."""
        return self._open.get(call)

    def reset_repeats(self) -> None:
        """Allow the next calls to be repeated."""
        self._repeats_left = MAX_REPEATS_PER_TICK

    def open_call(
        self,
        call: events.CallPlatform,
        task: tasks.Task,
        due: float,
    ) -> bool:
        """Keep a call and repeat it from ``due`` on; tell if it is new."""
        if call.call in self._open:
            return False
        self._open[call.call] = call
        task.calls[call.call] = None
        self._timers.add(
            due, timer_queue.TimerKind.REPEAT_CALL, call.call, task.attempt
        )
        return True

    def repeat_call(
        self, name: ids.CallId, now: float
    ) -> events.CallPlatform | None:
        """Return a call to make again, None when it must wait."""
        call = self._open[name]
        allowed = self._repeats_left > 0
        self._repeats_left -= allowed
        self._timers.add(
            now + REPEAT_INTERVAL_S if allowed else now,
            timer_queue.TimerKind.REPEAT_CALL,
            name,
            call.attempt,
        )
        return call if allowed else None

    def close_call(self, call: ids.CallId) -> None:
        """Drop a call that is answered or has no purpose any more."""
        self._open.pop(call, None)

    def close_start_call(self, task: tasks.Task) -> None:
        """Drop the call that starts a task."""
        self.close_call(tasks.get_start_call_id(task))

    def is_answered(self, task: tasks.Task, kind: events.CallKind) -> bool:
        """Return whether a call of a kind about a task is not open."""
        return tasks.get_call_id(kind, task) not in self._open

    def close_task_calls(self, task: tasks.Task) -> None:
        """Drop the calls about a task that has ended."""
        for call in task.calls:
            self.close_call(call)
