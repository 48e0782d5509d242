"""Log lines of key=value pairs, one line per event."""

import enum
import logging
import sys
from typing import Any

from orioleshore.telemetry import output

_NEEDS_QUOTES = frozenset(' ="\\\n\r\t')
_ESCAPES = str.maketrans(
    {'\\': '\\\\', '"': '\\"', '\n': '\\n', '\r': '\\r', '\t': '\\t'}
)


def format_event(event: str, **pairs: Any) -> str:
    """Return an event and its pairs as one line; values are quoted."""
    parts = [f'event={_format_value(event)}']
    parts += [f'{key}={_format_value(pairs[key])}' for key in pairs]
    return ' '.join(parts)


def _format_value(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, enum.Enum):
        return _format_value(value.value)
    if isinstance(value, float):
        return f'{value:.6g}'
    if isinstance(value, (tuple, list, set, frozenset)):
        value = ','.join(str(item) for item in value)
    text = str(value)
    if text and not _NEEDS_QUOTES.intersection(text) and text.isprintable():
        return text
    return f'"{text.translate(_ESCAPES)}"'


class KeyValueFormatter(logging.Formatter):
    """Prepends time, level, node and logger to the pairs of an event."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        message = record.getMessage()
        if not message.startswith('event='):
            message = format_event('message', text=message)
        line = (
            f'time={self.formatTime(record)}.{int(record.msecs):03d} '
            f'level={record.levelname.lower()} node={self._node} '
            f'logger={record.name} {message}'
        )
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            line = f'{line} trace={_format_value(trace)}'
        return line

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the local time in ISO 8601 format."""
        return super().formatTime(record, datefmt or '%Y-%m-%dT%H:%M:%S')


def configure(node: str, level: str) -> None:
    """Write all log lines of the process to standard output."""
    handler = output.BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(KeyValueFormatter(node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # aiohttp logs every request; the events of this program cover these.
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)
