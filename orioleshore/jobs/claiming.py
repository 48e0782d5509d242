"""Choice of the task of a step that a worker starts next.

Answers steps of many tasks of which some may not start on a worker now: only a
few are looked at, and those passed over go behind the others.
"""

from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import workers

# Pause before a failed task is started again on the worker on which it
# failed. Other workers take it at once; a faulty worker that alone may run it
# would use up all its attempts before it has recovered.
RETRY_SAME_WORKER_S = 2.0
# Requeued tasks of a step, and new ones, of which one may be claimed; others
# wait for the next claim.
MAX_CLAIM_LOOKS = 32


def claim_task(
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
    now: float,
) -> int | None:
    """Remove and return the first waiting task that may start on a worker.

    ``now`` is a monotonic time in seconds. Those passed over go behind the
    others, so that the next claim looks at further ones.
    """
    for index in group.waiting.iterate_candidates(MAX_CLAIM_LOOKS):
        task = specs.make_task_name(group.occurrence, group.position, index)
        run = job.record.tasks.get(task)
        is_suspect = run is not None and run.is_suspect
        if is_suspect or _has_failed_here(worker, job, (job.name, task), now):
            group.waiting.defer(index)
            continue
        group.waiting.remove(index)
        return index
    return None


def _has_failed_here(
    worker: workers.Worker,
    job: progress.JobProgress,
    task: workers.TaskKey,
    now: float,
) -> bool:
    """Return whether a task's last attempt has just failed on a worker.

    A new leader does not know when, and counts from the worker's first report
    to it.
    """
    run = job.record.tasks.get(task[1])
    if run is None or not run.failures:
        return False
    if workers.WorkerKey(run.worker, run.incarnation) != worker.key:
        return False
    failed_at = worker.failed_at.get(task, worker.found_at)
    return now < failed_at + RETRY_SAME_WORKER_S
