"""Preemption of tasks in favour of urgent jobs."""

from orioleshore.fleet import events
from orioleshore.fleet import job_calls
from orioleshore.fleet import job_core
from orioleshore.fleet import job_placing
from orioleshore.fleet import job_queueing
from orioleshore.fleet import placement
from orioleshore.fleet import tasks
from orioleshore.fleet import timer_queue
from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids


def preempt_tasks(
    core: job_core.JobCore,
    job: documents.Job,
    size: workers.Size,
    excluded: frozenset[ids.HostId],
    now: float,
) -> bool:
    """Claim a worker for an urgent job, and preempt tasks on it.

    Return False if no worker has enough preemptible tasks.
    """
    excluded |= core.failed_preemptions.get(job.name, frozenset())
    name = core.worker_table.find_reclaimable(job.pool, size, excluded)
    if name is None:
        return False
    worker = core.worker_table.get(name)
    candidates = [
        core.tasks[other]
        for other, held in worker.tasks.items()
        if held.is_preemptible
    ]
    victims = placement.select_victims(
        candidates, size.minus(worker.free), now
    )
    if not victims:
        return False
    core.claims[job.name] = job_core.PreemptionClaim(name, size)
    core.claims_by_worker.setdefault(name, {})[job.name] = None
    core.worker_table.reserve(name, job.name, size, False)
    core.timers.add(
        now + job_core.PREEMPTION_TIMEOUT_S,
        timer_queue.TimerKind.END_PREEMPTION,
        job.name,
    )
    evict_victims(core, victims, job, now)
    core.journal.record_job_decision(
        job.name,
        f'waits for room on {name}',
        {'tasks_leaving': len(victims)},
        'no free room, so other tasks are checkpointed',
    )
    return True


def evict_victims(
    core: job_core.JobCore,
    victims: list[tasks.Task],
    job: documents.Job,
    now: float,
) -> None:
    """Request checkpoints of tasks, with a time limit."""
    for victim in victims:
        job_calls.evict_task(
            core, victim, events.CallKind.CHECKPOINT_TASK, now
        )
        core.timers.add(
            now + job_core.CHECKPOINT_TIMEOUT_S,
            timer_queue.TimerKind.END_CHECKPOINT,
            victim.job,
            victim.attempt,
        )
        core.journal.record_job_decision(
            victim.job,
            f'attempt {victim.attempt} gives way',
            {'to': job.name, 'worker': victim.worker},
            'urgent work starts at once; the cheapest tasks leave',
        )


def handle_checkpoint_timeout(
    core: job_core.JobCore, entry: timer_queue.Entry, now: float
) -> None:
    """Stop a task without a checkpoint in time if it is idempotent."""
    task = core.tasks.get(ids.JobId(entry.subject))
    if task is None or task.attempt != entry.attempt:
        return
    if not core.calls.is_answered(task, events.CallKind.CHECKPOINT_TASK):
        # The worker does not answer, so urgent jobs try another one.
        job_calls.mark_unreachable(core, task.worker)
        for name in list(core.claims_by_worker.get(task.worker, ())):
            job_placing.abandon_preemption(core, name, now)
        return
    if task.idempotent:
        job_calls.evict_task(core, task, events.CallKind.STOP_TASK, now)


def reclaim_quota(
    core: job_core.JobCore, job: documents.Job, size: workers.Size, now: float
) -> None:
    """Preempt tasks of the team to free quota for its urgent job."""
    candidates = [
        core.tasks[name]
        for name in core.team_tasks.get(job.team, ())
        if not core.tasks[name].urgent
    ]
    leaving = workers.Size()
    for task in candidates:
        if task.eviction is not None:
            leaving = leaving.plus(task.size)
    missing = core.ledger.get_excess(job.team, size).minus(leaving)
    staying = [task for task in candidates if task.eviction is None]
    victims = placement.select_victims(staying, missing, now)
    evict_victims(core, victims, job, now)


def release_claim(core: job_core.JobCore, name: ids.JobId) -> None:
    """Release the capacity that is claimed for an urgent job."""
    claim = core.claims.pop(name, None)
    if claim is None:
        return
    core.claims_by_worker[claim.worker].pop(name)
    if not core.claims_by_worker[claim.worker]:
        del core.claims_by_worker[claim.worker]
    core.worker_table.release(claim.worker, name)


def fulfil_claims(
    core: job_core.JobCore, worker_name: ids.HostId, now: float
) -> None:
    """Place the urgent jobs that claim a worker if it has capacity."""
    for name in list(core.claims_by_worker.get(worker_name, ())):
        worker = core.worker_table.get(worker_name)
        if not workers.Size().fits(worker.free):
            return
        claim = core.claims[name]
        job = core.jobs[name]
        release_claim(core, name)
        if not worker.is_open or core.ledger.is_exceeded_by(
            job.team, claim.size
        ):
            job_queueing.enqueue_job(core, name, now)
            job_queueing.schedule_placement(core, job.pool, now)
            continue
        job_queueing.propose_placement(core, job, worker_name, claim.size, now)
