"""Ended jobs, in the order in which their records may be forgotten.

Answers many ended jobs: their records are kept for minutes, and a look at all
of them with each tick would grow with the rate of jobs.
"""

import collections

from orioleshore.jobs import ledger
from orioleshore.model import ids

# Records forgotten with one tick: 5,000 a second, far more than are added.
MAX_FORGOTTEN_PER_TICK = 500


class EndedJobs:
    """Names of the ended jobs, the oldest first.

    After a step of the time of day, jobs wait for those that ended before.
    """

    def __init__(self, job_ledger: ledger.Ledger) -> None:
        ended = [
            (record.ended_at, name)
            for name, record in job_ledger.jobs.items()
            if record.is_ended
        ]
        self._ended = collections.deque(sorted(ended))

    def add(self, name: ids.JobId, ended_at: ids.WallTime) -> None:
        """Add a job that has just ended."""
        self._ended.append((ended_at, name))

    def take_older(self, horizon: float) -> list[ids.JobId]:
        """Remove and return jobs that ended before a wall time, in part."""
        found: list[ids.JobId] = []
        while (
            self._ended
            and self._ended[0][0] < horizon
            and len(found) < MAX_FORGOTTEN_PER_TICK
        ):
            found.append(self._ended.popleft()[1])
        return found
