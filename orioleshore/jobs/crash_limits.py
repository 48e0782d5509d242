"""When a task under which workers were lost is given up.

Workers also crash for other reasons, so a single crash under a task says
little. It counts more if it followed the start directly, if no other job had
a start at the same time, and if no workers are lost for other reasons.
"""

from orioleshore.jobs import ledger
from orioleshore.jobs import tuning
from orioleshore.model import ids

# Losses beside which no other job had a start that it takes to blame a task
# whose workers do not crash at once.
MIN_LONE_LOSSES = 2
# Such losses may be due to chance while workers are lost for which no task is
# to blame, so it takes this many times as many then.
UNRELATED_LOSS_FACTOR = 2
# For this long a loss or a task that was given up says something of others.
EVIDENCE_S = 60.0


def is_harmful(
    run: ledger.RunRecord,
    job_ledger: ledger.Ledger,
    limits: tuning.SchedulerLimits,
    wall_time: ids.WallTime,
    is_due: bool,
) -> bool:
    """Return whether a task is to be given up.

    Silent workers count only when the task ``is_due`` to start again, so that
    there has been time for news of them.
    """
    if not run.lone_losses:
        return False
    if run.losses >= get_loss_limit(run, job_ledger, limits, wall_time):
        is_known = is_due or not run.silences
        return is_known and run.lone_losses >= MIN_LONE_LOSSES
    crash_limit = limits.max_task_crashes
    if _is_recent(job_ledger.given_up_at, wall_time):
        crash_limit = limits.max_further_task_crashes
    return run.immediate_crashes >= crash_limit


def get_loss_limit(
    run: ledger.RunRecord,
    job_ledger: ledger.Ledger,
    limits: tuning.SchedulerLimits,
    wall_time: ids.WallTime,
) -> int:
    """Return how many losses it takes to give up a task by them alone.

    The first loss of the task may look like one for which no task is to
    blame.
    """
    unrelated_at = job_ledger.unrelated_loss_at
    is_disturbed = unrelated_at != run.first_loss_at and _is_recent(
        unrelated_at, wall_time
    )
    factor = UNRELATED_LOSS_FACTOR if is_disturbed else 1
    return factor * limits.max_task_losses


def _is_recent(at: ids.WallTime, wall_time: ids.WallTime) -> bool:
    return abs(wall_time - at) < EVIDENCE_S
