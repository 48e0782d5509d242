"""Order, quotas, size estimates, preemption and fault attribution of jobs."""

import pytest

from fakes import tasks as fake_tasks
from orioleshore.fleet import events
from orioleshore.fleet import learning
from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import job_session
from orioleshore.tests import support

FAULTY_HOST = 'freight-1'


def build_session(hosts=4, **fields):
    return job_session.JobSession(builders.build_document(hosts, **fields))


def build_long_jobs(session, count, **fields):
    added = [
        builders.build_job(f'long-{number}', run_time_s=100.0, **fields)
        for number in range(count)
    ]
    for job in added:
        session.fake.works[job.name] = fake_tasks.Work(run_s=100.0)
    return added


def get_states(session, prefix=''):
    return {
        record.state
        for name, record in session.state.jobs.items()
        if name.startswith(prefix)
    }


def test_failing_worker_is_suspended_and_no_job_is_quarantined():
    session = build_session()
    session.fake.failing_workers.add(FAULTY_HOST)
    for number in range(6):
        session.add_jobs(
            *(builders.build_job(f'job-{number}-{copy}') for copy in range(8))
        )
        session.run_for(20.0)
    session.run_for(100.0)
    assert get_states(session) == {states.JobState.DONE}
    assert 'gets no more work' in session.get_decisions(FAULTY_HOST)
    suspended_at = builders.NOW + min(
        time
        for time, record in session.records
        if record.subject == FAULTY_HOST
    )
    attempts_after_suspension = [
        attempt
        for job in session.state.jobs.values()
        for attempt in job.attempts
        if attempt.worker == FAULTY_HOST and attempt.started > suspended_at
    ]
    assert not attempts_after_suspension


def test_repaired_worker_returns_after_one_task_on_probation():
    session = build_session(hosts=1)
    session.fake.failing_workers.add('freight-0')
    session.add_jobs(*builders.build_jobs(4))
    session.run_for(30.0)
    assert 'gets no more work' in session.get_decisions('freight-0')
    session.fake.failing_workers.clear()
    session.run_for(400.0)
    assert get_states(session) == {states.JobState.DONE}
    assert session.get_decisions('freight-0')[-2:] == [
        'gets one task on probation',
        'takes work again',
    ]


@pytest.mark.parametrize('bad_jobs', [1, 3])
@pytest.mark.parametrize('bad_workers', [0, 1])
def test_faulty_jobs_are_distinguished_from_faulty_workers(
    bad_jobs, bad_workers
):
    session = build_session(hosts=6)
    faulty_jobs = [f'bad-{number}' for number in range(bad_jobs)]
    session.fake.failing_jobs |= set(faulty_jobs)
    if bad_workers:
        session.fake.failing_workers.add(FAULTY_HOST)
    session.add_jobs(*(builders.build_job(name) for name in faulty_jobs))
    for number in range(40):
        session.add_jobs(
            *(builders.build_job(f'good-{number}-{copy}') for copy in range(6))
        )
        session.run_for(5.0)
    session.run_for(60.0)
    assert get_states(session, 'bad') == {states.JobState.QUARANTINED}
    assert get_states(session, 'good') == {states.JobState.DONE}
    suspended = {
        host
        for host in session.state.hosts
        if session.planner._core.faults.is_suspended(host)
    }
    assert suspended == ({FAULTY_HOST} if bad_workers else set())
    reason = session.state.jobs['bad-0'].reason
    assert reason.startswith('failed on workers that run other work')


def test_oversized_job_is_quarantined_without_an_attempt():
    session = build_session()
    session.add_jobs(builders.build_job('big', memory_gb=65.0))
    session.run_for(1.0)
    record = session.state.jobs['big']
    assert record.state is states.JobState.QUARANTINED
    assert not record.attempts
    assert 'fits no worker' in record.reason
    session.remove_jobs('big')
    session.add_jobs(builders.build_job('big', memory_gb=64.0))
    session.run_for(5.0)
    assert session.get_state('big') is states.JobState.DONE


def test_cancelling_a_thousand_waiting_jobs_makes_no_call():
    session = build_session(hosts=1)
    session.add_jobs(*build_long_jobs(session, 16))
    session.run_for(2.0)
    added = builders.build_jobs(1_000)
    session.add_jobs(*added)
    session.commit_proposals()
    before = sum(session.fake.calls.values())
    session.remove_jobs(*(job.name for job in added))
    session.run_for(1.0)
    assert not session.proposals
    assert sum(session.fake.calls.values()) == before
    assert len(session.state.jobs) == 16


