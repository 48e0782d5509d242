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
from orioleshore.consensus import log
from orioleshore.consensus import records
from orioleshore.consensus import snapshots
from orioleshore.model import errors
from orioleshore.protocol import messages

FORMAT_VERSION = 1

_SEGMENT = re.compile(r'^log-(\d{20})$')
_SNAPSHOT = re.compile(r'^snapshot-(\d{20})$')


class StorageError(Exception):
    """A write or sync failed; the process must stop and not go on."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class Loaded(msgspec.Struct):
    """What a folder held when it was opened."""

    hard_state: events.HardState
    log: log.Log
    stamp: str


class Files:
    """Calls of the operating system, replaced by tests that fail them."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all bytes."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Make what was written survive a loss of power."""
        os.fsync(descriptor)


class Storage:
    """The data folder of one member.

    ``write`` and ``save_snapshot`` return once everything is synced. They
    raise StorageError, after which the object must not be used.
    """

    def __init__(self, folder: str, files: Files | None = None) -> None:
        self._folder = pathlib.Path(folder)
        self._files = files or Files()
        self._lock: int | None = None
        self._segment: int | None = None
        self._hard_state = events.HardState()
        self._sync_count = 0

    @property
    def sync_count(self) -> int:
        return self._sync_count

    @property
    def hard_state(self) -> events.HardState:
        return self._hard_state

    def open(self) -> Result[Loaded, errors.Failure]:
        """Lock the folder and load what it holds.

        Fails with ``FOLDER_IN_USE``, ``FORMAT_UNSUPPORTED``,
        ``STORAGE_DAMAGED`` or ``STORAGE_FAILED``.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            outcome = self._take_lock()
            if outcome.is_err():
                return outcome
            outcome = self._check_format()
            if outcome.is_err():
                return outcome
            return self._load()
        except OSError as error:
            return _fail(
                errors.ErrorKind.STORAGE_FAILED,
                f'{self._folder}: {error.strerror or error}',
            )
        except StorageError as error:
            return Err(error.failure)

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
            parts.append(_pack_hard_state(hard_state))
        parts += [_pack_entry(entry) for entry in entries]
        if not parts:
            return
        self._append(self._segment, b''.join(parts))
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
        self._create_file(
            f'snapshot-{index:020d}',
            records.pack_record(
                records.RecordType.SNAPSHOT,
                snapshots.encode_snapshot(snapshot),
            ),
        )
        parts = [_pack_hard_state(self._hard_state)]
        parts += [_pack_entry(entry) for entry in entries]
        name = f'log-{index + 1:020d}'
        self._create_file(name, b''.join(parts))
        self._open_segment(name)
        self._remove_older(index)

    def _take_lock(self) -> Result[None, errors.Failure]:
        self._lock = os.open(
            self._folder / 'LOCK', os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        )
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            self._lock = None
            return _fail(
                errors.ErrorKind.FOLDER_IN_USE,
                f'data folder {self._folder} is used by another process',
            )
        return Ok(None)

    def _check_format(self) -> Result[None, errors.Failure]:
        path = self._folder / 'FORMAT'
        if not path.exists():
            if self._find(_SEGMENT) or self._find(_SNAPSHOT):
                return self._fail_damaged('FORMAT is missing')
            self._create_file('FORMAT', f'{FORMAT_VERSION}\n'.encode())
            return Ok(None)
        found = path.read_text(encoding='utf-8').strip()
        if found != str(FORMAT_VERSION):
            return _fail(
                errors.ErrorKind.FORMAT_UNSUPPORTED,
                f'data folder {self._folder} has format {found!r}, this '
                f'program reads format {FORMAT_VERSION}',
            )
        return Ok(None)

    def _load(self) -> Result[Loaded, errors.Failure]:
        stamp = self._load_stamp()
        if stamp.is_err():
            return stamp
        snapshot = self._load_snapshot()
        if snapshot.is_err():
            return snapshot
        return self._load_segment(stamp.unwrap(), snapshot.unwrap())

    def _load_stamp(self) -> Result[str, errors.Failure]:
        path = self._folder / 'identity'
        if not path.exists():
            if self._find(_SEGMENT):
                return self._fail_damaged('identity is missing')
            stamp = uuid.uuid4().hex
            self._create_file(
                'identity',
                records.pack_record(
                    records.RecordType.IDENTITY, stamp.encode()
                ),
            )
            return Ok(stamp)
        record = records.read_record(path.read_bytes(), 0)
        if record is None:
            return self._fail_damaged('identity has a wrong checksum')
        return Ok(record.payload.decode())

    def _load_snapshot(
        self,
    ) -> Result[events.Snapshot | None, errors.Failure]:
        names = self._find(_SNAPSHOT)
        if not names:
            return Ok(None)
        record = records.read_record(
            (self._folder / names[-1]).read_bytes(), 0
        )
        if record is None:
            return self._fail_damaged(f'{names[-1]} has a wrong checksum')
        return Ok(snapshots.decode_snapshot(record.payload))

    def _load_segment(
        self, stamp: str, snapshot: events.Snapshot | None
    ) -> Result[Loaded, errors.Failure]:
        first = snapshot.last_index + 1 if snapshot else 1
        name = f'log-{first:020d}'
        path = self._folder / name
        if not path.exists():
            if snapshot is None and self._find(_SEGMENT):
                return self._fail_damaged('a snapshot is missing')
            # A crash between the snapshot and its segment leaves the older
            # segment, which still has every later entry.
            older = self._find(_SEGMENT)
            if older:
                return self._load_older_segment(stamp, snapshot, older[-1])
            self._create_file(name, b'')
        loaded = Loaded(events.HardState(), log.Log(snapshot, ()), stamp)
        outcome = self._read_segment(path, loaded)
        if outcome.is_err():
            return outcome
        self._open_segment(name)
        self._hard_state = loaded.hard_state
        return Ok(loaded)

    def _load_older_segment(
        self, stamp: str, snapshot: events.Snapshot, name: str
    ) -> Result[Loaded, errors.Failure]:
        first = int(_SEGMENT.match(name).group(1))
        base = events.Snapshot(first - 1, 0, snapshot.members, b'')
        loaded = Loaded(events.HardState(), log.Log(base, ()), stamp)
        outcome = self._read_segment(self._folder / name, loaded)
        if outcome.is_err():
            return outcome
        loaded.log.compact(snapshot)
        self._hard_state = loaded.hard_state
        rest = loaded.log.get_entries(
            snapshot.last_index + 1, loaded.log.last_index
        )
        self.save_snapshot(snapshot, rest)
        return Ok(loaded)

    def _read_segment(
        self, path: pathlib.Path, loaded: Loaded
    ) -> Result[None, errors.Failure]:
        data = path.read_bytes()
        offset = 0
        while offset < len(data):
            record = records.read_record(data, offset)
            if record is None:
                return self._handle_bad_record(path, data, offset)
            if record.version > records.RECORD_VERSION:
                return _fail(
                    errors.ErrorKind.FORMAT_UNSUPPORTED,
                    f'{path} has records of version {record.version}',
                )
            outcome = self._take_record(record, loaded)
            if outcome.is_err():
                return outcome
            offset = record.end
        return Ok(None)

    def _handle_bad_record(
        self, path: pathlib.Path, data: bytes, offset: int
    ) -> Result[None, errors.Failure]:
        """Cut off a torn tail; anything else is damage."""
        if records.has_record_after(data, offset):
            return self._fail_damaged(
                f'{path.name} has a damaged record at byte {offset}'
            )
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        try:
            os.ftruncate(descriptor, offset)
            self._sync(descriptor)
        finally:
            os.close(descriptor)
        return Ok(None)

    def _take_record(
        self, record: records.Record, loaded: Loaded
    ) -> Result[None, errors.Failure]:
        if record.record_type == records.RecordType.HARD_STATE:
            loaded.hard_state = msgspec.msgpack.decode(
                record.payload, type=events.HardState
            )
            return Ok(None)
        if record.record_type != records.RecordType.ENTRY:
            return self._fail_damaged(
                f'unexpected record of type {record.record_type}'
            )
        entry = msgspec.msgpack.decode(record.payload, type=messages.Entry)
        if entry.index > loaded.log.last_index + 1:
            return self._fail_damaged(
                f'entry {loaded.log.last_index + 1} is missing'
            )
        if entry.index > loaded.log.snapshot_index:
            loaded.log.append((entry,))
        return Ok(None)

    def _append(self, descriptor: int, data: bytes) -> None:
        try:
            self._files.write(descriptor, data)
        except OSError as error:
            raise self._get_error('write', error) from error
        self._sync(descriptor)

    def _sync(self, descriptor: int) -> None:
        try:
            self._files.sync(descriptor)
        except OSError as error:
            raise self._get_error('sync', error) from error
        self._sync_count += 1

    def _get_error(self, call: str, error: OSError) -> StorageError:
        return StorageError(
            errors.Failure(
                errors.ErrorKind.STORAGE_FAILED,
                f'{call} in {self._folder} failed: {error.strerror}',
            )
        )

    def _create_file(self, name: str, data: bytes) -> None:
        """Create a file that is either whole or absent after a crash."""
        temporary = self._folder / f'{name}.tmp'
        descriptor = os.open(
            temporary,
            os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC,
            0o640,
        )
        try:
            self._append(descriptor, data)
        finally:
            os.close(descriptor)
        os.replace(temporary, self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self._sync(descriptor)
        finally:
            os.close(descriptor)

    def _open_segment(self, name: str) -> None:
        if self._segment is not None:
            os.close(self._segment)
        self._segment = os.open(
            self._folder / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        )

    def _remove_older(self, index: int) -> None:
        for pattern, newest in ((_SEGMENT, index + 1), (_SNAPSHOT, index)):
            for name in self._find(pattern):
                if int(pattern.match(name).group(1)) < newest:
                    (self._folder / name).unlink()
        self._sync_folder()

    def _find(self, pattern: re.Pattern) -> list[str]:
        return sorted(
            path.name
            for path in self._folder.iterdir()
            if pattern.match(path.name)
        )

    def _fail_damaged(self, message: str) -> Err[errors.Failure]:
        return _fail(
            errors.ErrorKind.STORAGE_DAMAGED,
            f'data folder {self._folder} is damaged: {message}',
        )


def _pack_hard_state(hard_state: events.HardState) -> bytes:
    return records.pack_record(
        records.RecordType.HARD_STATE, msgspec.msgpack.encode(hard_state)
    )


def _pack_entry(entry: messages.Entry) -> bytes:
    return records.pack_record(
        records.RecordType.ENTRY, msgspec.msgpack.encode(entry)
    )


def _fail(kind: errors.ErrorKind, message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(kind, message))
