"""The main path through all processes, compared with a golden file."""

import asyncio
import html
import json
import re
import time

import aiohttp
import msgspec
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fakes import platform
from fakes import upstream
from orioleshore.model import documents
from orioleshore.tests import builders
from orioleshore.tests import support

scenarios('features/session.feature')

HEADERS = {'Authorization': f'Bearer {support.TOKEN}'}
KEY = 'quote-0001'
# Ports and ids differ between runs.
VOLATILE_PATTERNS = (
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
    (re.compile(r'\d{10}-'), '<time>-'),
)


class Session:
    """The system under test, with a transcript of what its users see."""

    def __init__(self, folder) -> None:
        self.loop = asyncio.new_event_loop()
        self.cluster = support.Cluster(folder)
        self.platform = platform.FakePlatform(drain_s=0.05, reboot_s=0.05)
        self.upstreams: list[upstream.FakeUpstream] = []
        self.transcript: list[str] = []
        self.client: aiohttp.ClientSession | None = None
        self.document = builders.build_document(hosts=3)
        self.issued = int(time.time())

    def run(self, coroutine):
        return self.loop.run_until_complete(asyncio.wait_for(coroutine, 30.0))

    async def start(self) -> None:
        self.client = aiohttp.ClientSession()
        await self.platform.start()
        await self.cluster.start(3, 2, self.platform.url)
        await self.call_service('entry-1', 'GET', '/freight/too-early')

    async def stop(self) -> None:
        for item in self.upstreams:
            await item.stop()
        await self.client.close()
        await self.cluster.stop()
        await self.platform.stop()

    def add_line(self, line: str) -> None:
        for pattern, placeholder in VOLATILE_PATTERNS:
            line = pattern.sub(placeholder, line)
        self.transcript.append(line)

    async def send_request(self, method: str, url: str, **options):
        async with self.client.request(method, url, **options) as response:
            return response.status, response.headers, await response.text()

    async def submit(
        self, base: int, number: int, document=None
    ) -> tuple[int, dict]:
        content = {
            'base_version': base,
            'operation_id': f'{self.issued}-operation-{number}',
            'document': msgspec.to_builtins(document or self.document),
        }
        url = self.cluster.get_url('control-2', 'operators')
        status, _, text = await self.send_request(
            'POST', f'{url}/v1/document', json=content, headers=HEADERS
        )
        self.add_line(
            f'change {number} on {base}: {status} {_sort_json_keys(text)}'
        )
        return status, json.loads(text)

    async def call_service(
        self, entry: str, method: str, path: str, **options
    ):
        url = self.cluster.get_url(entry, 'callers')
        status, headers, text = await self.send_request(
            method, url + path, **options
        )
        ran = headers.get('Orioleshore-Ran', '-')
        self.add_line(f'{entry} {method} {path}: {status} ran={ran}')
        return status, text

    async def get_status(self) -> dict:
        url = self.cluster.get_url('control-3', 'operators')
        _, _, text = await self.send_request(
            'GET', f'{url}/v1/status', headers=HEADERS
        )
        return json.loads(text)

    async def wait_for_version(self, version: int) -> None:
        deadline = time.monotonic() + 3.0
        while True:
            versions = (await self.get_status())['group']['versions_in_force']
            if len(versions) == 5 and set(versions.values()) == {version}:
                return
            assert time.monotonic() < deadline, versions
            await asyncio.sleep(0.05)


def _sort_json_keys(text: str) -> str:
    return json.dumps(json.loads(text), sort_keys=True)


@pytest.fixture
def session(tmp_path):
    running = Session(tmp_path)
    yield running
    running.run(running.stop())
    running.loop.close()


@given('three control members, two entry hosts and a platform')
def start(session):
    session.run(session.start())


@when('alice sends a document with two mistakes')
def send_invalid_document(session):
    wrong = json.loads(msgspec.json.encode(session.document))
    wrong['pools'].append({'name': 'freight', 'spar': True})
    wrong['hosts'][0]['cores'] = 'many'
    session.run(session.submit(0, 1, wrong))


@when('alice applies a document with a freight service')
def apply_document(session):
    session.run(session.submit(0, 2))
    session.run(session.wait_for_version(1))


@when('alice sends the same change again')
def repeat_change(session):
    session.run(session.submit(0, 2))


@when('bob sends a change that is based on the previous version')
def send_outdated_change(session):
    session.run(session.submit(0, 3))


