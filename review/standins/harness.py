"""Runs one case: the deployment, its stand-ins and a scenario."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import shutil
import sys
import tempfile
import traceback

import aiohttp

from review.standins import deployment
from review.standins import platform_api
from review.standins import record
from review.standins import runners

LIMIT_S = 110.0
START_S = 30.0
POLL_S = 0.05
HOST = 'jobs.example'
PREFIX = '/red/'
SERVICE = runners.SERVICE
# Statuses, and 0 for no answer, after which a client sends again.
RESENT = (0, 429, 502, 503, 504)


class Case:
    """The parts that a scenario uses."""

    def __init__(
        self, folder: pathlib.Path, log: record.Record, machine_count: int
    ) -> None:
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = log
        self.world = runners.World(log)
        self.deployment = deployment.Deployment(folder, log, machine_count)
        self.platform = platform_api.PlatformApi(
            self.world,
            log,
            self.deployment.cloud_address,
        )
        self.session: aiohttp.ClientSession | None = None

    async def start(
        self,
        runner_count: int = 6,
        route: dict | None = None,
        has_standby: bool = False,
    ) -> None:
        """Start everything and put the first configuration in force."""
        await self.platform.start()
        self.deployment.start_all()
        self.session = aiohttp.ClientSession()
        for number in range(runner_count):
            runner = runners.Runner(
                self.world,
                f'i-{number:010x}',
                f'm-{number:05x}',
                SERVICE,
                f'r1-{1 + number // 4}',
                self.deployment.control_addresses,
            )
            runner.start()
        await self.put_configuration(1, route or {}, has_standby)
        await self._wait_for_entries()

    async def stop(self) -> None:
        """End all that was started."""
        for runner in self.world.runners:
            await runner.close()
        if self.session is not None:
            await self.session.close()
        self.deployment.stop_all()
        await self.platform.stop()

    async def put_configuration(
        self, version: int, route: dict, has_standby: bool
    ) -> None:
        """Send a configuration until it is acknowledged."""
        body = {
            'version': version,
            'routes': [
                {
                    'name': 'r-1',
                    'host': HOST,
                    'path_prefix': PREFIX,
                    'type': 'non_idempotent',
                    'timeout_ms': 3_000,
                    'slo_ms': 3_600,
                    'priority': 0,
                    'service': SERVICE,
                    'max_attempts': 2,
                    'stretch_factor': 1.6,
                    **route,
                }
            ],
            'services': [
                _make_service(SERVICE, False),
                *([_make_service('idle', True)] if has_standby else []),
            ],
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 262_144,
                'header_timeout_ms': 3_000,
                'idle_timeout_ms': 15_000,
            },
        }
        async with asyncio.timeout(START_S):
            while True:
                for address in self.deployment.control_addresses:
                    status, _ = await self.send(
                        'PUT', f'http://{address}/config', body, 1.0
                    )
                    if status == 200:
                        self.record.add(f'version {version} acknowledged')
                        return
                await asyncio.sleep(0.3)

    async def submit(
        self, job: str, body: dict, limit_s: float = 20.0
    ) -> None:
        """Submit a job until it is accepted."""
        self.world.jobs[job] = body
        async with asyncio.timeout(limit_s):
            while True:
                for entry in range(len(self.deployment.front_addresses)):
                    status, _ = await self.call('POST', job, body, entry)
                    if status // 100 == 2:
                        return
                    if status not in RESENT:
                        raise RuntimeError(f'job {job}: status {status}')
                    await asyncio.sleep(0.3)

    async def get_state(self, job: str, entry: int = 0) -> str:
        """Return the state of a job that a client is shown."""
        status, content = await self.call('GET', job, None, entry)
        if status == 200:
            return content['state']
        return f'status {status}'

    def find_leader(self) -> int:
        """Return the machine to which the runners are led."""
        for runner in self.world.runners:
            if runner.leader in self.deployment.control_addresses:
                return self.deployment.control_addresses.index(runner.leader)
        raise RuntimeError('no runner knows the leader')

    async def call(
        self,
        method: str,
        job: str,
        body: dict | None = None,
        entry: int = 0,
        limit_s: float = 3.0,
    ) -> tuple[int, dict]:
        """Send one call of a client to an entry host."""
        address = self.deployment.front_addresses[entry]
        url = f'http://{address}{PREFIX}{job}'
        status, content = await self.send(method, url, body, limit_s)
        self.record.add(
            f'client {method} {job} at entry {entry}: {status} {content}'
        )
        return status, content

    async def send(
        self, method: str, url: str, body: dict | None, limit_s: float
    ) -> tuple[int, dict]:
        """Send a request; status 0 stands for no response."""
        headers = {'Host': HOST, 'Timeout-Ms': str(int(limit_s * 1_000))}
        try:
            async with self.session.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as response:
                if response.content_type != 'application/json':
                    return response.status, {}
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def _wait_for_entries(self) -> None:
        for address in self.deployment.front_addresses:
            url = f'http://{address}{PREFIX}'

            async def is_serving(url: str = url) -> bool:
                return (await self.send('GET', url, None, 3.0))[0] == 200

            await wait_until(is_serving, START_S)


def _make_service(name: str, is_standby: bool) -> dict:
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 64,
        'protocol': 'h1',
        'tls': False,
        'preconditions': True,
        'standby': is_standby,
    }


Scenario = Callable[[Case], Awaitable[None]]


async def wait_until(
    check: Callable[[], Awaitable[bool]], limit_s: float = 20.0
) -> None:
    """Wait until a check holds; raises TimeoutError after the limit."""
    for _ in range(int(limit_s / POLL_S)):
        if await check():
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError('what is awaited did not happen')


async def _play(case: Case, scenario: Scenario) -> None:
    try:
        async with asyncio.timeout(LIMIT_S):
            await scenario(case)
    finally:
        await case.stop()


def main(path: str, scenario: Scenario, machine_count: int = 4) -> None:
    """Run a scenario; exit with 1 if a rule was broken, 2 if it failed."""
    log = record.Record(pathlib.Path(path).resolve().parent / 'record.txt')
    folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    code = 2
    try:
        case = Case(folder, log, machine_count)
        asyncio.run(_play(case, scenario))
        code = 1 if log.problems else 0
    except Exception:
        log.add(traceback.format_exc())
    finally:
        log.add(f'exit {code}')
        log.close()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(folder, kept, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
