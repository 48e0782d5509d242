"""Why long-running tasks that could start wait, worker by worker.

Answers a long-running task that nobody starts: the log says for each worker
of the pool what keeps it from taking the task. docs/jobs-holds.md says what
ends each hold, and when.
"""

from __future__ import annotations

import collections
import logging
import typing

from orioleshore.jobs import eligibility
from orioleshore.jobs import placement
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# A wait of a long-running task is logged once it takes this long. The
# platform allows twice this time since the last run of the task.
LONG_WAIT_WARNING_S = 3.0
# A wait that goes on is logged again after this time.
REPEAT_S = 10.0
# Each line takes a look at all workers of a pool. Further lines are written
# with the next ticks.
MAX_LINES_PER_TICK = 8
MAX_LISTED_WORKERS = 20
MS_PER_S = 1_000.0

Holds = collections.Counter[states.HoldReason]


class LongRunningWaits:
    """Since when long-running jobs wait; part of the scheduler's state."""

    def __init__(self) -> None:
        # Monotonic time since which a long-running job has a task waiting,
        # and the time at which its wait is logged next.
        self._waiting_since: dict[ids.JobId, float] = {}
        self._log_due_at: dict[ids.JobId, float] = {}
        self._counted: Holds = collections.Counter()

    def get_wait_s(self, name: ids.JobId, now: float) -> float:
        """Return how long a job has had a task waiting."""
        return now - self._waiting_since.get(name, now)

    def find_jobs(self, wait_s: float, now: float) -> list[ids.JobId]:
        """Return the jobs that have had a task waiting for so long."""
        return [
            name
            for name, since in self._waiting_since.items()
            if now - since >= wait_s
        ]

    def update(self, scheduler: scheduling.Scheduler) -> None:
        """Track the waits of all jobs, and log the long ones."""
        now = scheduler.now
        waits = {}
        lines = 0
        for name, job in scheduler.jobs.items():
            if not job.is_long_running or not self._is_waiting(scheduler, job):
                continue
            waits[name] = self._waiting_since.get(name, now)
            due_at = self._log_due_at.get(
                name, waits[name] + LONG_WAIT_WARNING_S
            )
            if now >= due_at and lines < MAX_LINES_PER_TICK:
                lines += 1
                self._log_due_at[name] = now + REPEAT_S
                self._log_wait(scheduler, job, now - waits[name])
        self._waiting_since = waits
        for name in self._log_due_at.keys() - waits.keys():
            del self._log_due_at[name]

    def _is_waiting(
        self, scheduler: scheduling.Scheduler, job: progress.JobProgress
    ) -> bool:
        """Return whether a job has a task without a confirmed run.

        A start order that is lost does not end a wait, so a task that is
        ordered again and again has waited since its last run.
        """
        if job.find_startable_groups(scheduler.wall_time):
            return True
        return job.name in self._waiting_since and not all(
            _is_confirmed(scheduler, job, task) for task in job.running
        )

    def take_counts(self) -> Holds:
        """Return the holds logged since the last call."""
        counted, self._counted = self._counted, collections.Counter()
        return counted

    def _log_wait(
        self,
        scheduler: scheduling.Scheduler,
        job: progress.JobProgress,
        waited_s: float,
    ) -> None:
        members = scheduler.get_pool_workers(job.record.pool)
        found = find_holds(scheduler, job)
        self._counted += found
        free_cpu = sorted(
            (worker.get_free_resources().cpu_millis for worker in members),
            reverse=True,
        )
        LOG.warning(
            logs.format_event(
                'lasting_task_waits',
                job=job.name,
                pool=job.record.pool,
                waited_s=waited_s,
                holds=[
                    f'{reason.value}:{count}'
                    for reason, count in found.most_common()
                ],
                workers=len(members),
                ready=sum(
                    eligibility.is_available(scheduler, worker)
                    for worker in members
                ),
                free_cpu=free_cpu[:MAX_LISTED_WORKERS],
            )
        )


