"""Tasks that a worker leaves to others, which may not be able to run them."""

import msgspec
import pytest

from fakes import workers as fake_workers
from orioleshore.jobs import alternatives
from orioleshore.jobs import calls
from orioleshore.jobs import claiming
from orioleshore.jobs import orders
from orioleshore.jobs import specs
from orioleshore.jobs import upkeep
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support

LABEL = 'b'
LARGE = specs.Resources(20_000, 512)
# Room for one task of a step only.
WHOLE_WORKER = specs.Resources(16_000, 512)
NAME = builders.build_job_id()


def build_fleet(
    count: int = 4, needs_approval: bool = False
) -> fake_workers.FakeFleet:
    """Return a fleet in which only the first worker has the label."""
    configuration = builders.build_configuration()
    queues = tuple(
        msgspec.structs.replace(queue, needs_approval=needs_approval)
        for queue in configuration.queues
    )
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(queues=queues), seed=support.SEED
    )
    fleet.add_hosts(count, 'red')
    first = get_first(fleet)
    first.labels = (LABEL, first.labels[1])
    return fleet


def get_first(fleet: fake_workers.FakeFleet) -> fake_workers.FakeWorker:
    """Return the worker that differs from the others."""
    return next(iter(fleet.workers.values()))


def submit(fleet: fake_workers.FakeFleet, number: int = 1, **fields) -> None:
    """Submit a job of one short task."""
    job = builders.build_batch_job(builders.build_step(**fields))
    assert fleet.call_scheduler(builders.build_submission(number, job)).is_ok()


def fail_once(fleet: fake_workers.FakeFleet) -> None:
    """Let the first worker fail the task of the job once."""
    first = get_first(fleet)
    first.is_failing = True
    while not fleet.starts:
        fleet.run(0.05)
    first.is_failing = False
    fleet.run(0.2)
    assert fleet.scheduler.jobs[NAME].record.tasks['0.0.0'].failures == 1


def get_started_hosts(fleet: fake_workers.FakeFleet) -> list[ids.HostId]:
    """Return the hosts on which tasks were started, in order."""
    return [host for _, host, _ in fleet.starts]


def get_group(fleet: fake_workers.FakeFleet, number: int = 1):
    """Return the progress of a job and of its only step."""
    job = fleet.scheduler.jobs[builders.build_job_id(number)]
    [group] = job.groups.values()
    return job, group


@pytest.mark.parametrize('restriction', ['label', 'policy', 'size'])
def test_task_that_failed_on_its_only_worker_is_started_again(restriction):
    """Guards against a failed task that waits for workers that cannot run it.

    It was left to any other available worker of the pool, without a bound. At
    once, it would fail again on a worker that needs a moment to recover.
    """
    fleet = build_fleet(needs_approval=restriction == 'policy')
    fields: dict = {}
    if restriction == 'label':
        fields['required_label'] = LABEL
    if restriction == 'size':
        get_first(fleet).size = specs.Resources(32_000, 65_536)
        fields['need'] = LARGE
    if restriction == 'policy':
        others = [*fleet.workers.values()][1:]
        fleet.unapproved.update(worker.name for worker in others)
    fleet.run(0.5)
    submit(fleet, **fields)
    fail_once(fleet)
    first = get_first(fleet)
    fleet.run(1.0)
    assert get_started_hosts(fleet) == [first.host]
    fleet.run(claiming.RETRY_SAME_WORKER_S - 1.0)
    assert get_started_hosts(fleet) == [first.host] * 2


def test_failed_task_is_started_on_another_worker():
    """Guards against a faulty worker that uses up the attempts of a task."""
    fleet = build_fleet(2)
    first, second = fleet.workers.values()
    fleet.run(0.5)
    submit(fleet)
    second.next_heartbeat = fleet.now + 0.3
    first.is_failing = True
    fleet.run(2.0)
    assert get_started_hosts(fleet) == [first.host, second.host]


def test_failed_task_does_not_wait_for_others_without_a_bound():
    """Guards against a failed task that waits for a worker without room."""
    fleet = build_fleet(2)
    _, second = fleet.workers.values()
    fleet.mean_run_s = 60.0
    second.labels = ('c', second.labels[1])
    fleet.run(0.5)
    submit(fleet, 2, need=WHOLE_WORKER, required_label='c')
    fleet.run(0.5)
    fleet.starts.clear()
    submit(fleet)
    fail_once(fleet)
    fleet.run(1.0)
    assert len(fleet.starts) == 1
    fleet.run(claiming.RETRY_SAME_WORKER_S)
    assert len(fleet.starts) == 2


