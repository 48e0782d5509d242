"""Bounded mailboxes through which tasks receive typed messages."""

import asyncio
import collections
import enum
from typing import Generic
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from orioleshore.model import errors

Message = TypeVar('Message')


class Overflow(enum.Enum):
    """What a full mailbox does with another message."""

    REFUSE = 'refuse'
    DROP_OLDEST = 'drop_oldest'


class Mailbox(Generic[Message]):
    """A first-in, first-out queue with one reader.

    ``capacity`` is a number of messages. Messages that must not be lost, such
    as results of work in progress, are added with ``put_wait``, which suspends
    the sender while the mailbox is full.
    """

    def __init__(
        self,
        name: str,
        capacity: int,
        overflow: Overflow = Overflow.REFUSE,
    ) -> None:
        self._name = name
        self._capacity = capacity
        self._overflow = overflow
        self._messages: collections.deque[Message] = collections.deque()
        self._not_empty = asyncio.Event()
        self._not_full = asyncio.Event()
        self._not_full.set()
        self._dropped = 0

    @property
    def name(self) -> str:
        return self._name

    @property
    def dropped(self) -> int:
        return self._dropped

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: Message) -> Result[None, errors.Failure]:
        """Add a message, or fail with ``OVERLOADED`` if full."""
        if len(self._messages) >= self._capacity:
            if self._overflow is Overflow.REFUSE:
                self._dropped += 1
                return Err(self._make_overflow_failure())
            self._messages.popleft()
            self._dropped += 1
        self._append_message(message)
        return Ok(None)

    async def put_wait(self, message: Message) -> None:
        """Add a message, waiting while the mailbox is full."""
        while len(self._messages) >= self._capacity:
            self._not_full.clear()
            await self._not_full.wait()
        self._append_message(message)

    async def get(self) -> Message:
        """Remove and return the oldest message, waiting for one."""
        while not self._messages:
            self._not_empty.clear()
            await self._not_empty.wait()
        message = self._messages.popleft()
        self._not_full.set()
        return message

    def get_nowait(self) -> Message | None:
        """Remove and return the oldest message, or return None."""
        if not self._messages:
            return None
        self._not_full.set()
        return self._messages.popleft()

    def _append_message(self, message: Message) -> None:
        self._messages.append(message)
        self._not_empty.set()

    def _make_overflow_failure(self) -> errors.Failure:
        return errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f'mailbox {self._name!r} is full ({self._capacity} messages)',
            retry_after_s=1.0,
        )
