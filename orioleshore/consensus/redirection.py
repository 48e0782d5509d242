"""Task of a control process without a data folder, which is not a member."""

import functools
from typing import Any

from orioleshore.consensus import client
from orioleshore.model import errors
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.tasks import mailbox
from orioleshore.tasks import task

MAILBOX_CAPACITY = 256


class RedirectionTask(task.Task):
    """Refuses calls to the leader and names the process to try next.

    It learns the leader from announcements of the members, and the members
    also from the discovery of this process.
    """

    def __init__(self, sender: mailbox.Mailbox) -> None:
        super().__init__(mailbox.Mailbox('redirection', MAILBOX_CAPACITY))
        self._sender = sender
        self._group = messages.GroupAddresses(0, '', ())
        self._next_index = 0

    async def handle(self, message: Any) -> None:
        """Refuse one call, or store the addresses of the group."""
        _handle_message(message, self)

    def refuse_call(self, received: messages.Received) -> None:
        """Refuse one call with ``NOT_LEADER``."""
        answer = _build_refusal(received.message, self._get_next_address())
        self._sender.put(transport.build_reply(received.header, answer))

    def store_group(self, group: messages.GroupAddresses) -> None:
        """Store an announcement, unless a newer leader is known."""
        if group.term >= self._group.term:
            self._group = group

    def store_members(self, addresses: tuple[str, ...]) -> None:
        """Store the members that the discovery of this process found."""
        self._group = messages.GroupAddresses(
            self._group.term, self._group.leader, addresses
        )

    def _get_next_address(self) -> str:
        """Return the leader, or one member after the other without one."""
        if self._group.leader or not self._group.members:
            return self._group.leader
        self._next_index = (self._next_index + 1) % len(self._group.members)
        return self._group.members[self._next_index]


@functools.singledispatch
def _handle_message(message: Any, redirection: RedirectionTask) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: messages.Received, redirection: RedirectionTask) -> None:
    if isinstance(message.message, messages.GroupAddresses):
        redirection.store_group(message.message)
    else:
        redirection.refuse_call(message)


@_handle_message.register
def _(message: client.ControlMembers, redirection: RedirectionTask) -> None:
    redirection.store_members(message.addresses)


@functools.singledispatch
def _build_refusal(message: Any, leader: str) -> Any:
    raise TypeError(f'unknown message {type(message).__name__}')


@_build_refusal.register
def _(message: messages.Propose, leader: str) -> messages.ProposeReply:
    kind = errors.ErrorKind.NOT_LEADER.value
    return messages.ProposeReply(kind, '', (), b'', leader)


@_build_refusal.register
def _(message: messages.Query, leader: str) -> messages.QueryReply:
    kind = errors.ErrorKind.NOT_LEADER.value
    return messages.QueryReply(kind, '', b'', leader)
