"""The demo with separate processes, one of which is killed."""

import pathlib
import signal
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


def test_demo_that_is_terminated_leaves_no_process(tmp_path):
    """Guards against processes of the demo that outlive it.

    A process manager ends the demo with SIGTERM, not with Ctrl-C.
    """
    folder = tmp_path / 'demo'
    demo = subprocess.Popen(
        [sys.executable, '-m', 'scripts.demo', '--folder', str(folder)],
        cwd=fleet.ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        for line in demo.stdout:
            if 'press Ctrl-C' in line:
                break
        assert find_processes(folder)
        demo.send_signal(signal.SIGTERM)
        assert demo.wait(DEMO_TIMEOUT_S) == 0
        assert find_processes(folder) == []
    finally:
        demo.kill()
        demo.wait()


def find_processes(folder: pathlib.Path) -> list[int]:
    """Return the processes that run with settings from a folder."""
    found = []
    for path in pathlib.Path('/proc').glob('[0-9]*/cmdline'):
        try:
            arguments = path.read_text('utf-8').split('\0')
        except OSError:
            # The process has ended meanwhile.
            continue
        if 'orioleshore' in arguments and any(
            argument.startswith(str(folder)) for argument in arguments
        ):
            found.append(int(path.parent.name))
    return found
