"""Work of the leader beside other work that keeps its processor busy."""

import asyncio

from orioleshore.jobs import calls
from orioleshore.jobs import ledger_copies
from orioleshore.jobs import pacing
from orioleshore.jobs import turns
from orioleshore.model import states
from orioleshore.tasks import reply
from orioleshore.tests import builders
from orioleshore.tests import load_builders
from orioleshore.tests import support

WIDE_TASKS = 5_000
# A new leader reads no more of them in one step.
TASKS_PER_TURN = 1_000


def test_slow_answers_lower_the_starts_and_ends_of_one_heartbeat():
    """Guards against an overload that keeps itself up.

    Each answer started as many tasks as fit, however long the last ones had
    taken, and the leader lost its leadership again and again.
    """
    fleet = load_builders.build_large_workers()
    fleet.mean_run_s = 100.0
    fleet.call_scheduler(
        builders.build_submission(7, load_builders.build_small_tasks(640))
    )
    fleet.run(1.0)
    [worker] = fleet.workers.values()
    for key in list(worker.running):
        worker.end_run(key, states.RunEnd.DONE)
    for number in range(10):
        fleet.scheduler.pace.note_answer(0, 0.9, fleet.now + number)
    answer = fleet.call_scheduler(worker.make_heartbeat(fleet.now)).unwrap()
    most_ends = pacing.MIN_STARTS * pacing.ENDS_PER_START
    assert answer.observed == most_ends
    assert len(fleet.scheduler.workers[worker.name].ordered) == (
        640 - most_ends
    )
    assert answer.retry_ms == fleet.scheduler.limits.idle_retry_ms
    fleet.call_scheduler(
        builders.build_submission(8, load_builders.build_small_tasks(640))
    )
    answer = fleet.call_scheduler(worker.make_heartbeat(fleet.now)).unwrap()
    assert len(answer.starts) == pacing.MIN_STARTS


def test_ends_beyond_the_bound_are_neither_lost_nor_repeated():
    """Guards against tasks that run twice since their ends had to wait."""
    fleet = load_builders.build_large_workers()
    fleet.mean_run_s = 100.0
    fleet.call_scheduler(
        builders.build_submission(7, load_builders.build_small_tasks(400))
    )
    fleet.run(1.0)
    fleet.answer_delay_s = 0.9
    [worker] = fleet.workers.values()
    for key in list(worker.running):
        worker.end_run(key, states.RunEnd.DONE)
    # The list need not be in the order of the numbers.
    worker.ended.reverse()
    fleet.run(10.0)
    assert len(fleet.starts) == 400
    [record] = fleet.scheduler.ledger.jobs.values()
    assert record.state is states.BatchState.COMPLETED


def test_quick_answers_raise_the_bound_only_if_they_were_full():
    """Guards against a bound that says nothing of what a load costs."""
    pace = pacing.WorkPace()
    for _ in range(100):
        pace.note_answer(pace.max_starts - 1, 0.01, 0.0)
    assert pace.max_starts == pacing.FIRST_STARTS
    for _ in range(100):
        pace.note_answer(pace.max_starts, 0.01, 0.0)
    assert pace.max_starts == pacing.MAX_STARTS
    assert pace.max_ends > pacing.MAX_STARTS


def test_bound_grows_slowly_after_it_was_halved():
    """Guards against a bound that goes up and down with each answer."""
    pace = pacing.WorkPace()
    load_builders.let_pace_grow(pace, 0.0)
    pace.note_answer(0, pacing.SLOW_ANSWER_S, 1.0)
    # Was on its way when the bound was halved.
    pace.note_answer(0, pacing.SLOW_ANSWER_S, 1.1)
    assert pace.max_starts == pacing.MAX_STARTS / 2
    pace.note_answer(pace.max_starts, 0.01, 1.2)
    assert pace.max_starts == pacing.MAX_STARTS / 2 + pacing.STEP


def test_lease_is_answered_when_the_rest_has_waited_for_too_long():
    """Guards against lasting tasks that end since their leader is busy."""
    task, consensus = builders.build_jobs_task()
    outcomes: list = []

    async def check():
        await builders.start_leading(task)
        load_builders.send_heartbeat(task, 'worker-1', outcomes)
        await task.handle(task.mailbox.get_nowait())
        job = load_builders.build_small_tasks(10)
        submission = builders.build_submission(7, job)
        task.mailbox.put(calls.CallRequest(submission, reply.Reply()))
        load_builders.send_heartbeat(
            task, 'worker-1', outcomes, age_s=0.5, sequence=2
        )
        await task.handle(task.mailbox.get_nowait())
        [worker] = task._scheduler.workers.values()
        assert worker.sequence == 2
        assert not worker.ordered
        load_builders.send_heartbeat(task, 'worker-1', outcomes, sequence=3)
        await task.handle(task.mailbox.get_nowait())
        assert worker.ordered
        await load_builders.confirm_commits(task, consensus)
        assert [outcome.unwrap().lease_ms for outcome in outcomes] == [
            task._limits.lease_ms
        ] * 3
        assert not outcomes[1].unwrap().starts
        assert outcomes[2].unwrap().starts

    support.run(check())


def test_other_tasks_get_as_long_as_a_turn_took_beyond_its_bound():
    """Guards against a leader that answers its group once in each turn.

    A message of the group needs several turns of the loop. Beside other work
    a turn took 0.1 s and more, and the lease of the leader lapsed.
    """
    meter, clock, _ = load_builders.build_turn_meter()
    meter.begin()
    clock.advance(0.09)
    assert meter.count_message()
    assert 0.06 < meter.end() <= 0.09 - turns.TURN_S + 1e-9
    meter.begin()
    clock.advance(5.0)
    assert meter.end() == turns.MAX_PAUSE_S


def test_new_leader_reads_a_large_ledger_in_several_turns(monkeypatch):
    """Guards against a leader that loses its lease while it reads its jobs.

    One job of 50,000 tasks took 0.3 s and more to decode on a busy machine,
    and no member led for longer than that.
    """
    monkeypatch.setattr(turns, 'TURN_S', 0.0)
    task, _ = builders.build_jobs_task()
    source = load_builders.build_wide_ledger(WIDE_TASKS)
    gained = builders.build_scheduling_gained(source)
    seen = []

    async def take_turns():
        while True:
            seen.append(task._scheduler is not None)
            await asyncio.sleep(0)

    async def check():
        other = asyncio.create_task(take_turns())
        await task.handle(gained)
        other.cancel()
        assert seen.count(False) > WIDE_TASKS / TASKS_PER_TURN
        assert seen.count(True) > WIDE_TASKS / TASKS_PER_TURN
        assert task._scheduler.ledger == source

    support.run(check())


def test_copy_of_a_ledger_does_not_follow_its_source():
    """Guards against a scheduler that changes the replicated state."""
    source = load_builders.build_wide_ledger(10)
    copy = ledger_copies.copy_ledger(source)
    [record] = source.jobs.values()
    record.tasks.clear()
    *_, restored = ledger_copies.restore_ledger(copy)
    [record] = restored.jobs.values()
    assert len(record.tasks) == 10
