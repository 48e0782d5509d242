"""Explanations of decisions about jobs, recorded without repetition."""

from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import records


class Journal:
    """Collects decisions, without repetitions of the last of a subject."""

    def __init__(self) -> None:
        self._newest_decisions: dict[tuple[str, str], str] = {}
        self._records: list[events.Action] = []

    def take_records(self) -> list[events.Action]:
        """Return the decisions recorded since the last call."""
        records_taken, self._records = self._records, []
        return records_taken

    def clear_subject(self, kind: str, subject: str) -> None:
        """Record the next decision about a subject even if it is repeated."""
        self._newest_decisions.pop((kind, subject), None)

    def record_decision(
        self,
        kind: str,
        subject: str,
        decision: str,
        facts: dict[str, Any],
        rule: str,
        remedy: str = '',
    ) -> None:
        """Record a decision unless it repeats the last of its subject."""
        if self._newest_decisions.get((kind, subject)) == decision:
            return
        self._newest_decisions[kind, subject] = decision
        self._records.append(
            events.RecordDecision(kind, subject, decision, facts, rule, remedy)
        )

    def record_job_decision(
        self,
        name: ids.JobId,
        decision: str,
        facts: dict[str, Any],
        rule: str,
        remedy: str = '',
    ) -> None:
        """Record a decision about a job."""
        self.record_decision('job', name, decision, facts, rule, remedy)

    def record_blocked_job(
        self, name: ids.JobId, job: records.JobRecord
    ) -> None:
        """Record that a job is unknown or quarantined, and why."""
        self.record_job_decision(
            name,
            job.state.value,
            {'reason': job.reason, 'attempts': job.placed},
            'a job that is not idempotent starts at most once'
            if job.state is states.JobState.UNKNOWN
            else 'the job cannot succeed as it is',
            'remove the job from the document, or name it anew to run it',
        )

    def record_no_capacity(
        self, job: documents.Job, size: workers.Size
    ) -> None:
        """Record that no worker has enough free capacity for a job."""
        self.record_job_decision(
            job.name,
            'waits for room',
            {'cores': round(size.cores, 2), 'pool': job.pool},
            'no serving worker of the pool has enough room',
            'more workers in the pool, or the end of running tasks',
        )

    def record_quota_wait(
        self, job: documents.Job, size: workers.Size, quota: workers.Size
    ) -> None:
        """Record that a job waits for the quota of its team."""
        self.record_job_decision(
            job.name,
            'waits for the quota of its team',
            {
                'team': job.team,
                'cores': round(size.cores, 2),
                'quota_cores': quota.cores,
                'quota_memory_gb': quota.memory_gb,
            },
            'the tasks of a team stay within its quota',
            'a larger quota, or the end of tasks of the team',
        )

    def record_deadline_miss(
        self, job: documents.Job, queue_wait_s: float, run_time_s: float
    ) -> None:
        """Record that a job will miss its deadline, once for each job."""
        key = ('deadline', job.name)
        if key in self._newest_decisions:
            return
        self._newest_decisions[key] = job.name
        self._records.append(
            events.RecordDecision(
                'job',
                job.name,
                'will miss its deadline',
                {
                    'deadline': job.deadline,
                    'run_time_s': round(run_time_s, 1),
                    'ahead_s': round(queue_wait_s, 1),
                },
                'the wait and the expected run time end after the deadline',
                'more workers in the pool, or a later deadline',
            )
        )
