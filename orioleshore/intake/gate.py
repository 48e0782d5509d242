"""Applies the budget of a process to its connections."""

import asyncio
import collections
from collections.abc import Callable
import itertools
import logging
import time

from orioleshore.intake import budget
from orioleshore.model import ids
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Interval in seconds at which time limits are checked while a request is
# incomplete or an answer is unread; otherwise there is no timer.
CHECK_INTERVAL_S = 1.0
# Closed connections are logged once for each reason in this time, in seconds,
# so that a crowd cannot fill the log.
LOG_INTERVAL_S = 10.0

CloseCallback = Callable[[budget.Reason], None]


class Gate:
    """Registers the connections of all listening addresses of a process.

    A task that owns a socket reports what it holds, and is called back when
    its connection has to be closed. It then closes the socket itself. Times
    stand still while the host is suspended, since peers cannot send then.
    """

    def __init__(self, limits: budget.Limits) -> None:
        self._limits = limits
        self._budget = budget.Budget(limits)
        self._numbers = itertools.count(1)
        self._close_callbacks: dict[ids.ConnectionId, CloseCallback] = {}
        self._closed: collections.Counter[budget.Reason] = (
            collections.Counter()
        )
        self._logged_at: dict[budget.Reason, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def limits(self) -> budget.Limits:
        return self._limits

    @property
    def counters(self) -> dict[str, int]:
        """Return bytes and connections held, and closings by reason."""
        return {
            'held_bytes': self._budget.used,
            'open_connections': self._budget.connections,
            **{reason.value: self._closed[reason] for reason in budget.Reason},
        }

    def open(self, close: CloseCallback) -> ids.ConnectionId:
        """Register a connection; ``close`` may be called at once."""
        connection = ids.ConnectionId(next(self._numbers))
        self._close_callbacks[connection] = close
        self._apply(self._budget.open(connection, time.monotonic()))
        return connection

    def close(self, connection: ids.ConnectionId) -> None:
        """Remove a connection that has ended."""
        self._close_callbacks.pop(connection, None)
        self._budget.close(connection)

    def record(
        self, connection: ids.ConnectionId, phase: budget.Phase, held: int
    ) -> None:
        """Record what a connection waits for and the bytes that it holds."""
        closings = self._budget.record(
            connection, phase, held, time.monotonic()
        )
        if closings:
            self._apply(closings)
        if self._timer is None and self._budget.has_timed:
            self._start_timer()

    def report(self, reason: budget.Reason, peer: object) -> None:
        """Count and log a connection that is closed for a reason."""
        self._closed[reason] += 1
        now = time.monotonic()
        if now - self._logged_at.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at[reason] = now
        LOG.warning(
            logs.format_event(
                'connection_closed_early',
                reason=reason,
                peer=peer,
                count=self._closed[reason],
                connections=self._budget.connections,
                held_bytes=self._budget.used,
            )
        )

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check_times
        )

    def _check_times(self) -> None:
        self._timer = None
        self._apply(self._budget.expire(time.monotonic()))
        if self._budget.has_timed:
            self._start_timer()

    def _apply(self, closings: list[budget.Closing]) -> None:
        for closing in closings:
            close = self._close_callbacks.get(closing.connection)
            if close is not None:
                close(closing.reason)
