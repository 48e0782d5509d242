"""Measurements, each run once at a small size."""

import subprocess
import sys

import pytest

from scripts import fleet

TIMEOUT_S = 120


@pytest.mark.parametrize(
    'command',
    [
        'bench.jobs --sizes 12 --large-workers 24 --teams 2 --pools 2',
        'bench.fleet --part moves',
        'bench.protocol --count 20',
    ],
)
def test_measurement_runs(command):
    """Guards against a script that reads a name which is gone."""
    outcome = subprocess.run(
        [sys.executable, '-m', *command.split()],
        cwd=fleet.ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert outcome.returncode == 0, outcome.stderr
    assert outcome.stdout
