"""Timer service under the manual clock, and overflow of mailboxes."""

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


def _make_box(
    capacity: int = 8, overflow: mailbox.Overflow = mailbox.Overflow.REFUSE
) -> mailbox.Mailbox:
    return mailbox.Mailbox('box', capacity, overflow)


def _drain(box: mailbox.Mailbox) -> list:
    return [box.get_nowait() for _ in range(len(box))]


def _advance(timers: service.TimerService, seconds: float) -> None:
    timers.clock.advance(seconds)
    timers.fire_due()


def test_timers_fire_when_due_and_not_before():
    """Guards against early, late and repeated one-shot timers."""
    timers, _ = _make_service()
    box = _make_box()
    timers.subscribe_once(box, TICK, 1.0)
    _advance(timers, 0.9)
    assert len(box) == 0
    _advance(timers, 0.1)
    _advance(timers, 5.0)
    assert _drain(box) == [service.TimerFired(TICK)]


def test_timers_fire_in_the_order_of_their_times():
    """Guards against a later timer that overtakes an earlier one."""
    timers, _ = _make_service()
    box = _make_box()
    for name, delay_s in (('c', 3.0), ('a', 1.0), ('b', 2.0)):
        timers.subscribe_once(box, ids.TimerId(name), delay_s)
    _advance(timers, 3.0)
    assert [fired.timer for fired in _drain(box)] == ['a', 'b', 'c']


def test_cancelled_and_replaced_timers_do_not_fire():
    """Guards against the timeout of an earlier question."""
    timers, _ = _make_service()
    box = _make_box()
    timers.subscribe_once(box, TICK, 1.0)
    timers.subscribe_once(box, TICK, 3.0)
    _advance(timers, 2.0)
    assert len(box) == 0
    timers.cancel(box, TICK)
    timers.cancel(box, ids.TimerId('unknown'))
    _advance(timers, 5.0)
    assert len(box) == 0


def test_boxes_of_the_same_name_keep_their_own_timers():
    """Guards against one part that takes the timer of another."""
    timers, _ = _make_service()
    boxes = (_make_box(), _make_box())
    for box in boxes:
        timers.subscribe_once(box, TICK, 1.0)
    _advance(timers, 1.0)
    assert [len(box) for box in boxes] == [1, 1]


def test_paused_process_gets_one_firing():
    """Guards against a burst of periods after a pause."""
    timers, _ = _make_service()
    box = _make_box()
    timers.subscribe_every(box, TICK, 1.0)
    _advance(timers, 60.5)
    assert len(_drain(box)) == 1
    _advance(timers, 0.9)
    assert len(box) == 0
    _advance(timers, 0.1)
    assert len(box) == 1


def test_interval_does_not_drift():
    """Guards against periods that grow by the delay of each firing."""
    timers, _ = _make_service()
    box = _make_box(64)
    timers.subscribe_every(box, TICK, 1.0)
    for _ in range(40):
        _advance(timers, 0.75)
    assert len(box) == 30


def test_corrected_wall_clock_changes_no_timer():
    """Guards against timers that follow the wall clock."""
    timers, source = _make_service()
    box = _make_box()
    timers.subscribe_once(box, TICK, 1.0)
    source.jump_wall(3_600.0)
    timers.fire_due()
    assert len(box) == 0


def test_full_mailbox_gets_a_one_shot_timer_later():
    """Guards against a part that waits for a dropped timer for ever."""
    timers, _ = _make_service()
    box = _make_box(1)
    box.put('work')
    timers.subscribe_once(box, TICK, 1.0)
    _advance(timers, 1.0)
    assert _drain(box) == ['work']
    _advance(timers, service.REFUSED_RETRY_S)
    assert _drain(box) == [service.TimerFired(TICK)]


def test_replaced_timers_use_bounded_memory():
    """Guards against memory that grows with each replaced timer."""
    timers, _ = _make_service()
    box = _make_box()
    for _ in range(10_000):
        timers.subscribe_once(box, TICK, 3_600.0)
    assert len(timers._heap) <= service.MIN_HEAP + service.COMPACT_FACTOR


def test_too_many_subscriptions_are_a_program_bug():
    """Guards against a part that subscribes without bound."""
    timers, _ = _make_service()
    box = _make_box()
    for number in range(service.MAX_SUBSCRIPTIONS):
        timers.subscribe_once(box, ids.TimerId(str(number)), 1.0)
    with pytest.raises(RuntimeError):
        timers.subscribe_once(box, TICK, 1.0)


def test_refusing_mailbox_keeps_what_it_has():
    """Guards against an accepted message that a later one displaces."""
    box = _make_box(2)
    outcomes = [box.put(number) for number in range(3)]
    assert [outcome.is_ok() for outcome in outcomes] == [True, True, False]
    failure = outcomes[2].unwrap_err()
    assert failure.kind is errors.ErrorKind.OVERLOADED
    assert (_drain(box), box.dropped) == ([0, 1], 1)


def test_dropping_mailbox_keeps_the_newest():
    """Guards against stale news that displaces fresh news."""
    box = _make_box(2, mailbox.Overflow.DROP_OLDEST)
    for number in range(5):
        assert box.put(number).is_ok()
    assert (_drain(box), box.dropped) == ([3, 4], 3)


def test_waiting_senders_lose_nothing_and_keep_the_bound():
    """Guards against results that are lost when a mailbox is full."""

    async def check():
        box = _make_box(2)
        senders = [
            asyncio.create_task(box.put_wait(number)) for number in range(20)
        ]
        received = []
        for _ in range(20):
            await asyncio.sleep(0)
            assert len(box) <= 2
            received.append(await box.get())
        await asyncio.gather(*senders)
        assert sorted(received) == list(range(20))
        assert box.dropped == 0

    support.run(check())


def test_cancelled_reader_loses_no_message():
    """Guards against a stopped reader that takes a message with it."""

    async def check():
        box = _make_box()
        reader = asyncio.create_task(box.get())
        await asyncio.sleep(0)
        box.put('work')
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)
        assert _drain(box) == ['work']

    support.run(check())
