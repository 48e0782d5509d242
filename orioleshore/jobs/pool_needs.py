"""How many hosts each pool needs, and its share of them when they are few."""

from collections.abc import Iterable
from collections.abc import Mapping

from orioleshore.jobs import demand
from orioleshore.jobs import sharing
from orioleshore.jobs import specs
from orioleshore.model import ids


class PoolNeeds:
    """Measured demand of the pools and the division of the hosts."""

    def __init__(self) -> None:
        self.demand = demand.DemandTracker()
        # Hosts that each pool should have; what it needs unless hosts are
        # scarce.
        self._shares: dict[ids.PoolId, int] = {}
        self._is_scarce = False

    @property
    def is_scarce(self) -> bool:
        """Return whether the pools need more hosts than there are."""
        return self._is_scarce

    def get_share(self, pool: ids.PoolId) -> int | None:
        """Return the hosts that a pool should have, None if unknown."""
        return self._shares.get(pool)

    def limit_to_share(self, pool: ids.PoolId, needed: int) -> int:
        """Return the needed hosts of a pool, at most its share."""
        if not self._is_scarce:
            return needed
        return min(needed, self._shares.get(pool, needed))

    def divide_hosts(
        self, present: Mapping[ids.PoolId, int | None], total: int
    ) -> None:
        """Divide ``total`` hosts among the pools.

        ``present`` holds the usable hosts of each pool without jobs, which
        keeps a few of them for the next ones and gets no others, and None
        for the other pools.
        """
        needs = {}
        for pool, hosts in present.items():
            need = self.demand.get_need(pool)
            if hosts is not None:
                kept = min(demand.MIN_HOSTS, hosts)
                need = sharing.Need(kept, kept, kept)
            needs[pool] = need
        self._is_scarce = sum(need.wanted for need in needs.values()) > total
        self._shares = sharing.share_hosts(needs, total)


def get_median_capacity(
    capacities: Iterable[specs.Resources],
) -> specs.Resources | None:
    """Return the median capacity of some hosts, None if none is known."""
    sizes = sorted(capacities, key=lambda size: size.cpu_millis)
    if not sizes or not sizes[len(sizes) // 2].cpu_millis:
        return None
    return sizes[len(sizes) // 2]


def count_job_hosts(job: specs.Job, size: specs.Resources) -> float:
    """Return how many hosts of a size all tasks of a job would occupy."""
    return sum(
        step.tasks * demand.get_host_share(step, size) for step in job.steps
    )
