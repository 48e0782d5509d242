"""Sources of time."""

import time
from typing import Protocol

from orioleshore.model import ids


class Clock(Protocol):
    """Source of monotonic time and wall time, both in seconds."""

    def get_monotonic(self) -> ids.MonotonicTime:
        """Return seconds that never go back."""

    def get_wall(self) -> ids.WallTime:
        """Return seconds since the Unix epoch."""

    def get_processor(self) -> float:
        """Return the seconds of processor time of the calling thread."""


def read_monotonic() -> ids.MonotonicTime:
    """Return seconds since the start of the host, suspension included.

    ``time.monotonic`` stands still while a host is suspended, so a lease
    measured with it would outlast the one that other hosts measure.
    """
    return ids.MonotonicTime(time.clock_gettime(time.CLOCK_BOOTTIME))


class SystemClock:
    """The clock of the operating system."""

    def get_monotonic(self) -> ids.MonotonicTime:
        """Return seconds that never go back and include suspension."""
        return read_monotonic()

    def get_wall(self) -> ids.WallTime:
        """Return seconds since the Unix epoch."""
        return ids.WallTime(time.time())

    def get_processor(self) -> float:
        """Return the seconds of processor time of the calling thread."""
        return time.thread_time()


class ManualClock:
    """A clock for tests that is advanced explicitly."""

    def __init__(self, start: float = 1_800_000_000.0) -> None:
        self._wall = start
        self._monotonic = 1_000.0
        self._processor = 0.0

    def get_monotonic(self) -> ids.MonotonicTime:
        """Return seconds that never go back."""
        return ids.MonotonicTime(self._monotonic)

    def get_wall(self) -> ids.WallTime:
        """Return seconds since the Unix epoch."""
        return ids.WallTime(self._wall)

    def get_processor(self) -> float:
        """Return the processor time that the test has used up."""
        return self._processor

    def advance(self, seconds: float) -> None:
        """Advance both times."""
        self._wall += seconds
        self._monotonic += seconds

    def use_processor(self, seconds: float) -> None:
        """Add to the processor time only."""
        self._processor += seconds

    def jump_wall(self, seconds: float) -> None:
        """Change the wall time only, like a step of the system clock."""
        self._wall += seconds
