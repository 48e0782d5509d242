"""How much work a heartbeat brings about, by how soon it is answered.

Answers a large job on a machine that is busy with other work. Starting
another task of the job can wait; the answer that renews a lease cannot. The
leader and its group get done what the machine allows, so the bound follows
the time that answers take, as the window of a congested connection follows
its round trips: it is halved by a slow answer, and grows with each quick one
that was full, at first to the double and by a little once it was halved.
"""

import logging

from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Start orders of one answer: of a new leader, which does not know yet what its
# group gets done, and the bounds of what follows.
FIRST_STARTS = 64
MIN_STARTS = 16
MAX_STARTS = 256
# Added with each quick answer that was full, once the bound was halved.
STEP = 8
# Ended runs that are recorded for each start order that the bound allows, so
# that a worker never holds back ever more of them.
ENDS_PER_START = 2
# Seconds from the receipt of a heartbeat to its answer. A worker drops an
# answer after 1 s, of which its own part and the network take some.
QUICK_ANSWER_S = 0.15
SLOW_ANSWER_S = 0.3
# Answers that were on their way when the bound was halved say nothing of what
# the lower bound brings about.
HALVING_PAUSE_S = 0.5


class WorkPace:
    """Bounds the starts and the ended runs of one heartbeat."""

    def __init__(self) -> None:
        self._max_starts = FIRST_STARTS
        self._halved_at: float | None = None

    @property
    def max_starts(self) -> int:
        """Return how many tasks one answer may start."""
        return self._max_starts

    @property
    def max_ends(self) -> int:
        """Return how many ended runs of one heartbeat are recorded."""
        return ENDS_PER_START * self._max_starts

    def note_answer(self, starts: int, delay_s: float, now: float) -> None:
        """Adjust the bounds to the delay of an answer with start orders.

        ``now`` is a monotonic time in seconds.
        """
        if delay_s <= QUICK_ANSWER_S:
            if starts >= self._max_starts:
                self._grow()
            return
        if delay_s < SLOW_ANSWER_S or self._max_starts == MIN_STARTS:
            return
        if self._halved_at is not None and (
            now < self._halved_at + HALVING_PAUSE_S
        ):
            return
        self._halved_at = now
        self._max_starts = max(MIN_STARTS, self._max_starts // 2)
        LOG.info(
            logs.format_event(
                'work_slowed', max_starts=self._max_starts, delay_s=delay_s
            )
        )

    def _grow(self) -> None:
        step = self._max_starts if self._halved_at is None else STEP
        self._max_starts = min(MAX_STARTS, self._max_starts + step)
