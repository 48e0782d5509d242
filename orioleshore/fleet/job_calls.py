"""Calls to the platform about tasks, and what their answers confirm."""

from typing import Any

from orioleshore.fleet import calls
from orioleshore.fleet import events
from orioleshore.fleet import job_core
from orioleshore.fleet import job_placing
from orioleshore.fleet import tasks
from orioleshore.model import ids


def build_task_call(
    core: job_core.JobCore,
    kind: events.CallKind,
    task: tasks.Task,
    parameters: dict[str, Any],
    number: int = 0,
) -> events.CallPlatform:
    worker = core.worker_table.get(task.worker)
    host_epoch = ids.Epoch(0) if worker is None else worker.epoch
    return tasks.build_call(
        kind, task, core.epoch, host_epoch, parameters, number
    )


def send_call(
    core: job_core.JobCore,
    call: events.CallPlatform,
    task: tasks.Task,
    now: float,
) -> None:
    if core.calls.open_call(call, task, now + calls.REPEAT_INTERVAL_S):
        core.actions.append(call)


def evict_task(
    core: job_core.JobCore, task: tasks.Task, kind: events.CallKind, now: float
) -> None:
    """Ask a task to leave; a stronger request replaces a weaker one."""
    if job_core.EVICTION_ORDER[kind] <= job_core.EVICTION_ORDER[task.eviction]:
        return
    task.eviction = kind
    # A task that leaves must not be started by a repeated call.
    if kind is events.CallKind.STOP_TASK:
        core.calls.close_start_call(task)
    if core.worker_table.get(task.worker) is not None:
        core.worker_table.reserve(task.worker, task.job, task.size, False)
    send_call(core, build_task_call(core, kind, task, {}), task, now)


def repeat_open_call(
    core: job_core.JobCore, name: ids.CallId, now: float
) -> None:
    call = core.calls.get(name)
    if call is None:
        return
    if core.calls.repeat_call(name, now) is not None:
        core.actions.append(call)
    task = core.tasks[call.job]
    silent = (
        now - max(task.started, task.last_contact) >= job_core.START_TIMEOUT_S
    )
    if call.kind is events.CallKind.START_TASK and silent:
        mark_unreachable(core, task.worker)


def mark_unreachable(core: job_core.JobCore, worker: ids.HostId) -> None:
    if core.worker_table.set_reachable(worker, False):
        core.journal.record(
            'host',
            worker,
            'gets no new tasks',
            {'limit_s': job_core.START_TIMEOUT_S},
            'a worker that does not answer is passed over',
            'any report or answer from the worker',
        )


def record_contact(
    core: job_core.JobCore, task: tasks.Task, now: float
) -> None:
    task.last_contact = now
    if core.worker_table.set_reachable(task.worker, True):
        job_placing.reopen_worker(core, task.worker, now)


def confirm_task(core: job_core.JobCore, task: tasks.Task, now: float) -> None:
    task.is_confirmed = True
    core.calls.close_start_call(task)
    record_contact(core, task, now)
