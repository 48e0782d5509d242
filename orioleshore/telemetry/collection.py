"""Collects the metrics of a process from its tasks at each scrape."""

from collections.abc import Callable
import logging
from typing import Any

import orioleshore
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.telemetry import latencies
from orioleshore.telemetry import logs
from orioleshore.telemetry import metrics
from orioleshore.telemetry import questions

LOG = logging.getLogger(__name__)

Reader = Callable[[Any, metrics.Sheet], None]


class Collector:
    """Asks tasks for their figures and writes them into one sheet."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._mailboxes: list[mailbox.Mailbox] = []
        self._sources: list[tuple[questions.Source, Reader]] = []
        self._values: list[tuple[Callable[[], Any], Reader]] = []
        self._latencies: latencies.Latencies | None = None

    def add_latencies(self, recorded: latencies.Latencies) -> None:
        """Include histograms and counters that parts add to."""
        self._latencies = recorded

    def add_mailbox(self, box: mailbox.Mailbox) -> None:
        """Include the length and the drops of a mailbox."""
        self._mailboxes.append(box)

    def add_task(
        self,
        box: mailbox.Mailbox,
        make_question: Callable[[reply.Reply], Any],
        read: Reader,
    ) -> None:
        """Include the answer of a task to a question."""
        source = questions.Source(box.name, box, make_question)
        self._sources.append((source, read))

    def add_value(self, get_value: Callable[[], Any], read: Reader) -> None:
        """Include counters that may be read at any time."""
        self._values.append((get_value, read))

    def get_mailboxes(self) -> dict[str, dict[str, int]]:
        """Return length and drops of each mailbox, by its name."""
        return {
            box.name: {'messages': len(box), 'dropped': box.dropped}
            for box in self._mailboxes
        }

    async def collect(self) -> bytes:
        """Return all metrics in the text format.

        The metrics of a task that does not answer are left out.
        """
        sheet = metrics.Sheet(self._node)
        sheet.set('build_info', 1, program_version=orioleshore.__version__)
        for box in self._mailboxes:
            sheet.set('mailbox_messages', len(box), mailbox=box.name)
            sheet.set(
                'mailbox_dropped_messages_total', box.dropped, mailbox=box.name
            )
        for get_value, read in self._values:
            read(get_value(), sheet)
        sources = [source for source, _ in self._sources]
        answers = await questions.ask_all(sources)
        for (source, read), answer in zip(self._sources, answers, strict=True):
            if answer.is_ok():
                read(answer.unwrap(), sheet)
                continue
            LOG.warning(
                logs.format_event(
                    'metrics_incomplete',
                    task=source.name,
                    error=answer.unwrap_err(),
                )
            )
        content = sheet.render()
        if self._latencies is not None:
            content += self._latencies.render()
        return content
