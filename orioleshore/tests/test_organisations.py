"""Organisations on the platform's path: keys, limits, refusals."""

import json
import logging

import msgspec
import pytest

from fakes import limited
from orioleshore.cli import output
from orioleshore.history import lines
from orioleshore.history import phrases
from orioleshore.jobs import calls
from orioleshore.jobs import dumping
from orioleshore.jobs import holds
from orioleshore.jobs import ledger
from orioleshore.jobs import organisations
from orioleshore.jobs import specs
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import metrics
from orioleshore.telemetry import writers
from orioleshore.tests import builders
from orioleshore.tests import support

NORTH = ids.OrganisationId('north')
KEY = ids.ApiKey('key-of-north')
PATH = f'/red/{builders.build_job_id()}'


def _build_fleet(hosts: int = 2, **cores: int) -> limited.LimitedFleet:
    fleet = limited.LimitedFleet(
        builders.build_shared_configuration(**cores), support.SEED
    )
    fleet.add_hosts(hosts, 'red')
    fleet.run(1.0)
    return fleet


def _get_kind(outcome) -> errors.ErrorKind:
    return outcome.unwrap_err().kind


def _build_calls(key: str) -> list[calls.Call]:
    sent = ids.ApiKey(key)
    return [
        builders.build_submission(key=key),
        calls.GetJob('jobs.example', PATH, sent),
        calls.GetJob('jobs.example', '/red/', sent),
        calls.CancelJob('jobs.example', PATH, sent),
    ]


@pytest.mark.parametrize('key', ['', 'unknown', 'key-of-NORTH'])
def test_calls_without_a_known_key_are_refused(key):
    # Guards against a call, or a count of waiting jobs, that needs no key.
    fleet = _build_fleet(north=4)
    for call in _build_calls(key):
        outcome = fleet.call_scheduler(call)
        assert _get_kind(outcome) is errors.ErrorKind.UNAUTHORIZED
    assert not fleet.scheduler.ledger.jobs


def test_revoked_key_is_refused_at_once_also_for_an_accepted_job():
    # Guards against a resubmission or a new leader that still takes it.
    fleet = _build_fleet(north=4, south=4)
    assert fleet.call_scheduler(builders.build_submission(key=KEY)).is_ok()
    fleet.call_scheduler(
        calls.PutConfiguration(builders.build_shared_configuration(2, south=4))
    )
    for _ in range(2):
        for call in _build_calls(KEY):
            outcome = fleet.call_scheduler(call)
            assert _get_kind(outcome) is errors.ErrorKind.UNAUTHORIZED
        fleet.fail_over()
    assert builders.build_job_id() in fleet.scheduler.ledger.jobs


@pytest.mark.parametrize('key', ['', 'unknown'])
def test_public_queue_needs_no_key(key):
    # Guards against a key that is demanded where the queue is public.
    configuration = builders.build_shared_configuration(north=4)
    queues = tuple(
        msgspec.structs.replace(queue, is_public=True)
        for queue in configuration.queues
    )
    fleet = limited.LimitedFleet(
        msgspec.structs.replace(configuration, queues=queues)
    )
    outcome = fleet.scheduler.handle(
        builders.build_submission(key=key), fleet.now, fleet.wall
    )
    assert outcome.is_ok()


@pytest.mark.parametrize(
    ('step', 'is_refused'),
    [
        (builders.build_step(9), False),
        (builders.build_step(1, need=specs.Resources(5_000, 1)), True),
        (builders.build_step(4, is_gang=True), False),
        (builders.build_step(5, is_gang=True), True),
        (builders.build_step(9, is_long_running=True), False),
    ],
)
def test_job_that_its_limit_never_lets_run_is_refused(step, is_refused):
    # Guards against an accepted job that waits for ever.
    fleet = _build_fleet(north=4)
    job = builders.build_batch_job(step)
    outcome = fleet.call_scheduler(builders.build_submission(job=job, key=KEY))
    assert outcome.is_err() is is_refused
    if is_refused:
        failure = outcome.unwrap_err()
        assert not fleet.scheduler.ledger.jobs
        assert errors.ANSWERS[failure.kind].ran is states.Ran.NO
        assert 'limit of its organisation' in failure.message
        assert KEY not in failure.message


