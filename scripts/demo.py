"""Start a small fleet on loopback and run its main operations."""

import argparse
import asyncio
import json
import pathlib
import shutil
import signal
import sys
import time
import uuid

import aiohttp
import yaml

from scripts import fleet

EXAMPLE = fleet.ROOT / 'examples' / 'document-association.yaml'
STEP_TIMEOUT_S = 60.0
POLL_S = 0.1
HEADERS = {'Authorization': f'Bearer {fleet.TOKEN}'}


class DemoError(Exception):
    """A step of the demo failed."""


def print_line(text: str) -> None:
    """Print one line without buffering."""
    print(text, flush=True)


def generate_key() -> str:
    """Return a new idempotency key with its time of issue."""
    return f'{int(time.time())}-{uuid.uuid4().hex}'


async def wait_until(what: str, check) -> None:
    """Wait until an asynchronous check returns a true value."""
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if await check():
                return
        except (aiohttp.ClientError, TimeoutError, KeyError):
            pass
        await asyncio.sleep(POLL_S)
    raise DemoError(f'{what}: not reached within {STEP_TIMEOUT_S:g} s')


class Demo:
    """Steps of the demo; each raises DemoError when it fails."""

    def __init__(
        self, running: fleet.Fleet, session: aiohttp.ClientSession
    ) -> None:
        self._fleet = running
        self._session = session
        self._document = yaml.safe_load(EXAMPLE.read_text('utf-8'))
        self._version = 0

    async def run_steps(self) -> None:
        """Run all steps."""
        await self.apply_document()
        await self.serve_requests()
        await self.maintain_host()
        await self.kill_member()

    async def apply_document(self) -> None:
        """Apply the example document, and wait until it is in force."""
        await wait_until('a leader', self._has_leader)
        await self._apply_current_document()
        print_line(f'1. document accepted as version {self._version}')
        await wait_until('ready entry hosts', self._are_entries_ready)
        print_line('2. in force at every entry host')

    async def serve_requests(self) -> None:
        """Send requests through every entry host."""
        for zone in fleet.ZONES:
            self._fleet.start_upstream(f'freight-{zone}', 'freight', zone)
        await wait_until('an upstream', self._is_served)
        for name, url in self._fleet.callers.items():
            content = await self._request_quote(url, generate_key())
            print_line(f'3. {name}: freight quote by {content["upstream"]}')
        await self._repeat_quote()

    async def _repeat_quote(self) -> None:
        key = generate_key()
        answers = [
            await self._request_quote(url, key)
            for url in (*self._fleet.callers.values(),)
        ]
        if any(answer != answers[0] for answer in answers):
            raise DemoError(f'copies of one request differ: {answers}')
        print_line('4. the same request at every entry host ran once')

    async def maintain_host(self) -> None:
        """Run a wave that drains and reboots each host within the budget."""
        self._document['waves'] = [{'name': 'kernel', 'pools': ['freight']}]
        await self._apply_current_document()
        await wait_until('the end of the wave', self._is_wave_finished)
        async with self._session.get(
            f'{self._fleet.platform_url}/v1/hosts'
        ) as response:
            reboots = (await response.json())['reboots']
        if sorted(reboots.values()) != [1] * count_freight_hosts(
            self._document
        ):
            raise DemoError(f'each host once, but: {reboots}')
        print_line(
            f'5. wave finished, {len(reboots)} hosts rebooted once each'
        )
        for line in self._get_decisions()[:3]:
            print_line(f'   {line}')

    async def kill_member(self) -> None:
        """Kill the leader; acknowledged changes must survive."""
        leader = (await self._get_status())['group']['leader']
        self._fleet.kill(leader)
        self._fleet.operators.pop(leader)
        print_line(f'6. {leader} killed with SIGKILL')
        await wait_until('a new leader', self._has_leader)
        status = await self._get_status()
        if status['version'] != self._version:
            raise DemoError(f'version {status["version"]} after the kill')
        await self._request_quote(
            next(iter(self._fleet.callers.values())), generate_key()
        )
        print_line(
            f'7. {status["group"]["leader"]} leads, version '
            f'{status["version"]} is kept, requests go on'
        )

    async def _apply_current_document(self) -> None:
        body = {
            'base_version': self._version,
            'operation_id': generate_key(),
            'document': self._document,
        }
        url = next(iter(self._fleet.operators.values()))
        async with self._session.post(
            f'{url}/v1/document', json=body, headers=HEADERS
        ) as response:
            content = await response.json()
            if response.status != 200:
                raise DemoError(f'document refused: {content}')
        self._version = content['version']

    async def _get_status(self) -> dict:
        url = next(iter(self._fleet.operators.values()))
        async with self._session.get(
            f'{url}/v1/status', headers=HEADERS
        ) as response:
            return await response.json()

    async def _has_leader(self) -> bool:
        return bool((await self._get_status())['group']['leader'])

    async def _are_entries_ready(self) -> bool:
        for name in self._fleet.callers:
            async with self._session.get(
                f'{self._fleet.health[name]}/readyz'
            ) as response:
                if response.status != 200:
                    return False
        return True

    async def _is_served(self) -> bool:
        for url in self._fleet.callers.values():
            async with self._session.get(
                f'{url}/freight/ping',
                headers={'Orioleshore-Deadline-Ms': '500'},
            ) as response:
                if response.status != 200:
                    return False
        return True

    async def _is_wave_finished(self) -> bool:
        status = await self._get_status()
        return status['waves']['kernel']['state'] == 'finished'

    async def _request_quote(self, url: str, key: str) -> dict:
        async with self._session.post(
            f'{url}/freight/quote',
            data='kit 7, 12 kg',
            headers={'Idempotency-Key': key},
        ) as response:
            text = await response.text()
            if response.status != 200:
                raise DemoError(f'quote failed: {response.status} {text}')
            return json.loads(text)

    def _get_decisions(self) -> list[str]:
        lines = []
        for path in sorted(self._fleet.folder.glob('control-*.log')):
            lines += [
                line.partition('event=decision ')[2]
                for line in path.read_text('utf-8').splitlines()
                if 'event=decision ' in line
            ]
        return lines


