"""Bounds of the answer to one heartbeat.

Answers jobs of many small tasks: all tasks that fit on a worker may start with
one heartbeat, and so many orders fit neither into what a worker reads nor into
a message between processes. What is left goes into the next answer, which the
worker asks for soon.
"""

from __future__ import annotations

from collections.abc import Iterator

from orioleshore.jobs import calls
from orioleshore.jobs import pacing
from orioleshore.jobs import workers

# Bytes of the texts in these orders. Workers drop an answer over 4 MiB, in
# which JSON may escape each byte with six; a message between processes holds
# 983,040 bytes.
MAX_START_BYTES = 262_144
# Answers that a worker does not receive may be too large for its link, so each
# lost one in a row halves both bounds, down to these.
MIN_STARTS = 8
MIN_START_BYTES = 16_384
# Stop orders of one answer; each takes about 50 bytes.
MAX_STOPS = 2_000
# Bytes of an order besides its texts: names, numbers and separators.
ORDER_OVERHEAD_BYTES = 64


class StartOrders:
    """The start orders of one answer; the last one may exceed the bytes."""

    def __init__(self, max_starts: int, max_bytes: int) -> None:
        self._orders: list[calls.StartOrder] = []
        self._max_starts = max_starts
        self._bytes_left = max_bytes

    def __iter__(self) -> Iterator[calls.StartOrder]:
        return iter(self._orders)

    def __len__(self) -> int:
        return len(self._orders)

    @property
    def has_room(self) -> bool:
        """Return whether another order may be added."""
        return len(self._orders) < self._max_starts and self._bytes_left > 0

    def append(self, order: calls.StartOrder) -> None:
        """Add an order."""
        self._orders.append(order)
        self._bytes_left -= get_order_bytes(order)


def make_start_orders(
    worker: workers.Worker, pace: pacing.WorkPace
) -> StartOrders:
    """Return an empty list with the bounds for a worker."""
    return StartOrders(
        max(MIN_STARTS, pace.max_starts >> worker.lost_orders),
        max(MIN_START_BYTES, MAX_START_BYTES >> worker.lost_orders),
    )


def get_order_bytes(order: calls.StartOrder) -> int:
    """Return about how many bytes an order takes in an answer."""
    texts = (order.payload, order.checkpoint, order.ticket)
    return ORDER_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)
