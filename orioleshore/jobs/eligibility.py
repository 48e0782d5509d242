"""Which workers may take tasks at all."""

from __future__ import annotations

import typing

from orioleshore.jobs import progress
from orioleshore.jobs import workers
from orioleshore.model import states

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

# Ends in a row without success after which a worker is tried with one
# task at a time: a job of its own fault fails on other workers too.
SUSPECT_FAILURE_COUNT = 3
# A worker that is silent for this long is not waited for; workers with
# room report every 0.1 s.
MAX_SILENCE_S = 0.4


def is_allowed(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    """Return whether label and policy let a worker run a step."""
    label = group.step.required_label
    if label and label not in worker.labels:
        return False
    return scheduler.approvals.get_ticket(worker, job, group) is not None


def is_available(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> bool:
    """Return whether a worker can be expected to take tasks soon."""
    return (
        worker.state is states.WorkerState.READY
        and not worker.is_cordoned
        and worker.consecutive_failures < SUSPECT_FAILURE_COUNT
        and scheduler.now < worker.last_heartbeat_at + MAX_SILENCE_S
    )
