"""Decisions about jobs on workers, made by the leader.

Commands change the replicated state. The planner updates its soft state
after each committed command, and proposes further commands. The cost of
an event does not grow with the number of workers or jobs, except when
leadership is gained.
"""

import functools
from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import job_calls
from orioleshore.fleet import job_core
from orioleshore.fleet import job_leases
from orioleshore.fleet import job_placing
from orioleshore.fleet import job_preemption
from orioleshore.fleet import job_queueing
from orioleshore.fleet import job_reports
from orioleshore.fleet import job_updates
from orioleshore.fleet import job_workers
from orioleshore.fleet import learning
from orioleshore.fleet import placement
from orioleshore.fleet import timer_queue
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import records


class JobPlanner:
    """Places jobs, renews leases and records results for the leader."""

    def __init__(
        self, estimator: learning.UsageEstimator | None = None
    ) -> None:
        self._core = job_core.JobCore(estimator)

    def handle(
        self,
        event: events.Event,
        state: records.State,
        epoch: ids.Epoch | None,
        now: ids.WallTime,
    ) -> list[events.Action]:
        """Return the resulting actions; ``now`` is a wall time in s.

        The command of the event is already applied to ``state``.
        ``epoch`` is None while this process is not the leader.
        """
        if epoch is None:
            if self._core.epoch is not None:
                self._core.reset()
            return []
        self._core.state = state
        self._core.epoch = epoch
        self._core.placements_left = job_core.MAX_PLACEMENTS_PER_EVENT
        _handle_event(event, self._core, now)
        actions, self._core.actions = self._core.actions, []
        return actions + self._core.journal.take_records()

    def get_dump(self) -> dict[str, Any]:
        """Return the soft state for diagnosis."""
        return {
            'running': len(self._core.tasks),
            'placing': len(self._core.pending_placements),
            'preempting': sorted(self._core.claims),
            'waiting': {
                pool: len(queue)
                for pool, queue in sorted(self._core.queues.items())
            },
            'open_calls': len(self._core.calls),
            'timers': len(self._core.timers),
        }

    def count_tasks(self, worker: ids.HostId) -> int:
        """Return the number of tasks that hold capacity on a worker."""
        found = self._core.worker_table.get(worker)
        return 0 if found is None else len(found.tasks)


@functools.singledispatch
def _handle_event(event: Any, core: job_core.JobCore, now: float) -> None:
    """Ignore events that do not concern jobs."""


@_handle_event.register
def _(
    event: events.LeadershipGained, core: job_core.JobCore, now: float
) -> None:
    job_updates.start_leading(core, now)


@_handle_event.register
def _(
    event: events.CommandApplied, core: job_core.JobCore, now: float
) -> None:
    job_updates.handle_command(event.command, core, now)


@_handle_event.register
def _(
    event: events.CommandRefused, core: job_core.JobCore, now: float
) -> None:
    command = event.command
    if not isinstance(command, commands.PlaceTask):
        return
    # A proposal of an earlier leader is not pending here.
    if command.epoch == core.epoch:
        job_updates.abandon_placement(core, command.job, command.attempt, now)


@_handle_event.register
def _(event: events.TaskReported, core: job_core.JobCore, now: float) -> None:
    job_reports.handle_report(core, event, now)


@_handle_event.register
def _(event: events.HostReported, core: job_core.JobCore, now: float) -> None:
    job_workers.handle_host_report(core, event, now)


@_handle_event.register
def _(
    event: events.PlatformAnswered, core: job_core.JobCore, now: float
) -> None:
    call = core.calls.get(event.call)
    if call is None:
        return
    task = core.tasks[call.job]
    is_start = call.kind is events.CallKind.START_TASK
    if event.accepted:
        core.calls.close_call(event.call)
        if is_start:
            job_calls.confirm_task(core, task, now)
        return
    if is_start and event.ran is states.Ran.NO:
        job_reports.propose_result(
            core,
            events.TaskReported(
                task.job,
                task.attempt,
                task.worker,
                states.TaskResult.NOT_STARTED,
                reason=event.reason,
            ),
            now,
        )


@_handle_event.register
def _(event: events.TimerFired, core: job_core.JobCore, now: float) -> None:
    core.calls.reset_repeats()
    for entry in core.timers.pop_due(now):
        _TIMER_HANDLERS[entry.kind](core, entry, now)
    job_leases.propose_renewals(core, now)


def _end_retry_delay(
    core: job_core.JobCore, entry: timer_queue.Entry, now: float
) -> None:
    name = ids.JobId(entry.subject)
    job = core.jobs.get(name)
    if name not in core.delayed_jobs or job is None:
        return
    core.delayed_jobs.discard(name)
    record = core.state.jobs.get(name)
    if record is None or record.state is not states.JobState.WAITING:
        return
    queue = core.queues.setdefault(job.pool, placement.JobQueue())
    job_queueing.push_job(core, queue, job, now)
    job_placing.place_pool_jobs(core, job.pool, now)


def _check_deadline(
    core: job_core.JobCore, entry: timer_queue.Entry, now: float
) -> None:
    job = core.jobs.get(ids.JobId(entry.subject))
    queue = None if job is None else core.queues.get(job.pool)
    if queue is not None and job.name in queue:
        core.journal.record_deadline_miss(
            job, 0.0, core.estimator.get_run_time(job)
        )


def _check_drain(
    core: job_core.JobCore, entry: timer_queue.Entry, now: float
) -> None:
    worker = core.worker_table.get(ids.HostId(entry.subject))
    if worker is not None:
        job_workers.checkpoint_draining_tasks(core, worker, now)


def _place_deferred_jobs(
    core: job_core.JobCore, entry: timer_queue.Entry, now: float
) -> None:
    core.deferred_pools.discard(entry.subject)
    job_placing.place_pool_jobs(core, entry.subject, now)


_TIMER_HANDLERS = {
    timer_queue.TimerKind.REPEAT_CALL: lambda core, entry, now: (
        job_calls.repeat_open_call(core, entry.subject, now)
    ),
    timer_queue.TimerKind.RENEW_LEASE: lambda core, entry, now: (
        job_leases.request_renewal(core, entry, now)
    ),
    timer_queue.TimerKind.END_LEASE: lambda core, entry, now: (
        job_leases.expire_lease(core, entry, now)
    ),
    timer_queue.TimerKind.REPEAT_RESULT: lambda core, entry, now: (
        job_reports.repeat_result_proposal(core, entry, now)
    ),
    timer_queue.TimerKind.END_PROPOSAL: lambda core, entry, now: (
        job_updates.abandon_placement(core, entry.subject, entry.attempt, now)
    ),
    timer_queue.TimerKind.END_PREEMPTION: lambda core, entry, now: (
        job_placing.abandon_preemption(core, entry.subject, now)
    ),
    timer_queue.TimerKind.END_CHECKPOINT: lambda core, entry, now: (
        job_preemption.handle_checkpoint_timeout(core, entry, now)
    ),
    timer_queue.TimerKind.END_DELAY: _end_retry_delay,
    timer_queue.TimerKind.CHECK_DEADLINE: _check_deadline,
    timer_queue.TimerKind.CHECK_DRAIN: _check_drain,
    timer_queue.TimerKind.TRY_WORKER: lambda core, entry, now: (
        job_workers.begin_probation(core, entry.subject, now)
    ),
    timer_queue.TimerKind.PLACE: _place_deferred_jobs,
}
