"""What the stand-ins saw, in memory and in ``record.txt``."""

import pathlib
import time


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()
        self.problems: list[str] = []

    @property
    def elapsed_s(self) -> float:
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Write one event."""
        self._file.write(f'{self.elapsed_s:8.3f} {text}\n')
        self._file.flush()

    def add_problem(self, text: str) -> None:
        """Write a broken rule."""
        self.problems.append(text)
        self.add(f'BROKEN {text}')

    def close(self) -> None:
        """Close the file."""
        self._file.close()
