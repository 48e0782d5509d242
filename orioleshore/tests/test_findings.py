"""Findings in documents, and in configurations of queues."""

import random

import msgspec
import pytest

from orioleshore.findings import configuration_errors
from orioleshore.findings import configuration_warnings
from orioleshore.findings import differences
from orioleshore.findings import document_warnings
from orioleshore.jobs import handlers
from orioleshore.jobs import specs
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import findings
from orioleshore.model import ids
from orioleshore.state import machine
from orioleshore.tests import builders
from orioleshore.tests import finding_builders as build
from orioleshore.tests import support

Kind = findings.Kind
RED = specs.Pool(ids.PoolId('red'))
FREIGHT = documents.Pool(ids.PoolId('freight'))
WAVE = documents.Wave(ids.WaveId('kernel'), (FREIGHT.name,))
KEY = ids.ApiKey('key-of-shop')


def list_found(found):
    """Return kind and place of each finding."""
    return [(finding.kind, finding.place) for finding in found]


def list_warnings(configuration, timeouts_ms=()):
    """Return the warnings about a configuration that is accepted."""
    assert not list(configuration_errors.find_errors(configuration))
    found = list(
        configuration_warnings.find_warnings(configuration, timeouts_ms)
    )
    assert not findings.has_errors(found)
    assert all(finding.remedy for finding in found)
    return list_found(found)


@pytest.mark.parametrize(
    ('configuration', 'kind', 'place'),
    [
        (build.build_queues(pools=()), Kind.UNKNOWN_NAME, 'queues[0].pool'),
        (
            build.build_queues(build.build_queue(), build.build_queue()),
            Kind.DUPLICATE_PREFIX,
            'queues[1].prefix',
        ),
        (
            build.build_organisations(
                build.build_organisation(),
                build.build_organisation(keys=()),
            ),
            Kind.DUPLICATE_NAME,
            'organisations[1].name',
        ),
        (
            build.build_organisations(
                build.build_organisation(),
                build.build_organisation('b', keys=(KEY,)),
            ),
            Kind.SHARED_KEY,
            'organisations[1].keys',
        ),
        (build.build_queues(version=0), Kind.INVALID_VERSION, 'version'),
    ],
)
def test_configuration_errors(configuration, kind, place):
    """Guards against an error without a place, or one that shows a key."""
    found = list(configuration_errors.find_errors(configuration))
    assert list_found(found) == [(kind, f'$.{place}')]
    assert findings.has_errors(found)
    assert KEY not in found[0].reason + found[0].remedy


@pytest.mark.parametrize(
    ('fields', 'kind', 'field'),
    [
        ({'host': 'Jobs.example'}, Kind.UNREACHABLE_HOST, 'host'),
        ({'host': 'jobs.example:80'}, Kind.UNREACHABLE_HOST, 'host'),
        ({'host': ''}, Kind.UNREACHABLE_HOST, 'host'),
        ({'prefix': 'red/'}, Kind.UNREACHABLE_PREFIX, 'prefix'),
        ({'prefix': ''}, Kind.UNREACHABLE_PREFIX, 'prefix'),
        ({'prefix': '/red/?a='}, Kind.UNREACHABLE_PREFIX, 'prefix'),
        ({'prefix': '/%41/'}, Kind.UNREACHABLE_PREFIX, 'prefix'),
        ({'priority': -1}, Kind.PRIORITY_OUT_OF_RANGE, 'priority'),
        ({'max_attempts': 0}, Kind.NO_ATTEMPTS, 'max_attempts'),
        (
            {'stretch': 1.0, 'objective_ms': 0},
            Kind.OBJECTIVE_NEVER_MET,
            'objective_ms',
        ),
        (
            {'objective_ms': 2_999},
            Kind.TIMEOUT_ABOVE_OBJECTIVE,
            'timeout_ms',
        ),
    ],
)
def test_queue_warnings(fields, kind, field):
    """Guards against a queue that never works and is not reported."""
    configuration = build.build_queues(
        build.build_queue('other'), build.build_queue(**fields)
    )
    found = list_warnings(configuration, [3_000, 3_000])
    assert found == [(kind, f'$.queues[1].{field}')]


