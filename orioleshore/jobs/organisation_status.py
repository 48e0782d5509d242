"""What operators see of organisations: usage, limits and held jobs."""

from __future__ import annotations

import collections
import typing
from typing import Any

import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import organisations
from orioleshore.jobs import specs
from orioleshore.model import ids

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling


def list_organisations(
    scheduler: scheduling.Scheduler,
) -> tuple[calls.OrganisationStatus, ...]:
    """Return the organisations of the configuration in force.

    Organisations that a newer version has dropped follow while they use
    anything; callers without a key count as one without a name.
    """
    held = scheduler.limit_holds.count_jobs()
    unfinished = collections.Counter(
        job.record.organisation for job in scheduler.jobs.values()
    )
    listed = [
        item.name for item in scheduler.ledger.configuration.organisations
    ]
    others = scheduler.usage.list_organisations() | unfinished.keys()
    total = get_total_capacity(scheduler)
    return tuple(
        _make_status(scheduler, name, unfinished[name], held[name], total)
        for name in (*listed, *sorted(others.difference(listed)))
    )


def describe_organisations(
    scheduler: scheduling.Scheduler,
) -> list[dict[str, Any]]:
    """Return the organisations as plain values, for dumps and metrics."""
    return msgspec.to_builtins(list(list_organisations(scheduler)))


def get_total_capacity(scheduler: scheduling.Scheduler) -> specs.Resources:
    """Return the capacity of all workers that report to this leader."""
    total = specs.Resources()
    for worker in scheduler.workers.values():
        total = total.plus(worker.capacity)
    return total


def _make_status(
    scheduler: scheduling.Scheduler,
    name: ids.OrganisationId,
    unfinished: int,
    held: int,
    total: specs.Resources,
) -> calls.OrganisationStatus:
    weight = scheduler.directory.get_weight(name)
    return calls.OrganisationStatus(
        name or organisations.UNNAMED,
        weight,
        scheduler.usage.get_used(name),
        scheduler.directory.get_limit(name),
        scheduler.usage.get_weighted_share(name, weight, total),
        unfinished,
        held,
    )
