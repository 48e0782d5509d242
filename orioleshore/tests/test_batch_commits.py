"""Batches of changes and turns of the task that runs the scheduler."""

import asyncio

import msgspec
from result import Ok

from orioleshore.consensus import member_messages
from orioleshore.jobs import calls
from orioleshore.jobs import commits
from orioleshore.jobs import task as jobs_task
from orioleshore.jobs import turns
from orioleshore.tasks import reply
from orioleshore.tests import builders
from orioleshore.tests import load_builders
from orioleshore.tests import support

# An entry of the log holds this many bytes.
MAX_ENTRY_BYTES = 983_040


def send(task: jobs_task.JobsTask, call: calls.Call, outcomes: list) -> None:
    """Put a call into the mailbox of a task."""
    answer = reply.Reply()
    answer.add_callback(outcomes.append)
    task.mailbox.put(calls.CallRequest(call, answer))


async def commit_all(task: jobs_task.JobsTask, consensus) -> list:
    """Confirm the commits of a task one by one, and return them."""
    found = []
    while True:
        sent = [
            message
            for message in builders.take_messages(consensus)
            if isinstance(message, member_messages.SubmitCommand)
        ]
        if not sent:
            return found
        (commit,) = sent
        found.append(commit)
        commit.answer.resolve(Ok(None))
        await asyncio.sleep(0)
        await task.handle(task.mailbox.get_nowait())
        await asyncio.sleep(0)


def test_changes_of_many_calls_fit_into_entries_of_the_log():
    """Guards against a burst of jobs whose changes fit into no entry.

    The commit failed, the state was read anew, and all callers had to repeat
    their calls, in another burst.
    """
    task, consensus = builders.build_jobs_task()
    outcomes: list = []

    async def check():
        await builders.start_leading(task)
        for number in range(400):
            send(task, load_builders.build_long_submission(number), outcomes)
        await task.handle(task.mailbox.get_nowait())
        sent = await commit_all(task, consensus)
        sizes = [len(msgspec.msgpack.encode(s.command)) for s in sent]
        assert len(sent) > 4
        assert max(sizes) < commits.MAX_BATCH_BYTES + 8_192 < MAX_ENTRY_BYTES
        assert sum(len(s.command.changes) for s in sent) == 400
        assert len(outcomes) == 400
        assert all(outcome.is_ok() for outcome in outcomes)

    support.run(check())


def test_answers_wait_for_the_batch_of_their_changes():
    """Guards against a caller that is told of a job that is not committed."""
    task, consensus = builders.build_jobs_task()
    outcomes: list = []

    async def check():
        await builders.start_leading(task)
        for number in range(100):
            send(task, load_builders.build_long_submission(number), outcomes)
        await task.handle(task.mailbox.get_nowait())
        (commit,) = builders.take_messages(consensus)
        commit.answer.resolve(Ok(None))
        await asyncio.sleep(0)
        await task.handle(task.mailbox.get_nowait())
        await asyncio.sleep(0)
        assert len(outcomes) == len(commit.command.changes) < 100
        await task.handle(member_messages.LeadershipLost())
        await asyncio.sleep(0)
        assert len(outcomes) == 100
        assert sum(outcome.is_ok() for outcome in outcomes) == len(
            commit.command.changes
        )

    support.run(check())


def test_outcome_of_a_commit_passes_a_full_mailbox():
    """Guards against a leader that waits for an outcome that was dropped."""
    task, consensus = builders.build_jobs_task()
    outcomes: list = []

    async def check():
        await builders.start_leading(task)
        send(task, builders.build_submission(), outcomes)
        await task.handle(task.mailbox.get_nowait())
        (commit,) = builders.take_messages(consensus)
        status = calls.GetJob('jobs.example', '/red/')
        for _ in range(jobs_task.MAILBOX_CAPACITY):
            send(task, status, [])
        commit.answer.resolve(Ok(None))
        await asyncio.sleep(0)
        await task.handle(task.mailbox.get_nowait())
        await asyncio.sleep(0)
        assert [outcome.is_ok() for outcome in outcomes] == [True]
        assert len(builders.take_messages(consensus)) == 1

    support.run(check())


def test_other_tasks_get_a_turn_while_calls_are_handled(monkeypatch):
    """Guards against a leader whose lease lapses while it handles calls."""
    task, _ = builders.build_jobs_task()
    monkeypatch.setattr(turns, 'TURN_S', 0.0)
    seen = []

    async def take_turns():
        while True:
            seen.append(len(task.mailbox))
            await asyncio.sleep(0)

    async def check():
        await builders.start_leading(task)
        for number in range(10):
            send(task, builders.build_submission(number), [])
        other = asyncio.create_task(take_turns())
        await task.handle(task.mailbox.get_nowait())
        other.cancel()
        assert len(seen) >= 9

    support.run(check())


def test_new_leader_restores_jobs_in_several_turns(monkeypatch):
    """Guards against an election that is lost while jobs are restored."""
    task, _ = builders.build_jobs_task()
    monkeypatch.setattr(turns, 'TURN_S', 0.0)
    fleet = builders.build_fleet()
    for number in range(10):
        fleet.call_scheduler(builders.build_submission(number))
    gained = builders.build_scheduling_gained(fleet.scheduler.ledger)
    seen = []

    async def take_turns():
        while True:
            seen.append(len(task._scheduler.jobs) if task._scheduler else 0)
            await asyncio.sleep(0)

    async def check():
        other = asyncio.create_task(take_turns())
        await task.handle(gained)
        other.cancel()
        assert len(task._scheduler.jobs) == 10
        # The ledger is read before the first job is restored.
        assert list(dict.fromkeys(seen)) == list(range(11))

    support.run(check())


def test_heartbeat_whose_worker_has_given_up_starts_nothing():
    """Guards against start orders that are lost since the leader is late.

    A leader that answered after the second for which workers wait kept doing
    so: its orders were lost, and the workers sent again sooner.
    """
    task, _ = builders.build_jobs_task()
    outcomes: list = []

    async def check():
        await builders.start_leading(task)
        send(task, builders.build_submission(), [])
        now = task._get_monotonic()
        for number, age_s in ((1, 0.5), (2, 0.9)):
            answer = reply.Reply()
            answer.add_callback(outcomes.append)
            call = builders.build_heartbeat(f'worker-{number}')
            task.mailbox.put(calls.CallRequest(call, answer, now - age_s))
        await task.handle(task.mailbox.get_nowait())
        await asyncio.sleep(0)
        assert [outcome.is_err() for outcome in outcomes] == [True]
        assert list(task._scheduler.workers) == ['worker-1']

    support.run(check())
