"""Large values between processes and in the log, compressed and bounded.

A document of 19,000 hosts is 3.6 MB as one command, a frame holds 1 MiB.
"""

import zlib

from result import Err
from result import Ok
from result import Result

from orioleshore.model import errors

# Leaves room for the envelope within a frame of 1 MiB.
MAX_PACKED_BYTES = 983_040
MAX_UNPACKED_BYTES = 64 * 1_048_576
# Smaller values gain less than the time that compression takes.
MIN_COMPRESSED_BYTES = 65_536

# First byte of a zlib stream; neither msgpack maps nor JSON objects, the
# only other contents, start with it.
_ZLIB_FIRST_BYTE = b'\x78'


def pack(data: bytes) -> Result[bytes, errors.Failure]:
    """Return a value as it travels; fails with ``REQUEST_TOO_LARGE``."""
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
    """Return the value; raises ValueError when it is not whole."""
    if data[:1] != _ZLIB_FIRST_BYTE:
        return data
    stream = zlib.decompressobj()
    try:
        unpacked = stream.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f'a compressed value is damaged: {error}') from error
    if not stream.eof:
        raise ValueError(
            f'a compressed value is torn or exceeds {MAX_UNPACKED_BYTES} bytes'
        )
    return unpacked
