"""Approvals of the policy service that long-running tasks wait for."""

import msgspec

from fakes import workers as fake_workers
from orioleshore.jobs import eligibility
from orioleshore.jobs import orders
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import load_builders
from orioleshore.tests import support


def build_fleet(hosts: int) -> fake_workers.FakeFleet:
    """Return a fleet whose red queue needs approval and blue one does not."""
    configuration = builders.build_configuration()
    first, second = configuration.queues
    queues = (
        msgspec.structs.replace(first, needs_approval=True),
        msgspec.structs.replace(second, pool=ids.PoolId('red')),
    )
    fleet = fake_workers.FakeFleet(
        # Without a standby pool, no host leaves its pool.
        builders.build_configuration(
            queues=queues, pools=configuration.pools[:1]
        ),
        seed=support.SEED,
    )
    fleet.add_hosts(hosts, 'red')
    fleet.run(0.5)
    return fleet


def submit(
    fleet: fake_workers.FakeFleet, number: int, queue: str, job: specs.Job
) -> ids.JobId:
    """Submit a job to a queue and return its id."""
    name = builders.build_job_id(number)
    call = builders.build_submission(number, job)
    call = msgspec.structs.replace(call, path=f'/{queue}/{name}')
    assert fleet.call_scheduler(call).is_ok()
    return name


def test_lost_calls_do_not_keep_later_steps_from_approval():
    """Guards against steps that wait behind calls whose answer is lost.

    The steps of the lost calls run meanwhile, so nothing repeats the calls.
    """
    fleet = build_fleet(2)
    approvals = fleet.scheduler.approvals
    names = []
    for number in range(8):
        names.append(
            submit(fleet, number, 'red', builders.build_lasting_job(1))
        )
        fleet.run(0.5)
    for name in names:
        # A call about workers that joined later, which is never answered.
        approvals._pending_until[name, 0, 0] = fleet.now + 3.0
    fleet.run(4.0)
    late = submit(fleet, 9, 'red', builders.build_lasting_job(1))
    fleet.run(5.0)
    assert fleet.count_running_tasks(late) == 1


def test_workers_that_failed_often_are_approved_if_there_are_no_others():
    """Guards against a policy that is never asked about the only workers."""
    fleet = build_fleet(2)
    make_suspect(fleet)
    lasting = submit(fleet, 1, 'red', builders.build_lasting_job(2))
    fleet.run(5.0)
    assert fleet.count_running_tasks(lasting) == 2


def test_gang_starts_on_workers_that_failed_often_if_there_are_no_others():
    """Guards against a gang that is never planned on the only workers."""
    fleet = build_fleet(2)
    make_suspect(fleet)
    gang = builders.build_batch_job(
        builders.build_step(2, is_gang=True, is_long_running=True)
    )
    lasting = submit(fleet, 1, 'blue', gang)
    fleet.run(5.0)
    assert fleet.count_running_tasks(lasting) == 2


def test_workers_with_room_are_approved_before_full_ones():
    """Guards against a worker with room behind many full ones.

    The service takes a number of workers in a call, and its tickets expire.
    """
    fleet = build_fleet(70)
    filling = builders.build_lasting_job(
        69, need=specs.Resources(16_000, 512), max_per_worker=1
    )
    submit(fleet, 1, 'blue', filling)
    fleet.run(4.0)
    lasting = submit(fleet, 2, 'red', builders.build_lasting_job(1))
    asked = []
    for _ in range(20):
        fleet.scheduler.tick(fleet.now, fleet.wall)
        asked += [
            order.workers
            for order in fleet.scheduler.orders.take_orders()
            if isinstance(order, orders.AskApproval)
        ]
        fleet.now += 0.1
    free = [w.name for w in fleet.workers.values() if not w.running]
    assert free and free[0] in asked[0]
    assert fleet.scheduler.jobs[lasting].groups[0, 0].waiting