def find_holds(
    scheduler: scheduling.Scheduler, job: progress.JobProgress
) -> Holds:
    """Return how often each reason keeps tasks of a job from starting.

    Counts one for each waiting step and worker of the pool, and one for each
    task that counts as running on a worker without a heartbeat.
    """
    found: Holds = collections.Counter()
    startable = job.find_startable_groups(scheduler.wall_time)
    members = scheduler.get_pool_workers(job.record.pool)
    for group in job.groups.values():
        if not group.waiting or not group.step.is_long_running:
            continue
        if group not in startable:
            found[_find_step_hold(scheduler, job, group)] += 1
            continue
        if not members:
            found[states.HoldReason.NO_WORKER] += 1
        for worker in members:
            found[find_worker_hold(scheduler, worker, job, group)] += 1
    for task in job.running:
        reason = _find_run_hold(scheduler, job, task)
        if reason is not None:
            found[reason] += 1
    return found


def find_worker_hold(
    scheduler: scheduling.Scheduler,
    worker: workers.Worker,
    job: progress.JobProgress,
    group: progress.Group,
) -> states.HoldReason:
    """Return the first reason for which a worker does not start a task."""
    step = group.step
    need = workers.get_reserved_resources(step)
    checks = (
        (
            states.HoldReason.DRAINING,
            worker.state is not states.WorkerState.READY,
        ),
        (states.HoldReason.CORDONED, worker.is_cordoned),
        (states.HoldReason.SILENT, _is_silent(scheduler, worker)),
        (states.HoldReason.PROBATION, bool(worker.probation)),
        (states.HoldReason.SUSPECT, _has_only_suspects(job, group)),
        (states.HoldReason.PAUSED, scheduler.now < worker.no_starts_until),
        (
            states.HoldReason.LABEL,
            not eligibility.has_required_label(worker, step),
        ),
        (
            states.HoldReason.NO_APPROVAL,
            scheduler.approvals.get_ticket(worker, job, group) is None,
        ),
        (
            states.HoldReason.WORKER_LIMIT,
            not group.can_use_worker(worker.name),
        ),
        (
            states.HoldReason.NO_ROOM,
            not workers.fits_into(need, worker.get_free_resources()),
        ),
        (
            states.HoldReason.ORGANISATION_LIMIT,
            not scheduler.is_within_limit(job, step.need),
        ),
        (states.HoldReason.GANG_PLAN, step.is_gang),
    )
    for reason, is_held in checks:
        if is_held:
            return reason
    if not placement.can_accept_more(worker, step):
        return states.HoldReason.UNPROVEN_RUN
    if not placement.is_rack_acceptable(scheduler, worker, job, group):
        return states.HoldReason.RACK
    if not placement.can_place_long_running(scheduler, worker, job, group):
        return states.HoldReason.PACKING
    return states.HoldReason.NEXT_HEARTBEAT


def _has_only_suspects(
    job: progress.JobProgress, group: progress.Group
) -> bool:
    """Return whether all waiting tasks of a step are suspects."""
    runs = [
        job.record.tasks.get(
            specs.make_task_name(group.occurrence, group.position, index)
        )
        for index in group.waiting
    ]
    return all(run is not None and run.is_suspect for run in runs)


def _find_step_hold(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    group: progress.Group,
) -> states.HoldReason:
    if scheduler.wall_time < job.get_due_time(group.occurrence):
        return states.HoldReason.NOT_DUE
    return states.HoldReason.EARLIER_STEP


def _find_run_hold(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    task: ids.TaskName,
) -> states.HoldReason | None:
    """Return why a task that counts as running may have no run."""
    worker = scheduler.workers.get(job.record.tasks[task].worker)
    if worker is None:
        return states.HoldReason.RUN_ON_UNHEARD_WORKER
    if _is_silent(scheduler, worker):
        return states.HoldReason.RUN_ON_SILENT_WORKER
    if not _is_confirmed(scheduler, job, task):
        return states.HoldReason.START_NOT_CONFIRMED
    return None


def _is_confirmed(
    scheduler: scheduling.Scheduler,
    job: progress.JobProgress,
    task: ids.TaskName,
) -> bool:
    """Return whether the worker of a run has listed it to this leader."""
    run = job.record.tasks[task]
    worker = scheduler.workers.get(run.worker)
    return (
        worker is not None and (job.name, task, run.attempt) in worker.reports
    )


def _is_silent(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> bool:
    """Return whether the next heartbeat of a worker is overdue."""
    delay_ms = placement.get_heartbeat_delay_ms(scheduler, worker)
    if delay_ms is None:
        delay_ms = scheduler.limits.heartbeat_ms
    silence_s = scheduler.now - worker.last_heartbeat_at
    return silence_s >= delay_ms / MS_PER_S + eligibility.MAX_SILENCE_S
