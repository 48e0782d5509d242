"""Builders of configurations that a check finds something in."""

import json
import pathlib
from typing import Any

import msgspec
import yaml

from orioleshore.jobs import specs
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.tests import builders

SECRET_KEY = 'key-that-is-never-shown'


def build_queue(name: str = 'red', **fields: Any) -> specs.Queue:
    """Return a queue of the pool and the prefix of its name."""
    defaults: dict[str, Any] = {
        'host': 'jobs.example',
        'prefix': f'/{name}/',
        'pool': ids.PoolId('red'),
        'max_attempts': 2,
        'stretch': 1.6,
        'objective_ms': 3_600,
    }
    return specs.Queue(name=ids.QueueId(name), **defaults | fields)


def build_queues(*queues: specs.Queue, **fields: Any) -> specs.Configuration:
    """Return a configuration of queues that use the only pool."""
    defaults: dict[str, Any] = {
        'queues': queues or (build_queue(),),
        'pools': (specs.Pool(ids.PoolId('red')),),
    }
    return builders.build_configuration(**defaults | fields)


def build_organisation(
    name: str = 'shop', **fields: Any
) -> specs.Organisation:
    """Return an organisation with a key of its own and a limit."""
    defaults: dict[str, Any] = {
        'keys': (ids.ApiKey(f'key-of-{name}'),),
        'limit': specs.Resources(16_000, 65_536),
    }
    return specs.Organisation(ids.OrganisationId(name), **defaults | fields)


def build_organisations(
    *organisations: specs.Organisation, **fields: Any
) -> specs.Configuration:
    """Return a configuration with organisations, whose keys are required."""
    return build_queues(
        organisations=organisations, requires_keys=True, **fields
    )


def build_document(hosts: int = 6, **fields: Any) -> documents.Document:
    """Return a document whose team has a quota of one host."""
    team = documents.Team(ids.TeamId('members'), 16.0, 64.0)
    return builders.build_document(hosts, **{'teams': (team,)} | fields)


def build_service_document(**fields: Any) -> documents.Document:
    """Return a document whose only service has some fields replaced."""
    return build_document(services=(builders.build_service(**fields),))


def build_tenant_body(name: str = 'shop', **fields: Any) -> dict[str, Any]:
    """Return a tenant as the operator sends it."""
    return {
        'name': name,
        'api_keys': [f'{SECRET_KEY}-{name}'],
        'weight': 1,
        'cap': build_limit(),
    } | fields


def build_limit(**fields: int) -> dict[str, int]:
    """Return the limit of a tenant, 0 for none, with some fields replaced."""
    return {'cpus': 0, 'mem_mb': 0, 'gpus': 0} | fields


def build_route_body(**fields: Any) -> dict[str, Any]:
    """Return a valid route with some fields replaced."""
    return builders.build_configuration_body()['routes'][0] | fields


def write_body(path: pathlib.Path, **fields: Any) -> pathlib.Path:
    """Write a configuration as the operator sends it; return its path."""
    body = builders.build_configuration_body(**fields)
    path.write_text(json.dumps(body), 'utf-8')
    return path


def build_doubtful_body(**fields: Any) -> dict[str, Any]:
    """Return a configuration that is accepted, with several warnings."""
    routes = [
        build_route_body(timeout_ms=4_000, priority=-1),
        build_route_body(name='r-2', path_prefix='/red/0'),
        build_route_body(name='r-3', path_prefix='blue/', service='idle'),
    ]
    services = [
        {'name': 'red', 'standby': False},
        {'name': 'idle', 'standby': True},
        {'name': 'spare'},
    ]
    tenants = [
        build_tenant_body(weight=0),
        build_tenant_body('b', cap=build_limit(cpus=64_000, mem_mb=1_024)),
        build_tenant_body('c', api_keys=[]),
    ]
    return (
        builders.build_configuration_body(
            version=7, routes=routes, services=services, tenants=tenants
        )
        | fields
    )


def write_doubtful_body(path: pathlib.Path) -> pathlib.Path:
    """Write a configuration with several warnings; return its path."""
    path.write_text(json.dumps(build_doubtful_body()), 'utf-8')
    return path


def write_faulty_body(path: pathlib.Path) -> pathlib.Path:
    """Write a configuration with one error of each kind; return its path."""
    return write_body(
        path,
        version=0,
        routes=[
            build_route_body(service='green'),
            build_route_body(timeout_ms=0),
        ],
        tenants=[
            build_tenant_body(),
            build_tenant_body(api_keys=[f'{SECRET_KEY}-shop']),
        ],
    )


def build_plain_document() -> dict[str, Any]:
    """Return a document with an entry in each section, as plain data."""
    document = build_document(
        2,
        jobs=(builders.build_job(),),
        waves=(documents.Wave(ids.WaveId('a'), (ids.PoolId('freight'),)),),
    )
    return msgspec.to_builtins(document)


def write_document(path: pathlib.Path, document: documents.Document) -> None:
    """Write a document as YAML."""
    path.write_text(yaml.safe_dump(msgspec.to_builtins(document)), 'utf-8')
