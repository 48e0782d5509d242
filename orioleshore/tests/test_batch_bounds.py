"""Messages and turns of the leader that stay bounded under a large load."""

import collections

from fakes import workers as fake_workers
from orioleshore.jobs import admission
from orioleshore.jobs import answer_limits
from orioleshore.jobs import calls
from orioleshore.jobs import change_metrics
from orioleshore.jobs import orders
from orioleshore.jobs import pacing
from orioleshore.jobs import placement
from orioleshore.jobs import specs
from orioleshore.jobs import tuning
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import latencies
from orioleshore.tests import builders
from orioleshore.tests import load_builders

WIDE = 7


def submit(fleet: fake_workers.FakeFleet, job: specs.Job, number: int = WIDE):
    """Submit a job to the red queue; return its id and its record."""
    assert fleet.call_scheduler(builders.build_submission(number, job)).is_ok()
    name = builders.build_job_id(number)
    return name, fleet.scheduler.ledger.jobs[name]


def end_all_runs(worker: fake_workers.FakeWorker) -> int:
    """End all runs of a worker with success; return their number."""
    runs = list(worker.running)
    for key in runs:
        worker.end_run(key, states.RunEnd.DONE)
    return len(runs)


def test_run_whose_end_is_held_back_does_not_start_again():
    """Guards against tasks that run twice since a list of ends was full.

    A heartbeat lists 500 ends. The runs beyond counted as lost orders.
    """
    fleet = load_builders.build_large_workers()
    fleet.mean_run_s = 100.0
    _, record = submit(
        fleet,
        load_builders.build_small_tasks(640),
    )
    fleet.run(1.0)
    [worker] = fleet.workers.values()
    assert end_all_runs(worker) == 640
    fleet.run(2.0)
    assert len(fleet.starts) == 640
    assert record.state is states.BatchState.COMPLETED


def test_new_leader_waits_for_ends_that_are_held_back():
    """Guards against tasks that run twice after a change of leader."""
    fleet = load_builders.build_large_workers()
    fleet.mean_run_s = 100.0
    _, record = submit(
        fleet,
        load_builders.build_small_tasks(640),
    )
    fleet.run(1.0)
    [worker] = fleet.workers.values()
    end_all_runs(worker)
    fleet.fail_over(1.0)
    fleet.run(3.0)
    assert len(fleet.starts) == 640
    assert record is not fleet.scheduler.ledger.jobs[builders.build_job_id(7)]
    [record] = fleet.scheduler.ledger.jobs.values()
    assert record.state is states.BatchState.COMPLETED


def test_order_lost_beside_a_full_list_is_given_again():
    """Guards against a lost order that nobody repeats after a full list."""
    fleet = load_builders.build_large_workers()
    fleet.mean_run_s = 100.0
    _, record = submit(
        fleet,
        load_builders.build_small_tasks(640),
    )
    fleet.run(1.0)
    [worker] = fleet.workers.values()
    lost, *_ = worker.running
    del worker.running[lost]
    end_all_runs(worker)
    fleet.run(2.0)
    attempts = [s.attempt for _, _, s in fleet.starts if s.task == lost[1]]
    assert attempts == [ids.Attempt(1), ids.Attempt(2)]
    assert len(fleet.starts) == 641
    assert record.state is states.BatchState.RUNNING


def test_starts_that_exceed_one_answer_follow_in_the_next():
    """Guards against an answer that its worker drops since it is too large.

    1,200 tasks with a text of 4,000 bytes went into one answer of 4.8 MB,
    again and again, and the job never started.
    """
    fleet = load_builders.build_large_workers()
    step = builders.build_step(600, need=load_builders.SMALL)
    job = specs.Job('x' * 4_000, (step,))
    fleet.mean_run_s = 100.0
    submit(fleet, job)
    [worker] = fleet.workers.values()
    answer = fleet.call_scheduler(worker.make_heartbeat(fleet.now)).unwrap()
    size = len(calls.encode_answer(answer))
    assert size <= answer_limits.MAX_START_BYTES + 5_000
    assert len(answer.starts) >= 60
    assert answer.retry_ms == fleet.scheduler.limits.idle_retry_ms
    fleet.run(3.0)
    assert len(worker.running) == 600


