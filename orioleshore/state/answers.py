"""Encoding of command results that are sent between processes."""

from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.model import errors
from orioleshore.protocol import messages
from orioleshore.state import claim_commands
from orioleshore.state import commands

# Results of all other commands are None or integers.
_ANSWER_TYPES: dict[type, Any] = {
    commands.ChangeDocument: int,
    commands.ClaimRequest: claim_commands.ClaimAnswer,
}


def pack_reply(
    outcome: Result[Any, errors.Failure], leader: str = ''
) -> messages.ProposeReply:
    """Return the message with the result of a command."""
    if outcome.is_err():
        failure = outcome.unwrap_err()
        return messages.ProposeReply(
            failure.kind.value, failure.message, failure.details, b'', leader
        )
    answer = msgspec.msgpack.encode(outcome.unwrap())
    return messages.ProposeReply('', '', (), answer, leader)


def unpack_reply(
    command_type: type, reply: messages.ProposeReply
) -> Result[Any, errors.Failure]:
    """Return the result of a command from its message."""
    if reply.error_kind:
        return Err(
            errors.Failure(
                errors.ErrorKind(reply.error_kind),
                reply.message,
                reply.details,
            )
        )
    answer_type = _ANSWER_TYPES.get(command_type, Any)
    return Ok(msgspec.msgpack.decode(reply.answer, type=answer_type))
