"""Random sequences of events about jobs.

Guards against failures in combinations that the tables of
``test_jobs_faults`` do not list. ``JobSession`` checks the invariants
after every event.
"""

import hypothesis
from hypothesis import strategies
import msgspec

from fakes import tasks as fake_tasks
from orioleshore.fleet import events
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import job_session

HOSTS = 4


def add_job(session, number):
    name = f'job-{number}-{len(session.reports)}-{session.state.version}'
    job = builders.build_job(
        name,
        cores=(1.0, 4.0, 9.0)[number % 3],
        idempotent=number % 2 == 0,
        urgent=number % 5 == 0,
        job_class=f'class-{number % 3}',
        deadline=session.now + 40.0 if number % 7 == 0 else None,
    )
    session.fake.works[name] = fake_tasks.Work(number % 50 + 1.0, number % 6)
    session.add_jobs(job)


def remove_job(session, number):
    jobs = session.state.document.jobs
    if jobs:
        session.remove_jobs(jobs[number % len(jobs)].name)


def edit_job(session, number):
    jobs = session.state.document.jobs
    if not jobs:
        return
    edited = jobs[number % len(jobs)]
    replaced = msgspec.structs.replace(edited, cores=number % 20 + 0.5)
    session.change_document(
        jobs=tuple(replaced if job is edited else job for job in jobs)
    )


def get_host(number):
    return f'freight-{number % HOSTS}'


def toggle_partition(session, number):
    session.fake.cut_off ^= {get_host(number)}


def toggle_failing_worker(session, number):
    session.fake.failing_workers ^= {get_host(number)}


def drain_host(session, number):
    host = get_host(number)
    if session.state.hosts[host].state is states.HostState.SERVING:
        session.set_host_state(host, states.HostState.DRAINING)


def return_host(session, number):
    host = get_host(number)
    if session.state.hosts[host].state is states.HostState.DRAINING:
        session.set_host_state(host, states.HostState.SERVING)


def change_leader(session, number):
    session.change_leader()


def lose_calls(session, number):
    session.calls.clear()


def lose_proposals(session, number):
    session.proposals.clear()


def toggle_lost_answers(session, number):
    session.lost_answers ^= set(events.CallKind)


def repeat_reports(session, number):
    for report in session.reports[-number - 1 :]:
        session.handle_event(report)


def report_usage(session, number):
    session.handle_event(
        events.HostReported(
            get_host(number), events.ReportedState.UP, number % 24, 1.0
        )
    )


def advance_time(session, number):
    session.advance(number % 20 + 0.5)


OPERATIONS = (
    add_job,
    add_job,
    add_job,
    remove_job,
    edit_job,
    toggle_partition,
    toggle_failing_worker,
    drain_host,
    return_host,
    change_leader,
    lose_calls,
    lose_proposals,
    toggle_lost_answers,
    repeat_reports,
    report_usage,
    advance_time,
    advance_time,
    advance_time,
)


@hypothesis.settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    database=None,
    # Shrinking a failing sequence of this length takes minutes.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(OPERATIONS), strategies.integers(0, 99)
        ),
        min_size=20,
        max_size=60,
    )
)
def test_no_job_is_lost_or_started_twice(operations):
    session = job_session.JobSession(builders.build_document(HOSTS))
    for operation, number in operations:
        operation(session, number)
    session.fake.cut_off.clear()
    session.fake.failing_workers.clear()
    session.lost_answers.clear()
    for number in range(HOSTS):
        return_host(session, number)
        session.handle_event(
            events.HostReported(get_host(number), events.ReportedState.UP)
        )
    for _ in range(100):
        session.advance(10.0)
    for job in session.state.document.jobs:
        state = session.get_state(job.name)
        assert state is not states.JobState.WAITING, job
        assert state is not states.JobState.RUNNING, job
        if job.idempotent and job.cores <= 16.0:
            assert state is states.JobState.DONE, job
