"""Faults at every step of a job, alone and in pairs.

Guards against jobs that are lost, started twice although they are not
idempotent, or stopped without a cancellation. ``JobSession`` checks the
invariants after every event.
"""

import itertools

import msgspec
import pytest

from orioleshore.fleet import events
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import job_session

JOB = ids.JobId('job-1')
RUN_TIME_S = 8.0


def accept_job(session):
    session.add_jobs(session.subject)


def place_job(session):
    accept_job(session)
    session.commit_proposals()


def send_start_call(session):
    place_job(session)
    session.lost_answers.add(events.CallKind.START_TASK)
    session.deliver_calls()
    session.lost_answers.clear()


def start_job(session):
    place_job(session)
    session.deliver_calls()


def run_job(session):
    start_job(session)
    session.run_for(2.0)


def finish_job(session):
    run_job(session)
    session.now += RUN_TIME_S
    session.deliver_reports()


def record_result(session):
    finish_job(session)
    session.commit_proposals()


STEPS = (
    accept_job,
    place_job,
    send_start_call,
    start_job,
    run_job,
    finish_job,
    record_result,
)


def get_worker(session):
    attempts = session.state.jobs[JOB].attempts if has_job(session) else ()
    return attempts[-1].worker if attempts else ids.HostId('freight-0')


def has_job(session):
    return JOB in session.state.jobs


def partition_worker(session):
    session.fake.cut_off.add(get_worker(session))


def fail_worker(session):
    session.fake.failing_workers.add(get_worker(session))


def lose_answers(session):
    session.lost_answers |= set(events.CallKind)


def lose_calls(session):
    session.calls.clear()


def lose_proposals(session):
    session.proposals.clear()


def change_leader(session):
    session.change_leader()


def change_leader_and_lose_proposals(session):
    session.proposals.clear()
    session.change_leader()


def change_leader_and_miss_reports(session):
    session.now += RUN_TIME_S
    session.miss_reports()
    session.change_leader()


def repeat_reports(session):
    for report in list(session.reports):
        session.handle_event(report)


def cancel_job(session):
    session.remove_jobs(JOB)


def drain_worker(session):
    host = get_worker(session)
    if session.state.hosts[host].state is states.HostState.SERVING:
        session.set_host_state(host, states.HostState.DRAINING)


def make_impossible(session):
    if any(job.name == JOB for job in session.state.document.jobs):
        session.remove_jobs(JOB)
        session.add_jobs(msgspec.structs.replace(session.subject, cores=99.0))


FAULTS = (
    partition_worker,
    fail_worker,
    lose_answers,
    lose_calls,
    lose_proposals,
    change_leader,
    change_leader_and_lose_proposals,
    change_leader_and_miss_reports,
    repeat_reports,
    cancel_job,
    drain_worker,
    make_impossible,
)


def build_session(idempotent):
    session = job_session.JobSession(builders.build_document(hosts=3))
    session.fake.default.run_s = RUN_TIME_S
    session.subject = builders.build_job(idempotent=idempotent)
    return session


def clear_faults_and_finish(session):
    session.run_for(4.0)
    for _ in range(20):
        session.advance(5.0)
    session.fake.cut_off.clear()
    session.fake.failing_workers.clear()
    session.lost_answers.clear()
    for _ in range(30):
        session.advance(5.0)


def check_outcome(session, idempotent, faults):
    assert not session.fake.get_live_runs(JOB)
    if cancel_job in faults and not any(
        job.name == JOB for job in session.state.document.jobs
    ):
        assert not has_job(session)
        return
    ended = {states.JobState.DONE}
    if make_impossible in faults:
        ended.add(states.JobState.QUARANTINED)
    if not idempotent:
        ended |= {states.JobState.UNKNOWN, states.JobState.QUARANTINED}
    assert session.get_state(JOB) in ended
    assert session.get_state(JOB) is not states.JobState.DONE or (
        session.fake.starts[JOB] >= 1
    )


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('step', STEPS)
def test_job_survives_faults_at_every_step(step, idempotent):
    singles = [(fault,) for fault in FAULTS]
    # The pairs include each fault repeated and every combination of two.
    pairs = itertools.product(FAULTS, repeat=2)
    for faults in [*singles, *pairs]:
        names = [fault.__name__ for fault in faults]
        session = build_session(idempotent)
        try:
            step(session)
            for fault in faults:
                fault(session)
            clear_faults_and_finish(session)
            check_outcome(session, idempotent, faults)
        except AssertionError as error:
            raise AssertionError(f'{step.__name__}, {names}') from error


@pytest.mark.parametrize(
    ('step', 'fault', 'expected'),
    [
        (accept_job, lose_proposals, states.JobState.DONE),
        (place_job, lose_calls, states.JobState.DONE),
        (run_job, lose_answers, states.JobState.DONE),
        (run_job, change_leader, states.JobState.DONE),
        (run_job, change_leader_and_miss_reports, states.JobState.DONE),
        (run_job, repeat_reports, states.JobState.DONE),
        (run_job, drain_worker, states.JobState.DONE),
        (run_job, partition_worker, states.JobState.UNKNOWN),
        (run_job, fail_worker, states.JobState.QUARANTINED),
        (finish_job, lose_proposals, states.JobState.DONE),
    ],
)
def test_single_fault_of_a_job_that_is_not_idempotent(step, fault, expected):
    """Guards against an unknown outcome after a recoverable fault."""
    session = build_session(idempotent=False)
    step(session)
    fault(session)
    session.run_for(100.0)
    assert session.get_state(JOB) is expected


def test_stop_call_before_the_start_call_prevents_the_start():
    session = build_session(idempotent=False)
    place_job(session)
    cancel_job(session)
    session.calls.rotate(1)
    session.deliver_calls()
    session.run_for(4.0)
    assert not session.fake.starts[JOB]
    assert not has_job(session)


def test_late_report_of_a_removed_job_does_not_end_its_successor():
    session = build_session(idempotent=True)
    finish_job(session)
    session.commit_proposals()
    session.remove_jobs(JOB)
    session.add_jobs(session.subject)
    session.commit_proposals()
    repeat_reports(session)
    session.commit_proposals()
    assert session.get_state(JOB) is states.JobState.RUNNING
    session.run_for(20.0)
    assert session.fake.starts[JOB] == 2


def test_result_that_arrives_late_replaces_unknown():
    session = build_session(idempotent=False)
    run_job(session)
    partition_worker(session)
    session.run_for(100.0)
    assert session.get_state(JOB) is states.JobState.UNKNOWN
    session.fake.cut_off.clear()
    session.run_for(2.0)
    assert session.get_state(JOB) is states.JobState.DONE
