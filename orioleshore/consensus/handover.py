"""The end of a member's lead before its process stops."""

import asyncio
import logging

from orioleshore.consensus import member
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# A member that led serves on for this long, in seconds, and passes calls on
# to its successor; well above the time of an election without a timeout.
SERVE_AFTER_TRANSFER_S = 0.3


class Handover:
    """Lets another member lead while this process still serves."""

    def __init__(self, consensus: mailbox.Mailbox) -> None:
        self._consensus = consensus

    async def drain(self, limit_s: float) -> None:
        """Hand the lead over, within ``limit_s`` seconds."""
        answer: reply.Reply = reply.Reply()
        if self._consensus.put(member.TransferLeadership(answer)).is_err():
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
