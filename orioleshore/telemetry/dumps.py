"""Dump of the state of a process on request."""

from collections.abc import Callable
import json
from typing import Any

import orioleshore
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.telemetry import questions


class Dumper:
    """Asks each task for its state; the process goes on meanwhile."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._sources: list[questions.Source] = []
        self._values: dict[str, Callable[[], Any]] = {}

    def add_task(
        self,
        name: str,
        box: mailbox.Mailbox,
        make_question: Callable[[reply.Reply], Any],
    ) -> None:
        """Include the answer of a task to a question."""
        self._sources.append(questions.Source(name, box, make_question))

    def add_value(self, name: str, get_value: Callable[[], Any]) -> None:
        """Include counters that may be read at any time."""
        self._values[name] = get_value

    async def get_dump(self) -> dict[str, Any]:
        """Return the state of every task, in the order of their names."""
        content: dict[str, Any] = {
            'node': self._node,
            'program_version': orioleshore.__version__,
        }
        for name, get_value in self._values.items():
            content[name] = get_value()
        answers = await questions.ask_all(self._sources)
        for source, answer in zip(self._sources, answers, strict=True):
            if answer.is_ok():
                content[source.name] = answer.unwrap()
            else:
                content[source.name] = {'error': answer.unwrap_err()}
        return dict(sorted(content.items()))


def format_dump(content: dict[str, Any]) -> str:
    """Return a dump as JSON on one line, with sorted keys."""
    return json.dumps(content, sort_keys=True)
