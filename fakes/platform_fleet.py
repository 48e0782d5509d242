"""Real processes of both platform roles on loopback addresses.

Each process has its own settings file, as the platform writes it, and its
own address, so that all processes use the same ports.
"""

import asyncio
import contextlib
import json
import math
import os
import pathlib
import signal
import socket
import subprocess
import sys

import aiohttp
from aiohttp import web
import msgspec

from orioleshore.model import ids
from orioleshore.protocol import codec
from orioleshore.protocol import framing
from orioleshore.protocol import messages

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 0.2
_DEEP = b'[' * 5_000 + b']' * 5_000
# Rows that other writers leave in the platform's list of hosts. All name a
# host, so the list still says which hosts are gone.
ODD_MACHINE_ROWS = (
    b'{"machine":"m-odd","pool":"idle","state":"resting"}',
    b'{"machine":"m-deep","pool":"red","state":"up","x":' + _DEEP + b'}',
    b'{"machine":"m-large","pool":"red","state":"up","capacity":{"cpus":1'
    + b'0' * 400
    + b'}}',
    b'{"machine":"m-bytes","pool":"\xff","state":"up"}',
)
# What other writers send as heartbeats.
ODD_HEARTBEATS = (
    b'',
    b'\xff\xfe',
    _DEEP,
    b'{"service":"red","zone":"az-1","state":"resting","sequence":1}',
    b'{"service":"red","zone":"az-1","state":"ready","sequence":1'
    + b'0' * 400
    + b'}',
    b'{"service":7,"zone":"az-1","state":"ready","sequence":1}',
    b'{"service":"red","zone":"az-1","state":"ready","sequence":1,"capacity":'
    + _DEEP
    + b'}',
)
# Rows that other writers leave among the running tasks of a worker.
ODD_RUNS = (['no task'], 7, [None, 1, '', 10**30], [[[]], {}])
ODD_ADDRESSES = ('127.0.0.1:70000', '127.0.0.1:-1', '[::1%..]:80', 'x')
# Text of a job whose tasks run until they are stopped.
LASTING = 'lasting'
# A worker gives up waiting for the answer to a report after this time.
ANSWER_TIMEOUT_S = 1.0


def find_free_ports(count: int) -> int:
    """Return the first port of a range for ``count`` ports on loopback.

    Only the first port is checked to be free.
    """
    while True:
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            first = probe.getsockname()[1]
        if first + count < 32_768 or first + count > 61_000:
            if first + count <= 65_535:
                return first
            continue
        return first


