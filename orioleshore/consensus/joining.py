"""Task that asks the leader to take this member into the group."""

import functools
import logging
from typing import Any

from result import Result

from orioleshore.consensus import client
from orioleshore.consensus import member
from orioleshore.consensus import requests
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 16
CHECK = ids.TimerId('group-check')
# A member that is not listed asks this often; a change of the group takes
# two round trips and two syncs.
CHECK_S = 1.0


class JoinTask(task.Task):
    """Keeps this member in the group, also after it was removed.

    A leader may replace a member that it did not hear of for long.
    """

    def __init__(
        self,
        node: ids.NodeId,
        address: str,
        consensus: mailbox.Mailbox,
        control: mailbox.Mailbox,
        timers: service.TimerService,
    ) -> None:
        super().__init__(mailbox.Mailbox('joining', MAILBOX_CAPACITY))
        self._request = requests.ChangeMembers(add=node, address=address)
        self._consensus = consensus
        self._control = control
        self._timers = timers

    async def open(self) -> None:
        """Subscribe to the check."""
        self._timers.subscribe_every(self.mailbox, CHECK, CHECK_S)

    async def close(self) -> None:
        """Cancel the check."""
        self._timers.cancel(self.mailbox, CHECK)

    async def handle(self, message: Any) -> None:
        """Look whether this member is listed, and ask if it is not."""
        await _handle_message(message, self)

    async def join_if_unlisted(self) -> None:
        """Ask the leader once if this member needs it."""
        answer: reply.Reply[dict[str, Any]] = reply.Reply()
        if self._consensus.put(member.GetMemberStatus(answer)).is_err():
            return
        status = (await answer.wait()).unwrap()
        if status['is_listed'] or status['may_found']:
            return
        outcome: Result[Any, errors.Failure] = await client.call(
            self._control, self._request, CHECK_S
        )
        # A refusal is repeated by the next check.
        LOG.info(
            logs.format_event(
                'group_joined' if outcome.is_ok() else 'group_not_joined',
                error=outcome.err() and outcome.unwrap_err().kind,
            )
        )


@functools.singledispatch
async def _handle_message(message: Any, owner: JoinTask) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
async def _(message: service.TimerFired, owner: JoinTask) -> None:
    await owner.join_if_unlisted()
