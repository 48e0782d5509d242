"""Data folder faults: damage is detected and synced data is never lost."""

import errno
import os
import pathlib
import shutil

import msgspec
import pytest

from orioleshore.consensus import events
from orioleshore.consensus import files
from orioleshore.consensus import log
from orioleshore.consensus import records
from orioleshore.consensus import segments
from orioleshore.consensus import storage
from orioleshore.model import errors
from orioleshore.tests import builders

HARD_STATE = events.HardState(1, 'm0')


class Crash(BaseException):
    """Simulates a process that ends between two system calls."""


class FailingFileOperations(files.FileOperations):
    """Fails or crashes at one of its calls, counted from 1.

    A crash simulates a power loss: files are truncated to their synced length.
    A write to a full disk stores half of its bytes.
    """

    def __init__(self, fail_at: int = 0, crash_at: int = 0) -> None:
        self.call_count = 0
        self.fail_at = fail_at
        self.crash_at = crash_at
        self.error_code = errno.EIO
        self.is_full = False
        self.synced: dict[str, int] = {}

    def create(self, path):
        self._count_call()
        self._check_space()
        return super().create(path)

    def write(self, descriptor, data):
        path = os.readlink(f'/proc/self/fd/{descriptor}')
        size = os.fstat(descriptor).st_size
        self.synced.setdefault(path, size)
        self._count_call()
        if self.is_full:
            super().write(descriptor, data[: len(data) // 2])
        self._check_space()
        super().write(descriptor, data)

    def sync(self, descriptor):
        self._count_call()
        path = os.readlink(f'/proc/self/fd/{descriptor}')
        super().sync(descriptor)
        self.synced[path] = os.fstat(descriptor).st_size

    def replace(self, source, target):
        self._count_call()
        super().replace(source, target)
        self.synced[str(target)] = self.synced.pop(str(source))

    def remove(self, path):
        self._count_call()
        super().remove(path)
        self.synced.pop(str(path), None)

    def _count_call(self) -> None:
        self.call_count += 1
        if self.call_count == self.fail_at:
            raise OSError(self.error_code, os.strerror(self.error_code))
        if self.call_count == self.crash_at:
            for path, length in self.synced.items():
                if pathlib.Path(path).is_file():
                    os.truncate(path, length)
            raise Crash

    def _check_space(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def open_folder(folder, operations: files.FileOperations | None = None):
    """Open a data folder; return the storage and its stored state."""
    store = storage.Storage(str(folder), operations)
    return store, store.open()


def load_folder(folder):
    """Return the stored state of a data folder."""
    store, outcome = open_folder(folder)
    store.close()
    return outcome


def load_indexes(folder) -> list[int]:
    """Return the indexes of the stored entries."""
    entries = load_folder(folder).unwrap().log
    return [
        entry.index
        for entry in entries.get_entries(
            entries.first_index, entries.last_index
        )
    ]


def write_entries(folder, count: int = 3) -> pathlib.Path:
    """Write a hard state and entries, synced one by one.

    Returns the path of the segment.
    """
    store, outcome = open_folder(folder)
    outcome.unwrap()
    for index in range(1, count + 1):
        store.write(HARD_STATE, (builders.build_entry(index),))
    store.close()
    return folder / f'log-{1:020d}'


def build_snapshot(index: int) -> events.Snapshot:
    members = builders.build_members('m0', 'm1', 'm2')
    return events.Snapshot(index, 1, members, b'state')


def get_failure_kind(folder) -> errors.ErrorKind:
    return load_folder(folder).unwrap_err().kind


def test_torn_tail_of_any_length_is_truncated(tmp_path):
    """Guards against a member that cannot start after a power loss."""
    segment = write_entries(tmp_path / 'whole')
    intact = segment.read_bytes()
    tail = records.pack_record(records.RecordType.ENTRY, b'x' * 20)
    for length in range(len(tail)):
        segment.write_bytes(intact + tail[:length])
        assert load_indexes(segment.parent) == [1, 2, 3], length
        assert segment.read_bytes()[: len(intact)] == intact
        segment.write_bytes(intact)


def test_bit_flip_in_synced_record_is_detected(tmp_path):
    """Guards against a damaged record that is mistaken for a torn tail."""
    segment = write_entries(tmp_path)
    intact = segment.read_bytes()
    mark_offset = len(intact) - records.HEADER_BYTES - 8
    for position in range(mark_offset):
        damaged = bytearray(intact)
        damaged[position] ^= 1 << position % 8
        segment.write_bytes(damaged)
        failure = load_folder(tmp_path).unwrap_err()
        assert failure.kind is errors.ErrorKind.STORAGE_DAMAGED, position
        assert segment.name in failure.message
    segment.write_bytes(
        intact[:mark_offset] + b'\0' * (len(intact) - mark_offset)
    )
    assert load_indexes(tmp_path) == [1, 2, 3]


@pytest.mark.parametrize('lost_writes', ['mark', 'first', 'both'])
@pytest.mark.parametrize('loss', ['torn', 'missing'])
def test_any_unsynced_write_may_be_lost(tmp_path, lost_writes, loss):
    """Guards against a power loss that is reported as damage.

    Writes since the last sync may be lost independently, so complete entries
    may follow a torn sync mark or entry. Synced entries are kept.
    """
    segment = write_entries(tmp_path)
    synced = segment.read_bytes()
    mark_offset = len(synced) - records.HEADER_BYTES - 8
    batch = [
        segments.pack_entry(builders.build_entry(index)) for index in (4, 5)
    ]
    content = bytearray(synced + b''.join(batch))
    lost_parts = []
    if lost_writes in ('mark', 'both'):
        lost_parts.append((mark_offset, len(synced)))
    if lost_writes in ('first', 'both'):
        lost_parts.append((len(synced), len(synced) + len(batch[0])))
    for start, end in lost_parts:
        lost_from = (start + end) // 2 if loss == 'torn' else start
        content[lost_from:end] = bytes(end - lost_from)
    segment.write_bytes(content)
    assert load_indexes(tmp_path) == [1, 2, 3]


def test_bit_flip_in_identity_or_snapshot_is_detected(tmp_path):
    """Guards against a wrong stamp or state read from a damaged file."""
    write_entries(tmp_path)
    store, outcome = open_folder(tmp_path)
    outcome.unwrap()
    store.save_snapshot(build_snapshot(2), (builders.build_entry(3),))
    store.close()
    for name in ('identity', f'snapshot-{2:020d}'):
        path = tmp_path / name
        intact = path.read_bytes()
        for position in range(len(intact)):
            damaged = bytearray(intact)
            damaged[position] ^= 1 << position % 8
            path.write_bytes(damaged)
            assert (
                get_failure_kind(tmp_path) is errors.ErrorKind.STORAGE_DAMAGED
            )
        path.write_bytes(intact)
    assert load_indexes(tmp_path) == [3]


@pytest.mark.parametrize('name', ['FORMAT', 'identity', 'log', 'snapshot'])
def test_missing_file_is_detected(tmp_path, name):
    """Guards against a member that votes after losing acknowledged data."""
    write_entries(tmp_path)
    store, outcome = open_folder(tmp_path)
    outcome.unwrap()
    store.save_snapshot(build_snapshot(2), (builders.build_entry(3),))
    store.close()
    for path in tmp_path.glob(f'{name}*'):
        path.unlink()
    failure = load_folder(tmp_path).unwrap_err()
    assert failure.kind is errors.ErrorKind.STORAGE_DAMAGED
    assert 'missing' in failure.message


def test_empty_or_missing_first_segment_is_detected(tmp_path):
    """Guards against a lost log that is mistaken for a new member's log."""
    segment = write_entries(tmp_path)
    segment.write_bytes(b'')
    assert get_failure_kind(tmp_path) is errors.ErrorKind.STORAGE_DAMAGED
    segment.unlink()
    assert get_failure_kind(tmp_path) is errors.ErrorKind.STORAGE_DAMAGED


def test_missing_identity_is_detected(tmp_path):
    """Guards against a new stamp for a folder whose member has voted."""
    write_entries(tmp_path)
    (tmp_path / 'identity').unlink()
    assert get_failure_kind(tmp_path) is errors.ErrorKind.STORAGE_DAMAGED


@pytest.mark.parametrize('version', ['0', '2', 'one', ''])
def test_other_format_version_is_refused(tmp_path, version):
    """Guards against misreading the files of another program version."""
    write_entries(tmp_path)
    (tmp_path / 'FORMAT').write_text(version, 'utf-8')
    assert get_failure_kind(tmp_path) is errors.ErrorKind.FORMAT_UNSUPPORTED


def test_newer_record_version_is_refused(tmp_path, monkeypatch):
    """Guards against truncating a record that a newer program wrote."""
    with monkeypatch.context() as patch:
        patch.setattr(records, 'RECORD_VERSION', 2)
        write_entries(tmp_path)
    assert get_failure_kind(tmp_path) is errors.ErrorKind.FORMAT_UNSUPPORTED


def test_locked_folder_is_refused(tmp_path):
    """Guards against two processes that write to the same log."""
    first, outcome = open_folder(tmp_path)
    outcome.unwrap()
    assert get_failure_kind(tmp_path) is errors.ErrorKind.FOLDER_IN_USE
    first.close()
    load_folder(tmp_path).unwrap()


@pytest.mark.parametrize('failing_call', [1, 2, 3])
def test_storage_fails_permanently_after_failed_call(tmp_path, failing_call):
    """Guards against a repeated sync that hides dropped data.

    The calls are the write, the sync and the sync mark of one batch.
    """
    write_entries(tmp_path)
    operations = FailingFileOperations()
    store, outcome = open_folder(tmp_path, operations)
    outcome.unwrap()
    operations.fail_at = operations.call_count + failing_call
    for index in (4, 5):
        with pytest.raises(files.StorageError) as caught:
            store.write(HARD_STATE, (builders.build_entry(index),))
        failure = caught.value.failure
        assert failure.kind is errors.ErrorKind.STORAGE_FAILED
        assert 'Input/output error' in failure.message
    store.close()
    assert load_indexes(tmp_path)[:3] == [1, 2, 3]


def test_write_to_full_disk_may_be_repeated(tmp_path):
    """Guards against a member that a full disk stops for good.

    The first part of a record that was written before the disk was full must
    not stay in front of the next record.
    """
    segment = write_entries(tmp_path)
    operations = FailingFileOperations()
    store, outcome = open_folder(tmp_path, operations)
    outcome.unwrap()
    operations.is_full = True
    for _ in range(3):
        with pytest.raises(files.DiskFullError) as caught:
            store.write(HARD_STATE, (builders.build_entry(4),))
        failure = caught.value.failure
        assert failure.kind is errors.ErrorKind.STORAGE_FULL
    operations.is_full = False
    store.write(events.HardState(2, None), (builders.build_entry(4),))
    store.close()
    assert load_indexes(segment.parent) == [1, 2, 3, 4]
    assert load_folder(tmp_path).unwrap().hard_state.term == 2


def test_sync_mark_without_room_does_not_fail_the_write(tmp_path):
    """Guards against a synced write that is reported as failed.

    The sync mark is the third call of a write. Its first half must not stay
    in front of the next record.
    """
    write_entries(tmp_path)
    operations = FailingFileOperations()
    store, outcome = open_folder(tmp_path, operations)
    outcome.unwrap()
    operations.error_code = errno.ENOSPC
    operations.fail_at = operations.call_count + 3
    for index in (4, 5):
        store.write(HARD_STATE, (builders.build_entry(index),))
    store.close()
    assert load_indexes(tmp_path) == [1, 2, 3, 4, 5]


def test_sync_without_room_is_final(tmp_path):
    """Guards against a repeated sync that hides dropped data.

    A file system that allocates late reports a full disk at the sync.
    """
    write_entries(tmp_path)
    operations = FailingFileOperations()
    store, outcome = open_folder(tmp_path, operations)
    outcome.unwrap()
    operations.error_code = errno.ENOSPC
    operations.fail_at = operations.call_count + 2
    for _ in range(2):
        with pytest.raises(files.StorageError) as caught:
            store.write(HARD_STATE, (builders.build_entry(4),))
        failure = caught.value.failure
        assert failure.kind is errors.ErrorKind.STORAGE_FAILED


def test_folder_on_full_disk_is_opened(tmp_path):
    """Guards against a member that ends again and again on a full disk."""
    write_entries(tmp_path)
    operations = FailingFileOperations()
    operations.is_full = True
    store, outcome = open_folder(tmp_path, operations)
    assert outcome.unwrap().log.last_index == 3
    operations.is_full = False
    store.write(HARD_STATE, (builders.build_entry(4),))
    store.close()
    assert load_indexes(tmp_path) == [1, 2, 3, 4]


def test_first_start_on_full_disk_may_be_repeated(tmp_path):
    """Guards against a new member that a full disk stops for good."""
    operations = FailingFileOperations()
    operations.is_full = True
    store, outcome = open_folder(tmp_path, operations)
    assert outcome.unwrap_err().kind is errors.ErrorKind.STORAGE_FULL
    operations.is_full = False
    assert store.open().unwrap().log.is_blank
    store.close()


def test_disk_full_at_any_call_of_snapshot_loses_nothing(tmp_path):
    """Guards against entries lost because a snapshot found no room.

    The member goes on with the segment that it has, and repeats the snapshot.
    """
    write_entries(tmp_path / 'start')
    outcomes = set()
    for fail_at in range(1, 14):
        folder = tmp_path / f'full-{fail_at}'
        shutil.copytree(tmp_path / 'start', folder)
        operations = FailingFileOperations()
        operations.error_code = errno.ENOSPC
        store = storage.Storage(str(folder), operations)
        store.open().unwrap()
        operations.call_count, operations.fail_at = 0, fail_at
        snapshot = (build_snapshot(2), (builders.build_entry(3),))
        try:
            store.save_snapshot(*snapshot)
            outcomes.add('saved')
        except files.DiskFullError:
            outcomes.add('full')
            store.write(HARD_STATE, (builders.build_entry(4),))
            entries = tuple(builders.build_entry(index) for index in (3, 4))
            store.save_snapshot(build_snapshot(2), entries)
        except files.StorageError:
            outcomes.add('failed')
        store.close()
        loaded = load_folder(folder).unwrap()
        assert loaded.log.last_index in (3, 4), fail_at
        assert loaded.hard_state == HARD_STATE
    assert outcomes == {'saved', 'full', 'failed'}


def test_crash_at_any_call_of_snapshot_loses_nothing(tmp_path):
    """Guards against lost entries while a snapshot replaces the log."""
    write_entries(tmp_path / 'start')
    finished = False
    crash_at = 0
    while not finished and crash_at < 100:
        crash_at += 1
        folder = tmp_path / f'crash-{crash_at}'
        shutil.copytree(tmp_path / 'start', folder)
        operations = FailingFileOperations()
        store = storage.Storage(str(folder), operations)
        store.open().unwrap()
        operations.call_count, operations.crash_at = 0, crash_at
        try:
            store.save_snapshot(build_snapshot(2), (builders.build_entry(3),))
            finished = True
        except Crash:
            finished = False
        store.close()
        loaded = load_folder(folder).unwrap()
        assert loaded.hard_state == HARD_STATE
        assert loaded.log.last_index == 3, crash_at
        assert loaded.log.get_term(3) == 1
        assert loaded.log.snapshot_index in (0, 2)
        assert loaded.log.snapshot_index == 2 or not finished
    assert crash_at > 10


def test_crash_at_any_call_of_first_start_is_recovered(tmp_path):
    """Guards against a folder that cannot be opened after a crash."""
    for crash_at in range(1, 18):
        folder = tmp_path / f'crash-{crash_at}'
        store = storage.Storage(
            str(folder), FailingFileOperations(0, crash_at)
        )
        with pytest.raises(Crash):
            store.open()
        store.close()
        assert load_folder(folder).unwrap().log.is_blank


def test_snapshot_discards_conflicting_log(tmp_path):
    """Guards against conflicting entries kept after a leader's snapshot."""
    write_entries(tmp_path)
    store, outcome = open_folder(tmp_path)
    outcome.unwrap()
    snapshot = events.Snapshot(2, 7, build_snapshot(2).members, b'state')
    store.save_snapshot(snapshot, ())
    store.close()
    (tmp_path / f'log-{3:020d}').unlink()
    other = tmp_path / 'other'
    segment = write_entries(other)
    shutil.copy(segment, tmp_path / segment.name)
    assert load_indexes(tmp_path) == []


def test_existing_records_are_synced_on_open(tmp_path):
    """Guards against acknowledging records that were never synced."""
    segment = write_entries(tmp_path)
    operations = FailingFileOperations()
    store, outcome = open_folder(tmp_path, operations)
    outcome.unwrap()
    store.close()
    assert str(segment) in operations.synced


def test_records_that_cannot_be_decoded_are_damage(tmp_path):
    """Guards against a member that fails at its start without a reason.

    The checksums are right, so the records were written that way.
    """
    payload = b'\x91' * 5_000 + b'\xc0'
    hard_state = records.pack_record(
        records.RecordType.HARD_STATE, msgspec.msgpack.encode(HARD_STATE)
    )
    base = log.Log(None, ())
    for record_type, start in (
        (records.RecordType.HARD_STATE, b''),
        (records.RecordType.ENTRY, hard_state),
    ):
        data = start + records.pack_record(record_type, payload)
        problem = segments.read_segment(data, base).unwrap_err()
        assert problem.kind is errors.ErrorKind.STORAGE_DAMAGED
    write_entries(tmp_path)
    store, outcome = open_folder(tmp_path)
    outcome.unwrap()
    store.save_snapshot(build_snapshot(2), (builders.build_entry(3),))
    store.close()
    (path,) = tmp_path.glob('snapshot-*')
    path.write_bytes(records.pack_record(records.RecordType.SNAPSHOT, payload))
    assert get_failure_kind(tmp_path) is errors.ErrorKind.STORAGE_DAMAGED