class PlatformFleet:
    """Starts, signals and stops its own processes."""

    def __init__(self, folder: pathlib.Path, members: int = 3) -> None:
        self._folder = folder
        # Each process has its own address. The loopback subnet depends on
        # the process id, so that concurrent runs do not collide.
        block = 16 + os.getpid() % 200
        part = (os.getpid() // 200) % 250
        self._prefix = f'127.{block}.{part}'
        self._port = find_free_ports(8)
        self._members = members
        # The control processes that the settings of a process name.
        self.seed_names = self.control_names
        # Control processes on hosts without a disk.
        self.diskless_names: set[str] = set()
        # Memory in MB and descriptors of each process, by their setting.
        self.limits: dict[str, int] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.cloud = FakeCloudApi(self.cloud_address)
        # Sizes of the log files when the processes were started.
        self._log_starts: dict[str, int] = {}

    def get_address(self, name: str) -> str:
        """Return the IP address of a process."""
        kind, _, number = name.partition('-')
        base = 10 if kind == 'control' else 50
        return f'{self._prefix}.{base + int(number)}'

    def get_url(self, name: str) -> str:
        """Return the base URL for workers and operators, or callers."""
        offset = 4 if name.startswith('control') else 5
        return f'http://{self.get_address(name)}:{self._port + offset}'

    def get_endpoint(self, name: str) -> tuple[str, int]:
        """Return the address and port of the base URL."""
        offset = 4 if name.startswith('control') else 5
        return self.get_address(name), self._port + offset

    def wipe_data(self, name: str) -> None:
        """Delete the data files of a stopped member."""
        for path in (self._folder / f'data-{name}').iterdir():
            path.unlink()

    def get_ready_url(self, name: str) -> str:
        """Return the URL that the load balancer polls for readiness."""
        return f'http://{self.get_address(name)}:{self._port + 6}/ready'

    def get_metrics_url(self, name: str) -> str:
        """Return the URL from which monitoring scrapes metrics."""
        port = 9465 if name.startswith('control') else 9464
        return f'http://{self.get_address(name)}:{port}/metrics'

    @property
    def inner_port(self) -> int:
        """Return the port of the inner protocol of control processes."""
        return self._port

    @property
    def control_names(self) -> list[str]:
        return [f'control-{number}' for number in range(self._members)]

    @property
    def cloud_address(self) -> str:
        return f'{self._prefix}.9:{self._port + 7}'

    def start(self, name: str, bootstrap: bool = True) -> None:
        """Start one process."""
        path = self._write_settings(name, bootstrap)
        log = (self._folder / f'{name}.log').open('ab')
        self._log_starts[name] = log.tell()
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'orioleshore.platform',
                name.partition('-')[0],
            ],
            cwd=ROOT,
            env=os.environ | {'ORIOLESHORE_SETTINGS': str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def has_started(self, name: str) -> bool:
        """Return whether the newest process of a name logged its start."""
        with (self._folder / f'{name}.log').open('rb') as log:
            log.seek(self._log_starts[name])
            return b' event=started ' in log.read()

    def start_all(self) -> None:
        """Start the members and one entry host."""
        for name in (*self.control_names, 'entry-0'):
            self.start(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this fleet."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        self.processes[name].kill()
        self.processes[name].wait(10)

    def stop_all(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._folder / f'{name}.log').read_text('utf-8')

    def _write_settings(self, name: str, bootstrap: bool) -> pathlib.Path:
        address = self.get_address(name)
        is_control = name.startswith('control')
        seeds = [
            f'{self.get_address(seed)}:{self._port + 4}'
            for seed in self.seed_names
        ]
        has_disk = is_control and name not in self.diskless_names
        data = self._folder / f'data-{name}'
        if has_disk:
            data.mkdir(exist_ok=True)
        listen = (
            f'control = "{address}:{self._port + 4}"'
            if is_control
            else f'front = "{address}:{self._port + 5}"\n'
            f'ready = "{address}:{self._port + 6}"'
        )
        limits = '\n'.join(f'{key} = {v}' for key, v in self.limits.items())
        text = f"""
node_name = "{name}"
ip = "{address}"
zone = "az-1"
port_range = [{self._port}, {self._port + 3}]
seeds = {json.dumps(seeds)}
bootstrap = {str(bootstrap).lower()}
data_dir = "{data if has_disk else ''}"
[listen]
{listen}
[limits]
{limits}
[cloud_api]
address = "{self.cloud_address}"
"""
        path = self._folder / f'{name}.toml'
        path.write_text(text, encoding='utf-8')
        return path


class RunRegistry:
    """Runs of all workers; detects tasks that run twice."""

    def __init__(self) -> None:
        self.starts: dict[str, int] = {}
        self.problems: list[str] = []
        # Times since which long-running tasks have no run.
        self.idle_since: dict[str, float] = {}
        self._lasting: set[str] = set()
        self._running: dict[str, str] = {}
        self._done: set[str] = set()

    def expect(self, task: str) -> None:
        """Record that a long-running task is to run from now on."""
        self._lasting.add(task)
        if task not in self._running:
            self.idle_since[task] = asyncio.get_running_loop().time()

    def start(self, task: str, worker: str) -> None:
        """Record the start of a task; a conflict is added to ``problems``."""
        self.idle_since.pop(task, None)
        self.starts[task] = self.starts.get(task, 0) + 1
        if task in self._done:
            self.problems.append(f'{task} started after its end was noted')
        if task in self._running:
            other = self._running[task]
            self.problems.append(f'{task} runs on {other} and {worker}')
        self._running[task] = worker

    def end(self, task: str, worker: str) -> None:
        """Record that the run of a task on a worker has ended."""
        if self._running.get(task) != worker:
            return
        del self._running[task]
        if task in self._lasting:
            self.idle_since[task] = asyncio.get_running_loop().time()

    def observe(self, task: str, how: str) -> None:
        """Record that the scheduler acknowledged the end of a task."""
        if how == 'done':
            self._done.add(task)


class HttpWorker:
    """A worker that reports by HTTP and runs the tasks it receives.

    Ends its running tasks when its lease expires. ``starts`` counts the
    starts of each task.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        name: str,
        service: str,
        run_s: float,
        registry: RunRegistry | None = None,
    ) -> None:
        self._registry = registry or RunRegistry()
        self._lease_end = 0.0
        # Ends the runs with the lease, also while a report is under way.
        self._lapse: asyncio.TimerHandle | None = None
        self._fleet = fleet
        self._name = name
        self._service = service
        self._run_s = run_s
        self._sequence = 0
        self._number = 0
        self._running: dict[tuple[str, int], float] = {}
        self._ended: list[list] = []
        self._position = 0
        self.starts: dict[str, int] = {}
        self.accepted_reports = 0
        self._born = 1
        self._state = 'ready'
        # Whether answers are lost on their way.
        self._is_deaf = False
        # Added to the running tasks by another writer.
        self.odd_runs: tuple = ()
        self._answered_at = 0.0
        # Time since which each report has got a lease in time.
        self._answered_since = 0.0

    def get_contact_s(self) -> float:
        """Return for how long all reports have been answered in time."""
        now = asyncio.get_running_loop().time()
        if now - self._answered_at > ANSWER_TIMEOUT_S:
            return 0.0
        return now - self._answered_since

    async def run(self) -> None:
        """Send reports until cancelled."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                while True:
                    await self._send_report(session)
                    await asyncio.sleep(HEARTBEAT_S)
        finally:
            if self._lapse is not None:
                self._lapse.cancel()

    def _end_due_runs(self) -> None:
        """End the runs that are done, and all others with the lease."""
        now = asyncio.get_running_loop().time()
        for key, ends_at in list(self._running.items()):
            if now >= ends_at:
                self._end_run(key, 'done')
            elif now >= self._lease_end:
                self._end_run(key, 'lapsed')

    async def leave_unacknowledged(
        self, drain_s: float, wait_s: float
    ) -> None:
        """Drain, announce the exit, go on without answers, and start anew."""
        self._state = 'draining'
        await asyncio.sleep(drain_s)
        self._is_deaf = True
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await session.delete(self._get_url())
        await asyncio.sleep(wait_s)
        for key in list(self._running):
            self._end_run(key, 'exited')
        self._ended = []
        self._sequence = self._number = 0
        self._lease_end = 0.0
        self._born += 1
        self._state = 'ready'
        self._is_deaf = False

    async def send_foreign_report(self) -> None:
        """Send a report of another writer, which has no lists of runs."""
        body = self._make_body()
        del body['running'], body['finished']
        body['sequence'] = self._sequence + 1
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await session.put(self._get_url(), json=body)

    def _get_url(self) -> str:
        names = self._fleet.control_names
        name = names[self._position % len(names)]
        return f'{self._fleet.get_url(name)}/instances/{self._name}'

    async def _send_report(self, session: aiohttp.ClientSession) -> None:
        self._end_due_runs()
        now = asyncio.get_running_loop().time()
        self._sequence += 1
        born = self._born
        try:
            async with session.put(
                self._get_url(), json=self._make_body()
            ) as response:
                if response.status != 200:
                    self._position += 1
                    return
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._position += 1
            return
        # An answer to an earlier life is lost with its connection.
        if not self._is_deaf and born == self._born:
            self._apply_answer(answer, now)

    def _make_body(self) -> dict:
        return {
            'service': self._service,
            'zone': 'az-1',
            'state': self._state,
            'sequence': self._sequence,
            'born': self._born,
            'machine': f'm-{self._name}',
            'capacity': {'cpus': 4_000, 'mem_mb': 8_192},
            'labels': ['a', 'r1-1'],
            'running': [
                *(
                    [*key, '', 100 if ends_at == math.inf else 0]
                    for key, ends_at in self._running.items()
                ),
                *self.odd_runs,
            ],
            'finished': self._ended,
        }

    def _end_run(self, key: tuple[str, int], how: str) -> None:
        del self._running[key]
        self._registry.end(key[0], self._name)
        self._number += 1
        self._ended.append([self._number, *key, how, ''])

    def _apply_answer(self, answer: dict, sent_at: float) -> None:
        self.accepted_reports += 1
        now = asyncio.get_running_loop().time()
        if 'hold_ms' not in answer:
            return
        if now - self._answered_at > ANSWER_TIMEOUT_S:
            self._answered_since = now
        self._answered_at = now
        lease_end = sent_at + answer['hold_ms'] / 1_000.0
        self._lease_end = max(self._lease_end, lease_end)
        if self._lapse is not None:
            self._lapse.cancel()
        loop = asyncio.get_running_loop()
        self._lapse = loop.call_at(self._lease_end, self._end_due_runs)
        observed = answer.get('observed', 0)
        for end in self._ended:
            if end[0] <= observed:
                self._registry.observe(end[1], end[3])
        self._ended = [end for end in self._ended if end[0] > observed]
        for task, attempt in answer.get('stop', ()):
            if (task, attempt) in self._running:
                self._end_run((task, attempt), 'stopped')
        for task, attempt, text, *_ in answer.get('start', ()):
            self._registry.start(task, self._name)
            self.starts[task] = self.starts.get(task, 0) + 1
            run_s = math.inf if text == LASTING else self._run_s
            self._running[task, attempt] = now + run_s


class ForeignWriter:
    """Sends what no worker or process of the system would send.

    ``refused`` counts heartbeats that were refused as invalid.
    """

    def __init__(self, fleet: PlatformFleet, names: list[str]) -> None:
        self._fleet = fleet
        self._names = names
        self.refused = 0

    async def run(self) -> None:
        """Send odd heartbeats and messages to control processes in turn."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for name in self._names:
                    for number, body in enumerate(ODD_HEARTBEATS):
                        url = f'{self._fleet.get_url(name)}/instances/o-'
                        await self._send_body(session, f'{url}{number}', body)
                    await self._send_messages(name)
                await asyncio.sleep(HEARTBEAT_S)

    async def _send_body(
        self, session: aiohttp.ClientSession, url: str, body: bytes
    ) -> None:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.put(url, data=body) as response:
                self.refused += response.status == 400

    async def _send_messages(self, name: str) -> None:
        """Send odd messages of the inner protocol on one connection."""
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(
                self._fleet.get_address(name), self._fleet.inner_port
            )
            for address in ODD_ADDRESSES:
                header = messages.Header(
                    ids.NodeId('foreign'), ids.Incarnation(1), 1, address
                )
                for message in _build_odd_messages(address):
                    data = codec.encode(header, message)
                    writer.write(framing.pack_frame(data))
            await writer.drain()
            writer.close()


def _add_deep_field(fields: dict) -> bytes:
    """Return fields as MessagePack, with one that is nested deeply."""
    data = msgspec.msgpack.encode(fields)
    # The first byte of a small map holds the number of its fields.
    deep = b'\x91' * 5_000 + b'\xc0'
    return bytes([data[0] + 1]) + data[1:] + b'\xa1x' + deep


def _build_odd_messages(address: str) -> tuple:
    """Return messages with an odd address, or with data nested deeply."""
    deep = _add_deep_field({})
    return (
        messages.GroupAddresses(ids.Term(2**62), address, (address,)),
        messages.QueryReply('', '', deep, address),
        messages.Query(
            'jobs', _add_deep_field({'type': 'GetWave', 'wave': '1'})
        ),
        messages.Query('GetMembers', _add_deep_field({'type': 'GetMembers'})),
        messages.Propose(_add_deep_field({'type': 'ChangeMembers'})),
        messages.SnapshotChunk(
            ids.Term(0), ids.LogIndex(9), ids.Term(0), 0, deep, True
        ),
    )


class FakeCloudApi:
    """A fake cloud API that accepts all maintenance.

    It lists ``machines`` and then ``odd_rows``, which are sent as they are.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self.upkeeps: list[str] = []
        self.machines: list[dict] = []
        self.odd_rows: list[bytes] = []
        # Hosts that stay and are in no page, and hosts that it no longer has.
        self.missing: set[str] = set()
        self.withdrawn: set[str] = set()
        # Number of times that the list was read.
        self.reads = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        app = web.Application()
        app.router.add_get('/machines', self._list_machines)
        app.router.add_post('/machine-upkeep', self._start_upkeep)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = self._address.partition(':')
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close the socket."""
        await self._runner.cleanup()

    async def _list_machines(self, request: web.Request) -> web.Response:
        self.reads += 1
        hidden = self.missing | self.withdrawn
        rows = [
            json.dumps(machine).encode()
            for machine in self.machines
            if machine['machine'] not in hidden
        ]
        rows += self.odd_rows
        body = b'{"machines":[' + b','.join(rows) + b'],"next_token":null}'
        return web.Response(body=body, content_type='application/json')

    async def _start_upkeep(self, request: web.Request) -> web.Response:
        machine = (await request.json())['machine']
        if machine in self.withdrawn:
            return web.json_response({}, status=400)
        self.upkeeps.append(machine)
        return web.json_response({})
