"""Calls to the platform that are repeated until they are answered."""

from orioleshore.fleet import events
from orioleshore.fleet import tasks
from orioleshore.fleet import timer_queue
from orioleshore.model import ids

REPEAT_INTERVAL_S = 2.0
# Calls repeated in one tick; the others wait for the next one.
MAX_REPEATS_PER_TICK = 256


class OpenCalls:
    """Open calls; the platform acts only once on a repeated call."""

    def __init__(self, timers: timer_queue.TimerQueue) -> None:
        self._timers = timers
        self._open: dict[ids.CallId, events.CallPlatform] = {}
        self._repeats_left = MAX_REPEATS_PER_TICK

    def __len__(self) -> int:
        return len(self._open)

    def get(self, call: ids.CallId) -> events.CallPlatform | None:
        """Return an open call, None if it is answered or dropped."""
        return self._open.get(call)

    def reset_repeats(self) -> None:
        """Reset the limit on repeated calls at the start of a tick."""
        self._repeats_left = MAX_REPEATS_PER_TICK

    def open_call(
        self,
        call: events.CallPlatform,
        task: tasks.Task,
        due: float,
    ) -> bool:
        """Track a call, and repeat it from ``due`` on; return if it is new."""
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
        """Return a call to repeat now, None if the limit is reached."""
        call = self._open[name]
        is_allowed = self._repeats_left > 0
        self._repeats_left -= is_allowed
        self._timers.add(
            now + REPEAT_INTERVAL_S if is_allowed else now,
            timer_queue.TimerKind.REPEAT_CALL,
            name,
            call.attempt,
        )
        return call if is_allowed else None

    def close_call(self, call: ids.CallId) -> None:
        """Stop tracking a call that is answered or obsolete."""
        self._open.pop(call, None)

    def close_start_call(self, task: tasks.Task) -> None:
        """Stop tracking the call that starts a task."""
        self.close_call(tasks.get_start_call_id(task))

    def is_answered(self, task: tasks.Task, kind: events.CallKind) -> bool:
        """Return whether no call of a kind about a task is open."""
        return tasks.get_call_id(kind, task) not in self._open

    def close_task_calls(self, task: tasks.Task) -> None:
        """Stop tracking the calls about a task that has ended."""
        for call in task.calls:
            self.close_call(call)
