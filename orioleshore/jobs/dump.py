"""Dump of the scheduler's state, for operators."""

from typing import Any

import msgspec

from orioleshore.jobs import organisation_status
from orioleshore.jobs import scheduler as scheduling


def build_dump(scheduler: scheduling.Scheduler | None) -> dict[str, Any]:
    """Return the state of a scheduler; None stands for no leadership."""
    if scheduler is None:
        return {'leads': False}
    return {
        'leads': True,
        'epoch': scheduler.epoch,
        'workers': msgspec.to_builtins(
            list(scheduler.workers.values()), str_keys=True
        ),
        'ledger': organisation_status.dump_ledger(scheduler.ledger),
        'organisations': organisation_status.describe_organisations(scheduler),
    }
