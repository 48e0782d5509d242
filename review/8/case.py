"""The acknowledgement of a runner's exit is lost.

The runner goes on for some seconds, and its tasks are started elsewhere
meanwhile.
"""

import asyncio
import json
import pathlib

from lab import case as cases

JOB = '5c0e7a21d94b36f8'
# Tasks of 20 cores: three of them fit into one runner of 64 cores.
STEP = {'replicas': 9, 'cpus': 20_000, 'mem_mb': 4_096, 'estimate_ms': 12_000}
SPEC = json.dumps({'ms': 12_000})
RUNNERS = 16
# A runner leaves this long after it began to drain.
DRAIN_S = 3.0
# It ends so long after a DELETE without an acknowledgement.
EXIT_S = 3.0


async def run_steps(case: cases.Case) -> list[str]:
    runners = [case.add_runner(f'i-7f3a91{n:02}') for n in range(RUNNERS)]
    await asyncio.sleep(5.0)
    await case.submit(JOB, [STEP], SPEC)
    if not await case.wait_until(
        lambda: sum(len(made.runs) for made in runners) == 9, 5.0
    ):
        raise cases.NotRunError('the tasks did not start')
    leaving = next(made for made in runners if len(made.runs) == 3)
    leaving.state = 'draining'
    case.log.add(leaving.name, 'drains', runs=len(leaving.runs))
    await asyncio.sleep(DRAIN_S)
    # Right after a heartbeat; the next one is due 1.5 s later.
    answered_at = leaving.answered_at
    await case.wait_until(lambda: leaving.answered_at > answered_at, 3.0)
    if case.has_trouble:
        leaving.are_answers_lost = True
        case.log.add('case', 'cut', runner=leaving.name, how='one way')
    await asyncio.sleep(0.1)
    await leaving.leave(EXIT_S)
    case.log.add('case', 'healed')
    state = await case.people.wait_for_state(
        JOB, ('completed', 'failed'), 60.0
    )
    case.log.add('case', 'last_state', state=state)
    return cases.find_repeats(runners)


if __name__ == '__main__':
    cases.main(pathlib.Path(__file__).parent, run_steps)
