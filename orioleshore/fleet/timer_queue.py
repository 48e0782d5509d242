"""Things to do at a later time, so that a tick looks only at those due."""

import enum
import heapq
import itertools

import msgspec

from orioleshore.model import ids

ANY_ATTEMPT = ids.Attempt(0)


class TimerKind(enum.Enum):
    """What becomes due for a job or a worker."""

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
    """One timer; the attempt matters only for timers of a task."""

    kind: TimerKind
    subject: str
    attempt: ids.Attempt = ANY_ATTEMPT


class TimerQueue:
    """Entries by the time at which they are due."""

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
        """Add an entry; it is dropped by its reader when it is outdated."""
        entry = Entry(kind, subject, attempt)
        heapq.heappush(self._heap, (due, next(self._order), entry))

    def pop_due(self, now: float) -> list[Entry]:
        """Remove and return the entries that are due, oldest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due
