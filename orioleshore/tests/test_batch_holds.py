"""Reasons for which long-running tasks wait."""

import logging

import pytest

from fakes import workers as fake_workers
from orioleshore.jobs import calls
from orioleshore.jobs import holds
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support


def build_waiting_fleet(**fields) -> fake_workers.FakeFleet:
    """Return a fleet of two workers that no task has reached yet."""
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(**fields), seed=support.SEED
    )
    fleet.add_hosts(2, 'red')
    fleet.run(0.5)
    return fleet


def hold_workers(fleet: fake_workers.FakeFleet, **fields) -> None:
    """Set fields of all workers that the scheduler knows."""
    for worker in fleet.scheduler.workers.values():
        for name, value in fields.items():
            setattr(worker, name, value)


def submit_lasting_job(fleet: fake_workers.FakeFleet, **fields) -> None:
    """Submit a job of one long-running task."""
    job = builders.build_lasting_job(1, **fields)
    fleet.call_scheduler(builders.build_submission(1, job))


def find_holds(fleet: fake_workers.FakeFleet) -> holds.Holds:
    """Return the reasons that hold the job of the test."""
    job = fleet.scheduler.jobs[builders.build_job_id()]
    return holds.find_holds(fleet.scheduler, job)


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({'is_cordoned': True}, states.HoldReason.CORDONED),
        ({'no_starts_until': 9_999.0}, states.HoldReason.PAUSED),
        ({'last_heartbeat_at': 1.0}, states.HoldReason.SILENT),
        ({'state': states.WorkerState.DRAINING}, states.HoldReason.DRAINING),
        ({'capacity': specs.Resources(1, 1)}, states.HoldReason.NO_ROOM),
        (
            {
                'consecutive_failures': 3,
                'unproven_runs': {('job', 'task', 1)},
            },
            states.HoldReason.UNPROVEN_RUN,
        ),
        ({}, states.HoldReason.NEXT_HEARTBEAT),
    ],
)
def test_each_worker_names_what_holds_a_task(fields, reason):
    """Guards against a wait whose record does not tell what held the task."""
    fleet = build_waiting_fleet()
    hold_workers(fleet, **fields)
    submit_lasting_job(fleet)
    assert find_holds(fleet) == {reason: 2}


@pytest.mark.parametrize(
    ('step', 'reason'),
    [
        ({'required_label': 'x'}, states.HoldReason.LABEL),
        ({'is_gang': True}, states.HoldReason.GANG_PLAN),
    ],
)
def test_each_step_names_what_holds_it(step, reason):
    """Guards against a hold of the step that is shown as one of workers."""
    fleet = build_waiting_fleet()
    submit_lasting_job(fleet, **step)
    assert find_holds(fleet) == {reason: 2}


def test_wait_without_workers_and_without_approval_is_named():
    """Guards against holds of a pool or a policy that no worker shows."""
    queue = specs.Queue(
        ids.QueueId('queue-red'),
        'jobs.example',
        '/red/',
        ids.PoolId('red'),
        needs_approval=True,
    )
    fleet = build_waiting_fleet(queues=(queue,))
    submit_lasting_job(fleet)
    assert find_holds(fleet) == {states.HoldReason.NO_APPROVAL: 2}
    for worker in list(fleet.scheduler.workers.values()):
        fleet.scheduler.drop_worker(worker, 'test')
    assert find_holds(fleet) == {states.HoldReason.NO_WORKER: 1}


def test_runs_on_silent_and_unheard_workers_are_named():
    """Guards against a run that is gone and counts as running unnoticed."""
    fleet = build_waiting_fleet()
    submit_lasting_job(fleet)
    fleet.run(0.5)
    assert find_holds(fleet) == {}
    for worker in fleet.workers.values():
        worker.is_silent = True
    fleet.run(1.0)
    assert find_holds(fleet) == {states.HoldReason.RUN_ON_SILENT_WORKER: 1}
    fleet.fail_over()
    assert find_holds(fleet) == {states.HoldReason.RUN_ON_UNHEARD_WORKER: 1}


def test_long_wait_is_logged_with_its_holds_and_repeated(caplog):
    """Guards against a wait of minutes with one line at its beginning."""
    fleet = build_waiting_fleet()
    filling = builders.build_lasting_job(2, need=specs.Resources(16_000, 1))
    fleet.call_scheduler(builders.build_submission(2, filling))
    fleet.run(2.0)
    submit_lasting_job(fleet)
    with caplog.at_level(logging.WARNING, 'orioleshore.jobs.holds'):
        fleet.run(2.9)
        assert not caplog.messages
        fleet.run(11.0)
    assert len(caplog.messages) == 2
    assert all('holds=no_room:2' in line for line in caplog.messages)
    counted = fleet.scheduler.waits.take_counts()
    assert counted == {states.HoldReason.NO_ROOM: 4}


