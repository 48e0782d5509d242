"""Data folder of a consensus member: log segments, snapshots, identity."""

import fcntl
import os
import pathlib
import re
import uuid

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.consensus import events
from orioleshore.consensus import files
from orioleshore.consensus import log
from orioleshore.consensus import records
from orioleshore.consensus import segments
from orioleshore.consensus import snapshots
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.protocol import messages

FORMAT_VERSION = 1

_SEGMENT_NAME = re.compile(r'^log-(\d{20})$')
_SNAPSHOT_NAME = re.compile(r'^snapshot-(\d{20})$')
_TEMPORARY_NAME = re.compile(r'^(FORMAT|identity|(log|snapshot)-\d{20})\.tmp$')

StorageError = files.StorageError
DiskFullError = files.DiskFullError


class StoredState(msgspec.Struct):
    """Contents of a data folder when it was opened."""

    hard_state: events.HardState
    log: log.Log
    stamp: str


class Storage:
    """The data folder of one member.

    ``write`` and ``save_snapshot`` return once everything is synced. They
    raise DiskFullError if the disk has no room: nothing is stored then, and
    the call may be repeated. They raise StorageError on any other failure;
    every further call then fails as well.
    """

    def __init__(
        self, folder: str, operations: files.FileOperations | None = None
    ) -> None:
        path = pathlib.Path(folder)
        self._folder = files.DataFolder(
            path, operations or files.FileOperations()
        )
        self._path = path
        self._lock_descriptor: int | None = None
        self._segment_descriptor: int | None = None
        self._segment_length = 0
        # Whether bytes of a failed write may follow the complete records.
        self._has_partial_record = False
        self._hard_state = events.HardState()

    @property
    def segment_bytes(self) -> int:
        return self._segment_length

    @property
    def sync_count(self) -> int:
        return self._folder.sync_count

    @property
    def hard_state(self) -> events.HardState:
        return self._hard_state

    def open(self) -> Result[StoredState, errors.Failure]:
        """Lock the folder and load its contents.

        Fails with ``FOLDER_IN_USE``, ``FORMAT_UNSUPPORTED``,
        ``STORAGE_DAMAGED``, ``STORAGE_FAILED``, or ``STORAGE_FULL`` if the
        call may be repeated once the disk has room.
        """
        try:
            outcome = self._open_folder()
        except OSError as error:
            kind = errors.ErrorKind.STORAGE_FAILED
            if files.is_disk_full(error):
                kind = errors.ErrorKind.STORAGE_FULL
            outcome = _build_failure(
                kind, f'{self._path}: {error.strerror or error}'
            )
        except StorageError as error:
            outcome = Err(error.failure)
        if outcome.is_err():
            self.close()
        return outcome

    def close(self) -> None:
        """Close the segment and release the lock of the folder."""
        for descriptor in (self._segment_descriptor, self._lock_descriptor):
            if descriptor is not None:
                os.close(descriptor)
        self._segment_descriptor = None
        self._lock_descriptor = None

    def write(
        self,
        hard_state: events.HardState,
        entries: tuple[messages.Entry, ...],
    ) -> None:
        """Append a hard state, if changed, and entries with one sync."""
        parts = []
        if hard_state != self._hard_state:
            parts.append(segments.pack_hard_state(hard_state))
        parts += [segments.pack_entry(entry) for entry in entries]
        if not parts:
            return
        self._append_data(b''.join(parts))
        self._hard_state = hard_state

    def save_snapshot(
        self,
        snapshot: events.Snapshot,
        entries: tuple[messages.Entry, ...],
    ) -> None:
        """Store a snapshot and start a segment with the entries after it.

        Older files are removed only after the new ones are synced.
        """
        index = snapshot.last_index
        self._folder.create_file(
            f'snapshot-{index:020d}',
            records.pack_record(
                records.RecordType.SNAPSHOT,
                snapshots.encode_snapshot(snapshot),
            ),
        )
        parts = [segments.pack_hard_state(self._hard_state)]
        parts += [segments.pack_entry(entry) for entry in entries]
        data = b''.join(parts)
        name = _get_segment_name(index)
        self._folder.create_file(name, data)
        self._open_segment(name, len(data))
        self._remove_older_files(index)

    def _open_folder(self) -> Result[StoredState, errors.Failure]:
        self._path.mkdir(parents=True, exist_ok=True)
        outcome = self._acquire_lock()
        if outcome.is_err():
            return outcome
        self._folder.remove_files(self._find_files(_TEMPORARY_NAME))
        outcome = self._check_format()
        if outcome.is_err():
            return outcome
        return self._load_folder()

    def _acquire_lock(self) -> Result[None, errors.Failure]:
        self._lock_descriptor = os.open(
            self._path / 'LOCK', os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        )
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return _build_failure(
                errors.ErrorKind.FOLDER_IN_USE,
                f'data folder {self._path} is used by another process',
            )
        return Ok(None)

    def _check_format(self) -> Result[None, errors.Failure]:
        path = self._path / 'FORMAT'
        if not path.exists():
            if self._has_content():
                return self._build_damage_failure('FORMAT is missing')
            self._folder.create_file('FORMAT', f'{FORMAT_VERSION}\n'.encode())
            return Ok(None)
        found = path.read_bytes().decode(errors='replace').strip()
        if found != str(FORMAT_VERSION):
            return _build_failure(
                errors.ErrorKind.FORMAT_UNSUPPORTED,
                f'data folder {self._path} has format {found!r}, this '
                f'program reads format {FORMAT_VERSION}',
            )
        return Ok(None)

    def _has_content(self) -> bool:
        if self._find_files(_SEGMENT_NAME) or self._find_files(_SNAPSHOT_NAME):
            return True
        return (self._path / 'identity').exists()

    def _load_folder(self) -> Result[StoredState, errors.Failure]:
        if not (self._path / 'identity').exists():
            outcome = self._create_identity()
            if outcome.is_err():
                return outcome
        stamp = self._load_stamp()
        if stamp.is_err():
            return stamp
        snapshot = self._load_snapshot()
        if snapshot.is_err():
            return snapshot
        return self._load_log(stamp.unwrap(), snapshot.unwrap())

    def _create_identity(self) -> Result[None, errors.Failure]:
        """Create the first segment, then the identity with a new stamp.

        In this order, a folder with an identity always has a segment, so a
        lost log is never mistaken for the empty log of a new member.
        """
        first = _get_segment_name(0)
        blank = segments.pack_hard_state(events.HardState())
        other_segments = [
            name for name in self._find_files(_SEGMENT_NAME) if name != first
        ]
        path = self._path / first
        is_new = not path.exists() or path.read_bytes() == blank
        if other_segments or self._find_files(_SNAPSHOT_NAME) or not is_new:
            return self._build_damage_failure('identity is missing')
        self._folder.create_file(first, blank)
        stamp = uuid.uuid4().hex.encode()
        self._folder.create_file(
            'identity',
            records.pack_record(records.RecordType.IDENTITY, stamp),
        )
        return Ok(None)

    def _load_stamp(self) -> Result[str, errors.Failure]:
        payload = self._read_record_file(
            'identity', records.RecordType.IDENTITY
        )
        return payload.map(lambda content: content.decode())

    def _load_snapshot(
        self,
    ) -> Result[events.Snapshot | None, errors.Failure]:
        names = self._find_files(_SNAPSHOT_NAME)
        if not names:
            return Ok(None)
        payload = self._read_record_file(
            names[-1], records.RecordType.SNAPSHOT
        )
        try:
            return payload.map(snapshots.decode_snapshot)
        except decoding.DecodingError as error:
            return self._build_damage_failure(
                f'{names[-1]} is unreadable: {error}'
            )

    def _read_record_file(
        self, name: str, record_type: records.RecordType
    ) -> Result[bytes, errors.Failure]:
        """Return the payload of a file that consists of one record."""
        data = (self._path / name).read_bytes()
        record = records.read_record(data, 0)
        if record is None or record.record_type != record_type:
            return self._build_damage_failure(f'{name} has a wrong checksum')
        outcome = segments.check_version(record)
        if outcome.is_err():
            return self._build_segment_failure(name, outcome.unwrap_err())
        return Ok(record.payload)

    def _load_log(
        self, stamp: str, snapshot: events.Snapshot | None
    ) -> Result[StoredState, errors.Failure]:
        index = snapshot.last_index if snapshot else 0
        name = _get_segment_name(index)
        if not (self._path / name).exists():
            return self._load_older_segment(stamp, snapshot)
        outcome = self._read_segment(name, log.Log(snapshot, ()))
        if outcome.is_err():
            return outcome
        segment = outcome.unwrap()
        self._hard_state = segment.hard_state
        self._open_segment(name, segment.length, has_torn_tail=True)
        self._remove_older_files(index)
        return Ok(StoredState(segment.hard_state, segment.log, stamp))

    def _load_older_segment(
        self, stamp: str, snapshot: events.Snapshot | None
    ) -> Result[StoredState, errors.Failure]:
        """Complete ``save_snapshot`` after a crash before its new segment.

        The older segment still has all entries after the snapshot.
        """
        names = self._find_files(_SEGMENT_NAME)
        if snapshot is None or not names:
            return self._build_damage_failure(
                'a log segment or snapshot is missing'
            )
        start = int(_SEGMENT_NAME.match(names[-1]).group(1)) - 1
        if start > snapshot.last_index:
            return self._build_damage_failure('a snapshot is missing')
        base = events.Snapshot(
            ids.LogIndex(start), ids.Term(0), snapshot.members, b''
        )
        outcome = self._read_segment(names[-1], log.Log(base, ()))
        if outcome.is_err():
            return outcome
        segment = outcome.unwrap()
        if segment.log.get_term(snapshot.last_index) == snapshot.last_term:
            segment.log.compact(snapshot)
        else:
            # The log conflicts with the snapshot, which came from the leader.
            segment.log.reset(snapshot)
        later_entries = segment.log.get_entries(
            snapshot.last_index + 1, segment.log.last_index
        )
        self._hard_state = segment.hard_state
        self.save_snapshot(snapshot, later_entries)
        return Ok(StoredState(segment.hard_state, segment.log, stamp))

    def _read_segment(
        self, name: str, base: log.Log
    ) -> Result[segments.Segment, errors.Failure]:
        data = (self._path / name).read_bytes()
        outcome = segments.read_segment(data, base)
        if outcome.is_err():
            return self._build_segment_failure(name, outcome.unwrap_err())
        return outcome

    def _open_segment(
        self, name: str, length: int, has_torn_tail: bool = False
    ) -> None:
        """Open a segment for appending after its last complete record.

        An earlier run may have written records without a sync, so they are
        synced before this member acknowledges them.
        """
        if self._segment_descriptor is not None:
            os.close(self._segment_descriptor)
            self._segment_descriptor = None
        self._segment_descriptor = self._folder.open_for_append(name)
        self._segment_length = length
        self._has_partial_record = has_torn_tail
        self._remove_partial_record()
        self._folder.sync(self._segment_descriptor)
        self._write_sync_mark()

    def _append_data(self, data: bytes) -> None:
        self._remove_partial_record()
        self._has_partial_record = True
        self._folder.write(self._segment_descriptor, data)
        self._folder.sync(self._segment_descriptor)
        self._has_partial_record = False
        self._segment_length += len(data)
        self._write_sync_mark()

    def _remove_partial_record(self) -> None:
        """Cut the segment back to the end of its last complete record."""
        if not self._has_partial_record:
            return
        self._folder.truncate(self._segment_descriptor, self._segment_length)
        self._has_partial_record = False

    def _write_sync_mark(self) -> None:
        """Write a sync mark; on a full disk, the mark is left out.

        The records before the mark are synced, with or without it.
        """
        mark = segments.pack_sync_mark(self._segment_length)
        try:
            self._folder.write(self._segment_descriptor, mark)
        except DiskFullError:
            self._has_partial_record = True
            return
        self._segment_length += len(mark)

    def _remove_older_files(self, index: int) -> None:
        older = []
        for pattern, newest in (
            (_SEGMENT_NAME, index + 1),
            (_SNAPSHOT_NAME, index),
        ):
            for name in self._find_files(pattern):
                if int(pattern.match(name).group(1)) < newest:
                    older.append(name)
        self._folder.remove_files(older)

    def _find_files(self, pattern: re.Pattern) -> list[str]:
        return sorted(
            path.name
            for path in self._path.iterdir()
            if pattern.match(path.name)
        )

    def _build_segment_failure(
        self, name: str, problem: segments.Problem
    ) -> Err[errors.Failure]:
        if problem.kind is errors.ErrorKind.STORAGE_DAMAGED:
            return self._build_damage_failure(f'{name}: {problem.message}')
        return _build_failure(
            problem.kind, f'{self._path / name}: {problem.message}'
        )

    def _build_damage_failure(self, message: str) -> Err[errors.Failure]:
        return _build_failure(
            errors.ErrorKind.STORAGE_DAMAGED,
            f'data folder {self._path} is damaged: {message}; move it away '
            'and start with an empty folder, the leader then sends the log',
        )


def _get_segment_name(snapshot_index: int) -> str:
    return f'log-{snapshot_index + 1:020d}'


def _build_failure(
    kind: errors.ErrorKind, message: str
) -> Err[errors.Failure]:
    return Err(errors.Failure(kind, message))
