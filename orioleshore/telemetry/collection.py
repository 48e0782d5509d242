"""Collects the metrics of a process from its tasks at each scrape."""

import collections
from collections.abc import Callable
import logging
from typing import Any

import orioleshore
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.telemetry import latencies
from orioleshore.telemetry import logs
from orioleshore.telemetry import metrics
from orioleshore.telemetry import odd_entries
from orioleshore.telemetry import queries

LOG = logging.getLogger(__name__)

MetricsWriter = Callable[[Any, metrics.MetricsSnapshot], None]


class Collector:
    """Queries the tasks of a process and renders their metrics."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._mailboxes: list[mailbox.Mailbox] = []
        self._sources: list[tuple[queries.Source, MetricsWriter]] = []
        self._counters: list[tuple[Callable[[], Any], MetricsWriter]] = []
        self._odd_entries: list[odd_entries.OddEntryLog] = []
        self._recorder: latencies.Recorder | None = None

    def add_recorder(self, recorder: latencies.Recorder) -> None:
        """Include the histograms and counters of a recorder."""
        self._recorder = recorder

    def add_mailbox(self, inbox: mailbox.Mailbox) -> None:
        """Include the length and the dropped messages of a mailbox."""
        self._mailboxes.append(inbox)

    def add_odd_entries(self, log: odd_entries.OddEntryLog) -> None:
        """Include the number of odd entries that a task has read."""
        self._odd_entries.append(log)

    def add_task(
        self,
        inbox: mailbox.Mailbox,
        make_query: Callable[[reply.Reply], Any],
        write: MetricsWriter,
    ) -> None:
        """Include metrics that ``write`` takes from a task's answer."""
        source = queries.Source(inbox.name, inbox, make_query)
        self._sources.append((source, write))

    def add_counters(
        self, get_counters: Callable[[], Any], write: MetricsWriter
    ) -> None:
        """Include counters that can be read without a message to a task."""
        self._counters.append((get_counters, write))

    def get_mailbox_counts(self) -> dict[str, dict[str, int]]:
        """Return length and dropped messages of each mailbox by name."""
        return {
            inbox.name: {'messages': len(inbox), 'dropped': inbox.dropped}
            for inbox in self._mailboxes
        }

    def _write_odd_entries(self, snapshot: metrics.MetricsSnapshot) -> None:
        total: collections.Counter[odd_entries.EntryList] = (
            collections.Counter()
        )
        for log in self._odd_entries:
            total.update(log.counts)
        for entry_list in odd_entries.EntryList:
            snapshot.set(
                'odd_entries_total', total[entry_list], list=entry_list
            )

    async def collect(self) -> bytes:
        """Return all metrics in the text format.

        The metrics of a task that does not answer are omitted.
        """
        snapshot = metrics.MetricsSnapshot(self._node)
        snapshot.set('build_info', 1, program_version=orioleshore.__version__)
        for inbox in self._mailboxes:
            snapshot.set('mailbox_messages', len(inbox), mailbox=inbox.name)
            snapshot.set(
                'mailbox_dropped_messages_total',
                inbox.dropped,
                mailbox=inbox.name,
            )
        self._write_odd_entries(snapshot)
        for get_counters, write in self._counters:
            write(get_counters(), snapshot)
        sources = [source for source, _ in self._sources]
        answers = await queries.query_sources(sources)
        for (source, write), answer in zip(
            self._sources, answers, strict=True
        ):
            if answer.is_ok():
                write(answer.unwrap(), snapshot)
                continue
            LOG.warning(
                logs.format_event(
                    'metrics_incomplete',
                    task=source.name,
                    error=answer.unwrap_err(),
                )
            )
        content = snapshot.render()
        if self._recorder is not None:
            content += self._recorder.render()
        return content
