"""More than 500 tasks end on one runner while no member leads.

The new leader gets the ends 500 at a time. A task whose end is not in the
first part is started again.
"""

import asyncio
import json
import os
import pathlib

from lab import case as cases

JOB = '5c0e7a21d94b36f8'
# Tasks of 0.1 cores: 640 of them fill one runner of 64 cores.
STEP = {'replicas': 1_280, 'cpus': 100, 'mem_mb': 64, 'estimate_ms': 640}
# How much longer than the shortest task the longest one takes, in ms.
SPREAD_MS = int(os.environ.get('SPREAD', 400))
SPEC = json.dumps({'ms': 440, 'spread': SPREAD_MS})


async def run_steps(case: cases.Case) -> list[str]:
    runners = [
        case.add_runner('i-7f3a91c2'),
        case.add_runner('i-2b6d04e9', zone='zone-b'),
    ]
    await asyncio.sleep(5.0)
    await case.submit(JOB, [STEP], SPEC)
    await case.wait_until(
        lambda: all(len(made.runs) > 600 for made in runners), 10.0
    )
    leader = await case.people.find_leader()
    if leader is None:
        raise cases.NotRunError('no leader')
    if case.has_trouble:
        case.system.kill('control', leader)
        case.log.add('case', 'killed', role='control', machine=leader)
        await asyncio.sleep(2.0)
        case.system.start('control', leader)
    state = await case.people.wait_for_state(
        JOB, ('completed', 'failed'), 40.0
    )
    case.log.add('case', 'last_state', state=state)
    return cases.find_repeats(runners)


if __name__ == '__main__':
    cases.main(pathlib.Path(__file__).parent, run_steps)