@when('two upstreams announce themselves at entry-1')
def announce_upstreams(session):
    async def run_step():
        url = session.cluster.get_url('entry-1', 'upstreams')
        for _ in range(2):
            item = upstream.FakeUpstream('freight', [url])
            await item.start()
            session.upstreams.append(item)
        await session.call_service('entry-2', 'GET', '/freight/warm-up')

    session.run(run_step())


@when('a caller requests a page through each entry host')
def request_page(session):
    async def run_step():
        for entry in ('entry-1', 'entry-2'):
            _, text = await session.call_service(
                entry, 'GET', '/freight/page?q=1'
            )
            content = json.loads(text)
            session.add_line(f'  {content["method"]} {content["path"]}')

    session.run(run_step())


@when('a caller requests a freight quote without a key')
def request_quote_without_key(session):
    session.run(
        session.call_service('entry-1', 'POST', '/freight/quote', data='kit 7')
    )


async def _send_quote(session, entry, body):
    return await session.call_service(
        entry,
        'POST',
        '/freight/quote',
        data=body,
        headers={'Idempotency-Key': f'{session.issued}-{KEY}'},
    )


@when('a caller sends one freight quote through both entry hosts')
def send_quote_twice(session):
    async def run_step():
        _, first = await _send_quote(session, 'entry-1', 'kit 7')
        _, second = await _send_quote(session, 'entry-2', 'kit 7')
        key = f'{session.issued}-{KEY}'
        runs = sum(item.runs[key] for item in session.upstreams)
        session.add_line(f'  same answer: {first == second}, runs: {runs}')

    session.run(run_step())


@when('a caller sends another body under the same key')
def send_other_body(session):
    session.run(_send_quote(session, 'entry-2', 'kit 8'))


@when('a caller requests a brand that no service has')
def request_unknown_brand(session):
    session.run(session.call_service('entry-1', 'GET', '/unknown'))


@when('an upstream withdraws its announcement')
def withdraw_upstream(session):
    async def run_step():
        leaving, staying = session.upstreams
        await leaving.leave()
        before = leaving.runs.total()
        for entry in ('entry-1', 'entry-2') * 3:
            status, _ = await session.call_service(
                entry, 'GET', '/freight/after'
            )
            assert status == 200
        session.add_line(f'  new work: {leaving.runs.total() - before}')

    session.run(run_step())


@when('alice saves a wave with a form of the console')
def save_wave(session):
    async def run_step():
        url = session.cluster.get_url('control-1', 'operators') + '/edit/waves'
        _, _, page = await session.send_request('GET', url, headers=HEADERS)
        form = {
            name: html.unescape(value)
            for name, value in re.findall(
                r'type="hidden" name="(\w+)" value="([^"]*)"', page
            )
        }
        form |= {
            'item.name': 'kernel',
            'item.pools': '["freight"]',
            'action': 'set',
        }
        for attempt in ('saved', 'sent again'):
            status, _, text = await session.send_request(
                'POST', url, data=form, headers=HEADERS
            )
            found = re.search(r'Version \d+ is accepted', text)
            session.add_line(f'form {attempt}: {status} {found.group(0)}')
        form['form_token'] = 'forged'
        status, _, _ = await session.send_request(
            'POST', url, data=form, headers=HEADERS
        )
        session.add_line(f'form forged: {status}')

    session.run(run_step())


@then('the wave reboots each host exactly once')
def check_wave(session):
    async def run_step():
        deadline = time.monotonic() + 20.0
        while True:
            wave = (await session.get_status())['waves']['kernel']
            if wave['state'] == 'finished':
                break
            assert time.monotonic() < deadline, wave
            await asyncio.sleep(0.1)
        assert session.platform.reboots == {
            host.name: 1 for host in session.document.hosts
        }
        session.add_line(f'wave {wave["state"]}: {wave["hosts"]}')

    session.run(run_step())


@then('alice sees the version in force at each process')
def check_versions(session):
    session.run(session.wait_for_version(2))
    status = session.run(session.get_status())
    for node, version in status['group']['versions_in_force'].items():
        session.add_line(f'in force at {node}: {version}')
    assert status['services'][0]['losses'][0]['cores_down'] == 0


@then(parsers.parse('the transcript equals the golden file "{name}"'))
def check_transcript(session, name):
    text = '\n'.join(session.transcript) + '\n'
    support.compare_golden(name, text)
    assert documents.find_inconsistencies(session.document) == []
