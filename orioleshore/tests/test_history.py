"""Stories of jobs and hosts, told from log files."""

import ast
import logging
import pathlib

from cleo.testers.application_tester import ApplicationTester
from hypothesis import given
from hypothesis import strategies
import pytest

from fakes import workers
from orioleshore.cli import application
from orioleshore.history import lines
from orioleshore.history import phrases
from orioleshore.history import story
from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.telemetry import logs
from orioleshore.tests import builders
from orioleshore.tests import support

PACKAGE = pathlib.Path(__file__).parent.parent
# Packages whose code runs in the roles of the platform.
PACKAGES = ('consensus', 'jobs', 'platform', 'tasks')
JOB = builders.build_job_id()
TEXT = strategies.text(max_size=20)


@pytest.fixture
def log_files(tmp_path):
    """Return the files into which the log lines of two nodes go."""
    root = logging.getLogger()
    level = root.level
    root.setLevel(logging.INFO)
    paths = [tmp_path / f'{node}.log' for node in ('control-1', 'entry-1')]
    prefixes = ('orioleshore.jobs', 'orioleshore.platform')
    handlers = []
    for path, prefix in zip(paths, prefixes, strict=True):
        handler = logging.FileHandler(path)
        handler.setFormatter(logs.KeyValueFormatter(path.stem))
        handler.addFilter(logging.Filter(prefix))
        root.addHandler(handler)
        handlers.append(handler)
    yield paths
    root.setLevel(level)
    for handler in handlers:
        root.removeHandler(handler)
        handler.close()


def build_fleet(hosts: int = 2) -> workers.FakeFleet:
    """Return a fleet that has reported for longer than a lease."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(hosts, 'red')
    fleet.run(fleet.scheduler.max_lease_s + 1.0)
    return fleet


def find_events(package: str) -> set[str]:
    """Return the events that the code of a package logs."""
    found = set()
    for path in (PACKAGE / package).glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text('utf-8'))):
            is_event = (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr == 'format_event'
            )
            if is_event and isinstance(node.args[0], ast.Constant):
                found.add(node.args[0].value)
    return found


@pytest.mark.parametrize('package', PACKAGES)
def test_every_event_has_a_phrase(package):
    """Guards against a decision that the story cannot explain."""
    events = find_events(package)
    assert events
    assert events - phrases.PHRASES.keys() == set()


@given(strategies.dictionaries(strategies.sampled_from('abcdef'), TEXT))
def test_line_is_read_as_it_was_written(pairs):
    """Guards against values that quoting or a collector's prefix changes."""
    text = logs.format_event('job_ended', **pairs)
    line = lines.parse_line(f'7.1 host time=2026-12-04T22:00:00.000 {text}')
    assert line.event == 'job_ended'
    assert line.pairs == pairs


@given(strategies.text())
def test_any_text_is_read_or_left_out(text):
    """Guards against a damaged file that ends the command."""
    for candidate in (text, f'time=1 {text}', f'time=1 event=x {text}'):
        line = lines.parse_line(candidate)
        if line is not None:
            phrases.describe(line)


def test_story_of_a_lost_run_names_the_lost_worker(log_files):
    """Guards against a restart whose cause, a lost worker, is not told."""
    fleet = build_fleet()
    job = builders.build_lasting_job(1)
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(1.0)
    silent = next(w for w in fleet.workers.values() if w.running)
    silent.is_silent = True
    fleet.run(fleet.scheduler.max_lease_s)
    silent.running.clear()
    fleet.run(2.0)
    told = story.tell(story.Subject.JOB, JOB, log_files)
    (lost,) = [line for line in told.context if line.event == 'worker_lost']
    assert lost.pairs['worker'] == silent.name
    assert lost.pairs['why'] == 'lease_ended'
    assert 'Runs that did not succeed: 1 lost.' in told.summary


@pytest.mark.parametrize(
    ('job', 'hosts', 'cause'),
    [
        (
            builders.build_batch_job(
                builders.build_step(1, need=specs.Resources(99_000, 1))
            ),
            2,
            'a task needs more resources than any host has',
        ),
        (builders.build_batch_job(), 0, 'Accepted into pool red: 1 tasks'),
    ],
)
def test_story_of_a_job_that_does_not_run_tells_why(
    log_files, job, hosts, cause
):
    """Guards against an id from which no cause can be found."""
    fleet = build_fleet(hosts)
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(1.0)
    told = story.tell(story.Subject.REQUEST, JOB, log_files)
    assert cause in ' '.join(told.summary)


def test_story_of_a_failed_job_counts_its_failures(log_files):
    """Guards against a failed job whose attempts are not told."""
    fleet = build_fleet()
    for worker in fleet.workers.values():
        worker.is_failing = True
    fleet.call_scheduler(builders.build_submission())
    fleet.run(8.0)
    told = story.tell(story.Subject.JOB, JOB, log_files)
    assert 'Runs that did not succeed: 2 failed.' in told.summary
    assert any(text.startswith('Failed after') for text in told.summary)


def test_story_of_a_job_that_crashes_workers_tells_why(log_files):
    """Guards against a job given up whose reason the story lacks."""
    fleet = build_fleet()
    fleet.deadly_tasks.add((JOB, ids.TaskName('0.0.0')))
    fleet.call_scheduler(builders.build_submission())
    fleet.run(30.0)
    told = ' '.join(story.tell(story.Subject.JOB, JOB, log_files).summary)
    assert 'reason of failure: crashes' in told
    assert 'Task 0.0.0 is given up: 3 workers crashed' in told


def test_story_tells_changes_of_the_leader(log_files):
    """Guards against a wait during an election that looks like no cause."""
    fleet = build_fleet()
    fleet.call_scheduler(builders.build_submission())
    logging.getLogger('orioleshore.jobs.task').info(
        logs.format_event('scheduling_started', epoch=8, jobs=1)
    )
    fleet.run(3.0)
    told = story.tell(story.Subject.JOB, JOB, log_files)
    assert 'The leader changed 1 times meanwhile.' in told.summary


def test_request_that_no_host_saw_is_told_so(log_files):
    """Guards against an empty answer for a request that never came."""
    build_fleet()
    told = story.tell(story.Subject.REQUEST, 'f' * 16, log_files)
    assert told.lines == []
    assert 'did not reach the hosts' in told.summary[0]


def test_story_of_a_host_is_not_mixed_with_similar_names(log_files):
    """Guards against lines of host-10 in the story of host-1."""
    fleet = build_fleet(hosts=12)
    wave = ids.WaveId('1')
    hosts = (ids.HostId('host-1'), ids.HostId('host-10'))
    fleet.call_scheduler(calls.OpenWave(wave, hosts, 60.0, 2))
    fleet.run(6.0)
    told = story.tell(story.Subject.HOST, 'host-1', log_files)
    events = [line.event for line in told.lines]
    assert events.count('upkeep_ordered') == 1
    assert {line.pairs['host'] for line in told.lines} == {'host-1'}


def test_command_tells_a_story_and_refuses_wrong_use(log_files):
    """Guards against a command that hides a missing file."""
    fleet = build_fleet()
    fleet.call_scheduler(builders.build_submission())
    fleet.run(3.0)
    tester = ApplicationTester(application.create_application())
    files = ' '.join(f'--log {path}' for path in log_files)
    assert tester.execute(f'explain job {JOB} {files}') == 0
    text = tester.io.fetch_output()
    assert 'Completed after' in text
    assert 'tasks 0.0.0/1 were ordered on' in text
    for wrong in (f'explain shop {JOB} {files}', 'explain job 1 --log /no'):
        assert tester.execute(wrong) == errors.EXIT_INVALID
