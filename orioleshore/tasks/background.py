"""Asyncio tasks that nobody awaits, with their errors logged."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
from typing import Any

from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

ErrorHandler = Callable[[BaseException], object]


def start_task(
    coroutine: Coroutine[Any, Any, Any],
    name: str,
    on_error: ErrorHandler | None = None,
) -> asyncio.Task:
    """Run a coroutine as a task whose exception is logged.

    ``on_error`` is called with the exception as well. The caller keeps a
    reference, since the event loop holds only a weak one.
    """
    background_task = asyncio.create_task(coroutine, name=name)

    def report_error(done_task: asyncio.Task) -> None:
        if done_task.cancelled():
            return
        error = done_task.exception()
        if error is None:
            return
        LOG.error(
            logs.format_event(
                'background_task_failed',
                task=name,
                error=str(error) or type(error).__name__,
            ),
            exc_info=error,
        )
        if on_error is not None:
            on_error(error)

    background_task.add_done_callback(report_error)
    return background_task


def install_exception_handler() -> None:
    """Log what the running loop would report in its own format.

    That is the exceptions of callbacks, and those of tasks that were deleted
    before anyone read them.
    """
    asyncio.get_running_loop().set_exception_handler(_log_exception)


def _log_exception(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    error = context.get('exception')
    source = context.get('task') or context.get('future')
    LOG.error(
        logs.format_event(
            'loop_exception',
            text=context.get('message', ''),
            source=source and _get_name(source),
            error=error and (str(error) or type(error).__name__),
        ),
        exc_info=error,
    )


def _get_name(source: Any) -> str:
    if isinstance(source, asyncio.Task):
        return source.get_name()
    return type(source).__name__