def test_host_that_waits_for_upkeep_restarts_its_lasting_tasks():
    """Guards against upkeep and a long-running task that wait for each other.

    The task failed on a host that waits for its upkeep because no other has
    room. Its step may miss one task, so the host cannot go down without it.
    """
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(
            pools=builders.build_configuration().pools[:1]
        ),
        seed=support.SEED,
    )
    fleet.add_hosts(2, 'red')
    fleet.run(4.0)
    limited = builders.build_lasting_job(
        3, need=specs.Resources(6_000, 512), max_unavailable=1
    )
    filling = builders.build_lasting_job(1, need=specs.Resources(10_000, 512))
    fleet.call_scheduler(builders.build_submission(1, limited))
    fleet.run(3.0)
    fleet.call_scheduler(builders.build_submission(2, filling))
    fleet.run(3.0)
    assert len(fleet.scheduler.jobs) == 2
    held = next(
        worker
        for worker in fleet.workers.values()
        if builders.build_job_id(2) not in {key[0] for key in worker.running}
    )
    assert len(held.running) == 2
    fleet.call_scheduler(
        calls.OpenWave(ids.WaveId('1'), (held.host,), 60.0, 1)
    )
    fleet.run(3.0)
    failed = next(iter(held.running))
    held.end_run(failed, states.RunEnd.FAILED)
    fleet.run(20.0)
    assert fleet.count_running_tasks(builders.build_job_id(1)) == 3


def test_wait_goes_on_while_start_orders_are_lost():
    """Guards against a wait that begins anew with each lost start order.

    What a long wait allows, such as lifting a cordon, would never happen.
    """
    fleet = build_waiting_fleet()
    hold_workers(fleet, is_cordoned=True)
    submit_lasting_job(fleet)
    fleet.run(1.0)
    for worker in fleet.workers.values():
        worker.link = fake_workers.Link.ANSWERS_LOST
    hold_workers(fleet, is_cordoned=False)
    fleet.run(3.0)
    name = builders.build_job_id()
    assert fleet.scheduler.ledger.jobs[name].tasks
    assert fleet.scheduler.get_long_running_wait_s(name) > 3.5
    for worker in fleet.workers.values():
        worker.link = fake_workers.Link.OPEN
    fleet.run(3.0)
    assert fleet.count_running_tasks(name) == 1
    assert not fleet.scheduler.get_long_running_wait_s(name)


def test_cancelled_run_does_not_keep_a_worker_from_its_next_task():
    """Guards against a worker that gets no task for ever after a cancellation.

    A worker that failed often gets one task at a time. The job of that task
    is cancelled while it runs, so its end is no longer that of an ordered run.
    """
    fleet = build_waiting_fleet()
    hold_workers(fleet, consecutive_failures=3)
    fleet.mean_run_s = 100.0
    for number in (2, 3):
        job = builders.build_batch_job(builders.build_step())
        fleet.call_scheduler(builders.build_submission(number, job))
        fleet.run(0.5)
    assert all(w.unproven_runs for w in fleet.scheduler.workers.values())
    for number in (2, 3):
        path = f'/red/{builders.build_job_id(number)}'
        fleet.call_scheduler(calls.CancelJob('jobs.example', path))
    fleet.run(1.0)
    submit_lasting_job(fleet)
    fleet.run(5.0)
    assert fleet.count_running_tasks(builders.build_job_id()) == 1


def test_host_whose_upkeep_is_dropped_gets_tasks_again():
    """Guards against a cordon that outlives the upkeep it was made for.

    The platform says that it knows no such host, and the worker reports on.
    """
    fleet = build_waiting_fleet(pools=builders.build_configuration().pools[:1])
    fleet.mean_run_s = 100.0
    wave = ids.WaveId('1')
    job = builders.build_batch_job(builders.build_step(2))
    fleet.call_scheduler(builders.build_submission(2, job))
    fleet.run(0.5)
    fleet.call_scheduler(calls.OpenWave(wave, tuple(fleet.workers), 60.0, 2))
    fleet.run(0.5)
    assert any(w.is_cordoned for w in fleet.scheduler.workers.values())
    gone = states.HostOrderOutcome.GONE
    for host in fleet.workers:
        fleet.call_scheduler(calls.NoteUpkeep(wave, host, gone))
    submit_lasting_job(fleet)
    fleet.run(5.0)
    assert fleet.count_running_tasks(builders.build_job_id()) == 1
    assert not any(w.is_cordoned for w in fleet.scheduler.workers.values())


def test_wide_gang_is_planned_in_a_large_pool():
    """Guards against a gang that never sees all of its workers at once.

    With 600 workers heartbeats are 0.6 s apart.
    """
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(
            pools=builders.build_configuration().pools[:1]
        ),
        seed=support.SEED,
    )
    fleet.add_hosts(600, 'red')
    fleet.run(2.0)
    gang = builders.build_step(
        550, is_gang=True, is_long_running=True, max_per_worker=1
    )
    job = builders.build_batch_job(gang)
    fleet.call_scheduler(builders.build_submission(1, job))
    fleet.run(4.0)
    assert fleet.count_running_tasks(builders.build_job_id()) == 550
