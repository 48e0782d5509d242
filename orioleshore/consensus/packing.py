"""Compression and size limits of values that are sent or logged.

A document of 19,000 hosts is a command of 3.6 MB, but a frame of the
transport holds 1 MiB.
"""

import zlib

from result import Err
from result import Ok
from result import Result

from orioleshore.model import decoding
from orioleshore.model import errors

# Leaves space for the envelope in a frame of 1 MiB.
MAX_PACKED_BYTES = 983_040
MAX_UNPACKED_BYTES = 64 * 1_048_576
# For smaller values, compression costs more time than it saves.
MIN_COMPRESSED_BYTES = 65_536

# First byte of a zlib stream. Uncompressed values are msgpack maps or JSON
# objects, which never start with this byte.
_ZLIB_FIRST_BYTE = b'\x78'


def pack(data: bytes) -> Result[bytes, errors.Failure]:
    """Return a value in its sent form, compressed if it is large.

    Fails with ``REQUEST_TOO_LARGE``.
    """
    packed = data
    if len(data) >= MIN_COMPRESSED_BYTES:
        packed = zlib.compress(data, 1)
    if len(packed) <= MAX_PACKED_BYTES and len(data) <= MAX_UNPACKED_BYTES:
        return Ok(packed)
    return Err(
        errors.Failure(
            errors.ErrorKind.REQUEST_TOO_LARGE,
            f'{len(data)} bytes, {len(packed)} compressed, exceed '
            f'{MAX_PACKED_BYTES} compressed bytes',
        )
    )


def unpack(data: bytes) -> bytes:
    """Return the original value.

    Raises DecodingError if the compressed data is damaged, incomplete or too
    large.
    """
    if data[:1] != _ZLIB_FIRST_BYTE:
        return data
    stream = zlib.decompressobj()
    try:
        unpacked = stream.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise decoding.DecodingError(
            f'a compressed value is damaged: {error}'
        ) from error
    if not stream.eof:
        raise decoding.DecodingError(
            'a compressed value is incomplete or exceeds '
            f'{MAX_UNPACKED_BYTES} bytes'
        )
    return unpacked
