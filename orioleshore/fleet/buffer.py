"""Size of the buffer: hosts of spare pools that are not lent."""

import collections

import msgspec

from orioleshore.fleet import view
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets


class Need(msgspec.Struct, frozen=True):
    """Capacity that one failure would take beyond the demand.

    ``domain`` is "rack/<name>" or "availability_zone/<name>"; ``units``
    are thousandths of a core.
    """

    domain: str
    units: int


def get_domain_kind(policy: documents.Policy) -> str:
    """Return the failures that the buffer covers.

    A zone costs several times the idle capacity of a rack, so it is
    covered where the weight of idle capacity does not prevail.
    """
    if policy.buffer_cost > policy.rollout_time:
        return 'rack'
    return 'availability_zone'


def get_need(fleet: view.Fleet, demands: dict[ids.PoolId, int]) -> Need:
    """Return the largest need that the failure of one domain causes.

    Permissions in force count as down already. Pools that share a domain
    fail together, so their needs add up.
    """
    kind = get_domain_kind(fleet.state.document.policy)
    needs: collections.Counter[str] = collections.Counter()
    for pool, demand in demands.items():
        sums = fleet.index.get_sums(pool)
        serving = sums.capacity - sums.down
        short = max(0, demand - serving)
        for domain, part in fleet.index.get_scopes(pool, kind).items():
            left = serving - (part.capacity - part.down)
            needs[domain] += max(0, demand - left) - short
    if not needs:
        return Need('', 0)
    domain = max(sorted(needs), key=needs.__getitem__)
    return Need(domain, needs[domain])


def get_held_hosts(
    fleet: view.Fleet, need: Need, spare_hosts: list[ids.HostId]
) -> dict[ids.HostId, str]:
    """Return the spare hosts that cover a need, each with its reason.

    Hosts inside the domain that may fail cannot cover it.
    """
    held: dict[ids.HostId, str] = {}
    missing = need.units
    for host in spare_hosts:
        if missing <= 0:
            break
        described = fleet.index.hosts[host]
        if need.domain in budgets.get_scopes(described):
            continue
        held[host] = (
            f'covers {missing / budgets.MILLICORES_PER_CORE:g} cores that the '
            f'failure of {need.domain} would take'
        )
        missing -= round(described.cores * budgets.MILLICORES_PER_CORE)
    return held


def get_spare_hosts(fleet: view.Fleet) -> list[ids.HostId]:
    """Return the serving hosts of spare pools, in the order of names."""
    return [
        host
        for pool in fleet.state.document.pools
        if pool.spare
        for host in sorted(fleet.index.hosts_by_pool.get(pool.name, ()))
        if fleet.state.hosts[host].state is states.HostState.SERVING
        and host not in fleet.claimed
    ]
