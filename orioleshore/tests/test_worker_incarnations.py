"""Decisions about a worker that has started again under its name."""

import pytest

from fakes import workers as fake_workers
from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support

WAVE = ids.WaveId('1')
ACCEPTED = states.HostOrderOutcome.ACCEPTED
REFUSED = states.HostOrderOutcome.REFUSED
UNKNOWN = states.HostOrderOutcome.UNKNOWN


def build_fleet(count: int = 3) -> fake_workers.FakeFleet:
    """Return a fleet whose workers start again under their names."""
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(count, 'red')
    for worker in fleet.workers.values():
        worker.keeps_name = True
    fleet.run(1.0)
    return fleet


def get_first_host(fleet: fake_workers.FakeFleet) -> ids.HostId:
    """Return the host that the tests restart."""
    return next(iter(fleet.workers))


def get_worker(fleet: fake_workers.FakeFleet) -> workers.Worker:
    """Return the scheduler's record of the first worker."""
    name = fleet.workers[get_first_host(fleet)].name
    return fleet.scheduler.workers[name]


def restart_first_worker(fleet: fake_workers.FakeFleet) -> None:
    """Start the first worker again, and let it report."""
    worker = fleet.workers[get_first_host(fleet)]
    worker.restart(worker.pool, fleet.now)
    fleet.call_scheduler(worker.make_heartbeat(fleet.now))


def submit_steady_jobs(fleet: fake_workers.FakeFleet, count: int) -> None:
    """Submit a job of two tasks each 50 ms."""
    for _ in range(count):
        number = 1 + len(fleet.scheduler.ledger.jobs)
        job = builders.build_batch_job(builders.build_step(2))
        fleet.call_scheduler(builders.build_submission(number, job))
        fleet.run(0.05)


def count_losses(fleet: fake_workers.FakeFleet) -> int:
    """Return the runs that the scheduler gave up as lost."""
    return sum(
        isinstance(change, ledger.TaskEnded)
        and change.how is states.RunEnd.LOST
        for change in fleet.log
    )


@pytest.mark.parametrize('changes_leader', [False, True])
@pytest.mark.parametrize('lost', [1, 2])
def test_repeated_upkeep_does_not_end_the_next_incarnation(
    lost, changes_leader
):
    """Guards against tasks that run twice after a lost answer to an upkeep.

    The worker is back under its name when the platform confirms the repeated
    order, and what it runs was started again elsewhere.
    """
    fleet = build_fleet()
    # The other workers have room for what the first one runs.
    fleet.mean_run_s = 1.0
    submit_steady_jobs(fleet, 20)
    fleet.lost_upkeep_answers = lost
    host = get_first_host(fleet)
    fleet.call_scheduler(calls.OpenWave(WAVE, (host,), 25.0, 1))
    while fleet.workers[host].incarnation == 1:
        fleet.run(0.05)
    if changes_leader:
        fleet.fail_over()
    while fleet.now < fleet.workers[host].up_at:
        submit_steady_jobs(fleet, 1)
    losses = count_losses(fleet)
    submit_steady_jobs(fleet, 60)
    assert count_losses(fleet) == losses
    fleet.run(20.0)
    assert fleet.call_scheduler(calls.GetWave(WAVE)).unwrap().completed


def test_worker_that_joins_before_an_unanswered_order_gets_no_tasks():
    """Guards against tasks that an order ends which was given before them.

    The host had no worker when the order was given, and the answer is lost.
    """
    fleet = build_fleet(1)
    fleet.run(4.0)
    host = get_first_host(fleet)
    worker = fleet.workers[host]
    fleet.call_scheduler(calls.OpenWave(WAVE, (host,), 25.0, 1))
    fleet.scheduler.record_change(
        ledger.UpkeepOrdered(WAVE, host, ids.WorkerId(''))
    )
    worker.restart(worker.pool, fleet.now)
    fleet.call_scheduler(builders.build_submission())
    fleet.send_heartbeat(worker)
    assert not worker.running
    fleet.call_scheduler(calls.NoteUpkeep(WAVE, host, REFUSED, 'wave'))
    fleet.send_heartbeat(worker)
    assert worker.running


def test_upkeep_ends_the_worker_that_it_was_ordered_for():
    """Guards against tasks that wait for the lease of a worker that ended."""
    fleet = build_fleet()
    worker = get_worker(fleet)
    host = worker.host
    fleet.call_scheduler(calls.OpenWave(WAVE, (host,), 25.0, 1))
    fleet.scheduler.record_change(
        ledger.UpkeepOrdered(WAVE, host, worker.name, worker.incarnation)
    )
    fleet.call_scheduler(calls.NoteUpkeep(WAVE, host, ACCEPTED))
    assert worker.name not in fleet.scheduler.workers


def test_upkeep_of_an_earlier_build_ends_no_worker():
    """Guards against tasks that run twice during an upgrade.

    Earlier builds did not record the incarnation that an upkeep ends.
    """
    fleet = build_fleet()
    worker = get_worker(fleet)
    host = worker.host
    fleet.call_scheduler(calls.OpenWave(WAVE, (host,), 25.0, 1))
    fleet.scheduler.record_change(
        ledger.UpkeepOrdered(WAVE, host, worker.name)
    )
    fleet.call_scheduler(calls.NoteUpkeep(WAVE, host, ACCEPTED))
    assert worker.name in fleet.scheduler.workers


def test_worker_that_restarts_before_its_upkeep_is_cordoned_again():
    """Guards against a host that goes down with tasks started meanwhile."""
    fleet = build_fleet()
    submit_steady_jobs(fleet, 20)
    host = get_first_host(fleet)
    fleet.call_scheduler(calls.OpenWave(WAVE, (host,), 25.0, 1))
    fleet.scheduler.upkeep.advance()
    assert get_worker(fleet).is_cordoned
    restart_first_worker(fleet)
    fleet.scheduler.upkeep.advance()
    assert get_worker(fleet).is_cordoned


@pytest.mark.parametrize(('restarts', 'is_ended'), [(0, True), (1, False)])
def test_late_answer_to_a_move_ends_only_the_worker_that_it_moved(
    restarts, is_ended
):
    """Guards against tasks that run twice after a late answer to a move.

    The host has been moved back meanwhile, and runs tasks of its old pool.
    """
    fleet = build_fleet()
    host = get_first_host(fleet)
    fleet.scheduler.pools._move_host(host, ids.PoolId('blue'))
    fleet.scheduler.orders.take_orders()
    for _ in range(restarts):
        restart_first_worker(fleet)
    name = get_worker(fleet).name
    fleet.call_scheduler(calls.NoteMove(host, ids.PoolId('blue'), ACCEPTED))
    assert (name not in fleet.scheduler.workers) is is_ended


def test_restarted_worker_is_not_retiring():
    """Guards against a host that is switched off since its last worker was."""
    fleet = build_fleet()
    worker = get_worker(fleet)
    fleet.scheduler.pools._retire_worker(worker, 3, 2)
    restart_first_worker(fleet)
    fleet.scheduler.pools.advance()
    assert not fleet.scheduler.pools.is_busy
