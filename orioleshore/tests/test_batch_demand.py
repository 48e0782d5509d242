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
    """Return a fleet whose leader has heard of all workers."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add(red, 'red')
    fleet.add(standby, 'standby')
    fleet.run(fleet.scheduler.max_lease_s + 0.1)
    return fleet


def count_hosts(fleet, pool: str = 'red') -> int:
    """Return how many hosts of the fleet are in a pool."""
    return sum(worker.pool == pool for worker in fleet.workers.values())


def record_arrivals(tracker: demand.DemandTracker, sizes: list[float]) -> int:
    """Note jobs that arrive within the measured time; return the need."""
    for position, hosts in enumerate(sizes):
        at = demand.RATE_WINDOW_S * position / len(sizes)
        tracker.record_arrival(POOL, hosts, at)
    tracker.record_load(POOL, demand.Load(), RUN_S, demand.RATE_WINDOW_S)
    return tracker.get_hosts(POOL)


def test_turn_of_many_jobs_is_seen_before_a_backlog():
    """Guards against a turn whose hosts are fetched one after the other.

    Five times the mean of the freight queue: 34 jobs a second.
    """
    jobs = int(34 * demand.RATE_WINDOW_S)
    needed = record_arrivals(demand.DemandTracker(), [0.6] * jobs)
    busy = jobs * 0.6 / demand.RATE_WINDOW_S * RUN_S
    assert 0.7 * busy <= needed <= busy + 1


@pytest.mark.parametrize('sizes', [[4.0], [4.0, 0.1, 0.1]])
def test_one_large_job_is_no_rate(sizes):
    """Guards against hosts for more work of which only one job is seen."""
    assert record_arrivals(demand.DemandTracker(), sizes) == demand.MIN_HOSTS


def test_backlog_that_is_done_before_a_host_comes_needs_none():
    """Guards against moves for work that waits for less than a move."""
    load = demand.Load(backlog=3.0, startable=3.0, is_waiting=True)
    assert demand.count_hosts(load, 0.0, RUN_S) == demand.MIN_HOSTS


def test_backlog_of_many_turns_of_the_pool_needs_hosts():
    """Guards against a pool that stays small before a long backlog."""
    load = demand.Load(backlog=20.0, startable=20.0, is_waiting=True)
    needed = demand.count_hosts(load, 0.0, RUN_S)
    assert needed == pytest.approx(
        20.0 * RUN_S / demand.BACKLOG_CLEAR_S, abs=1
    )


def test_steps_that_may_not_start_yet_need_no_hosts():
    """Guards against hosts for steps that wait for others."""
    load = demand.Load(backlog=50.0, startable=1.0, is_waiting=True)
    assert demand.count_hosts(load, 0.0, RUN_S) == demand.MIN_HOSTS


def test_large_tasks_count_with_the_room_that_they_leave():
    """Guards against tasks that do not fit although their sum does."""
    large = builders.build_step(3, need=specs.Resources(9_000, 1_024))
    assert demand.get_host_share(large, SIZE) == 1.0
    small = builders.build_step(1, need=specs.Resources(1_000, 8_192))
    assert demand.get_host_share(small, SIZE) == 1.0 / 8


def test_scattered_work_is_gathered_on_few_hosts():
    """Guards against small work that keeps all hosts of a pool on.

    A twentieth of a queue's mean between its turns, with pools of six.
    """
    fleet = build_fleet(6)
    for number in range(1, 31):
        step = builders.build_step(4)
        fleet.ask(
            builders.build_submission(number, builders.build_batch_job(step))
        )
        fleet.run(0.4)
    assert count_hosts(fleet) == demand.MIN_HOSTS
    fleet.run(3.0)
    for number in range(1, 31):
        path = f'/red/{builders.build_job_id(number)}'
        state = fleet.ask(calls.GetJob('jobs.example', path)).unwrap().state
        assert state is states.BatchState.COMPLETED


def test_long_tasks_keep_their_hosts():
    """Guards against a count that forgets what runs on for seconds."""
    load = demand.Load(running=10.0)
    assert demand.count_hosts(load, 0.0, 6.0) >= 7
    assert demand.count_hosts(load, 0.0, RUN_S) == demand.MIN_HOSTS


def test_host_that_is_emptied_works_again_when_work_comes():
    """Guards against two moves where a host is still in its pool."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add(3, 'red')
    fleet.run(fleet.scheduler.max_lease_s - 1.0)
    # One task on each host, so that an emptied one is not moved at once.
    fleet.mean_run_s = 20.0
    spread = builders.build_step(3, max_per_worker=1)
    job = builders.build_batch_job(spread)
    fleet.ask(builders.build_submission(1_000, job))
    for _ in range(100):
        fleet.run(0.05)
        if any(w.is_cordoned for w in fleet.scheduler.workers.values()):
            break
    assert any(w.is_cordoned for w in fleet.scheduler.workers.values())
    for number in range(1, 60):
        job = builders.build_batch_job(builders.build_step(6))
        fleet.ask(builders.build_submission(number, job))
    fleet.scheduler.pools.advance()
    assert not any(w.is_cordoned for w in fleet.scheduler.workers.values())


def test_new_leader_switches_no_host_off_before_it_has_heard_all():
    """Guards against busy hosts that a new leader takes for idle ones."""
    fleet = build_fleet(6)
    fleet.fail_over()
    fleet.run(fleet.scheduler.max_lease_s - 0.5)
    assert not any(
        worker.is_cordoned for worker in fleet.scheduler.workers.values()
    )
