"""Drain, overload and probation of workers."""

import functools
from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import job_calls
from orioleshore.fleet import job_core
from orioleshore.fleet import job_placing
from orioleshore.fleet import pressure
from orioleshore.fleet import timer_queue
from orioleshore.fleet import workers
from orioleshore.model import ids
from orioleshore.model import states


def checkpoint_draining_tasks(
    core: job_core.JobCore, worker: workers.Worker, now: float
) -> None:
    """Checkpoint tasks of a draining worker that will not end soon."""
    if worker.state is not states.HostState.DRAINING:
        return
    has_finishing_tasks = False
    for name in list(worker.tasks):
        task = core.tasks.get(name)
        if task is None:
            continue
        if 0 < task.expected_end - now <= job_core.DRAIN_FINISH_S:
            has_finishing_tasks = True
            continue
        job_calls.evict_task(core, task, events.CallKind.CHECKPOINT_TASK, now)
        core.journal.record_job_decision(
            name,
            f'attempt {task.attempt} is checkpointed',
            {'worker': worker.name},
            'its worker drains and the task would run on for long',
        )
    if has_finishing_tasks:
        core.timers.add(
            now + job_core.DRAIN_FINISH_S,
            timer_queue.TimerKind.CHECK_DRAIN,
            worker.name,
        )


def handle_host_report(
    core: job_core.JobCore, event: events.HostReported, now: float
) -> None:
    """Update reachability from a report, and relieve an overloaded worker."""
    is_up = event.state is events.ReportedState.UP
    has_changed = core.worker_table.set_reachable(event.host, is_up)
    worker = core.worker_table.get(event.host)
    if worker is None:
        return
    if has_changed and is_up:
        job_placing.reopen_worker(core, event.host, now)
    running = [core.tasks[name] for name in worker.tasks if name in core.tasks]
    usage = workers.Size(event.cores_used, event.memory_used_gb)
    step = core.pressure.get_next_step(worker, usage, running, now)
    if step is not None:
        _apply_step(step, core, now)


def begin_probation(
    core: job_core.JobCore, name: ids.HostId, now: float
) -> None:
    """Let a worker whose suspension has ended run one task."""
    if not core.faults.is_suspended(name):
        return
    worker = core.worker_table.get(name)
    if worker is None:
        return
    core.faults.begin_probation(name)
    core.worker_table.set_health(
        name, is_suspended=False, is_on_probation=True
    )
    core.journal.record_decision(
        'host',
        name,
        'gets one task on probation',
        {},
        'the suspension has ended',
        'one success reinstates the worker',
    )
    job_placing.place_pool_jobs(core, worker.pool, now)


@functools.singledispatch
def _apply_step(step: Any, core: job_core.JobCore, now: float) -> None:
    raise TypeError(f'unknown step {type(step).__name__}')


@_apply_step.register
def _(step: pressure.Throttle, core: job_core.JobCore, now: float) -> None:
    call = job_calls.build_task_call(
        core,
        events.CallKind.THROTTLE_TASK,
        step.task,
        {'cores': step.cores},
        int(now),
    )
    job_calls.send_call(core, call, step.task, now)
    core.journal.record_job_decision(
        step.task.job,
        f'attempt {step.task.attempt} is limited to {step.cores:g} cores',
        {'worker': step.task.worker},
        'its worker uses more than it has',
    )


@_apply_step.register
def _(step: pressure.Evict, core: job_core.JobCore, now: float) -> None:
    job_calls.evict_task(core, step.task, step.kind, now)
    core.journal.record_job_decision(
        step.task.job,
        f'attempt {step.task.attempt}: {step.kind.value}',
        {'worker': step.task.worker},
        'its worker uses more than it has; the cheapest task leaves',
    )


@_apply_step.register
def _(step: pressure.KeepAll, core: job_core.JobCore, now: float) -> None:
    core.journal.record_decision(
        'host',
        step.worker,
        'keeps its tasks although it is overfull',
        {},
        'none of its tasks may be stopped without harm',
        'the end of a task',
    )
