"""Dump of the state of a process on request."""

import asyncio
from collections.abc import Callable
import json
from typing import Any

import orioleshore
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply

# A task that does not answer in time is listed as such.
DUMP_TIMEOUT_S = 2.0


class Dumper:
    """Asks each task for its state; the process goes on meanwhile."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._sources: dict[
            str, tuple[mailbox.Mailbox, Callable[[reply.Reply], Any]]
        ] = {}
        self._values: dict[str, Callable[[], Any]] = {}

    def add_task(
        self,
        name: str,
        box: mailbox.Mailbox,
        make_question: Callable[[reply.Reply], Any],
    ) -> None:
        """Include the answer of a task to a question."""
        self._sources[name] = (box, make_question)

    def add_value(self, name: str, get_value: Callable[[], Any]) -> None:
        """Include counters that may be read at any time."""
        self._values[name] = get_value

    async def get_dump(self) -> dict[str, Any]:
        """Return the state of every task, in the order of their names."""
        content: dict[str, Any] = {
            'node': self._node,
            'program_version': orioleshore.__version__,
        }
        for name, get_value in sorted(self._values.items()):
            content[name] = get_value()
        for name, (box, make_question) in sorted(self._sources.items()):
            content[name] = await _ask(box, make_question)
        return content


async def _ask(
    box: mailbox.Mailbox, make_question: Callable[[reply.Reply], Any]
) -> Any:
    answer: reply.Reply = reply.Reply()
    outcome = box.put(make_question(answer))
    if outcome.is_err():
        return {'error': outcome.unwrap_err().message}
    try:
        async with asyncio.timeout(DUMP_TIMEOUT_S):
            result = await answer.wait()
    except TimeoutError:
        return {'error': f'no answer within {DUMP_TIMEOUT_S:g} s'}
    if result.is_err():
        return {'error': result.unwrap_err().message}
    return result.unwrap()


def format_dump(content: dict[str, Any]) -> str:
    """Return a dump as JSON on one line, with sorted keys."""
    return json.dumps(content, sort_keys=True)
