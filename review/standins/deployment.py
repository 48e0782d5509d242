"""The project's programs, started with the commands of the deploy file."""

import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import tomllib

from review.standins import record

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORT_COUNT = 24
KEPT_VARIABLES = ('PATH', 'HOME', 'LANG')

SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "edge"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "kozep-hu"
port_range = [{port}, {last_port}]
seeds = {seeds}
bootstrap = {bootstrap}
in_tolerance = {has_disk}
data_dir = "{data}"
discovery = "registry"
entry = "vip"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","recover","sched","advice",\
"upkeep","sharing"]
config_mode = "highest"
commands = "heartbeat"
recommendation = "{policy}"
[zones]
kozep-a = "kozep-hu"
kozep-b = "kozep-hu"
kozep-c = "kozep-hu"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.839
cores = 2
memory_mb = 300
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 128
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_ms = 2000
back_ms = 250
outer_ms = 5000
recover_s = 12
hold_max_ms = 6000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
spread_factor = 1.5
checkpoint_s = 1
restore_ms = 250
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fencing = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
interference_ms = 4000
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


def find_free_ports(address: str) -> int:
    """Return the first port of a free range on an address."""
    while True:
        with socket.socket() as probe:
            probe.bind((address, 0))
            first = probe.getsockname()[1]
        if first + PORT_COUNT < 65_535:
            return first


class Deployment:
    """A small deployment on loopback addresses.

    The first three machines have a disk and run both roles; the other ones
    run the entry role only.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        log: record.Record,
        machine_count: int,
    ) -> None:
        self._folder = folder
        self._record = log
        self._machine_count = machine_count
        block = 16 + os.getpid() % 200
        part = (os.getpid() // 200) % 250
        self._prefix = f'127.{block}.{part}'
        self._port = find_free_ports(f'{self._prefix}.11')
        text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        self._roles = tomllib.loads(text)['roles']
        self._processes: dict[str, subprocess.Popen] = {}

    def get_ip(self, machine: int) -> str:
        """Return the address of a machine."""
        return f'{self._prefix}.{11 + machine}'

    @property
    def cloud_address(self) -> tuple[str, int]:
        return f'{self._prefix}.9', self._port + 20

    @property
    def policy_address(self) -> tuple[str, int]:
        return f'{self._prefix}.8', self._port + 21

    @property
    def control_addresses(self) -> list[str]:
        """Return the addresses for runners and operators."""
        return [f'{self.get_ip(n)}:{self._port + 18}' for n in range(3)]

    @property
    def front_addresses(self) -> list[str]:
        """Return the addresses for clients."""
        return [
            f'{self.get_ip(n)}:{self._port + 16}'
            for n in range(self._machine_count)
        ]

    def start_all(self) -> None:
        """Start all processes for the first time."""
        for machine in range(self._machine_count):
            if machine < 3:
                self.start(machine, 'control')
            self.start(machine, 'entry')

    def start(
        self,
        machine: int,
        role: str,
        bootstrap: bool = True,
        is_first_seed_down: bool = False,
    ) -> None:
        """Start the process of a role on a machine.

        With ``is_first_seed_down``, the settings name an address as the first
        seed at which no machine is any more.
        """
        name = f'{role}-{machine}'
        seeds = self.control_addresses
        if is_first_seed_down:
            seeds[0] = f'{self._prefix}.77:{self._port + 18}'
        settings = self._write_settings(machine, role, bootstrap, seeds)
        entry = self._roles[role]
        environment = {
            key: os.environ[key] for key in KEPT_VARIABLES if key in os.environ
        }
        environment |= entry.get('env', {})
        environment['ORIOLESHORE_SETTINGS'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self._folder / f'{name}.log').open('ab') as log:
            self._processes[name] = subprocess.Popen(
                shlex.split(entry['run']),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.add(f'process {name} started')

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes."""
        self._record.add(f'process {name} gets {number.name}')
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one of the processes and wait for its end."""
        self.send_signal(name, signal.SIGKILL)
        self._processes[name].wait(10)

    def stop_all(self) -> None:
        """End all processes that were started here."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(10)

    def read_logs(self) -> str:
        """Return the logs of all processes."""
        return ''.join(
            path.read_text(encoding='utf-8', errors='replace')
            for path in sorted(self._folder.glob('*.log'))
        )

    def _write_settings(
        self, machine: int, role: str, bootstrap: bool, seeds: list[str]
    ) -> pathlib.Path:
        data = self._folder / f'data-{machine}-{role}'
        has_disk = machine < 3
        if has_disk:
            data.mkdir(exist_ok=True)
        ip = self.get_ip(machine)
        text = SETTINGS.format(
            name=f'edge-{machine}',
            role=role,
            serves=json.dumps(self._roles[role]['serves']),
            ip=ip,
            zone=f'kozep-{"abc"[machine % 3]}',
            port=self._port,
            last_port=self._port + 15,
            seeds=json.dumps(seeds),
            bootstrap=str(bootstrap).lower(),
            has_disk=str(has_disk).lower(),
            data=data if has_disk else '',
            policy='{}:{}'.format(*self.policy_address),
            cloud='{}:{}'.format(*self.cloud_address),
            front=self._port + 16,
            ready=self._port + 17,
            control=self._port + 18,
        )
        # A process gets only the addresses of the role that it runs.
        dropped = ('control =',) if role == 'entry' else ('front =', 'ready =')
        lines = [
            line for line in text.splitlines() if not line.startswith(dropped)
        ]
        path = self._folder / f'{role}-{machine}.toml'
        path.write_text('\n'.join(lines) + '\n', encoding='utf-8')
        return path