def test_new_leader_counts_runs_of_jobs_that_have_ended():
    # Guards against runs of a cancelled job on a silent worker that no longer
    # count, whatever the time of day of the leaders.
    fleet = _build_fleet(hosts=1, north=4)
    job = builders.build_lasting_job(4)
    fleet.call_scheduler(builders.build_submission(job=job, key=KEY))
    fleet.run(1.0)
    for worker in fleet.workers.values():
        worker.is_silent = True
    fleet.call_scheduler(calls.CancelJob('jobs.example', PATH, KEY))
    # Another leader's clock is ahead.
    fleet.scheduler.record_change(
        ledger.JobAccepted(
            builders.build_job_id(8),
            builders.build_batch_job(),
            'jobs.example',
            '/red/',
            ids.PoolId('red'),
            0,
            1,
            1_000,
            fleet.wall,
        )
    )
    fleet.scheduler.record_change(
        ledger.JobCancelled(
            builders.build_job_id(8), ids.WallTime(fleet.wall + 60.0)
        )
    )
    fleet.fail_over()
    assert fleet.scheduler.usage.get_used(NORTH).cpu_millis == 4_000
    fleet.run(fleet.scheduler.max_lease_s + 0.2)
    assert fleet.scheduler.usage.get_used(NORTH) == specs.Resources()


def test_gang_does_not_start_above_a_limit_lowered_since_its_plan():
    # Guards against members that are started from a reservation alone.
    fleet = _build_fleet(hosts=2, north=8)
    job = builders.build_batch_job(builders.build_step(8, is_gang=True))
    fleet.call_scheduler(builders.build_submission(job=job, key=KEY))
    fleet.scheduler.tick(fleet.now, fleet.wall)
    assert fleet.scheduler.usage.get_used(NORTH).cpu_millis == 8_000
    fleet.call_scheduler(
        calls.PutConfiguration(builders.build_shared_configuration(2, north=7))
    )
    fleet.run(3.0)
    assert not fleet.starts
    fleet.call_scheduler(
        calls.PutConfiguration(builders.build_shared_configuration(3, north=8))
    )
    fleet.run(3.0)
    assert len(fleet.starts) == 8


def test_reservation_for_a_cancelled_job_is_no_usage():
    # Guards against a cordoned worker that keeps reservations for good.
    fleet = _build_fleet(hosts=1, north=8)
    job = builders.build_batch_job(builders.build_step(8, is_gang=True))
    fleet.call_scheduler(builders.build_submission(job=job, key=KEY))
    fleet.scheduler.tick(fleet.now, fleet.wall)
    for worker in fleet.scheduler.workers.values():
        worker.is_cordoned = True
    fleet.call_scheduler(calls.CancelJob('jobs.example', PATH, KEY))
    fleet.run(2.0)
    assert fleet.scheduler.usage.get_used(NORTH) == specs.Resources()


def test_runs_in_unreadable_rows_count_as_usage():
    # Guards against a stopped run that still counts as running on its worker
    # and that one odd row hides.
    fleet = _build_fleet(hosts=1, north=4)
    job = builders.build_lasting_job(4)
    fleet.call_scheduler(builders.build_submission(job=job, key=KEY))
    fleet.run(1.0)
    fleet.call_scheduler(calls.CancelJob('jobs.example', PATH, KEY))
    (worker,) = fleet.workers.values()
    fleet.call_scheduler(worker.make_heartbeat(fleet.now))
    heartbeat = msgspec.structs.replace(
        worker.make_heartbeat(fleet.now), running=()
    )
    fleet.call_scheduler(calls.PartialHeartbeat(heartbeat, 4))
    assert fleet.scheduler.usage.get_used(NORTH).cpu_millis == 4_000


def test_limit_holds_over_all_pools_and_is_used_in_full():
    # Guards against one limit for each pool, and against unused limits.
    fleet = _build_fleet(hosts=1, north=20)
    fleet.add_hosts(1, 'blue')
    fleet.run(1.0)
    for number, pool in ((1, 'red'), (2, 'blue')):
        fleet.call_scheduler(
            builders.build_submission(
                number, builders.build_lasting_job(16), pool, KEY
            )
        )
    fleet.run(3.0)
    assert fleet.get_running(NORTH).cpu_millis == 20_000


def test_record_without_an_organisation_is_read():
    # Guards against a ledger of an earlier build that fails to load.
    record = ledger.JobRecord(
        builders.build_batch_job(),
        'jobs.example',
        '/red/',
        ids.PoolId('red'),
        0,
        1,
        1_000,
        ids.WallTime(0.0),
        states.BatchState.QUEUED,
    )
    fields = msgspec.to_builtins(record)
    del fields['organisation'], fields['left_running']
    read = msgspec.convert(fields, ledger.JobRecord)
    assert read.organisation == organisations.NO_ORGANISATION


