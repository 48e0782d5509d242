"""Shares of organisations, by their weights, while there is too little room.

Answers the load in which one organisation submits several times as much as
usual. Without shares its backlog fills all hosts, and the jobs of the others
wait behind it until they are late. An organisation that has more running than
its weighted share of all capacity yields to the others; what they leave
unused is still its own. What runs counts over all pools, so an organisation
that floods one pool also yields in the next one.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import logging

import msgspec

from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.quotas import shares
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Lines about jobs that wait behind others, for each update.
MAX_LINES_PER_UPDATE = 5

Weights = Mapping[ids.OrganisationId, float]
# CPU seconds by organisation.
Work = Mapping[ids.OrganisationId, float]
GetUsed = Callable[[ids.OrganisationId], specs.Resources]


class WaitingJob(msgspec.Struct, frozen=True):
    """A job with tasks that could start."""

    name: ids.JobId
    organisation: ids.OrganisationId
    pool: ids.PoolId


def get_shares(weights: Weights) -> dict[ids.OrganisationId, float]:
    """Return the share of each organisation in what all of them have."""
    whole = sum(weights.values())
    return {
        name: weight / whole if whole > 0.0 else 1.0
        for name, weight in weights.items()
    }


def find_above_share(
    fair: Weights, get_used: GetUsed, total: specs.Resources
) -> frozenset[ids.OrganisationId]:
    """Return the organisations that use more than their share.

    ``fair`` are the shares of the organisations with unfinished jobs,
    ``total`` is the capacity of all workers. One organisation alone is never
    above its share, which is everything.
    """
    return frozenset(
        name
        for name, share in fair.items()
        if shares.get_dominant_share(get_used(name), total) > share
    )


def get_clear_time_s(
    work: Work, weights: Weights, name: ids.OrganisationId, cores: float
) -> float:
    """Return when a pool has done the present work of an organisation.

    In seconds from now. Until then, each other organisation gets its weighted
    share of the ``cores``, or less if it has less work.
    """
    own_s = work.get(name, 0.0)
    per_weight = own_s / _get_weight(weights, name)
    others_s = sum(
        min(other_s, per_weight * _get_weight(weights, other))
        for other, other_s in work.items()
        if other != name
    )
    return (own_s + others_s) / cores


def _get_weight(weights: Weights, name: ids.OrganisationId) -> float:
    return max(weights.get(name, 1.0), shares.MIN_WEIGHT)


class FairShares:
    """The organisations among which capacity is shared at present."""

    def __init__(self) -> None:
        self._shares: dict[ids.OrganisationId, float] = {}
        self._total = specs.Resources()
        # Waiting jobs whose place behind others has been logged.
        self._logged: set[ids.JobId] = set()

    def update(
        self,
        weights: Weights,
        total: specs.Resources,
        waiting: Collection[WaitingJob],
        get_used: GetUsed,
    ) -> None:
        """Replace the weights and the capacity, and log who waits."""
        self._shares = get_shares(weights)
        self._total = total
        self._logged &= {job.name for job in waiting}
        above = self.find_above_share(get_used)
        if above:
            self._log_waiting(waiting, above, get_used)

    def find_above_share(
        self, get_used: GetUsed
    ) -> frozenset[ids.OrganisationId]:
        """Return the organisations that now use more than their share."""
        return find_above_share(self._shares, get_used, self._total)

    def _log_waiting(
        self,
        waiting: Iterable[WaitingJob],
        above: frozenset[ids.OrganisationId],
        get_used: GetUsed,
    ) -> None:
        lines = 0
        for job in waiting:
            if job.organisation not in above or job.name in self._logged:
                continue
            if lines == MAX_LINES_PER_UPDATE:
                return
            lines += 1
            self._logged.add(job.name)
            used = get_used(job.organisation)
            LOG.info(
                logs.format_event(
                    'job_behind_others',
                    job=job.name,
                    organisation=job.organisation,
                    pool=job.pool,
                    used_share=shares.get_dominant_share(used, self._total),
                    share=self._shares[job.organisation],
                    organisations=len(self._shares),
                )
            )
