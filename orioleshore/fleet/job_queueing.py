"""Queueing of waiting jobs, and proposals to place them."""

from orioleshore.fleet import events
from orioleshore.fleet import job_core
from orioleshore.fleet import placement
from orioleshore.fleet import tasks
from orioleshore.fleet import timer_queue
from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import job_commands


def enqueue_job(core: job_core.JobCore, name: ids.JobId, now: float) -> None:
    """Queue a waiting job, after a backoff if an attempt failed."""
    job = core.jobs.get(name)
    if job is None or name in core.pending_placements or name in core.claims:
        return
    queue = core.queues.setdefault(job.pool, placement.JobQueue())
    if name in queue or name in core.delayed_jobs:
        return
    delay_s = get_retry_delay(core, name)
    if delay_s:
        core.delayed_jobs.add(name)
        core.timers.add(now + delay_s, timer_queue.TimerKind.END_DELAY, name)
        return
    push_job(core, queue, job, now)


def get_retry_delay(core: job_core.JobCore, name: ids.JobId) -> float:
    """Return the backoff of a job in seconds, 0 without a failure."""
    failures = len(core.faults.get_failed_workers(name))
    attempts = core.state.jobs[name].attempts
    not_started = states.TaskResult.NOT_STARTED
    if attempts and attempts[-1].result is not_started:
        failures += 1
    if not failures:
        return 0.0
    return min(
        job_core.MAX_RETRY_DELAY_S,
        job_core.RETRY_DELAY_S * 2.0 ** (failures - 1),
    )


def push_job(
    core: job_core.JobCore,
    queue: placement.JobQueue,
    job: documents.Job,
    now: float,
) -> None:
    """Add a job to a queue, and check its deadline."""
    run_time_s = core.estimator.get_run_time(job)
    if job.deadline is not None:
        queue_wait_s = queue.priority_core_s / max(
            1.0, core.worker_table.get_capacity(job.pool).cores
        )
        if now + queue_wait_s + run_time_s > job.deadline:
            core.journal.record_deadline_miss(job, queue_wait_s, run_time_s)
        else:
            core.timers.add(
                job.deadline - run_time_s,
                timer_queue.TimerKind.CHECK_DEADLINE,
                job.name,
            )
    queue.push(job, core.estimator.get_size(job).cores * run_time_s)


def dequeue_job(core: job_core.JobCore, job: documents.Job) -> None:
    """Remove a job from its queue, and cancel its backoff."""
    queue = core.queues.get(job.pool)
    if queue is not None:
        queue.remove(job.name)
    core.delayed_jobs.discard(job.name)
    core.journal.clear_subject('deadline', job.name)


def unpark_team(core: job_core.JobCore, team: ids.TeamId, now: float) -> None:
    """Consider the jobs of a team again that waited for quota."""
    for pool, queue in core.queues.items():
        if queue.unpark(team):
            schedule_placement(core, pool, now)


def schedule_placement(
    core: job_core.JobCore, pool: ids.PoolId, now: float
) -> None:
    """Place the jobs of a pool at the next tick."""
    if pool in core.deferred_pools:
        return
    core.deferred_pools.add(pool)
    core.timers.add(now, timer_queue.TimerKind.PLACE, pool)


def schedule_retry(
    core: job_core.JobCore, name: ids.JobId, now: float
) -> None:
    """Queue a job again later, in case the proposal has no outcome."""
    core.delayed_jobs.add(name)
    core.timers.add(
        now + job_core.PROPOSAL_TIMEOUT_S,
        timer_queue.TimerKind.END_DELAY,
        name,
    )


def propose_placement(
    core: job_core.JobCore,
    job: documents.Job,
    worker: ids.HostId,
    size: workers.Size,
    now: float,
) -> None:
    """Reserve capacity and quota, and propose to place a job."""
    attempt = job_commands.get_next_attempt(core.state.jobs[job.name])
    core.pending_placements[job.name] = job_core.PendingPlacement(
        attempt, worker, job.team, size
    )
    core.worker_table.reserve(worker, job.name, size, False)
    core.ledger.charge(job.team, size)
    core.timers.add(
        now + job_core.PROPOSAL_TIMEOUT_S,
        timer_queue.TimerKind.END_PROPOSAL,
        job.name,
        attempt,
    )
    lease_s = tasks.get_lease_s(core.estimator.get_run_time(job))
    core.actions.append(
        events.Propose(
            commands.PlaceTask(
                time=ids.WallTime(now),
                job=job.name,
                attempt=attempt,
                worker=worker,
                epoch=core.epoch,
                lease_until=ids.WallTime(now + lease_s),
                cores=size.cores,
                memory_gb=size.memory_gb,
                accelerators=size.accelerators,
            )
        )
    )
    core.journal.record_job_decision(
        job.name,
        f'attempt {attempt} placed on {worker}',
        {
            'cores': round(size.cores, 2),
            'memory_gb': round(size.memory_gb, 2),
            'share': round(core.ledger.get_share(job.team), 3),
        },
        'urgent work first, then deadlines, then the smallest share',
    )


def undo_placement(core: job_core.JobCore, name: ids.JobId) -> None:
    """Release the capacity and quota of a proposed placement."""
    placing = core.pending_placements.pop(name, None)
    if placing is None:
        return
    core.worker_table.release(placing.worker, name)
    core.ledger.refund(placing.team, placing.size)


def quarantine_oversized_job(
    core: job_core.JobCore,
    queue: placement.JobQueue,
    job: documents.Job,
    size: workers.Size,
    now: float,
) -> bool:
    """Propose quarantine for a job that is too large for any worker."""
    queue.remove(job.name)
    reason = (
        f'fits no worker of pool {job.pool}: {size.cores:g} cores, '
        f'{size.memory_gb:g} GB, {size.accelerators} accelerators'
    )
    core.actions.append(
        events.Propose(
            commands.QuarantineJob(
                time=ids.WallTime(now), job=job.name, reason=reason
            )
        )
    )
    schedule_retry(core, job.name, now)
    return True
