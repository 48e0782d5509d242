"""File operations on a data folder, which tell a full disk from a failure."""

import contextlib
import errno
import os
import pathlib

from orioleshore.model import errors

# Errors of operations that had no lasting effect and may succeed later.
_DISK_FULL_CODES = frozenset({errno.ENOSPC, errno.EDQUOT})


class StorageError(Exception):
    """A file operation failed; the process must stop."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class DiskFullError(StorageError):
    """The disk has no room; the operation may be repeated later."""


def is_disk_full(error: OSError) -> bool:
    """Return whether an operation failed because the disk has no room."""
    return error.errno in _DISK_FULL_CODES


class FileOperations:
    """Calls to the operating system; tests override them to inject errors."""

    def create(self, path: pathlib.Path) -> int:
        """Create or truncate a file; return its descriptor for writing."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        return os.open(path, flags, 0o640)

    def open_for_append(self, path: pathlib.Path) -> int:
        """Open an existing file; return its descriptor for appending."""
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)

    def open_folder(self, path: pathlib.Path) -> int:
        """Open a folder; return a descriptor with which it is synced."""
        return os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all bytes."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def truncate(self, descriptor: int, length: int) -> None:
        """Set the length of a file in bytes."""
        os.ftruncate(descriptor, length)

    def sync(self, descriptor: int) -> None:
        """Flush written data to the disk, so that it survives a power loss."""
        os.fsync(descriptor)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file atomically, replacing the target."""
        os.replace(source, target)

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file."""
        path.unlink()


class DataFolder:
    """A data folder; failed operations raise StorageError.

    After a failure the state of the files is unknown, so every later operation
    fails as well: a repeated sync may report success although the kernel has
    dropped the data. A full disk is different: a write that finds no room
    raises DiskFullError, and the file may be used again once its length is
    restored.
    """

    def __init__(self, path: pathlib.Path, operations: FileOperations) -> None:
        self._path = path
        self._operations = operations
        self._failure: errors.Failure | None = None
        self._sync_count = 0

    @property
    def path(self) -> pathlib.Path:
        return self._path

    @property
    def sync_count(self) -> int:
        return self._sync_count

    def open_for_append(self, name: str) -> int:
        """Open an existing file; return its descriptor for appending."""
        return self._run_operation(
            'open', self._operations.open_for_append, self._path / name
        )

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all bytes without a sync.

        After DiskFullError, a part of the bytes may have been written.
        """
        self._run_operation(
            'write',
            self._operations.write,
            descriptor,
            data,
            may_be_full=True,
        )

    def truncate(self, descriptor: int, length: int) -> None:
        """Set the length of a file in bytes."""
        self._run_operation(
            'truncate',
            self._operations.truncate,
            descriptor,
            length,
            may_be_full=True,
        )

    def sync(self, descriptor: int) -> None:
        """Sync a file or folder."""
        self._run_operation('sync', self._operations.sync, descriptor)
        self._sync_count += 1

    def create_file(self, name: str, data: bytes) -> None:
        """Create a file that is either complete or absent after a crash.

        After DiskFullError, the file is absent or unchanged.
        """
        temporary = self._path / f'{name}.tmp'
        try:
            self._write_new_file(temporary, data)
            self._run_operation(
                'rename',
                self._operations.replace,
                temporary,
                self._path / name,
                may_be_full=True,
            )
        except DiskFullError:
            # The next start removes the file if it cannot be removed now.
            with contextlib.suppress(OSError):
                self._operations.remove(temporary)
            raise
        self.sync_directory()

    def remove_files(self, names: list[str]) -> None:
        """Remove files in the given order."""
        for name in names:
            self._run_operation(
                'remove', self._operations.remove, self._path / name
            )
        if names:
            self.sync_directory()

    def sync_directory(self) -> None:
        """Sync the folder, so that created and removed names survive."""
        descriptor = self._run_operation(
            'open', self._operations.open_folder, self._path
        )
        try:
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def _write_new_file(self, path: pathlib.Path, data: bytes) -> None:
        descriptor = self._run_operation(
            'create', self._operations.create, path, may_be_full=True
        )
        try:
            self.write(descriptor, data)
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def _run_operation(
        self, name: str, function, *arguments, may_be_full: bool = False
    ):
        if self._failure is not None:
            raise StorageError(self._failure)
        try:
            return function(*arguments)
        except OSError as error:
            message = (
                f'{name} in {self._path} failed: {error.strerror or error}'
            )
            if may_be_full and is_disk_full(error):
                raise DiskFullError(
                    errors.Failure(errors.ErrorKind.STORAGE_FULL, message)
                ) from error
            self._failure = errors.Failure(
                errors.ErrorKind.STORAGE_FAILED, message
            )
            raise StorageError(self._failure) from error
