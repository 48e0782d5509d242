"""Run the tests, except those listed in KNOWN-RED.txt."""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent


def get_known_red(path: pathlib.Path) -> list[str]:
    """Return the test ids at the start of each entry of the file."""
    lines = path.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return [entry.split('|')[0].strip() for entry in entries]


def main() -> int:
    """Run pytest and print the tests that were deselected."""
    known_red = get_known_red(ROOT / 'KNOWN-RED.txt')
    arguments = [f'--deselect={test}' for test in known_red]
    sys.path.insert(0, str(ROOT))
    code = pytest.main([*arguments, *sys.argv[1:]])
    for test in known_red:
        print(f'known red, not run: {test}')
    return int(code)


if __name__ == '__main__':
    sys.exit(main())
