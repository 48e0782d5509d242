"""Task that requests the leader to add this member to the group."""

import functools
import logging
from typing import Any

from result import Result

from orioleshore.consensus import client
from orioleshore.consensus import member_messages
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
# Seconds between checks. Another disk may be lost soon after a replaced host
# has started, so a new member must not wait long.
CHECK_S = 0.3
# Seconds for a join request; a membership change takes two round trips and two
# syncs.
JOIN_TIMEOUT_S = 1.0
# Checks in a row without a known leader after which a listed member asks
# whether it is still listed. A removed member receives nothing from the
# leader, so its own log cannot tell.
MAX_LEADERLESS_CHECKS = 5


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
        self._node = node
        self._address = address
        self._leaderless_checks = 0
        self._consensus = consensus
        self._control = control
        self._timers = timers

    async def open(self) -> None:
        """Start the timer of the membership check."""
        self._timers.subscribe_once(self.mailbox, CHECK, CHECK_S)

    async def close(self) -> None:
        """Cancel the timer."""
        self._timers.cancel(self.mailbox, CHECK)

    async def handle(self, message: Any) -> None:
        """Check on each timer whether this member has to join."""
        await _handle_message(message, self)
        # Set again only now, so that checks do not queue up while the member
        # waits for its disk.
        self._timers.subscribe_once(self.mailbox, CHECK, CHECK_S)

    async def join_if_unlisted(self) -> None:
        """Request to be added, unless listed or part of the bootstrap."""
        answer: reply.Reply[dict[str, Any]] = reply.Reply()
        if self._consensus.put(
            member_messages.GetMemberStatus(answer)
        ).is_err():
            return
        status = (await answer.wait()).unwrap()
        if not self._needs_to_join(status):
            return
        request = requests.ChangeMembers(
            add=self._node, address=self._address, stamp=status['stamp']
        )
        outcome: Result[Any, errors.Failure] = await client.call(
            self._control, request, JOIN_TIMEOUT_S
        )
        if outcome.is_ok():
            self._leaderless_checks = 0
        # After a failure, the next check sends the request again.
        LOG.info(
            logs.format_event(
                'group_joined' if outcome.is_ok() else 'group_not_joined',
                error=outcome.err() and outcome.unwrap_err().kind,
            )
        )

    def _needs_to_join(self, status: dict[str, Any]) -> bool:
        if status['may_found'] or status['is_disk_full']:
            return False
        if not status['is_listed']:
            return True
        if status['leader'] is not None:
            self._leaderless_checks = 0
            return False
        self._leaderless_checks += 1
        return self._leaderless_checks > MAX_LEADERLESS_CHECKS


@functools.singledispatch
async def _handle_message(message: Any, join_task: JoinTask) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
async def _(message: service.TimerFired, join_task: JoinTask) -> None:
    await join_task.join_if_unlisted()
