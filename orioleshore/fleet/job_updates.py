"""Updates of the job planner from committed commands and documents."""

import functools
from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import job_calls
from orioleshore.fleet import job_core
from orioleshore.fleet import job_leases
from orioleshore.fleet import job_placing
from orioleshore.fleet import job_preemption
from orioleshore.fleet import job_queueing
from orioleshore.fleet import job_tasks
from orioleshore.fleet import job_workers
from orioleshore.fleet import timer_queue
from orioleshore.fleet import workers
from orioleshore.model import changes
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import job_commands

_BLOCKED_STATES = frozenset(
    {states.JobState.UNKNOWN, states.JobState.QUARANTINED}
)


def start_leading(core: job_core.JobCore, now: float) -> None:
    """Rebuild the soft state from the replicated state."""
    state, epoch = core.state, core.epoch
    core.reset()
    core.state, core.epoch = state, epoch
    core.document_version = state.version
    core.jobs = {job.name: job for job in state.document.jobs}
    core.hosts = {host.name: host for host in state.document.hosts}
    core.ledger.set_quotas(state.document.teams)
    for name in core.hosts:
        reconcile_host(core, name, now)
    evaluate_past_attempts(core, now)
    for name in state.jobs:
        reconcile_job(core, name, now)
    # No leader handled the reports that arrived during the election.
    # They are replayed once in an epoch: a manager that fell behind gains
    # leadership again in the same epoch, and a replay would delay it more.
    if core.replayed_epoch != epoch:
        core.replayed_epoch = epoch
        core.actions.append(events.ReplayReports(job_core.REPORT_REPLAY_S))
    for pool in core.queues:
        job_placing.place_pool_jobs(core, pool, now)


def evaluate_past_attempts(core: job_core.JobCore, now: float) -> None:
    """Attribute the recorded results in the order in which they ended."""
    ended = [
        (attempt.ended, name, attempt)
        for name, record in core.state.jobs.items()
        for attempt in record.attempts
        if attempt.result is not None
    ]
    for _, name, attempt in sorted(ended, key=lambda item: item[:2]):
        job_tasks.attribute_result(
            core, name, attempt.worker, attempt.result, now
        )


def apply_document_change(core: job_core.JobCore, now: float) -> None:
    """Apply the document changes since the last version that was applied."""
    state = core.state
    if state.version == core.document_version:
        return
    missing = state.version - core.document_version
    deltas = state.deltas[-missing:]
    if len(deltas) < missing:
        start_leading(core, now)
        return
    core.document_version = state.version
    for delta in deltas:
        apply_edits(core, delta.edits, now)


def apply_edits(
    core: job_core.JobCore, edits: tuple[changes.Edit, ...], now: float
) -> None:
    """Apply edits of teams, hosts and jobs, and place jobs they affect."""
    edited_sections = {edit.section for edit in edits}
    if changes.Section.TEAMS in edited_sections:
        core.ledger.set_quotas(core.state.document.teams)
        for team in core.state.document.teams:
            job_queueing.unpark_team(core, team.name, now)
    for edit in edits:
        if edit.section is changes.Section.HOSTS:
            _apply_edit(core.hosts, edit)
            reconcile_host(core, ids.HostId(edit.name), now)
    pools = set()
    for edit in edits:
        if edit.section is changes.Section.JOBS:
            pools |= apply_job_edit(core, edit, now)
    if changes.Section.HOSTS in edited_sections:
        pools |= set(core.queues)
    for pool in sorted(pools):
        job_placing.place_pool_jobs(core, pool, now)


def apply_job_edit(
    core: job_core.JobCore, edit: changes.Edit, now: float
) -> set[ids.PoolId]:
    """Apply an edit of a job; return the pools that it affects."""
    name = ids.JobId(edit.name)
    previous = core.jobs.get(name)
    if previous is not None:
        job_queueing.dequeue_job(core, previous)
    _apply_edit(core.jobs, edit)
    if name not in core.jobs:
        drop_job(core, name, now)
    reconcile_job(core, name, now)
    current = core.jobs.get(name)
    return {job.pool for job in (previous, current) if job is not None}


def drop_job(core: job_core.JobCore, name: ids.JobId, now: float) -> None:
    """Drop the soft state of a job that was removed from the document."""
    core.journal.record_job_decision(
        name,
        'cancelled',
        {'running': name in core.tasks},
        'the document does not name the job any more',
    )
    job_preemption.release_claim(core, name)
    core.faults.clear_job(name)
    core.failed_preemptions.pop(name, None)
    core.journal.clear_subject('job', name)


