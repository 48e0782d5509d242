"""Turns of the scheduler's task in the event loop of its process.

Answers a processor that other work keeps busy: a turn of few milliseconds of
processor time may then take ten times as long, and the group's messages, which
need several turns of the loop, wait behind each of them.
"""

import logging

from orioleshore.telemetry import latencies
from orioleshore.telemetry import logs
from orioleshore.timers import clock

LOG = logging.getLogger(__name__)

# Messages are handled for this long before the other tasks of the process get
# a turn. Without one, this member's own lease would lapse.
TURN_S = 0.02
# Longest pause after a turn; a fraction of the interval at which the members
# of the group hear from their leader.
MAX_PAUSE_S = 0.1
# Turns from here on are logged.
LONG_TURN_S = 0.1


class TurnMeter:
    """Measures turns by wall clock and by processor time."""

    def __init__(
        self, source: clock.Clock, recorder: latencies.Recorder
    ) -> None:
        self._clock = source
        self._recorder = recorder
        self._began_at = 0.0
        self._processor_at = 0.0
        self._messages = 0

    def begin(self) -> None:
        """Begin a turn."""
        self._began_at = self._clock.get_monotonic()
        self._processor_at = self._clock.get_processor()
        self._messages = 0

    def count_message(self) -> bool:
        """Count a handled message; return whether the turn is over."""
        self._messages += 1
        return self._clock.get_monotonic() >= self._began_at + TURN_S

    def end(self) -> float:
        """End a turn; return the seconds that other tasks get after it.

        They get what the turn took beyond its bound, since their own steps
        take as much longer as the turn did.
        """
        wall_s = self._clock.get_monotonic() - self._began_at
        if wall_s < TURN_S:
            return 0.0
        processor_s = self._clock.get_processor() - self._processor_at
        self._recorder.observe('turn_seconds', wall_s)
        self._recorder.observe('turn_processor_seconds', processor_s)
        if wall_s >= LONG_TURN_S:
            LOG.info(
                logs.format_event(
                    'turn_long',
                    seconds=wall_s,
                    processor_s=processor_s,
                    messages=self._messages,
                )
            )
        return min(wall_s - TURN_S, MAX_PAUSE_S)
