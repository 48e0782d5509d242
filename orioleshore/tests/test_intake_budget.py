"""Decisions on which connections are closed when limits are reached."""

import pytest

from orioleshore.intake import budget
from orioleshore.model import ids
from orioleshore.tests import intake_builders

BODY = budget.Phase.BODY
FIRST, SECOND, THIRD = (ids.ConnectionId(number) for number in (1, 2, 3))


def open_all(limits, *connections):
    """Return a budget with connections that opened one second apart."""
    held = budget.Budget(limits)
    for number, connection in enumerate(connections):
        assert held.open(connection, float(number)) == []
    return held


def test_stalled_request_is_closed_before_a_larger_one_in_progress():
    """Guards against a crowd of stalled bodies that ends ordinary ones."""
    held = open_all(intake_builders.make_limits(memory=350_000), FIRST, SECOND)
    held.record(FIRST, BODY, 100_000, 10.0)
    held.record(SECOND, BODY, 150_000, 12.0)
    closings = held.record(SECOND, BODY, 300_000, 12.5)
    assert closings == [budget.Closing(FIRST, budget.Reason.MEMORY)]
    assert held.used == 300_000


def test_request_that_was_passed_on_is_never_closed_for_memory():
    """Guards against a refusal of what may already run."""
    held = open_all(intake_builders.make_limits(memory=400_000), FIRST, SECOND)
    held.record(FIRST, budget.Phase.PASSED_ON, 380_000, 10.0)
    assert held.record(SECOND, BODY, 4_000, 20.0) == []
    closings = held.record(SECOND, BODY, 30_000, 20.0)
    assert closings == [budget.Closing(SECOND, budget.Reason.MEMORY)]


def test_longest_idle_connection_makes_room_for_a_new_one():
    """Guards against idle peers that keep ordinary callers out."""
    held = open_all(intake_builders.make_limits(connections=2), FIRST, SECOND)
    held.record(FIRST, budget.Phase.HEAD, 10, 5.0)
    closings = held.open(THIRD, 6.0)
    assert closings == [budget.Closing(SECOND, budget.Reason.CONNECTIONS)]
    assert held.connections == 2


def test_peer_with_a_valid_message_is_closed_last():
    """Guards against idle callers that cut members off from each other."""
    held = open_all(intake_builders.make_limits(connections=2), FIRST, SECOND)
    held.record(FIRST, budget.Phase.PEER, 0, 1.0)
    held.record(SECOND, BODY, 10, 5.0)
    closings = held.open(THIRD, 6.0)
    assert closings == [budget.Closing(SECOND, budget.Reason.CONNECTIONS)]


def test_new_connection_is_closed_if_all_others_are_passed_on():
    """Guards against descriptors that run out under whole requests."""
    held = open_all(intake_builders.make_limits(connections=1), FIRST)
    held.record(FIRST, budget.Phase.PASSED_ON, 10, 1.0)
    closings = held.open(SECOND, 2.0)
    assert closings == [budget.Closing(SECOND, budget.Reason.CONNECTIONS)]


@pytest.mark.parametrize(
    ('phase', 'reason'),
    [
        (budget.Phase.HEAD, budget.Reason.SLOW_HEAD),
        (BODY, budget.Reason.SLOW_BODY),
        (budget.Phase.ANSWERING, budget.Reason.UNREAD_ANSWER),
    ],
)
def test_connection_without_progress_expires(phase, reason):
    """Guards against requests and answers that stay for ever."""
    held = open_all(intake_builders.make_limits(), FIRST)
    held.record(FIRST, phase, 10, 1.0)
    assert held.has_timed
    assert held.expire(1.0 + intake_builders.STALL_S - 0.1) == []
    closings = held.expire(1.0 + intake_builders.STALL_S)
    assert closings == [budget.Closing(FIRST, reason)]
    held.close(FIRST)
    assert (held.used, held.has_timed) == (0, False)


def test_body_that_trickles_expires_at_the_limit_of_the_request():
    """Guards against a body of one byte a second."""
    held = open_all(intake_builders.make_limits(), FIRST)
    for second in range(1, 31):
        held.record(FIRST, BODY, second, float(second))
    closings = held.expire(31.0)
    assert closings == [budget.Closing(FIRST, budget.Reason.SLOW_BODY)]