def reconcile_host(
    core: job_core.JobCore, name: ids.HostId, now: float
) -> None:
    """Update the worker of a host from its record and the document."""
    record = core.state.hosts.get(name)
    host = core.hosts.get(name)
    previous = core.worker_table.get(name)
    if record is None or host is None:
        if previous is not None:
            core.worker_table.update_worker(
                name, previous.pool, previous.total, previous.epoch, None
            )
        return
    old_state = None if previous is None else previous.state
    worker = core.worker_table.update_worker(
        name,
        record.pool,
        workers.Size(host.cores, host.memory_gb, host.accelerators),
        record.epoch,
        record.state,
    )
    if record.state is states.HostState.DRAINING:
        core.timers.add(now, timer_queue.TimerKind.CHECK_DRAIN, name)
        job_workers.checkpoint_draining_tasks(core, worker, now)
    if (
        record.state is states.HostState.SERVING
        and old_state is states.HostState.PROVING
    ):
        core.faults.clear_worker(name)
        core.worker_table.set_health(
            name, is_suspended=False, is_on_probation=False
        )


def reconcile_job(core: job_core.JobCore, name: ids.JobId, now: float) -> None:
    """Update the soft state of a job to match its record."""
    record = core.state.jobs.get(name)
    attempt = job_commands.get_running_attempt(record)
    task = core.tasks.get(name)
    if task is not None and (
        attempt is None or attempt.number != task.attempt
    ):
        job_tasks.end_task(core, task, record, now)
    if attempt is not None and name not in core.tasks:
        job_tasks.begin_task(core, name, record, attempt, now)
    placing = core.pending_placements.get(name)
    if placing is not None and (
        record is None or record.placed >= placing.attempt
    ):
        job_queueing.undo_placement(core, name)
    if record is None:
        return
    if record.state is states.JobState.WAITING:
        job_queueing.enqueue_job(core, name, now)
    elif name in core.jobs:
        job_queueing.dequeue_job(core, core.jobs[name])
    if record.state is states.JobState.CANCELLED:
        job_calls.evict_task(
            core, core.tasks[name], events.CallKind.STOP_TASK, now
        )
    if record.state in _BLOCKED_STATES:
        core.journal.record_blocked_job(name, record)


def abandon_placement(
    core: job_core.JobCore, name: ids.JobId, attempt: ids.Attempt, now: float
) -> None:
    """Undo a proposed placement whose proposal failed or timed out."""
    placing = core.pending_placements.get(name)
    if placing is None or placing.attempt != attempt:
        return
    job_queueing.undo_placement(core, name)
    reconcile_job(core, name, now)
    if name in core.jobs:
        job_queueing.schedule_placement(core, core.jobs[name].pool, now)


def _apply_edit(items: dict, edit: changes.Edit) -> None:
    if edit.value is None:
        items.pop(edit.name, None)
        return
    items[edit.name] = changes.decode_item(edit)


@functools.singledispatch
def handle_command(command: Any, core: job_core.JobCore, now: float) -> None:
    """Ignore commands that do not concern jobs."""


@handle_command.register
def _(
    command: commands.ChangeDocument, core: job_core.JobCore, now: float
) -> None:
    apply_document_change(core, now)


@handle_command.register(commands.SetHostState)
@handle_command.register(commands.MoveHost)
def _(command: Any, core: job_core.JobCore, now: float) -> None:
    reconcile_host(core, command.host, now)
    worker = core.worker_table.get(command.host)
    if worker is not None and worker.is_open:
        job_placing.place_pool_jobs(core, worker.pool, now)


@handle_command.register(commands.PlaceTask)
@handle_command.register(commands.QuarantineJob)
def _(command: Any, core: job_core.JobCore, now: float) -> None:
    # Neither command frees capacity, so no other job can be placed now.
    core.delayed_jobs.discard(command.job)
    reconcile_job(core, command.job, now)


@handle_command.register(commands.RecordTaskResult)
def _(command: Any, core: job_core.JobCore, now: float) -> None:
    task = core.tasks.get(command.job)
    core.delayed_jobs.discard(command.job)
    reconcile_job(core, command.job, now)
    job = core.jobs.get(command.job)
    pools = {task.pool} if task is not None else set()
    if job is not None:
        pools.add(job.pool)
    for pool in sorted(pools):
        job_placing.place_pool_jobs(core, pool, now)


@handle_command.register
def _(
    command: commands.RenewLeases, core: job_core.JobCore, now: float
) -> None:
    job_leases.apply_renewal(core, command, now)
