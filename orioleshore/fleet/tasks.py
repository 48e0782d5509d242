"""Tasks that run on workers, their leases and the calls about them."""

import math
from typing import Any

import msgspec

from orioleshore.fleet import events
from orioleshore.fleet import workers
from orioleshore.model import ids

# A lease exceeds the expected run time by this factor, so that most tasks
# end without a renewal.
LEASE_RUN_TIME_FACTOR = 1.5
MIN_LEASE_S = 60.0
MAX_LEASE_S = 600.0
# Fraction of a lease that remains when it is renewed.
RENEWAL_FRACTION = 0.25


class Task(msgspec.Struct):
    """One attempt of a job that may run; times are wall times in seconds.

    ``is_resumed`` is true if it continues from a checkpoint.
    """

    job: ids.JobId
    attempt: ids.Attempt
    worker: ids.HostId
    pool: ids.PoolId
    team: ids.TeamId
    job_class: ids.JobClass
    size: workers.Size
    started: float
    lease_until: float
    idempotent: bool
    urgent: bool
    run_time_s: float
    is_resumed: bool = False
    is_confirmed: bool = False
    last_contact: float = 0.0
    renew_at: float = 0.0
    peak_cores: float = 0.0
    peak_memory_gb: float = 0.0
    cores_used: float = 0.0
    # The strongest eviction that was requested, None without a request.
    eviction: events.CallKind | None = None
    calls: dict[ids.CallId, None] = {}

    @property
    def expected_end(self) -> float:
        return self.started + self.run_time_s


def get_lease_s(run_time_s: float) -> float:
    """Return the length of a first lease for an expected run time."""
    return min(
        MAX_LEASE_S, max(MIN_LEASE_S, LEASE_RUN_TIME_FACTOR * run_time_s)
    )


def get_renewed_lease_s(run_time_s: float) -> float:
    """Return the length of a renewed lease.

    It is rounded up to whole minutes, so that one command can renew many
    attempts.
    """
    return math.ceil(get_lease_s(run_time_s) / MIN_LEASE_S) * MIN_LEASE_S


def get_renewal_time(task: Task, now: float) -> float:
    """Return when the lease of a task is to be renewed."""
    left = task.lease_until - now
    return task.lease_until - RENEWAL_FRACTION * left


def build_call(
    kind: events.CallKind,
    task: Task,
    epoch: ids.Epoch,
    host_epoch: ids.Epoch,
    parameters: dict[str, Any],
    number: int = 0,
) -> events.CallPlatform:
    """Return a call about a task; ``number`` makes repeated kinds unique."""
    call = get_call_id(kind, task)
    if number:
        call = ids.CallId(f'{call}/{number}')
    return events.CallPlatform(
        call,
        kind,
        task.worker,
        epoch,
        host_epoch,
        task.job,
        task.attempt,
        parameters,
    )


def get_start_call_id(task: Task) -> ids.CallId:
    """Return the id of the call that starts a task."""
    return get_call_id(events.CallKind.START_TASK, task)


def get_call_id(kind: events.CallKind, task: Task) -> ids.CallId:
    """Return the id of the first call of a kind about a task."""
    return ids.CallId(f'{kind.value}/{task.job}/{task.attempt}')