def count_freight_hosts(document: dict) -> int:
    """Return how many hosts the freight pool has."""
    return sum(host['pool'] == 'freight' for host in document['hosts'])


async def run(running: fleet.Fleet, once: bool) -> None:
    """Run the demo, then serve until interrupted unless ``once``."""
    timeout = aiohttp.ClientTimeout(total=10.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await Demo(running, session).run_steps()
    if once:
        return
    print_line('callers:   ' + ' '.join(running.callers.values()))
    print_line('operators: ' + ' '.join(running.operators.values()))
    print_line(f'token:     {running.token_file} (any user name in a browser)')
    print_line('press Ctrl-C to stop')
    await asyncio.Event().wait()


def main() -> int:
    """Run the demo; return 0 if all steps succeeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--once', action='store_true')
    parser.add_argument(
        '--folder', type=pathlib.Path, default=fleet.ROOT / 'demo-data'
    )
    arguments = parser.parse_args()
    shutil.rmtree(arguments.folder, ignore_errors=True)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.default_int_handler)
    running = fleet.Fleet(arguments.folder)
    running.prepare(control=3, entry=2)
    code = 1
    killed: list[str] = []
    try:
        running.start_platform()
        for name in (*running.operators, *running.callers):
            running.start_node(name)
        asyncio.run(run(running, arguments.once))
        code = 0
    except (DemoError, aiohttp.ClientError, TimeoutError) as error:
        print_line(f'demo failed: {error!r}')
    except KeyboardInterrupt:
        code = 0
    finally:
        killed = running.stop()
    if killed:
        print_line(f'demo failed: did not stop by themselves: {killed}')
        return 1
    if code == 0:
        print_line('demo ok')
    return code


if __name__ == '__main__':
    sys.exit(main())
