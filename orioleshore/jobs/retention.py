"""Records that are kept for a while, in the order of their end.

Answers many ended jobs: their records are kept for minutes, and a look at all
of them with each tick would grow with the rate of jobs.
"""

import collections
from collections.abc import Iterable

from orioleshore.jobs import ledger
from orioleshore.model import ids

# Records forgotten with one tick: 5,000 a second, far more than are added.
MAX_FORGOTTEN_PER_TICK = 500
# Early cancels that are kept; a caller may cancel any number of jobs that do
# not exist. Beyond these the oldest one is forgotten.
MAX_EARLY_CANCELS = 4_096


class EndedJobs:
    """Names of the ended jobs, the oldest first.

    After a step of the time of day, jobs wait for those that ended before.
    """

    def __init__(
        self, ended: Iterable[tuple[ids.WallTime, ids.JobId]]
    ) -> None:
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


def list_ended_jobs(
    job_ledger: ledger.Ledger,
) -> list[tuple[ids.WallTime, ids.JobId]]:
    """Return the ended jobs of a ledger with the times of their end."""
    return [
        (record.ended_at, name)
        for name, record in job_ledger.jobs.items()
        if record.is_ended
    ]


def list_early_cancels(
    job_ledger: ledger.Ledger,
) -> list[tuple[ids.WallTime, ids.JobId]]:
    """Return the jobs of a ledger that were cancelled before they came."""
    return [(at, name) for name, at in job_ledger.early_cancels.items()]