@pytest.mark.parametrize(
    ('fields', 'kind', 'field'),
    [
        ({'keys': ()}, Kind.NO_KEYS, 'keys'),
        ({'keys': (KEY, KEY)}, Kind.REPEATED_KEY, 'keys'),
        ({'weight': 0.0}, Kind.ZERO_WEIGHT, 'weight'),
        (
            {'limit': specs.Resources(999)},
            Kind.LIMIT_BELOW_ONE_CORE,
            'limit.cpu_millis',
        ),
        (
            {'limit': specs.Resources(64_000, 1_024)},
            Kind.LIMITS_OUT_OF_PROPORTION,
            'limit.memory_mb',
        ),
        (
            {'limit': specs.Resources(16_000, 2_000_000)},
            Kind.LIMITS_OUT_OF_PROPORTION,
            'limit.cpu_millis',
        ),
        ({'weight': 9.0}, Kind.LIMIT_BELOW_SHARE, 'limit.cpu_millis'),
    ],
)
def test_organisation_warnings(fields, kind, field):
    """Guards against an organisation without use that is not reported."""
    large = build.build_organisation('b', limit=specs.Resources(144_000))
    configuration = build.build_organisations(
        build.build_organisation(**{'weight': 0.01} | fields), large
    )
    found = list_warnings(configuration)
    assert found == [(kind, f'$.organisations[0].{field}')]


@pytest.mark.parametrize(
    ('configuration', 'kind', 'place'),
    [
        (
            build.build_queues(
                build.build_queue(), build.build_queue(prefix='/b/')
            ),
            Kind.REPEATED_NAME,
            'queues[1].name',
        ),
        (
            build.build_queues(pools=(RED, specs.Pool(ids.PoolId('idle')))),
            Kind.UNUSED_POOL,
            'pools[1]',
        ),
        (
            build.build_queues(pools=(specs.Pool(RED.name, is_standby=True),)),
            Kind.STANDBY_POOL_IN_USE,
            'queues[0].pool',
        ),
        (build.build_organisations(), Kind.NO_CALLERS, 'queues[0]'),
        (
            build.build_queues(
                build.build_queue(), build.build_queue('b', prefix='/red/0')
            ),
            Kind.PREFIX_PARTLY_TAKEN,
            'queues[0].prefix',
        ),
        (
            build.build_queues(
                build.build_queue(),
                *(
                    build.build_queue(digit, prefix=f'/red/{digit}')
                    for digit in configuration_warnings.JOB_ID_DIGITS
                ),
            ),
            Kind.PREFIX_TAKEN,
            'queues[0].prefix',
        ),
    ],
)
def test_configuration_warnings(configuration, kind, place):
    """Guards against an entry without effect that is not reported."""
    assert list_warnings(configuration) == [(kind, f'$.{place}')]


def test_sound_configurations_have_no_findings():
    """Guards against warnings that operators learn to ignore."""
    configuration = build.build_organisations(
        build.build_organisation(), build.build_organisation('b', weight=2.0)
    )
    assert not list_warnings(configuration, [3_000])
    assert not list(document_warnings.find_warnings(build.build_document()))


def test_taken_prefixes_agree_with_the_look_up():
    """Guards against a rule that differs from the one that routes calls."""
    rng = random.Random(support.SEED)
    for _ in range(200):
        endings = {''.join(rng.choices('01', k=size)) for size in (0, 1, 2, 2)}
        configuration = build.build_queues(
            *(
                build.build_queue(f'q-{ending}', prefix=f'/{ending}')
                for ending in sorted(endings | {'x/'})
            )
        )
        reported = {place for _, place in list_warnings(configuration)}
        for position, queue in enumerate(configuration.queues):
            is_lost = any(
                specs.find_queue(configuration, queue.host, path) != queue
                for path in make_paths(queue.prefix)
            )
            assert is_lost == (f'$.queues[{position}].prefix' in reported)


def make_paths(prefix):
    """Return paths of jobs whose ids begin in every way with 0 and 1."""
    numbers = [f'{number:02b}{"0" * 14}' for number in range(4)]
    assert all(map(handlers.is_job_id, numbers))
    return [prefix + number for number in numbers]


