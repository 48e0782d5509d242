"""Questions that dumps and metrics put to tasks."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.tasks import mailbox
from orioleshore.tasks import reply

# A task that does not answer in time is listed as such.
ANSWER_TIMEOUT_S = 2.0


class Source(msgspec.Struct, frozen=True):
    """A task, and the message that asks it for its state."""

    name: str
    box: mailbox.Mailbox
    make_question: Callable[[reply.Reply], Any]


async def ask_all(sources: list[Source]) -> list[Result[Any, str]]:
    """Return the answers in the order of the sources."""
    return list(await asyncio.gather(*(_ask(source) for source in sources)))


async def _ask(source: Source) -> Result[Any, str]:
    answer: reply.Reply = reply.Reply()
    outcome = source.box.put(source.make_question(answer))
    if outcome.is_err():
        return Err(outcome.unwrap_err().message)
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            result = await answer.wait()
    except TimeoutError:
        return Err(f'no answer within {ANSWER_TIMEOUT_S:g} s')
    if result.is_err():
        return Err(result.unwrap_err().message)
    return Ok(result.unwrap())
