"""Division of hosts among pools when there are too few for all.

Answers the load in which the peaks of several queues overlap and together
need more hosts than there are. The pool that asked first must not keep all
of them while jobs of the others wait past their objectives.
"""

from collections.abc import Mapping

import msgspec

from orioleshore.model import ids


class Need(msgspec.Struct, frozen=True):
    """How many hosts a pool needs.

    ``base`` hosts run what cannot wait: long-running tasks and gangs, and the
    first tasks of a peak. ``timely`` hosts also run the jobs that can still
    meet their objectives, and ``wanted`` hosts those that are late.
    """

    base: int
    timely: int
    wanted: int


def share_hosts(
    needs: Mapping[ids.PoolId, Need], total: int
) -> dict[ids.PoolId, int]:
    """Return how many of ``total`` hosts each pool should have.

    No pool gets more than it wants. The bases are served first, then jobs
    that can be in time, then the others. Within each, the pool with the
    fewest hosts gets the next one, which serves small demands in full and
    divides the rest evenly.
    """
    shares: dict[ids.PoolId, int] = {}
    for limits in (
        {pool: need.base for pool, need in needs.items()},
        {pool: need.timely for pool, need in needs.items()},
        {pool: need.wanted for pool, need in needs.items()},
    ):
        shares = _fill_evenly(shares, limits, total)
    return shares


def _fill_evenly(
    shares: Mapping[ids.PoolId, int],
    wanted: Mapping[ids.PoolId, int],
    total: int,
) -> dict[ids.PoolId, int]:
    """Raise the smallest shares to one level; return all shares."""
    filled = {pool: shares.get(pool, 0) for pool in wanted}
    level = _find_level(filled, wanted, total)
    for pool in wanted:
        filled[pool] = _raise_to(level, filled[pool], wanted[pool])
    left = total - sum(filled.values())
    for pool in sorted(wanted, key=lambda name: (filled[name], name)):
        if left > 0 and filled[pool] < wanted[pool]:
            filled[pool] += 1
            left -= 1
    return filled


def _find_level(
    filled: Mapping[ids.PoolId, int],
    wanted: Mapping[ids.PoolId, int],
    total: int,
) -> int:
    """Return the highest level that ``total`` hosts suffice for."""
    low, high = 0, max(wanted.values(), default=0)
    while low < high:
        middle = (low + high + 1) // 2
        needed = sum(
            _raise_to(middle, filled[pool], wanted[pool]) for pool in wanted
        )
        if needed <= total:
            low = middle
        else:
            high = middle - 1
    return low


def _raise_to(level: int, share: int, wanted: int) -> int:
    return max(share, min(level, wanted))
