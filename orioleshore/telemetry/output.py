"""Log lines on standard output: limited in rate, written without blocking."""

import collections
import errno
import logging
import os
import time

# Maximum lines per second of one kind of event; a busy leader accepts and ends
# about this many jobs per second.
MAX_LINES_PER_S = 200
# Maximum size in bytes of the lines that are buffered for a stalled reader.
MAX_BACKLOG_BYTES = 1_048_576


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor in non-blocking mode.

    Dropped lines are counted by kind of event; the counts are logged as
    ``lines_left_out``. Warnings and errors are dropped only if the reader
    stalls.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._dropped_lines = 0

    @property
    def dropped_lines(self) -> int:
        """Return how many lines were dropped since the start."""
        return self._dropped_lines

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line, or count it as dropped."""
        event = _get_event(record.getMessage())
        self._start_second(record)
        is_limited = record.levelno < logging.WARNING
        if is_limited and self._written[event] >= MAX_LINES_PER_S:
            self._count_dropped(event)
            return
        self._written[event] += 1
        self._queue_line(self.format(record), event)

    def _start_second(self, record: logging.LogRecord) -> None:
        second = int(time.monotonic())
        if second == self._second:
            return
        self._second = second
        self._written.clear()
        if not self._dropped:
            return
        counts = ','.join(
            f'{event}:{count}'
            for event, count in sorted(self._dropped.items())
        )
        self._dropped.clear()
        summary = logging.LogRecord(
            __name__,
            logging.WARNING,
            record.pathname,
            0,
            f'event=lines_left_out counts={counts}',
            None,
            None,
        )
        self._queue_line(self.format(summary), 'lines_left_out')

    def _queue_line(self, line: str, event: str) -> None:
        data = line.encode('utf-8', 'replace') + b'\n'
        if self._backlog_bytes + len(data) > MAX_BACKLOG_BYTES:
            self._count_dropped(event)
        else:
            self._backlog.append(data)
            self._backlog_bytes += len(data)
        self._flush_backlog()

    def _flush_backlog(self) -> None:
        while self._backlog:
            data = self._backlog[0]
            try:
                count = os.write(self._descriptor, data)
            except OSError as error:
                # A stalled or closed reader must not stop the process. The
                # backlog is written with a later line, unless the reader is
                # gone.
                if error.errno in (errno.EPIPE, errno.EBADF):
                    self._backlog.clear()
                    self._backlog_bytes = 0
                return
            self._backlog_bytes -= count
            if count < len(data):
                self._backlog[0] = data[count:]
                return
            self._backlog.popleft()

    def _count_dropped(self, event: str) -> None:
        self._dropped[event] += 1
        self._dropped_lines += 1


def _get_event(message: str) -> str:
    """Return the event of a log message, ``message`` if it has none."""
    if not message.startswith('event='):
        return 'message'
    return message[6:].partition(' ')[0]
