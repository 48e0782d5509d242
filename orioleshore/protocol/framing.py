"""Frames of a stream: a 4-byte big-endian length, then the payload."""

import asyncio
import struct

from result import Err
from result import Ok
from result import Result

from orioleshore.model import errors

MAX_FRAME_BYTES = 1_048_576

_LENGTH = struct.Struct('>I')


def pack_frame(payload: bytes) -> bytes:
    """Return a frame with the payload.

    Raises ValueError when the payload exceeds ``MAX_FRAME_BYTES``.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(
            f'a frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES}'
        )
    return _LENGTH.pack(len(payload)) + payload


async def read_frame(
    reader: asyncio.StreamReader,
) -> Result[bytes, errors.Failure]:
    """Return the next payload.

    Fails with ``PEER_UNREACHABLE`` when the stream ends, and with
    ``PROTOCOL_ERROR`` when the frame is longer than allowed.
    """
    try:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            return Err(
                errors.Failure(
                    errors.ErrorKind.PROTOCOL_ERROR,
                    f'frame of {length} bytes exceeds {MAX_FRAME_BYTES}',
                )
            )
        return Ok(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, OSError) as error:
        return Err(
            errors.Failure(
                errors.ErrorKind.PEER_UNREACHABLE, f'stream ended: {error}'
            )
        )
