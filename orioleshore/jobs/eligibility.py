"""Which workers are eligible to run tasks."""

from __future__ import annotations

import typing

from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import states

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

# Consecutive failures after which a worker gets one task at a time. A job
# that is itself at fault fails on other workers as well.
SUSPECT_FAILURE_COUNT = 3
# A worker without a heartbeat for this long is not considered available if
# workers with free capacity report every 0.1 s. With many workers, they report
# less often, and it takes as much longer.
MAX_SILENCE_S = 0.4
MS_PER_S = 1_000.0


def has_required_label(worker: workers.Worker, step: specs.Step) -> bool:
    """Return whether a worker has the label that a step requires, if any."""
    return not step.required_label or step.required_label in worker.labels


def is_allowed(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    """Return whether label and policy allow a worker to run a step."""
    has_ticket = scheduler.approvals.get_ticket(worker, job, group) is not None
    return has_ticket and has_required_label(worker, group.step)


def may_become_allowed(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    """Return whether a worker may run a step, now or once it is approved."""
    is_refused = scheduler.approvals.is_refused(worker, job, group)
    return not is_refused and has_required_label(worker, group.step)


def get_heartbeat_interval_ms(scheduler: scheduling.Scheduler) -> float:
    """Return the interval at which workers with free capacity report."""
    limits = scheduler.limits
    per_worker_ms = MS_PER_S / limits.max_heartbeats_per_s
    shared_ms = len(scheduler.workers) * per_worker_ms
    return min(max(limits.idle_retry_ms, shared_ms), limits.heartbeat_ms)


def is_in_contact(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> bool:
    """Return whether a worker may get tasks with its next heartbeat."""
    interval_ms = get_heartbeat_interval_ms(scheduler)
    longer_ms = interval_ms - scheduler.limits.idle_retry_ms
    silence_s = scheduler.now - worker.last_heartbeat_at
    return (
        worker.state is states.WorkerState.READY
        and not worker.is_cordoned
        and scheduler.now >= worker.no_starts_until
        and silence_s < MAX_SILENCE_S + longer_ms / MS_PER_S
    )


def is_available(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> bool:
    """Return whether a worker is expected to accept tasks soon."""
    return (
        worker.consecutive_failures < SUSPECT_FAILURE_COUNT
        and is_in_contact(scheduler, worker)
    )
