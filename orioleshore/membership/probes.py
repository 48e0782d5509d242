"""Targets, rounds and recent results of the probes of one process."""

import random

import msgspec

from orioleshore.model import ids

RESULT_WINDOW_S = 10.0


class Round(msgspec.Struct):
    """One period's probes of a peer; all carry the same sequence number."""

    node: ids.NodeId
    address: str
    sequence: int
    is_answered: bool = False
    is_direct: bool = True


class TargetOrder:
    """Picks targets in random order, each one once before any repeats."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._remaining: list[ids.NodeId] = []

    def pick_target(self, candidates: set[ids.NodeId]) -> ids.NodeId | None:
        """Return the next candidate, None when there is none."""
        if not candidates:
            return None
        while True:
            if not self._remaining:
                self._remaining = sorted(candidates)
                self._random.shuffle(self._remaining)
            node = self._remaining.pop()
            if node in candidates:
                return node


class Results:
    """The latest result of each peer probed within ``RESULT_WINDOW_S``.

    Peers are counted rather than probes, so that one dead peer of two never
    counts as more than half.
    """

    def __init__(self) -> None:
        self._results: dict[ids.NodeId, tuple[float, bool]] = {}

    def record(self, node: ids.NodeId, is_answered: bool, now: float) -> None:
        """Record the latest result of a peer."""
        self._results[node] = (now, is_answered)

    def clear(self) -> None:
        """Remove all results."""
        self._results.clear()

    def has_failed_majority(self, now: float) -> bool:
        """Return whether more than half of the probed peers did not answer."""
        start = now - RESULT_WINDOW_S
        self._results = {
            node: result
            for node, result in self._results.items()
            if result[0] > start
        }
        failed = sum(
            not is_answered for _, is_answered in self._results.values()
        )
        return 2 * failed > len(self._results)
