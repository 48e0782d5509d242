"""Decoding of JSON lists row by row, so that one odd row spoils no other.

Objects and arrays are split without recursion and without decoding what is in
them, so a row may be nested to any depth or hold bytes that are no UTF-8.
"""

from collections.abc import Callable
import re
from typing import Any

import msgspec

from orioleshore.model import decoding

# The quantifiers are possessive, so that no input makes a pattern slow.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# All up to the next bracket, and all up to the next bracket or comma.
_INNER = re.compile(
    rb'(?:[^"\[\]{}]++|' + _STRING + rb')*+([\[\]{}])', re.DOTALL
)
_OUTER = re.compile(
    rb'(?:[^"\[\]{},]++|' + _STRING + rb')*+([\[\]{},])', re.DOTALL
)
_MEMBER = re.compile(rb'\s*(' + _STRING + rb')\s*:', re.DOTALL)
# A list with more odd rows is not what it is read as; decoding them one by
# one would hold up the process.
MAX_ODD_ROWS = 500
# Brackets and commas that are looked at before a list is refused. A list of
# 19,000 hosts has fewer.
MAX_TOKENS = 200_000
_TEXT_DECODER = decoding.make_json_decoder(str)
_RAW_ARRAY_DECODER = decoding.make_json_decoder(tuple[msgspec.Raw, ...])
_RAW_OBJECT_DECODER = decoding.make_json_decoder(dict[str, msgspec.Raw])

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
        """Return the rows.

        Raises DecodingError if it is no array, or more than ``MAX_ODD_ROWS``
        rows cannot be decoded.
        """
        rows, odd = [], []
        for item in split_array(data):
            if len(odd) > MAX_ODD_ROWS:
                raise decoding.DecodingError(
                    f'more than {MAX_ODD_ROWS} rows are odd'
                )
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
    try:
        members = _RAW_OBJECT_DECODER.decode(data)
        return {name: bytes(value) for name, value in members.items()}
    except decoding.DecodingError:
        return _split_object_slowly(data)


def split_array(data: bytes) -> list[bytes]:
    """Return the encoded items of a JSON array.

    Raises DecodingError if it is no array.
    """
    try:
        return [bytes(item) for item in _RAW_ARRAY_DECODER.decode(data)]
    except decoding.DecodingError:
        return _split(data, b'[')


def _split_object_slowly(data: bytes) -> dict[str, bytes]:
    members = {}
    for part in _split(data, b'{'):
        match = _MEMBER.match(part)
        if match is None:
            raise decoding.DecodingError('a member of an object has no name')
        name = _TEXT_DECODER.decode(match.group(1))
        members[name] = part[match.end() :].strip()
    return members


def _split(data: bytes, opening: bytes) -> list[bytes]:
    """Return what stands between the commas of the outermost container.

    The library splits ten times as fast, but not what is nested too deeply
    or no JSON.
    """
    if len(data) > decoding.MAX_BYTES:
        raise decoding.DecodingError(f'{len(data)} bytes exceed the limit')
    start = len(data) - len(data.lstrip()) + 1
    if data[start - 1 : start] != opening:
        raise decoding.DecodingError(f'expected {opening.decode()!r}')
    parts: list[bytes] = []
    depth, position = 1, start
    for _ in range(MAX_TOKENS):
        pattern = _OUTER if depth == 1 else _INNER
        match = pattern.match(data, position)
        if match is None:
            raise decoding.DecodingError('the data has no end')
        position = match.end()
        token = match.group(1)
        if token == b',':
            parts.append(data[start : position - 1].strip())
            start = position
        else:
            depth += 1 if token in b'[{' else -1
            if not depth:
                break
    else:
        raise decoding.DecodingError('too many brackets')
    if data[position:].strip():
        raise decoding.DecodingError('data follows the end')
    last = data[start : position - 1].strip()
    return [*parts, last] if last or parts else []


def _read_text(data: bytes | None) -> str | None:
    if data is None:
        return None
    try:
        return _TEXT_DECODER.decode(data) or None
    except decoding.DecodingError:
        return None
