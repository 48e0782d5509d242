"""Kills and freezes of separate processes under load.

The seed decides the order of the faults. Whatever their timing, the
guarantees to callers and operators must hold: the answer to each caller is
compared with the runs that the fake upstreams counted.
"""

import asyncio
import json
import time

import aiohttp
import msgspec

from fakes import upstream
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support
from scripts import fleet

HEADERS = {'Authorization': f'Bearer {fleet.TOKEN}'}
FAULT_COUNT = 6
PAUSE_S = 2.5
CALL_TIMEOUT_S = 20.0
# Five processes import their code at once, which has taken 25 s on a busy
# machine. No guarantee covers this time, so it has a limit of its own.
START_TIMEOUT_S = 60.0


class LoadGenerator:
    """Callers and operators, with the answers that each received."""

    def __init__(self, running: fleet.Fleet) -> None:
        self.fleet = running
        self.random = support.get_random()
        self.acknowledged: list[str] = []
        self.answers: dict[str, list[tuple[int, str, str]]] = {}
        self.is_stopping = False
        self.client: aiohttp.ClientSession | None = None
        self._version = 0

    async def submit_changes(self) -> None:
        """Add pools one by one, and repeat changes without an answer."""
        number = 0
        while not self.is_stopping:
            number += 1
            name = f'pool-{number}'
            if await self._submit_change(number, name):
                self.acknowledged.append(name)

    async def send_quotes(self, worker: int) -> None:
        """Send each request through all entry hosts at the same time."""
        number = 0
        while not self.is_stopping:
            number += 1
            key = f'{int(time.time())}-quote-{worker:02d}-{number:06d}'
            urls = list(self.fleet.callers.values())
            self.random.shuffle(urls)
            self.answers[key] = []
            await asyncio.gather(*(self._send_quote(url, key) for url in urls))

    async def get_document(self, limit_s: float = CALL_TIMEOUT_S) -> dict:
        """Return the document from any control member that answers."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            for url in self.fleet.operators.values():
                try:
                    async with self.client.get(
                        f'{url}/v1/document', headers=HEADERS
                    ) as response:
                        if response.status == 200:
                            return await response.json()
                except (aiohttp.ClientError, TimeoutError):
                    continue
            await asyncio.sleep(0.1)
        raise AssertionError('no control member returns the document')

    async def _submit_change(self, number: int, name: str) -> bool:
        operation_id = builders.build_operation_id(number, time.time())
        current = await self.get_document()
        document = current['document']
        document['pools'].append({'name': name})
        content = {
            'base_version': current['version'],
            'operation_id': operation_id,
            'document': document,
        }
        deadline = time.monotonic() + CALL_TIMEOUT_S
        while time.monotonic() < deadline:
            for url in self.fleet.operators.values():
                answer = await self._post_change(f'{url}/v1/document', content)
                if answer is not None:
                    return answer
        raise AssertionError(f'change {name} got no answer')

    async def _post_change(self, url: str, content: dict) -> bool | None:
        """Return True if a change was accepted, None if that is unknown."""
        try:
            async with self.client.post(
                url, json=content, headers=HEADERS
            ) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            return None
        assert status in (200, 503, 504), status
        return True if status == 200 else None

    async def _send_quote(self, url: str, key: str) -> None:
        try:
            async with self.client.post(
                f'{url}/freight/quote',
                data=key,
                headers={
                    'Idempotency-Key': key,
                    'Orioleshore-Deadline-Ms': '4000',
                },
            ) as response:
                text = await response.text()
                ran = response.headers.get('Orioleshore-Ran', '')
                self.answers[key].append((response.status, ran, text))
        except (aiohttp.ClientError, TimeoutError):
            self.answers[key].append((0, 'unknown', ''))


async def inject_faults(running: fleet.Fleet, random_source) -> None:
    """Kill or freeze one process at a time, then restart or resume it."""
    for _ in range(FAULT_COUNT):
        names = [n for n in running.processes if n != 'platform']
        name = random_source.choice(sorted(names))
        if random_source.random() < 0.5:
            running.kill(name)
            await asyncio.sleep(random_source.uniform(0.1, 1.5))
            running.start_node(name)
        else:
            running.pause(name)
            await asyncio.sleep(PAUSE_S)
            running.resume(name)
        await asyncio.sleep(1.0)


def check_answers(load: LoadGenerator, upstreams: list) -> dict[str, int]:
    """Compare the answers to callers with the requests that ran."""
    counts = {'answered': 0, 'no': 0, 'unknown': 0}
    for key, answers in load.answers.items():
        runs = sum(item.runs[key] for item in upstreams)
        assert runs <= 1, f'{key} ran {runs} times: {answers}'
        bodies = {text for status, _, text in answers if status == 200}
        assert len(bodies) <= 1, f'{key}: copies got different answers'
        for text in bodies:
            assert json.loads(text)['body'] == key
        counts['answered'] += bool(bodies)
        if answers and all(ran == 'no' for _, ran, _ in answers):
            counts['no'] += 1
            assert runs == 0, f'{key} ran, but callers got "no"'
        elif not bodies:
            counts['unknown'] += 1
    return counts


async def start_fleet(running: fleet.Fleet, load: LoadGenerator) -> list:
    """Start all processes and upstreams, and apply the first document."""
    running.start_platform()
    for name in (*running.operators, *running.callers):
        running.start_node(name)
    upstreams = []
    for position in range(3):
        item = upstream.FakeUpstream(
            'freight', list(running.upstreams.values()), f'az{position + 1}'
        )
        await item.start()
        item.delay_s = 0.02
        upstreams.append(item)
    await load.get_document(START_TIMEOUT_S)
    content = {
        'base_version': 0,
        'operation_id': builders.build_operation_id(0, time.time()),
        'document': msgspec.to_builtins(
            documents.Document(
                pools=(documents.Pool(ids.PoolId('freight')),),
                services=(builders.build_service(),),
            )
        ),
    }
    url = next(iter(running.operators.values()))
    assert await load._post_change(f'{url}/v1/document', content)
    return upstreams


async def run_with_faults(folder) -> None:
    running = fleet.Fleet(folder)
    running.prepare(control=3, entry=2)
    load = LoadGenerator(running)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    load.client = aiohttp.ClientSession(timeout=timeout)
    upstreams = []
    try:
        upstreams = await start_fleet(running, load)
        workers = [
            asyncio.create_task(load.submit_changes()),
            *(asyncio.create_task(load.send_quotes(n)) for n in range(4)),
        ]
        await inject_faults(running, support.get_random(1))
        load.is_stopping = True
        await asyncio.gather(*workers)
        counts = check_answers(load, upstreams)
        pools = [
            pool['name']
            for pool in (await load.get_document())['document']['pools']
        ]
        assert counts['answered'] > 20, counts
        assert pools == ['freight', *load.acknowledged], 'changes were lost'
        assert load.acknowledged
    finally:
        for item in upstreams:
            await item.stop()
        await load.client.close()
        running.stop()


def test_guarantees_hold_under_kills_and_freezes(tmp_path):
    """Guards against lost changes, duplicate runs and wrong "not run"."""
    support.run(run_with_faults(tmp_path), limit_s=120.0 + START_TIMEOUT_S)
