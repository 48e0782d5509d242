"""Processes of a small fleet on loopback, for development."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ('az1', 'az2', 'az3')
TOKEN = 'demo-token-of-the-operator-alice'
STOP_TIMEOUT_S = 20.0


def get_loopback() -> str:
    """Return a loopback address that depends on the process id.

    On 127.0.0.1 the kernel may give a reserved port to an outgoing
    connection before the process that it was reserved for listens.
    """
    number = os.getpid()
    return f'127.{number >> 16 & 63 | 64}.{number >> 8 & 255}.{number & 255}'


def reserve_addresses(count: int) -> list[str]:
    """Return addresses whose ports were free when checked."""
    host = get_loopback()
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((host, 0))
    addresses = [f'{host}:{item.getsockname()[1]}' for item in sockets]
    for item in sockets:
        item.close()
    return addresses


class Fleet:
    """Control members, entry hosts, a fake platform and upstreams."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.operators: dict[str, str] = {}
        self.callers: dict[str, str] = {}
        self.upstreams: dict[str, str] = {}
        self.health: dict[str, str] = {}
        self.platform_url = ''
        self.processes: dict[str, subprocess.Popen] = {}
        self._members: dict[str, str] = {}
        self._token_file = folder / 'token'

    @property
    def token_file(self) -> pathlib.Path:
        return self._token_file

    def prepare(self, control: int, entry: int) -> None:
        """Write settings for all processes."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._token_file.write_text(TOKEN + '\n', 'utf-8')
        addresses = iter(reserve_addresses(1 + 3 * control + 4 * entry))
        self.platform_url = f'http://{next(addresses)}'
        names = [f'control-{n}' for n in range(1, control + 1)]
        self._members = {name: next(addresses) for name in names}
        for position, name in enumerate(names):
            self._write_control(name, position, addresses)
        for position in range(entry):
            self._write_entry(f'entry-{position + 1}', position, addresses)

    def start_platform(self) -> None:
        """Start the fake platform."""
        address = self.platform_url.removeprefix('http://')
        self._start_process(
            'platform', '-m', 'fakes.platform', '--address', address
        )

    def start_node(self, name: str) -> None:
        """Start a control member or an entry host."""
        path = self.folder / f'{name}.yaml'
        self._start_process(name, '-m', 'orioleshore', 'run', str(path))

    def start_upstream(self, name: str, service: str, zone: str) -> None:
        """Start a fake upstream that announces itself to entry hosts."""
        arguments = ['--service', service, '--availability-zone', zone]
        for url in self.upstreams.values():
            arguments += ['--announce', url]
        self._start_process(name, '-m', 'fakes.upstream', *arguments)

    def kill(self, name: str) -> None:
        """Kill a process that this fleet started, with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP, to simulate a paused host."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self) -> list[str]:
        """Stop all processes; return those that had to be killed."""
        killed = []
        running = dict(self.processes)
        for process in running.values():
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for name, process in running.items():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed.append(name)
        self.processes.clear()
        return killed

    def _start_process(self, name: str, *arguments: str) -> None:
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments], cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def _write_control(self, name: str, position: int, addresses) -> None:
        operators = next(addresses)
        health = next(addresses)
        self.operators[name] = f'http://{operators}'
        self.health[name] = f'http://{health}'
        self._write_settings(
            name,
            position,
            {
                'roles': ['control'],
                'data_folder': str(self.folder / name),
                'addresses': {
                    'inner': self._members[name],
                    'operators': operators,
                    'health': health,
                },
                'control': {
                    'initial_members': self._members,
                    'platform': self.platform_url,
                    'proving_s': 0.5,
                },
            },
        )

    def _write_entry(self, name: str, position: int, addresses) -> None:
        callers, upstreams, health, inner = (next(addresses) for _ in range(4))
        self.callers[name] = f'http://{callers}'
        self.upstreams[name] = f'http://{upstreams}'
        self.health[name] = f'http://{health}'
        self._write_settings(
            name,
            position,
            {
                'roles': ['entry'],
                'addresses': {
                    'inner': inner,
                    'callers': callers,
                    'upstreams': upstreams,
                    'health': health,
                },
                'entry': {'drain_notice_s': 1.0},
            },
        )

    def _write_settings(self, name: str, position: int, content: dict) -> None:
        content = {
            'node': name,
            'availability_zone': ZONES[position % len(ZONES)],
            'seeds': list(self._members.values()),
            'token_files': {'alice': str(self._token_file)},
            **content,
        }
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(content, sort_keys=False), 'utf-8')
