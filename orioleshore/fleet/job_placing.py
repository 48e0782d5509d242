"""Passes over the waiting jobs of a pool."""

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
    """Place waiting jobs of a pool, in order, within bounds."""
    queue = core.queues.get(pool)
    if queue is None:
        return
    passed_over: list[documents.Job] = []
    too_large: list[workers.Size] = []
    while (
        core.placements_left and len(passed_over) < job_core.MAX_SKIPPED_JOBS
    ):
        job = queue.pop(core.ledger)
        if job is None:
            break
        if place_job(core, queue, job, too_large, now):
            core.placements_left -= 1
        elif job.name in queue:
            passed_over.append(job)
    for job in passed_over:
        queue.put_back(job.name)
    if not core.placements_left:
        job_queueing.schedule_placement(core, pool, now)


def place_job(
    core: job_core.JobCore,
    queue: placement.JobQueue,
    job: documents.Job,
    too_large: list[workers.Size],
    now: float,
) -> bool:
    """Return whether the job is placed, or leaves the queue."""
    size = core.estimator.get_size(job)
    if not core.worker_table.can_fit(job.pool, size):
        return job_queueing.quarantine_oversized_job(
            core, queue, job, size, now
        )
    # Quota that tasks gave back for an urgent job is kept for it.
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
    if not job.urgent and any(known.fits(size) for known in too_large):
        core.journal.record_no_room(job, size)
        return False
    avoided = core.faults.get_failed_workers(job.name)
    if avoided and not core.worker_table.can_fit(job.pool, size, avoided):
        # It failed on every worker that is large enough.
        avoided = frozenset()
    worker = core.worker_table.find_free(
        job.pool, size, avoided, exclude_probation=not job.idempotent
    )
    if worker is not None:
        queue.remove(job.name)
        job_queueing.propose_placement(core, job, worker, size, now)
        return True
    if job.urgent and job_preemption.preempt_tasks(
        core, job, size, avoided, now
    ):
        queue.remove(job.name)
        return True
    if not avoided:
        too_large.append(size)
    core.journal.record_no_room(job, size)
    return False


def abandon_preemption(
    core: job_core.JobCore, name: ids.JobId, now: float
) -> None:
    claim = core.claims.get(name)
    if claim is None:
        return
    job_preemption.release_claim(core, name)
    known = core.failed_preemptions.get(name, frozenset())
    core.failed_preemptions[name] = known | {claim.worker}
    job_queueing.enqueue_job(core, name, now)
    place_pool_jobs(core, core.jobs[name].pool, now)


def reopen_worker(
    core: job_core.JobCore, worker: ids.HostId, now: float
) -> None:
    core.journal.forget('host', worker)
    place_pool_jobs(core, core.worker_table.get(worker).pool, now)
