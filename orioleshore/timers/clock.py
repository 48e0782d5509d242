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


class ManualClock:
    """A clock for tests that is advanced explicitly."""

    def __init__(self, start: float = 1_800_000_000.0) -> None:
        self._wall = start
        self._monotonic = 1_000.0

    def get_monotonic(self) -> ids.MonotonicTime:
        """Return seconds that never go back."""
        return ids.MonotonicTime(self._monotonic)

    def get_wall(self) -> ids.WallTime:
        """Return seconds since the Unix epoch."""
        return ids.WallTime(self._wall)

    def advance(self, seconds: float) -> None:
        """Advance both times."""
        self._wall += seconds
        self._monotonic += seconds

    def jump_wall(self, seconds: float) -> None:
        """Change the wall time only, like a step of the system clock."""
        self._wall += seconds
