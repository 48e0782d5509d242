"""Files of a consensus member: log segments, snapshots and identity."""

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
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.protocol import messages

FORMAT_VERSION = 1

_SEGMENT = re.compile(r'^log-(\d{20})$')
_SNAPSHOT = re.compile(r'^snapshot-(\d{20})$')
_TEMPORARY = re.compile(r'^(FORMAT|identity|(log|snapshot)-\d{20})\.tmp$')

StorageError = files.StorageError


class Loaded(msgspec.Struct):
    """What a folder held when it was opened."""

    hard_state: events.HardState
    log: log.Log
    stamp: str


class Storage:
    """The data folder of one member.

    ``write`` and ``save_snapshot`` return once everything is synced. They
    raise StorageError, after which every further call fails.
    """

    def __init__(self, folder: str, calls: files.Files | None = None) -> None:
        path = pathlib.Path(folder)
        self._folder = files.Folder(path, calls or files.Files())
        self._path = path
        self._lock: int | None = None
        self._segment: int | None = None
        self._length = 0
        self._hard_state = events.HardState()

    @property
    def sync_count(self) -> int:
        return self._folder.sync_count

    @property
    def hard_state(self) -> events.HardState:
        return self._hard_state

    def open(self) -> Result[Loaded, errors.Failure]:
        """Lock the folder and load what it holds.

        Fails with ``FOLDER_IN_USE``, ``FORMAT_UNSUPPORTED``,
        ``STORAGE_DAMAGED`` or ``STORAGE_FAILED``.
        """
        try:
            outcome = self._open()
        except OSError as error:
            outcome = _fail(
                errors.ErrorKind.STORAGE_FAILED,
                f'{self._path}: {error.strerror or error}',
            )
        except StorageError as error:
            outcome = Err(error.failure)
        if outcome.is_err():
            self.close()
        return outcome

    def close(self) -> None:
        """Release the folder."""
        for descriptor in (self._segment, self._lock):
            if descriptor is not None:
                os.close(descriptor)
        self._segment = None
        self._lock = None

    def write(
        self,
        hard_state: events.HardState,
        entries: tuple[messages.Entry, ...],
    ) -> None:
        """Append a group of records and sync once."""
        parts = []
        if hard_state != self._hard_state:
            parts.append(segments.pack_hard_state(hard_state))
        parts += [segments.pack_entry(entry) for entry in entries]
        if not parts:
            return
        self._append(b''.join(parts))
        self._hard_state = hard_state

    def save_snapshot(
        self,
        snapshot: events.Snapshot,
        entries: tuple[messages.Entry, ...],
    ) -> None:
        """Store a snapshot and start a segment with what follows it.

        Older files are removed only after the new ones are synced.
        """
        index = snapshot.last_index
        self._folder.create(
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
        self._folder.create(name, data)
        self._use_segment(name, len(data))
        self._remove_older(index)

    def _open(self) -> Result[Loaded, errors.Failure]:
        self._path.mkdir(parents=True, exist_ok=True)
        outcome = self._take_lock()
        if outcome.is_err():
            return outcome
        self._folder.remove(self._find(_TEMPORARY))
        outcome = self._check_format()
        if outcome.is_err():
            return outcome
        return self._load()

    def _take_lock(self) -> Result[None, errors.Failure]:
        self._lock = os.open(
            self._path / 'LOCK', os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        )
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return _fail(
                errors.ErrorKind.FOLDER_IN_USE,
                f'data folder {self._path} is used by another process',
            )
        return Ok(None)

    def _check_format(self) -> Result[None, errors.Failure]:
        path = self._path / 'FORMAT'
        if not path.exists():
            if self._has_content():
                return self._fail_damaged('FORMAT is missing')
            self._folder.create('FORMAT', f'{FORMAT_VERSION}\n'.encode())
            return Ok(None)
        found = path.read_bytes().decode(errors='replace').strip()
        if found != str(FORMAT_VERSION):
            return _fail(
                errors.ErrorKind.FORMAT_UNSUPPORTED,
                f'data folder {self._path} has format {found!r}, this '
                f'program reads format {FORMAT_VERSION}',
            )
        return Ok(None)

    def _has_content(self) -> bool:
        if self._find(_SEGMENT) or self._find(_SNAPSHOT):
            return True
        return (self._path / 'identity').exists()

    def _load(self) -> Result[Loaded, errors.Failure]:
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
        """Create the first segment, then the stamp of these files.

        A folder with a stamp always has a segment, so a lost log is never
        taken for that of a new member.
        """
        first = _get_segment_name(0)
        blank = segments.pack_hard_state(events.HardState())
        others = [name for name in self._find(_SEGMENT) if name != first]
        path = self._path / first
        is_new = not path.exists() or path.read_bytes() == blank
        if others or self._find(_SNAPSHOT) or not is_new:
            return self._fail_damaged('identity is missing')
        self._folder.create(first, blank)
        stamp = uuid.uuid4().hex.encode()
        self._folder.create(
            'identity',
            records.pack_record(records.RecordType.IDENTITY, stamp),
        )
        return Ok(None)

    def _load_stamp(self) -> Result[str, errors.Failure]:
        payload = self._read_single('identity', records.RecordType.IDENTITY)
        return payload.map(lambda content: content.decode())

    def _load_snapshot(
        self,
    ) -> Result[events.Snapshot | None, errors.Failure]:
        names = self._find(_SNAPSHOT)
        if not names:
            return Ok(None)
        payload = self._read_single(names[-1], records.RecordType.SNAPSHOT)
        return payload.map(snapshots.decode_snapshot)

    def _read_single(
        self, name: str, record_type: records.RecordType
    ) -> Result[bytes, errors.Failure]:
        """Return the payload of a file that holds one record."""
        data = (self._path / name).read_bytes()
        record = records.read_record(data, 0)
        if record is None or record.record_type != record_type:
            return self._fail_damaged(f'{name} has a wrong checksum')
        outcome = segments.check_version(record)
        if outcome.is_err():
            return self._fail_segment(name, outcome.unwrap_err())
        return Ok(record.payload)

    def _load_log(
        self, stamp: str, snapshot: events.Snapshot | None
    ) -> Result[Loaded, errors.Failure]:
        index = snapshot.last_index if snapshot else 0
        name = _get_segment_name(index)
        if not (self._path / name).exists():
            return self._load_older(stamp, snapshot)
        outcome = self._read_segment(name, log.Log(snapshot, ()))
        if outcome.is_err():
            return outcome
        segment = outcome.unwrap()
        self._hard_state = segment.hard_state
        self._use_segment(name, segment.length)
        self._remove_older(index)
        return Ok(Loaded(segment.hard_state, segment.log, stamp))

    def _load_older(
        self, stamp: str, snapshot: events.Snapshot | None
    ) -> Result[Loaded, errors.Failure]:
        """Finish a snapshot whose segment was not written before a crash.

        The older segment still has every later entry.
        """
        names = self._find(_SEGMENT)
        if snapshot is None or not names:
            return self._fail_damaged('a log segment or snapshot is missing')
        start = int(_SEGMENT.match(names[-1]).group(1)) - 1
        if start > snapshot.last_index:
            return self._fail_damaged('a snapshot is missing')
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
            # The leader sent the snapshot because this log is another one.
            segment.log.reset(snapshot)
        rest = segment.log.get_entries(
            snapshot.last_index + 1, segment.log.last_index
        )
        self._hard_state = segment.hard_state
        self.save_snapshot(snapshot, rest)
        return Ok(Loaded(segment.hard_state, segment.log, stamp))

    def _read_segment(
        self, name: str, base: log.Log
    ) -> Result[segments.Segment, errors.Failure]:
        data = (self._path / name).read_bytes()
        outcome = segments.read_segment(data, base)
        if outcome.is_err():
            return self._fail_segment(name, outcome.unwrap_err())
        return outcome

    def _use_segment(self, name: str, length: int) -> None:
        """Append to a segment behind its whole records.

        An earlier run may have written them without a sync, so they are
        synced before this member answers for them.
        """
        if self._segment is not None:
            os.close(self._segment)
        self._segment = os.open(
            self._path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        )
        os.ftruncate(self._segment, length)
        self._length = length
        self._sync()

    def _append(self, data: bytes) -> None:
        self._folder.write(self._segment, data)
        self._length += len(data)
        self._sync()

    def _sync(self) -> None:
        self._folder.sync(self._segment)
        mark = segments.pack_mark(self._length)
        self._folder.write(self._segment, mark)
        self._length += len(mark)

    def _remove_older(self, index: int) -> None:
        older = []
        for pattern, newest in ((_SEGMENT, index + 1), (_SNAPSHOT, index)):
            for name in self._find(pattern):
                if int(pattern.match(name).group(1)) < newest:
                    older.append(name)
        self._folder.remove(older)

    def _find(self, pattern: re.Pattern) -> list[str]:
        return sorted(
            path.name
            for path in self._path.iterdir()
            if pattern.match(path.name)
        )

    def _fail_segment(
        self, name: str, problem: segments.Problem
    ) -> Err[errors.Failure]:
        if problem.kind is errors.ErrorKind.STORAGE_DAMAGED:
            return self._fail_damaged(f'{name}: {problem.message}')
        return _fail(problem.kind, f'{self._path / name}: {problem.message}')

    def _fail_damaged(self, message: str) -> Err[errors.Failure]:
        return _fail(
            errors.ErrorKind.STORAGE_DAMAGED,
            f'data folder {self._path} is damaged: {message}; set it aside '
            'and start with an empty folder, the group then copies its log',
        )


def _get_segment_name(snapshot_index: int) -> str:
    return f'log-{snapshot_index + 1:020d}'


def _fail(kind: errors.ErrorKind, message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(kind, message))
