"""Turns of the scheduler's task, and what becomes of heartbeats in them."""

from orioleshore.consensus import member_messages
from orioleshore.jobs import turns
from orioleshore.tests import builders
from orioleshore.tests import load_builders
from orioleshore.tests import support


def test_long_turn_is_counted_by_wall_clock_and_processor_time():
    """Guards against a slow machine that looks like a slow scheduler."""
    meter, clock, recorder = load_builders.build_turn_meter()
    meter.begin()
    clock.use_processor(0.01)
    clock.advance(0.25)
    assert meter.count_message()
    meter.end()
    text = recorder.render().decode()
    assert 'turn_seconds_sum{node="control-1"} 0.25' in text
    assert 'turn_processor_seconds_sum{node="control-1"} 0.01' in text


def test_short_turn_is_not_over():
    """Guards against a task that gives up its turn after each message."""
    meter, clock, recorder = load_builders.build_turn_meter()
    meter.begin()
    clock.advance(turns.TURN_S / 2)
    assert not meter.count_message()
    meter.end()
    assert 'turn_seconds_sum' not in recorder.render().decode()


def test_heartbeats_without_leader_and_without_commit_are_counted():
    """Guards against refused heartbeats whose reason no metric tells."""
    task, _ = builders.build_jobs_task()
    outcomes: list = []

    async def check():
        load_builders.send_heartbeat(task, 'worker-1', outcomes)
        await task.handle(task.mailbox.get_nowait())
        await builders.start_leading(task)
        load_builders.send_heartbeat(task, 'worker-2', outcomes)
        await task.handle(task.mailbox.get_nowait())
        await task.handle(member_messages.LeadershipLost())
        text = task._latencies.render().decode()
        for result in ('no_leader', 'unanswered'):
            name = f'heartbeats_total{{node="control-1",result="{result}"}}'
            assert f'{name} 1\n' in text
        assert 'result="late"' not in text

    support.run(check())
