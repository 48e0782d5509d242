"""Changes and answers on their way through the log.

Answers load in bursts: the changes of all calls that wait may fit into no
entry of the log, so they form batches of a bounded size. The changes of one
call stay together, since a new leader must not find half of them.
"""

from __future__ import annotations

import collections
from typing import Any

import msgspec
from result import Result

from orioleshore.jobs import ledger
from orioleshore.jobs import orders
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.tasks import reply

# Encoded bytes of the changes of one batch, and those of one more call. An
# entry of the log holds 983,040 bytes.
MAX_BATCH_BYTES = 262_144

_ENCODER = msgspec.msgpack.Encoder()


class PendingAnswer(msgspec.Struct, frozen=True):
    """An answer that is sent once all changes before it are committed.

    ``heartbeat_at`` is the monotonic time at which the heartbeat came that it
    answers, None for other calls.
    """

    answer: reply.Reply
    outcome: Result[Any, errors.Failure]
    heartbeat_at: float | None = None

    def send(self) -> None:
        """Resolve the reply."""
        self.answer.resolve(self.outcome)


class Batch(msgspec.Struct):
    """Changes that are committed together, and what follows their commit."""

    changes: list[ledger.Change] = []
    answers: list[PendingAnswer] = []
    orders: list[orders.Order] = []
    size: int = 0


class CommitQueue:
    """Batches of changes, the oldest first."""

    def __init__(self) -> None:
        self._batches: collections.deque[Batch] = collections.deque()

    def __len__(self) -> int:
        return len(self._batches)

    def add(
        self,
        changes: tuple[ledger.Change, ...],
        new_orders: list[orders.Order],
        answer: PendingAnswer | None = None,
    ) -> None:
        """Add what one call or tick has brought about."""
        if not changes and not new_orders and answer is None:
            return
        if not self._batches or (
            changes and self._batches[-1].size >= MAX_BATCH_BYTES
        ):
            self._batches.append(Batch())
        batch = self._batches[-1]
        if changes:
            batch.changes += changes
            batch.size += len(_ENCODER.encode(changes))
        batch.orders += new_orders
        if answer is not None:
            batch.answers.append(answer)

    def take(self) -> Batch | None:
        """Remove and return the oldest batch, None if there is none."""
        return self._batches.popleft() if self._batches else None

    def clear(self) -> list[PendingAnswer]:
        """Remove all batches; return their answers."""
        answers = [a for batch in self._batches for a in batch.answers]
        self._batches.clear()
        return answers


class Committed(msgspec.Struct, frozen=True):
    """A group of changes was committed or refused."""

    epoch: ids.Epoch
    outcome: Result[Any, errors.Failure]


class CommitEnded(msgspec.Struct, frozen=True):
    """The outcome of a commit waits to be handled."""
