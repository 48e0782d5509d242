"""Placement of the waiting jobs of a pool."""

from orioleshore.fleet import job_core
from orioleshore.fleet import job_preemption
from orioleshore.fleet import job_queueing
from orioleshore.fleet import placement
from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids


def place_pool_jobs(
    core: job_core.JobCore, pool: ids.PoolId, now: float
) -> None:
    """Place waiting jobs of a pool, in order, within the work limits."""
    queue = core.queues.get(pool)
    if queue is None:
        return
    skipped: list[documents.Job] = []
    unplaceable: list[workers.Size] = []
    while core.placements_left and len(skipped) < job_core.MAX_SKIPPED_JOBS:
        job = queue.pop(core.ledger)
        if job is None:
            break
        if place_job(core, queue, job, unplaceable, now):
            core.placements_left -= 1
        elif job.name in queue:
            skipped.append(job)
    for job in skipped:
        queue.put_back(job.name)
    if not core.placements_left:
        job_queueing.schedule_placement(core, pool, now)


def place_job(
    core: job_core.JobCore,
    queue: placement.JobQueue,
    job: documents.Job,
    unplaceable: list[workers.Size],
    now: float,
) -> bool:
    """Place a job, or act on the reason why it cannot be placed.

    Return False if the job must be put back and tried again later.
    ``unplaceable`` collects sizes that no worker can take now, so that
    jobs of at least such a size are not tried again in the same pass.
    """
    size = core.estimator.get_size(job)
    if not core.worker_table.can_fit(job.pool, size):
        return job_queueing.quarantine_oversized_job(
            core, queue, job, size, now
        )
    # Quota freed for an urgent job is reserved for it.
    if core.ledger.is_exceeded_by(job.team, size) or (
        queue.has_parked_urgent(job.team) and not job.urgent
    ):
        queue.park(job.name)
        core.journal.record_quota_wait(
            job, size, core.ledger.get_quota(job.team)
        )
        if job.urgent:
            job_preemption.reclaim_quota(core, job, size, now)
        return True
    if not job.urgent and any(other.fits(size) for other in unplaceable):
        core.journal.record_no_capacity(job, size)
        return False
    excluded = core.faults.get_failed_workers(job.name)
    if excluded and not core.worker_table.can_fit(job.pool, size, excluded):
        # The job failed on every worker that is large enough.
        excluded = frozenset()
    worker = core.worker_table.find_free(
        job.pool, size, excluded, exclude_probation=not job.idempotent
    )
    if worker is not None:
        queue.remove(job.name)
        job_queueing.propose_placement(core, job, worker, size, now)
        return True
    if job.urgent and job_preemption.preempt_tasks(
        core, job, size, excluded, now
    ):
        queue.remove(job.name)
        return True
    if not excluded:
        unplaceable.append(size)
    core.journal.record_no_capacity(job, size)
    return False


def abandon_preemption(
    core: job_core.JobCore, name: ids.JobId, now: float
) -> None:
    """Release a claim; another worker is tried for the urgent job."""
    claim = core.claims.get(name)
    if claim is None:
        return
    job_preemption.release_claim(core, name)
    failed = core.failed_preemptions.get(name, frozenset())
    core.failed_preemptions[name] = failed | {claim.worker}
    job_queueing.enqueue_job(core, name, now)
    place_pool_jobs(core, core.jobs[name].pool, now)


def reopen_worker(
    core: job_core.JobCore, worker: ids.HostId, now: float
) -> None:
    """Place jobs on a worker that is reachable again."""
    core.journal.clear_subject('host', worker)
    place_pool_jobs(core, core.worker_table.get(worker).pool, now)
