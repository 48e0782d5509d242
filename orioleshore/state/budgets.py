"""Capacity of a pool that is down, against the budgets of its services."""

from collections.abc import Iterable

import msgspec

from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import records

# Sums of declared capacities carry rounding errors of this relative size.
TOLERANCE = 1e-9


class Loss(msgspec.Struct, frozen=True):
    """Capacity that is down in one scope, against what may be, in cores.

    ``scope`` is "total", "availability_zone/<name>" or "rack/<name>".
    """

    service: ids.ServiceId
    scope: str
    down: float
    allowed: float

    @property
    def is_exceeded(self) -> bool:
        return self.down > self.allowed * (1 + TOLERANCE)


def get_capacity(host: documents.Host) -> float:
    """Return the capacity that a host adds to its pool, in cores."""
    return host.cores


def get_held_hosts(state: records.State) -> set[ids.HostId]:
    """Return the hosts under a permission that has not ended."""
    return {
        permission.host
        for permission in state.permissions.values()
        if permission.until > state.time
    }


def is_down(record: records.HostRecord) -> bool:
    """Return whether a host gives no capacity to its pool."""
    return record.state is not states.HostState.SERVING


def get_losses(
    state: records.State,
    pool: ids.PoolId,
    extra_down: Iterable[ids.HostId] = (),
) -> list[Loss]:
    """Return the loss of each service of a pool, in every scope.

    ``extra_down`` are hosts to count as down besides those recorded.
    """
    members = [
        host
        for host in state.document.hosts
        if (record := state.hosts.get(host.name)) and record.pool == pool
    ]
    down_hosts = get_held_hosts(state) | set(extra_down)
    down = [
        host
        for host in members
        if host.name in down_hosts or is_down(state.hosts[host.name])
    ]
    losses: list[Loss] = []
    for service in state.document.services:
        if service.pool == pool:
            losses += _get_service_losses(service, members, down)
    return losses


def find_exceeded(
    state: records.State,
    pool: ids.PoolId,
    extra_down: Iterable[ids.HostId] = (),
) -> Loss | None:
    """Return a budget that the loss exceeds, None when all hold."""
    for loss in get_losses(state, pool, extra_down):
        if loss.is_exceeded:
            return loss
    return None


def _get_service_losses(
    service: documents.Service,
    members: list[documents.Host],
    down: list[documents.Host],
) -> list[Loss]:
    budget = service.budget
    losses = [_get_loss(service.name, 'total', budget.total, members, down)]
    for attribute, fraction in (
        ('availability_zone', budget.availability_zone),
        ('rack', budget.rack),
    ):
        if fraction is None:
            continue
        for name in sorted({getattr(host, attribute) for host in down}):
            losses.append(
                _get_loss(
                    service.name,
                    f'{attribute}/{name}',
                    fraction,
                    [h for h in members if getattr(h, attribute) == name],
                    [h for h in down if getattr(h, attribute) == name],
                )
            )
    return losses


def _get_loss(
    service: ids.ServiceId,
    scope: str,
    fraction: float,
    members: list[documents.Host],
    down: list[documents.Host],
) -> Loss:
    return Loss(
        service,
        scope,
        sum(get_capacity(host) for host in down),
        fraction * sum(get_capacity(host) for host in members),
    )
