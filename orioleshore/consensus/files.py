"""File operations on a data folder, which fail for good after an error."""

import os
import pathlib

from orioleshore.model import errors


class StorageError(Exception):
    """A file operation failed; the process must stop."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class FileOperations:
    """Calls to the operating system; tests override them to inject errors."""

    def create(self, path: pathlib.Path) -> int:
        """Create or truncate a file; return its descriptor for writing."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        return os.open(path, flags, 0o640)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all bytes."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

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
    dropped the data.
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

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all bytes without a sync."""
        self._run_operation('write', self._operations.write, descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Sync a file or folder."""
        self._run_operation('sync', self._operations.sync, descriptor)
        self._sync_count += 1

    def create_file(self, name: str, data: bytes) -> None:
        """Create a file that is either complete or absent after a crash."""
        temporary = self._path / f'{name}.tmp'
        descriptor = self._run_operation(
            'create', self._operations.create, temporary
        )
        try:
            self.write(descriptor, data)
            self.sync(descriptor)
        finally:
            os.close(descriptor)
        target = self._path / name
        self._run_operation(
            'rename', self._operations.replace, temporary, target
        )
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
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def _run_operation(self, name: str, function, *arguments):
        if self._failure is not None:
            raise StorageError(self._failure)
        try:
            return function(*arguments)
        except OSError as error:
            self._failure = errors.Failure(
                errors.ErrorKind.STORAGE_FAILED,
                f'{name} in {self._path} failed: {error.strerror or error}',
            )
            raise StorageError(self._failure) from error
