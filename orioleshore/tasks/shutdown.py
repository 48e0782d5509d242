"""End of a process after the failure of one of its tasks."""

import asyncio
from collections.abc import Sequence
import logging
import os
import sys
from typing import NoReturn

from orioleshore.model import errors
from orioleshore.tasks import task
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Seconds for releasing sockets and files. The process has to end within one
# second, so that another one can take its place.
ABORT_TIMEOUT_S = 0.5


async def abort_tasks(tasks: Sequence[task.Task]) -> None:
    """Stop all tasks at once, whatever they wait for.

    None handles a further message, so none acts on a state that the failed
    task can no longer confirm.
    """
    for item in tasks:
        item.abort()
    try:
        async with asyncio.timeout(ABORT_TIMEOUT_S):
            for item in reversed(tasks):
                await item.stop()
    except TimeoutError:
        LOG.warning(logs.format_event('abort_timed_out'))
    except Exception:
        LOG.exception(logs.format_event('abort_failed'))


def exit_after_failure(failure: errors.Failure) -> NoReturn:
    """End the process without waiting for its threads.

    A thread may wait for a disk that does not answer.
    """
    sys.stderr.write(f'{failure.kind.value}: {failure.message}\n')
    sys.stderr.flush()
    sys.stdout.flush()
    os._exit(failure.answer.exit_code)
