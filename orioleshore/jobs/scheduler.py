"""Scheduling decisions of the leader, without input or output.

``Scheduler.handle`` computes the answer to a call and the changes that must
be committed to the replicated log before the answer is sent. Its user
commits the changes; if the commit fails, the scheduler is discarded and
rebuilt from the log.
"""

from collections.abc import Callable
from collections.abc import Sequence
import logging

from result import Ok
from result import Result

from orioleshore.jobs import admission
from orioleshore.jobs import answers
from orioleshore.jobs import approvals
from orioleshore.jobs import calls
from orioleshore.jobs import crash_attribution
from orioleshore.jobs import fair_shares
from orioleshore.jobs import gangs
from orioleshore.jobs import handlers
from orioleshore.jobs import holds
from orioleshore.jobs import known_hosts
from orioleshore.jobs import ledger
from orioleshore.jobs import orders
from orioleshore.jobs import organisations
from orioleshore.jobs import pools
from orioleshore.jobs import progress
from orioleshore.jobs import roster
from orioleshore.jobs import specs
from orioleshore.jobs import tuning
from orioleshore.jobs import upkeep
from orioleshore.jobs import workers
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.quotas import shares
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

MS_PER_S = 1_000.0


class TickError(Exception):
    """A step of the periodic work failed; the cause is chained."""

    def __init__(self, step: states.TickStep) -> None:
        super().__init__(f'step {step.value} failed')
        self.step = step


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
    ) -> None:
        self.ledger = job_ledger
        self.epoch = epoch
        self.limits = limits
        self.leader_address = leader_address
        self.now = now
        self.wall_time = ids.WallTime(0.0)
        self.leader_since = now
        # Changed only by add_worker and drop_worker.
        self.workers: dict[ids.WorkerId, workers.Worker] = {}
        self._roster = roster.Roster()
        self.jobs: dict[ids.JobId, progress.JobProgress] = {}
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
        self.usage = organisations.Usage()
        self._directory = organisations.Directory(job_ledger.configuration)
        logged = organisations.list_logged_holdings(
            job_ledger.jobs, self.max_lease_s
        )
        for worker, holdings in logged.items():
            self.usage.set_worker(worker, holdings)
        # Runs according to the log whose worker has not yet reported to
        # this leader.
        self._unconfirmed_runs: dict[
            ids.WorkerId, dict[workers.RunKey, specs.Resources]
        ] = {}
        # The hosts of these workers, as far as the log names them.
        self._unconfirmed_hosts: dict[ids.HostId, ids.WorkerId] = {}
        self._jobs_by_pool: dict[ids.PoolId, dict[ids.JobId, None]] = {}
        self._tick_steps: dict[states.TickStep, Callable[[], None]] = {
            states.TickStep.LEASES: self._end_expired_leases,
            states.TickStep.JOBS: self._update_jobs,
            states.TickStep.GANGS: self._plan_gangs,
            states.TickStep.APPROVALS: self.approvals.advance,
            states.TickStep.HOST_LIST: self._request_host_list,
            states.TickStep.UPKEEP: self._advance_upkeep,
            states.TickStep.POOLS: self._advance_pools,
        }
        for name, record in job_ledger.jobs.items():
            if not record.is_ended:
                self._track_job(name, record)

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
        for step, run in self._tick_steps.items():
            if step in paused:
                continue
            try:
                run()
            except Exception as error:
                raise TickError(step) from error

    def _end_expired_leases(self) -> None:
        for worker in list(self.workers.values()):
            if self.now >= worker.lease_end:
                self.drop_worker(worker, states.WorkerExit.LEASE_ENDED)
        if self.now >= self.leader_since + self.max_lease_s:
            self._end_unconfirmed_runs()

    def _update_jobs(self) -> None:
        self._forget_ended_jobs()
        self.crashes.forget_old_losses()
        admission.update_fair_shares(self)
        self.waits.update(self)

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
        ledger.apply_change(change, self.ledger)
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
        """Return whether the organisation of a job may start more."""
        name = job.record.organisation
        return shares.fits_limit(
            self.usage.get_used(name), need, self.directory.get_limit(name)
        )

    def get_pool_jobs(self, pool: ids.PoolId) -> list[progress.JobProgress]:
        """Return the unfinished jobs of a pool."""
        return [self.jobs[name] for name in self._jobs_by_pool.get(pool, ())]

    def get_pool_workers(self, pool: ids.PoolId) -> list[workers.Worker]:
        """Return the known workers of a pool."""
        return list(self._roster.iterate_pool_workers(pool))

    def get_hosts_with_worker(self) -> set[ids.HostId]:
        """Return the hosts whose workers report to this leader."""
        return {worker.host for worker in self.workers.values()}

    def set_worker_pool(
        self, worker: workers.Worker, pool: ids.PoolId
    ) -> None:
        """Note the pool that a worker reports."""
        self._roster.set_pool(worker, pool)

    def find_worker(self, key: workers.WorkerKey) -> workers.Worker | None:
        """Return a worker, None if it is gone or has restarted since."""
        worker = self.workers.get(key.name)
        return worker if worker and worker.key == key else None

    def get_pools(self) -> tuple[ids.PoolId, ...]:
        """Return the names of all pools of the configuration."""
        return tuple(pool.name for pool in self.ledger.configuration.pools)

    def is_standby(self, name: ids.PoolId) -> bool:
        """Return whether a pool holds hosts that are switched off."""
        return any(
            pool.name == name and pool.is_standby
            for pool in self.ledger.configuration.pools
        )

    def has_long_running_task(self, worker: workers.Worker) -> bool:
        """Return whether a worker was ordered to run a long-running task."""
        return any(self.is_long_running_run(key) for key in worker.ordered)

    def has_only_long_running_tasks(self, worker: workers.Worker) -> bool:
        """Return whether a worker runs nothing but long-running tasks."""
        for key in (*worker.ordered, *worker.listed):
            job = self.jobs.get(key[0])
            if job is None or not job.get_step(key[1]).is_long_running:
                return False
        return True

    # Jobs.

    def find_target(
        self, host: str, path: str
    ) -> Result[tuple[specs.Queue, ids.JobId], errors.Failure]:
        """Return the queue of a path and the job id, which may be empty."""
        if not self.ledger.configuration.version:
            return answers.build_failure(
                errors.ErrorKind.NOT_READY, 'no configuration yet'
            )
        queue = specs.find_queue(self.ledger.configuration, host, path)
        if queue is None:
            return answers.build_failure(
                errors.ErrorKind.NOT_FOUND, f'no queue for {host}{path}'
            )
        return Ok((queue, ids.JobId(path[len(queue.prefix) :])))

    def accept_job(
        self,
        name: ids.JobId,
        spec: specs.Job,
        queue: specs.Queue,
        organisation: ids.OrganisationId = organisations.NO_ORGANISATION,
    ) -> None:
        """Record an accepted job and make its tasks eligible to start."""
        self.record_change(
            ledger.JobAccepted(
                name,
                spec,
                queue.host,
                queue.prefix,
                queue.pool,
                queue.priority,
                queue.max_attempts,
                admission.get_objective_ms(spec, queue),
                self.wall_time,
                queue.needs_approval,
                organisation,
            )
        )
        self._track_job(name, self.ledger.jobs[name])
        self.pools.record_accepted_job(queue.pool, spec, organisation)

    def cancel_job(self, name: ids.JobId) -> None:
        """Cancel a job; the next heartbeat answers stop its runs."""
        self.record_change(ledger.JobCancelled(name, self.wall_time))
        self._untrack_job(name)

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
        """Mark a run as running again that was given up but has succeeded.

        Its worker was silent for longer than its lease. If the task has not
        been started again, its result counts. Both changes are of kinds that
        members of earlier builds apply in the same way.
        """
        name, task, attempt = key
        run = job.record.tasks[task]
        group = job.get_group(task)
        _, _, index = specs.parse_task_name(task)
        if (
            run.stage is not states.RunStage.WAITING
            or run.attempt != attempt
            or run.worker != worker
            or group.step.is_gang
            or group.step.is_long_running
            or index not in group.waiting
        ):
            return
        group.waiting.remove(index)
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

    def _track_job(self, name: ids.JobId, record: ledger.JobRecord) -> None:
        job = progress.JobProgress(name, record)
        self.jobs[name] = job
        self._jobs_by_pool.setdefault(record.pool, {})[name] = None
        for task, run in record.tasks.items():
            self.crashes.track_waiting(name, task, record.pool)
            if run.stage is not states.RunStage.RUNNING:
                continue
            key = (name, task, run.attempt)
            need = workers.get_reserved_resources(job.get_step(task))
            self._unconfirmed_runs.setdefault(run.worker, {})[key] = need
            if run.host:
                self._unconfirmed_hosts[run.host] = run.worker

    def _untrack_job(self, name: ids.JobId) -> None:
        job = self.jobs.pop(name, None)
        if job is not None:
            self._jobs_by_pool[job.record.pool].pop(name, None)
            self.crashes.forget_job(name, job.record.pool)

    def get_long_running_wait_s(self, name: ids.JobId) -> float:
        """Return how long a long-running job has had a task waiting."""
        return self.waits.get_wait_s(name, self.now)

    def _forget_ended_jobs(self) -> None:
        horizon = self.wall_time - self.limits.status_s
        for name, record in list(self.ledger.jobs.items()):
            if record.is_ended and record.ended_at < horizon:
                self.record_change(ledger.JobForgotten(name))

    # Workers.

    def is_long_running_run(self, key: workers.RunKey) -> bool:
        """Return whether a run belongs to a long-running task."""
        job = self.jobs.get(key[0])
        return job is not None and job.get_step(key[1]).is_long_running

    def record_run_time(
        self,
        worker: workers.Worker,
        key: workers.RunKey,
        how: states.RunEnd,
    ) -> None:
        """Add the duration of a successful run to the pool's statistics."""
        started_at = worker.start_ordered_at.pop(key, None)
        if started_at is not None and how is states.RunEnd.DONE:
            self.run_times.add_run_time(worker.pool, self.now - started_at)

    def is_valid_task(self, name: ids.JobId, task: ids.TaskName) -> bool:
        """Return whether a job has this task, or the job is unknown."""
        record = self.ledger.jobs.get(name)
        if record is None:
            return True
        occurrence, position, index = specs.parse_task_name(task)
        return (
            occurrence < record.job.occurrence_count
            and position < len(record.job.steps)
            and index < record.job.steps[position].tasks
        )

    def get_reserved_resources(self, key: workers.RunKey) -> specs.Resources:
        """Return the resources that a run reserves on its worker."""
        record = self.ledger.jobs.get(key[0])
        if record is None:
            return specs.Resources()
        _, position, _ = specs.parse_task_name(key[1])
        if position >= len(record.job.steps):
            return specs.Resources()
        return workers.get_reserved_resources(record.job.steps[position])

    def has_newer_incarnation(self, heartbeat: calls.Heartbeat) -> bool:
        """Return whether a newer worker is known with this name or host.

        A heartbeat that a network partition delayed may arrive after its
        worker has ended and a newer one runs on the same host.
        """
        known = self.workers.get(heartbeat.worker)
        if known is not None and known.incarnation > heartbeat.incarnation:
            return True
        if known is None and self._has_run_of_newer_life(heartbeat):
            return True
        return any(
            other.incarnation > heartbeat.incarnation
            for other in self._roster.get_host_workers(heartbeat.host)
        )

    def _has_run_of_newer_life(self, heartbeat: calls.Heartbeat) -> bool:
        """Return whether the log names a newer life of an unheard worker."""
        runs = map(
            self.find_run, self._unconfirmed_runs.get(heartbeat.worker, ())
        )
        return any(
            run is not None and run.incarnation > heartbeat.incarnation
            for run in runs
        )

    def add_worker(self, heartbeat: calls.Heartbeat) -> workers.Worker:
        """Register the worker, or new incarnation, that sent a heartbeat."""
        old = self.workers.get(heartbeat.worker)
        if old is not None:
            self.drop_worker(old, states.WorkerExit.RESTARTED)
        worker = workers.Worker(
            heartbeat.worker,
            heartbeat.incarnation,
            heartbeat.host,
            heartbeat.pool,
            heartbeat.zone,
            heartbeat.capacity,
            heartbeat.labels,
            found_at=self.now,
        )
        self.workers[heartbeat.worker] = worker
        self._roster.add(worker)
        self._restore_runs(worker)
        self.upkeep.cordon_ordered_host(worker)
        self._drop_replaced_workers(worker)
        self.crashes.explain_last_loss(worker)
        LOG.info(
            logs.format_event(
                'worker_found',
                worker=worker.name,
                incarnation=worker.incarnation,
                host=worker.host,
                pool=worker.pool,
                rack=worker.rack,
            )
        )
        return worker

    def _restore_runs(self, worker: workers.Worker) -> None:
        """Keep the logged runs of this incarnation; end older ones as lost.

        Runs of an earlier worker of the same host have ended as well.
        """
        previous = self._unconfirmed_hosts.get(worker.host, worker.name)
        for name in dict.fromkeys((previous, worker.name)):
            self._end_older_runs(name, worker.incarnation)
        runs = self._unconfirmed_runs.get(worker.name, {})
        for key, need in list(runs.items()):
            run = self.find_run(key)
            # If its job has ended since, the heartbeat answer stops the run.
            if run is None or run.incarnation == worker.incarnation:
                del runs[key]
            if run is not None and run.incarnation == worker.incarnation:
                worker.ordered[key] = need
                self.crashes.record_start(worker, key, run)

    def _end_older_runs(
        self, name: ids.WorkerId, incarnation: ids.Incarnation
    ) -> None:
        """End the unconfirmed runs of a worker's older incarnations."""
        runs = self._unconfirmed_runs.get(name, {})
        found = {key: self.find_run(key) for key in runs}
        older = [
            key
            for key, run in found.items()
            if run is not None and run.incarnation < incarnation
        ]
        self._end_unheard_worker(name, older)
        for key in older:
            del runs[key]

    def find_run(self, key: workers.RunKey) -> ledger.RunRecord | None:
        """Return the record of a run if it is its task's newest attempt."""
        job = self.jobs.get(key[0])
        run = job.record.tasks.get(key[1]) if job else None
        return run if run and run.attempt == key[2] else None

    def _end_unheard_worker(
        self, name: ids.WorkerId, keys: Sequence[workers.RunKey]
    ) -> None:
        """End runs of a worker that has not reported to this leader."""
        self.crashes.record_unheard_worker(name, keys)
        for key in keys:
            self.end_run(key, states.RunEnd.LOST, '', name)

    def drain_worker(self, worker: workers.Worker) -> None:
        """Let a worker that announced its exit drain for a limited time."""
        exit_due_at = self.now + self.limits.leave_ms / MS_PER_S
        if worker.state is states.WorkerState.READY:
            worker.exit_due_at = exit_due_at
        worker.state = states.WorkerState.DRAINING
        worker.lease_end = min(worker.lease_end, exit_due_at)

    def _drop_replaced_workers(self, worker: workers.Worker) -> None:
        # A host runs one worker at a time, so a newer worker implies that
        # the previous one and all its runs have ended.
        for other in self._roster.get_host_workers(worker.host):
            is_older = other.incarnation < worker.incarnation
            if other.name != worker.name and is_older:
                self.drop_worker(other, states.WorkerExit.REPLACED)

    def drop_worker(
        self, worker: workers.Worker, reason: states.WorkerExit
    ) -> None:
        """Remove a worker that has ended, and end its runs as lost."""
        del self.workers[worker.name]
        self._roster.remove(worker)
        self.usage.drop_worker(worker.name)
        LOG.warning(
            logs.format_event(
                'worker_lost',
                worker=worker.name,
                host=worker.host,
                pool=worker.pool,
                why=reason,
                runs=len(worker.ordered),
                silent_s=self.now - worker.last_heartbeat_at,
            )
        )
        self.crashes.record_lost_worker(worker, reason)
        for key in list(worker.ordered):
            self.end_run(key, states.RunEnd.LOST, '', worker.name)

    def _end_unconfirmed_runs(self) -> None:
        unconfirmed, self._unconfirmed_runs = self._unconfirmed_runs, {}
        self._unconfirmed_hosts = {}
        self.usage.keep_workers(self.workers)
        for worker, runs in unconfirmed.items():
            LOG.warning(
                logs.format_event(
                    'worker_unheard', worker=worker, runs=len(runs)
                )
            )
            self._end_unheard_worker(worker, tuple(runs))
