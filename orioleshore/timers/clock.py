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


class SystemClock:
    """The clock of the operating system."""

    def get_monotonic(self) -> ids.MonotonicTime:
        """Return seconds that never go back."""
        return ids.MonotonicTime(time.monotonic())

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
