"""Passes over the waiting jobs of a pool."""

from orioleshore.fleet import job_core
from orioleshore.fleet import job_preemption
from orioleshore.fleet import job_queueing
from orioleshore.fleet import placement
from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids


def place(core: job_core.JobCore, pool: ids.PoolId, now: float) -> None:
    """Place waiting jobs of a pool, in order, within bounds."""
    queue = core.queues.get(pool)
    if queue is None:
        return
    passed_over: list[documents.Job] = []
    too_large: list[workers.Size] = []
    while core.placements_left and len(passed_over) < job_core.MAX_PASSED_OVER:
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
        job_queueing.place_later(core, pool, now)


def place_job(
    core: job_core.JobCore,
    queue: placement.JobQueue,
    job: documents.Job,
    too_large: list[workers.Size],
    now: float,
) -> bool:
    """Return whether the job is placed, or leaves the queue."""
    size = core.learner.get_size(job)
    if not core.table.is_possible(job.pool, size):
        return job_queueing.refuse_size(core, queue, job, size, now)
    # Quota that tasks gave back for an urgent job is kept for it.
    if core.ledger.is_exceeded_by(job.team, size) or (
        queue.holds_urgent(job.team) and not job.urgent
    ):
        queue.park(job.name)
        core.journal.record_quota(job, size, core.ledger.get_quota(job.team))
        if job.urgent:
            job_preemption.reclaim_quota(core, job, size, now)
        return True
    if not job.urgent and any(known.fits(size) for known in too_large):
        core.journal.record_no_room(job, size)
        return False
    avoided = core.faults.get_failed_workers(job.name)
    if avoided and not core.table.is_possible(job.pool, size, avoided):
        # It failed on every worker that is large enough.
        avoided = frozenset()
    worker = core.table.find_free(
        job.pool, size, avoided, proven=not job.idempotent
    )
    if worker is not None:
        queue.remove(job.name)
        job_queueing.propose_placement(core, job, worker, size, now)
        return True
    if job.urgent and job_preemption.preempt(core, job, size, avoided, now):
        queue.remove(job.name)
        return True
    if not avoided:
        too_large.append(size)
    core.journal.record_no_room(job, size)
    return False


def end_preemption(
    core: job_core.JobCore, name: ids.JobId, now: float
) -> None:
    claim = core.claims.get(name)
    if claim is None:
        return
    job_preemption.drop_claim(core, name)
    known = core.unyielding.get(name, frozenset())
    core.unyielding[name] = known | {claim.worker}
    job_queueing.enqueue(core, name, now)
    place(core, core.jobs[name].pool, now)


def reopen(core: job_core.JobCore, worker: ids.HostId, now: float) -> None:
    core.journal.forget('host', worker)
    place(core, core.table.get(worker).pool, now)
