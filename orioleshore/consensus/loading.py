"""Opening of a member's data folder, which may have to wait for room."""

import asyncio
import logging

from result import Result

from orioleshore.consensus import member
from orioleshore.model import errors
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Seconds between attempts to open the data folder on a full disk.
LOAD_RETRY_S = 0.5


async def load_member(
    consensus: member.MemberTask, stop_requested: asyncio.Event
) -> Result[None, errors.Failure]:
    """Open the data folder, waiting while the disk has no room for it.

    A process that ended instead would be started again and again. Fails with
    an error kind of the storage; with ``STORAGE_FULL`` only if a stop was
    requested meanwhile.
    """
    while True:
        outcome = consensus.load()
        if outcome.is_ok():
            return outcome
        failure = outcome.unwrap_err()
        if failure.kind is not errors.ErrorKind.STORAGE_FULL:
            return outcome
        LOG.error(logs.format_event('load_postponed', error=failure.message))
        try:
            async with asyncio.timeout(LOAD_RETRY_S):
                await stop_requested.wait()
            return outcome
        except TimeoutError:
            continue
