"""A task fails once on the only runner with its label, and is left waiting."""

import asyncio

from review.standins import harness
from review.standins import runners

JOB = '00000000000000b1'
LABEL = 'b'
STEPS = [
    {
        'replicas': 1,
        'cpus': 880,
        'mem_mb': 256,
        'estimate_ms': 2_000,
        'constraints': LABEL,
    }
]
# Runners besides the one with the label.
RUNNERS = 11
# Time for which the runner fails all that it starts.
GREY_S = 5.0
FINISH_S = 14.0
# Time without a run that breaks the rule.
IDLE_S = 3.0


async def play(case: harness.Case) -> None:
    """Let the task fail once; watch whether it is started again."""
    world = case.world
    await case.start(RUNNERS)
    special = add_special_runner(case)
    await asyncio.sleep(1.0)
    special.is_faulty = case.trouble
    await case.submit(JOB, {'spec': 'work 2', 'steps': STEPS})
    submitted_s = case.record.elapsed_s

    async def has_ended() -> bool:
        return any(JOB in task for _, task, _, _, _ in world.ends)

    await harness.wait_until(has_ended)
    await asyncio.sleep(GREY_S)
    special.is_faulty = False
    case.record.add(f'runner {special.ident} is sound again')
    idle_since: float | None = None
    while case.record.elapsed_s < submitted_s + FINISH_S + 2 * IDLE_S:
        await asyncio.sleep(0.2)
        now = case.record.elapsed_s
        state = await case.get_state(JOB)
        if state in ('completed', 'failed'):
            return
        if world.get_job_runs(JOB) or now < submitted_s + FINISH_S:
            idle_since = None
            continue
        idle_since = idle_since or now
        if now >= idle_since + IDLE_S:
            case.record.add_problem(
                f'LOST {JOB} has had nothing running for {IDLE_S} s,'
                f' {now - submitted_s:.1f} s after the end of the traffic;'
                f' {special.ident} is up and runs {len(special.running)} tasks'
            )
            return


def add_special_runner(case: harness.Case) -> runners.Runner:
    """Start one more runner, the only one of its kind."""
    runner = runners.Runner(
        case.world,
        'i-00000000b0',
        'm-000b0',
        harness.SERVICE,
        'r1-2',
        case.deployment.control_addresses,
    )
    runner.labels[0] = LABEL
    runner.start()
    return runner


if __name__ == '__main__':
    harness.main(__file__, play)
