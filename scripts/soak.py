"""Randomised soak test: real processes under injected faults.

    python -m scripts.soak --first 1 --count 50 --seconds 25

The seed determines the sequence of faults, whose effects may overlap.
Checks what callers and workers observe: accepted jobs complete once, no
task runs twice at a time, refused jobs never start, the configuration
version never decreases, and long-running tasks run while a worker gets
answers.
"""

import argparse
import asyncio
import collections
import contextlib
import functools
import pathlib
import random
import signal
import sys
import tempfile

import aiohttp

from fakes import platform_fleet
from fakes import proxy

# Maximum delay between faults. Only one member fails at a time, because a
# group of three tolerates the loss of one.
SETTLE_S = 4.0
# Limit for each accepted job to complete after the last fault.
RECOVER_S = 30.0
JOB = {
    'spec': 'text',
    'steps': [
        {'replicas': 2, 'cpus': 500, 'mem_mb': 64, 'estimate_ms': 300},
        {'replicas': 1, 'cpus': 500, 'mem_mb': 64, 'after': [0]},
    ],
}
LASTING_JOB = {
    'spec': platform_fleet.LASTING,
    'steps': [
        {'replicas': 2, 'cpus': 500, 'mem_mb': 64, 'long_running': True}
    ],
}
LASTING_NAME = 'f' * 16
LASTING_TASKS = tuple(f'{LASTING_NAME}.0.0.{index}' for index in range(2))
# By the rule of the platform, a long-running task may be without a run for
# 6 s, the last 3 s and the 4 s before without a disturbance.
MAX_IDLE_S = 6.0
CALM_S = 7.0
WATCH_S = 0.2
HOST = {'Host': 'jobs.example', 'Timeout-Ms': '3000'}


