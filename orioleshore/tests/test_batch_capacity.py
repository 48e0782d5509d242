"""Workers whose capacity shrinks and grows while they run."""

import pytest

from fakes import workers
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support

FULL = specs.Resources(16_000, 65_536)
SHRUNK = specs.Resources(2_000, 8_192)


def build_fleet(hosts: int = 2) -> workers.FakeFleet:
    """Return workers that start whatever they are told to."""
    pools = (specs.Pool(ids.PoolId('red')),)
    fleet = workers.FakeFleet(
        builders.build_configuration(pools=pools), seed=support.SEED
    )
    fleet.add_hosts(hosts, 'red')
    fleet.mean_run_s = 30.0
    fleet.run(1.0)
    return fleet


def set_capacity(fleet, size: specs.Resources) -> None:
    """Change the capacity that all workers report."""
    for worker in fleet.workers.values():
        worker.size = size


def get_used_cpu(fleet) -> dict[ids.HostId, int]:
    """Return the CPU of the runs of each worker, a core for each."""
    return {
        host: 1_000 * len(worker.running)
        for host, worker in fleet.workers.items()
    }


@pytest.mark.parametrize('is_gang', [False, True])
def test_start_does_not_exceed_a_capacity_that_has_shrunk(is_gang):
    """Guards against a start, also of a gang planned before, without room."""
    fleet = build_fleet()
    job = builders.build_batch_job(builders.build_step(12, is_gang=is_gang))
    fleet.call_scheduler(builders.build_submission(job=job))
    # The gang is planned with the tick, before the workers report again.
    fleet.scheduler.tick(fleet.now, fleet.wall)
    set_capacity(fleet, SHRUNK)
    for _ in range(20):
        fleet.run(0.1)
        assert max(get_used_cpu(fleet).values()) <= SHRUNK.cpu_millis
    set_capacity(fleet, FULL)
    fleet.run(2.0)
    assert len(fleet.starts) == 12


def test_worker_above_its_capacity_gets_nothing_more():
    """Guards against starts while runs exceed what is left of a worker."""
    fleet = build_fleet(hosts=1)
    first = builders.build_batch_job(builders.build_step(10))
    fleet.call_scheduler(builders.build_submission(1, first))
    fleet.run(0.5)
    set_capacity(fleet, SHRUNK)
    fleet.run(0.3)
    began = len(fleet.starts)
    second = builders.build_batch_job(builders.build_step(4))
    fleet.call_scheduler(builders.build_submission(2, second))
    fleet.run(1.0)
    assert len(fleet.starts) == began
