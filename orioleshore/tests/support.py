"""Support of all tests: a seed, clocks, and waiting with a limit."""

import asyncio
import contextlib
import random
import time

import aiohttp

from fakes import entry_hosts

SEED = 20_261_204
WAIT_S = 10.0
POLL_S = 0.01


def get_random(offset: int = 0) -> random.Random:
    """Return random numbers from the stated seed."""
    return random.Random(SEED + offset)


async def wait_until(check, what: str, limit_s: float = WAIT_S) -> None:
    """Wait until a check returns a true value, or fail."""
    deadline = time.monotonic() + limit_s
    while not check():
        if time.monotonic() > deadline:
            raise AssertionError(f'{what}: not reached within {limit_s:g} s')
        await asyncio.sleep(POLL_S)


def run(coroutine) -> None:
    """Run a test coroutine with a limit on its time."""
    asyncio.run(asyncio.wait_for(coroutine, 60.0))


def get_key(
    host: entry_hosts.EntryHost, number: int = 1, age_s: float = 0.0
) -> str:
    """Return an idempotency key that was issued some seconds ago."""
    issued = int(host.callers._clock.get_wall() - age_s)
    return f'{issued}-token-{number:08d}'


async def send(
    session,
    host: entry_hosts.EntryHost,
    method: str = 'POST',
    number: int = 1,
    **options,
):
    """Send a request; return status, headers and body."""
    path = options.pop('path', '/freight/q')
    key = options.pop('key', None)
    headers = dict(options.pop('headers', {}))
    if method == 'POST':
        headers['Idempotency-Key'] = key or get_key(host, number)
    async with session.request(
        method, f'{host.url}{path}', headers=headers, **options
    ) as response:
        return response.status, response.headers, await response.read()


@contextlib.asynccontextmanager
async def run_entry(document, hosts: int = 1, **limits):
    """Run entry hosts, and give them with a session of a caller."""
    fleet = entry_hosts.EntryFleet(document, **limits)
    await fleet.start(hosts)
    try:
        async with aiohttp.ClientSession() as session:
            yield fleet, session
    finally:
        await fleet.stop()
