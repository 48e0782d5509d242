"""What is turned away when a queue asks more than the fleet holds."""

import collections

from fakes import workers
from orioleshore.jobs import admission
from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support

# Jobs handed in at once; about nine times what two hosts complete within
# three objectives.
FLOOD = 900
OBJECTIVE_S = 1.6 * 0.5 + 3.6


def submit_flood():
    """Return a fleet, its answers to a flood, and when jobs ended."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add(2, 'red')
    fleet.run(1.0)
    step = builders.build_step(6)
    # The first jobs teach how long tasks take.
    for number in range(8):
        fleet.ask(
            builders.build_submission(
                number + 1, builders.build_batch_job(step)
            )
        )
    fleet.run(8.0)
    answers = {
        number: fleet.ask(
            builders.build_submission(number, builders.build_batch_job(step))
        )
        for number in range(100, 100 + FLOOD)
    }
    return fleet, answers


def test_flood_is_turned_away_at_once_and_the_rest_is_served():
    """Guards against work that is accepted only to be useless."""
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
        fleet.ask(
            calls.GetJob('jobs.example', f'/red/{builders.build_job_id(n)}')
        )
        .unwrap()
        .state
        is states.BatchState.COMPLETED
        for n in accepted
    )
    assert completed == len(accepted)


def test_new_leader_refuses_nothing_before_it_knows_its_room():
    """Guards against refusals from few workers and declared run times.

    Seen after a change of leader on scale-1 of Sakdina: a backlog of 75 s
    was computed where there was none.
    """
    fleet, answers = submit_flood()
    accepted = sum(answer.is_ok() for answer in answers.values())
    assert accepted > 0
    fleet.fail_over()
    fleet.run(0.3)
    # Declared eight times as long as it takes; declared times are far off.
    step = builders.build_step(6, estimate_ms=5_000)
    answer = fleet.ask(
        builders.build_submission(8_001, builders.build_batch_job(step))
    )
    assert answer.is_ok()


def test_refused_jobs_never_start():
    """Guards against a refusal that is not true."""
    fleet, answers = submit_flood()
    fleet.run(3.0)
    refused = {
        builders.build_job_id(number)
        for number, answer in answers.items()
        if answer.is_err()
    }
    assert not refused & {order.job for _, _, order in fleet.starts}


def test_callers_are_told_different_times():
    """Guards against callers that all come back at once."""
    _, answers = submit_flood()
    times = [
        answer.unwrap_err().retry_after_s
        for answer in answers.values()
        if answer.is_err()
    ]
    assert times == sorted(times)
    # Whoever was refused first comes back first, at the pace of the pool.
    seconds = collections.Counter(int(time) for time in times[:200])
    assert max(seconds.values()) <= 20


def test_task_that_fits_no_host_is_refused():
    """Guards against a job that waits for ever."""
    fleet, _ = submit_flood()
    step = builders.build_step(need=specs.Resources(17_000, 64))
    answer = fleet.ask(
        builders.build_submission(7_000, builders.build_batch_job(step))
    )
    kind = errors.ErrorKind.DEADLINE_UNREACHABLE
    assert answer.unwrap_err().kind is kind


def test_lasting_jobs_are_not_turned_away_by_a_backlog():
    """Guards against watchers that a burst of other work keeps out."""
    fleet, _ = submit_flood()
    answer = fleet.ask(
        builders.build_submission(7_000, builders.build_lasting_job())
    )
    assert answer.is_ok()
