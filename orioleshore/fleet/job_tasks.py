"""Begin and end of tasks, and the attribution of their results."""

import functools
from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import fault_attribution
from orioleshore.fleet import job_calls
from orioleshore.fleet import job_core
from orioleshore.fleet import job_leases
from orioleshore.fleet import job_preemption
from orioleshore.fleet import job_queueing
from orioleshore.fleet import tasks
from orioleshore.fleet import timer_queue
from orioleshore.fleet import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import records


def begin_task(
    core: job_core.JobCore,
    name: ids.JobId,
    record: records.JobRecord,
    attempt: records.AttemptRecord,
    now: float,
) -> None:
    """Track a placed attempt, and start it on its worker."""
    placing = core.pending_placements.get(name)
    is_new = placing is not None and placing.attempt == attempt.number
    job_queueing.undo_placement(core, name)
    job_preemption.release_claim(core, name)
    task = build_task(core, name, record, attempt)
    core.tasks[name] = task
    # A host that was removed from the document has no capacity.
    if core.worker_table.get(task.worker) is not None:
        core.worker_table.reserve(
            task.worker, name, task.size, not task.urgent
        )
    core.ledger.charge(task.team, task.size)
    core.team_tasks.setdefault(task.team, {})[name] = None
    job_leases.schedule_renewal(core, task, now)
    job_leases.schedule_lease_end(core, task)
    call = job_calls.build_task_call(
        core,
        events.CallKind.START_TASK,
        task,
        {
            'cores': task.size.cores,
            'memory_gb': task.size.memory_gb,
            'accelerators': task.size.accelerators,
            'job_class': task.job_class,
            'lease_until': task.lease_until,
            'checkpoint': record.checkpoint,
        },
    )
    if is_new:
        job_calls.send_call(core, call, task, now)
        return
    core.calls.open_call(call, task, now + job_core.CONFIRMATION_TIME_S)


def build_task(
    core: job_core.JobCore,
    name: ids.JobId,
    record: records.JobRecord,
    attempt: records.AttemptRecord,
) -> tasks.Task:
    """Return the task of an attempt."""
    job = core.jobs.get(name)
    run_time_s = 0.0 if job is None else core.estimator.get_run_time(job)
    return tasks.Task(
        job=name,
        attempt=attempt.number,
        worker=attempt.worker,
        pool=record.pool,
        team=ids.TeamId('') if job is None else job.team,
        job_class=ids.JobClass('') if job is None else job.job_class,
        size=workers.Size(
            attempt.cores, attempt.memory_gb, attempt.accelerators
        ),
        started=attempt.started,
        lease_until=attempt.lease_until,
        idempotent=record.idempotent,
        urgent=job is not None and job.urgent,
        run_time_s=run_time_s,
        is_resumed=record.checkpoint > 0,
    )


def end_task(
    core: job_core.JobCore,
    task: tasks.Task,
    record: records.JobRecord | None,
    now: float,
) -> None:
    """Release what a task holds, and record its usage and its result."""
    del core.tasks[task.job]
    del core.team_tasks[task.team][task.job]
    core.proposed_results.pop(task.job, None)
    core.calls.close_task_calls(task)
    core.worker_table.release(task.worker, task.job)
    core.ledger.refund(task.team, task.size)
    core.estimator.add_usage(
        task.job_class, task.peak_cores, task.peak_memory_gb
    )
    result = _get_result(record, task.attempt)
    if result is states.TaskResult.SUCCEEDED and not task.is_resumed:
        core.estimator.add_run_time(task.job_class, now - task.started)
    if result is states.TaskResult.LOST:
        core.worker_table.set_reachable(task.worker, False)
    attribute_result(core, task.job, task.worker, result, now)
    core.journal.record_job_decision(
        task.job,
        f'attempt {task.attempt} ended: '
        + ('removed' if result is None else result.value),
        {'worker': task.worker},
        'as reported or after the end of the lease',
    )
    if task.job not in core.jobs:
        core.journal.clear_subject('job', task.job)
    job_queueing.unpark_team(core, task.team, now)
    job_preemption.fulfil_claims(core, task.worker, now)


def attribute_result(
    core: job_core.JobCore,
    job: ids.JobId,
    worker: ids.HostId,
    result: states.TaskResult | None,
    now: float,
) -> None:
    """Attribute a result to the job or the worker, and act on findings."""
    findings: list[fault_attribution.Finding] = []
    if result is states.TaskResult.SUCCEEDED:
        findings = core.faults.record_success(job, worker)
    elif result is states.TaskResult.FAILED:
        findings = core.faults.record_failure(job, worker)
    for finding in findings:
        _apply_finding(finding, core, now)


def _get_result(
    record: records.JobRecord | None, number: ids.Attempt
) -> states.TaskResult | None:
    if record is None:
        return None
    for attempt in reversed(record.attempts):
        if attempt.number == number:
            return attempt.result
    return None


@functools.singledispatch
def _apply_finding(finding: Any, core: job_core.JobCore, now: float) -> None:
    raise TypeError(f'unknown finding {type(finding).__name__}')


@_apply_finding.register
def _(
    finding: fault_attribution.SuspendWorker,
    core: job_core.JobCore,
    now: float,
) -> None:
    core.worker_table.set_health(
        finding.worker, is_suspended=True, is_on_probation=False
    )
    core.timers.add(
        now + finding.suspended_s,
        timer_queue.TimerKind.TRY_WORKER,
        finding.worker,
    )
    core.journal.record_decision(
        'host',
        finding.worker,
        'gets no more work',
        {'jobs': list(finding.jobs), 'suspended_s': finding.suspended_s},
        'it failed different jobs in a row',
        'the end of the suspension, or maintenance of the host',
    )


@_apply_finding.register
def _(
    finding: fault_attribution.ReinstateWorker,
    core: job_core.JobCore,
    now: float,
) -> None:
    core.worker_table.set_health(
        finding.worker, is_suspended=False, is_on_probation=False
    )
    core.journal.record_decision(
        'host',
        finding.worker,
        'takes work again',
        {},
        'a job succeeded on it, or the jobs that it failed are at fault',
    )


@_apply_finding.register
def _(
    finding: fault_attribution.JobAtFault, core: job_core.JobCore, now: float
) -> None:
    record = core.state.jobs.get(finding.job)
    if record is None or record.state is not states.JobState.WAITING:
        return
    job = core.jobs.get(finding.job)
    if job is not None:
        job_queueing.dequeue_job(core, job)
    core.actions.append(
        events.Propose(
            commands.QuarantineJob(
                time=ids.WallTime(now),
                job=finding.job,
                reason='failed on workers that run other work: '
                + ', '.join(finding.workers),
            )
        )
    )
    job_queueing.schedule_retry(core, finding.job, now)
