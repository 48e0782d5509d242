"""Log lines read back from files of any number of hosts."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import re

import msgspec

_PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')
_ESCAPED = re.compile(r'\\(.)')
_ESCAPES = {'n': '\n', 'r': '\r', 't': '\t'}
_START = b'time='
_EVENT = b' event='
# Pairs that the formatter of the log writes before those of the event.
_HEAD = frozenset({'time', 'level', 'node', 'logger', 'event'})


class LogLine(msgspec.Struct, frozen=True):
    """One event of one process; ``time`` is the host's own wall time."""

    time: str
    node: str
    event: str
    pairs: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Return a log line, None for other text.

    What stands before the time, like the prefix of a log collector, is left
    out.
    """
    start = text.find(_START.decode())
    if start < 0:
        return None
    head: dict[str, str] = {}
    pairs: dict[str, str] = {}
    for key, value in _PAIR.findall(text, start):
        # An event may have a pair that is named like one of the head.
        is_head = key in _HEAD and key not in head
        (head if is_head else pairs)[key] = _unquote(value)
    if 'event' not in head:
        return None
    return LogLine(head['time'], head.get('node', '-'), head['event'], pairs)


def find_containing(
    paths: Iterable[pathlib.Path], needle: str
) -> Iterator[LogLine]:
    """Yield the lines of all files that contain a text.

    Raises OSError if a file cannot be read.
    """
    wanted = needle.encode()
    return _find(paths, lambda line: wanted in line)


def find_events(
    paths: Iterable[pathlib.Path], names: Iterable[str]
) -> Iterator[LogLine]:
    """Yield the lines of all files with one of the events.

    Raises OSError if a file cannot be read.
    """
    wanted = {name.encode() for name in names}

    def has_event(line: bytes) -> bool:
        start = line.find(_EVENT) + len(_EVENT)
        if start < len(_EVENT):
            return False
        end = line.find(b' ', start)
        name = line[start:end] if end >= 0 else line[start:].rstrip()
        return name in wanted

    return _find(paths, has_event)


def _find(
    paths: Iterable[pathlib.Path], matches: Callable[[bytes], bool]
) -> Iterator[LogLine]:
    for path in paths:
        with path.open('rb') as file:
            for line in file:
                if not matches(line):
                    continue
                parsed = parse_line(line.decode('utf-8', 'replace').rstrip())
                if parsed is not None:
                    yield parsed


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(
        lambda match: _ESCAPES.get(match[1], match[1]), value[1:-1]
    )
