"""Answers to messages between tasks of one process."""

import asyncio
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from result import Result

from orioleshore.model import errors

Value = TypeVar('Value')


class Reply(Generic[Value]):
    """Carries one answer to the task that waits for it."""

    def __init__(self) -> None:
        self._future: asyncio.Future = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_done(self) -> bool:
        return self._future.done()

    def resolve(self, outcome: Result[Value, errors.Failure]) -> None:
        """Set the answer; ignored if it is set or the wait was cancelled."""
        if not self._future.done():
            self._future.set_result(outcome)

    def add_callback(
        self, callback: Callable[[Result[Value, errors.Failure]], None]
    ) -> None:
        """Call a function with the answer, in the loop of the reply."""
        self._future.add_done_callback(
            lambda future: callback(future.result())
        )

    async def wait(self) -> Result[Value, errors.Failure]:
        """Wait for the answer and return it."""
        return await self._future
