"""Organisations: whose key a call carries, and what each has running.

Answers organisations that together ask for more than there is. Whatever an
organisation has running, over all pools, stays within its limit: a start that
would exceed it waits until other runs have ended.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from orioleshore.jobs import ledger
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.quotas import shares

NO_ORGANISATION = ids.OrganisationId('')
# Room of an organisation in a kind of resource without a limit.
UNLIMITED = 2**53

Holdings = Mapping[ids.OrganisationId, specs.Resources]


class Directory:
    """The organisations of one configuration, by name and by key."""

    def __init__(self, configuration: specs.Configuration) -> None:
        self.version = configuration.version
        self._by_name = {
            organisation.name: organisation
            for organisation in configuration.organisations
        }
        self._by_key = {
            key: organisation.name
            for organisation in configuration.organisations
            for key in organisation.keys
        }

    def find_by_key(self, key: ids.ApiKey) -> ids.OrganisationId | None:
        """Return the organisation that holds a key, None if there is none."""
        return self._by_key.get(key)

    def get_weight(self, name: ids.OrganisationId) -> float:
        """Return the weight of an organisation, 1 if it is not listed."""
        organisation = self._by_name.get(name)
        return organisation.weight if organisation else 1.0

    def get_limit(self, name: ids.OrganisationId) -> specs.Resources:
        """Return the limit of an organisation; 0 stands for no limit."""
        organisation = self._by_name.get(name)
        return organisation.limit if organisation else specs.Resources()


class Usage:
    """What each organisation has running, by the worker that runs it.

    The figures of a worker are replaced as a whole by each of its reports,
    so an error in one of them does not last.
    """

    def __init__(self) -> None:
        self._by_worker: dict[ids.WorkerId, dict] = {}
        self._totals: shares.UsageTotals[
            ids.OrganisationId, specs.Resources
        ] = shares.UsageTotals(specs.Resources())

    def get_used(self, name: ids.OrganisationId) -> specs.Resources:
        """Return the resources of everything that may be running."""
        return self._totals.get_used(name)

    def get_room(
        self, name: ids.OrganisationId, limit: specs.Resources
    ) -> specs.Resources:
        """Return how much more an organisation may start.

        Figures without a limit are UNLIMITED; none is negative.
        """
        used = self.get_used(name)
        return specs.Resources(
            *(
                max(0, bound - present) if bound else UNLIMITED
                for bound, present in zip(
                    msgspec.structs.astuple(limit),
                    msgspec.structs.astuple(used),
                    strict=True,
                )
            )
        )

    def get_weighted_share(
        self, name: ids.OrganisationId, weight: float, total: specs.Resources
    ) -> float:
        """Return the dominant share of the total per unit of weight.

        ``total`` is the capacity of all workers. The organisation with the
        lowest value is served next when all workers are full.
        """
        return shares.get_weighted_share(self.get_used(name), total, weight)

    def set_worker(self, worker: ids.WorkerId, holdings: Holdings) -> None:
        """Replace what a worker runs for each organisation."""
        old = self._by_worker.pop(worker, {})
        if holdings:
            self._by_worker[worker] = dict(holdings)
        for name, need in old.items():
            self._totals.refund(name, need)
        for name, need in holdings.items():
            self._totals.charge(name, need)

    def charge(
        self,
        worker: ids.WorkerId,
        name: ids.OrganisationId,
        need: specs.Resources,
    ) -> None:
        """Add a run that a worker was ordered to start."""
        held = self._by_worker.setdefault(worker, {})
        held[name] = held.get(name, specs.Resources()).plus(need)
        self._totals.charge(name, need)

    def keep_workers(self, names: Container[ids.WorkerId]) -> None:
        """Forget all workers but those named."""
        for worker in list(self._by_worker):
            if worker not in names:
                self.drop_worker(worker)

    def drop_worker(self, worker: ids.WorkerId) -> None:
        """Forget a worker that has ended, and with it all that it ran."""
        self.set_worker(worker, {})


def list_holdings(
    worker: workers.Worker, jobs: Mapping[ids.JobId, ledger.JobRecord]
) -> dict[ids.OrganisationId, specs.Resources]:
    """Return what a worker runs, or has reserved, for each organisation."""
    held = [key[:2] for key in worker.listed.keys() | worker.ordered.keys()]
    holdings = []
    for name, task in [*held, *worker.reserved]:
        record = jobs.get(name)
        if record is None:
            continue
        _, position, _ = specs.parse_task_name(task)
        if position < len(record.job.steps):
            need = record.job.steps[position].need
            holdings.append((record.organisation, need))
    return sum_holdings(holdings)


def list_logged_holdings(
    jobs: Mapping[ids.JobId, ledger.JobRecord], lease_s: float
) -> dict[ids.WorkerId, dict[ids.OrganisationId, specs.Resources]]:
    """Return what may be running by the log, for a new leader.

    Runs of a job that has ended are stopped by the answers to heartbeats, so
    they may go on until their lease ends. ``lease_s`` is the longest lease
    in seconds. Ends are compared with the newest one, since the clocks of two
    leaders may differ.
    """
    newest = max((record.ended_at for record in jobs.values()), default=0.0)
    found: dict[ids.WorkerId, list] = {}
    for record in jobs.values():
        if record.is_ended and record.ended_at >= newest - lease_s:
            for worker, need in record.left_running:
                found.setdefault(worker, []).append(
                    (record.organisation, need)
                )
        for task, run in record.tasks.items():
            if run.stage is states.RunStage.RUNNING:
                _, position, _ = specs.parse_task_name(task)
                need = record.job.steps[position].need
                found.setdefault(run.worker, []).append(
                    (record.organisation, need)
                )
    return {worker: sum_holdings(items) for worker, items in found.items()}


def sum_holdings(
    items: Iterable[tuple[ids.OrganisationId, specs.Resources]],
) -> dict[ids.OrganisationId, specs.Resources]:
    """Return the total of each organisation."""
    totals: dict[ids.OrganisationId, specs.Resources] = {}
    for name, need in items:
        totals[name] = totals.get(name, specs.Resources()).plus(need)
    return totals
