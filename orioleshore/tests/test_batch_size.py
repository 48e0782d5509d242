"""What a heartbeat costs the leader of a large deployment."""

import pytest

from fakes import workers as fake_workers
from orioleshore.jobs import tuning
from orioleshore.tests import builders

LIMITS = tuning.SchedulerLimits()


class UnscannableDict(dict):
    """Fails when somebody goes through its values."""

    def values(self):
        raise AssertionError('a heartbeat scanned all workers')


def build_fleet(hosts: int) -> fake_workers.FakeFleet:
    """Return a fleet whose workers have all reported once."""
    fleet = fake_workers.FakeFleet(builders.build_configuration())
    fleet.add_hosts(hosts, 'red')
    for worker in fleet.workers.values():
        fleet.call_scheduler(worker.make_heartbeat(fleet.now))
    return fleet


def test_heartbeat_is_handled_without_a_scan_of_all_workers():
    """Guards against a leader that saturates with the square of its workers.

    With 2,998 workers each heartbeat went through all of them, and the sweep
    of the large deployment served a tenth of its requests.
    """
    fleet = build_fleet(20)
    scheduler = fleet.scheduler
    scheduler.workers = UnscannableDict(scheduler.workers)
    known, moved, *_ = fleet.workers.values()
    fleet.call_scheduler(known.make_heartbeat(fleet.now))
    moved.pool = 'blue'
    fleet.call_scheduler(moved.make_heartbeat(fleet.now))
    fleet.add_hosts(1, 'red')
    joined = list(fleet.workers.values())[-1]
    fleet.call_scheduler(joined.make_heartbeat(fleet.now))
    assert len(scheduler.get_pool_workers('red')) == 20
    assert [w.name for w in scheduler.get_pool_workers('blue')] == [moved.name]


def test_newer_worker_replaces_the_one_on_its_host():
    """Guards against a host that is counted twice after a restart."""
    fleet = build_fleet(2)
    worker = next(iter(fleet.workers.values()))
    old_name = worker.name
    worker.restart(worker.pool, fleet.now)
    fleet.call_scheduler(worker.make_heartbeat(fleet.now))
    names = [w.name for w in fleet.scheduler.get_pool_workers('red')]
    assert worker.name in names
    assert old_name not in names
    assert len(names) == 2


@pytest.mark.parametrize(
    ('hosts', 'delay_ms'),
    [(10, LIMITS.idle_retry_ms), (400, 400), (1_499, 1_499), (1_500, None)],
)
def test_heartbeats_together_stay_below_what_a_leader_handles(hosts, delay_ms):
    """Guards against heartbeats that take all of the leader's time.

    At ten a second from each worker, 900 of them did.
    """
    fleet = build_fleet(hosts)
    worker = next(iter(fleet.workers.values()))
    answer = fleet.call_scheduler(worker.make_heartbeat(fleet.now)).unwrap()
    assert answer.retry_ms == delay_ms
    interval_ms = answer.retry_ms or LIMITS.heartbeat_ms
    if hosts >= LIMITS.max_heartbeats_per_s / 10:
        rate_per_s = hosts * 1_000 / interval_ms
        assert rate_per_s <= LIMITS.max_heartbeats_per_s
