"""Support of all tests: a seed, clocks, and waiting with a limit."""

import asyncio
import os
import pathlib
import random
import time

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


def check_golden(name: str, text: str) -> None:
    """Compare a text with its golden file.

    The file is written anew when ORIOLESHORE_WRITE_GOLDEN is set.
    """
    path = pathlib.Path(__file__).parent / 'golden' / name
    if os.environ.get('ORIOLESHORE_WRITE_GOLDEN'):
        path.parent.mkdir(exist_ok=True)
        path.write_text(text, 'utf-8')
    assert text == path.read_text('utf-8')
