"""Task of a member that tells its seeds where the group is."""

import functools
from typing import Any

from orioleshore.consensus import client
from orioleshore.consensus import member_messages
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.timers import service

MAILBOX_CAPACITY = 16
ANNOUNCE = ids.TimerId('group-announcement')
# Seconds between announcements. Processes that restart know only their seeds,
# and callers wait until one of these has heard of a leader.
ANNOUNCE_S = 0.5


class AnnouncementTask(task.Task):
    """Sends the addresses of the group to the seeds that are no members.

    The seeds may be exchanged for processes that know no member. When all
    processes restart, the members alone still know each other.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        consensus: mailbox.Mailbox,
        sender: mailbox.Mailbox,
        timers: service.TimerService,
    ) -> None:
        super().__init__(mailbox.Mailbox('announcing', MAILBOX_CAPACITY))
        self._seeds = seeds
        self._consensus = consensus
        self._sender = sender
        self._timers = timers

    async def open(self) -> None:
        """Start the timer of the announcements."""
        self._timers.subscribe_every(self.mailbox, ANNOUNCE, ANNOUNCE_S)

    async def close(self) -> None:
        """Cancel the timer."""
        self._timers.cancel(self.mailbox, ANNOUNCE)

    async def handle(self, message: Any) -> None:
        """Announce the group on each timer, or set new seeds."""
        await _handle_message(message, self)

    async def announce_group(self) -> None:
        """Send the addresses once, if the group has a leader."""
        answer: reply.Reply[messages.GroupAddresses] = reply.Reply()
        request = member_messages.GetGroupAddresses(answer)
        if self._consensus.put(request).is_err():
            return
        group = (await answer.wait()).unwrap()
        if not group.leader:
            return
        for seed in self._seeds:
            if seed not in group.members:
                self._sender.put(transport.SendTo(seed, group))


@functools.singledispatch
async def _handle_message(message: Any, announcer: AnnouncementTask) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
async def _(message: service.TimerFired, announcer: AnnouncementTask) -> None:
    await announcer.announce_group()


@_handle_message.register
async def _(
    message: client.ControlMembers, announcer: AnnouncementTask
) -> None:
    announcer._seeds = message.addresses
