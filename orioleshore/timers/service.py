"""Timer service that sends messages to the mailboxes of tasks."""

import asyncio
import heapq
import itertools
import logging

import msgspec

from orioleshore.model import ids
from orioleshore.tasks import background
from orioleshore.tasks import mailbox
from orioleshore.telemetry import logs
from orioleshore.timers import clock

LOG = logging.getLogger(__name__)

MAX_SUBSCRIPTIONS = 4_096
# Added to each delay in seconds: uvloop rounds delays to whole milliseconds,
# so the callback could run too early.
ROUNDING_S = 0.001
# Cancelled timers stay in the heap until they are due, or until the heap has
# COMPACT_FACTOR times as many entries as there are active timers, plus
# MIN_COMPACT_ENTRIES.
COMPACT_FACTOR = 2
MIN_COMPACT_ENTRIES = 64
# Delay before a one-shot timer is sent again to a mailbox that was full.
REFUSED_RETRY_S = 0.05


class TimerFired(msgspec.Struct, frozen=True):
    """Message to a subscriber: one of its timers is due."""

    timer: ids.TimerId


class Subscription(msgspec.Struct):
    """One timer; ``due`` is monotonic.

    ``interval_s`` is None for a timer that fires once.
    """

    timer: ids.TimerId
    receiver: mailbox.Mailbox
    due: float
    interval_s: float | None
    is_cancelled: bool = False


class TimerService:
    """Sends ``TimerFired`` to the mailbox of a subscriber when due.

    Tests with a ``ManualClock`` do not start the service; they call
    ``fire_due`` each time they advance the clock.
    """

    def __init__(self, source: clock.Clock) -> None:
        self._clock = source
        self._heap: list[tuple[float, int, Subscription]] = []
        self._active: dict[
            tuple[mailbox.Mailbox, ids.TimerId], Subscription
        ] = {}
        self._sequence = itertools.count()
        self._changed = asyncio.Event()
        self._loop_task: asyncio.Task | None = None

    @property
    def clock(self) -> clock.Clock:
        return self._clock

    def subscribe_every(
        self, receiver: mailbox.Mailbox, timer: ids.TimerId, interval_s: float
    ) -> None:
        """Fire a timer every ``interval_s`` seconds until cancelled."""
        self._add_subscription(receiver, timer, interval_s, interval_s)

    def subscribe_once(
        self, receiver: mailbox.Mailbox, timer: ids.TimerId, delay_s: float
    ) -> None:
        """Fire a timer once after ``delay_s`` seconds.

        Replaces an earlier timer of the receiver with the same name.
        """
        self._add_subscription(receiver, timer, delay_s, None)

    def cancel(self, receiver: mailbox.Mailbox, timer: ids.TimerId) -> None:
        """Cancel a timer; unknown timers are ignored."""
        subscription = self._active.pop((receiver, timer), None)
        if subscription is not None:
            subscription.is_cancelled = True

    def fire_due(self) -> None:
        """Fire every timer that is due."""
        now = self._clock.get_monotonic()
        while self._heap and self._heap[0][0] <= now:
            _, _, subscription = heapq.heappop(self._heap)
            if not subscription.is_cancelled:
                self._fire_timer(subscription, now)

    async def start(self) -> None:
        """Start firing timers."""
        self._loop_task = background.start_task(self._run_loop(), 'timers')

    async def stop(self) -> None:
        """Stop firing timers."""
        if self._loop_task is not None:
            self._loop_task.cancel()
            await asyncio.gather(self._loop_task, return_exceptions=True)

    async def _run_loop(self) -> None:
        while True:
            self.fire_due()
            # The delay below includes all subscriptions up to now.
            self._changed.clear()
            wake_up = self._schedule_wake_up()
            await self._changed.wait()
            if wake_up is not None:
                wake_up.cancel()

    def _schedule_wake_up(self) -> asyncio.TimerHandle | None:
        # A plain callback costs a third of asyncio.timeout for each firing.
        delay_s = self._get_next_delay()
        if delay_s is None:
            return None
        return asyncio.get_running_loop().call_later(
            delay_s + ROUNDING_S, self._changed.set
        )

    def _get_next_delay(self) -> float | None:
        if not self._heap:
            return None
        return max(0.0, self._heap[0][0] - self._clock.get_monotonic())

    def _add_subscription(
        self,
        receiver: mailbox.Mailbox,
        timer: ids.TimerId,
        delay_s: float,
        interval_s: float | None,
    ) -> None:
        if len(self._active) >= MAX_SUBSCRIPTIONS:
            raise RuntimeError(
                f'more than {MAX_SUBSCRIPTIONS} timers are subscribed'
            )
        self.cancel(receiver, timer)
        due = self._clock.get_monotonic() + delay_s
        subscription = Subscription(timer, receiver, due, interval_s)
        self._active[(receiver, timer)] = subscription
        self._push_subscription(subscription)

    def _push_subscription(self, subscription: Subscription) -> None:
        entry = (subscription.due, next(self._sequence), subscription)
        heapq.heappush(self._heap, entry)
        if (
            len(self._heap)
            > COMPACT_FACTOR * len(self._active) + MIN_COMPACT_ENTRIES
        ):
            self._heap = [
                entry for entry in self._heap if not entry[2].is_cancelled
            ]
            heapq.heapify(self._heap)
        self._changed.set()

    def _fire_timer(self, subscription: Subscription, now: float) -> None:
        outcome = subscription.receiver.put(TimerFired(subscription.timer))
        if outcome.is_err():
            LOG.warning(
                logs.format_event(
                    'timer_refused',
                    timer=subscription.timer,
                    mailbox=subscription.receiver.name,
                )
            )
        if subscription.interval_s is not None:
            # After a pause of the process the timer fires once, not once for
            # each missed interval.
            due = subscription.due + subscription.interval_s
            if due <= now:
                due = now + subscription.interval_s
            subscription.due = due
        elif outcome.is_err():
            # The receiver may depend on this firing, so it is sent again.
            subscription.due = now + REFUSED_RETRY_S
        else:
            del self._active[(subscription.receiver, subscription.timer)]
            return
        self._push_subscription(subscription)
