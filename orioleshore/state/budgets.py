"""Compares the capacity of pools that is down with service budgets.

The sums of each pool, availability zone and rack are updated with every
change of a host, so that the cost of checking a grant does not depend on
the number of hosts. Sums are whole millicores: floating-point sums depend
on the order of addition, and members that restart at different times must
get the same result.
"""

from collections.abc import Iterable
import heapq

import msgspec

from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import records

MILLICORES_PER_CORE = 1_000
# Relative error allowed for the rounding of a fraction times a sum.
RELATIVE_TOLERANCE = 1e-9

# Key of the capacity index in the ``__dict__`` of the state.
_INDEX_KEY = '_capacity_index'


class Loss(msgspec.Struct, frozen=True):
    """Capacity of one scope that is down and may be down, in cores.

    ``scope`` is "total", "availability_zone/<name>" or "rack/<name>".
    """

    service: ids.ServiceId
    scope: str
    down: float
    allowed: float

    @property
    def is_exceeded(self) -> bool:
        return self.down > self.allowed * (1 + RELATIVE_TOLERANCE)


class Sums(msgspec.Struct):
    """Capacity of one scope and the part that is down, in millicores."""

    capacity: int = 0
    down: int = 0


class _Contribution(msgspec.Struct, frozen=True):
    """What one host adds to the sums of its pool, in millicores."""

    pool: ids.PoolId
    capacity: int
    down: int


