"""Encoding of command results that are sent between processes."""

from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.protocol import messages
from orioleshore.state import claim_commands
from orioleshore.state import commands

# Results of all other commands are None or integers.
_ANSWER_TYPES: dict[type, Any] = {
    commands.ChangeDocument: int,
    commands.ClaimRequest: claim_commands.ClaimAnswer,
}

_ANSWER_DECODERS = {
    command: decoding.make_msgpack_decoder(answer)
    for command, answer in _ANSWER_TYPES.items()
}
_PLAIN_DECODER = decoding.make_msgpack_decoder(int | None)


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
    decoder = _ANSWER_DECODERS.get(command_type, _PLAIN_DECODER)
    return Ok(decoder.decode(reply.answer))
