"""Record of a case: what was sent, answered and run."""

import pathlib
import time


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def get_now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def add(self, who: str, event: str, **pairs: object) -> None:
        """Add a line."""
        words = [f'{self.get_now():8.3f}', who, event]
        words += [f'{name}={value}' for name, value in pairs.items()]
        self._file.write(' '.join(words) + '\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
