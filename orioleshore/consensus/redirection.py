"""Task of a control process without a data folder, which is not a member."""

import functools
from typing import Any

from orioleshore.model import errors
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.tasks import mailbox
from orioleshore.tasks import task

MAILBOX_CAPACITY = 256


class RedirectionTask(task.Task):
    """Refuses calls to the leader, so that callers try another process."""

    def __init__(self, sender: mailbox.Mailbox) -> None:
        super().__init__(mailbox.Mailbox('redirection', MAILBOX_CAPACITY))
        self._sender = sender

    async def handle(self, message: messages.Received) -> None:
        """Refuse one call with ``NOT_LEADER``."""
        answer = _build_refusal(message.message)
        header = message.header
        self._sender.put(
            transport.SendTo(header.reply_address, answer, header.correlation)
        )


@functools.singledispatch
def _build_refusal(message: Any) -> Any:
    raise TypeError(f'unknown message {type(message).__name__}')


@_build_refusal.register
def _(message: messages.Propose) -> messages.ProposeReply:
    kind = errors.ErrorKind.NOT_LEADER.value
    return messages.ProposeReply(kind, '', (), b'', '')


@_build_refusal.register
def _(message: messages.Query) -> messages.QueryReply:
    kind = errors.ErrorKind.NOT_LEADER.value
    return messages.QueryReply(kind, '', b'', '')
