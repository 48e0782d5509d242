"""When a task under which workers were lost is given up.

Workers also crash for other reasons, so a single crash under a task says
little. It counts more if it followed the start directly and no other job had
a start at the same time.
"""

from orioleshore.jobs import ledger
from orioleshore.jobs import tuning
from orioleshore.model import ids

# For this long it takes less to give up a task after another one.
GIVEN_UP_EFFECT_S = 60.0


def is_harmful(
    run: ledger.RunRecord,
    given_up_at: ids.WallTime,
    limits: tuning.SchedulerLimits,
    wall_time: ids.WallTime,
    is_due: bool,
) -> bool:
    """Return whether a task is to be given up.

    ``given_up_at`` is the time at which a task was last given up. Silent
    workers count only when the task ``is_due`` to start again, so that there
    has been time for news of them.
    """
    if run.losses >= limits.max_task_losses and (is_due or not run.silences):
        return True
    crash_limit = limits.max_task_crashes
    if abs(wall_time - given_up_at) < GIVEN_UP_EFFECT_S:
        crash_limit = limits.max_further_task_crashes
    return run.lone_losses > 0 and run.immediate_crashes >= crash_limit
