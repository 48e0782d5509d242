"""Records of log segments: hard state, entries and sync marks."""

import struct

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.consensus import records
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.protocol import messages

_OFFSET = struct.Struct('>Q')

_HARD_STATE_DECODER = decoding.make_msgpack_decoder(events.HardState)
_ENTRY_DECODER = decoding.make_msgpack_decoder(messages.Entry)


class Segment(msgspec.Struct):
    """Contents of a segment; ``length`` is that of its complete records.

    ``length`` is in bytes. A torn tail after it is not included.
    """

    hard_state: events.HardState
    log: log.Log
    length: int


class Problem(msgspec.Struct, frozen=True):
    """Why a file cannot be used."""

    kind: errors.ErrorKind
    message: str


def pack_hard_state(hard_state: events.HardState) -> bytes:
    """Return the record of a hard state."""
    return records.pack_record(
        records.RecordType.HARD_STATE, msgspec.msgpack.encode(hard_state)
    )


def pack_entry(entry: messages.Entry) -> bytes:
    """Return the record of a log entry."""
    return records.pack_record(
        records.RecordType.ENTRY, msgspec.msgpack.encode(entry)
    )


def pack_sync_mark(offset: int) -> bytes:
    """Return the sync mark: all bytes before ``offset`` are synced.

    The mark is written at ``offset`` after each sync and is not synced itself.
    A damaged record before a mark cannot be a torn tail, so it is reported
    and never truncated.
    """
    return records.pack_record(records.RecordType.SYNCED, _OFFSET.pack(offset))


def read_segment(data: bytes, base: log.Log) -> Result[Segment, Problem]:
    """Return the contents of a segment on top of a base log.

    A torn tail is left out; other damage is reported as a problem.
    """
    first = records.read_record(data, 0)
    if first is None or first.record_type != records.RecordType.HARD_STATE:
        return _build_damage_failure('the hard state at its start is damaged')
    segment = Segment(events.HardState(), base, 0)
    while segment.length < len(data):
        record = records.read_record(data, segment.length)
        if record is None:
            return _check_tail(data, segment)
        try:
            outcome = _apply_record(record, segment)
        except decoding.DecodingError as error:
            return _build_damage_failure(
                f'the record at byte {segment.length} is unreadable: {error}'
            )
        if outcome.is_err():
            return outcome
        segment.length = record.end
    return Ok(segment)


def _check_tail(data: bytes, segment: Segment) -> Result[Segment, Problem]:
    """Accept a torn tail; report any other unreadable record as damage.

    After a power loss, each write since the last sync may independently be
    present, torn or missing, so complete entries may follow a torn one. Only
    a sync mark proves that the bytes before it were synced.
    """
    if _has_sync_mark_after(data, segment.length):
        return _build_damage_failure(
            f'the record at byte {segment.length} is damaged'
        )
    return Ok(segment)


def _has_sync_mark_after(data: bytes, offset: int) -> bool:
    for position, record in records.find_records(data, offset):
        if record.record_type != records.RecordType.SYNCED:
            continue
        if _OFFSET.unpack(record.payload) == (position,):
            return True
    return False


def _apply_record(
    record: records.Record, segment: Segment
) -> Result[None, Problem]:
    outcome = check_version(record)
    if outcome.is_err():
        return outcome
    if record.record_type == records.RecordType.HARD_STATE:
        segment.hard_state = _HARD_STATE_DECODER.decode(record.payload)
        return Ok(None)
    if record.record_type == records.RecordType.SYNCED:
        return _check_sync_mark(record, segment)
    if record.record_type != records.RecordType.ENTRY:
        return _build_damage_failure(
            f'unexpected record type {record.record_type}'
        )
    entry = _ENTRY_DECODER.decode(record.payload)
    if entry.index > segment.log.last_index + 1:
        return _build_damage_failure(
            f'entry {segment.log.last_index + 1} is missing'
        )
    if entry.index > segment.log.snapshot_index:
        segment.log.append((entry,))
    return Ok(None)


def check_version(record: records.Record) -> Result[None, Problem]:
    """Refuse a record with a version that this program cannot read."""
    if record.version == records.RECORD_VERSION:
        return Ok(None)
    return Err(
        Problem(
            errors.ErrorKind.FORMAT_UNSUPPORTED,
            f'a record has version {record.version}, this program reads '
            f'version {records.RECORD_VERSION}',
        )
    )


def _check_sync_mark(
    record: records.Record, segment: Segment
) -> Result[None, Problem]:
    (offset,) = _OFFSET.unpack(record.payload)
    if offset != segment.length:
        return _build_damage_failure(
            f'the sync mark at byte {segment.length} was written for byte '
            f'{offset}'
        )
    return Ok(None)


def _build_damage_failure(message: str) -> Err[Problem]:
    return Err(Problem(errors.ErrorKind.STORAGE_DAMAGED, message))
