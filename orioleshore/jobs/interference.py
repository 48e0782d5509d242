"""How fast filling tasks may work beside tasks that serve users.

Answers the load in which filling tasks slow down the serving tasks of the
same worker: they are paused as soon as a tail comes near its target, and
sped up again step by step, since the tail lags behind the load.
"""

# Tail, as a share of its target, from which filling tasks are paused.
PAUSE_SHARE = 0.85
# Tail, as a share of its target, below which they may go faster.
RAISE_SHARE = 0.6
# Percent by which a filling task is sped up with one heartbeat.
RAISE_PERCENT = 10
FULL_PERCENT = 100


def get_filler_percent(current: int, worst_share: float) -> int:
    """Return the rate of filling tasks, in percent.

    ``worst_share`` is the highest tail on the worker, as a share of its
    target.
    """
    if worst_share >= PAUSE_SHARE:
        return 0
    if worst_share >= RAISE_SHARE:
        return current
    return min(FULL_PERCENT, current + RAISE_PERCENT)
