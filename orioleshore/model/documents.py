"""The configuration document, the only input that changes the fleet."""

from typing import Annotated

import msgspec

from orioleshore.model import ids

NAME_PATTERN = r'^[a-z0-9][a-z0-9._-]{0,62}$'

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1)]


class _Item(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all items of a document; unknown fields are rejected."""


class Pool(_Item, frozen=True):
    """A group of hosts; a spare pool lends hosts to the others."""

    name: Annotated[ids.PoolId, msgspec.Meta(pattern=NAME_PATTERN)]
    spare: bool = False


class Budget(_Item, frozen=True):
    """Fraction of a service's capacity that may be down at once."""

    total: Fraction
    availability_zone: Fraction | None = None
    rack: Fraction | None = None


class Limits(_Item, frozen=True):
    """Bounds on the requests of a service; times in seconds."""

    queue_length: PositiveCount = 512
    body_bytes: PositiveCount = 1_048_576
    attempt_timeout_s: Positive = 30.0
    default_deadline_s: Positive = 60.0


class Service(_Item, frozen=True):
    """A service that callers reach by one of its brands.

    A brand is a host name, or a path prefix that starts with "/".
    ``idempotent`` lists operations, each as "METHOD /path-prefix".
    """

    name: Annotated[ids.ServiceId, msgspec.Meta(pattern=NAME_PATTERN)]
    pool: ids.PoolId
    brands: tuple[str, ...]
    budget: Budget
    slots: PositiveCount = 8
    connections: PositiveCount = 64
    idempotent: tuple[str, ...] = ()
    limits: Limits = Limits()


class Host(_Item, frozen=True):
    """A host with its failure domains and its capacity."""

    name: Annotated[ids.HostId, msgspec.Meta(pattern=NAME_PATTERN)]
    pool: ids.PoolId
    rack: ids.RackId
    availability_zone: ids.AvailabilityZone
    image: ids.ImageId = ids.ImageId('default')
    cores: Positive = 16.0
    memory_gb: Positive = 64.0
    accelerators: Count = 0


class Team(_Item, frozen=True):
    """A team and its share of the workers."""

    name: Annotated[ids.TeamId, msgspec.Meta(pattern=NAME_PATTERN)]
    cores: NonNegative
    memory_gb: NonNegative


class Policy(_Item, frozen=True):
    """Planning weights of idle capacity, rollout time and moves.

    Times are in seconds.
    """

    buffer_cost: NonNegative = 1.0
    rollout_time: NonNegative = 1.0
    moves: NonNegative = 1.0
    minimum_stay_s: NonNegative = 600.0


class Wave(_Item, frozen=True):
    """A maintenance wave over all hosts of the named pools."""

    name: Annotated[ids.WaveId, msgspec.Meta(pattern=NAME_PATTERN)]
    pools: tuple[ids.PoolId, ...]
    image: ids.ImageId | None = None


class Job(_Item, frozen=True):
    """Work to run on the workers of a pool; times in seconds.

    ``deadline`` is in seconds since the Unix epoch.
    """

    name: Annotated[ids.JobId, msgspec.Meta(pattern=NAME_PATTERN)]
    pool: ids.PoolId
    team: ids.TeamId
    job_class: ids.JobClass
    cores: Positive = 1.0
    memory_gb: Positive = 1.0
    accelerators: Count = 0
    run_time_s: Positive = 60.0
    deadline: float | None = None
    urgent: bool = False
    idempotent: bool = False


class Document(_Item, frozen=True):
    """The whole configuration of the fleet."""

    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    hosts: tuple[Host, ...] = ()
    teams: tuple[Team, ...] = ()
    waves: tuple[Wave, ...] = ()
    jobs: tuple[Job, ...] = ()
    policy: Policy = Policy()


class ChangeRequest(_Item, frozen=True):
    """A document as submitted, with the version that it is based on."""

    base_version: Count
    operation_id: str
    document: Document


def find_inconsistencies(document: Document) -> list[str]:
    """Return one line per unknown reference, or duplicate name or brand."""
    problems = _find_duplicate_names(document)
    pools = {pool.name for pool in document.pools}
    teams = {team.name for team in document.teams}
    problems += _find_unknown_pools(document, pools)
    for position, job in enumerate(document.jobs):
        if job.team not in teams:
            problems.append(
                f'$.jobs[{position}].team: no team is named {job.team!r}'
            )
    return problems + _find_duplicate_brands(document)


def _find_duplicate_names(document: Document) -> list[str]:
    problems = []
    for section in ('pools', 'services', 'hosts', 'teams', 'waves', 'jobs'):
        seen = set()
        for position, item in enumerate(getattr(document, section)):
            if item.name in seen:
                problems.append(
                    f'$.{section}[{position}].name: '
                    f'{item.name!r} is used more than once'
                )
            seen.add(item.name)
    return problems


def _find_unknown_pools(document: Document, pools: set) -> list[str]:
    problems = []
    for section in ('services', 'hosts', 'jobs'):
        for position, item in enumerate(getattr(document, section)):
            if item.pool not in pools:
                problems.append(
                    f'$.{section}[{position}].pool: '
                    f'no pool is named {item.pool!r}'
                )
    for position, wave in enumerate(document.waves):
        problems += [
            f'$.waves[{position}].pools: no pool is named {pool!r}'
            for pool in wave.pools
            if pool not in pools
        ]
    return problems


def _find_duplicate_brands(document: Document) -> list[str]:
    problems = []
    owners = {}
    for position, service in enumerate(document.services):
        for brand in service.brands:
            owner = owners.setdefault(brand.lower(), service.name)
            if owner != service.name:
                problems.append(
                    f'$.services[{position}].brands: '
                    f'{brand!r} belongs to service {owner!r}'
                )
    return problems
