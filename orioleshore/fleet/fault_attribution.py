"""Attribution of failures: to a faulty worker or to a faulty job."""

import msgspec

from orioleshore.model import ids

# Number of different jobs that fail on a worker without a success before the
# worker is suspended, and of different workers on which a job fails before
# the job is quarantined.
WORKER_FAILURE_LIMIT = 3
JOB_FAILURE_LIMIT = 3
# Length of the first suspension of a worker. Each further suspension without
# a success doubles it, up to the maximum.
SUSPENSION_S = 300.0
MAX_SUSPENSION_S = 3_600.0


class SuspendWorker(msgspec.Struct, frozen=True):
    """A worker is at fault: several different jobs failed on it."""

    worker: ids.HostId
    jobs: tuple[ids.JobId, ...]
    suspended_s: float


class ReinstateWorker(msgspec.Struct, frozen=True):
    """A worker is not at fault: a job succeeded, or its jobs are at fault."""

    worker: ids.HostId


class JobAtFault(msgspec.Struct, frozen=True):
    """A job failed on several workers on which other jobs succeed."""

    job: ids.JobId
    workers: tuple[ids.HostId, ...]


Finding = SuspendWorker | ReinstateWorker | JobAtFault


class _WorkerHealth(msgspec.Struct):
    # Jobs that failed since the last success; True if the failure counts
    # against the worker.
    recent_failures: dict[ids.JobId, bool] = {}
    # The two latest jobs that succeeded. With two, a failed job can always
    # be compared with another one.
    recent_successes: dict[ids.JobId, None] = {}
    suspensions: int = 0
    is_suspended: bool = False
    is_on_probation: bool = False
    # Jobs that failed before or during the suspension.
    suspension_jobs: dict[ids.JobId, None] = {}


class FaultAttribution:
    """Records results by job and by worker, and finds which is at fault."""

    def __init__(self) -> None:
        self._failed_workers: dict[ids.JobId, dict[ids.HostId, None]] = {}
        self._worker_health: dict[ids.HostId, _WorkerHealth] = {}
        self._suspended_workers: dict[ids.HostId, None] = {}

    def get_failed_workers(self, job: ids.JobId) -> frozenset[ids.HostId]:
        """Return the workers on which a job failed."""
        return frozenset(self._failed_workers.get(job, ()))

    def is_suspended(self, worker: ids.HostId) -> bool:
        """Return whether a worker is suspended or on probation."""
        health = self._worker_health.get(worker)
        return health is not None and health.is_suspended

    def record_success(
        self, job: ids.JobId, worker: ids.HostId
    ) -> list[Finding]:
        """Record a success; it may show that other jobs are at fault."""
        health = self._worker_health.setdefault(worker, _WorkerHealth())
        suspected_jobs = list(health.recent_failures)
        health.recent_failures.clear()
        health.recent_successes.pop(job, None)
        health.recent_successes[job] = None
        while len(health.recent_successes) > 2:
            del health.recent_successes[next(iter(health.recent_successes))]
        self._failed_workers.pop(job, None)
        findings: list[Finding] = []
        if health.is_suspended:
            findings.append(self._reinstate_worker(worker, health))
        for job_in_doubt in suspected_jobs:
            findings += self._find_job_at_fault(job_in_doubt)
        return findings

    def record_failure(
        self, job: ids.JobId, worker: ids.HostId
    ) -> list[Finding]:
        """Record a failure of a job on a worker."""
        health = self._worker_health.setdefault(worker, _WorkerHealth())
        if health.is_suspended and not health.is_on_probation:
            # Placed before the suspension; the failure does not count
            # against the job.
            health.suspension_jobs[job] = None
            return []
        failed_workers = self._failed_workers.setdefault(job, {})
        failed_workers[worker] = None
        # If the job failed on two other workers before, its failure does not
        # count against this worker.
        health.recent_failures[job] = len(failed_workers) < JOB_FAILURE_LIMIT
        failures = sum(health.recent_failures.values())
        if health.is_suspended or failures >= WORKER_FAILURE_LIMIT:
            return [self._suspend_worker(worker, health)]
        return self._find_job_at_fault(job)

    def begin_probation(self, worker: ids.HostId) -> None:
        """Let the next result on a suspended worker decide about it."""
        self._worker_health[worker].is_on_probation = True

    def clear_job(self, job: ids.JobId) -> None:
        """Drop the failures of a job."""
        for worker in self._failed_workers.pop(job, ()):
            health = self._worker_health.get(worker)
            if health is not None:
                health.recent_failures.pop(job, None)

    def clear_worker(self, worker: ids.HostId) -> None:
        """Drop the results of a worker, for instance after its repair."""
        self._worker_health.pop(worker, None)
        self._suspended_workers.pop(worker, None)
        for failed_workers in self._failed_workers.values():
            failed_workers.pop(worker, None)

    def _suspend_worker(
        self, worker: ids.HostId, health: _WorkerHealth
    ) -> SuspendWorker:
        jobs = tuple(health.recent_failures)
        # The worker is at fault, so its failures do not count against jobs.
        for job in jobs:
            self._failed_workers.get(job, {}).pop(worker, None)
        suspended_s = min(
            MAX_SUSPENSION_S, SUSPENSION_S * 2**health.suspensions
        )
        health.suspension_jobs |= dict.fromkeys(jobs)
        health.recent_failures.clear()
        health.recent_successes.clear()
        health.is_suspended = True
        health.is_on_probation = False
        health.suspensions += 1
        self._suspended_workers[worker] = None
        return SuspendWorker(worker, jobs, suspended_s)

    def _reinstate_worker(
        self, worker: ids.HostId, health: _WorkerHealth
    ) -> ReinstateWorker:
        health.is_suspended = False
        health.is_on_probation = False
        health.suspensions = 0
        health.suspension_jobs.clear()
        self._suspended_workers.pop(worker, None)
        return ReinstateWorker(worker)

    def _reinstate_workers(self, job: ids.JobId) -> list[Finding]:
        """Reinstate workers whose failures with other jobs are too few."""
        findings: list[Finding] = []
        for worker in list(self._suspended_workers):
            health = self._worker_health[worker]
            if job not in health.suspension_jobs:
                continue
            del health.suspension_jobs[job]
            if len(health.suspension_jobs) < WORKER_FAILURE_LIMIT:
                findings.append(self._reinstate_worker(worker, health))
        return findings

    def _find_job_at_fault(self, job: ids.JobId) -> list[Finding]:
        proven_workers = tuple(
            worker
            for worker in self._failed_workers.get(job, ())
            if self._has_other_success(worker, job)
        )
        if len(proven_workers) < JOB_FAILURE_LIMIT:
            return []
        self.clear_job(job)
        return [JobAtFault(job, proven_workers), *self._reinstate_workers(job)]

    def _has_other_success(self, worker: ids.HostId, job: ids.JobId) -> bool:
        health = self._worker_health.get(worker)
        if health is None or health.is_suspended:
            return False
        return any(other != job for other in health.recent_successes)
