"""Timers of jobs and workers, ordered by the time at which they are due."""

import enum
import heapq
import itertools

import msgspec

from orioleshore.model import ids

ANY_ATTEMPT = ids.Attempt(0)


class TimerKind(enum.Enum):
    """The action that is due for a job or a worker."""

    REPEAT_CALL = 'repeat_call'
    RENEW_LEASE = 'renew_lease'
    END_LEASE = 'end_lease'
    REPEAT_RESULT = 'repeat_result'
    END_PROPOSAL = 'end_proposal'
    END_PREEMPTION = 'end_preemption'
    END_CHECKPOINT = 'end_checkpoint'
    END_DELAY = 'end_delay'
    CHECK_DEADLINE = 'check_deadline'
    CHECK_DRAIN = 'check_drain'
    TRY_WORKER = 'try_worker'
    PLACE = 'place'


class Entry(msgspec.Struct, frozen=True):
    """One timer; ``attempt`` is set only for timers of a task."""

    kind: TimerKind
    subject: str
    attempt: ids.Attempt = ANY_ATTEMPT


class TimerQueue:
    """Timers ordered by due time, so that a tick visits only due ones."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Entry]] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def add(
        self,
        due: float,
        kind: TimerKind,
        subject: str,
        attempt: ids.Attempt = ANY_ATTEMPT,
    ) -> None:
        """Add a timer; its handler must ignore it if it is outdated."""
        entry = Entry(kind, subject, attempt)
        heapq.heappush(self._heap, (due, next(self._order), entry))

    def pop_due(self, now: float) -> list[Entry]:
        """Remove and return the timers that are due, the earliest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due
