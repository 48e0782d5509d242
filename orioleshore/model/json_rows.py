"""Decoding of JSON lists row by row, so that one odd row spoils no other.

Objects and arrays are split without recursion and without decoding what is in
them, so a row may be nested to any depth or hold bytes that are no UTF-8.
"""

from collections.abc import Callable
import re
from typing import Any

import msgspec

from orioleshore.model import decoding

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(_STRING + rb'|["\[\]{},]', re.DOTALL)
_MEMBER = re.compile(rb'\s*(' + _STRING + rb')\s*:', re.DOTALL)
_TEXT_DECODER = decoding.make_json_decoder(str)

# Returns the text that names a row, None if it cannot be read.
KeyReader = Callable[[bytes], str | None]


class OddRow(msgspec.Struct, frozen=True):
    """A row that could not be decoded; ``key`` is None if nothing names it."""

    key: str | None
    error: str


class Rows(msgspec.Struct, frozen=True):
    """The rows of a list and those that could not be decoded."""

    rows: tuple[Any, ...]
    odd: tuple[OddRow, ...]


class RowDecoder:
    """Decodes a JSON array of one type of row."""

    def __init__(self, row_type: Any, read_key: KeyReader) -> None:
        self._decoder = decoding.make_json_decoder(row_type)
        self._read_key = read_key

    def decode(self, data: bytes) -> Rows:
        """Return the rows; raises DecodingError if it is no array."""
        rows, odd = [], []
        for item in split_array(data):
            try:
                rows.append(self._decoder.decode(item))
            except decoding.DecodingError as error:
                odd.append(OddRow(self._read_key(item), str(error)))
        return Rows(tuple(rows), tuple(odd))


def make_member_reader(name: str) -> KeyReader:
    """Return a function that reads the key from a member of an object."""

    def read_key(row: bytes) -> str | None:
        try:
            return _read_text(split_object(row).get(name))
        except decoding.DecodingError:
            return None

    return read_key


def make_item_reader(position: int) -> KeyReader:
    """Return a function that reads the key from an item of an array."""

    def read_key(row: bytes) -> str | None:
        try:
            items = split_array(row)
        except decoding.DecodingError:
            return None
        return _read_text(items[position] if position < len(items) else None)

    return read_key


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the encoded members of a JSON object by name.

    Raises DecodingError if it is no object.
    """
    members = {}
    for part in _split(data, b'{'):
        match = _MEMBER.match(part)
        if match is None:
            raise decoding.DecodingError('a member of an object has no name')
        name = _TEXT_DECODER.decode(match.group(1))
        members[name] = part[match.end() :].strip()
    return members


def split_array(data: bytes) -> list[bytes]:
    """Return the encoded items of a JSON array.

    Raises DecodingError if it is no array.
    """
    return _split(data, b'[')


def _split(data: bytes, opening: bytes) -> list[bytes]:
    if len(data) > decoding.MAX_BYTES:
        raise decoding.DecodingError(f'{len(data)} bytes exceed the limit')
    if not data.lstrip().startswith(opening):
        raise decoding.DecodingError(f'expected {opening.decode()!r}')
    parts: list[bytes] = []
    depth = 0
    start = 0
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token in (b'[', b'{'):
            depth += 1
            if depth == 1:
                start = match.end()
        elif token == b',' and depth == 1:
            parts.append(data[start : match.start()].strip())
            start = match.end()
        elif token in (b']', b'}'):
            depth -= 1
            if depth:
                continue
            if data[match.end() :].strip():
                raise decoding.DecodingError('data follows the end')
            last = data[start : match.start()].strip()
            return [*parts, last] if last or parts else []
        elif token == b'"':
            raise decoding.DecodingError('a text has no end')
    raise decoding.DecodingError('the data has no end')


def _read_text(data: bytes | None) -> str | None:
    if data is None:
        return None
    try:
        return _TEXT_DECODER.decode(data) or None
    except decoding.DecodingError:
        return None
