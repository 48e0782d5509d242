"""Converts the operator's configuration to the internal types.

The field names of its body are used here only.
"""

from typing import Annotated
from typing import Any

import msgspec

from orioleshore.jobs import specs
from orioleshore.model import decoding
from orioleshore.model import ids

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
    content = _CONFIG_DECODER.decode(body)
    services = {service.name for service in content.services}
    route_keys = set()
    for route in content.routes:
        _check_route(route, services)
        route_key = (route.host, route.path_prefix)
        if route_key in route_keys:
            raise decoding.DecodingError(
                f'another route has the host and prefix of {route.name!r}'
            )
        route_keys.add(route_key)
    _check_tenants(content.tenants or ())
    if content.version < 1:
        raise decoding.DecodingError('the version is not positive')
    return specs.Configuration(
        ids.Version(content.version),
        tuple(_make_queue(route) for route in content.routes),
        tuple(_make_pool(service) for service in content.services),
        body,
        tuple(_make_organisation(item) for item in content.tenants or ()),
        content.tenants is not None,
    )


def _check_route(route: _RouteBody, services: set[str]) -> None:
    if route.service not in services:
        raise decoding.DecodingError(
            f'route {route.name!r} names the unknown service {route.service!r}'
        )
    if route.timeout_ms <= 0:
        raise decoding.DecodingError(
            f'route {route.name!r} has no positive timeout'
        )


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
    )


def _check_tenants(tenants: tuple[_TenantBody, ...]) -> None:
    """Raise DecodingError if two tenants share a name or a key."""
    names: set[str] = set()
    keys: set[str] = set()
    for tenant in tenants:
        if tenant.name in names:
            raise decoding.DecodingError(
                f'two tenants have the name {tenant.name!r}'
            )
        # Keys are secret, so the message names their owner only.
        if not keys.isdisjoint(tenant.api_keys):
            raise decoding.DecodingError(
                f'a key of tenant {tenant.name!r} belongs to another one too'
            )
        names.add(tenant.name)
        keys.update(tenant.api_keys)


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
