"""Writes to the data folder of a member, outside the event loop."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import aiomisc

from orioleshore.consensus import events
from orioleshore.consensus import storage
from orioleshore.model import errors
from orioleshore.protocol import messages
from orioleshore.timers import clock


class Writer:
    """Calls the storage in a thread and measures the time that it takes.

    A full disk is reported to the caller as ``DiskFullError``. Any other
    failure is kept, and raised as ``StorageError`` to stop the process.
    """

    def __init__(self, files: storage.Storage, source: clock.Clock) -> None:
        self._storage = files
        self._clock = source
        self._sync_seconds = 0.0
        self._failure: errors.Failure | None = None

    @property
    def failure(self) -> errors.Failure | None:
        return self._failure

    @property
    def sync_seconds(self) -> float:
        """The time spent on writes and syncs, in seconds."""
        return self._sync_seconds

    async def write_persists(self, persists: Sequence[events.Persist]) -> None:
        """Write the entries of all actions, and the last hard state."""
        entries: list[messages.Entry] = []
        for persist in persists:
            entries += persist.entries
        await self._call_storage(
            self._storage.write, persists[-1].hard_state, tuple(entries)
        )

    async def save_snapshot(
        self, snapshot: events.Snapshot, rest: Sequence[messages.Entry]
    ) -> None:
        """Replace the stored log by a snapshot and the entries behind it."""
        await self._call_storage(self._storage.save_snapshot, snapshot, rest)

    async def _call_storage(
        self, function: Callable[..., Any], *arguments: Any
    ) -> None:
        started_at = self._clock.get_monotonic()
        try:
            await aiomisc.threaded(function)(*arguments)
        except storage.DiskFullError:
            raise
        except storage.StorageError as error:
            self._failure = error.failure
            raise
        self._sync_seconds += self._clock.get_monotonic() - started_at
