"""Format of the checksummed, versioned records in a data folder."""

import collections.abc
import enum
import struct
import zlib

import msgspec

MAGIC = b'\xa7OR1'
RECORD_VERSION = 1

# Magic, type, version, payload length, CRC32 of type, version, length and
# payload.
_HEADER = struct.Struct('>4sBBII')
_CHECKSUM_INPUT = struct.Struct('>BBI')
HEADER_BYTES = _HEADER.size


class RecordType(enum.IntEnum):
    """Type of a record; the numbers are stored."""

    HARD_STATE = 1
    ENTRY = 2
    SNAPSHOT = 3
    IDENTITY = 4
    # All bytes of the file before this record are synced.
    SYNCED = 5


class Record(msgspec.Struct, frozen=True):
    """One record; ``end`` is the offset of the byte after it."""

    record_type: int
    version: int
    payload: bytes
    end: int


def pack_record(record_type: RecordType, payload: bytes) -> bytes:
    """Return the stored form of a record."""
    checksum = _get_checksum(record_type, RECORD_VERSION, payload)
    header = _HEADER.pack(
        MAGIC, record_type, RECORD_VERSION, len(payload), checksum
    )
    return header + payload


def read_record(data: bytes, offset: int) -> Record | None:
    """Return the record at an offset, None if it is torn or damaged."""
    if len(data) - offset < HEADER_BYTES:
        return None
    magic, record_type, version, length, checksum = _HEADER.unpack_from(
        data, offset
    )
    end = offset + HEADER_BYTES + length
    if magic != MAGIC or end > len(data):
        return None
    payload = data[offset + HEADER_BYTES : end]
    if checksum != _get_checksum(record_type, version, payload):
        return None
    return Record(record_type, version, payload, end)


def find_records(
    data: bytes, offset: int
) -> collections.abc.Iterator[tuple[int, Record]]:
    """Yield the position and content of each record after an offset.

    Records are found by their magic, so damaged bytes in between are skipped.
    """
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        record = read_record(data, position)
        if record is not None:
            yield position, record
        position = data.find(MAGIC, position + 1)


def _get_checksum(record_type: int, version: int, payload: bytes) -> int:
    checked = _CHECKSUM_INPUT.pack(record_type, version, len(payload))
    return zlib.crc32(payload, zlib.crc32(checked))
