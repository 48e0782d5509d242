"""State of the scheduler as built-in types, for dumps."""

from __future__ import annotations

import typing
from typing import Any

import msgspec

from orioleshore.jobs import ledger
from orioleshore.jobs import organisation_status
from orioleshore.jobs import workers

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling


def build_dump(scheduler: scheduling.Scheduler | None) -> dict[str, Any]:
    """Return the state of a scheduler; None stands for no leadership."""
    if scheduler is None:
        return {'leads': False}
    return {
        'leads': True,
        'epoch': scheduler.epoch,
        'workers': [dump_worker(item) for item in scheduler.workers.values()],
        'ledger': dump_ledger(scheduler.ledger),
        'organisations': organisation_status.describe_organisations(scheduler),
    }


def dump_ledger(job_ledger: ledger.Ledger) -> Any:
    """Return a ledger as built-in types, without the keys of callers."""
    configuration = job_ledger.configuration
    public = msgspec.structs.replace(
        configuration,
        source=b'',
        organisations=tuple(
            msgspec.structs.replace(item, keys=())
            for item in configuration.organisations
        ),
    )
    return msgspec.to_builtins(
        msgspec.structs.replace(job_ledger, configuration=public)
    )


def dump_worker(worker: workers.Worker) -> dict[str, Any]:
    """Return a worker as built-in types.

    Runs and tasks as keys, and in sets, become their parts joined by dots.
    """
    fields = {name: getattr(worker, name) for name in worker.__struct_fields__}
    return {
        outer: msgspec.to_builtins(_join_keys(fields[name]), str_keys=True)
        for name, outer in zip(
            worker.__struct_fields__,
            worker.__struct_encode_fields__,
            strict=True,
        )
    }


def _join_keys(value: Any) -> Any:
    if isinstance(value, dict):
        return {_join(key): item for key, item in value.items()}
    if isinstance(value, set):
        return sorted(map(_join, value))
    return value


def _join(key: Any) -> str:
    return '.'.join(map(str, key)) if isinstance(key, tuple) else str(key)
