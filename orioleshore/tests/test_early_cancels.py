"""Jobs that are cancelled before their submission comes."""

from orioleshore.jobs import calls
from orioleshore.jobs import retention
from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import load_builders

JOB = builders.build_job_id(7)
CANCEL = calls.CancelJob('jobs.example', f'/red/{JOB}')
STATUS = calls.GetJob('jobs.example', f'/red/{JOB}')


def build_cancelled_fleet():
    """Return a fleet at which a job was cancelled that it does not know."""
    fleet = load_builders.build_large_workers()
    outcome = fleet.call_scheduler(CANCEL)
    assert outcome.unwrap_err().kind is errors.ErrorKind.JOB_UNKNOWN
    return fleet


def test_job_that_was_cancelled_before_it_came_never_starts():
    """Guards against a job that runs after its caller was told otherwise.

    The submission waited at an entry host that was frozen, while the caller
    cancelled the job at another one.
    """
    fleet = build_cancelled_fleet()
    fleet.run(1.0)
    fleet.fail_over()
    fleet.run(3.5)
    unknown = fleet.call_scheduler(STATUS).unwrap_err()
    assert unknown.kind is errors.ErrorKind.JOB_UNKNOWN
    assert fleet.call_scheduler(builders.build_submission(7)).is_ok()
    assert fleet.call_scheduler(builders.build_submission(7)).is_ok()
    fleet.run(2.0)
    assert not fleet.starts
    status = fleet.call_scheduler(STATUS).unwrap()
    assert status.state is states.BatchState.CANCELLED


def test_early_cancel_is_forgotten_after_the_retention_time():
    """Guards against a state that grows with each unknown job."""
    fleet = build_cancelled_fleet()
    scheduler = fleet.scheduler
    fleet.call_scheduler(CANCEL)
    assert list(scheduler.ledger.early_cancels) == [JOB]
    fleet.now += scheduler.limits.status_s + 1.0
    scheduler.tick(fleet.now, fleet.wall)
    assert not scheduler.ledger.early_cancels


def test_cancelled_job_that_came_late_is_kept_from_its_own_end():
    """Guards against a state that is shown for too short a time."""
    fleet = build_cancelled_fleet()
    scheduler = fleet.scheduler
    fleet.now += scheduler.limits.status_s - 10.0
    assert fleet.call_scheduler(builders.build_submission(7)).is_ok()
    fleet.now += 20.0
    scheduler.tick(fleet.now, fleet.wall)
    assert fleet.call_scheduler(STATUS).is_ok()


def test_number_of_early_cancels_is_bounded(monkeypatch):
    """Guards against a caller that fills the state with unknown jobs."""
    monkeypatch.setattr(retention, 'MAX_EARLY_CANCELS', 3)
    fleet = build_cancelled_fleet()
    for number in range(10, 20):
        name = builders.build_job_id(number)
        fleet.call_scheduler(calls.CancelJob('jobs.example', f'/red/{name}'))
    cancels = fleet.scheduler.ledger.early_cancels
    assert list(cancels) == [builders.build_job_id(n) for n in (17, 18, 19)]
