"""Decoding of what other processes and files contain, with one error type.

Every reader uses the decoders of this module. The types bound the depth of
what is kept. Unknown fields are skipped, but ``msgspec`` raises
``RecursionError``, which is no ``MsgspecError``, when they are nested deeper
than the interpreter's stack allows.
"""

import sys
from typing import Any

import msgspec

# Larger than the largest body of the platform's interfaces, 4 MiB.
MAX_BYTES = 8_388_608
# For documents and dumps, which are compressed when they are sent.
MAX_PLAIN_BYTES = 67_108_864
# For records of the data folder, which the group wrote and limits itself.
UNLIMITED_BYTES = sys.maxsize
# Deepest nesting of data without a type, such as documents of operators.
MAX_DEPTH = 32
MAX_ERROR_LENGTH = 200

# What the libraries raise for data of any content: RecursionError for deep
# nesting, OverflowError and ValueError for numbers and texts, TypeError for
# keys of maps, MemoryError for lengths that no memory can hold.
DATA_ERRORS = (
    msgspec.MsgspecError,
    ArithmeticError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)


class DecodingError(msgspec.ValidationError):
    """Data that cannot be decoded, whatever the reason."""


class Decoder:
    """Decodes one type from one encoding.

    Raises DecodingError, and no other error, for data that it cannot decode.
    """

    def __init__(
        self,
        decoder: msgspec.json.Decoder | msgspec.msgpack.Decoder,
        max_bytes: int = MAX_BYTES,
    ) -> None:
        self._decoder = decoder
        self._max_bytes = max_bytes

    def decode(self, data: bytes) -> Any:
        """Return the decoded value."""
        if len(data) > self._max_bytes:
            raise DecodingError(
                f'{len(data)} bytes exceed the limit of {self._max_bytes}'
            )
        try:
            return self._decoder.decode(data)
        except DATA_ERRORS as error:
            raise make_error(error) from error


def make_json_decoder(
    expected_type: Any, max_bytes: int = MAX_BYTES
) -> Decoder:
    """Return a decoder of JSON."""
    return Decoder(msgspec.json.Decoder(expected_type), max_bytes)


def make_msgpack_decoder(
    expected_type: Any, max_bytes: int = MAX_BYTES
) -> Decoder:
    """Return a decoder of MessagePack."""
    return Decoder(msgspec.msgpack.Decoder(expected_type), max_bytes)


_CONTAINERS = (dict, list, tuple)
_PLAIN_JSON_DECODER = make_json_decoder(Any, MAX_PLAIN_BYTES)


def decode_plain_json(data: bytes | str) -> Any:
    """Return JSON data without a type.

    Raises DecodingError, also if it is nested deeper than ``MAX_DEPTH``.
    """
    if isinstance(data, str):
        try:
            data = data.encode()
        except UnicodeEncodeError as error:
            raise make_error(error) from error
    value = _PLAIN_JSON_DECODER.decode(data)
    check_depth(value)
    return value


def check_depth(value: Any) -> None:
    """Raise DecodingError if lists and mappings are nested too deeply."""
    level = {id(value): value}
    for _ in range(MAX_DEPTH + 1):
        # By identity, since YAML may name one list in many places.
        level = {
            id(item): item
            for parent in level.values()
            for item in _get_items(parent)
            if isinstance(item, _CONTAINERS)
        }
        if not level:
            return
    raise DecodingError(f'nested deeper than {MAX_DEPTH}')


def _get_items(value: Any) -> Any:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, _CONTAINERS) else ()


def make_error(error: BaseException) -> DecodingError:
    """Return the DecodingError for an error that a library raised."""
    text = str(error) or type(error).__name__
    return DecodingError(text[:MAX_ERROR_LENGTH])