def test_learned_sizes_replace_declared_ones():
    session = build_session(hosts=1)
    session.fake.default = fake_tasks.Work(3.0, cores=1.0, memory_gb=2.0)
    for number in range(3):
        session.add_jobs(
            *(
                builders.build_job(f'{number}-{copy}', cores=8.0)
                for copy in range(2)
            )
        )
        session.run_for(8.0)
    job = builders.build_job('next', cores=8.0)
    session.add_jobs(job)
    session.run_for(1.0)
    attempt = session.state.jobs['next'].attempts[-1]
    assert attempt.cores == pytest.approx(1.1)
    assert attempt.memory_gb == pytest.approx(2.2)


def test_learner_uses_a_quantile_and_needs_samples():
    estimator = learning.UsageEstimator()
    job = builders.build_job(cores=4.0)
    for cores in (1.0, 1.0, 1.0, 2.0):
        estimator.add_usage(job.job_class, cores, 0.0)
    assert estimator.get_size(job).cores == 4.0
    estimator.add_usage(job.job_class, 1.0, 0.0)
    assert estimator.get_size(job).cores == pytest.approx(2.2)


def test_overloaded_worker_throttles_then_evicts_the_cheapest_task():
    session = build_session(hosts=1)
    jobs = build_long_jobs(session, 2, idempotent=False)
    session.add_jobs(*jobs)
    session.run_for(20.0)
    cheap = builders.build_job('cheap', run_time_s=100.0)
    session.fake.works['cheap'] = fake_tasks.Work(run_s=100.0, cores=20.0)
    session.add_jobs(cheap)
    session.run_for(3.0)
    kinds = []
    for _ in range(3):
        session.handle_event(
            events.HostReported(
                ids.HostId('freight-0'), events.ReportedState.UP, 22.0, 9.0
            )
        )
        kinds += [(call.kind, call.job) for call in session.calls]
        session.calls.clear()
        session.now += 6.0
    assert kinds[0] == (events.CallKind.THROTTLE_TASK, 'cheap')
    assert kinds[1] == (events.CallKind.CHECKPOINT_TASK, 'cheap')
    assert kinds[2] == (events.CallKind.STOP_TASK, 'cheap')


def test_team_stays_within_its_quota_and_shares_are_fair():
    teams = (
        documents.Team(ids.TeamId('small'), 4.0, 100.0),
        documents.Team(ids.TeamId('large'), 8.0, 100.0),
        documents.Team(ids.TeamId('rest'), 64.0, 400.0),
    )
    session = build_session(hosts=1, teams=teams)
    session.add_jobs(
        *(
            builders.build_job(f'{team}-{n}', team=team, run_time_s=100.0)
            for team in ('small', 'large')
            for n in range(20)
        )
    )
    session.commit_proposals()
    used = session.planner._core.ledger
    assert used.get_used('small').cores == 4.0
    assert used.get_used('large').cores == 8.0
    # Shares of the capacity of one worker are proportional to the quotas.
    session = build_session(hosts=1, teams=teams)
    session.add_jobs(
        *(
            builders.build_job(f'{team}-{n}', team=team, run_time_s=100.0)
            for team in ('rest', 'large')
            for n in range(40)
        )
    )
    session.commit_proposals()
    used = session.planner._core.ledger
    assert used.get_used('large').cores in (1.0, 2.0)
    assert used.get_used('rest').cores in (14.0, 15.0)


@pytest.mark.parametrize('checkpoints', [True, False])
def test_urgent_job_starts_within_4_s_on_a_full_pool(checkpoints):
    session = build_session(hosts=2)
    session.add_jobs(*build_long_jobs(session, 34))
    session.run_for(5.0)
    if not checkpoints:
        session.fake._checkpoint_task = lambda *_: fake_tasks.Answer()
    session.add_jobs(builders.build_job('urgent', urgent=True, cores=4.0))
    session.run_for(3.5)
    assert session.fake.starts['urgent'] == 1
    session.run_for(250.0)
    assert bool(session.fake.resumes) is checkpoints
    assert get_states(session) == {states.JobState.DONE}


