"""Rate of filler tasks that share a worker with latency-sensitive tasks.

Answers the load in which filler tasks slow down the serving tasks of the
same worker. Filler tasks are paused as soon as a tail latency comes near its
target, and sped up again in steps, since the tail latency lags behind the
load.
"""

# Tail latency, as a share of its target, from which fillers are paused.
PAUSE_SHARE = 0.85
# Tail latency, as a share of its target, below which fillers are sped up.
RAISE_SHARE = 0.6
# Increase of the rate of a filler task with each heartbeat.
RAISE_PERCENT = 10
FULL_PERCENT = 100


def get_filler_percent(current: int, worst_share: float) -> int:
    """Return the rate of filler tasks, in percent of full speed.

    ``worst_share`` is the highest tail latency on the worker, as a share of
    its target.
    """
    if worst_share >= PAUSE_SHARE:
        return 0
    if worst_share >= RAISE_SHARE:
        return current
    return min(FULL_PERCENT, current + RAISE_PERCENT)
