"""Leaving upstreams and planned stops of entry hosts."""

import asyncio
import signal
import subprocess
import sys

import aiohttp
import msgspec
import yaml

from fakes import upstream as fake_upstream
from orioleshore.model import ids
from orioleshore.state import subscriber
from orioleshore.tests import builders
from orioleshore.tests import support
from scripts import fleet as fleet_script

# The request in flight and the first queued one start within the grace time
# of a stop, the second queued one does not.
DELAY_S = 1.5


def test_leaving_upstream_gets_no_new_work_from_any_host():
    """Guards against attempts by an entry host that missed the message."""

    async def check():
        document = builders.build_document()
        async with support.run_entry(document, 2) as (fleet, session):
            leaving = await fleet.add_upstream()
            hosts = fleet.hosts
            for host in hosts:
                await support.send(session, host, 'GET')
            leaving.delay_s = 0.3
            last = asyncio.create_task(
                support.send(session, hosts[0], 'GET', path='/freight/last')
            )
            await support.wait_until(lambda: leaving.running, 'the run')
            fleet.network.cut_off.add(hosts[1].name)
            await leaving.leave()
            fleet.clock.advance(2.6)
            started = sum(leaving.runs.values())
            for host in hosts:
                deadline = {'Orioleshore-Deadline-Ms': '200'}
                status, headers, _ = await support.send(
                    session, host, 'GET', headers=deadline
                )
                assert headers['Orioleshore-Error'] == 'no_upstream'
            assert (await last)[0] == 200
            assert sum(leaving.runs.values()) == started

    support.run(check())


class _EntryProcess:
    """An entry process with a cached configuration, and its addresses."""

    def __init__(self, folder) -> None:
        addresses = fleet_script.reserve_addresses(4)
        names = ('inner', 'callers', 'upstreams', 'health')
        self.urls = dict(zip(names, addresses, strict=True))
        content = {
            'node': 'entry-1',
            'availability_zone': 'az1',
            'roles': ['entry'],
            'data_folder': str(folder),
            'addresses': self.urls,
            'entry': {'drain_notice_s': 0.5},
        }
        (folder / 'settings.yaml').write_text(yaml.safe_dump(content))
        cached = subscriber.CachedConfiguration(
            ids.Version(1), builders.build_document()
        )
        (folder / subscriber.CACHE_FILE_NAME).write_bytes(
            msgspec.msgpack.encode(cached)
        )
        arguments = ['-m', 'orioleshore', 'run', str(folder / 'settings.yaml')]
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=fleet_script.ROOT,
            stderr=subprocess.DEVNULL,
        )

    async def get_ready_status(self, session) -> int:
        """Return the status of the readiness endpoint, 0 without an answer."""
        url = f'http://{self.urls["health"]}/readyz'
        try:
            async with session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def wait_ready(self, session) -> None:
        """Wait until the process is ready, for 10 s at most."""
        for _ in range(200):
            if await self.get_ready_status(session) == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError('the process did not become ready')

    async def send_get(self, session, path: str):
        """Send an idempotent request; return status and headers."""
        url = f'http://{self.urls["callers"]}{path}'
        async with session.get(url) as response:
            await response.read()
            return response.status, response.headers


async def stop_under_load(entry, session, fake):
    await entry.wait_ready(session)
    await fake.start()
    # The first answer shows that the entry host holds a slot lease.
    assert (await entry.send_get(session, '/freight/first'))[0] == 200
    fake.delay_s = DELAY_S
    requests = [
        asyncio.create_task(entry.send_get(session, f'/freight/{number}'))
        for number in range(3)
    ]
    await support.wait_until(lambda: fake.running, 'the run')
    entry.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    assert await entry.get_ready_status(session) == 503
    # During the drain notice, the load balancer may still send requests.
    requests.append(asyncio.create_task(entry.send_get(session, '/nothing')))
    entry.process.send_signal(signal.SIGTERM)
    return await asyncio.gather(*requests)


def test_stop_cuts_no_request_and_exits_cleanly(tmp_path):
    """Guards against a stop that breaks requests, or that runs twice."""
    entry = _EntryProcess(tmp_path)

    async def check():
        urls = [f'http://{entry.urls["upstreams"]}']
        fake = fake_upstream.FakeUpstream('freight', urls, slots=1)
        async with aiohttp.ClientSession() as session:
            answers = await stop_under_load(entry, session, fake)
        await asyncio.to_thread(entry.process.wait, 10.0)
        await fake.stop()
        statuses = [status for status, _ in answers]
        assert sorted(statuses) == [200, 200, 404, 503]
        refused = answers[statuses.index(503)][1]
        assert refused['Orioleshore-Error'] == 'stopping'
        assert refused['Orioleshore-Ran'] == 'no'
        assert sum(fake.runs.values()) == 3
        assert entry.process.returncode == 0

    try:
        support.run(check())
    finally:
        entry.process.kill()
        entry.process.wait()


def test_stop_right_after_start_exits_cleanly(tmp_path):
    """Guards against a process that is killed by an early stop signal."""
    entry = _EntryProcess(tmp_path)

    async def check():
        async with aiohttp.ClientSession() as session:
            await entry.wait_ready(session)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(entry.process.wait, 10.0)
        assert entry.process.returncode == 0

    try:
        support.run(check())
    finally:
        entry.process.kill()
        entry.process.wait()
