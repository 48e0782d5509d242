"""Attribution of worker crashes to the tasks that caused them.

Answers tasks that crash each worker that starts them. The last tasks that a
worker had started when it was lost are suspects, which ``probation`` starts
apart from other jobs, so that a further crash shows which one is at fault. A
task is given up once enough workers have crashed under it (``crash_limits``),
and cleared once it has run for a while.

When a lease ends it is not known whether the worker has crashed or is cut
off. The loss counts as a crash when a newer worker reports from the same host
without an order about the host, and not at all when the worker reports again.
What is counted is part of the replicated state, so that it outlives the
leader.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging
import math
import typing

import msgspec

from orioleshore.jobs import crash_limits
from orioleshore.jobs import eligibility
from orioleshore.jobs import ledger
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# Starts within this time of each other are equally suspect; less than the
# interval between two heartbeats of a ready worker (0.1 s).
SAME_START_S = 0.05
# A suspect run keeps other tasks from its worker for this long; two to three
# heartbeats.
PROBATION_S = 0.25
# Least age of the runs of a worker that never reported to this leader; one
# heartbeat.
UNHEARD_AGE_S = 0.1
# A run that was reported for longer than this after its start does its worker
# no harm. A task that crashes its workers more slowly is not found.
CLEARANCE_S = 2.0
# A suspect task whose last worker is silent waits this long for news of it.
# Hosts are back 0.1 to 0.5 s after the lease of a crashed worker; long-running
# tasks must run again 6 s after their last run, of which the lease takes 3 s.
NEWS_WAIT_S = 2.0
# The wait before a task is given up without that news, unless it is a
# long-running one.
LAST_NEWS_WAIT_S = 6.0
# Age of the view of a pool; a tick.
VIEW_S = 0.1
# After this time a lost worker is no longer remembered.
LOSS_MEMORY_S = 60.0
# An order about a host explains the end of its worker for this long: the call
# and the upkeep take up to 2 s each, and a lease 3 s.
ORDER_EFFECT_S = 8.0

_TaskKey = tuple[ids.JobId, ids.TaskName]

_RESTARTS = frozenset(
    {states.WorkerExit.RESTARTED, states.WorkerExit.REPLACED}
)
_PLANNED_EXITS = frozenset({states.WorkerExit.MOVED, states.WorkerExit.UPKEEP})


class _PoolView(msgspec.Struct, frozen=True):
    """Workers of a pool that may get tasks; ``at`` is a monotonic time."""

    at: float
    members: int
    fewest_runs: int


class CrashAttribution:
    """Finds the tasks that crash workers; part of the scheduler."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        # Suspect tasks that wait for a start, by pool, with the monotonic
        # time since which they may start.
        self._waiting: dict[ids.PoolId, dict[_TaskKey, float]] = {}
        # Workers that got a suspect task.
        self._on_probation: set[ids.WorkerId] = set()
        self._views: dict[ids.PoolId, _PoolView] = {}

    def get_waiting(self, pool: ids.PoolId) -> dict[_TaskKey, float]:
        """Return the suspects of a pool that wait, and since when.

        The time is monotonic; it lies ahead for a task that waits for news of
        its last worker.
        """
        return self._waiting.get(pool, {})

    def record_lost_worker(
        self, worker: workers.Worker, reason: states.WorkerExit
    ) -> None:
        """Record which runs may have crashed a worker that is gone.

        Must be called before the runs are ended.
        """
        if reason in _PLANNED_EXITS:
            return
        if worker.state is states.WorkerState.DRAINING:
            return
        ages = {
            key: _get_run_age(worker, key)
            for key in worker.ordered
            if self._scheduler.job_table.find_run(key) is not None
        }
        if self._is_ordered(worker.host, self._get_newest_start(ages)):
            return
        self._record_loss(worker.host, worker.name, worker.incarnation, ages)
        if reason in _RESTARTS:
            self._explain_loss(worker.host, states.LossCause.CRASHED)

    def record_unheard_worker(
        self, name: ids.WorkerId, keys: Iterable[workers.RunKey]
    ) -> None:
        """Record the loss of a worker that never reported to this leader.

        How old its runs were is known only relative to the newest one.
        """
        runs = {key: self._scheduler.job_table.find_run(key) for key in keys}
        known = {key: run for key, run in runs.items() if run is not None}
        if not known:
            return
        newest = max(known.values(), key=lambda run: run.started_at)
        if self._is_ordered(newest.host, newest.started_at):
            return
        # A report to the previous leader may have followed the start, so none
        # of them counts as never reported.
        ages = {
            key: UNHEARD_AGE_S + newest.started_at - run.started_at
            for key, run in known.items()
        }
        self._record_loss(newest.host, name, newest.incarnation, ages)

    def explain_last_loss(self, worker: workers.Worker) -> None:
        """Explain the loss of the last worker of a host that reports."""
        lost = self._scheduler.ledger.lost_workers.get(worker.host)
        if lost is None or lost.incarnation > worker.incarnation:
            return
        if lost.worker == worker.name and (
            lost.incarnation == worker.incarnation
        ):
            self._explain_loss(worker.host, states.LossCause.ALIVE)
            return
        # The worker of a silent host may have been ended by an order.
        cause = states.LossCause.CRASHED
        if self._is_ordered(worker.host, lost.newest_start):
            cause = states.LossCause.PLANNED
        self._explain_loss(worker.host, cause)

    def observe_runs(self, worker: workers.Worker) -> None:
        """End the probation and the suspicion of runs that do no harm.

        Called for each heartbeat of the worker.
        """
        if not worker.suspects:
            return
        worker.suspects &= worker.ordered.keys()
        worker.probation &= worker.ordered.keys()
        for key in list(worker.suspects):
            age_s = _get_run_age(worker, key)
            if age_s >= self._get_probation_s(key):
                self._pass_probation(worker, key)
            if age_s >= CLEARANCE_S:
                worker.suspects.discard(key)
                self._scheduler.record_change(
                    ledger.SuspicionCleared(key[0], key[1])
                )
                _log_task('suspicion_cleared', key[0], key[1], ran_s=age_s)

    def record_start(
        self,
        worker: workers.Worker,
        key: workers.RunKey,
        run: ledger.RunRecord,
    ) -> None:
        """Put a run of a suspect task on probation on its worker."""
        if not run.losses:
            return
        worker.suspects.add(key)
        if not run.is_suspect:
            return
        worker.probation.add(key)
        self._on_probation.add(worker.name)
        job = self._scheduler.jobs[key[0]]
        job.probation.add(key[1])
        self.get_waiting(job.record.pool).pop(key[:2], None)

    def track_waiting(
        self, name: ids.JobId, task: ids.TaskName, pool: ids.PoolId
    ) -> None:
        """Let a suspect task that has ended wait for its next start."""
        run = self._scheduler.jobs[name].record.tasks[task]
        if not run.is_suspect or run.stage is not states.RunStage.WAITING:
            return
        since = self._scheduler.now
        self._scheduler.jobs[name].has_passed_probation = False
        if run.silences and run.losses > 1:
            job = self._scheduler.jobs[name]
            job.news_due_at = since + NEWS_WAIT_S
            is_last = (
                run.losses >= self._scheduler.limits.max_task_losses
                and not job.is_long_running
            )
            since += LAST_NEWS_WAIT_S if is_last else NEWS_WAIT_S
        self._waiting.setdefault(pool, {})[name, task] = since

    def forget_job(self, name: ids.JobId, pool: ids.PoolId) -> None:
        """Forget the waiting tasks of a job that has ended."""
        waiting = self.get_waiting(pool)
        for key in [key for key in waiting if key[0] == name]:
            del waiting[key]

    def forget_old_losses(self) -> None:
        """Forget the workers of which nothing has been heard for long."""
        self._on_probation = {
            name
            for name in self._on_probation
            if name in self._scheduler.workers
            and self._scheduler.workers[name].probation
        }
        scheduler = self._scheduler
        for host, lost in list(scheduler.ledger.lost_workers.items()):
            if abs(scheduler.wall_time - lost.lost_at) >= LOSS_MEMORY_S:
                self._explain_loss(host, states.LossCause.UNKNOWN)

    def is_start_due(self, pool: ids.PoolId) -> bool:
        """Return whether a suspect of a pool may start."""
        now = self._scheduler.now
        return any(now >= since for since in self.get_waiting(pool).values())

    def has_room(self, pool: ids.PoolId) -> bool:
        """Return whether one more worker of a pool may take suspects.

        Workers that have just fallen silent do not count.
        """
        scheduler = self._scheduler
        found = map(scheduler.workers.get, self._on_probation)
        busy = sum(
            worker is not None
            and bool(worker.probation)
            and worker.pool == pool
            and eligibility.is_in_contact(scheduler, worker)
            for worker in found
        )
        members = self._get_pool_view(pool).members
        share = scheduler.limits.max_suspect_share
        return busy < max(1, math.ceil(share * members))

    def get_fewest_runs(self, pool: ids.PoolId) -> int:
        """Return the fewest runs of a worker of a pool that may get tasks."""
        return self._get_pool_view(pool).fewest_runs

    def _get_pool_view(self, pool: ids.PoolId) -> _PoolView:
        """Return what is known of a pool, not older than VIEW_S."""
        scheduler = self._scheduler
        view = self._views.get(pool)
        if view is not None and scheduler.now < view.at + VIEW_S:
            return view
        members = [
            member
            for member in scheduler.get_pool_workers(pool)
            if eligibility.is_in_contact(scheduler, member)
        ]
        fewest = min(
            (len(w.ordered) for w in members if not w.probation), default=0
        )
        view = _PoolView(scheduler.now, len(members), fewest)
        self._views[pool] = view
        return view

    def _get_probation_s(self, key: workers.RunKey) -> float:
        """Return how long a run keeps its worker from other starts.

        A task may crash its workers some time after its start. It has to
        remain the newest one until then.
        """
        run = self._scheduler.job_table.find_run(key)
        is_slow = run is not None and run.crashes > run.immediate_crashes
        if is_slow and run.losses > 1:
            return CLEARANCE_S
        return PROBATION_S

    def _pass_probation(
        self, worker: workers.Worker, key: workers.RunKey
    ) -> None:
        worker.probation.discard(key)
        job = self._scheduler.jobs.get(key[0])
        if job is not None:
            job.probation.discard(key[1])
            job.has_passed_probation = True

    def _get_newest_start(
        self, keys: Iterable[workers.RunKey]
    ) -> ids.WallTime:
        runs = [self._scheduler.job_table.find_run(key) for key in keys]
        return max(
            (run.started_at for run in runs if run is not None),
            default=ids.WallTime(0.0),
        )

    def _is_ordered(self, host: ids.HostId, since: ids.WallTime) -> bool:
        """Return whether an order about a host may have ended its worker.

        ``since`` is the time of the last start on the worker. Nothing is
        started on a host with an order that may still be carried out.
        """
        scheduler = self._scheduler
        ordered_at = scheduler.ledger.ordered_at.get(host)
        return (
            ordered_at is not None
            and not scheduler.orders.is_refused(host)
            and ordered_at >= since
            and abs(scheduler.wall_time - ordered_at) < ORDER_EFFECT_S
        )

    def _record_loss(
        self,
        host: ids.HostId,
        name: ids.WorkerId,
        incarnation: ids.Incarnation,
        ages: dict[workers.RunKey, float],
    ) -> None:
        """Record a lost worker with the runs younger than CLEARANCE_S."""
        scheduler = self._scheduler
        newest_s = min(ages.values(), default=0.0) + SAME_START_S
        newest = [key for key, age_s in ages.items() if age_s <= newest_s]
        jobs = {key[0] for key in newest}
        suspects = tuple(
            ledger.Suspect(
                *key,
                is_newest=key in newest,
                is_alone=key in newest and len(jobs) == 1,
                is_immediate=age_s <= 0.0,
            )
            for key, age_s in ages.items()
            if age_s < CLEARANCE_S and key[0] in scheduler.jobs
        )
        if not suspects:
            return
        scheduler.record_change(
            ledger.WorkerLost(
                host,
                name,
                incarnation,
                scheduler.wall_time,
                self._get_newest_start(ages),
                suspects,
            )
        )
        LOG.info(
            logs.format_event(
                'loss_recorded',
                worker=name,
                host=host,
                suspects=[f'{s.job}.{s.task}' for s in suspects],
                newest=sum(s.is_newest for s in suspects),
            )
        )
        self._give_up_harmful(suspects)

    def _explain_loss(self, host: ids.HostId, cause: states.LossCause) -> None:
        scheduler = self._scheduler
        lost = scheduler.ledger.lost_workers.get(host)
        if lost is None:
            return
        scheduler.record_change(ledger.LossExplained(host, cause))
        LOG.info(
            logs.format_event(
                'loss_explained',
                worker=lost.worker,
                host=host,
                cause=cause,
                suspects=len(lost.suspects),
            )
        )
        for suspect in lost.suspects:
            self._end_news_wait(suspect)
        self._give_up_harmful(lost.suspects)

    def _end_news_wait(self, suspect: ledger.Suspect) -> None:
        job = self._scheduler.jobs.get(suspect.job)
        if job is None:
            return
        waiting = self.get_waiting(job.record.pool)
        key = (suspect.job, suspect.task)
        if key not in waiting:
            return
        run = job.record.tasks[suspect.task]
        if not run.is_suspect:
            del waiting[key]
        elif not run.silences:
            waiting[key] = min(waiting[key], self._scheduler.now)
            job.news_due_at = 0.0

    def _give_up_harmful(self, suspects: Iterable[ledger.Suspect]) -> None:
        """Give up the suspects that have crashed too many workers."""
        found = [
            (suspect.job, suspect.task)
            for suspect in suspects
            if self._is_harmful(suspect.job, suspect.task)
        ]
        if not found:
            return
        for name, task in found:
            self._give_up(name, task)
        # It takes less to give up a task once another one has been.
        waiting = [key for keys in self._waiting.values() for key in keys]
        for name, task in waiting:
            if self._is_harmful(name, task):
                self._give_up(name, task)

    def give_up_instead_of_start(
        self, name: ids.JobId, task: ids.TaskName
    ) -> bool:
        """Give up a task that is due to start if it has done too much harm."""
        if not self._is_harmful(name, task, is_due=True):
            return False
        self._give_up(name, task)
        return True

    def _give_up(self, name: ids.JobId, task: ids.TaskName) -> None:
        job = self._scheduler.jobs.get(name)
        if job is None:
            return
        run = job.record.tasks[task]
        _log_task(
            'task_given_up',
            name,
            task,
            crashes=run.crashes,
            lone=run.lone_losses,
            immediate=run.immediate_crashes,
            silences=run.silences,
        )
        self._scheduler.give_up_task(name, task)

    def _is_harmful(
        self, name: ids.JobId, task: ids.TaskName, is_due: bool = False
    ) -> bool:
        scheduler = self._scheduler
        job = scheduler.jobs.get(name)
        run = job.record.tasks.get(task) if job else None
        return run is not None and crash_limits.is_harmful(
            run,
            scheduler.ledger.given_up_at,
            scheduler.limits,
            scheduler.wall_time,
            is_due,
        )


def _get_run_age(worker: workers.Worker, key: workers.RunKey) -> float:
    """Return the seconds from the start of a run to its last report.

    The start of a run that an earlier leader ordered is not known, so its age
    counts from the worker's first report to this leader.
    """
    if key not in worker.reported:
        return 0.0
    ordered_at = worker.start_ordered_at.get(key, worker.found_at)
    return worker.last_heartbeat_at - ordered_at


def _log_task(
    event: str, job: ids.JobId, task: ids.TaskName, **pairs: typing.Any
) -> None:
    LOG.warning(logs.format_event(event, job=job, task=task, **pairs))
