"""Converts the operator's configuration to the internal types.

The field names of its body are used here only.
"""

from typing import Annotated
from typing import Any

import msgspec

from orioleshore.findings import configuration_errors
from orioleshore.jobs import specs
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.platform import vocabulary

# Larger numbers fit no message between processes.
_MAX_NUMBER = 2**63 - 1
_Number = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
# Larger figures fit no message as whole numbers.
_MAX_FIGURE = 1e15
_Figure = Annotated[float, msgspec.Meta(ge=-_MAX_FIGURE, le=_MAX_FIGURE)]
# No organisation has a larger weight or limit: 10**12 thousandths of a core
# are a thousand times the largest fleet.
_MAX_SHARE = 10**12
_Weight = Annotated[float, msgspec.Meta(ge=0, le=_MAX_SHARE)]
_Limit = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SHARE)]
# Names are label values of metrics and stand in log lines.
_Name = Annotated[str, msgspec.Meta(pattern=r'\A[!-~]+\Z', max_length=128)]
# The characters that a header can carry.
_Key = Annotated[str, msgspec.Meta(pattern=r'\A[!-~]+\Z', max_length=256)]


class _RouteBody(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: _Number
    # Part of a job's time objective that is added to its stretched longest
    # chain; not an indicator.
    slo_ms: _Number = 0
    priority: _Number = 0
    max_attempts: _Number = 1
    stretch_factor: _Figure = 1.0
    # Callers need no key.
    public: bool = False
    # If set, workers need the approval of the policy service.
    recommendation: Any = None


class _ServiceBody(msgspec.Struct):
    name: str
    # Workers refuse tasks that exceed their capacity.
    preconditions: bool = False
    standby: bool = False


class _LimitBody(msgspec.Struct, frozen=True):
    # Thousandths of a core, like the capacity of workers.
    cpus: _Limit
    mem_mb: _Limit
    gpus: _Limit


class _TenantBody(msgspec.Struct):
    name: _Name
    api_keys: tuple[_Key, ...]
    weight: _Weight
    # What the tasks of the organisation may need together, 0 for no limit.
    cap: _LimitBody


class _ConfigBody(msgspec.Struct):
    version: _Number
    routes: tuple[_RouteBody, ...]
    services: tuple[_ServiceBody, ...]
    # Organisations; callers need no keys where the member is missing.
    tenants: tuple[_TenantBody, ...] | None = None


_CONFIG_DECODER = decoding.make_json_decoder(_ConfigBody)


def decode_configuration(body: bytes) -> specs.Configuration:
    """Return a configuration whose routes and services are consistent.

    Raises decoding.DecodingError with the first problem otherwise.
    """
    configuration, timeouts_ms = read_configuration(body)
    for finding in configuration_errors.find_errors(
        configuration, timeouts_ms, vocabulary.WORDS
    ):
        raise decoding.DecodingError(finding.reason)
    return configuration


def read_configuration(
    body: bytes,
) -> tuple[specs.Configuration, tuple[int, ...]]:
    """Return a configuration, which may be inconsistent, and its timeouts.

    The timeouts are those of the queues, in milliseconds.
    """
    content = _CONFIG_DECODER.decode(body)
    configuration = specs.Configuration(
        ids.Version(content.version),
        tuple(_make_queue(route) for route in content.routes),
        tuple(_make_pool(service) for service in content.services),
        body,
        tuple(_make_organisation(item) for item in content.tenants or ()),
        content.tenants is not None,
    )
    return configuration, tuple(route.timeout_ms for route in content.routes)


def _make_queue(route: _RouteBody) -> specs.Queue:
    return specs.Queue(
        ids.QueueId(route.name),
        route.host,
        route.path_prefix,
        ids.PoolId(route.service),
        route.priority,
        route.max_attempts,
        route.stretch_factor,
        route.slo_ms,
        bool(route.recommendation),
        route.public,
        _read_duration_ms(route.recommendation, 'decide_ms'),
        _read_duration_ms(route.recommendation, 'per_worker_ms'),
    )


def _read_duration_ms(recommendation: Any, name: str) -> int:
    """Return a duration of the policy service, 0 if it is not given."""
    if not isinstance(recommendation, dict):
        return 0
    value = recommendation.get(name)
    is_number = isinstance(value, int | float) and 0 <= value < _MAX_FIGURE
    return int(value) if is_number else 0


def _make_organisation(tenant: _TenantBody) -> specs.Organisation:
    return specs.Organisation(
        ids.OrganisationId(tenant.name),
        tuple(ids.ApiKey(key) for key in tenant.api_keys),
        tenant.weight,
        specs.Resources(tenant.cap.cpus, tenant.cap.mem_mb, tenant.cap.gpus),
    )


def _make_pool(service: _ServiceBody) -> specs.Pool:
    return specs.Pool(
        ids.PoolId(service.name), service.preconditions, service.standby
    )
