"""Run the built file: version, help, settings examples, one process.

Prints the size, the start time and the memory, and fails when a command
fails or a running process has a child process.
"""

import argparse
from collections.abc import Iterable
import os
import pathlib
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / 'dist' / 'orioleshore'
# The interpreter itself, without the libraries of this environment and
# without wrapper scripts, which would count as child processes.
COMMAND = (getattr(sys, '_base_executable', sys.executable), PROGRAM)
RUNS = 5
START_TIMEOUT_S = 20.0
WATCH_S = 5.0
POLL_S = 0.05
# Folders of the examples, replaced by a temporary one.
_FOLDERS = ('/var/lib/orioleshore', '/etc/orioleshore')


def run_command(environment: dict[str, str], *arguments: str) -> float:
    """Run the program until it exits; return the elapsed seconds.

    Raises SystemExit when the exit code is not 0.
    """
    began = time.monotonic()
    done = subprocess.run(
        [*COMMAND, *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
        check=False,
    )
    if done.returncode:
        raise SystemExit(
            f'{arguments} ended with code {done.returncode}: '
            f'{done.stdout}{done.stderr}'
        )
    return time.monotonic() - began


def measure_version(environment: dict[str, str]) -> tuple[float, float]:
    """Return the seconds and peak resident megabytes of ``--version``."""
    began = time.monotonic()
    process = subprocess.Popen(
        [*COMMAND, '--version'], env=environment, stdout=subprocess.DEVNULL
    )
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    return time.monotonic() - began, usage.ru_maxrss / 1024


def write_example(path: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Copy an example with its paths moved below a temporary folder."""
    text = path.read_text('utf-8')
    for name in _FOLDERS:
        text = text.replace(name, f'{folder}{name}')
    content = yaml.safe_load(text)
    tls = content['tls'].values()
    for file in (*content['token_files'].values(), *tls):
        pathlib.Path(file).parent.mkdir(parents=True, exist_ok=True)
        pathlib.Path(file).write_text('not-a-secret\n', 'utf-8')
    copy = folder / path.name
    copy.write_text(text, 'utf-8')
    return copy


def write_settings(folder: pathlib.Path) -> pathlib.Path:
    """Write settings of a process with both roles on loopback."""
    address = '127.0.0.1:0'
    content = {
        'node': 'single-1',
        'availability_zone': 'az1',
        'roles': ['control', 'entry'],
        'data_folder': str(folder / 'single'),
        'entry': {'drain_notice_s': 0.1},
        'addresses': dict.fromkeys(
            ('inner', 'callers', 'upstreams', 'operators', 'health'), address
        ),
    }
    path = folder / 'single.yaml'
    path.write_text(yaml.safe_dump(content), 'utf-8')
    return path


def find_children(pid: int) -> list[str]:
    """Return the child processes of all threads of a process."""
    found = []
    for thread in pathlib.Path(f'/proc/{pid}/task').iterdir():
        found += (thread / 'children').read_text('utf-8').split()
    return [f'{child} {_get_command_line(child)}' for child in found]


def _get_command_line(pid: str) -> str:
    try:
        content = pathlib.Path(f'/proc/{pid}/cmdline').read_bytes()
    except OSError:
        return '(ended)'
    return content.replace(b'\0', b' ').decode()


def watch_process(
    environment: dict[str, str], path: pathlib.Path, log: pathlib.Path
) -> float:
    """Run a process for WATCH_S; return its resident megabytes."""
    with log.open('wb') as output:
        process = subprocess.Popen(
            [*COMMAND, 'run', path],
            env=environment,
            stdout=output,
            stderr=output,
        )
    try:
        _check_children(process, log)
        status = pathlib.Path(f'/proc/{process.pid}/status')
        text = status.read_text('utf-8')
        resident = int(re.search(r'VmRSS:\s+(\d+) kB', text)[1]) / 1024
        process.send_signal(signal.SIGTERM)
        code = process.wait(START_TIMEOUT_S)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
    if code:
        raise SystemExit(f'run ended with code {code}: {log.read_text()}')
    return resident


def _check_children(process: subprocess.Popen, log: pathlib.Path) -> None:
    """Raise SystemExit if the process ever has a child process."""
    deadline = time.monotonic() + START_TIMEOUT_S
    until = None
    while until is None or time.monotonic() < until:
        if process.poll() is not None or time.monotonic() > deadline:
            raise SystemExit(f'run did not start: {log.read_text()}')
        children = find_children(process.pid)
        if children:
            raise SystemExit(f'the process started others: {children}')
        if until is None and 'event=started' in log.read_text('utf-8'):
            until = time.monotonic() + WATCH_S
        time.sleep(POLL_S)


def _format_range(values: Iterable[float], unit: str) -> str:
    values = sorted(values)
    return (
        f'{statistics.median(values):.2f} {unit} '
        f'({values[0]:.2f} to {values[-1]:.2f})'
    )


def main() -> None:
    """Check the built file and print size, start time and memory."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    if not PROGRAM.exists():
        raise SystemExit(f'{PROGRAM} does not exist: run make dist')
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        # An empty cache, so that no files of an earlier build are used.
        environment = {**os.environ, 'SHIV_ROOT': str(folder / 'cache')}
        first, _ = measure_version(environment)
        results = [measure_version(environment) for _ in range(RUNS)]
        run_command(environment, '--help')
        for path in sorted((ROOT / 'examples').glob('settings-*.yaml')):
            copy = write_example(path, folder)
            run_command(environment, 'check', str(copy))
            print(f'{path.name}: valid')
        resident = watch_process(
            environment, write_settings(folder), folder / 'log'
        )
    print(f'size: {PROGRAM.stat().st_size / 1e6:.1f} MB')
    print(f'first start, with unpacking: {first:.2f} s')
    print('start:', _format_range((result[0] for result in results), 's'))
    print('memory:', _format_range((result[1] for result in results), 'MB'))
    print(f'memory of run, both roles: {resident:.1f} MB')
    print(f'child processes during {WATCH_S:g} s of run: none')


if __name__ == '__main__':
    sys.exit(main())
