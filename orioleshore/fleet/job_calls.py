"""Calls to the platform about tasks."""

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
    """Return a call about a task, with the epoch of its worker."""
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
    """Make a call unless it is open, and repeat it until it is answered."""
    if core.calls.open_call(call, task, now + calls.REPEAT_INTERVAL_S):
        core.actions.append(call)


def evict_task(
    core: job_core.JobCore, task: tasks.Task, kind: events.CallKind, now: float
) -> None:
    """Request that a task ends, by a checkpoint or a stop.

    A stop replaces a checkpoint request; a weaker request is ignored.
    """
    if job_core.EVICTION_ORDER[kind] <= job_core.EVICTION_ORDER[task.eviction]:
        return
    task.eviction = kind
    # A repeated start call must not start a task that is to be stopped.
    if kind is events.CallKind.STOP_TASK:
        core.calls.close_start_call(task)
    if core.worker_table.get(task.worker) is not None:
        core.worker_table.reserve(task.worker, task.job, task.size, False)
    send_call(core, build_task_call(core, kind, task, {}), task, now)


def repeat_open_call(
    core: job_core.JobCore, name: ids.CallId, now: float
) -> None:
    """Repeat an open call; mark a worker without contact unreachable."""
    call = core.calls.get(name)
    if call is None:
        return
    if core.calls.repeat_call(name, now) is not None:
        core.actions.append(call)
    task = core.tasks[call.job]
    is_silent = (
        now - max(task.started, task.last_contact) >= job_core.START_TIMEOUT_S
    )
    if call.kind is events.CallKind.START_TASK and is_silent:
        mark_unreachable(core, task.worker)


def mark_unreachable(core: job_core.JobCore, worker: ids.HostId) -> None:
    """Place no new tasks on a worker until it reports or answers."""
    if core.worker_table.set_reachable(worker, False):
        core.journal.record_decision(
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
    """Note a report or an answer about a task; its worker is reachable."""
    task.last_contact = now
    if core.worker_table.set_reachable(task.worker, True):
        job_placing.reopen_worker(core, task.worker, now)


def confirm_task(core: job_core.JobCore, task: tasks.Task, now: float) -> None:
    """Note that a task has started; its start call is not repeated."""
    task.is_confirmed = True
    core.calls.close_start_call(task)
    record_contact(core, task, now)
