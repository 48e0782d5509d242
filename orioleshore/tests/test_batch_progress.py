"""Jobs of many tasks and occurrences, whose state and cost are bounded."""

import random

import pytest

from fakes import workers as fake_workers
from orioleshore.jobs import ledger
from orioleshore.jobs import progress
from orioleshore.jobs import retention
from orioleshore.jobs import specs
from orioleshore.jobs import tuning
from orioleshore.jobs import waiting
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import load_builders
from orioleshore.tests import support

MANY = 100_000


def finish_task(
    job: progress.JobProgress, occurrence: int, position: int = 0
) -> None:
    """Let the only task of a step succeed."""
    name = specs.make_task_name(occurrence, position, 0)
    worker = ids.WorkerId('worker-1')
    job.groups[occurrence, position].waiting.remove(0)
    job.record_start(name, worker)
    job.record.tasks[name] = ledger.RunRecord(
        states.RunStage.DONE, ids.Attempt(1), worker=worker
    )
    job.record_end(name)


def test_waiting_tasks_behave_as_a_list():
    """Guards against tasks that are lost, or start twice, by the index."""
    rng = random.Random(support.SEED)
    tasks = waiting.WaitingTasks(40)
    expected = set(range(40))
    for _ in range(4_000):
        index = rng.randrange(40)
        if index not in expected:
            tasks.append(index)
            expected.add(index)
        elif rng.random() < 0.3:
            tasks.defer(index)
        else:
            tasks.remove(index)
            expected.discard(index)
        assert set(tasks) == expected
        assert len(list(tasks)) == len(tasks) == len(expected)
        assert all((n in tasks) == (n in expected) for n in range(40))
        if index not in expected:
            with pytest.raises(ValueError, match='does not wait'):
                tasks.remove(index)


def test_tasks_that_may_not_start_here_hide_no_others():
    """Guards against a claim that never looks beyond the first tasks."""
    tasks = waiting.WaitingTasks(100)
    seen = set()
    for _ in range(20):
        for index in tasks.iterate_candidates(5):
            tasks.defer(index)
            seen.add(index)
    assert seen == set(range(100))


def test_occurrences_take_up_state_only_when_due():
    """Guards against eight schedules that saturate the leader.

    Each of 20,160 occurrences had its own state, which every heartbeat and
    every tick went through.
    """
    job = load_builders.build_progress(
        load_builders.build_schedule(600.0, builders.build_step())
    )
    assert len(job.groups) == 1
    assert not job.find_startable_groups(ids.WallTime(599.9))
    [group] = job.find_startable_groups(ids.WallTime(600.0))
    assert group.occurrence == 0
    assert len(job.groups) == 2
    finish_task(job, 0)
    assert not job.find_startable_groups(ids.WallTime(659.9))
    [group] = job.find_startable_groups(ids.WallTime(660.0))
    assert group.occurrence == 1
    assert job.steps_left == 1


def test_overdue_occurrences_are_opened_a_few_at_a_time():
    """Guards against a schedule that is far behind and fills the memory."""
    job = load_builders.build_progress(
        load_builders.build_schedule(0.0, builders.build_step())
    )
    now = ids.WallTime(1e9)
    limit = progress.MAX_OPEN_OCCURRENCES
    assert len(job.find_startable_groups(now)) == limit
    finish_task(job, 5)
    found = [group.occurrence for group in job.find_startable_groups(now)]
    assert found == [*range(5), *range(6, limit + 1)]


def test_new_leader_opens_what_the_last_one_had_open():
    """Guards against an occurrence that is skipped or repeated."""
    steps = (builders.build_step(), builders.build_step(after=(0,)))
    job = load_builders.build_progress(
        load_builders.build_schedule(0.0, *steps)
    )
    job.find_startable_groups(ids.WallTime(200.0))
    for occurrence, position in ((0, 0), (0, 1), (2, 0)):
        finish_task(job, occurrence, position)
    restored = progress.JobProgress(job.name, job.record)
    for known in (job, restored):
        found = known.find_startable_groups(ids.WallTime(200.0))
        places = {(group.occurrence, group.position) for group in found}
        assert places == {(1, 0), (2, 1), (3, 0)}


def test_large_job_is_restored_in_steps(monkeypatch):
    """Guards against an election that is lost while one job is restored."""
    monkeypatch.setattr(progress, 'RESTORED_TASKS_PER_STEP', 2)
    job = load_builders.build_progress(
        load_builders.build_schedule(0.0, builders.build_step())
    )
    job.find_startable_groups(ids.WallTime(1e9))
    for occurrence in range(1, 8):
        finish_task(job, occurrence)
    restored = progress.JobProgress(job.name, job.record, restores_runs=False)
    assert len(list(restored.restore_runs())) == 3
    assert list(restored.groups) == [(0, 0)]


def test_steps_of_many_tasks_cost_as_much_as_small_ones():
    """Guards against a leader that lists all tasks for each start.

    A job of 100,000 tasks made each leader compute for longer than its lease.
    """
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(2, 'red')
    fleet.run(0.5)
    step = builders.build_step(MANY)
    call = builders.build_submission(7, builders.build_batch_job(step))
    assert fleet.call_scheduler(call).is_ok()
    fleet.run(2.0)
    job = fleet.scheduler.jobs[builders.build_job_id(7)]
    [group] = job.groups.values()
    # What is kept grows with the tasks that were started, not with all.
    assert len(fleet.starts) > 32
    assert len(job.record.tasks) == len(fleet.starts)
    assert len(group.waiting) == MANY - len(fleet.starts)
    assert not group.waiting._removed


def test_ended_jobs_are_forgotten_a_few_at_a_time():
    """Guards against a tick that goes through all jobs of two minutes."""
    ended = retention.EndedJobs(())
    for number in range(1_200):
        ended.add(builders.build_job_id(number), ids.WallTime(number / 10))
    limit = retention.MAX_FORGOTTEN_PER_TICK
    assert [len(ended.take_older(100.0)) for _ in range(4)] == [
        limit,
        limit,
        0,
        0,
    ]
    assert len(ended.take_older(200.0)) == 200


def test_runs_of_lost_workers_end_over_several_ticks():
    """Guards against a tick as long as the number of runs that are lost."""
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(6, 'red', cores=100)
    fleet.mean_run_s = 100.0
    fleet.run(0.5)
    step = builders.build_step(6_000, need=specs.Resources(100, 64))
    fleet.call_scheduler(
        builders.build_submission(7, builders.build_batch_job(step))
    )
    fleet.run(2.0)
    assert len(fleet.starts) == 6_000
    for worker in fleet.workers.values():
        worker.is_silent = True
    scheduler = fleet.scheduler
    counts = []
    for _ in range(4):
        scheduler.tick(fleet.now + 4.0, fleet.wall)
        counts.append(len(scheduler.workers))
        fleet.now += 0.1
    assert counts == [4, 2, 0, 0]
    assert tuning.MAX_LOST_RUNS_PER_TICK == 2_000
