"""How processes find the group when their seeds are no members."""

import asyncio

import pytest
from result import Ok

from orioleshore.consensus import announcing
from orioleshore.consensus import client
from orioleshore.consensus import redirection
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.tasks import mailbox
from orioleshore.tests import builders
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

HEADER = messages.Header(ids.NodeId('entry'), ids.Incarnation(1), 5, 'e:1')
GROUP = messages.GroupAddresses(3, 'm0:1', ('m0:1', 'm1:1'))


def redirect_call(*events) -> str:
    """Return the address that a call is redirected to after some events."""
    sent: mailbox.Mailbox = mailbox.Mailbox('transport', 16)
    task = redirection.RedirectionTask(sent)

    async def handle_events():
        query = messages.Query('GetMembers', b'')
        for event in (*events, messages.Received(HEADER, query)):
            await task.handle(event)

    support.run(handle_events())
    (reply,) = builders.take_messages(sent)
    return reply.message.leader


def announce(group: messages.GroupAddresses) -> messages.Received:
    return messages.Received(HEADER, group)


@pytest.mark.parametrize(
    ('events', 'leader'),
    [
        ([], ''),
        ([announce(GROUP)], 'm0:1'),
        (
            [announce(GROUP), announce(messages.GroupAddresses(2, 'old', ()))],
            'm0:1',
        ),
        (
            [announce(GROUP), announce(messages.GroupAddresses(4, 'new', ()))],
            'new',
        ),
        ([client.ControlMembers(('m1:1',))], 'm1:1'),
    ],
)
def test_call_is_redirected_to_the_newest_leader(events, leader):
    """Guards against callers that are sent to a replaced leader."""
    assert redirect_call(*events) == leader


@pytest.mark.parametrize(
    ('leader', 'receivers'), [('m0:1', ['seed:1']), ('', [])]
)
def test_member_announces_the_group_to_seeds_that_are_no_members(
    leader, receivers
):
    """Guards against seeds that know neither a leader nor a member."""
    sent: mailbox.Mailbox = mailbox.Mailbox('transport', 16)
    consensus: mailbox.Mailbox = mailbox.Mailbox('consensus', 16)
    task = announcing.AnnouncementTask(
        ('m1:1', 'seed:1'),
        consensus,
        sent,
        service.TimerService(clock.ManualClock()),
    )
    group = messages.GroupAddresses(3, leader, GROUP.members)

    async def check():
        pending = asyncio.create_task(task.announce_group())
        request = await consensus.get()
        request.answer.resolve(Ok(group))
        await pending

    support.run(check())
    assert [item.address for item in builders.take_messages(sent)] == receivers
