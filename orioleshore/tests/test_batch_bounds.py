"""Messages and turns of the leader that stay bounded under a large load."""

from fakes import workers as fake_workers
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support

SMALL = specs.Resources(100, 64)
WIDE = 7


def build_fleet(hosts: int = 1, cores: int = 64) -> fake_workers.FakeFleet:
    """Return a fleet of large workers, which all have reported."""
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(hosts, 'red', cores)
    fleet.run(0.5)
    return fleet


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
    fleet = build_fleet()
    fleet.mean_run_s = 100.0
    _, record = submit(
        fleet, builders.build_batch_job(builders.build_step(640, need=SMALL))
    )
    fleet.run(1.0)
    [worker] = fleet.workers.values()
    assert end_all_runs(worker) == 640
    fleet.run(2.0)
    assert len(fleet.starts) == 640
    assert record.state is states.BatchState.COMPLETED


def test_new_leader_waits_for_ends_that_are_held_back():
    """Guards against tasks that run twice after a change of leader."""
    fleet = build_fleet()
    fleet.mean_run_s = 100.0
    _, record = submit(
        fleet, builders.build_batch_job(builders.build_step(640, need=SMALL))
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
    fleet = build_fleet()
    fleet.mean_run_s = 100.0
    _, record = submit(
        fleet, builders.build_batch_job(builders.build_step(640, need=SMALL))
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
