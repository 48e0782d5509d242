"""Dumps the state of a process on request."""

from collections.abc import Callable
import json
from typing import Any

import orioleshore
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.telemetry import queries


class Dumper:
    """Queries the state of each task while the process keeps running."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._sources: list[queries.Source] = []
        self._counters: dict[str, Callable[[], Any]] = {}

    def add_task(
        self,
        name: str,
        inbox: mailbox.Mailbox,
        make_query: Callable[[reply.Reply], Any],
    ) -> None:
        """Include the answer of a task to a query under ``name``."""
        self._sources.append(queries.Source(name, inbox, make_query))

    def add_counters(self, name: str, get_counters: Callable[[], Any]) -> None:
        """Include counters that can be read without a message to a task."""
        self._counters[name] = get_counters

    async def get_dump(self) -> dict[str, Any]:
        """Return the state of every task, sorted by name.

        A task that does not answer is listed with an error.
        """
        content: dict[str, Any] = {
            'node': self._node,
            'program_version': orioleshore.__version__,
        }
        for name, get_counters in self._counters.items():
            content[name] = get_counters()
        answers = await queries.query_sources(self._sources)
        for source, answer in zip(self._sources, answers, strict=True):
            if answer.is_ok():
                content[source.name] = answer.unwrap()
            else:
                content[source.name] = {'error': answer.unwrap_err()}
        return dict(sorted(content.items()))


def format_dump(content: dict[str, Any]) -> str:
    """Return a dump as JSON on one line, with sorted keys."""
    return json.dumps(content, sort_keys=True)