def test_number_of_starts_in_one_answer_is_bounded():
    """Guards against a turn that takes as long as a job has small tasks."""
    fleet = load_builders.build_large_workers()
    submit(
        fleet,
        load_builders.build_small_tasks(640),
    )
    [worker] = fleet.workers.values()
    answer = fleet.call_scheduler(worker.make_heartbeat(fleet.now)).unwrap()
    assert len(answer.starts) == pacing.MAX_STARTS


def test_lost_answers_make_the_next_ones_smaller():
    """Guards against answers that are too large for the link of a worker."""
    fleet = load_builders.build_large_workers()
    submit(
        fleet,
        load_builders.build_small_tasks(640),
    )
    [worker] = fleet.workers.values()
    counts = []
    for _ in range(13):
        heartbeat = worker.make_heartbeat(fleet.now)
        answer = fleet.call_scheduler(heartbeat).unwrap()
        # After a lost order, the worker gets none for a while.
        counts += [len(answer.starts)] if answer.starts else []
        fleet.now += 2.1
    assert counts[:7] == [256, 128, 64, 32, 16, 8, 8]


def test_stops_that_exceed_one_answer_follow_in_the_next():
    """Guards against an answer as large as the number of runs to stop."""
    fleet = load_builders.build_large_workers(cores=300)
    name, _ = submit(
        fleet,
        load_builders.build_small_tasks(2_500),
    )
    fleet.mean_run_s = 100.0
    fleet.run(2.0)
    [worker] = fleet.workers.values()
    assert len(worker.running) == 2_500
    fleet.call_scheduler(calls.CancelJob('jobs.example', f'/red/{name}'))
    answer = fleet.call_scheduler(worker.make_heartbeat(fleet.now)).unwrap()
    assert len(answer.stops) == answer_limits.MAX_STOPS
    assert answer.retry_ms == fleet.scheduler.limits.idle_retry_ms
    fleet.run(1.0)
    assert not worker.running


def test_job_of_too_many_tasks_is_refused_and_not_recorded():
    """Guards against a job whose state does not fit into the memory."""
    fleet = load_builders.build_large_workers()
    limit = admission.MAX_TASKS_PER_OCCURRENCE
    for number, tasks in ((1, limit), (2, limit + 1)):
        job = load_builders.build_small_tasks(tasks)
        outcome = fleet.call_scheduler(builders.build_submission(number, job))
        assert outcome.is_ok() is (tasks <= limit)
    assert outcome.unwrap_err().kind is errors.ErrorKind.INVALID_REQUEST
    assert builders.build_job_id(2) not in fleet.scheduler.ledger.jobs


def test_unanswered_orders_about_hosts_are_bounded():
    """Guards against orders that are dropped since too many come at once.

    When 3,000 hosts were idle, all were ordered to move within a second.
    """
    queue = orders.OrderQueue(
        tuning.SchedulerLimits(), ids.Epoch(1), lambda host: None
    )
    ordered = 0
    for number in range(100):
        host = ids.HostId(f'host-{number}')
        if queue.can_order(host, 10.0):
            queue.order_move(host, ids.PoolId('standby'), 10.0)
            ordered += 1
    assert ordered == orders.MAX_PENDING_HOST_ORDERS
    assert queue.can_order(ids.HostId('host-99'), 13.0)
    accepted = states.HostOrderOutcome.ACCEPTED
    queue.record_answer(ids.HostId('host-1'), accepted, 10.5)
    assert queue.can_order(ids.HostId('host-99'), 10.5)


def test_reached_bounds_are_counted():
    """Guards against a bound without a counter, which ends the task."""
    recorder = latencies.Recorder('control-1')
    reached = collections.Counter(states.Bound)
    change_metrics.count_bounds(reached, recorder)
    assert not reached
    text = recorder.render().decode()
    for bound in states.Bound:
        assert f'bound="{bound.value}"' in text


def test_fillers_of_one_worker_are_bounded():
    """Guards against rate orders for as many fillers as a job has."""
    fleet = load_builders.build_large_workers()
    fleet.mean_run_s = 100.0
    step = builders.build_step(20, is_filler=True)
    submit(fleet, builders.build_batch_job(step))
    fleet.run(2.0)
    [worker] = fleet.workers.values()
    assert len(worker.running) == placement.MAX_FILLERS_PER_WORKER
