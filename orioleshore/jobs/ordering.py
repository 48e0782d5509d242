"""Order in which jobs receive capacity when there is too little for all.

Answers the load in which the demand of one queue is several times the
capacity of its pool. With the earliest due time first, every job of a
backlog would miss its objective by a little, so jobs that can still meet
their objective go before those that cannot. Of those that can, the jobs of an
organisation above its share (``fair_shares``) yield to the others.
"""

import enum

from orioleshore.jobs import progress
from orioleshore.model import ids

# Time of a step relative to the mean run time of its tasks: a step ends with
# its slowest task, and run times vary by half of their mean.
SLOWEST_FACTOR = 1.5


class Standing(enum.IntEnum):
    """How a job stands to others of its priority; the lowest goes first."""

    IN_TIME = 0
    # Its organisation has more running than its share.
    ABOVE_SHARE = 1
    # It misses its objective even if it runs at once.
    LATE = 2


def get_rank(
    job: progress.JobProgress,
    wall_time: ids.WallTime,
    mean_run_s: float | None = None,
    is_above_share: bool = False,
) -> tuple[bool, int, Standing, bool, float]:
    """Return the sort key of a job; the lowest is served first.

    ``mean_run_s`` is the mean run time of a task, None if unknown.
    Long-running jobs come first: they serve users continuously, so each
    second without a task counts. Jobs that have started go before others, so
    that a backlog ends some jobs in time instead of all of them too late.
    """
    standing = Standing.IN_TIME
    if is_late(job, wall_time, mean_run_s):
        standing = Standing.LATE
    elif is_above_share:
        standing = Standing.ABOVE_SHARE
    return (
        not job.is_long_running,
        job.record.priority + (standing is not Standing.IN_TIME),
        standing,
        not job.record.tasks,
        job.due_at,
    )


def is_late(
    job: progress.JobProgress,
    wall_time: ids.WallTime,
    mean_run_s: float | None,
) -> bool:
    """Return whether a job misses its objective even if it runs at once."""
    left_s = job.steps_left * SLOWEST_FACTOR * (mean_run_s or 0.0)
    return wall_time + left_s > job.due_at
