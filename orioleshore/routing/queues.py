"""Admission queue of one service: bounded, by priority, fair to callers."""

import collections
import heapq
import itertools

from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.routing import events

# Requests of one caller that are served before the next caller's turn.
QUANTUM_REQUESTS = 1
# Weight of the newest interval between starts in the moving average.
MEAN_WEIGHT = 0.1

_PRIORITIES = tuple(states.Priority)


class _FairQueue:
    """Requests of one priority, served round robin by caller.

    Each caller has its own heap, ordered by deadline, so a caller that
    sends many requests delays only its own.
    """

    def __init__(self) -> None:
        self._heaps: dict[ids.CallerId, list] = {}
        self._rotation: collections.deque[ids.CallerId] = collections.deque()
        self._credit = QUANTUM_REQUESTS
        self._sequence = itertools.count()

    def push(self, info: events.RequestInfo) -> None:
        heap = self._heaps.get(info.caller)
        if heap is None:
            heap = self._heaps[info.caller] = []
            self._rotation.append(info.caller)
        entry = (info.deadline, next(self._sequence), info.request)
        heapq.heappush(heap, entry)

    def pop(self) -> ids.RequestId | None:
        if not self._rotation:
            return None
        caller = self._rotation[0]
        heap = self._heaps[caller]
        request = heapq.heappop(heap)[2]
        self._credit -= 1
        if not heap:
            self._remove_caller(caller)
        elif self._credit <= 0:
            self._rotation.rotate(-1)
            self._credit = QUANTUM_REQUESTS
        return request

    def remove(self, info: events.RequestInfo) -> None:
        heap = self._heaps[info.caller]
        heap[:] = [entry for entry in heap if entry[2] != info.request]
        heapq.heapify(heap)
        if not heap:
            self._remove_caller(info.caller)

    def _remove_caller(self, caller: ids.CallerId) -> None:
        del self._heaps[caller]
        if self._rotation[0] == caller:
            self._credit = QUANTUM_REQUESTS
        self._rotation.remove(caller)


class AdmissionQueue:
    """Holds the requests of a service until a slot is free.

    Deferrable requests are bounded separately, so that a backlog of them
    does not displace other requests.
    """

    def __init__(self) -> None:
        self._fair_queues = {
            priority: _FairQueue() for priority in _PRIORITIES
        }
        self._infos: dict[ids.RequestId, events.RequestInfo] = {}
        self._counts = dict.fromkeys(_PRIORITIES, 0)
        self._last_start_at: float | None = None
        self._start_interval_s: float | None = None

    def __len__(self) -> int:
        return len(self._infos)

    def is_full(self, priority: states.Priority, limit: int) -> bool:
        """Return whether one more request exceeds the bound."""
        deferrable = self._counts[states.Priority.DEFERRABLE]
        if priority is states.Priority.DEFERRABLE:
            return deferrable >= limit
        return len(self) - deferrable >= limit

    def push(self, info: events.RequestInfo) -> None:
        """Add a request."""
        if not self._infos:
            # Idle time does not count as an interval between starts.
            self._last_start_at = None
        self._fair_queues[info.priority].push(info)
        self._infos[info.request] = info
        self._counts[info.priority] += 1

    def pop(self, now: float) -> ids.RequestId | None:
        """Remove and return the next request; ``now`` is in seconds."""
        for fair_queue in self._fair_queues.values():
            request = fair_queue.pop()
            if request is not None:
                self._forget_request(request)
                self._record_start(now)
                return request
        return None

    def remove(self, request: ids.RequestId) -> None:
        """Remove a request if it is queued."""
        info = self._infos.get(request)
        if info is not None:
            self._fair_queues[info.priority].remove(info)
            self._forget_request(request)

    def _forget_request(self, request: ids.RequestId) -> None:
        info = self._infos.pop(request)
        self._counts[info.priority] -= 1

    def estimate_wait_s(self, priority: states.Priority) -> float:
        """Return the expected wait of a request that arrives now.

        It is 0 until two starts under backlog have been observed.
        """
        if self._start_interval_s is None:
            return 0.0
        position = _PRIORITIES.index(priority)
        ahead = sum(self._counts[item] for item in _PRIORITIES[: position + 1])
        return ahead * self._start_interval_s

    def _record_start(self, now: float) -> None:
        if self._last_start_at is not None:
            interval_s = now - self._last_start_at
            mean = self._start_interval_s
            self._start_interval_s = (
                interval_s
                if mean is None
                else mean + MEAN_WEIGHT * (interval_s - mean)
            )
        self._last_start_at = now if self._infos else None
