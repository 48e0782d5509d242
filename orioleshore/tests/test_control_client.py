"""Calls of the control client when the leader changes or does not reply."""

import asyncio

import pytest

from orioleshore.consensus import client
from orioleshore.consensus import member_calls
from orioleshore.consensus import packing
from orioleshore.jobs import calls
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tests import builders
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

HEADER = messages.Header('control-1', 1, 1, '127.0.0.1:1')
# Time for a reply over loopback to arrive.
DELIVERY_S = 0.2
REFUSED_KIND = errors.ErrorKind.OVERLOADED.value
NOT_LEADER_KIND = errors.ErrorKind.NOT_LEADER.value
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

    async def receive_error(self, error_kind: str, leader: str = '') -> None:
        """Deliver a reply with an error kind from a member."""
        answer = messages.QueryReply(error_kind, '', b'', leader)
        await self.client.handle(messages.Received(HEADER, answer))

    async def advance_clock(self, seconds: float) -> None:
        """Advance the clock and handle the timers that are due."""
        self.clock.advance(seconds)
        self.timers.fire_due()
        while (message := self.client.mailbox.get_nowait()) is not None:
            await self.client.handle(message)


class CallingProcess:
    """A control client with a transport of its own, over loopback."""

    def __init__(self, address: str, incarnation: int, member: str) -> None:
        self.transport = transport.Transport(
            ids.NodeId('entry-1'), address, ids.Incarnation(incarnation)
        )
        self.client = client.ControlClient(
            (member,),
            self.transport.mailbox,
            service.TimerService(clock.ManualClock()),
        )
        self.transport.register(
            self.client.mailbox, messages.ProposeReply, messages.QueryReply
        )
        self.answer: reply.Reply = reply.Reply()

    async def start(self, request: calls.Call) -> None:
        """Start the process and its first call."""
        await self.transport.start()
        await self.client.start()
        self.client.mailbox.put(client.Call(request, self.answer))

    async def stop(self) -> None:
        """Stop the process; its call stays unanswered at the member."""
        await self.client.stop()
        await self.transport.stop()


class RecordingMember:
    """A control member that holds its replies back until the test sends."""

    def __init__(self) -> None:
        self.transport = transport.Transport(
            ids.NodeId('control-1'), '127.0.0.1:0', ids.Incarnation(1)
        )
        self.inbox: mailbox.Mailbox = mailbox.Mailbox('member', 64)
        self.transport.register(self.inbox, messages.Query)
        self.pending = member_calls.PendingCalls(self.transport.mailbox)

    def accept(self, received: messages.Received) -> None:
        """Reply to a call that it succeeded."""
        answer = messages.QueryReply(
            '', '', packing.pack(b'\xc0').unwrap(), ''
        )
        self.pending.send_reply(received.header, answer)


def test_restarted_process_ignores_replies_to_its_predecessor():
    """Guards against "accepted" for a job that no member has received.

    Both processes number their calls from 1 and have the same address.
    """

    async def check():
        member = RecordingMember()
        await member.transport.start()
        first = CallingProcess('127.0.0.1:0', 1, member.transport.address)
        await first.start(builders.build_submission(1))
        call_of_first = await member.inbox.get()
        address = first.transport.address
        await first.stop()
        second = CallingProcess(address, 2, member.transport.address)
        await second.start(builders.build_submission(2))
        call_of_second = await member.inbox.get()
        member.accept(call_of_first)
        await asyncio.sleep(DELIVERY_S)
        assert not second.answer.is_done
        member.accept(call_of_second)
        assert (await second.answer.wait()).is_ok()
        await second.stop()
        await member.transport.stop()

    support.run(check())


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


@pytest.mark.parametrize(
    ('unanswered', 'kind'), [(0, REFUSED_KIND), (1, UNKNOWN_KIND)]
)
def test_refusal_after_redirection_is_reported_as_it_is(unanswered, kind):
    """Guards against 504 for a refused call that went to a follower first.

    The follower has not accepted it, unlike a member that gave no reply.
    """

    async def check():
        harness = ClientHarness()
        await harness.send_call(builders.build_submission())
        for _ in range(unanswered):
            await harness.advance_clock(0.6)
        await harness.receive_error(NOT_LEADER_KIND, '127.0.0.1:2')
        assert len(harness.sent) == 2 + unanswered
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
