"""Which other workers could take a task that a worker gives up.

Answers tasks that wait for workers that may not run them: before a worker
leaves a task to others, or its host goes away, the label, the policy and the
capacity of another worker have to allow it to run the task.
"""

from __future__ import annotations

import itertools
import typing

from orioleshore.jobs import eligibility
from orioleshore.jobs import progress
from orioleshore.jobs import workers
from orioleshore.model import states

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling


def could_run(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> bool:
    """Return whether a worker could run a task of a step with all its room."""
    need = workers.get_reserved_resources(group.step)
    return (
        eligibility.may_become_allowed(scheduler, worker, job, group)
        and group.can_use_worker(worker.name)
        and workers.fits_into(need, worker.capacity)
    )


def find_others_with_room(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> list[workers.Worker]:
    """Return the other workers that could start a task of a step now."""
    need = workers.get_reserved_resources(group.step)
    return [
        other
        for other in scheduler.get_pool_workers(worker.pool)
        if other is not worker
        and eligibility.is_available(scheduler, other)
        and workers.fits_into(need, other.get_free_resources())
        and could_run(scheduler, other, job, group)
    ]


def find_only_worker(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    group: progress.Group,
) -> workers.Worker | None:
    """Return the worker that alone in its pool could run a step.

    Only labels and the policy service make workers differ so much that this
    is worth a look; None for other steps.
    """
    if not group.step.required_label and not job.record.needs_approval:
        return None
    candidates = (
        worker
        for worker in scheduler.get_pool_workers(job.record.pool)
        if worker.state is states.WorkerState.READY
        and could_run(scheduler, worker, job, group)
    )
    found = list(itertools.islice(candidates, 2))
    return found[0] if len(found) == 1 else None
