"""Task that requests the leader to add this member to the group."""

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
# Seconds between join requests of a member that is not listed; a membership
# change takes two round trips and two syncs.
CHECK_S = 1.0


class JoinTask(task.Task):
    """Joins the group, and joins it again after a removal.

    The leader may remove a member that it could not reach for some time.
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
        """Start the timer of the membership check."""
        self._timers.subscribe_every(self.mailbox, CHECK, CHECK_S)

    async def close(self) -> None:
        """Cancel the timer."""
        self._timers.cancel(self.mailbox, CHECK)

    async def handle(self, message: Any) -> None:
        """Check on each timer whether this member has to join."""
        await _handle_message(message, self)

    async def join_if_unlisted(self) -> None:
        """Request to be added, unless listed or part of the bootstrap."""
        answer: reply.Reply[dict[str, Any]] = reply.Reply()
        if self._consensus.put(member.GetMemberStatus(answer)).is_err():
            return
        status = (await answer.wait()).unwrap()
        if status['is_listed'] or status['may_found']:
            return
        outcome: Result[Any, errors.Failure] = await client.call(
            self._control, self._request, CHECK_S
        )
        # After a failure, the next check sends the request again.
        LOG.info(
            logs.format_event(
                'group_joined' if outcome.is_ok() else 'group_not_joined',
                error=outcome.err() and outcome.unwrap_err().kind,
            )
        )


@functools.singledispatch
async def _handle_message(message: Any, join_task: JoinTask) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
async def _(message: service.TimerFired, join_task: JoinTask) -> None:
    await join_task.join_if_unlisted()
