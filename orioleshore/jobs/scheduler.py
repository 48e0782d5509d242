"""Scheduling decisions of the leader, without input or output.

``Scheduler.handle`` computes the answer to a call and the changes that must
be committed to the replicated log before the answer is sent. Its user
commits the changes; if the commit fails, the scheduler is discarded and
rebuilt from the log.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import logging

from orioleshore.jobs import admission
from orioleshore.jobs import answers
from orioleshore.jobs import approvals
from orioleshore.jobs import calls
from orioleshore.jobs import crash_attribution
from orioleshore.jobs import fair_shares
from orioleshore.jobs import gangs
from orioleshore.jobs import handlers
from orioleshore.jobs import holds
from orioleshore.jobs import job_table
from orioleshore.jobs import known_hosts
from orioleshore.jobs import ledger
from orioleshore.jobs import ledger_updates
from orioleshore.jobs import limit_holds
from orioleshore.jobs import orders
from orioleshore.jobs import organisations
from orioleshore.jobs import pacing
from orioleshore.jobs import pools
from orioleshore.jobs import progress
from orioleshore.jobs import registry
from orioleshore.jobs import retention
from orioleshore.jobs import specs
from orioleshore.jobs import ticking
from orioleshore.jobs import tuning
from orioleshore.jobs import unconfirmed
from orioleshore.jobs import upkeep
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.quotas import shares
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

MS_PER_S = 1_000.0


class Scheduler:
    """Schedules the tasks of jobs on workers; all times are in seconds.

    ``now`` is the monotonic time and ``wall_time`` the time of day of the
    last call or tick.
    """

    def __init__(
        self,
        job_ledger: ledger.Ledger,
        epoch: ids.Epoch,
        limits: tuning.SchedulerLimits,
        leader_address: str,
        now: float,
        restores_jobs: bool = True,
    ) -> None:
        self.ledger = job_ledger
        self.epoch = epoch
        self.limits = limits
        self.leader_address = leader_address
        self.now = now
        self.wall_time = ids.WallTime(0.0)
        self.leader_since = now
        self.registry = registry.WorkerRegistry()
        self.job_table = job_table.JobTable(job_ledger.jobs)
        # Changed by the registry and the table only.
        self.workers = self.registry.workers
        self.jobs = self.job_table.jobs
        self._unconfirmed = unconfirmed.UnconfirmedRuns(
            self.job_table.find_run
        )
        self.known_hosts = known_hosts.KnownHosts()
        self.orders = orders.OrderQueue(limits, epoch, self._record_host_order)
        self.upkeep = upkeep.Upkeep(self)
        self.pools = pools.Pools(self)
        self.approvals = approvals.Approvals(self)
        self.crashes = crash_attribution.CrashAttribution(self)
        self.run_times = admission.RunTimes()
        self.retry_slots = admission.RetrySlots()
        self.fair_shares = fair_shares.FairShares()
        self._changes: list[ledger.Change] = []
        self._has_held_ordered_hosts = False
        self.waits = holds.LongRunningWaits()
        self.limit_holds = limit_holds.LimitHolds()
        self.usage = organisations.Usage()
        self._directory = organisations.Directory(job_ledger.configuration)
        logged = organisations.list_logged_holdings(job_ledger.jobs)
        for worker, holdings in logged.items():
            self.usage.set_worker(worker, holdings)
        self._has_dropped_unheard_usage = False
        self.bounds = collections.Counter[states.Bound]()
        self.pace = pacing.WorkPace()
        self._ended_jobs = retention.EndedJobs(
            retention.list_ended_jobs(job_ledger)
        )
        self._early_cancels = retention.EndedJobs(
            retention.list_early_cancels(job_ledger)
        )
        self._tick_steps: dict[states.TickStep, Callable[[], None]] = {
            states.TickStep.LEASES: self._end_expired_leases,
            states.TickStep.JOBS: self._update_jobs,
            states.TickStep.GANGS: self._plan_gangs,
            states.TickStep.APPROVALS: self.approvals.advance,
            states.TickStep.HOST_LIST: self._request_host_list,
            states.TickStep.UPKEEP: self._advance_upkeep,
            states.TickStep.POOLS: self._advance_pools,
        }
        if restores_jobs:
            collections.deque(self.restore_jobs(), maxlen=0)

    def restore_jobs(self) -> Iterator[None]:
        """Track the jobs of the log; yields after each, and within each."""
        for name, record in self.ledger.jobs.items():
            if record.is_ended:
                continue
            job = progress.JobProgress(name, record, restores_runs=False)
            yield from job.restore_runs()
            self._track_job(job)
            yield

    # Entry points, called by JobsTask.

    def handle(
        self, call: calls.Call, now: float, wall_time: ids.WallTime
    ) -> answers.Answer:
        """Handle one call and return its answer."""
        self.now = now
        self.wall_time = wall_time
        return handlers.handle(call, self)

    def tick(
        self,
        now: float,
        wall_time: ids.WallTime,
        paused: frozenset[states.TickStep] = frozenset(),
    ) -> None:
        """Drop workers with expired leases and advance periodic work.

        Steps in ``paused`` are left out. Raises TickError if a step fails;
        the scheduler has to be discarded then.
        """
        self.now = now
        self.wall_time = wall_time
        ticking.run_steps(self._tick_steps, paused)

    def _end_expired_leases(self) -> None:
        ended_runs = 0
        for worker in self.registry.find_expired(self.now):
            if ended_runs >= tuning.MAX_LOST_RUNS_PER_TICK:
                self.bounds[states.Bound.LOST_RUNS] += 1
                return
            ended_runs += len(worker.ordered)
            self.drop_worker(worker, states.WorkerExit.LEASE_ENDED)
        if self.now >= self.leader_since + self.max_lease_s:
            self._end_unconfirmed_runs(ended_runs)

    def _update_jobs(self) -> None:
        self._forget_ended_jobs()
        self.crashes.forget_old_losses()
        admission.update_fair_shares(self)
        self.waits.update(self)
        self.limit_holds.update(self)

    def _plan_gangs(self) -> None:
        gangs.plan_gangs(self)

    def _request_host_list(self) -> None:
        is_busy = self.upkeep.is_busy or self.pools.is_busy
        self.orders.request_list_when_due(self.now, is_busy)

    def _advance_upkeep(self) -> None:
        self._hold_ordered_hosts()
        self.upkeep.advance()

    def _advance_pools(self) -> None:
        self._hold_ordered_hosts()
        self.pools.advance()

    def _hold_ordered_hosts(self) -> None:
        """Hold the hosts of the previous leader before the first order."""
        if self._has_held_ordered_hosts:
            return
        self.orders.hold_ordered_hosts(
            self.ledger.ordered_at, self.now, self.wall_time
        )
        self._has_held_ordered_hosts = True

    def take_changes(self) -> tuple[ledger.Change, ...]:
        """Return the changes made since the last call."""
        changes, self._changes = tuple(self._changes), []
        return changes

    @property
    def max_lease_s(self) -> float:
        """Return how long a granted lease can last by the leader's clock."""
        lease_s = self.limits.lease_ms / MS_PER_S
        return lease_s * (1.0 + tuning.WORKER_CLOCK_DRIFT)

    def _record_host_order(self, host: ids.HostId) -> None:
        self.record_change(ledger.HostOrdered(host, self.wall_time))

    @property
    def has_complete_view(self) -> bool:
        """Return whether every live worker has reported to this leader."""
        return self.now >= self.leader_since + self.max_lease_s and (
            self.known_hosts.listed_at >= self.leader_since
        )

    def record_change(self, change: ledger.Change) -> None:
        """Apply a change to the ledger and queue it for the log."""
        ledger_updates.apply_change(change, self.ledger)
        self._changes.append(change)

    @property
    def directory(self) -> organisations.Directory:
        """Return the organisations of the configuration in force."""
        configuration = self.ledger.configuration
        if self._directory.version != configuration.version:
            self._directory = organisations.Directory(configuration)
        return self._directory

    def is_within_limit(
        self, job: progress.JobProgress, need: specs.Resources
    ) -> bool:
        """Return whether the organisation of a job may use more."""
        name = job.record.organisation
        return shares.fits_limit(
            self.usage.get_used(name), need, self.directory.get_limit(name)
        )

    def can_start_within_limit(
        self, job: progress.JobProgress, need: specs.Resources
    ) -> bool:
        """Return whether a job may start more, and note it if not."""
        is_within = self.is_within_limit(job, need)
        if not is_within:
            self.limit_holds.note(job, need, self.now)
        return is_within

    def is_reservation_within_limit(
        self, job: progress.JobProgress, need: specs.Resources
    ) -> bool:
        """Return whether a task may start whose need counts as used already.

        The limit may have been lowered since the reservation.
        """
        name = job.record.organisation
        others = self.usage.get_used(name).minus(need)
        return shares.fits_limit(others, need, self.directory.get_limit(name))

    def get_pool_jobs(self, pool: ids.PoolId) -> list[progress.JobProgress]:
        """Return the unfinished jobs of a pool."""
        return self.job_table.get_pool_jobs(pool)

    def get_pool_workers(self, pool: ids.PoolId) -> list[workers.Worker]:
        """Return the known workers of a pool."""
        return self.registry.get_pool_workers(pool)

    def get_hosts_with_worker(self) -> set[ids.HostId]:
        """Return the hosts whose workers report to this leader."""
        return self.registry.get_hosts()

    def find_worker(self, key: workers.WorkerKey) -> workers.Worker | None:
        """Return a worker, None if it is gone or has restarted since."""
        return self.registry.find(key)

    def get_pools(self) -> tuple[ids.PoolId, ...]:
        """Return the names of all pools of the configuration."""
        return tuple(pool.name for pool in self.ledger.configuration.pools)

    def is_standby(self, name: ids.PoolId) -> bool:
        """Return whether a pool holds hosts that are switched off."""
        return any(
            pool.name == name and pool.is_standby
            for pool in self.ledger.configuration.pools
        )

    # Jobs.

    def accept_job(
        self,
        name: ids.JobId,
        spec: specs.Job,
        queue: specs.Queue,
        organisation: ids.OrganisationId = organisations.NO_ORGANISATION,
    ) -> None:
        """Record an accepted job and make its tasks eligible to start."""
        self.record_change(
            admission.build_acceptance(
                name, spec, queue, organisation, self.wall_time
            )
        )
        self._track_job(progress.JobProgress(name, self.ledger.jobs[name]))
        self.pools.record_accepted_job(queue.pool, spec, organisation)

    def cancel_job(self, name: ids.JobId) -> None:
        """Cancel a job; the next heartbeat answers stop its runs."""
        self.record_change(ledger.JobCancelled(name, self.wall_time))
        self._untrack_job(name)

    def cancel_unknown_job(self, name: ids.JobId) -> None:
        """Note that a job is cancelled whose submission may be on its way."""
        cancels = self.ledger.early_cancels
        if name in cancels:
            return
        if len(cancels) >= retention.MAX_EARLY_CANCELS:
            self.record_change(ledger.JobForgotten(next(iter(cancels))))
        self.record_change(ledger.JobCancelled(name, self.wall_time))
        self._early_cancels.add(name, self.wall_time)

    def accept_cancelled_job(
        self,
        name: ids.JobId,
        spec: specs.Job,
        queue: specs.Queue,
        organisation: ids.OrganisationId,
    ) -> None:
        """Record a job that was cancelled before its submission came."""
        self.record_change(
            admission.build_acceptance(
                name, spec, queue, organisation, self.wall_time
            )
        )
        self.record_change(ledger.JobCancelled(name, self.wall_time))
        self._ended_jobs.add(name, self.wall_time)

    def end_run(
        self,
        key: workers.RunKey,
        how: states.RunEnd,
        checkpoint: str,
        worker: ids.WorkerId,
    ) -> None:
        """Record the end of a run; ignore it for superseded attempts."""
        name, task, attempt = key
        job = self.jobs.get(name)
        run = job and job.record.tasks.get(task)
        if run and how is states.RunEnd.DONE:
            self._restore_lost_run(job, key, worker)
        if (
            not run
            or run.attempt != attempt
            or run.stage is not states.RunStage.RUNNING
            or run.worker != worker
        ):
            return
        self.record_change(
            ledger.TaskEnded(
                name, task, attempt, how, checkpoint, self.wall_time
            )
        )
        job.record_end(task)
        if not job.record.is_ended:
            self.crashes.track_waiting(name, task, job.record.pool)
        if how is not states.RunEnd.DONE:
            LOG.info(
                logs.format_event(
                    'task_ended',
                    job=name,
                    task=task,
                    attempt=attempt,
                    how=how,
                    worker=worker,
                    failures=run.failures,
                )
            )
        if job.record.is_ended:
            self._finish_job(job)

    def give_up_task(self, name: ids.JobId, task: ids.TaskName) -> None:
        """Fail a job with a task that crashes the workers that start it."""
        self.record_change(ledger.TaskGivenUp(name, task, self.wall_time))
        self._finish_job(self.jobs[name])

    def _finish_job(self, job: progress.JobProgress) -> None:
        LOG.info(
            logs.format_event(
                'job_ended',
                job=job.name,
                state=job.record.state,
                failure=job.record.failure,
                age_s=self.wall_time - job.record.accepted_at,
                objective_ms=job.record.objective_ms,
            )
        )
        self._untrack_job(job.name)

    def _restore_lost_run(
        self,
        job: progress.JobProgress,
        key: workers.RunKey,
        worker: ids.WorkerId,
    ) -> None:
        """Count the result of a run that was given up but has succeeded.

        Its worker was silent for longer than its lease. If the task has not
        been started again, the run is recorded once more before its end. Both
        changes are of kinds that members of earlier builds apply in the same
        way.
        """
        name, task, attempt = key
        if not job.reclaim_task(task, attempt, worker):
            return
        run = job.record.tasks[task]
        self.record_change(
            ledger.TaskStarted(
                name,
                task,
                attempt,
                worker,
                run.incarnation,
                run.sequence,
                run.host,
                run.started_at,
            )
        )
        job.record_start(task, worker)
        LOG.info(
            logs.format_event(
                'lost_run_succeeded',
                job=name,
                task=task,
                attempt=attempt,
                worker=worker,
            )
        )

    def _track_job(self, job: progress.JobProgress) -> None:
        name = job.name
        self.job_table.add(job)
        for task, run in job.record.tasks.items():
            if run.is_suspect:
                self.crashes.track_waiting(name, task, job.record.pool)
            if run.stage is states.RunStage.RUNNING:
                need = workers.get_reserved_resources(job.get_step(task))
                key = (name, task, run.attempt)
                self._unconfirmed.add(key, run, need)

    def _untrack_job(self, name: ids.JobId) -> None:
        job = self.job_table.remove(name)
        if job is not None:
            self.crashes.forget_job(name, job.record.pool)
            self._ended_jobs.add(name, job.record.ended_at)

    def get_long_running_wait_s(self, name: ids.JobId) -> float:
        """Return how long a long-running job has had a task waiting."""
        return self.waits.get_wait_s(name, self.now)

    def _forget_ended_jobs(self) -> None:
        horizon = self.wall_time - self.limits.status_s
        for name in self._ended_jobs.take_older(horizon):
            self.record_change(ledger.JobForgotten(name))
        for name in self._early_cancels.take_older(horizon):
            # The job may have come since, and be kept for longer.
            if name in self.ledger.early_cancels:
                self.record_change(ledger.JobForgotten(name))

    # Workers.

    def is_long_running_run(self, key: workers.RunKey) -> bool:
        """Return whether a run belongs to a long-running task."""
        return self.job_table.is_long_running_run(key)

    def has_newer_incarnation(self, heartbeat: calls.Heartbeat) -> bool:
        """Return whether a newer worker is known with this name or host.

        A heartbeat that a network partition delayed may arrive after its
        worker has ended and a newer one runs on the same host.
        """
        if self.registry.has_newer_incarnation(heartbeat):
            return True
        return (
            heartbeat.worker not in self.workers
            and self._unconfirmed.has_newer_incarnation(
                heartbeat.worker, heartbeat.incarnation
            )
        )

    def add_worker(self, heartbeat: calls.Heartbeat) -> workers.Worker:
        """Register the worker, or new incarnation, that sent a heartbeat."""
        old = self.workers.get(heartbeat.worker)
        if old is not None:
            self.drop_worker(old, states.WorkerExit.RESTARTED)
        worker = self.registry.add(heartbeat, self.now)
        self._restore_runs(worker)
        self.upkeep.cordon_ordered_host(worker)
        for other in self.registry.find_replaced(worker):
            self.drop_worker(other, states.WorkerExit.REPLACED)
        self.crashes.explain_last_loss(worker)
        return worker

    def _restore_runs(self, worker: workers.Worker) -> None:
        """Keep the logged runs of this incarnation; end older ones as lost.

        Runs of an earlier worker of the same host have ended as well.
        """
        older = self._unconfirmed.take_older(
            worker.name, worker.host, worker.incarnation
        )
        for name, keys in older:
            self._end_unheard_worker(name, keys)
        confirmed = self._unconfirmed.take_confirmed(
            worker.name, worker.incarnation
        )
        for key, run, need in confirmed:
            worker.ordered[key] = need
            self.crashes.record_start(worker, key, run)

    def _end_unheard_worker(
        self, name: ids.WorkerId, keys: Sequence[workers.RunKey]
    ) -> None:
        """End runs of a worker that has not reported to this leader."""
        self.crashes.record_unheard_worker(name, keys)
        for key in keys:
            self.end_run(key, states.RunEnd.LOST, '', name)

    def drain_worker(self, worker: workers.Worker) -> None:
        """Let a worker that announced its exit drain.

        Its lease stays as it is. The worker may not receive the
        acknowledgement and go on, and an announcement that was delayed may
        be that of an earlier life under its name.
        """
        if worker.state is states.WorkerState.READY:
            leave_s = self.limits.leave_ms / MS_PER_S
            worker.exit_due_at = self.now + leave_s
        worker.state = states.WorkerState.DRAINING

    def drop_worker(
        self, worker: workers.Worker, reason: states.WorkerExit
    ) -> None:
        """Remove a worker that has ended, and end its runs as lost."""
        self.registry.remove(worker, reason, self.now)
        self.usage.drop_worker(worker.name)
        self.crashes.record_lost_worker(worker, reason)
        for key in list(worker.ordered):
            self.end_run(key, states.RunEnd.LOST, '', worker.name)

    def _end_unconfirmed_runs(self, ended_runs: int) -> None:
        if not self._has_dropped_unheard_usage:
            self._has_dropped_unheard_usage = True
            self.usage.keep_workers(self.workers)
        for worker, runs in self._unconfirmed.take_all():
            ended_runs += len(runs)
            LOG.warning(
                logs.format_event(
                    'worker_unheard', worker=worker, runs=len(runs)
                )
            )
            self._end_unheard_worker(worker, runs)
            if ended_runs >= tuning.MAX_LOST_RUNS_PER_TICK:
                return