def make_suspect(fleet: fake_workers.FakeFleet) -> None:
    """Let all workers fail some runs in a row, then work again."""
    for worker in fleet.workers.values():
        worker.is_failing = True
    for number in range(20, 30):
        submit(
            fleet,
            number,
            'blue',
            builders.build_batch_job(builders.build_step(2)),
        )
        fleet.run(0.5)
    # All these jobs end as failed.
    fleet.run(60.0)
    assert not fleet.scheduler.jobs
    for worker in fleet.workers.values():
        worker.is_failing = False
    assert all(
        worker.consecutive_failures >= eligibility.SUSPECT_FAILURE_COUNT
        for worker in fleet.scheduler.workers.values()
    )


def test_ticket_of_an_earlier_incarnation_is_not_used():
    """Guards against starts that a restarted worker refuses one by one.

    A ticket is valid for one incarnation of its worker, and the task waited
    until it had expired.
    """
    fleet = build_fleet(1)
    name = submit(fleet, 1, 'red', builders.build_lasting_job(1))
    fleet.run(1.0)
    [fake] = fleet.workers.values()
    job = fleet.scheduler.jobs[name]
    [group] = job.groups.values()

    def get_ticket() -> str | None:
        [worker] = fleet.scheduler.workers.values()
        return fleet.scheduler.approvals.get_ticket(worker, job, group)

    assert get_ticket()
    fake.restart(fake.pool, fleet.now, reuses_name=True)
    fleet.call_scheduler(fake.make_heartbeat(fleet.now))
    assert get_ticket() is None
    fleet.run(1.0)
    assert get_ticket()


def test_worker_that_was_refused_is_asked_about_again_after_a_restart():
    """Guards against a step that no worker may run although one could.

    The next incarnation of a refused worker may be of another kind.
    """
    fleet = build_fleet(1)
    [fake] = fleet.workers.values()
    fake.keeps_name = True
    fleet.unapproved.add(fake.name)
    name = submit(fleet, 1, 'red', builders.build_lasting_job(1))
    fleet.run(1.0)
    assert not fleet.count_running_tasks(name)
    fleet.unapproved.clear()
    fake.restart(fake.pool, fleet.now)
    fleet.run(1.0)
    assert fleet.count_running_tasks(name) == 1


def test_calls_are_not_given_up_before_their_turn():
    """Guards against steps that are never approved by a slow service.

    Sixteen steps asked at once. Most calls were given up before their turn,
    and made again behind those that nobody waited for.
    """
    fleet = load_builders.build_slow_fleet(call_s=0.42)
    for number in range(16):
        submit(fleet, number, 'red', builders.build_batch_job())
    fleet.run(20.0)
    assert fleet.given_up == 0
    assert fleet.longest_line <= 2
    assert len(fleet.starts) == 16


def test_declared_time_of_the_service_is_waited_for():
    """Guards against a call that is given up before its answer is due."""
    fleet = load_builders.build_slow_fleet(call_s=5.0, declared_ms=5_000)
    for number in range(3):
        submit(fleet, number, 'red', builders.build_batch_job())
    fleet.run(21.0)
    assert fleet.given_up == 0
    assert len(fleet.starts) == 3


def test_service_that_is_slower_than_declared_is_waited_for_longer():
    """Guards against calls that are given up and repeated for ever."""
    fleet = load_builders.build_slow_fleet(call_s=9.0)
    submit(fleet, 1, 'red', builders.build_batch_job())
    fleet.run(60.0)
    assert len(fleet.starts) == 1
    assert fleet.longest_line <= 5


def test_full_service_is_asked_again_after_a_pause():
    """Guards against a service that is called in every tick while full."""
    fleet = load_builders.build_slow_fleet(call_s=0.1)
    others = orders.AskApproval(builders.build_job_id(99), 0, 0, ())
    fleet.fill_line(others)
    fleet.busy_until = fleet.now + 2.0
    submit(fleet, 1, 'red', builders.build_batch_job())
    fleet.run(6.0)
    assert 1 <= fleet.refused <= 4
    assert len(fleet.starts) == 1
