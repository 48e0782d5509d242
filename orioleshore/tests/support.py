"""Shared test helpers: seed, clocks, waits, clusters and certificates."""

import asyncio
import contextlib
import os
import pathlib
import random
import subprocess
import time
import weakref

import aiohttp
import yaml

from fakes import entry_hosts
from orioleshore import settings
from orioleshore import settings_file
from orioleshore.roles import process
from scripts import fleet

SEED = 20_261_204
WAIT_S = 10.0
POLL_S = 0.01


def get_random(offset: int = 0) -> random.Random:
    """Return a random generator derived from ``SEED``."""
    return random.Random(SEED + offset)


def get_wall_time() -> float:
    """Return the system time, for processes that use the system clock."""
    return time.time()


async def wait_until(check, what: str, limit_s: float = WAIT_S) -> None:
    """Wait until a check returns a true value, or fail."""
    deadline = time.monotonic() + limit_s
    while not check():
        if time.monotonic() > deadline:
            raise AssertionError(f'{what}: not reached within {limit_s:g} s')
        await asyncio.sleep(POLL_S)


def run(coroutine, limit_s: float = 60.0) -> None:
    """Run a test coroutine; raise TimeoutError after ``limit_s``."""
    asyncio.run(asyncio.wait_for(coroutine, limit_s))


GOLDEN = pathlib.Path(__file__).parent / 'golden'
TOKEN = 'token-of-the-operator-alice'
UPDATE_VARIABLE = 'ORIOLESHORE_UPDATE_GOLDEN'


def compare_golden(name: str, text: str) -> None:
    """Compare a text with a golden file.

    The environment variable ORIOLESHORE_UPDATE_GOLDEN overwrites the file
    with the text first.
    """
    path = GOLDEN / name
    if os.environ.get(UPDATE_VARIABLE):
        path.write_text(text, 'utf-8')
    assert text == path.read_text('utf-8')


class Cluster:
    """Control members and entry hosts in the event loop of a test."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, process.Process] = {}
        self._members: dict[str, str] = {}
        self._token_file = folder / 'token'
        self._token_file.write_text(TOKEN, 'utf-8')

    async def start(
        self, control: int, entry: int, platform_url: str | None = None
    ) -> None:
        """Start control members and entry hosts."""
        names = [f'control-{number + 1}' for number in range(control)]
        self._members = dict(
            zip(names, fleet.reserve_addresses(control), strict=True)
        )
        for name in names:
            await self.start_control(name, platform_url)
        for number in range(entry):
            await self.start_entry(f'entry-{number + 1}')

    async def start_control(
        self, name: str, platform_url: str | None = None
    ) -> process.Process:
        """Start or restart one control member."""
        content = {
            'roles': ['control'],
            'data_folder': str(self.folder / name),
            'addresses': {
                'inner': self._members[name],
                'operators': '127.0.0.1:0',
                'health': '127.0.0.1:0',
            },
            'control': {
                'initial_members': self._members,
                'platform': platform_url,
                'proving_s': 0.5,
            },
        }
        return await self._start(name, content)

    async def start_entry(self, name: str) -> process.Process:
        """Start one entry host."""
        address = '127.0.0.1:0'
        content = {
            'roles': ['entry'],
            'addresses': {
                'inner': address,
                'callers': address,
                'upstreams': address,
                'health': address,
            },
            'entry': {'drain_notice_s': 0.2},
        }
        return await self._start(name, content)

    async def stop(self) -> None:
        """Stop all processes."""
        for running in reversed(self.processes.values()):
            await running.stop()

    def get_url(self, name: str, interface: str) -> str:
        """Return the base URL of an interface of a process."""
        return f'http://{self.processes[name].addresses[interface]}'

    async def _start(self, name: str, content: dict) -> process.Process:
        content = {
            'node': name,
            'availability_zone': f'az{len(self.processes) % 3 + 1}',
            'seeds': list(self._members.values()),
            'token_files': {'alice': str(self._token_file)},
            **content,
        }
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(content), 'utf-8')
        running = process.Process(
            settings_file.read_settings(str(path)).unwrap()
        )
        (await running.start()).unwrap()
        self.processes[name] = running
        return running


def make_authority(folder: pathlib.Path, name: str = 'authority') -> str:
    """Create a test certificate authority; return its certificate path."""
    _run_openssl(
        f'req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes '
        f'-days 2 -subj /CN={name} -keyout {folder}/{name}.key '
        f'-out {folder}/{name}.crt'
    )
    return f'{folder}/{name}.crt'


def make_certificate(
    folder: pathlib.Path, node: str, authority: str = 'authority'
) -> settings.Tls:
    """Write a key and its certificate, replacing earlier ones."""
    path = f'{folder}/{node}'
    _run_openssl(
        f'req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes '
        f'-subj /CN={node} -keyout {path}.key -out {path}.csr'
    )
    _run_openssl(
        f'x509 -req -days 2 -in {path}.csr -CAcreateserial '
        f'-CA {folder}/{authority}.crt -CAkey {folder}/{authority}.key '
        f'-out {path}.crt'
    )
    return settings.Tls(
        f'{path}.crt', f'{path}.key', f'{folder}/authority.crt'
    )


def _run_openssl(arguments: str) -> None:
    subprocess.run(
        ['openssl', *arguments.split()], check=True, capture_output=True
    )


def get_key(
    host: entry_hosts.EntryHost, number: int = 1, age_s: float = 0.0
) -> str:
    """Return an idempotency key that was issued ``age_s`` seconds ago."""
    issued = int(host.callers._clock.get_wall() - age_s)
    return f'{issued}-token-{number:08d}'


# Keys by host and number. Keys contain the time of issue, so a resent
# request must reuse its first key.
_KEYS: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()


def _get_same_key(host: entry_hosts.EntryHost, number: int) -> str:
    keys = _KEYS.setdefault(host, {})
    return keys.setdefault(number, get_key(host, number))


async def send(
    session,
    host: entry_hosts.EntryHost,
    method: str = 'POST',
    number: int = 1,
    **options,
):
    """Send a request; the same host and number reuse the same key."""
    path = options.pop('path', '/freight/q')
    key = options.pop('key', None)
    headers = dict(options.pop('headers', {}))
    if method == 'POST':
        headers['Idempotency-Key'] = key or _get_same_key(host, number)
    async with session.request(
        method, f'{host.url}{path}', headers=headers, **options
    ) as response:
        return response.status, response.headers, await response.read()


@contextlib.asynccontextmanager
async def run_entry(document, hosts: int = 1, **limits):
    """Run entry hosts; yield them with a client session of a caller."""
    fleet = entry_hosts.EntryFleet(document, **limits)
    await fleet.start(hosts)
    try:
        async with aiohttp.ClientSession() as session:
            yield fleet, session
    finally:
        await fleet.stop()
