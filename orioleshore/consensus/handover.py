"""Leadership transfer before the process of a member stops."""

import asyncio
import logging

from orioleshore.consensus import member_messages
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Seconds for which a former leader keeps serving after the transfer, so that
# it can redirect calls to its successor; well above the time of an election
# that does not wait for the election timeout.
SERVE_AFTER_TRANSFER_S = 0.3


class Handover:
    """Transfers the leadership while this process still serves calls."""

    def __init__(self, consensus: mailbox.Mailbox) -> None:
        self._consensus = consensus

    async def drain(self, limit_s: float) -> None:
        """Transfer the leadership, within ``limit_s`` seconds."""
        answer: reply.Reply = reply.Reply()
        if self._consensus.put(
            member_messages.TransferLeadership(answer)
        ).is_err():
            LOG.warning(logs.format_event('handover_failed', why='mailbox'))
            return
        try:
            async with asyncio.timeout(limit_s):
                was_leader = (await answer.wait()).unwrap_or(False)
        except TimeoutError:
            LOG.warning(logs.format_event('handover_failed', why='timeout'))
            return
        if was_leader:
            LOG.info(logs.format_event('handed_over'))
            await asyncio.sleep(min(SERVE_AFTER_TRANSFER_S, limit_s))
