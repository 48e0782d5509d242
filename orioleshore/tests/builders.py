"""Builders of test data."""

from orioleshore.model import announcements
from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.routing import events as routing_events
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.state import operations
from orioleshore.state import records

NOW = ids.WallTime(1_800_000_000.0)


def build_operation_id(number: int = 1, now: float = NOW) -> ids.OperationId:
    """Return an operation id issued at ``now``."""
    return operations.generate_id(ids.WallTime(now), f'token-{number:08d}')


def build_host(
    name: str = 'freight-1', pool: str = 'freight', **fields
) -> documents.Host:
    """Return a host of 16 cores in the first rack and zone."""
    defaults = {
        'rack': ids.RackId('az1-r1'),
        'availability_zone': ids.AvailabilityZone('az1'),
    }
    return documents.Host(
        name=ids.HostId(name),
        pool=ids.PoolId(pool),
        **{**defaults, **fields},
    )


def build_hosts(
    count: int, pool: str = 'freight', zones: int = 3, rack_size: int = 4
) -> tuple[documents.Host, ...]:
    """Return hosts spread over zones, with some to a rack."""
    return tuple(
        build_host(
            f'{pool}-{number}',
            pool,
            rack=ids.RackId(
                f'az{number % zones + 1}-r{number // zones // rack_size + 1}'
            ),
            availability_zone=ids.AvailabilityZone(f'az{number % zones + 1}'),
        )
        for number in range(count)
    )


def build_service(
    name: str = 'freight', total: float = 0.34, **fields
) -> documents.Service:
    """Return a service whose GET operations are idempotent."""
    defaults = {
        'pool': ids.PoolId(name),
        'brands': (f'{name}.example', f'/{name}'),
        'budget': documents.Budget(total=total),
        'idempotent': ('GET /',),
    }
    return documents.Service(
        name=ids.ServiceId(name), **{**defaults, **fields}
    )


def build_document(hosts: int = 6, **fields) -> documents.Document:
    """Return a document with one pool and one service."""
    defaults = {
        'pools': (documents.Pool(ids.PoolId('freight')),),
        'services': (build_service(),),
        'hosts': build_hosts(hosts),
        'teams': (documents.Team(ids.TeamId('members'), 1_000.0, 1_000.0),),
    }
    return documents.Document(**{**defaults, **fields})


def build_change(
    document: documents.Document,
    base: documents.Document | None = None,
    base_version: int = 0,
    number: int = 1,
    now: float = NOW,
) -> commands.ChangeDocument:
    """Return the command that turns one document into another."""
    return commands.ChangeDocument(
        time=ids.WallTime(now),
        operation_id=build_operation_id(number, now),
        operator='alice',
        base_version=ids.Version(base_version),
        edits=changes.get_delta(base or documents.Document(), document),
    )


def build_state(
    document: documents.Document | None = None,
) -> records.State:
    """Return a state in which the document is version 1."""
    state = records.State()
    change = build_change(document or build_document())
    machine.apply_command(change, state).unwrap()
    return state


def build_upstream(
    number: int = 1, service: str = 'freight', **fields
) -> announcements.Upstream:
    """Return an announcement of an upstream with 8 slots."""
    defaults = {
        'address': ids.UpstreamId(f'127.0.1.{number}:8080'),
        'availability_zone': ids.AvailabilityZone('az1'),
        'slots': 8,
        'connections': 64,
        'incarnation': ids.Incarnation(1),
    }
    return announcements.Upstream(
        service=ids.ServiceId(service), **{**defaults, **fields}
    )


def build_request(number: int = 1, **fields) -> routing_events.RequestInfo:
    """Return an idempotent request with a deadline at 1,060 s."""
    defaults = {
        'service': ids.ServiceId('freight'),
        'caller': ids.CallerId('shop-1'),
        'priority': states.Priority.NORMAL,
        'deadline': 1_060.0,
        'idempotent': True,
        'key': None,
        'issued': None,
        'digest': b'digest',
    }
    return routing_events.RequestInfo(
        request=ids.RequestId(f'request-{number}'), **{**defaults, **fields}
    )


def build_job(name: str = 'job-1', **fields) -> documents.Job:
    """Return an idempotent job of 1 core and 10 s in pool freight."""
    defaults = {
        'pool': ids.PoolId('freight'),
        'team': ids.TeamId('members'),
        'job_class': ids.JobClass('quote'),
        'run_time_s': 10.0,
        'idempotent': True,
    }
    return documents.Job(name=ids.JobId(name), **{**defaults, **fields})


def build_jobs(count: int, **fields) -> tuple[documents.Job, ...]:
    """Return equal jobs, named job-1 and so on."""
    return tuple(
        build_job(f'job-{number}', **fields) for number in range(1, count + 1)
    )
