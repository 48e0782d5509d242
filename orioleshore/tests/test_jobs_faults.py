"""Faults at every step of a job, alone, twice and together.

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
RUN_S = 8.0


def accept(session):
    session.add_jobs(session.subject)


def place(session):
    accept(session)
    session.commit()


def send_start(session):
    place(session)
    session.lost_answers.add(events.CallKind.START_TASK)
    session.deliver()
    session.lost_answers.clear()


def start(session):
    place(session)
    session.deliver()


def run(session):
    start(session)
    session.run(2.0)


def finish(session):
    run(session)
    session.now += RUN_S
    session.report()


def record(session):
    finish(session)
    session.commit()


STEPS = (accept, place, send_start, start, run, finish, record)


def get_worker(session):
    attempts = session.state.jobs[JOB].attempts if has_job(session) else ()
    return attempts[-1].worker if attempts else ids.HostId('freight-0')


def has_job(session):
    return JOB in session.state.jobs


def cut_worker_off(session):
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
    session.now += RUN_S
    session.lose_reports()
    session.change_leader()


def repeat_reports(session):
    for report in list(session.reports):
        session.feed(report)


def cancel(session):
    session.remove_jobs(JOB)


def drain(session):
    host = get_worker(session)
    if session.state.hosts[host].state is states.HostState.SERVING:
        session.set_host_state(host, states.HostState.DRAINING)


def make_impossible(session):
    if any(job.name == JOB for job in session.state.document.jobs):
        session.remove_jobs(JOB)
        session.add_jobs(msgspec.structs.replace(session.subject, cores=99.0))


FAULTS = (
    cut_worker_off,
    fail_worker,
    lose_answers,
    lose_calls,
    lose_proposals,
    change_leader,
    change_leader_and_lose_proposals,
    change_leader_and_miss_reports,
    repeat_reports,
    cancel,
    drain,
    make_impossible,
)


def build_session(idempotent):
    session = job_session.JobSession(builders.build_document(hosts=3))
    session.fake.default.run_s = RUN_S
    session.subject = builders.build_job(idempotent=idempotent)
    return session


def heal_and_finish(session):
    session.run(4.0)
    for _ in range(20):
        session.step(5.0)
    session.fake.cut_off.clear()
    session.fake.failing_workers.clear()
    session.lost_answers.clear()
    for _ in range(30):
        session.step(5.0)


def check_end(session, idempotent, faults):
    assert not session.fake.get_live_runs(JOB)
    if cancel in faults and not any(
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
    # Pairs hold each fault twice and all that happen together.
    pairs = itertools.product(FAULTS, repeat=2)
    for faults in [*singles, *pairs]:
        names = [fault.__name__ for fault in faults]
        session = build_session(idempotent)
        try:
            step(session)
            for fault in faults:
                fault(session)
            heal_and_finish(session)
            check_end(session, idempotent, faults)
        except AssertionError as error:
            raise AssertionError(f'{step.__name__}, {names}') from error


@pytest.mark.parametrize(
    ('step', 'fault', 'expected'),
    [
        (accept, lose_proposals, states.JobState.DONE),
        (place, lose_calls, states.JobState.DONE),
        (run, lose_answers, states.JobState.DONE),
        (run, change_leader, states.JobState.DONE),
        (run, change_leader_and_miss_reports, states.JobState.DONE),
        (run, repeat_reports, states.JobState.DONE),
        (run, drain, states.JobState.DONE),
        (run, cut_worker_off, states.JobState.UNKNOWN),
        (run, fail_worker, states.JobState.QUARANTINED),
        (finish, lose_proposals, states.JobState.DONE),
    ],
)
def test_single_fault_of_a_job_that_is_not_idempotent(step, fault, expected):
    """A harmless fault must not make the outcome unknown."""
    session = build_session(idempotent=False)
    step(session)
    fault(session)
    session.run(100.0)
    assert session.get_state(JOB) is expected


def test_stop_that_overtakes_its_start_call_prevents_the_start():
    session = build_session(idempotent=False)
    place(session)
    cancel(session)
    session.calls.rotate(1)
    session.deliver()
    session.run(4.0)
    assert not session.fake.starts[JOB]
    assert not has_job(session)


def test_late_report_of_a_removed_job_does_not_end_its_successor():
    session = build_session(idempotent=True)
    finish(session)
    session.commit()
    session.remove_jobs(JOB)
    session.add_jobs(session.subject)
    session.commit()
    repeat_reports(session)
    session.commit()
    assert session.get_state(JOB) is states.JobState.RUNNING
    session.run(20.0)
    assert session.fake.starts[JOB] == 2


def test_result_that_arrives_late_replaces_unknown():
    session = build_session(idempotent=False)
    run(session)
    cut_worker_off(session)
    session.run(100.0)
    assert session.get_state(JOB) is states.JobState.UNKNOWN
    session.fake.cut_off.clear()
    session.run(2.0)
    assert session.get_state(JOB) is states.JobState.DONE
