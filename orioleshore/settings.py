"""Settings of a process: types, defaults and checks."""

import os
import pathlib
from typing import Annotated
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.model import addresses
from orioleshore.model import checks
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states

# Times in seconds, sizes in bytes. A settings file overrides individual keys.
DEFAULT_SETTINGS: dict[str, Any] = {
    'data_folder': None,
    'log_level': 'info',
    'seeds': [],
    'tls': None,
    'token_files': {},
    'addresses': {
        'inner': None,
        'callers': None,
        'upstreams': None,
        'operators': None,
        'health': None,
    },
    'control': {
        'initial_members': {},
        'tick_s': 0.1,
        'heartbeat_s': 0.2,
        'election_timeout_s': 0.9,
        'snapshot_entries': 1_000,
        'snapshot_bytes': 16_777_216,
        'platform': None,
        'proving_s': 30.0,
    },
    'entry': {
        'drain_notice_s': 5.0,
        'header_bytes': 16_384,
        'header_count': 64,
        'body_timeout_s': 10.0,
        'answer_buffer_bytes': 1_048_576,
    },
    'membership': {
        'probe_period_s': 1.0,
        'probe_timeout_s': 0.3,
    },
    'limits': {
        'memory_mb': 512,
        'max_fds': 4_096,
        'head_bytes': 40_960,
        'head_timeout_s': 10.0,
        'stall_timeout_s': 10.0,
        'request_timeout_s': 30.0,
    },
}

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Positive = documents.Positive
PositiveCount = documents.PositiveCount


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all sections; unknown keys are refused."""


class Tls(_Section, frozen=True):
    """Certificate and key files for connections between processes."""

    certificate: str
    key: str
    authority: str


class Addresses(_Section, frozen=True):
    """Listening addresses "IP:port"; port 0 lets the kernel choose."""

    inner: str
    callers: str | None
    upstreams: str | None
    operators: str | None
    health: str | None


class Control(_Section, frozen=True):
    """Settings of a control member.

    ``initial_members`` maps the name of each initial member to its inner
    address. ``platform`` is the base URL of the platform's interface.
    A snapshot replaces the log after ``snapshot_entries`` entries or
    ``snapshot_bytes`` bytes, which bounds the size of the data folder.
    A host that returns counts as serving after ``proving_s`` seconds.
    """

    initial_members: dict[ids.NodeId, str]
    tick_s: Positive
    heartbeat_s: Positive
    election_timeout_s: Positive
    snapshot_entries: PositiveCount
    snapshot_bytes: PositiveCount
    platform: str | None
    proving_s: Positive


class Entry(_Section, frozen=True):
    """Settings of an entry host."""

    drain_notice_s: documents.NonNegative
    header_bytes: PositiveCount
    header_count: PositiveCount
    body_timeout_s: Positive
    answer_buffer_bytes: PositiveCount


class Membership(_Section, frozen=True):
    """Settings of the failure detector."""

    probe_period_s: Positive
    probe_timeout_s: Positive


class Limits(_Section, frozen=True):
    """What a process may use, and what a peer may take of it.

    ``memory_mb`` is in MiB, ``max_fds`` a number of open descriptors.
    ``head_bytes`` bounds a request line with all headers, as sent;
    ``head_timeout_s`` the time to a whole head, ``request_timeout_s`` that to
    a whole request, and ``stall_timeout_s`` the time without progress.
    """

    memory_mb: PositiveCount
    max_fds: PositiveCount
    head_bytes: PositiveCount
    head_timeout_s: Positive
    stall_timeout_s: Positive
    request_timeout_s: Positive


class Settings(_Section, frozen=True):
    """All settings of one process.

    ``token_files`` maps the name of an operator to a file with a token.
    """

    node: Annotated[ids.NodeId, msgspec.Meta(pattern=documents.NAME_PATTERN)]
    availability_zone: ids.AvailabilityZone
    roles: tuple[states.Role, ...]
    data_folder: str | None
    log_level: str
    seeds: tuple[str, ...]
    tls: Tls | None
    token_files: dict[str, str]
    addresses: Addresses
    control: Control
    entry: Entry
    membership: Membership
    limits: Limits

    def has_role(self, role: states.Role) -> bool:
        """Return whether the process has a role."""
        return role in self.roles


def check_settings(
    loaded: dict[str, Any], path: str
) -> Result[Settings, errors.Failure]:
    """Add defaults to settings that were read from a file, and check them.

    Fails with ``INVALID_SETTINGS``.
    """
    outcome = checks.convert(
        merge_defaults(loaded, DEFAULT_SETTINGS), Settings
    )
    if outcome.is_err():
        return make_failure(path, outcome.unwrap_err())
    settings = outcome.unwrap()
    problems = find_problems(settings)
    if problems:
        return make_failure(path, problems)
    return Ok(settings)


def merge_defaults(
    given: dict[str, Any], defaults: dict[str, Any]
) -> dict[str, Any]:
    """Return the given settings with defaults for absent keys."""
    merged = dict(given)
    for key, default in defaults.items():
        if key not in merged:
            merged[key] = default
        elif isinstance(default, dict) and isinstance(merged[key], dict):
            merged[key] = merge_defaults(merged[key], default)
    return merged


def find_problems(settings: Settings) -> list[str]:
    """Return the problems of settings whose types are valid."""
    problems = _find_address_problems(settings)
    if not settings.roles:
        problems.append('$.roles: expected at least one of: control, entry')
    if settings.log_level not in ('debug', 'info', 'warning', 'error'):
        problems.append(
            '$.log_level: expected one of: debug, info, warning, error'
        )
    if settings.has_role(states.Role.CONTROL):
        problems += _find_control_problems(settings)
    if settings.has_role(states.Role.ENTRY):
        problems += _find_entry_problems(settings)
    return problems + _find_file_problems(settings)


def _find_address_problems(settings: Settings) -> list[str]:
    texts = {
        f'$.addresses.{name}': getattr(settings.addresses, name)
        for name in settings.addresses.__struct_fields__
    }
    for position, seed in enumerate(settings.seeds):
        texts[f'$.seeds[{position}]'] = seed
    for name, address in settings.control.initial_members.items():
        texts[f'$.control.initial_members.{name}'] = address
    problems = []
    for path, address in texts.items():
        if address is None:
            continue
        try:
            addresses.parse_listening_address(address)
        except ValueError as error:
            problems.append(
                f'{path}: expected "IP number:port", got {address!r} ({error})'
            )
    return problems


def _find_control_problems(settings: Settings) -> list[str]:
    problems = []
    control = settings.control
    if settings.data_folder is None:
        problems.append('$.data_folder: a control member needs one')
    if settings.addresses.operators is None:
        problems.append('$.addresses.operators: a control member needs one')
    if control.election_timeout_s < 3 * control.heartbeat_s:
        problems.append(
            '$.control.election_timeout_s: expected at least three times '
            'heartbeat_s, or one lost heartbeat starts an election'
        )
    if control.heartbeat_s < control.tick_s:
        problems.append('$.control.heartbeat_s: expected at least tick_s')
    return problems


def _find_entry_problems(settings: Settings) -> list[str]:
    return [
        f'$.addresses.{name}: an entry host needs one'
        for name in ('callers', 'upstreams')
        if getattr(settings.addresses, name) is None
    ]


def _find_file_problems(settings: Settings) -> list[str]:
    problems = []
    for name, path in settings.token_files.items():
        if not os.access(path, os.R_OK):
            problems.append(f'$.token_files.{name}: cannot read {path!r}')
    if settings.tls is not None:
        problems += [
            f'$.tls.{name}: cannot read {getattr(settings.tls, name)!r}'
            for name in settings.tls.__struct_fields__
            if not os.access(getattr(settings.tls, name), os.R_OK)
        ]
    if settings.data_folder is not None:
        problems += _find_folder_problems(settings.data_folder)
    return problems


def _find_folder_problems(folder: str) -> list[str]:
    path = pathlib.Path(folder)
    try:
        path.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        return [f'$.data_folder: cannot create {folder!r}: {error.strerror}']
    if not os.access(path, os.W_OK | os.X_OK):
        return [f'$.data_folder: cannot write to {folder!r}']
    return []


def make_failure(path: str, problems: list[str]) -> Err[errors.Failure]:
    """Return the failure for a settings file with all its problems."""
    return Err(
        errors.Failure(
            errors.ErrorKind.INVALID_SETTINGS,
            f'settings file {path!r} is not valid',
            tuple(problems),
        )
    )
