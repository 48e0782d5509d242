"""The demo with separate processes, one of which is killed."""

import subprocess
import sys

from scripts import fleet

DEMO_TIMEOUT_S = 120


def test_demo_ends_ok(tmp_path):
    """Guards against a first run that fails, and a SIGKILL that loses data."""
    outcome = subprocess.run(
        [
            sys.executable,
            '-m',
            'scripts.demo',
            '--once',
            '--folder',
            str(tmp_path / 'demo'),
        ],
        cwd=fleet.ROOT,
        capture_output=True,
        text=True,
        timeout=DEMO_TIMEOUT_S,
        check=False,
    )
    assert outcome.returncode == 0, outcome.stdout + outcome.stderr
    assert outcome.stdout.endswith('demo ok\n')
    assert 'killed with SIGKILL' in outcome.stdout
