"""Decisions of the leader about callers' jobs, without input or output.

``handle`` turns a call into its answer and the changes that must be in the
log before the answer leaves. The caller commits the changes; when that
fails, the whole scheduler is thrown away and built anew from the log.
"""

import logging

from result import Ok
from result import Result

from orioleshore.jobs import admission
from orioleshore.jobs import answers
from orioleshore.jobs import approvals
from orioleshore.jobs import calls
from orioleshore.jobs import eligibility
from orioleshore.jobs import gangs
from orioleshore.jobs import handlers
from orioleshore.jobs import ledger
from orioleshore.jobs import orders
from orioleshore.jobs import pools
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import tuning
from orioleshore.jobs import upkeep
from orioleshore.jobs import workers
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# A lasting task that waits for longer is worth a log line; half of what
# the platform allows from its last run.
LONG_WAIT_S = 3.0
MS_PER_S = 1_000.0


class Scheduler:
    """State of the leader's decisions; times are seconds.

    ``now`` is monotonic, ``wall`` the time of day.
    """

    def __init__(
        self,
        book: ledger.Ledger,
        epoch: ids.Epoch,
        limits: tuning.Tuning,
        leader: str,
        now: float,
    ) -> None:
        self.book = book
        self.epoch = epoch
        self.limits = limits
        self.leader = leader
        self.now = now
        self.wall = ids.WallTime(0.0)
        self.gained_at = now
        self.workers: dict[ids.WorkerId, workers.Worker] = {}
        self.jobs: dict[ids.JobId, progress.JobProgress] = {}
        self.orders = orders.OrderBook(limits, epoch, self._record_order)
        self.upkeep = upkeep.Upkeep(self)
        self.pools = pools.Pools(self)
        self.approvals = approvals.Approvals(self)
        self.run_times = admission.RunTimes()
        self.promises = admission.Promises()
        self._changes: list[ledger.Change] = []
        self._has_looked_at_leases = False
        # Since when lasting jobs lack a task, and those already logged.
        self._waits_since: dict[ids.JobId, float] = {}
        self._long_waits: set[ids.JobId] = set()
        # Runs of workers that did not report to this leader yet.
        self._unheard: dict[
            ids.WorkerId, dict[workers.RunKey, specs.Resources]
        ] = {}
        self._pools: dict[ids.PoolId, dict[ids.JobId, None]] = {}
        for name, record in book.jobs.items():
            if not record.is_ended:
                self._adopt(name, record)

    # Interface to the task.

    def handle(
        self, call: calls.Call, now: float, wall: ids.WallTime
    ) -> answers.Answer:
        """Decide about a call."""
        self.now = now
        self.wall = wall
        return handlers.handle(call, self)

    def tick(self, now: float, wall: ids.WallTime) -> None:
        """Give up workers whose leases ended, and advance upkeep."""
        self.now = now
        self.wall = wall
        for worker in list(self.workers.values()):
            if now >= worker.lease_end:
                self.drop_worker(worker, 'lease_ended')
        if now >= self.gained_at + self.lease_span_s:
            self._drop_unheard()
        self._forget_jobs()
        self._note_waiting()
        gangs.plan_gangs(self)
        self.approvals.advance()
        if not self._has_looked_at_leases:
            self._has_looked_at_leases = True
            self.orders.wait_for_leases(self.book.ordered_at, now, wall)
        is_busy = self.upkeep.is_busy or self.pools.is_busy
        self.orders.list_when_due(now, is_busy)
        self.upkeep.advance()
        self.pools.advance()

    def take_changes(self) -> tuple[ledger.Change, ...]:
        """Return the changes made since the last call."""
        changes, self._changes = tuple(self._changes), []
        return changes

    @property
    def lease_span_s(self) -> float:
        """Longest time in which a lease that was granted may last."""
        lease_s = self.limits.lease_ms / MS_PER_S
        return lease_s * (1.0 + tuning.WORKER_CLOCK_DRIFT)

    def _record_order(self, host: ids.HostId) -> None:
        self.record(ledger.HostOrdered(host, self.wall))

    @property
    def has_heard_all(self) -> bool:
        """Whether each worker that still runs has reported by now."""
        return self.now >= self.gained_at + self.lease_span_s and (
            self.orders.listed_at >= self.gained_at
        )

    def record(self, change: ledger.Change) -> None:
        """Apply a change here and note it for the log."""
        ledger.apply_change(change, self.book)
        self._changes.append(change)

    def get_pool_jobs(self, pool: ids.PoolId) -> list[progress.JobProgress]:
        """Return the jobs whose tasks a pool runs."""
        return [self.jobs[name] for name in self._pools.get(pool, ())]

    def get_pool_workers(self, pool: ids.PoolId) -> list[workers.Worker]:
        """Return the known workers of a pool."""
        return [w for w in self.workers.values() if w.pool == pool]

    def get_pools(self) -> tuple[ids.PoolId, ...]:
        """Return the names of all pools of the configuration."""
        return tuple(pool.name for pool in self.book.configuration.pools)

    def is_standby(self, name: ids.PoolId) -> bool:
        """Return whether hosts of a pool are switched off."""
        return any(
            pool.name == name and pool.is_standby
            for pool in self.book.configuration.pools
        )

    def holds_lasting(self, worker: workers.Worker) -> bool:
        """Return whether a lasting task was ordered on a worker."""
        return any(self.is_lasting_run(key) for key in worker.ordered)

    def is_without_batch(self, worker: workers.Worker) -> bool:
        """Return whether only lasting tasks run on a worker."""
        for key in (*worker.ordered, *worker.listed):
            job = self.jobs.get(key[0])
            if job is None or not job.get_step(key[1]).is_lasting:
                return False
        return True

    # Jobs.

    def find_target(
        self, host: str, path: str
    ) -> Result[tuple[specs.Queue, ids.JobId], errors.Failure]:
        """Return queue and job that a path names; the job may be empty."""
        if not self.book.configuration.version:
            return answers.fail(
                errors.ErrorKind.NOT_READY, 'no configuration yet'
            )
        queue = specs.find_queue(self.book.configuration, host, path)
        if queue is None:
            return answers.fail(
                errors.ErrorKind.NOT_FOUND, f'no queue for {host}{path}'
            )
        return Ok((queue, ids.JobId(path[len(queue.prefix) :])))

    def accept(
        self, name: ids.JobId, spec: specs.Job, queue: specs.Queue
    ) -> None:
        """Take a job in."""
        self.record(
            ledger.JobAccepted(
                name,
                spec,
                queue.host,
                queue.prefix,
                queue.pool,
                queue.priority,
                queue.max_attempts,
                admission.get_objective_ms(spec, queue),
                self.wall,
                queue.needs_approval,
            )
        )
        self._adopt(name, self.book.jobs[name])
        self.pools.note_accepted(queue.pool, spec)

    def cancel(self, name: ids.JobId) -> None:
        """Cancel a job; its runs are stopped by the next heartbeats."""
        self.record(ledger.JobCancelled(name, self.wall))
        self._release_job(name)

    def end_run(
        self,
        key: workers.RunKey,
        how: states.RunEnd,
        checkpoint: str,
        worker: ids.WorkerId,
    ) -> None:
        """Note the end of a run, unless it is not the newest attempt."""
        name, task, attempt = key
        job = self.jobs.get(name)
        run = job and job.record.tasks.get(task)
        if (
            not run
            or run.attempt != attempt
            or run.stage is not states.RunStage.RUNNING
            or run.worker != worker
        ):
            return
        self.record(
            ledger.TaskEnded(name, task, attempt, how, checkpoint, self.wall)
        )
        job.end(task)
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
            LOG.info(
                logs.format_event(
                    'job_ended',
                    job=name,
                    state=job.record.state,
                    age_s=self.wall - job.record.accepted_at,
                    objective_ms=job.record.objective_ms,
                )
            )
            self._release_job(name)

    def _adopt(self, name: ids.JobId, record: ledger.JobRecord) -> None:
        job = progress.JobProgress(name, record)
        self.jobs[name] = job
        self._pools.setdefault(record.pool, {})[name] = None
        for task, run in record.tasks.items():
            if run.stage is not states.RunStage.RUNNING:
                continue
            key = (name, task, run.attempt)
            need = workers.get_reserved(job.get_step(task))
            self._unheard.setdefault(run.worker, {})[key] = need

    def _release_job(self, name: ids.JobId) -> None:
        job = self.jobs.pop(name, None)
        if job is not None:
            self._pools[job.record.pool].pop(name, None)

    def get_lasting_wait(self, name: ids.JobId) -> float:
        """Return for how long a task of a lasting job waits, in seconds."""
        return self.now - self._waits_since.get(name, self.now)

    def _note_waiting(self) -> None:
        """Note since when lasting jobs lack a task, and log long waits."""
        waits = {}
        for name, job in self.jobs.items():
            if not job.is_lasting or not job.find_open_groups(self.wall):
                continue
            waits[name] = self._waits_since.get(name, self.now)
            waited_s = self.now - waits[name]
            if waited_s >= LONG_WAIT_S and name not in self._long_waits:
                self._long_waits.add(name)
                self._log_long_wait(job, waited_s)
        self._waits_since = waits
        self._long_waits &= waits.keys()

    def _log_long_wait(
        self, job: progress.JobProgress, waited_s: float
    ) -> None:
        members = self.get_pool_workers(job.record.pool)
        LOG.warning(
            logs.format_event(
                'lasting_task_waits',
                job=job.job,
                pool=job.record.pool,
                waited_s=waited_s,
                workers=len(members),
                ready=sum(
                    eligibility.is_available(self, worker)
                    for worker in members
                ),
                free_cpu=[worker.get_free().cpu_millis for worker in members],
            )
        )

    def _forget_jobs(self) -> None:
        horizon = self.wall - self.limits.status_s
        for name, record in list(self.book.jobs.items()):
            if record.is_ended and record.ended_at < horizon:
                self.record(ledger.JobForgotten(name))

    # Workers.

    def is_lasting_run(self, key: workers.RunKey) -> bool:
        """Return whether a run is one of a lasting task."""
        job = self.jobs.get(key[0])
        return job is not None and job.get_step(key[1]).is_lasting

    def learn_run_time(
        self,
        worker: workers.Worker,
        key: workers.RunKey,
        how: states.RunEnd,
    ) -> None:
        """Learn from a run that was done how long the pool's runs take."""
        began = worker.began_at.pop(key, None)
        if began is not None and how is states.RunEnd.DONE:
            self.run_times.learn(worker.pool, self.now - began)

    def is_plausible(self, name: ids.JobId, task: ids.TaskName) -> bool:
        """Return whether a job has such a task, or is not known."""
        record = self.book.jobs.get(name)
        if record is None:
            return True
        occurrence, position, index = specs.parse_task_name(task)
        return (
            occurrence < record.job.occurrence_count
            and position < len(record.job.steps)
            and index < record.job.steps[position].tasks
        )

    def get_reserved(self, key: workers.RunKey) -> specs.Resources:
        """Return what a run takes of its worker, by its job's steps."""
        record = self.book.jobs.get(key[0])
        if record is None:
            return specs.Resources()
        _, position, _ = specs.parse_task_name(key[1])
        if position >= len(record.job.steps):
            return specs.Resources()
        return workers.get_reserved(record.job.steps[position])

    def has_newer_life(self, beat: calls.Heartbeat) -> bool:
        """Return whether the worker or its host has begun anew since.

        A report that was held up by a partition may arrive after its
        worker has ended and another one runs on the host.
        """
        return any(
            other.incarnation > beat.incarnation
            and (
                other.name == beat.worker
                or (bool(beat.host) and other.host == beat.host)
            )
            for other in self.workers.values()
        )

    def add_worker(self, beat: calls.Heartbeat) -> workers.Worker:
        """Begin to know a worker, or a new life of one."""
        old = self.workers.get(beat.worker)
        if old is not None:
            self.drop_worker(old, 'restarted')
        worker = workers.Worker(
            beat.worker,
            beat.incarnation,
            beat.host,
            beat.pool,
            beat.zone,
            beat.capacity,
            beat.labels,
        )
        self.workers[beat.worker] = worker
        for key, need in self._unheard.pop(beat.worker, {}).items():
            self._take_over_run(worker, key, need)
        self._drop_previous_lives(worker)
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

    def _take_over_run(
        self,
        worker: workers.Worker,
        key: workers.RunKey,
        need: specs.Resources,
    ) -> None:
        """Learn whether a run that the log knows is of this life."""
        job = self.jobs.get(key[0])
        run = job and job.record.tasks.get(key[1])
        if not run or run.attempt != key[2]:
            # Its job ended meanwhile; the worker is told to stop it.
            return
        if run.incarnation == worker.incarnation:
            worker.ordered[key] = need
        else:
            self.end_run(key, states.RunEnd.LOST, '', worker.name)

    def leave(self, worker: workers.Worker) -> None:
        """Wait for the end of a worker that said it leaves."""
        worker.state = states.WorkerState.DRAINING
        worker.lease_end = min(
            worker.lease_end, self.now + self.limits.leave_ms / MS_PER_S
        )

    def _drop_previous_lives(self, worker: workers.Worker) -> None:
        # A host runs one worker at a time, so a newer one proves that the
        # one before has ended with all its runs.
        for other in list(self.workers.values()):
            if (
                other.host == worker.host
                and other.host
                and other.name != worker.name
                and other.incarnation < worker.incarnation
            ):
                self.drop_worker(other, 'replaced')

    def drop_worker(self, worker: workers.Worker, why: str) -> None:
        """Forget a worker that has ended, and all runs on it."""
        del self.workers[worker.name]
        LOG.warning(
            logs.format_event(
                'worker_lost',
                worker=worker.name,
                host=worker.host,
                pool=worker.pool,
                why=why,
                runs=len(worker.ordered),
                silent_s=self.now - worker.heard_at,
            )
        )
        for key in list(worker.ordered):
            self.end_run(key, states.RunEnd.LOST, '', worker.name)

    def _drop_unheard(self) -> None:
        unheard, self._unheard = self._unheard, {}
        for worker, runs in unheard.items():
            LOG.warning(
                logs.format_event(
                    'worker_unheard', worker=worker, runs=len(runs)
                )
            )
            for key in runs:
                self.end_run(key, states.RunEnd.LOST, '', worker)
