"""Tells workers that fail everything from jobs that fail everywhere."""

import msgspec

from orioleshore.model import ids

# Different jobs that a worker fails in a row before it gets no more work,
# and different workers on which a job fails before it is quarantined.
WORKER_FAILURE_LIMIT = 3
JOB_FAILURE_LIMIT = 3
# Time without work of a failing worker; it doubles with every new failure.
SUSPENSION_S = 300.0
MAX_SUSPENSION_S = 3_600.0


class SuspendWorker(msgspec.Struct, frozen=True):
    """A worker fails whatever it is given."""

    worker: ids.HostId
    jobs: tuple[ids.JobId, ...]
    suspended_s: float


class ReinstateWorker(msgspec.Struct, frozen=True):
    """A worker finished a job, or the jobs that it failed are at fault."""

    worker: ids.HostId


class JobAtFault(msgspec.Struct, frozen=True):
    """A job fails on workers that run other work."""

    job: ids.JobId
    workers: tuple[ids.HostId, ...]


Finding = SuspendWorker | ReinstateWorker | JobAtFault


class _WorkerHealth(msgspec.Struct):
    # Jobs failed since the last success; true where the worker is suspect.
    failed: dict[ids.JobId, bool] = {}
    # Jobs that succeeded lately; one is evidence against any other job.
    succeeded: dict[ids.JobId, None] = {}
    suspensions: int = 0
    is_suspended: bool = False
    is_on_probation: bool = False
    # Jobs whose failures led to the suspension.
    failed_jobs: dict[ids.JobId, None] = {}


class FaultAttribution:
    """Failures by job and by worker."""

    def __init__(self) -> None:
        self._failed_on: dict[ids.JobId, dict[ids.HostId, None]] = {}
        self._health: dict[ids.HostId, _WorkerHealth] = {}
        self._suspended: dict[ids.HostId, None] = {}

    def get_failed_workers(self, job: ids.JobId) -> frozenset[ids.HostId]:
        """Return the workers on which a job failed."""
        return frozenset(self._failed_on.get(job, ()))

    def is_suspended(self, worker: ids.HostId) -> bool:
        """Return whether a worker gets no work, or is on probation."""
        health = self._health.get(worker)
        return health is not None and health.is_suspended

    def record_success(
        self, job: ids.JobId, worker: ids.HostId
    ) -> list[Finding]:
        """Take a success; it may show that other jobs are at fault."""
        health = self._health.setdefault(worker, _WorkerHealth())
        suspects = list(health.failed)
        health.failed.clear()
        health.succeeded.pop(job, None)
        health.succeeded[job] = None
        while len(health.succeeded) > 2:
            del health.succeeded[next(iter(health.succeeded))]
        self._failed_on.pop(job, None)
        findings: list[Finding] = []
        if health.is_suspended:
            findings.append(self._reinstate(worker, health))
        for suspect in suspects:
            findings += self._evaluate_job(suspect)
        return findings

    def record_failure(
        self, job: ids.JobId, worker: ids.HostId
    ) -> list[Finding]:
        """Take a failure of a job on a worker."""
        health = self._health.setdefault(worker, _WorkerHealth())
        if health.is_suspended and not health.is_on_probation:
            # Placed before the suspension; it says nothing about the job.
            health.failed_jobs[job] = None
            return []
        failed_on = self._failed_on.setdefault(job, {})
        failed_on[worker] = None
        # Once a job failed on two other workers, it is the one in doubt.
        health.failed[job] = len(failed_on) < JOB_FAILURE_LIMIT
        failures = sum(health.failed.values())
        if health.is_suspended or failures >= WORKER_FAILURE_LIMIT:
            return [self._suspend(worker, health)]
        return self._evaluate_job(job)

    def begin_probation(self, worker: ids.HostId) -> None:
        """Let the next task of a suspended worker decide about it."""
        self._health[worker].is_on_probation = True

    def forget_job(self, job: ids.JobId) -> None:
        """Drop what is known about a job."""
        for worker in self._failed_on.pop(job, ()):
            health = self._health.get(worker)
            if health is not None:
                health.failed.pop(job, None)

    def clear_worker(self, worker: ids.HostId) -> None:
        """Drop what is known about a worker, for instance after repair."""
        self._health.pop(worker, None)
        self._suspended.pop(worker, None)
        for failed_on in self._failed_on.values():
            failed_on.pop(worker, None)

    def _suspend(
        self, worker: ids.HostId, health: _WorkerHealth
    ) -> SuspendWorker:
        jobs = tuple(health.failed)
        # The worker is at fault, so its failures do not count for jobs.
        for job in jobs:
            self._failed_on.get(job, {}).pop(worker, None)
        suspended_s = min(
            MAX_SUSPENSION_S, SUSPENSION_S * 2**health.suspensions
        )
        health.failed_jobs |= dict.fromkeys(jobs)
        health.failed.clear()
        health.succeeded.clear()
        health.is_suspended = True
        health.is_on_probation = False
        health.suspensions += 1
        self._suspended[worker] = None
        return SuspendWorker(worker, jobs, suspended_s)

    def _reinstate(
        self, worker: ids.HostId, health: _WorkerHealth
    ) -> ReinstateWorker:
        health.is_suspended = False
        health.is_on_probation = False
        health.suspensions = 0
        health.failed_jobs.clear()
        self._suspended.pop(worker, None)
        return ReinstateWorker(worker)

    def _reinstate_workers(self, job: ids.JobId) -> list[Finding]:
        """Reinstate workers suspended mostly because of a job at fault."""
        findings: list[Finding] = []
        for worker in list(self._suspended):
            health = self._health[worker]
            if job not in health.failed_jobs:
                continue
            del health.failed_jobs[job]
            if len(health.failed_jobs) < WORKER_FAILURE_LIMIT:
                findings.append(self._reinstate(worker, health))
        return findings

    def _evaluate_job(self, job: ids.JobId) -> list[Finding]:
        proven = tuple(
            worker
            for worker in self._failed_on.get(job, ())
            if self._runs_other_work(worker, job)
        )
        if len(proven) < JOB_FAILURE_LIMIT:
            return []
        self.forget_job(job)
        return [JobAtFault(job, proven), *self._reinstate_workers(job)]

    def _runs_other_work(self, worker: ids.HostId, job: ids.JobId) -> bool:
        health = self._health.get(worker)
        if health is None or health.is_suspended:
            return False
        return any(other != job for other in health.succeeded)
