"""In which order jobs get room when there is too little for all.

Answers the load in which one queue asks several times what its pool
holds. Earliest due time first would make every job of a backlog miss its
objective by a little; so work that can still meet its objective goes before
work that cannot any more.
"""

from orioleshore.jobs import progress
from orioleshore.model import ids

# A step ends with its slowest task; run times spread by a half of their
# mean.
SLOWEST_FACTOR = 1.5


def get_rank(
    job: progress.JobProgress,
    wall_time: ids.WallTime,
    mean_run_s: float | None = None,
) -> tuple[bool, int, bool, float]:
    """Return the sort key of a job; the lowest is served first.

    ``mean_run_s`` is the learned run time of a task, None when none is
    known. Lasting jobs come first: they serve users of their own all the
    time and lose with each second that a task is away.
    """
    left_s = job.steps_left * SLOWEST_FACTOR * (mean_run_s or 0.0)
    is_late = wall_time + left_s > job.due_at
    return (
        not job.is_long_running,
        job.record.priority if not is_late else job.record.priority + 1,
        is_late,
        job.due_at,
    )
