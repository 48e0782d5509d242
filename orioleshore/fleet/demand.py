"""Demand on pools, aggregated from the reports of entry hosts."""

import msgspec

from orioleshore.fleet import events
from orioleshore.model import documents
from orioleshore.model import ids

# Age at which a report is dropped, in seconds; three reports may be lost.
REPORT_VALIDITY_S = 20.0


class _Report(msgspec.Struct, frozen=True):
    time: float
    requests: dict[ids.ServiceId, int]
    slots: dict[ids.ServiceId, int]


class DemandReports:
    """The newest report of each entry host."""

    def __init__(self) -> None:
        self._reports: dict[ids.NodeId, _Report] = {}

    def add_report(
        self, event: events.ServiceDemandReported, now: float
    ) -> None:
        """Store a report, and drop those that have expired."""
        self._reports[event.node] = _Report(
            now,
            {demand.service: demand.requests for demand in event.demands},
            {demand.service: demand.slots for demand in event.demands},
        )
        oldest = now - REPORT_VALIDITY_S
        for node in [
            node
            for node, report in self._reports.items()
            if report.time < oldest
        ]:
            del self._reports[node]

    def get_load(self, service: ids.ServiceId) -> float | None:
        """Return the ratio of requests to slots, None without slots.

        Each entry host reports its own requests but the same shared
        slots, so requests are added and slots are not.
        """
        slots = max(
            (
                report.slots.get(service, 0)
                for report in self._reports.values()
            ),
            default=0,
        )
        if not slots:
            return None
        requests = sum(
            report.requests.get(service, 0)
            for report in self._reports.values()
        )
        return requests / slots

    def get_pool_loads(
        self, document: documents.Document
    ) -> dict[ids.PoolId, float]:
        """Return the load of each pool whose services have upstreams."""
        loads: dict[ids.PoolId, float] = {}
        for service in document.services:
            load = self.get_load(service.name)
            if load is not None:
                loads[service.pool] = loads.get(service.pool, 0.0) + load
        return loads
