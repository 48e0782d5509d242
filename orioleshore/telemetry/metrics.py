"""Metrics of a process in the text format of Prometheus."""

import enum
from typing import Any

import aioprometheus
import msgspec

PREFIX = 'orioleshore_'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

_ESCAPES = str.maketrans({'\\': '\\\\', '"': '\\"', '\n': '\\n'})


class Kind(enum.Enum):
    """Type of a metric: a counter never decreases."""

    COUNTER = 'counter'
    GAUGE = 'gauge'


class Metric(msgspec.Struct, frozen=True):
    """One metric; the values of its labels come from a bounded set."""

    name: str
    kind: Kind
    labels: tuple[str, ...]
    text: str


_TABLE = """
gauge   build_info program_version | Constant 1, with the program's version
gauge   mailbox_messages mailbox | Messages that wait in a mailbox
counter mailbox_dropped_messages_total mailbox | Messages dropped or refused
counter transport_received_messages_total | Messages from peers
counter transport_received_bytes_total | Bytes of messages from peers
counter transport_sent_messages_total | Messages queued for peers
counter transport_sent_bytes_total | Bytes of messages queued for peers
counter transport_dropped_frames_total | Frames dropped: full queue or too old
counter transport_refused_connections_total | Connections closed for bad frames
counter transport_misdirected_replies_total | Replies to a former process here
gauge   transport_queued_frames | Frames that wait for their peers
gauge   transport_connections direction | Open connections between processes
gauge   intake_held_bytes | Bytes charged to the peers of this process
gauge   intake_connections | Open connections of peers, all addresses
counter closed_connections_total reason | Connections closed for a limit
counter odd_entries_total list | Entries of lists that could not be read
gauge   membership_peers state | Other processes, by what this one knows
gauge   membership_isolated | 1 when most probes of this process fail
gauge   membership_broken_paths | Live peers without a direct path
gauge   membership_waiting_rumours | Rumours that are still to be repeated
gauge   configuration_version | Version of the document in force here
gauge   configuration_highest_version | Highest version known of any peer
gauge   routing_queued_requests service | Requests that wait for an upstream
gauge   routing_held_requests | Requests that are not answered yet
gauge   routing_in_flight_requests | Requests at upstreams
gauge   routing_upstreams service | Known upstreams of a service
counter refused_requests_total error | Requests without an upstream answer
gauge   consensus_role role | 1 for the role of this member, 0 for others
gauge   consensus_term | Term of this member
gauge   consensus_commit_index | Highest committed index
gauge   consensus_applied_index | Highest applied index
gauge   consensus_pending_calls | Calls that wait for their commit
counter consensus_syncs_total | Syncs of files
counter consensus_sync_seconds_total | Time spent on writes with their syncs
gauge   fleet_hosts state | Hosts by state, at the leader
gauge   fleet_budget_left_cores service scope | Cores that may still go down
gauge   fleet_wave_hosts wave state | Hosts of unfinished waves by progress
gauge   fleet_jobs state | Jobs by state, at the leader
gauge   organisation_used organisation resource | What running tasks need
gauge   organisation_limit organisation resource | Limits, 0 for none
gauge   organisation_share organisation | Dominant share per unit of weight
gauge   organisation_jobs organisation | Unfinished jobs
gauge   organisation_held_jobs organisation | Jobs held by the limit
"""


def _parse_row(row: str) -> Metric:
    left, _, text = row.partition(' | ')
    kind, name, *labels = left.split()
    return Metric(PREFIX + name, Kind(kind), tuple(labels), text)


METRICS = tuple(_parse_row(row) for row in _TABLE.strip().splitlines())

_COLLECTORS = {
    Kind.COUNTER: aioprometheus.Counter,
    Kind.GAUGE: aioprometheus.Gauge,
}


class MetricsSnapshot:
    """Values of all metrics at one scrape.

    A new snapshot for each scrape drops the series of removed objects.
    """

    def __init__(self, node: str) -> None:
        self._registry = aioprometheus.collectors.Registry()
        self._metrics = {metric.name: metric for metric in METRICS}
        self._collectors = {
            metric.name: _COLLECTORS[metric.kind](
                metric.name,
                metric.text,
                const_labels={'node': node},
                registry=self._registry,
            )
            for metric in METRICS
        }

    def set(self, name: str, value: float, **labels: Any) -> None:
        """Set a metric, named without its prefix.

        Raises KeyError for a metric or label that is not in the table.
        """
        metric = self._metrics[PREFIX + name]
        if tuple(labels) != metric.labels:
            raise KeyError(f'{name} has the labels {metric.labels}')
        texts = {key: _escape(value) for key, value in labels.items()}
        self._collectors[metric.name].set(texts, value)

    def render(self) -> bytes:
        """Return all values in the text format."""
        content, _ = aioprometheus.render(self._registry, ['text/plain'])
        return content


def _escape(value: Any) -> str:
    # The library does not escape the values of labels.
    text = value.value if isinstance(value, enum.Enum) else str(value)
    return text.translate(_ESCAPES)
