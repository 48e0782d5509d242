"""Base class of all tasks: one mailbox, one loop, private state."""

import asyncio
import logging
from typing import Any

import aiomisc

from orioleshore.intake import gate as intake_gate
from orioleshore.tasks import mailbox
from orioleshore.telemetry import logs
from orioleshore.telemetry import odd_entries

LOG = logging.getLogger(__name__)


class Task:
    """A task that handles the messages of its mailbox one at a time.

    Subclasses own their sockets and state. They override ``open`` to acquire
    resources, ``handle`` to process a message and ``close`` to release the
    resources. The event ``failed`` is set after an unhandled exception.
    """

    def __init__(self, inbox: mailbox.Mailbox) -> None:
        self._mailbox = inbox
        self._loop_task: asyncio.Task | None = None
        self._failed = asyncio.Event()

    @property
    def mailbox(self) -> mailbox.Mailbox:
        return self._mailbox

    @property
    def failed(self) -> asyncio.Event:
        return self._failed

    @property
    def odd_entries(self) -> odd_entries.OddEntryLog | None:
        """Return the odd entries of the lists that the task reads, if any."""
        return None

    def set_gate(self, gate: intake_gate.Gate) -> None:
        """Hold the peers of the task's listening sockets to limits.

        Tasks without listening sockets ignore it.
        """

    async def open(self) -> None:
        """Acquire sockets and files before the first message."""

    async def handle(self, message: Any) -> None:
        """Handle one message."""
        raise NotImplementedError

    async def close(self) -> None:
        """Release the resources that ``open`` acquired."""

    async def start(self) -> None:
        """Open the task and start its loop."""
        await self.open()
        self._loop_task = asyncio.create_task(
            self._run_loop(), name=self._mailbox.name
        )

    async def stop(self) -> None:
        """Stop the loop and close the task."""
        if self._loop_task is not None:
            self._loop_task.cancel()
            await asyncio.gather(self._loop_task, return_exceptions=True)
            self._loop_task = None
        await self.close()

    def abort(self) -> None:
        """Handle no further message; ``stop`` still has to be called."""
        if self._loop_task is not None:
            self._loop_task.cancel()

    async def _run_loop(self) -> None:
        try:
            while True:
                await self.handle(await self._mailbox.get())
        except asyncio.CancelledError:
            raise
        except BaseException:
            # The state of the task may be inconsistent, so the owner of the
            # task stops the process.
            LOG.exception(logs.format_event('task_failed', task=self.name))
            self._failed.set()
            raise

    @property
    def name(self) -> str:
        return self._mailbox.name


class TaskService(aiomisc.Service):
    """Runs a task as a service of the aiomisc entry point."""

    def __init__(self, task: Task) -> None:
        super().__init__()
        self._task = task

    async def start(self) -> None:
        """Start the wrapped task."""
        await self._task.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the wrapped task."""
        await self._task.stop()
