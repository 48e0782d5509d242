"""A restarted entry host takes answers to its last life for its own."""

import asyncio
import signal

from review.standins import harness

BODY = {
    'spec': 'work 0.5',
    'steps': [{'replicas': 1, 'cpus': 100, 'mem_mb': 64, 'estimate_ms': 500}],
}
CALLS = 12
FIRST_JOBS = [f'{0xA000 + number:016x}' for number in range(CALLS)]
SECOND_JOBS = [f'{0xB000 + number:016x}' for number in range(CALLS)]
MACHINES = 6
# The machine whose entry process is killed, and one that clients ask later.
ENTRY = 3
OTHER_ENTRY = 0
# Length of the freeze of the leader, and the time from its begin to the kill.
FREEZE_S = 0.3
KILL_AFTER_S = 0.1
# Clients whose connection is refused try again after this time.
RETRY_S = 0.005
# Twice `contact_ms`, and more than `visible_ms`.
CALM_S = 6.5


async def play(case: harness.Case) -> None:
    """Kill an entry process with calls under way; hand in jobs at the next."""
    await case.start()
    for job in (*FIRST_JOBS, *SECOND_JOBS):
        case.world.jobs[job] = BODY
    leader = f'control-{case.find_leader()}'
    if case.trouble:
        case.deployment.send_signal(leader, signal.SIGSTOP)
    first = [
        asyncio.create_task(case.call('POST', job, BODY, ENTRY))
        for job in FIRST_JOBS
    ]
    await asyncio.sleep(KILL_AFTER_S)
    if case.trouble:
        case.deployment.kill(f'entry-{ENTRY}')
        case.deployment.start(
            ENTRY, 'entry', bootstrap=False, is_first_seed_down=True
        )
    second = asyncio.gather(*(hand_in(case, job) for job in SECOND_JOBS))
    await asyncio.sleep(FREEZE_S - KILL_AFTER_S)
    if case.trouble:
        case.deployment.send_signal(leader, signal.SIGCONT)
    accepted = [job for job in await second if job]
    await asyncio.gather(*first)
    await asyncio.sleep(CALM_S)
    states = [await case.get_state(job, OTHER_ENTRY) for job in accepted]
    lost = states.count('status 410')
    if lost:
        case.record.add_problem(
            f'LOST of {len(accepted)} jobs that were accepted with 200 at'
            f' entry {ENTRY}, {lost} are answered 410 at entry {OTHER_ENTRY}'
            f' {CALM_S} s later; nobody has cancelled them'
        )


async def hand_in(case: harness.Case, job: str) -> str:
    """Submit a job, again while the connection is refused.

    Returns its id if it was accepted.
    """
    address = case.deployment.front_addresses[ENTRY]
    url = f'http://{address}{harness.PREFIX}{job}'
    while True:
        status, content = await case.send('POST', url, BODY, 3.0)
        if status:
            case.record.add(
                f'client POST {job} at entry {ENTRY}: {status} {content}'
            )
            return job if status == 200 else ''
        await asyncio.sleep(RETRY_S)


if __name__ == '__main__':
    harness.main(__file__, play, MACHINES)
