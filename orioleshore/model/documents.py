"""The configuration document, the only input that changes the fleet."""

from typing import Annotated

import msgspec

from orioleshore.model import findings
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
    return [
        f'{finding.place}: {finding.reason}'
        for finding in find_errors(document)
    ]


def find_errors(document: Document) -> list[findings.Finding]:
    """Return a finding per unknown reference, or duplicate name or brand."""
    errors = _find_duplicate_names(document)
    pools = {pool.name for pool in document.pools}
    teams = {team.name for team in document.teams}
    errors += _find_unknown_pools(document, pools)
    errors += [
        _make_unknown_name(f'$.jobs[{position}].team', 'team', job.team)
        for position, job in enumerate(document.jobs)
        if job.team not in teams
    ]
    return errors + _find_duplicate_brands(document)


def _find_duplicate_names(document: Document) -> list[findings.Finding]:
    errors = []
    for section in ('pools', 'services', 'hosts', 'teams', 'waves', 'jobs'):
        seen = set()
        for position, item in enumerate(getattr(document, section)):
            if item.name in seen:
                errors.append(
                    findings.Finding(
                        findings.Kind.DUPLICATE_NAME,
                        f'$.{section}[{position}].name',
                        f'{item.name!r} is used more than once',
                        'merge the entries, or rename one',
                    )
                )
            seen.add(item.name)
    return errors


def _find_unknown_pools(
    document: Document, pools: set[ids.PoolId]
) -> list[findings.Finding]:
    errors = [
        _make_unknown_name(f'$.{section}[{position}].pool', 'pool', item.pool)
        for section in ('services', 'hosts', 'jobs')
        for position, item in enumerate(getattr(document, section))
        if item.pool not in pools
    ]
    return errors + [
        _make_unknown_name(f'$.waves[{position}].pools', 'pool', pool)
        for position, wave in enumerate(document.waves)
        for pool in wave.pools
        if pool not in pools
    ]


def _make_unknown_name(place: str, noun: str, name: str) -> findings.Finding:
    return findings.Finding(
        findings.Kind.UNKNOWN_NAME,
        place,
        f'no {noun} is named {name!r}',
        f'add it to {noun}s, or name one that is listed there',
    )


def _find_duplicate_brands(document: Document) -> list[findings.Finding]:
    errors = []
    owners = {}
    for position, service in enumerate(document.services):
        for brand in service.brands:
            owner = owners.setdefault(brand.lower(), service.name)
            if owner != service.name:
                errors.append(
                    findings.Finding(
                        findings.Kind.DUPLICATE_BRAND,
                        f'$.services[{position}].brands',
                        f'{brand!r} belongs to service {owner!r}',
                        'remove it from one of the services',
                    )
                )
    return errors
