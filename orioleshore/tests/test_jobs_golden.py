"""Explanations of a session of jobs, compared with a golden file.

Guards against changed or repeated decisions and missing explanations. Run
``python -m orioleshore.tests.test_jobs_golden`` to regenerate the file.
"""

import pathlib

from fakes import tasks as fake_tasks
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import job_session

GOLDEN_PATH = pathlib.Path(__file__).parent / 'golden' / 'jobs-session.txt'


def format_session():
    """Return one line for each explanation of the session."""
    teams = (
        documents.Team(ids.TeamId('members'), 40.0, 200.0),
        documents.Team(ids.TeamId('growers'), 4.0, 20.0),
    )
    session = job_session.JobSession(builders.build_document(3, teams=teams))
    session.fake.default = fake_tasks.Work(20.0)
    session.fake.failing_jobs.add('broken')
    session.add_jobs(
        builders.build_job('impossible', accelerators=1),
        builders.build_job('broken', job_class='check'),
        builders.build_job('quote', idempotent=False, cores=8.0),
        builders.build_job('over-quota', team='growers', cores=5.0),
        *(
            builders.build_job(f'refresh-{number}', cores=6.0)
            for number in range(5)
        ),
    )
    session.run_for(10.0)
    session.add_jobs(
        builders.build_job('urgent', urgent=True, cores=4.0),
        builders.build_job('late', deadline=session.now + 5.0),
    )
    session.run_for(5.0)
    session.set_host_state('freight-1', states.HostState.DRAINING)
    session.run_for(10.0)
    session.set_host_state('freight-1', states.HostState.SERVING)
    session.fake.cut_off.add(session.state.jobs['quote'].attempts[-1].worker)
    session.remove_jobs('over-quota')
    session.change_leader()
    session.run_for(100.0)
    session.fake.cut_off.clear()
    session.run_for(100.0)
    lines = [
        f'{time:7.1f} {record.subject_kind}/{record.subject}: '
        f'{record.decision} {record.facts} | {record.rule} | {record.remedy}'
        for time, record in session.records
    ]
    lines += [
        f'end     job/{name}: {record.state.value}'
        for name, record in sorted(session.state.jobs.items())
    ]
    return ''.join(line.rstrip(' |') + '\n' for line in lines)


def test_session_matches_the_golden_file():
    assert format_session() == GOLDEN_PATH.read_text('utf-8')


if __name__ == '__main__':
    GOLDEN_PATH.write_text(format_session(), 'utf-8')
