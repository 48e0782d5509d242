"""Builders of test data for large loads: many tasks, occurrences and calls."""

import asyncio

import msgspec
from result import Ok

from fakes import policy
from fakes import workers as fake_workers
from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import pacing
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import task as jobs_task
from orioleshore.jobs import turns
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.telemetry import latencies
from orioleshore.tests import builders
from orioleshore.tests import support
from orioleshore.timers import clock

# A task of which a worker of 64 cores runs 640 at a time.
SMALL = specs.Resources(100, 64)
MINUTES_IN_TWO_WEEKS = 20_160
MINUTE_MS = 60_000


def build_small_tasks(count: int) -> specs.Job:
    """Return a job of many tasks that each need a tenth of a core."""
    return builders.build_batch_job(builders.build_step(count, need=SMALL))


def build_large_workers(
    hosts: int = 1, cores: int = 64
) -> fake_workers.FakeFleet:
    """Return a fleet of large workers, which all have reported."""
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(hosts, 'red', cores)
    fleet.run(0.5)
    let_pace_grow(fleet.scheduler.pace, fleet.now)
    return fleet


def let_pace_grow(pace: pacing.WorkPace, now: float) -> None:
    """Let full answers be quick until the bounds are at their highest."""
    while pace.max_starts < pacing.MAX_STARTS:
        pace.note_answer(pace.max_starts, 0.0, now)


def build_schedule(first_due_s: float, *steps: specs.Step) -> specs.Job:
    """Return a job that runs each minute for two weeks."""
    job = builders.build_batch_job(*steps)
    return msgspec.structs.replace(
        job,
        occurrences=MINUTES_IN_TWO_WEEKS,
        first_due_ms=int(first_due_s * 1_000),
        interval_ms=MINUTE_MS,
    )


def build_progress(job: specs.Job) -> progress.JobProgress:
    """Return the progress of a job that was accepted at time 0."""
    record = ledger.JobRecord(
        job, 'jobs.example', '/red/', ids.PoolId('red'), 0, 2, 3_600, 0.0
    )
    return progress.JobProgress(builders.build_job_id(), record)


def build_long_submission(number: int) -> calls.SubmitJob:
    """Return the submission of a job with the longest text."""
    job = specs.Job(f'{number:04}' * 1_000, (builders.build_step(),))
    return builders.build_submission(number, job)


def build_slow_fleet(
    call_s: float, declared_ms: int = 0
) -> policy.SlowPolicyFleet:
    """Return six workers and a policy service that takes long for a call."""
    configuration = builders.build_configuration()
    queue = msgspec.structs.replace(
        configuration.queues[0], needs_approval=True, approval_ms=declared_ms
    )
    fleet = policy.SlowPolicyFleet(
        builders.build_configuration(
            queues=(queue,), pools=configuration.pools[:1]
        ),
        call_s,
        support.SEED,
    )
    fleet.add_hosts(6, 'red')
    fleet.run(0.5)
    return fleet


def build_turn_meter() -> tuple[
    turns.TurnMeter, clock.ManualClock, latencies.Recorder
]:
    """Return a meter with the clock and the metrics that it uses."""
    source = clock.ManualClock()
    recorder = latencies.Recorder('control-1')
    return turns.TurnMeter(source, recorder), source, recorder


def send_heartbeat(
    task: jobs_task.JobsTask,
    worker: str,
    outcomes: list,
    age_s: float = 0.0,
    sequence: int = 1,
) -> None:
    """Put a heartbeat that came ``age_s`` ago into the mailbox of a task."""
    answer = reply.Reply()
    answer.add_callback(outcomes.append)
    received_at = task._timers.clock.get_monotonic() - age_s
    task.mailbox.put(
        calls.CallRequest(
            builders.build_heartbeat(worker, sequence=sequence),
            answer,
            received_at,
        )
    )


async def confirm_commits(
    task: jobs_task.JobsTask, consensus: mailbox.Mailbox
) -> None:
    """Confirm the commits of a task until it has none left."""
    while len(consensus):
        for commit in builders.take_messages(consensus):
            commit.answer.resolve(Ok(None))
        await asyncio.sleep(0)
        await task.handle(task.mailbox.get_nowait())
        await asyncio.sleep(0)


def build_wide_ledger(tasks: int) -> ledger.Ledger:
    """Return a ledger with one job, all of whose tasks have run."""
    record = build_progress(build_small_tasks(tasks)).record
    for index in range(tasks):
        name = specs.make_task_name(0, 0, index)
        record.tasks[name] = ledger.RunRecord(
            states.RunStage.DONE, ids.Attempt(1), worker=ids.WorkerId('worker')
        )
    return ledger.Ledger(
        configuration=builders.build_configuration(),
        jobs={builders.build_job_id(): record},
    )
