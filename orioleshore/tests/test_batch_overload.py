"""Admission when the demand of a queue exceeds the capacity."""

import collections

from fakes import workers
from orioleshore.jobs import admission
from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support

# Jobs submitted at once; about nine times as many as two hosts complete within
# three objectives.
FLOOD_JOBS = 900
OBJECTIVE_S = 1.6 * 0.5 + 3.6


def submit_flood():
    """Submit a flood of jobs; return the fleet and the answers by job."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(2, 'red')
    fleet.run(1.0)
    step = builders.build_step(6)
    # The first jobs provide the mean run time.
    for number in range(8):
        fleet.call_scheduler(
            builders.build_submission(
                number + 1, builders.build_batch_job(step)
            )
        )
    fleet.run(8.0)
    answers = {
        number: fleet.call_scheduler(
            builders.build_submission(number, builders.build_batch_job(step))
        )
        for number in range(100, 100 + FLOOD_JOBS)
    }
    return fleet, answers


def test_excess_jobs_are_refused_and_accepted_jobs_complete():
    """Guards against accepting jobs whose results would be too late."""
    fleet, answers = submit_flood()
    accepted = [number for number, answer in answers.items() if answer.is_ok()]
    refused = [answer for answer in answers.values() if answer.is_err()]
    assert refused
    for answer in refused:
        failure = answer.unwrap_err()
        assert failure.kind is errors.ErrorKind.OVERLOADED
        assert failure.answer.ran is states.Ran.NO
        assert failure.retry_after_s > 0
    # Two objectives of slack for the spread of run times and heartbeats.
    fleet.run((admission.USEFUL_OBJECTIVES + 1.0) * OBJECTIVE_S)
    completed = sum(
        fleet.call_scheduler(
            calls.GetJob('jobs.example', f'/red/{builders.build_job_id(n)}')
        )
        .unwrap()
        .state
        is states.BatchState.COMPLETED
        for n in accepted
    )
    assert completed == len(accepted)


def test_new_leader_refuses_nothing_before_workers_reported():
    """Guards against refusals based on few workers and declared run times.

    After a change of leader, a backlog of 75 s was computed although there
    was none.
    """
    fleet, answers = submit_flood()
    accepted = sum(answer.is_ok() for answer in answers.values())
    assert accepted > 0
    fleet.fail_over()
    fleet.run(0.3)
    # The declared run time is eight times the real one.
    step = builders.build_step(6, estimate_ms=5_000)
    answer = fleet.call_scheduler(
        builders.build_submission(8_001, builders.build_batch_job(step))
    )
    assert answer.is_ok()


def test_refused_jobs_never_start():
    """Guards against running jobs whose callers were told to retry."""
    fleet, answers = submit_flood()
    fleet.run(3.0)
    refused = {
        builders.build_job_id(number)
        for number, answer in answers.items()
        if answer.is_err()
    }
    assert not refused & {order.job for _, _, order in fleet.starts}


def test_retry_delays_of_refused_callers_differ():
    """Guards against refused callers that all retry at the same time."""
    _, answers = submit_flood()
    times = [
        answer.unwrap_err().retry_after_s
        for answer in answers.values()
        if answer.is_err()
    ]
    assert times == sorted(times)
    # Callers retry in the order of their refusals, as fast as the pool works.
    seconds = collections.Counter(int(time) for time in times[:200])
    assert max(seconds.values()) <= 20


def test_task_that_fits_no_host_is_refused():
    """Guards against a job that can never start."""
    fleet, _ = submit_flood()
    step = builders.build_step(need=specs.Resources(17_000, 64))
    answer = fleet.call_scheduler(
        builders.build_submission(7_000, builders.build_batch_job(step))
    )
    kind = errors.ErrorKind.DEADLINE_UNREACHABLE
    assert answer.unwrap_err().kind is kind


def test_long_running_jobs_are_not_refused_because_of_a_backlog():
    """Guards against long-running jobs blocked by a burst of other jobs."""
    fleet, _ = submit_flood()
    answer = fleet.call_scheduler(
        builders.build_submission(7_000, builders.build_lasting_job())
    )
    assert answer.is_ok()