@pytest.mark.parametrize(
    ('fields', 'kind', 'field'),
    [
        ({'brands': ()}, Kind.NO_BRANDS, 'brands'),
        ({'brands': ('a:80',)}, Kind.UNREACHABLE_BRAND, 'brands[0]'),
        ({'brands': ('/',)}, Kind.UNREACHABLE_BRAND, 'brands[0]'),
        (
            {'idempotent': ('POST',)},
            Kind.OPERATION_WITHOUT_PATH,
            'idempotent[0]',
        ),
        (
            {'idempotent': ('GET  /a',)},
            Kind.UNREACHABLE_OPERATION,
            'idempotent[0]',
        ),
        (
            {'idempotent': ('GET /', 'GET /a')},
            Kind.REDUNDANT_OPERATION,
            'idempotent[1]',
        ),
        ({'slots': 65}, Kind.SLOTS_ABOVE_CONNECTIONS, 'slots'),
        (
            {'limits': documents.Limits(default_deadline_s=9.0)},
            Kind.TIMEOUT_ABOVE_DEADLINE,
            'limits.attempt_timeout_s',
        ),
        ({'total': 0.1}, Kind.BUDGET_ALLOWS_NO_HOST, 'budget.total'),
    ],
)
def test_service_warnings(fields, kind, field):
    """Guards against a service that never works and is not reported."""
    document = build.build_service_document(**fields)
    assert not documents.find_errors(document)
    found = list_found(document_warnings.find_warnings(document))
    assert found == [(kind, f'$.services[0].{field}')]


@pytest.mark.parametrize(
    ('fields', 'kind', 'place'),
    [
        (
            {'pools': (FREIGHT, documents.Pool(ids.PoolId('b')))},
            Kind.UNUSED_POOL,
            'pools[1]',
        ),
        ({'hosts': 0}, Kind.POOL_WITHOUT_HOSTS, 'services[0].pool'),
        (
            {'teams': (documents.Team(ids.TeamId('a'), 999.0, 1.0),)},
            Kind.QUOTA_ABOVE_CAPACITY,
            'teams[0].cores',
        ),
        (
            {'jobs': (builders.build_job(cores=16.5),)},
            Kind.JOB_ABOVE_QUOTA,
            'jobs[0].team',
        ),
        (
            {'jobs': (builders.build_job(accelerators=1),)},
            Kind.JOB_FITS_NO_HOST,
            'jobs[0]',
        ),
        (
            {'waves': (documents.Wave(ids.WaveId('a'), ()),)},
            Kind.WAVE_WITHOUT_HOSTS,
            'waves[0].pools',
        ),
    ],
)
def test_document_warnings(fields, kind, place):
    """Guards against an entry without effect that is not reported."""
    document = build.build_document(**fields)
    assert not documents.find_errors(document)
    found = list_found(document_warnings.find_warnings(document))
    assert (kind, f'$.{place}') in found


@pytest.mark.parametrize(
    ('fraction', 'is_blocked'), [(0.0, True), (0.16, True), (0.17, False)]
)
def test_budgets_agree_with_the_check_of_grants(fraction, is_blocked):
    """Guards against a wave that is reported but runs, or the reverse."""
    document = msgspec.structs.replace(
        build.build_service_document(total=fraction), waves=(WAVE,)
    )
    kinds = {found.kind for found in document_warnings.find_warnings(document)}
    assert (Kind.WAVE_NEVER_ENDS in kinds) == is_blocked
    assert (Kind.BUDGET_ALLOWS_NO_HOST in kinds) == is_blocked
    state = builders.build_state(document)
    host_epoch = state.hosts['freight-0'].epoch
    grant = builders.build_grant('freight-0', host_epoch, 1, builders.NOW)
    outcome = machine.apply_command(grant, state)
    assert outcome.is_err() == is_blocked
    if is_blocked:
        assert outcome.unwrap_err().kind is errors.ErrorKind.BUDGET_EXCEEDED


def test_differences_name_entries_and_hide_secret_values():
    """Guards against keys in the output, whatever shape the data has."""
    secret = frozenset({'api_keys'})
    old = {'tenants': [build.build_tenant_body()], 'limits': {'a': 1}}
    changed = build.build_tenant_body(api_keys=['x', 'y'], weight=2)
    new = {'tenants': [build.build_tenant_body('b'), changed]}
    found = differences.find_differences(old, new, secret)
    assert [(item.kind.value, item.entry, item.fields) for item in found] == [
        ('added', 'tenants/b', ()),
        (
            'changed',
            'tenants/shop',
            ('api_keys: 2 added, 1 removed', 'weight: 1 -> 2'),
        ),
        ('changed', 'limits', ('{"a": 1} -> absent',)),
    ]
    for odd in ({'x': build.build_tenant_body()}, 'text', [[1]], 7):
        found = differences.find_differences({'tenants': odd}, new, secret)
        assert build.SECRET_KEY not in repr(list(found))
