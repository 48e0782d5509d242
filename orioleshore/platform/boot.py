"""Reads the platform's settings file into the project's settings."""

import pathlib
import tomllib
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore import settings
from orioleshore.jobs import tuning
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states

MS_PER_S = 1_000.0

# Ports of the inner protocol, as offsets from the first port of `port_range`.
CONTROL_PORT_OFFSET = 0
ENTRY_PORT_OFFSET = 1

# Ports of the metrics endpoint; deploy/system.toml lists the same numbers.
METRICS_PORTS = {states.Role.ENTRY: 9464, states.Role.CONTROL: 9465}

# Limits of the smallest hosts, for a settings file that names none.
SMALL_MEMORY_MB = 200
SMALL_MAX_FDS = 4_100

# The election timeout is only four heartbeat intervals, because callers wait
# while there is no leader. It is far above the network delay (at most 3 ms one
# way) and above the sync time of a slow disk (270 ms).
_CONTROL_TIMINGS = {
    'tick_s': 0.05,
    'heartbeat_s': 0.15,
    'election_timeout_s': 0.6,
}


class _Listen(msgspec.Struct, frozen=True):
    # Address for callers.
    front: str = ''
    # Address for the readiness checks of the balancer.
    ready: str = ''
    # Address for workers and operators.
    control: str = ''


class _Bounds(msgspec.Struct, frozen=True):
    # Workers shorten longer leases of their runs to this time.
    hold_max_ms: int = 6_000
    status_s: float = 120
    # Lease for orders about hosts, not for runs.
    lease_ms: int = 3_000
    gang_timeout_ms: int = 3_000
    # How many times longer a task takes outside the rack of its data or step.
    spread_factor: float = 1.5
    # Time that the upkeep of a host takes.
    maintenance_s: float = 2
    # Time between the order to stop and the kill.
    grace_s: float = 6


class _CloudApi(msgspec.Struct, frozen=True):
    # Address of the platform's interface for hosts.
    address: str = ''


class _Limits(msgspec.Struct, frozen=True):
    # Memory in MB after which the process is killed; 0 means the default.
    memory_mb: float = 0
    max_fds: int = 0


class _BootFile(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    # Addresses of the control interface; only their hosts are used.
    seeds: tuple[str, ...]
    bootstrap: bool = False
    data_dir: str = ''
    # Interval at which workers report unless an answer names another one.
    heartbeat_ms: int = 1_500
    listen: _Listen = _Listen()
    bounds: _Bounds = _Bounds()
    cloud_api: _CloudApi = _CloudApi()
    limits: _Limits = _Limits()
    # Address of the policy service, despite the name.
    recommendation: str = ''


class Deployment(msgspec.Struct, frozen=True):
    """Settings of a process and its addresses on the platform.

    ``callers_address``, ``readiness_address``, ``control_address`` and
    ``metrics_address`` are listened on; ``hosts_address`` and
    ``policy_address`` belong to services of the platform. ``stop_s`` is the
    time in seconds between the order to stop and the kill.
    ``local_member_address`` is the inner address of the control member on the
    host of an entry process, empty if there is none.
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
    local_member_address: str = ''


def read_deployment(
    path: str, role: states.Role
) -> Result[Deployment, errors.Failure]:
    """Load the platform's settings file.

    Fails with ``INVALID_SETTINGS``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        boot_file = msgspec.convert(
            tomllib.loads(text), _BootFile, strict=False
        )
    except (OSError, *decoding.DATA_ERRORS) as error:
        return _make_failure(path, [str(error)])
    outcome = settings.check_settings(
        _make_settings_values(boot_file, role), path
    )
    if outcome.is_err():
        return outcome
    return Ok(
        Deployment(
            outcome.unwrap(),
            _make_scheduler_limits(boot_file),
            boot_file.listen.front,
            boot_file.listen.ready,
            boot_file.listen.control,
            boot_file.cloud_api.address,
            boot_file.recommendation,
            f'{boot_file.ip}:{METRICS_PORTS[role]}',
            boot_file.bounds.grace_s,
            _get_local_member(boot_file, role),
        )
    )


def _get_local_member(boot_file: _BootFile, role: states.Role) -> str:
    """Return the address of the member on the host of an entry process.

    Every host with a disk runs a member.
    """
    if role is not states.Role.ENTRY or not boot_file.data_dir:
        return ''
    port = boot_file.port_range[0] + CONTROL_PORT_OFFSET
    return f'{boot_file.ip}:{port}'


def _make_settings_values(
    boot_file: _BootFile, role: states.Role
) -> dict[str, Any]:
    first_port = boot_file.port_range[0]
    control_port = first_port + CONTROL_PORT_OFFSET
    members = {
        _get_member_name(seed): f'{_get_host(seed)}:{control_port}'
        for seed in boot_file.seeds
    }
    is_control = role is states.Role.CONTROL
    # A host without a disk stores no state and only forwards calls.
    is_member = is_control and bool(boot_file.data_dir)
    own_port = control_port if is_control else first_port + ENTRY_PORT_OFFSET
    name = f'entry-{boot_file.node_name}'
    if is_control:
        name = _get_member_name(boot_file.ip)
    return {
        'node': name,
        'availability_zone': boot_file.zone,
        'roles': [states.Role.CONTROL.value if is_member else 'entry'],
        'data_folder': boot_file.data_dir if is_member else None,
        'seeds': list(members.values()),
        'addresses': {
            'inner': f'{boot_file.ip}:{own_port}',
            # These are served by this package, not by the frontends.
            'operators': boot_file.listen.control or None,
            'callers': boot_file.listen.front or boot_file.listen.control,
            'upstreams': boot_file.listen.front or boot_file.listen.control,
        },
        'control': {
            **_CONTROL_TIMINGS,
            'initial_members': members if _can_found_group(boot_file) else {},
        },
        'limits': {
            'memory_mb': int(boot_file.limits.memory_mb) or SMALL_MEMORY_MB,
            'max_fds': boot_file.limits.max_fds or SMALL_MAX_FDS,
        },
    }


def _can_found_group(boot_file: _BootFile) -> bool:
    """Return whether this member may take part in founding the group.

    A member that was killed before the group was founded may still do so. A
    member that restarts with an empty disk waits until it is added again.
    """
    if boot_file.bootstrap:
        return True
    folder = pathlib.Path(boot_file.data_dir)
    return (
        bool(boot_file.data_dir) and folder.is_dir() and any(folder.iterdir())
    )


def _make_scheduler_limits(boot_file: _BootFile) -> tuning.SchedulerLimits:
    bounds = boot_file.bounds
    return tuning.SchedulerLimits(
        # Workers shorten longer leases to hold_max_ms.
        lease_ms=min(tuning.SchedulerLimits().lease_ms, bounds.hold_max_ms),
        status_s=bounds.status_s,
        host_lease_ms=bounds.lease_ms,
        upkeep_s=bounds.maintenance_s,
        gang_ms=bounds.gang_timeout_ms,
        remote_factor=bounds.spread_factor,
        heartbeat_ms=boot_file.heartbeat_ms,
    )


def _get_host(address: str) -> str:
    return address.partition(':')[0]


def _get_member_name(address: str) -> ids.NodeId:
    # The settings file lists the other members by address only.
    return ids.NodeId('control-' + _get_host(address).replace('.', '-'))


def _make_failure(path: str, problems: list[str]) -> Err[errors.Failure]:
    return Err(
        errors.Failure(
            errors.ErrorKind.INVALID_SETTINGS,
            f'settings file {path!r} is not valid',
            tuple(problems),
        )
    )