def test_urgent_job_abandons_an_unreachable_worker():
    session = build_session(hosts=2)
    session.add_jobs(*build_long_jobs(session, 32))
    session.run_for(5.0)
    session.fake.cut_off.add('freight-0')
    session.add_jobs(
        *(
            builders.build_job(f'urgent-{number}', urgent=True, cores=4.0)
            for number in range(2)
        )
    )
    session.run_for(4.0)
    assert session.fake.starts['urgent-0'] == 1
    assert session.fake.starts['urgent-1'] == 1


def test_urgent_job_preempts_its_team_at_the_quota():
    teams = (documents.Team(ids.TeamId('members'), 4.0, 100.0),)
    session = build_session(hosts=1, teams=teams)
    session.add_jobs(*build_long_jobs(session, 6))
    session.run_for(2.0)
    session.add_jobs(builders.build_job('urgent', urgent=True, cores=2.0))
    session.run_for(3.5)
    assert session.fake.starts['urgent'] == 1
    assert session.fake.calls['checkpoint_task'] == 2


def test_preemption_stops_no_job_that_is_not_idempotent():
    session = build_session(hosts=1)
    session.add_jobs(*build_long_jobs(session, 16, idempotent=False))
    session.run_for(5.0)
    session.fake._checkpoint_task = lambda *_: fake_tasks.Answer()
    session.add_jobs(builders.build_job('urgent', urgent=True))
    session.run_for(30.0)
    assert not session.fake.calls['stop_task']
    assert get_states(session, 'long') == {states.JobState.RUNNING}


def test_deadlines_are_ordered_and_a_miss_is_recorded_early():
    teams = tuple(
        documents.Team(ids.TeamId(name), 100.0, 100.0)
        for name in ('members', 'growers')
    )
    session = build_session(hosts=1, teams=teams)
    session.add_jobs(*build_long_jobs(session, 16))
    session.commit_proposals()
    late = builders.NOW + 30.0
    large = {'cores': 16.0, 'job_class': 'large'}
    session.add_jobs(
        builders.build_job('plain', team='growers', **large),
        builders.build_job('second', deadline=late + 600.0, **large),
        builders.build_job('first', deadline=late, **large),
    )
    session.run_for(21.0)
    assert session.get_decisions('first').count('will miss its deadline') == 1
    assert 'will miss its deadline' not in session.get_decisions('second')
    session.run_for(200.0)
    placed = [
        session.state.jobs[name].attempts[0].started
        for name in ('first', 'second', 'plain')
    ]
    assert placed == sorted(set(placed))


def test_refusals_are_recorded_once():
    session = build_session(hosts=1)
    session.add_jobs(*build_long_jobs(session, 20))
    session.run_for(60.0)
    waiting = [
        record
        for _, record in session.records
        if record.decision == 'waits for room'
    ]
    assert len(waiting) == 4


def test_tasks_of_a_draining_host_are_checkpointed_or_finished():
    session = build_session(hosts=6)
    short = builders.build_job('short', idempotent=False)
    session.fake.works['short'] = fake_tasks.Work(run_s=9.0)
    session.add_jobs(short, *build_long_jobs(session, 30, idempotent=False))
    session.run_for(2.0)
    host = session.state.jobs['short'].attempts[-1].worker
    session.set_host_state(host, states.HostState.DRAINING)
    session.run_for(12.0)
    assert session.planner.count_tasks(host) == 0
    assert session.get_state('short') is states.JobState.DONE
    assert session.fake.resumes
    assert not session.fake.calls['stop_task']


def test_index_finds_a_worker_whenever_a_scan_does():
    numbers = support.get_random(7)
    index = workers.CapacityIndex()
    rooms = {}
    for number in range(300):
        room = workers.Size(
            round(numbers.uniform(0.0, 16.0), 1),
            round(numbers.uniform(0.0, 64.0), 1),
            numbers.choice((0, 0, 1, 4)),
        )
        rooms[f'w{number}'] = room
        index.set(f'w{number}', room)
    for _ in range(300):
        size = workers.Size(
            round(numbers.uniform(0.0, 17.0), 1),
            round(numbers.uniform(0.0, 66.0), 1),
            numbers.choice((0, 1, 4, 5)),
        )
        fitting = {name for name, room in rooms.items() if size.fits(room)}
        found = index.find(size)
        assert found in fitting if fitting else found is None
        if found is not None:
            index.remove(found)
            del rooms[found]
