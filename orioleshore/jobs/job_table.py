"""The jobs that have not ended, found by name and by pool."""

from collections.abc import Mapping

from orioleshore.jobs import ledger
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids


class JobTable:
    """Owns the progress of the unfinished jobs.

    ``records`` are those of the ledger, which also holds ended jobs.
    """

    def __init__(self, records: Mapping[ids.JobId, ledger.JobRecord]) -> None:
        self.jobs: dict[ids.JobId, progress.JobProgress] = {}
        self._records = records
        self._by_pool: dict[ids.PoolId, dict[ids.JobId, None]] = {}

    def add(self, job: progress.JobProgress) -> None:
        """Add a job that has not ended."""
        self.jobs[job.name] = job
        self._by_pool.setdefault(job.record.pool, {})[job.name] = None

    def remove(self, name: ids.JobId) -> progress.JobProgress | None:
        """Remove and return a job, None if it is not in the table."""
        job = self.jobs.pop(name, None)
        if job is not None:
            self._by_pool[job.record.pool].pop(name, None)
        return job

    def get_pool_jobs(self, pool: ids.PoolId) -> list[progress.JobProgress]:
        """Return the unfinished jobs of a pool."""
        return [self.jobs[name] for name in self._by_pool.get(pool, ())]

    def find_run(self, key: workers.RunKey) -> ledger.RunRecord | None:
        """Return the record of a run if it is its task's newest attempt."""
        job = self.jobs.get(key[0])
        run = job.record.tasks.get(key[1]) if job else None
        return run if run and run.attempt == key[2] else None

    def is_long_running_run(self, key: workers.RunKey) -> bool:
        """Return whether a run belongs to a long-running task."""
        job = self.jobs.get(key[0])
        return job is not None and job.get_step(key[1]).is_long_running

    def has_long_running_task(self, worker: workers.Worker) -> bool:
        """Return whether a worker was ordered to run a long-running task."""
        return any(self.is_long_running_run(key) for key in worker.ordered)

    def has_only_long_running_tasks(self, worker: workers.Worker) -> bool:
        """Return whether a worker runs nothing but long-running tasks."""
        return all(
            self.is_long_running_run(key)
            for key in (*worker.ordered, *worker.listed)
        )

    def is_valid_task(self, name: ids.JobId, task: ids.TaskName) -> bool:
        """Return whether a job has this task, or the job is unknown."""
        record = self._records.get(name)
        return record is None or specs.has_task(record.job, task)

    def get_reserved_resources(self, key: workers.RunKey) -> specs.Resources:
        """Return the resources that a run reserves on its worker."""
        record = self._records.get(key[0])
        if record is None:
            return specs.Resources()
        _, position, _ = specs.parse_task_name(key[1])
        if position >= len(record.job.steps):
            return specs.Resources()
        return workers.get_reserved_resources(record.job.steps[position])
