"""Pauses after errors of the scheduler, so that they are not repeated."""

from orioleshore.model import states

# Seconds for which calls of a source are refused after one of them failed, and
# for which a failed step of the tick is left out. Both are repeated, and each
# failure costs a rebuild.
FAILURE_PAUSE_S = 30.0
MAX_FAILED_SOURCES = 1_024


class FailurePauses:
    """Sources of calls and steps of the tick that failed lately."""

    def __init__(self) -> None:
        # Monotonic times at which the pauses end.
        self._sources: dict[str, float] = {}
        self._steps: dict[states.TickStep, float] = {}

    def add_source(self, source: str, now: float) -> None:
        """Pause a source of calls; ``now`` is a monotonic time."""
        if len(self._sources) >= MAX_FAILED_SOURCES:
            self._sources.pop(next(iter(self._sources)))
        self._sources[source] = now + FAILURE_PAUSE_S

    def add_step(self, step: states.TickStep, now: float) -> None:
        """Pause a step of the tick."""
        self._steps[step] = now + FAILURE_PAUSE_S

    def is_source_paused(self, source: str, now: float) -> bool:
        """Return whether calls of a source are refused."""
        return now < self._sources.get(source, 0.0)

    def get_paused_steps(self, now: float) -> frozenset[states.TickStep]:
        """Return the steps of the tick that are left out."""
        return frozenset(s for s, until in self._steps.items() if now < until)
