"""Organisations in the operator's configuration, and keys in calls."""

import json

import msgspec
import pytest

from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.platform import configuration_body
from orioleshore.platform import front_server
from orioleshore.tests import builders

DECODE_ERRORS = (msgspec.DecodeError, ValueError)
SECRET = 'pqk8bdk9eevyxq2yyaza'
LIMIT = {'cpus': 1, 'mem_mb': 1, 'gpus': 0}


def _decode(*tenants: dict) -> specs.Configuration:
    body = builders.build_configuration_body(tenants=list(tenants))
    return configuration_body.decode_configuration(json.dumps(body).encode())


def test_organisations_are_decoded():
    """Guards against a weight, a limit or a key that is read as another."""
    configuration = _decode(
        builders.build_tenant_body(), builders.build_tenant_body('south')
    )
    assert configuration.requires_keys
    assert configuration.organisations[0] == specs.Organisation(
        ids.OrganisationId('north'),
        (ids.ApiKey('key-of-north'),),
        3.0,
        specs.Resources(20_000, 4_096, 0),
    )


def test_configuration_without_organisations_needs_no_keys():
    """Guards against calls that are refused where no keys exist."""
    body = json.dumps(builders.build_configuration_body()).encode()
    assert not configuration_body.decode_configuration(body).requires_keys


@pytest.mark.parametrize(
    'fields',
    [
        {'weight': -1},
        {'weight': 1e300},
        {'weight': '3'},
        {'weight': None},
        {'weight': True},
        {'cap': None},
        {'cap': {}},
        {'cap': LIMIT | {'cpus': -1}},
        {'cap': LIMIT | {'mem_mb': 10**30}},
        {'cap': LIMIT | {'gpus': 1.5}},
        {'name': ''},
        {'name': 'two words'},
        {'name': 'n' * 200},
        {'name': 7},
        {'api_keys': SECRET},
        {'api_keys': None},
        {'api_keys': ['']},
        {'api_keys': [f'{SECRET}\n']},
        {'api_keys': [f'{SECRET} {SECRET}']},
        {'api_keys': [f'{SECRET}\u00e9']},
        {'api_keys': [SECRET * 50]},
        {'api_keys': [7]},
    ],
)
def test_malformed_organisation_is_refused(fields):
    """Guards against a limit or a share that is taken at random."""
    with pytest.raises(DECODE_ERRORS) as caught:
        _decode(builders.build_tenant_body(**fields))
    assert 'tenants' in str(caught.value)
    assert SECRET not in str(caught.value)


@pytest.mark.parametrize('name', ['name', 'api_keys', 'weight', 'cap'])
def test_organisation_without_a_field_is_refused(name):
    """Guards against a missing limit that is taken for none."""
    tenant = builders.build_tenant_body()
    del tenant[name]
    with pytest.raises(DECODE_ERRORS):
        _decode(tenant)


@pytest.mark.parametrize(
    'tenants',
    [
        (builders.build_tenant_body(), builders.build_tenant_body()),
        (
            builders.build_tenant_body(api_keys=['a', SECRET]),
            builders.build_tenant_body('south', api_keys=[SECRET, 'b']),
        ),
    ],
)
def test_shared_name_or_key_is_refused_without_telling_the_key(tenants):
    """Guards against a key that could stand for either of two."""
    with pytest.raises(DECODE_ERRORS) as caught:
        _decode(*tenants)
    assert SECRET not in str(caught.value)


def test_weight_of_zero_and_no_keys_are_allowed():
    """Guards against refusing an organisation whose keys are all revoked."""
    organisation = _decode(
        builders.build_tenant_body(weight=0, api_keys=[])
    ).organisations[0]
    assert (organisation.weight, organisation.keys) == (0.0, ())


@pytest.mark.parametrize(
    ('header', 'key'),
    [
        ('Bearer abc', 'abc'),
        ('bearer  abc ', 'abc'),
        ('Basic abc', ''),
        ('abc', ''),
        ('', ''),
        ('Bearer', ''),
        ('Bearer \udce9', ''),
        ('Bearer \u00e9', ''),
    ],
)
def test_key_is_read_from_its_header(header, key):
    """Guards against a header of another scheme that is taken for a key."""
    assert front_server.read_key(header) == key
