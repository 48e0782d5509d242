"""Entries without effect and contradictions in a document.

The receiving side accepts all of these.
"""

from collections.abc import Iterator

import msgspec

from orioleshore.findings import availability_warnings
from orioleshore.model import documents
from orioleshore.model import findings
from orioleshore.routing import table


def find_warnings(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    """Yield the warnings about a document without errors."""
    routes = table.RouteTable(document.services)
    for position, service in enumerate(document.services):
        place = f'$.services[{position}]'
        yield from _find_brand_warnings(service, place, routes)
        yield from _find_operation_warnings(service, place)
        yield from _find_limit_warnings(service, place)
    yield from _find_pool_warnings(document)
    yield from _find_quota_warnings(document)
    yield from _find_job_warnings(document)
    yield from availability_warnings.find_warnings(document)


def _find_brand_warnings(
    service: documents.Service, place: str, routes: table.RouteTable
) -> Iterator[findings.Finding]:
    if not service.brands:
        yield findings.Finding(
            findings.Kind.NO_BRANDS,
            f'{place}.brands',
            f'no request reaches service {service.name!r}: it has no brand',
            'add a host name, or a path prefix that begins with "/"',
        )
    for position, brand in enumerate(service.brands):
        if brand.startswith('/'):
            found = routes.find_service('', brand)
        else:
            found = routes.find_service(brand, '')
        if found is not None and found.name == service.name:
            continue
        owner = f', service {found.name!r} gets its requests' if found else ''
        yield findings.Finding(
            findings.Kind.UNREACHABLE_BRAND,
            f'{place}.brands[{position}]',
            f'no request matches {brand!r}{owner}',
            'write a host name without port, or a path prefix below "/" '
            'without query that differs from the others in more than its '
            'last "/"',
        )


def _find_operation_warnings(
    service: documents.Service, place: str
) -> Iterator[findings.Finding]:
    for position, operation in enumerate(service.idempotent):
        item_place = f'{place}.idempotent[{position}]'
        method, _, prefix = operation.partition(' ')
        if not prefix:
            yield findings.Finding(
                findings.Kind.OPERATION_WITHOUT_PATH,
                item_place,
                f'{operation!r} has no path, so every {method.upper()} counts '
                'as idempotent and may run more than once',
                'write "METHOD /prefix"',
            )
            continue
        if not table.is_idempotent(service, method, prefix) or (
            not prefix.startswith('/') or not method.isalpha()
        ):
            yield findings.Finding(
                findings.Kind.UNREACHABLE_OPERATION,
                item_place,
                f'no request matches {operation!r}',
                'write "METHOD /prefix" with one space',
            )
            continue
        others = [
            *service.idempotent[:position],
            *(o for o in service.idempotent[position + 1 :] if o != operation),
        ]
        rest = msgspec.structs.replace(service, idempotent=tuple(others))
        if table.is_idempotent(rest, method, prefix.rstrip('/') or '/'):
            yield findings.Finding(
                findings.Kind.REDUNDANT_OPERATION,
                item_place,
                f'another entry contains {operation!r} already',
                'remove it',
            )


def _find_limit_warnings(
    service: documents.Service, place: str
) -> Iterator[findings.Finding]:
    limits = service.limits
    if limits.attempt_timeout_s > limits.default_deadline_s:
        yield findings.Finding(
            findings.Kind.TIMEOUT_ABOVE_DEADLINE,
            f'{place}.limits.attempt_timeout_s',
            f'an attempt of {limits.attempt_timeout_s:g} s is never given up '
            f'before the deadline of {limits.default_deadline_s:g} s',
            'set it below default_deadline_s',
        )
    if service.slots > service.connections:
        yield findings.Finding(
            findings.Kind.SLOTS_ABOVE_CONNECTIONS,
            f'{place}.slots',
            f'{service.slots} slots need as many connections, and an upstream '
            f'accepts {service.connections}',
            'lower slots, or raise connections',
        )


def _find_pool_warnings(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    with_hosts = {host.pool for host in document.hosts}
    users = {service.pool for service in document.services}
    users |= {job.pool for job in document.jobs}
    for position, pool in enumerate(document.pools):
        if pool.name not in users | with_hosts:
            yield findings.Finding(
                findings.Kind.UNUSED_POOL,
                f'$.pools[{position}]',
                f'pool {pool.name!r} has no hosts, and no service or job '
                'uses it',
                'remove it',
            )
    for section in ('services', 'jobs'):
        for position, item in enumerate(getattr(document, section)):
            if item.pool not in with_hosts:
                yield findings.Finding(
                    findings.Kind.POOL_WITHOUT_HOSTS,
                    f'$.{section}[{position}].pool',
                    f'pool {item.pool!r} has no hosts of its own',
                    'add hosts to it, or name another pool',
                )


def _find_quota_warnings(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    if not document.hosts:
        return
    cores = sum(host.cores for host in document.hosts)
    memory_gb = sum(host.memory_gb for host in document.hosts)
    for position, team in enumerate(document.teams):
        for field, quota, capacity in (
            ('cores', team.cores, cores),
            ('memory_gb', team.memory_gb, memory_gb),
        ):
            if quota > capacity:
                yield findings.Finding(
                    findings.Kind.QUOTA_ABOVE_CAPACITY,
                    f'$.teams[{position}].{field}',
                    f'the quota of {quota:g} is never reached: all hosts '
                    f'together have {capacity:g}',
                    'lower it, or add hosts',
                )


def _find_job_warnings(
    document: documents.Document,
) -> Iterator[findings.Finding]:
    quotas = {team.name: team for team in document.teams}
    for position, job in enumerate(document.jobs):
        place = f'$.jobs[{position}]'
        team = quotas[job.team]
        if job.cores > team.cores or job.memory_gb > team.memory_gb:
            yield findings.Finding(
                findings.Kind.JOB_ABOVE_QUOTA,
                f'{place}.team',
                f'the job needs {job.cores:g} cores and {job.memory_gb:g} GB, '
                f'the whole quota of team {job.team!r} is {team.cores:g} '
                f'cores and {team.memory_gb:g} GB',
                'raise the quota, or split the job',
            )
        if document.hosts and not any(
            job.cores <= host.cores
            and job.memory_gb <= host.memory_gb
            and job.accelerators <= host.accelerators
            for host in document.hosts
        ):
            yield findings.Finding(
                findings.Kind.JOB_FITS_NO_HOST,
                place,
                f'no host has {job.cores:g} cores, {job.memory_gb:g} GB and '
                f'{job.accelerators} accelerators',
                'split the job, or add such a host',
            )
