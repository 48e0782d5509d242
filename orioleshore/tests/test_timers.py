"""Timer service with a manual clock, and overflow of mailboxes."""

import asyncio

import pytest

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.tasks import mailbox
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

TICK = ids.TimerId('tick')


def _make_service() -> tuple[service.TimerService, clock.ManualClock]:
    source = clock.ManualClock()
    return service.TimerService(source), source


def _make_mailbox(
    capacity: int = 8, overflow: mailbox.Overflow = mailbox.Overflow.REFUSE
) -> mailbox.Mailbox:
    return mailbox.Mailbox('box', capacity, overflow)


def _get_messages(inbox: mailbox.Mailbox) -> list:
    return [inbox.get_nowait() for _ in range(len(inbox))]


def _advance(timers: service.TimerService, seconds: float) -> None:
    timers.clock.advance(seconds)
    timers.fire_due()


def test_timers_fire_when_due_and_not_before():
    """Guards against one-shot timers that fire early, late or twice."""
    timers, _ = _make_service()
    inbox = _make_mailbox()
    timers.subscribe_once(inbox, TICK, 1.0)
    _advance(timers, 0.9)
    assert len(inbox) == 0
    _advance(timers, 0.1)
    _advance(timers, 5.0)
    assert _get_messages(inbox) == [service.TimerFired(TICK)]


def test_timers_fire_in_the_order_of_their_times():
    """Guards against a later timer that fires before an earlier one."""
    timers, _ = _make_service()
    inbox = _make_mailbox()
    for name, delay_s in (('c', 3.0), ('a', 1.0), ('b', 2.0)):
        timers.subscribe_once(inbox, ids.TimerId(name), delay_s)
    _advance(timers, 3.0)
    assert [fired.timer for fired in _get_messages(inbox)] == ['a', 'b', 'c']


def test_cancelled_and_replaced_timers_do_not_fire():
    """Guards against the timeout of an earlier request."""
    timers, _ = _make_service()
    inbox = _make_mailbox()
    timers.subscribe_once(inbox, TICK, 1.0)
    timers.subscribe_once(inbox, TICK, 3.0)
    _advance(timers, 2.0)
    assert len(inbox) == 0
    timers.cancel(inbox, TICK)
    timers.cancel(inbox, ids.TimerId('unknown'))
    _advance(timers, 5.0)
    assert len(inbox) == 0


def test_mailboxes_with_one_name_have_separate_timers():
    """Guards against a task that replaces the timer of another task."""
    timers, _ = _make_service()
    inboxes = (_make_mailbox(), _make_mailbox())
    for inbox in inboxes:
        timers.subscribe_once(inbox, TICK, 1.0)
    _advance(timers, 1.0)
    assert [len(inbox) for inbox in inboxes] == [1, 1]


def test_timer_fires_once_after_a_pause():
    """Guards against a burst of firings after a pause of the process."""
    timers, _ = _make_service()
    inbox = _make_mailbox()
    timers.subscribe_every(inbox, TICK, 1.0)
    _advance(timers, 60.5)
    assert len(_get_messages(inbox)) == 1
    _advance(timers, 0.9)
    assert len(inbox) == 0
    _advance(timers, 0.1)
    assert len(inbox) == 1


def test_interval_does_not_drift():
    """Guards against intervals that grow by the delay of each firing."""
    timers, _ = _make_service()
    inbox = _make_mailbox(64)
    timers.subscribe_every(inbox, TICK, 1.0)
    for _ in range(40):
        _advance(timers, 0.75)
    assert len(inbox) == 30


def test_timers_ignore_changes_of_the_wall_clock():
    """Guards against timers that depend on the wall clock."""
    timers, source = _make_service()
    inbox = _make_mailbox()
    timers.subscribe_once(inbox, TICK, 1.0)
    source.jump_wall(3_600.0)
    timers.fire_due()
    assert len(inbox) == 0


def test_one_shot_timer_is_retried_for_a_full_mailbox():
    """Guards against a task that waits forever for a dropped timer."""
    timers, _ = _make_service()
    inbox = _make_mailbox(1)
    inbox.put('work')
    timers.subscribe_once(inbox, TICK, 1.0)
    _advance(timers, 1.0)
    assert _get_messages(inbox) == ['work']
    _advance(timers, service.REFUSED_RETRY_S)
    assert _get_messages(inbox) == [service.TimerFired(TICK)]


def test_replaced_timers_use_bounded_memory():
    """Guards against memory that grows with each replaced timer."""
    timers, _ = _make_service()
    inbox = _make_mailbox()
    for _ in range(10_000):
        timers.subscribe_once(inbox, TICK, 3_600.0)
    assert (
        len(timers._heap)
        <= service.MIN_COMPACT_ENTRIES + service.COMPACT_FACTOR
    )


def test_too_many_subscriptions_raise():
    """Guards against a task that subscribes without limit."""
    timers, _ = _make_service()
    inbox = _make_mailbox()
    for number in range(service.MAX_SUBSCRIPTIONS):
        timers.subscribe_once(inbox, ids.TimerId(str(number)), 1.0)
    with pytest.raises(RuntimeError):
        timers.subscribe_once(inbox, TICK, 1.0)


def test_refusing_mailbox_keeps_accepted_messages():
    """Guards against an accepted message that is lost to a later one."""
    inbox = _make_mailbox(2)
    outcomes = [inbox.put(number) for number in range(3)]
    assert [outcome.is_ok() for outcome in outcomes] == [True, True, False]
    failure = outcomes[2].unwrap_err()
    assert failure.kind is errors.ErrorKind.OVERLOADED
    assert (_get_messages(inbox), inbox.dropped) == ([0, 1], 1)


def test_dropping_mailbox_keeps_newest_messages():
    """Guards against an old message that blocks newer ones."""
    inbox = _make_mailbox(2, mailbox.Overflow.DROP_OLDEST)
    for number in range(5):
        assert inbox.put(number).is_ok()
    assert (_get_messages(inbox), inbox.dropped) == ([3, 4], 3)


def test_waiting_senders_lose_no_message_and_respect_capacity():
    """Guards against results that are lost when a mailbox is full."""

    async def check():
        inbox = _make_mailbox(2)
        senders = [
            asyncio.create_task(inbox.put_wait(number)) for number in range(20)
        ]
        received = []
        for _ in range(20):
            await asyncio.sleep(0)
            assert len(inbox) <= 2
            received.append(await inbox.get())
        await asyncio.gather(*senders)
        assert sorted(received) == list(range(20))
        assert inbox.dropped == 0

    support.run(check())


def test_cancelled_reader_loses_no_message():
    """Guards against a cancelled reader that consumes a message."""

    async def check():
        inbox = _make_mailbox()
        reader = asyncio.create_task(inbox.get())
        await asyncio.sleep(0)
        inbox.put('work')
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)
        assert _get_messages(inbox) == ['work']

    support.run(check())
