"""A job of 100,000 small tasks is handed in.

It doesn't start, and the tasks of another job, which last, stop and don't come
back. With SCHEDULED=1, eight jobs that are to run each minute for two weeks
are handed in instead.
"""

import asyncio
import json
import os
import pathlib
import time

from lab import case as cases

LASTING = '1a2b3c4d5e6f7081'
LASTING_STEP = {
    'replicas': 5,
    'cpus': 4_600,
    'mem_mb': 1_024,
    'long_running': True,
}
WIDE = '7f3a91c26d04e95c'
# Tasks of 0.05 cores: 1,280 of them fit into one runner of 64 cores.
WIDE_STEP = {'cpus': 50, 'mem_mb': 32, 'estimate_ms': 640}
WIDE_TASKS = 100_000
SPEC = json.dumps({'ms': 640, 'spread': 640})
STEP = {'replicas': 1, 'cpus': 4_600, 'mem_mb': 1_024, 'estimate_ms': 640}
JOBS = 8
MINUTES_IN_TWO_WEEKS = 20_160
WATCH_S = 60.0
# The rule counts 3 s without a run, from 6 s after the last run of a task.
MAX_GAP_S = 9.0


async def hand_in_wide(case: cases.Case) -> None:
    """Hand in a job of many tasks, or of few without the disruption."""
    count = int(os.environ.get('COUNT', WIDE_TASKS))
    step = WIDE_STEP | {'replicas': count if case.has_trouble else 100}
    is_accepted = await case.try_submit(WIDE, [step], SPEC)
    case.log.add('case', 'handed_in', job=WIDE, accepted=is_accepted)


async def hand_in_scheduled(case: cases.Case) -> None:
    """Hand in the scheduled jobs, one after the other."""
    due_ms = int((time.time() + 3_600) * 1_000)
    count = int(os.environ.get('COUNT', MINUTES_IN_TWO_WEEKS))
    for number in range(JOBS):
        job = f'5c0e7a21d94b36f{number}'
        is_accepted = await case.try_submit(
            job,
            [STEP],
            SPEC,
            repeat_count=count if case.has_trouble else 60,
            interval_ms=60_000,
            start_time_ms=due_ms,
        )
        case.log.add('case', 'handed_in', job=job, accepted=is_accepted)


async def watch(case: cases.Case) -> dict[str, float]:
    """Return the longest time without a run of each task that lasts."""
    until = case.log.get_now() + WATCH_S
    since: dict[str, float] = {}
    longest: dict[str, float] = {}
    tasks = [f'{LASTING}.0.0.{n}' for n in range(LASTING_STEP['replicas'])]
    while case.log.get_now() < until:
        now = case.log.get_now()
        running = {task for made in case.runners for task in made.runs}
        for task in tasks:
            if task in running:
                since.pop(task, None)
                continue
            gap_s = now - since.setdefault(task, now)
            longest[task] = max(longest.get(task, 0.0), gap_s)
        await asyncio.sleep(0.05)
    return longest


async def run_steps(case: cases.Case) -> list[str]:
    for number in range(5):
        case.add_runner(f'i-7f3a91c{number}')
    await asyncio.sleep(5.0)
    await case.submit(LASTING, [LASTING_STEP], json.dumps({'ms': 0}))
    if not await case.wait_until(
        lambda: sum(len(made.runs) for made in case.runners) == 5, 8.0
    ):
        raise cases.NotRunError('the tasks that last did not start')
    await asyncio.sleep(4.0)
    hand_in = hand_in_wide
    if os.environ.get('SCHEDULED') == '1':
        hand_in = hand_in_scheduled
    handing_in = asyncio.create_task(hand_in(case))
    longest = await watch(case)
    handing_in.cancel()
    await asyncio.gather(handing_in, return_exceptions=True)
    for machine in range(3):
        peak_kb = case.system.read_peak_kb('control', machine)
        case.log.add('case', 'memory', machine=machine, peak_kb=peak_kb)
    case.log.add('case', 'ended', processes=case.system.find_ended())
    for task, gap_s in longest.items():
        case.log.add('case', 'longest_gap', task=task, seconds=round(gap_s, 2))
    starts = sum(
        entry[0].startswith(WIDE)
        for made in case.runners
        for entry in made.history
    )
    case.log.add('case', 'starts_of_the_wide_job', count=starts)
    await case.people.get_state(WIDE)
    await case.people.get_state(LASTING)
    return [
        f'{task} had no run for {gap_s:.1f} s'
        for task, gap_s in longest.items()
        if gap_s > MAX_GAP_S
    ]


if __name__ == '__main__':
    cases.main(pathlib.Path(__file__).parent, run_steps)
