"""Order in which jobs receive capacity when there is too little for all.

Answers the load in which the demand of one queue is several times the
capacity of its pool. With the earliest due time first, every job of a
backlog would miss its objective by a little, so jobs that can still meet
their objective go before those that cannot. Of those that can, the jobs of an
organisation above its share (``fair_shares``) yield to the others.
"""

from orioleshore.jobs import progress
from orioleshore.model import ids

# Time of a step relative to the mean run time of its tasks: a step ends with
# its slowest task, and run times vary by half of their mean.
SLOWEST_FACTOR = 1.5
# Part of its objective by which a job of an organisation above its share
# counts as due later. Its old jobs still go before new ones of others, which
# have time; yielding without this bound made more of them late, and did not
# serve the others better.
YIELD_SHARE = 0.5


def get_rank(
    job: progress.JobProgress,
    wall_time: ids.WallTime,
    mean_run_s: float | None = None,
    is_above_share: bool = False,
) -> tuple[bool, int, bool, bool, float]:
    """Return the sort key of a job; the lowest is served first.

    ``mean_run_s`` is the mean run time of a task, None if unknown.
    Long-running jobs come first: they serve users continuously, so each
    second without a task counts. Jobs that have started go before others, so
    that a backlog ends some jobs in time instead of all of them too late.
    ``is_above_share`` tells whether the job's organisation has more running
    than its share.
    """
    late = is_late(job, wall_time, mean_run_s)
    yields_s = YIELD_SHARE * (job.due_at - job.record.accepted_at)
    return (
        not job.is_long_running,
        job.record.priority + late,
        late,
        not job.record.tasks,
        job.due_at + (yields_s if is_above_share else 0.0),
    )


def is_late(
    job: progress.JobProgress,
    wall_time: ids.WallTime,
    mean_run_s: float | None,
) -> bool:
    """Return whether a job misses its objective even if it runs at once."""
    left_s = job.steps_left * SLOWEST_FACTOR * (mean_run_s or 0.0)
    return wall_time + left_s > job.due_at
