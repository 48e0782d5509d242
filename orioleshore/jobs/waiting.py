"""The tasks of a step that wait for a start, by index.

Answers steps of many tasks: their indexes are not listed one by one, and each
operation takes a time that does not depend on how many there are.
"""

from collections.abc import Iterator
import itertools


class WaitingTasks:
    """Indexes of waiting tasks: those requeued first, then the new ones."""

    def __init__(self, count: int) -> None:
        self._count = count
        # Indexes from here on are new; the others wait only if requeued.
        self._first_new = 0
        # New indexes that no longer wait, all above ``_first_new``.
        self._removed: set[int] = set()
        # In the order in which they were requeued.
        self._requeued: dict[int, None] = {}

    def __len__(self) -> int:
        new = self._count - self._first_new - len(self._removed)
        return new + len(self._requeued)

    def __bool__(self) -> bool:
        is_any_new = self._count - self._first_new > len(self._removed)
        return is_any_new or bool(self._requeued)

    def __contains__(self, index: int) -> bool:
        return index in self._requeued or self._is_new(index)

    def __iter__(self) -> Iterator[int]:
        yield from self._requeued
        yield from self._iterate_new()

    def remove(self, index: int) -> None:
        """Remove an index; raises ValueError if it does not wait."""
        if index in self._requeued:
            del self._requeued[index]
            return
        if index == self._first_new < self._count and not self._removed:
            self._first_new += 1
            return
        if not self._is_new(index):
            raise ValueError(f'task {index} does not wait')
        self._removed.add(index)
        while self._first_new in self._removed:
            self._removed.discard(self._first_new)
            self._first_new += 1

    def append(self, index: int) -> None:
        """Add an index behind all that were requeued before."""
        if not self._is_new(index):
            self._requeued[index] = None

    def defer(self, index: int) -> None:
        """Put a waiting index behind all that were requeued before."""
        self.remove(index)
        self._requeued[index] = None

    def clear(self) -> None:
        """Remove all indexes."""
        self._first_new = self._count
        self._removed.clear()
        self._requeued.clear()

    def iterate_candidates(self, limit: int) -> Iterator[int]:
        """Yield up to ``limit`` requeued indexes, then as many new ones.

        The last one that was yielded may be removed or deferred.
        """
        yield from list(itertools.islice(self._requeued, limit))
        yield from itertools.islice(self._iterate_new(), limit)

    def _is_new(self, index: int) -> bool:
        is_above = self._first_new <= index < self._count
        return is_above and index not in self._removed

    def _iterate_new(self) -> Iterator[int]:
        for index in range(self._first_new, self._count):
            if index not in self._removed:
                yield index