class CapacityIndex:
    """Capacity sums of one state, updated with each change of a host."""

    def __init__(self, state: records.State) -> None:
        self.hosts = {host.name: host for host in state.document.hosts}
        self.services: dict[ids.PoolId, list[documents.Service]] = {}
        self.hosts_by_pool: dict[ids.PoolId, set[ids.HostId]] = {}
        self.permissions_by_host: dict[ids.HostId, ids.PermissionId] = {}
        self._source = _get_source(state)
        self._scopes: dict[ids.PoolId, dict[str, Sums]] = {}
        self._scopes_by_kind: dict[
            tuple[ids.PoolId, str], dict[str, Sums]
        ] = {}
        self._exceeded_scopes: dict[ids.PoolId, set[str]] = {}
        self._host_scopes: dict[ids.HostId, tuple[str, str, str]] = {}
        self._contributions: dict[ids.HostId, _Contribution] = {}
        self._expiries: list[tuple[float, ids.PermissionId]] = []
        for service in state.document.services:
            self.services.setdefault(service.pool, []).append(service)
        for permission, record in state.permissions.items():
            self.add_permission(permission, record)
        for host, record in state.hosts.items():
            self._add_host(host, self._build_contribution(host, record, False))
        for pool, scopes in self._scopes.items():
            self._update_exceeded_scopes(pool, scopes)

    def is_built_from(self, state: records.State) -> bool:
        """Return whether the state still has the same hosts and services."""
        hosts, services = self._source
        document = state.document
        return hosts is document.hosts and services is document.services

    def add_permission(
        self, permission: ids.PermissionId, record: records.PermissionRecord
    ) -> None:
        """Add a permission; the caller then calls ``update_host``."""
        self.permissions_by_host[record.host] = permission
        heapq.heappush(self._expiries, (record.until, permission))

    def pop_expired(self, now: float) -> list[ids.PermissionId]:
        """Return each permission once after its expiry time has passed."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            expired.append(heapq.heappop(self._expiries)[1])
        return expired

    def update_host(
        self,
        name: ids.HostId,
        record: records.HostRecord | None,
        counts_as_down: bool = False,
    ) -> None:
        """Count a host by its record, or as down if ``counts_as_down``."""
        old = self._contributions.pop(name, None)
        if old is not None:
            self._add_to_sums(name, old, -1)
            self.hosts_by_pool[old.pool].discard(name)
            self._update_exceeded_scopes(old.pool, self._host_scopes[name])
        contribution = self._build_contribution(name, record, counts_as_down)
        self._add_host(name, contribution)
        if contribution is not None:
            self._update_exceeded_scopes(
                contribution.pool, self._host_scopes[name]
            )

    def is_down(self, name: ids.HostId) -> bool:
        """Return whether a host counts as down."""
        contribution = self._contributions.get(name)
        return contribution is None or contribution.down > 0

    def get_sums(self, pool: ids.PoolId, scope: str = 'total') -> Sums:
        """Return the sums of a scope, empty for an unknown scope."""
        return self._scopes.get(pool, {}).get(scope) or Sums()

    def get_scopes(self, pool: ids.PoolId, kind: str) -> dict[str, Sums]:
        """Return the sums of a pool's scopes of one kind.

        ``kind`` is "total", "availability_zone" or "rack".
        """
        return self._scopes_by_kind.get((pool, kind), {})

    def find_exceeded_with_loss_of(self, name: ids.HostId) -> Loss | None:
        """Return a budget that is exceeded if this host is lost, or None.

        Also returns a budget of the pool that failures have already
        exceeded, even when the host is outside its scope: no planned work
        starts in such a pool.
        """
        contribution = self._contributions.get(name)
        if contribution is None:
            return None
        extra_millicores = contribution.capacity - contribution.down
        loss = self._find_exceeded_budget(
            contribution.pool, self._host_scopes[name], extra_millicores
        )
        return loss or self.find_exceeded_budget(contribution.pool)

    def find_exceeded_budget(self, pool: ids.PoolId) -> Loss | None:
        """Return a budget that the current loss of a pool exceeds, or None."""
        exceeded = self._exceeded_scopes.get(pool)
        if not exceeded:
            return None
        return self._find_exceeded_budget(pool, sorted(exceeded), 0)

    def get_losses(self, pool: ids.PoolId) -> list[Loss]:
        """Return the losses of each service of a pool.

        Includes the total, and each other scope in which capacity is down.
        """
        return [
            loss
            for service in self.services.get(pool, ())
            for scope, sums in sorted(self._scopes.get(pool, {}).items())
            if scope == 'total' or sums.down
            if (loss := _build_loss(service, scope, sums, 0)) is not None
        ]

    def _find_exceeded_budget(
        self, pool: ids.PoolId, scopes: Iterable[str], extra_millicores: int
    ) -> Loss | None:
        for service in self.services.get(pool, ()):
            for scope in scopes:
                loss = _build_loss(
                    service,
                    scope,
                    self.get_sums(pool, scope),
                    extra_millicores,
                )
                if loss is not None and loss.is_exceeded:
                    return loss
        return None

    def _add_host(
        self, name: ids.HostId, contribution: _Contribution | None
    ) -> None:
        if contribution is None:
            return
        self._contributions[name] = contribution
        self._add_to_sums(name, contribution, 1)
        self.hosts_by_pool.setdefault(contribution.pool, set()).add(name)

    def _build_contribution(
        self,
        name: ids.HostId,
        record: records.HostRecord | None,
        counts_as_down: bool,
    ) -> _Contribution | None:
        host = self.hosts.get(name)
        if host is None or record is None:
            return None
        if record.arriving:
            return _Contribution(record.pool, 0, 0)
        millicores = round(get_capacity(host) * MILLICORES_PER_CORE)
        down = (
            counts_as_down
            or is_down(record)
            or name in self.permissions_by_host
        )
        return _Contribution(
            record.pool, millicores, millicores if down else 0
        )

    def _add_to_sums(
        self, host: ids.HostId, contribution: _Contribution, sign: int
    ) -> None:
        names = self._host_scopes.get(host)
        if names is None:
            names = self._host_scopes[host] = get_scopes(self.hosts[host])
        scopes = self._scopes.setdefault(contribution.pool, {})
        for name in names:
            sums = scopes.get(name)
            if sums is None:
                sums = scopes[name] = Sums()
                kind = name.partition('/')[0]
                self._scopes_by_kind.setdefault((contribution.pool, kind), {})[
                    name
                ] = sums
            sums.capacity += sign * contribution.capacity
            sums.down += sign * contribution.down

    def _update_exceeded_scopes(
        self, pool: ids.PoolId, scopes: Iterable[str]
    ) -> None:
        exceeded = self._exceeded_scopes.setdefault(pool, set())
        for scope in scopes:
            if self._find_exceeded_budget(pool, (scope,), 0) is None:
                exceeded.discard(scope)
            else:
                exceeded.add(scope)


def get_index(state: records.State) -> CapacityIndex:
    """Return the capacity index of a state.

    It is rebuilt when the document has new hosts or services.
    """
    index = state.__dict__.get(_INDEX_KEY)
    if index is None or not index.is_built_from(state):
        index = CapacityIndex(state)
        state.__dict__[_INDEX_KEY] = index
    return index


def get_scopes(host: documents.Host) -> tuple[str, str, str]:
    """Return the scopes that a host belongs to."""
    return (
        'total',
        f'availability_zone/{host.availability_zone}',
        f'rack/{host.rack}',
    )


def get_capacity(host: documents.Host) -> float:
    """Return the capacity that a host adds to its pool, in cores."""
    return host.cores


def is_down(record: records.HostRecord) -> bool:
    """Return whether a host provides no capacity to its pool."""
    return record.state is not states.HostState.SERVING


def get_losses(state: records.State, pool: ids.PoolId) -> list[Loss]:
    """Return the losses of each service of a pool; see ``CapacityIndex``."""
    return get_index(state).get_losses(pool)


def _get_source(state: records.State) -> tuple[object, object]:
    # A change of the document replaces the tuples that it changes, so
    # comparing identities is enough.
    return state.document.hosts, state.document.services


def _build_loss(
    service: documents.Service, scope: str, sums: Sums, extra_millicores: int
) -> Loss | None:
    fraction = getattr(service.budget, scope.partition('/')[0])
    if fraction is None:
        return None
    return Loss(
        service.name,
        scope,
        (sums.down + extra_millicores) / MILLICORES_PER_CORE,
        fraction * sums.capacity / MILLICORES_PER_CORE,
    )
