"""The answer to an upkeep is lost, and the runner is back under its id."""

import asyncio

from review.standins import harness

JOBS = 300
INTERVAL_S = 0.02
# Jobs that are submitted before the wave is ordered.
JOBS_BEFORE = 80
BODY = {
    'spec': 'work 4',
    'steps': [
        {'replicas': 2, 'cpus': 200, 'mem_mb': 256, 'estimate_ms': 4_000}
    ],
}
WAVE = {'wave': 1, 'duration_s': 25, 'cap': 1}


async def play(case: harness.Case) -> None:
    """Order a wave over one machine while jobs come all the time."""
    await case.start()
    if case.trouble:
        case.platform.lost_answers = 1
    machine = case.world.runners[0].machine
    jobs = [f'{0xF00 + number:016x}' for number in range(JOBS)]
    for number, job in enumerate(jobs):
        await case.submit(job, BODY)
        if number == JOBS_BEFORE:
            await open_wave(case, [machine])
        await asyncio.sleep(INTERVAL_S)

    async def is_completed() -> bool:
        await asyncio.sleep(0.5)
        states = [await case.get_state(job) for job in jobs]
        return set(states) == {'completed'}

    await harness.wait_until(is_completed)


async def open_wave(case: harness.Case, machines: list[str]) -> None:
    """Send the order for the wave until it is acknowledged."""
    body = WAVE | {'machines': machines}

    async def is_acknowledged() -> bool:
        for address in case.deployment.control_addresses:
            url = f'http://{address}/wave-start'
            status, _ = await case.send('POST', url, body, 1.0)
            case.record.add(f'operator POST {url} {body}: {status}')
            if status == 200:
                return True
        return False

    await harness.wait_until(is_acknowledged)


if __name__ == '__main__':
    harness.main(__file__, play)
