"""Calls that wait at a control member for a commit or a read."""

from typing import Any

import msgspec
from result import Err
from result import Result

from orioleshore.consensus import packing
from orioleshore.model import errors
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.state import answers
from orioleshore.state import queries
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply


class RemoteCall(msgspec.Struct):
    """A call of another process; ``query`` is None for a command."""

    header: messages.Header
    query: queries.Query | None = None


class LocalCall(msgspec.Struct):
    """A call of a task of this process."""

    answer: reply.Reply


class PendingCalls:
    """The calls without an answer, by token."""

    def __init__(self, sender: mailbox.Mailbox) -> None:
        self._sender = sender
        self._calls: dict[int, RemoteCall | LocalCall] = {}
        # Tokens of the calls whose entry is in the log, by index and term.
        self._accepted_tokens: dict[tuple[int, int], int] = {}
        self._next_token = 1

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: RemoteCall | LocalCall) -> int:
        """Add a call and return its token."""
        token = self._next_token
        self._next_token += 1
        self._calls[token] = call
        return token

    def get(self, token: int) -> RemoteCall | LocalCall | None:
        """Return a call that has no answer yet."""
        return self._calls.get(token)

    def remove(self, token: int) -> None:
        """Remove a call that is answered elsewhere."""
        del self._calls[token]

    def accept(self, token: int, index: int, term: int) -> None:
        """Note the entry that a call waits for."""
        self._accepted_tokens[(index, term)] = token

    def take_accepted(self, index: int, term: int) -> int | None:
        """Return and forget the token of the call behind an entry."""
        return self._accepted_tokens.pop((index, term), None)

    def take_all_accepted(self) -> list[int]:
        """Return and forget the tokens of all calls behind entries."""
        accepted, self._accepted_tokens = self._accepted_tokens, {}
        return list(accepted.values())

    def answer(
        self, token: int, outcome: Result[Any, errors.Failure], leader: str
    ) -> None:
        """Answer a call; ``leader`` is the address of the leader or empty."""
        call = self._calls.pop(token, None)
        if call is None:
            return
        if isinstance(call, LocalCall):
            call.answer.resolve(outcome)
            return
        if call.query is None:
            message = answers.pack_reply(outcome, leader)
        else:
            message = pack_query_reply(outcome, leader)
        self.send_reply(call.header, message)

    def send_reply(self, header: messages.Header, message: Any) -> None:
        """Send a reply to the process that sent a message."""
        self._sender.put(transport.build_reply(header, message))


def pack_query_reply(
    outcome: Result[bytes, errors.Failure], leader: str
) -> messages.QueryReply:
    """Return the reply to a query with its encoded answer."""
    outcome = outcome.and_then(packing.pack)
    if outcome.is_err():
        failure = outcome.unwrap_err()
        return messages.QueryReply(
            failure.kind.value, failure.message, b'', leader
        )
    return messages.QueryReply('', '', outcome.unwrap(), leader)


def build_failure(kind: errors.ErrorKind, message: str) -> Err[errors.Failure]:
    """Return a failed outcome."""
    return Err(errors.Failure(kind, message))
