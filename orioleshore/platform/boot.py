"""The platform's settings file, read into the project's settings."""

import pathlib
import tomllib
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore import settings
from orioleshore.jobs import tuning
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states

MS_PER_S = 1_000.0

# Ports for the inner protocol, counted from the start of the free range.
CONTROL_PORT_OFFSET = 0
ENTRY_PORT_OFFSET = 1

# Ports of the metrics, as named in deploy/system.toml.
METRICS_PORTS = {states.Role.ENTRY: 9464, states.Role.CONTROL: 9465}

# A leader counts as lost after four heartbeats. Callers wait while there is
# none, and one way takes 3 ms at most, so this is far above the delays of a
# sound network; a slow disk (270 ms a sync) stays below it.
_CONTROL_TIMINGS = {
    'tick_s': 0.05,
    'heartbeat_s': 0.15,
    'election_timeout_s': 0.6,
}


class _Listen(msgspec.Struct, frozen=True):
    front: str = ''
    ready: str = ''
    control: str = ''


class _Bounds(msgspec.Struct, frozen=True):
    hold_max_ms: int = 6_000
    status_s: float = 120
    lease_ms: int = 3_000
    gang_timeout_ms: int = 3_000
    spread_factor: float = 1.5
    grace_s: float = 6


class _CloudApi(msgspec.Struct, frozen=True):
    address: str = ''


class _BootFile(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    # Addresses of the control interface, not of the inner protocol.
    seeds: tuple[str, ...]
    bootstrap: bool = False
    data_dir: str = ''
    listen: _Listen = _Listen()
    bounds: _Bounds = _Bounds()
    cloud_api: _CloudApi = _CloudApi()
    # Address of the policy service, not advice to a person.
    recommendation: str = ''


class Deployment(msgspec.Struct, frozen=True):
    """Settings of a process, and addresses on the platform.

    ``stop_s`` is the time in seconds between the order to stop and the
    kill.
    """

    settings: settings.Settings
    limits: tuning.SchedulerLimits
    callers_address: str
    readiness_address: str
    control_address: str
    hosts_address: str
    policy_address: str
    metrics_address: str
    stop_s: float


def read_deployment(
    path: str, role: states.Role
) -> Result[Deployment, errors.Failure]:
    """Load the platform's file; fails with ``INVALID_SETTINGS``."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        boot = msgspec.convert(tomllib.loads(text), _BootFile, strict=False)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        return _make_failure(path, [str(error)])
    outcome = settings.check_settings(_make_settings_values(boot, role), path)
    if outcome.is_err():
        return outcome
    return Ok(
        Deployment(
            outcome.unwrap(),
            _make_scheduler_limits(boot.bounds),
            boot.listen.front,
            boot.listen.ready,
            boot.listen.control,
            boot.cloud_api.address,
            boot.recommendation,
            f'{boot.ip}:{METRICS_PORTS[role]}',
            boot.bounds.grace_s,
        )
    )


def _make_settings_values(
    boot: _BootFile, role: states.Role
) -> dict[str, Any]:
    first_port = boot.port_range[0]
    control_port = first_port + CONTROL_PORT_OFFSET
    members = {
        _get_member_name(seed): f'{_get_host(seed)}:{control_port}'
        for seed in boot.seeds
    }
    is_control = role is states.Role.CONTROL
    # A host without a disk holds no state and only passes calls on.
    is_member = is_control and bool(boot.data_dir)
    own_port = control_port if is_control else first_port + ENTRY_PORT_OFFSET
    name = f'entry-{boot.node_name}'
    if is_control:
        name = _get_member_name(boot.ip)
    return {
        'node': name,
        'availability_zone': boot.zone,
        'roles': [states.Role.CONTROL.value if is_member else 'entry'],
        'data_folder': boot.data_dir if is_member else None,
        'seeds': list(members.values()),
        'addresses': {
            'inner': f'{boot.ip}:{own_port}',
            # Both are served by the adapter.
            'operators': boot.listen.control or None,
            'callers': boot.listen.front or boot.listen.control,
            'upstreams': boot.listen.front or boot.listen.control,
        },
        'control': {
            **_CONTROL_TIMINGS,
            'initial_members': members if _can_found_group(boot) else {},
        },
    }


def _can_found_group(boot: _BootFile) -> bool:
    """Return whether this member may take part in founding the group.

    A member that was killed before the group was founded may still do so;
    one that comes back with an empty disk waits to be taken in again.
    """
    if boot.bootstrap:
        return True
    folder = pathlib.Path(boot.data_dir)
    return bool(boot.data_dir) and folder.is_dir() and any(folder.iterdir())


def _make_scheduler_limits(bounds: _Bounds) -> tuning.SchedulerLimits:
    return tuning.SchedulerLimits(
        # Workers shorten longer leases to this bound.
        lease_ms=min(tuning.SchedulerLimits().lease_ms, bounds.hold_max_ms),
        status_s=bounds.status_s,
        host_lease_ms=bounds.lease_ms,
        gang_ms=bounds.gang_timeout_ms,
        remote_factor=bounds.spread_factor,
    )


def _get_host(address: str) -> str:
    return address.partition(':')[0]


def _get_member_name(address: str) -> ids.NodeId:
    # Members are known by address alone, so the name comes from it.
    return ids.NodeId('control-' + _get_host(address).replace('.', '-'))


def _make_failure(path: str, problems: list[str]) -> Err[errors.Failure]:
    return Err(
        errors.Failure(
            errors.ErrorKind.INVALID_SETTINGS,
            f'settings file {path!r} is not valid',
            tuple(problems),
        )
    )
