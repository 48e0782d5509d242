"""Calls of the control client when the leader changes or does not reply."""

import pytest

from orioleshore.consensus import client
from orioleshore.jobs import calls
from orioleshore.model import errors
from orioleshore.protocol import messages
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tests import builders
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

HEADER = messages.Header('control-1', 1, 1, '127.0.0.1:1')
REFUSED_KIND = errors.ErrorKind.OVERLOADED.value
UNKNOWN_KIND = errors.ErrorKind.CHANGE_UNKNOWN.value


class ClientHarness:
    """A client with a manual clock; ``sent`` receives its messages."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.sent = mailbox.Mailbox('sent', 64)
        self.timers = service.TimerService(self.clock)
        self.client = client.ControlClient(
            ('127.0.0.1:1', '127.0.0.1:2'), self.sent, self.timers
        )
        self.answer: reply.Reply = reply.Reply()

    async def send_call(self, request: calls.Call) -> None:
        """Start a call at the client."""
        await self.client.handle(client.Call(request, self.answer, 2.0))

    async def receive_error(self, error_kind: str) -> None:
        """Deliver a reply with an error kind from a member."""
        answer = messages.QueryReply(error_kind, '', b'', '')
        await self.client.handle(messages.Received(HEADER, answer))

    async def advance_clock(self, seconds: float) -> None:
        """Advance the clock and handle the timers that are due."""
        self.clock.advance(seconds)
        self.timers.fire_due()
        while (message := self.client.mailbox.get_nowait()) is not None:
            await self.client.handle(message)


def test_call_is_sent_again_after_leader_change():
    """Guards against calls that fail at each election."""

    async def check():
        harness = ClientHarness()
        await harness.send_call(builders.build_submission())
        assert len(harness.sent) == 1
        await harness.receive_error(UNKNOWN_KIND)
        assert not harness.answer.is_done
        await harness.advance_clock(0.2)
        assert len(harness.sent) == 2

    support.run(check())


@pytest.mark.parametrize(
    ('copies', 'kind'), [(1, REFUSED_KIND), (2, UNKNOWN_KIND)]
)
def test_refusal_after_resend_is_reported_as_unknown(copies, kind):
    """Guards against "not run" for a job whose submission was resent.

    The earlier copy of the call may still be accepted.
    """

    async def check():
        harness = ClientHarness()
        await harness.send_call(builders.build_submission())
        for _ in range(copies - 1):
            await harness.advance_clock(0.6)
        assert len(harness.sent) == copies
        await harness.receive_error(REFUSED_KIND)
        failure = (await harness.answer.wait()).unwrap_err()
        assert failure.kind.value == kind

    support.run(check())


def test_unanswered_call_is_reported_as_unknown():
    """Guards against "not run" for a job that a failed member accepted."""

    async def check():
        harness = ClientHarness()
        await harness.send_call(builders.build_submission())
        await harness.advance_clock(2.5)
        failure = (await harness.answer.wait()).unwrap_err()
        assert failure.kind is errors.ErrorKind.CHANGE_UNKNOWN

    support.run(check())
