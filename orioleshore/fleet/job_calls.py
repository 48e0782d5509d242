"""Calls to the platform about tasks, and what their answers confirm."""

from typing import Any

from orioleshore.fleet import calls
from orioleshore.fleet import events
from orioleshore.fleet import job_core
from orioleshore.fleet import job_placing
from orioleshore.fleet import tasks
from orioleshore.model import ids


def build_call(
    core: job_core.JobCore,
    kind: events.CallKind,
    task: tasks.Task,
    parameters: dict[str, Any],
    number: int = 0,
) -> events.CallPlatform:
    worker = core.table.get(task.worker)
    host_epoch = ids.Epoch(0) if worker is None else worker.epoch
    return tasks.build_call(
        kind, task, core.epoch, host_epoch, parameters, number
    )


def send(
    core: job_core.JobCore,
    call: events.CallPlatform,
    task: tasks.Task,
    now: float,
) -> None:
    if core.calls.open(call, task, now + calls.REPEAT_S):
        core.actions.append(call)


def ask(
    core: job_core.JobCore, task: tasks.Task, kind: events.CallKind, now: float
) -> None:
    """Ask a task to leave; a stronger request replaces a weaker one."""
    if job_core.LEAVING_ORDER[kind] <= job_core.LEAVING_ORDER[task.leaving]:
        return
    task.leaving = kind
    # A task that leaves must not be started by a repeated call.
    if kind is events.CallKind.STOP_TASK:
        core.calls.close_start(task)
    if core.table.get(task.worker) is not None:
        core.table.reserve(task.worker, task.job, task.size, False)
    send(core, build_call(core, kind, task, {}), task, now)


def repeat_call(core: job_core.JobCore, name: ids.CallId, now: float) -> None:
    call = core.calls.get(name)
    if call is None:
        return
    if core.calls.repeat(name, now) is not None:
        core.actions.append(call)
    task = core.tasks[call.job]
    silent = (
        now - max(task.started, task.last_contact) >= job_core.START_LIMIT_S
    )
    if call.kind is events.CallKind.START_TASK and silent:
        close_worker(core, task.worker)


def close_worker(core: job_core.JobCore, worker: ids.HostId) -> None:
    if core.table.set_reachable(worker, False):
        core.journal.record(
            'host',
            worker,
            'gets no new tasks',
            {'limit_s': job_core.START_LIMIT_S},
            'a worker that does not answer is passed over',
            'any report or answer from the worker',
        )


def note_contact(core: job_core.JobCore, task: tasks.Task, now: float) -> None:
    task.last_contact = now
    if core.table.set_reachable(task.worker, True):
        job_placing.reopen(core, task.worker, now)


def confirm(core: job_core.JobCore, task: tasks.Task, now: float) -> None:
    task.confirmed = True
    core.calls.close_start(task)
    note_contact(core, task, now)
