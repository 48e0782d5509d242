"""Size of the buffer: the spare hosts that are kept free for failures."""

import collections

import msgspec

from orioleshore.fleet import view
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets


class Shortfall(msgspec.Struct, frozen=True):
    """Demand that pools could no longer serve after one domain failed.

    ``domain`` is "rack/<name>" or "availability_zone/<name>"; ``units``
    are thousandths of a core.
    """

    domain: str
    units: int


def get_domain_kind(policy: documents.Policy) -> str:
    """Return the kind of failure domain that the buffer covers.

    Covering an availability zone takes several times the idle capacity
    of covering a rack. The buffer therefore covers racks only if the
    policy weighs idle capacity above roll-out time.
    """
    if policy.buffer_cost > policy.rollout_time:
        return 'rack'
    return 'availability_zone'


def get_largest_shortfall(
    fleet: view.Fleet, demands: dict[ids.PoolId, int]
) -> Shortfall:
    """Return the largest shortfall that one failing domain would cause.

    Capacity under a permission already counts as down. Pools that share
    a domain fail together, so their shortfalls add up.
    """
    kind = get_domain_kind(fleet.state.document.policy)
    shortfalls: collections.Counter[str] = collections.Counter()
    for pool, demand in demands.items():
        sums = fleet.index.get_sums(pool)
        serving = sums.capacity - sums.down
        present_shortfall = max(0, demand - serving)
        for domain, domain_sums in fleet.index.get_scopes(pool, kind).items():
            remaining = serving - (domain_sums.capacity - domain_sums.down)
            shortfalls[domain] += (
                max(0, demand - remaining) - present_shortfall
            )
    if not shortfalls:
        return Shortfall('', 0)
    domain = max(sorted(shortfalls), key=shortfalls.__getitem__)
    return Shortfall(domain, shortfalls[domain])


def get_buffer_hosts(
    fleet: view.Fleet, shortfall: Shortfall, spare_hosts: list[ids.HostId]
) -> dict[ids.HostId, str]:
    """Return the spare hosts that cover a shortfall, with the reasons.

    Hosts inside the failing domain cannot cover it.
    """
    buffer_hosts: dict[ids.HostId, str] = {}
    missing = shortfall.units
    for host in spare_hosts:
        if missing <= 0:
            break
        document_host = fleet.index.hosts[host]
        if shortfall.domain in budgets.get_scopes(document_host):
            continue
        buffer_hosts[host] = (
            f'covers {missing / budgets.MILLICORES_PER_CORE:g} cores that the '
            f'failure of {shortfall.domain} would take'
        )
        missing -= round(document_host.cores * budgets.MILLICORES_PER_CORE)
    return buffer_hosts


def get_spare_hosts(fleet: view.Fleet) -> list[ids.HostId]:
    """Return the unclaimed serving hosts of spare pools, by name."""
    return [
        host
        for pool in fleet.state.document.pools
        if pool.spare
        for host in sorted(fleet.index.hosts_by_pool.get(pool.name, ()))
        if fleet.state.hosts[host].state is states.HostState.SERVING
        and host not in fleet.claimed_hosts
    ]
