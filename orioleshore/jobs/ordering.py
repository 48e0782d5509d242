"""In which order jobs get room when there is too little for all.

Answers the load in which one queue asks several times what its pool
holds: work that can still meet its objective goes before work that is
late already, so a backlog of late jobs does not make all others late.
"""

from orioleshore.jobs import progress
from orioleshore.model import ids


def get_rank(
    job: progress.JobProgress, wall: ids.WallTime
) -> tuple[bool, int, bool, float]:
    """Return the sort key of a job; the lowest is served first.

    Lasting jobs come first: they serve users of their own all the time
    and lose with each second that a task is away.
    """
    is_late = wall > job.due_at
    return (
        not job.is_lasting,
        job.record.priority if not is_late else job.record.priority + 1,
        is_late,
        job.due_at,
    )