def test_restarted_worker_has_not_failed_a_task():
    """Guards against a worker that answers for its last incarnation."""
    fleet = build_fleet(1)
    fleet.run(0.5)
    submit(fleet)
    fail_once(fleet)
    first = get_first(fleet)
    first.restart(first.pool, fleet.now, reuses_name=True)
    fleet.run(0.1)
    assert get_started_hosts(fleet) == [first.host] * 2


def test_task_does_not_wait_for_a_rack_whose_workers_cannot_run_it():
    """Guards against a wait for the rack of workers without the label."""
    fleet = build_fleet(2)
    _, second = fleet.workers.values()
    second.labels = ('a', 'r1-2')
    fleet.run(0.5)
    submit(fleet, required_label=LABEL, data_rack='r1-2', estimate_ms=9_000)
    fleet.run(0.3)
    assert get_started_hosts(fleet) == [get_first(fleet).host]


def test_others_with_room_can_run_the_step():
    """Guards against tasks that are evicted although none can take them."""
    fleet = build_fleet()
    fleet.run(0.5)
    submit(fleet, required_label=LABEL)
    job, group = get_group(fleet)
    scheduler = fleet.scheduler
    first = scheduler.workers[get_first(fleet).name]
    find = alternatives.find_others_with_room
    assert not find(scheduler, first, job, group)
    submit(fleet, 2)
    assert len(find(scheduler, first, *get_group(fleet, 2))) == 3


def test_only_workers_with_the_label_are_asked_about():
    """Guards against tickets that expire before the right worker is asked."""
    fleet = build_fleet(needs_approval=True)
    fleet.run(0.5)
    submit(fleet, required_label=LABEL)
    fleet.scheduler.approvals.advance()
    asked = [
        order.workers
        for order in fleet.scheduler.orders.take_orders()
        if isinstance(order, orders.AskApproval)
    ]
    assert asked == [(get_first(fleet).name,)]


def test_cordon_yields_to_a_task_that_no_other_worker_may_run():
    """Guards against a task that waits while its only worker is cordoned.

    A long-running step that may miss no task keeps the host from going down.
    """
    fleet = build_fleet()
    first = get_first(fleet)
    lasting = builders.build_lasting_job(
        1, max_unavailable=1, required_label=LABEL
    )
    fleet.call_scheduler(builders.build_submission(2, lasting))
    fleet.run(2.0)
    worker = fleet.scheduler.workers[first.name]
    fleet.call_scheduler(
        calls.OpenWave(ids.WaveId('1'), (first.host,), 60.0, 1)
    )
    fleet.scheduler.upkeep._step_limits.can_lose_worker = lambda worker: False
    fleet.run(0.3)
    assert worker.is_cordoned
    submit(fleet, required_label=LABEL)
    fleet.run(4.0)
    path = f'/red/{NAME}'
    status = fleet.call_scheduler(calls.GetJob('jobs.example', path)).unwrap()
    assert status.state is states.BatchState.COMPLETED


def test_late_wave_takes_down_the_only_worker_for_a_task():
    """Guards against a wave that waits for a task that never starts."""
    fleet = build_fleet(needs_approval=True)
    first = get_first(fleet)
    fleet.run(0.5)
    submit(fleet, required_label=LABEL)
    # The policy service neither approves nor refuses the worker.
    step = states.TickStep.APPROVALS
    fleet.scheduler._tick_steps[step] = lambda: None
    fleet.run(upkeep.CORDON_YIELD_S + 0.5)
    fleet.call_scheduler(
        calls.OpenWave(ids.WaveId('1'), (first.host,), 10.0, 1)
    )
    fleet.run(6.0)
    assert not fleet.hosts_done
    fleet.run(4.0)
    assert fleet.hosts_done == {first.host}


def test_pool_keeps_the_only_worker_that_may_run_a_job():
    """Guards against a job whose only worker is switched off."""
    fleet = build_fleet(6)
    fleet.run(1.5)
    later = builders.build_step(required_label=LABEL, after=(0,))
    job = builders.build_batch_job(
        builders.build_step(required_label='a'), later
    )
    fleet.mean_run_s = 6.0
    fleet.call_scheduler(builders.build_submission(1, job))
    fleet.run(0.1)
    first = get_first(fleet)
    fleet.run(2.0)
    assert fleet.workers[first.host].pool == 'red'
    fleet.run(14.0)
    path = f'/red/{NAME}'
    status = fleet.call_scheduler(calls.GetJob('jobs.example', path)).unwrap()
    assert status.state is states.BatchState.COMPLETED
