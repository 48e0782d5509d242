"""How many hosts a pool needs under the load patterns of the deployments."""

import pytest

from fakes import workers
from orioleshore.jobs import calls
from orioleshore.jobs import demand
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support

POOL = ids.PoolId('red')
SIZE = specs.Resources(16_000, 65_536)
RUN_S = 0.6


def build_fleet(red: int, standby: int = 0):
    """Return a fleet whose leader has received heartbeats of all workers."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(red, 'red')
    fleet.add_hosts(standby, 'standby')
    fleet.run(fleet.scheduler.max_lease_s + 0.1)
    return fleet


def count_hosts(fleet, pool: str = 'red') -> int:
    """Return how many hosts of the fleet are in a pool."""
    return sum(worker.pool == pool for worker in fleet.workers.values())


def record_arrivals(tracker: demand.DemandTracker, sizes: list[float]) -> int:
    """Record jobs that arrive within the window; return the hosts needed."""
    for position, hosts in enumerate(sizes):
        at = demand.RATE_WINDOW_S * position / len(sizes)
        tracker.record_arrival(POOL, hosts, at)
    tracker.record_load(POOL, demand.Load(), RUN_S, demand.RATE_WINDOW_S)
    return tracker.get_hosts(POOL)


def test_arrival_rate_shows_demand_peak_before_backlog():
    """Guards against a demand peak whose hosts are moved one by one.

    34 jobs a second are five times the mean rate of the freight queue.
    """
    jobs = int(34 * demand.RATE_WINDOW_S)
    needed = record_arrivals(demand.DemandTracker(), [0.6] * jobs)
    busy = jobs * 0.6 / demand.RATE_WINDOW_S * RUN_S
    assert 0.7 * busy <= needed <= busy + 1


@pytest.mark.parametrize('sizes', [[4.0], [4.0, 0.1, 0.1]])
def test_one_large_job_does_not_raise_the_arrival_rate(sizes):
    """Guards against a rate that is extrapolated from a single job."""
    assert record_arrivals(demand.DemandTracker(), sizes) == demand.MIN_HOSTS


def test_backlog_done_before_a_host_arrives_needs_no_host():
    """Guards against moves for work that takes less time than a move."""
    load = demand.Load(backlog=3.0, startable=3.0, is_waiting=True)
    assert demand.count_hosts(load, 0.0, RUN_S) == demand.MIN_HOSTS


def test_long_backlog_needs_more_hosts():
    """Guards against a pool that stays small despite a long backlog."""
    load = demand.Load(backlog=20.0, startable=20.0, is_waiting=True)
    needed = demand.count_hosts(load, 0.0, RUN_S)
    assert needed == pytest.approx(
        20.0 * RUN_S / demand.BACKLOG_CLEAR_S, abs=1
    )


def test_steps_that_cannot_start_yet_need_no_hosts():
    """Guards against hosts for steps that wait for earlier steps."""
    load = demand.Load(backlog=50.0, startable=1.0, is_waiting=True)
    assert demand.count_hosts(load, 0.0, RUN_S) == demand.MIN_HOSTS


def test_host_share_includes_capacity_too_small_for_another_task():
    """Guards against too few hosts for tasks that only fit by their sum."""
    large = builders.build_step(3, need=specs.Resources(9_000, 1_024))
    assert demand.get_host_share(large, SIZE) == 1.0
    small = builders.build_step(1, need=specs.Resources(1_000, 8_192))
    assert demand.get_host_share(small, SIZE) == 1.0 / 8


def test_scattered_tasks_are_packed_on_few_hosts():
    """Guards against small tasks that keep all hosts of a pool running.

    The load is a twentieth of a queue's mean, as between demand peaks, on a
    pool of six hosts.
    """
    fleet = build_fleet(6)
    for number in range(1, 31):
        step = builders.build_step(4)
        fleet.call_scheduler(
            builders.build_submission(number, builders.build_batch_job(step))
        )
        fleet.run(0.4)
    assert count_hosts(fleet) == demand.MIN_HOSTS
    fleet.run(3.0)
    for number in range(1, 31):
        path = f'/red/{builders.build_job_id(number)}'
        state = (
            fleet.call_scheduler(calls.GetJob('jobs.example', path))
            .unwrap()
            .state
        )
        assert state is states.BatchState.COMPLETED


def test_running_long_tasks_count_as_load():
    """Guards against a load that omits tasks which run for seconds."""
    load = demand.Load(running=10.0)
    assert demand.count_hosts(load, 0.0, 6.0) >= 7
    assert demand.count_hosts(load, 0.0, RUN_S) == demand.MIN_HOSTS


def test_retiring_host_is_uncordoned_when_jobs_arrive():
    """Guards against moving a host away and another one into its pool."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(3, 'red')
    fleet.run(fleet.scheduler.max_lease_s - 1.0)
    # One task on each host, so that a retiring one is not moved at once.
    fleet.mean_run_s = 20.0
    spread = builders.build_step(3, max_per_worker=1)
    job = builders.build_batch_job(spread)
    fleet.call_scheduler(builders.build_submission(1_000, job))
    for _ in range(100):
        fleet.run(0.05)
        if any(w.is_cordoned for w in fleet.scheduler.workers.values()):
            break
    assert any(w.is_cordoned for w in fleet.scheduler.workers.values())
    for number in range(1, 60):
        job = builders.build_batch_job(builders.build_step(6))
        fleet.call_scheduler(builders.build_submission(number, job))
    fleet.scheduler.pools.advance()
    assert not any(w.is_cordoned for w in fleet.scheduler.workers.values())


def test_new_leader_retires_no_host_before_all_workers_reported():
    """Guards against retiring busy hosts that appear idle to a new leader."""
    fleet = build_fleet(6)
    fleet.fail_over()
    fleet.run(fleet.scheduler.max_lease_s - 0.5)
    assert not any(
        worker.is_cordoned for worker in fleet.scheduler.workers.values()
    )


def test_scattered_room_brings_a_host_for_a_long_running_task():
    """Guards against a task that waits for ever beside hosts in standby.

    The sum of the tasks fits on the two hosts of the pool; the room that is
    left is scattered over both.
    """
    fleet = build_fleet(2, 3)
    for number, (cores, tasks) in enumerate(((7, 2), (4, 2), (7, 1))):
        job = builders.build_lasting_job(
            tasks, need=specs.Resources(1_000 * cores, 512)
        )
        fleet.call_scheduler(builders.build_submission(number, job))
        fleet.run(2.0)
    # The wait, a move and an idle heartbeat.
    fleet.run(4.0)
    assert fleet.count_running_tasks(builders.build_job_id(2)) == 1
    fleet.run(10.0)
    assert count_hosts(fleet) == 3


def test_host_whose_move_is_not_answered_gets_tasks_again():
    """Guards against a worker that gets no task for ever after a lost move.

    The order or its answer was dropped inside the process, so that not even
    a failure of the call is reported.
    """
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(3, 'red')
    fleet.lost_moves = 1
    fleet.run(5.0)
    assert not fleet.lost_moves
    moving = [w for w in fleet.scheduler.workers.values() if w.is_cordoned]
    assert len(moving) == 1
    job = builders.build_lasting_job(3, need=specs.Resources(9_000, 512))
    fleet.call_scheduler(builders.build_submission(1, job))
    fleet.run(7.0)
    assert fleet.count_running_tasks(builders.build_job_id(1)) == 3
    assert not any(w.is_cordoned for w in fleet.scheduler.workers.values())