def _hold_lasting_job() -> limited.LimitedFleet:
    """Return a fleet with a job at its limit and another one that waits."""
    fleet = _build_fleet(north=4, south=4)
    for number in (1, 2):
        job = builders.build_lasting_job(4)
        fleet.call_scheduler(builders.build_submission(number, job, key=KEY))
        fleet.run(1.0)
    fleet.run(1.0)
    return fleet


def test_status_and_log_name_the_job_that_a_limit_holds(caplog):
    # Guards against a job that waits beside free workers without a reason.
    caplog.set_level(logging.INFO)
    fleet = _hold_lasting_job()
    rows = fleet.call_scheduler(calls.GetOrganisations()).unwrap()
    assert [(row.name, row.held_jobs) for row in rows] == [
        ('north', 1),
        ('south', 0),
    ]
    assert rows[0].used == rows[0].limit.plus(specs.Resources(0, 2_048))
    line = next(
        lines.parse_line(f'time=1 {record.message}')
        for record in caplog.records
        if 'job_held_by_limit' in record.message
    )
    assert line.pairs['job'] == builders.build_job_id(2)
    assert 'limit of organisation north' in phrases.describe(line)
    job = fleet.scheduler.jobs[builders.build_job_id(2)]
    assert holds.find_holds(fleet.scheduler, job) == {
        states.HoldReason.ORGANISATION_LIMIT: 2
    }
    assert fleet.scheduler.limit_holds.take_count() > 0


def test_hold_ends_with_the_limit():
    # Guards against a job that is shown as held after it has started.
    fleet = _hold_lasting_job()
    fleet.call_scheduler(
        calls.PutConfiguration(builders.build_shared_configuration(2, north=8))
    )
    fleet.run(4.0)
    (row,) = fleet.call_scheduler(calls.GetOrganisations()).unwrap()
    assert row.held_jobs == 0
    assert row.used.cpu_millis == 8_000


def test_organisation_without_configuration_is_shown_while_it_runs():
    # Guards against usage that no operator sees after a withdrawal.
    fleet = _hold_lasting_job()
    fleet.call_scheduler(
        calls.PutConfiguration(builders.build_shared_configuration(2, south=4))
    )
    rows = fleet.call_scheduler(calls.GetOrganisations()).unwrap()
    assert [row.name for row in rows] == ['south', 'north']


def test_dump_and_log_contain_no_key(caplog):
    # Guards against keys that leave the leader with its dump or its log.
    caplog.set_level(logging.DEBUG)
    fleet = _hold_lasting_job()
    fleet.call_scheduler(builders.build_submission(9, key='other-key'))
    configuration = msgspec.structs.replace(
        builders.build_shared_configuration(2, north=4),
        source=b'{"api_keys":["key-of-north"]}',
    )
    fleet.call_scheduler(calls.PutConfiguration(configuration))
    dump = dumping.dump_ledger(fleet.scheduler.ledger)
    assert dump['configuration']['organisations'][0]['name'] == 'north'
    for text in (json.dumps(dump), caplog.text):
        assert 'key-of-' not in text
        assert 'other-key' not in text


def test_dump_of_workers_is_json():
    # Guards against a dump that ends the leader: keys of runs are tuples.
    fleet = _hold_lasting_job()
    rows = [dumping.dump_worker(w) for w in fleet.scheduler.workers.values()]
    assert f'{builders.build_job_id()}.0.0.0.1' in json.dumps(rows)


def test_usage_is_written_as_metrics_and_as_status():
    # Guards against rows that the metrics or the command line cannot read.
    fleet = _hold_lasting_job()
    rows = msgspec.to_builtins(
        fleet.call_scheduler(calls.GetOrganisations()).unwrap()
    )
    snapshot = metrics.MetricsSnapshot('node-1')
    writers.write_organisations(list(rows), snapshot)
    text = snapshot.render().decode()
    assert (
        'orioleshore_organisation_used{node="node-1",organisation="north",'
        'resource="cpu_millis"} 4000' in text
    )
    shown = output.format_status({'organisations': list(rows)})
    assert 'north: 4000 of 4000 thousandths of a core' in shown
    assert '1 held by the limit' in shown