def make_configuration(version: int) -> dict:
    """Return a configuration of one queue."""
    route = {
        'name': 'r-1',
        'host': 'jobs.example',
        'path_prefix': '/red/',
        'timeout_ms': 3_000,
        'slo_ms': 3_600,
        'service': 'red',
        'max_attempts': 2,
    }
    return {
        'version': version,
        'routes': [route],
        'services': [{'name': 'red', 'preconditions': True}],
        'limits': {},
    }


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path):
        self._random = random.Random(seed)
        self._seconds = seconds
        self._fleet = platform_fleet.PlatformFleet(folder)
        self._registry = platform_fleet.RunRegistry()
        self._cloud = self._fleet.cloud
        self._cloud.odd_rows = list(platform_fleet.ODD_MACHINE_ROWS)
        self._foreign = platform_fleet.ForeignWriter(
            self._fleet, self._fleet.control_names
        )
        self._workers: list[platform_fleet.HttpWorker] = []
        self._entry: proxy.Proxy | None = None
        self._next_job = 1
        self._version = 1
        self._acknowledged = 0
        self.problems: list[str] = []
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.faults: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Run load and faults, then wait until accepted jobs complete.

        SIGTERM stops the processes that the soak test started.
        """
        loop = asyncio.get_running_loop()
        playing = asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, playing.cancel)
        self._entry = proxy.Proxy(
            '127.0.0.1', self._fleet.get_endpoint('entry-0')
        )
        self._workers = [
            platform_fleet.HttpWorker(
                self._fleet, f'i-{number}', 'red', 0.4, self._registry
            )
            for number in range(3)
        ]
        await self._cloud.start()
        await self._entry.start()
        self._fleet.start_all()
        self._workers[0].odd_runs = platform_fleet.ODD_RUNS
        working = [
            asyncio.create_task(item.run())
            for item in (*self._workers, self._foreign)
        ]
        timeout = aiohttp.ClientTimeout(total=3.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await self._run_load(session)
        finally:
            for item in working:
                item.cancel()
            await asyncio.gather(*working, return_exceptions=True)
            self._fleet.stop_all()
            await self._entry.stop()
            await self._cloud.stop()
        self._check_starts()

    async def _run_load(self, session: aiohttp.ClientSession) -> None:
        await self._wait_until(self._put_configuration, session, RECOVER_S)
        await self._wait_until(self._submit_lasting_job, session, RECOVER_S)
        watching = asyncio.create_task(self._watch_lasting_tasks())
        try:
            await self._run_faults(session)
        finally:
            watching.cancel()
        await self._wait_until(self._are_lasting_running, session, RECOVER_S)

    async def _run_faults(self, session: aiohttp.ClientSession) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self._seconds
        faults = asyncio.create_task(self._inject_faults(end))
        while loop.time() < end:
            await asyncio.gather(
                self._submit_job(session), self._check_version(session)
            )
            await asyncio.sleep(self._random.uniform(0.05, 0.3))
        await faults
        self._entry.set_fault(proxy.Fault.NONE)
        for name in sorted(self.accepted):
            check = functools.partial(self._is_completed, name)
            await self._wait_until(check, session, RECOVER_S)

    async def _submit_lasting_job(
        self, session: aiohttp.ClientSession
    ) -> bool:
        status, _ = await self._send_request(
            session, 'POST', LASTING_NAME, json=LASTING_JOB
        )
        if status == 200:
            for task in LASTING_TASKS:
                self._registry.expect(task)
        return status == 200

    async def _are_lasting_running(self, _: aiohttp.ClientSession) -> bool:
        return not self._registry.idle_since

    async def _watch_lasting_tasks(self) -> None:
        """Report long-running tasks that a worker in contact could run."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(WATCH_S)
            contact_s = max(item.get_contact_s() for item in self._workers)
            for task, since in list(self._registry.idle_since.items()):
                idle_s = loop.time() - since
                if idle_s >= MAX_IDLE_S and contact_s >= CALM_S:
                    self.problems.append(
                        f'{task} has not run for {idle_s:.1f} s'
                    )

    async def _inject_faults(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        kinds = [
            self._kill,
            self._pause,
            self._stop_in_order,
            self._wipe,
            self._reload,
            self._disturb,
            self._leave,
            self._send_foreign_report,
        ]
        while loop.time() < end:
            kind = self._random.choice(kinds)
            self.faults[kind.__name__.strip('_')] += 1
            await kind()
            await asyncio.sleep(self._random.uniform(0.1, SETTLE_S))

    async def _kill(self) -> None:
        name = self._random.choice(self._fleet.control_names)
        self._fleet.kill(name)
        await asyncio.sleep(self._random.uniform(0.0, 1.5))
        self._fleet.start(name, bootstrap=False)

    async def _pause(self) -> None:
        names = [*self._fleet.control_names, 'entry-0']
        name = self._random.choice(names)
        self._fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 3.0))
        self._fleet.signal(name, signal.SIGCONT)

    async def _stop_in_order(self) -> None:
        name = self._random.choice(self._fleet.control_names)
        self._fleet.signal(name, signal.SIGTERM)
        process = self._fleet.processes[name]
        await asyncio.to_thread(process.wait, 10)
        # A process that is still importing its code has no handler yet; it
        # holds nothing then, so it may end by the signal.
        is_starting = not self._fleet.has_started(name)
        if process.returncode == -signal.SIGTERM and is_starting:
            self.faults['stopped_at_start'] += 1
        elif process.returncode != 0:
            self.problems.append(f'{name} ended with {process.returncode}')
        self._fleet.start(name, bootstrap=False)

    async def _wipe(self) -> None:
        name = self._random.choice(self._fleet.control_names)
        self._fleet.kill(name)
        self._fleet.wipe_data(name)
        self._fleet.start(name, bootstrap=False)
        # Wait for replication before another member may lose its data.
        await asyncio.sleep(SETTLE_S)

    async def _reload(self) -> None:
        for name in (*self._fleet.control_names, 'entry-0'):
            self._fleet.signal(name, signal.SIGHUP)

    async def _disturb(self) -> None:
        faults = [item for item in proxy.Fault if item is not proxy.Fault.NONE]
        self._entry.set_fault(self._random.choice(faults))
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        self._entry.set_fault(proxy.Fault.NONE)

    async def _leave(self) -> None:
        worker = self._random.choice(self._workers)
        await worker.leave_unacknowledged(
            self._random.uniform(0.2, 1.0), self._random.uniform(1.0, 3.0)
        )

    async def _send_foreign_report(self) -> None:
        await self._random.choice(self._workers).send_foreign_report()

    async def _submit_job(self, session: aiohttp.ClientSession) -> None:
        name = f'{self._next_job:016x}'
        self._next_job += 1
        outcomes = set()
        for _ in range(4):
            status, _ = await self._send_request(
                session, 'POST', name, json=JOB
            )
            outcomes.add(status)
            if status in (200, 503):
                break
        if 200 in outcomes:
            self.accepted.add(name)
        elif outcomes == {503}:
            self.refused.add(name)

    async def _send_request(
        self, session: aiohttp.ClientSession, method: str, name: str, **options
    ) -> tuple[int, bytes]:
        """Return the status and body; the status is 0 without a response."""
        url = f'{self._entry.url}/red/{name}'
        try:
            async with session.request(
                method, url, headers=HOST, **options
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b''

    async def _is_completed(
        self, name: str, session: aiohttp.ClientSession
    ) -> bool:
        status, body = await self._send_request(session, 'GET', name)
        if status == 410:
            self.problems.append(f'accepted job {name} is not known')
            return True
        return status == 200 and b'completed' in body

    async def _put_configuration(self, session: aiohttp.ClientSession) -> bool:
        content = make_configuration(self._version)
        for name in self._fleet.control_names:
            url = f'{self._fleet.get_url(name)}/config'
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, OSError
            ):
                async with session.put(url, json=content) as response:
                    if response.status == 200:
                        return True
        return False

    async def _check_version(self, session: aiohttp.ClientSession) -> None:
        """Raise the version at random; reads must not return older ones."""
        if self._random.random() < 0.2:
            self._version += 1
            if not await self._put_configuration(session):
                # Without an acknowledgement the version may or may not apply.
                return
            self._acknowledged = self._version
        least = self._acknowledged
        name = self._random.choice(self._fleet.control_names)
        url = f'{self._fleet.get_url(name)}/config'
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.get(url) as response:
                if response.status != 200:
                    return
                found = (await response.json(content_type=None))['version']
                if found < least:
                    self.problems.append(
                        f'{name} read version {found} after {least}'
                    )

    async def _wait_until(self, check, session, limit_s: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while not await check(session):
            if loop.time() > end:
                self.problems.append(f'not in {limit_s:g} s: {check}')
                return
            await asyncio.sleep(0.2)

    def _check_starts(self) -> None:
        self.problems += self._registry.problems
        started = {task.partition('.')[0] for task in self._registry.starts}
        for name in sorted(self.refused & started):
            self.problems.append(f'refused job {name} was started')


def run_seed(seed: int, seconds: float) -> Soak:
    """Run the soak test with one seed and print its result.

    The folder with the logs is kept.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = Soak(seed, seconds, folder)
    try:
        asyncio.run(soak.run())
    except asyncio.CancelledError:
        sys.exit(f'seed {seed}: stopped')
    result = 'ok' if not soak.problems else 'BROKEN'
    print(
        f'seed {seed}: {result}, {len(soak.accepted)} accepted, '
        f'{len(soak.refused)} refused, faults {dict(soak.faults)}',
        flush=True,
    )
    for problem in soak.problems[:10]:
        print(f'  {problem} (logs in {folder})', flush=True)
    return soak


def main() -> int:
    """Run a range of seeds; return 1 if any of them failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    arguments = parser.parse_args()
    last = arguments.first + arguments.count
    broken = [
        seed
        for seed in range(arguments.first, last)
        if run_seed(seed, arguments.seconds).problems
    ]
    print(f'{arguments.count} seeds, broken: {broken or "none"}')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
