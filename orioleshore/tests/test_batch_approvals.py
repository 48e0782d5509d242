"""Approvals of the policy service that long-running tasks wait for."""

import msgspec

from fakes import workers as fake_workers
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support


def build_fleet(hosts: int) -> fake_workers.FakeFleet:
    """Return a fleet whose red queue needs approval and blue one does not."""
    first, second = builders.build_configuration().queues
    queues = (
        msgspec.structs.replace(first, needs_approval=True),
        msgspec.structs.replace(second, pool=ids.PoolId('red')),
    )
    fleet = fake_workers.FakeFleet(
        builders.build_configuration(queues=queues), seed=support.SEED
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
