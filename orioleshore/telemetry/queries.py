"""Queries the state of tasks for dumps and metrics."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.tasks import mailbox
from orioleshore.tasks import reply

# Seconds after which the answer of a task counts as missing.
ANSWER_TIMEOUT_S = 2.0


class Source(msgspec.Struct, frozen=True):
    """A task and the message that requests its state.

    ``make_query`` builds the message from the reply for its answer.
    """

    name: str
    inbox: mailbox.Mailbox
    make_query: Callable[[reply.Reply], Any]


async def query_sources(sources: list[Source]) -> list[Result[Any, str]]:
    """Return the answer or error of each source, in their order."""
    return list(
        await asyncio.gather(*(_query_source(source) for source in sources))
    )


async def _query_source(source: Source) -> Result[Any, str]:
    answer: reply.Reply = reply.Reply()
    outcome = source.inbox.put(source.make_query(answer))
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
