"""Hosts outside planned work: failure, silence, repair and proof."""

from collections.abc import Callable
import heapq
from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import view
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states

# A host that does not serve is looked at this often, in seconds.
REVIEW_S = 5.0

_GONE = (events.ReportedState.DOWN, events.ReportedState.REBOOTING)
_DRAINED = (events.ReportedState.DRAINING, events.ReportedState.DRAINED)


class HostWatch:
    """Records failures, and returns hosts through their proof."""

    def __init__(self) -> None:
        self._due: list[tuple[float, ids.HostId]] = []
        self._silent_at: list[tuple[float, ids.HostId]] = []
        self._watched: set[ids.HostId] = set()
        self._scheduled: set[ids.HostId] = set()
        self._hosts: tuple[documents.Host, ...] = ()
        self._waves: tuple[documents.Wave, ...] = ()

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Look at every host that does not serve."""
        self._due = []
        self._silent_at = []
        self._watched = set()
        self._scheduled = set()
        for host, record in fleet.state.hosts.items():
            if record.state is not states.HostState.SERVING:
                self._schedule(host, now)
        return self._return_unused(fleet, now)

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        actions: list[events.Action] = []
        if isinstance(event, events.HostReported):
            self._watch(event.host, now, fleet)
        if isinstance(event, events.TimerFired):
            actions += self._review_due(fleet, now)
            actions += self._find_silent(fleet, now)
        if fleet.is_document_new:
            self._schedule_unclaimed(fleet, now)
        for host in fleet.touched:
            actions += self._review(host, fleet, now)
        return actions

    def get_dump(self) -> dict[str, Any]:
        """Return how many hosts are looked at again."""
        return {'due': len(self._due), 'watched': len(self._watched)}

    def _return_unused(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """End permissions whose planned work an earlier leader lost."""
        actions: list[events.Action] = []
        for permission in fleet.state.permissions.values():
            host = permission.host
            record = fleet.state.hosts[host]
            is_serving = record.state is states.HostState.SERVING
            if is_serving and host not in fleet.claimed:
                ends = fleet.end_permission(host, now)
                actions += fleet.propose(host, now, *ends)
        return actions

    def _watch(self, host: ids.HostId, now: float, fleet: view.Fleet) -> None:
        if host in self._watched or host not in fleet.state.hosts:
            return
        self._watched.add(host)
        heapq.heappush(self._silent_at, (now + fleet.timings.suspect_s, host))

    def _schedule_unclaimed(self, fleet: view.Fleet, now: float) -> None:
        """Look at added hosts, and at those of a wave that was removed."""
        hosts = fleet.state.document.hosts
        waves = fleet.state.document.waves
        if self._hosts is hosts and self._waves is waves:
            return
        self._hosts = hosts
        self._waves = waves
        for host, record in fleet.state.hosts.items():
            is_serving = record.state is states.HostState.SERVING
            if not is_serving and host not in fleet.claimed:
                self._schedule(host, now)

    def _schedule(self, host: ids.HostId, due: float) -> None:
        if host not in self._scheduled:
            self._scheduled.add(host)
            heapq.heappush(self._due, (due, host))

    def _review_due(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        while self._due and self._due[0][0] <= now:
            host = heapq.heappop(self._due)[1]
            self._scheduled.discard(host)
            actions += self._review(host, fleet, now)
        return actions

    def _find_silent(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        while self._silent_at and self._silent_at[0][0] <= now:
            host = heapq.heappop(self._silent_at)[1]
            if host not in fleet.state.hosts:
                self._watched.discard(host)
                continue
            actions += self._check_silence(host, fleet, now)
        return actions

    def _check_silence(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        timings = fleet.timings
        heard = fleet.reports[host].time
        if now - heard < timings.suspect_s:
            heapq.heappush(self._silent_at, (heard + timings.suspect_s, host))
            return []
        # A silent platform says nothing about one host.
        if fleet.is_platform_silent(now):
            heapq.heappush(self._silent_at, (now + REVIEW_S, host))
            return []
        heapq.heappush(self._silent_at, (now + REVIEW_S, host))
        fleet.suspects.add(host)
        fleet.refresh(host)
        if now - heard < timings.silent_s:
            return []
        return self._fail(
            host,
            fleet,
            now,
            f'no report for {timings.silent_s:.0f} s',
        )

    def _review(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        record = fleet.state.hosts.get(host)
        if record is None or host in fleet.claimed:
            return []
        if record.state is states.HostState.SERVING:
            return self._review_serving(host, fleet, now)
        self._schedule(host, now + min(REVIEW_S, fleet.timings.proving_s))
        if fleet.is_pending(host) or host not in fleet.reports:
            return []
        return _REVIEWS[record.state](self, host, fleet, now)

    def _review_serving(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        if not fleet.is_pending(host):
            # The start of the planned work was refused or got lost.
            unused = fleet.end_permission(host, now)
            if unused:
                return fleet.propose(host, now, *unused)
        report = fleet.reports.get(host)
        if report is None:
            return []
        if report.state in _GONE:
            return self._fail(
                host, fleet, now, f'reported {report.state.value}'
            )
        if report.state in _DRAINED:
            return fleet.call(events.CallKind.RETURN_HOST, host, now)
        return []

    def _review_draining(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        if fleet.reports[host].state in _GONE:
            return self._fail(host, fleet, now, 'failed while it drained')
        return fleet.propose(
            host,
            now,
            fleet.set_state(
                host, states.HostState.SERVING, now, 'planned work withdrawn'
            ),
            *fleet.end_permission(host, now),
        )

    def _review_drained(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        return fleet.propose(
            host,
            now,
            fleet.set_state(
                host, states.HostState.PROVING, now, 'planned work withdrawn'
            ),
        )

    def _review_rebooting(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        if fleet.reports[host].state is events.ReportedState.UP:
            return self._prove(host, fleet, now)
        if fleet.reports[host].state in _DRAINED:
            # The planned work ended before the platform was asked.
            return fleet.call(events.CallKind.RETURN_HOST, host, now)
        if fleet.get_step_time(host, now) < fleet.timings.reboot_s:
            return []
        return self._fail(host, fleet, now, 'did not come back from reboot')

    def _review_proving(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        report = fleet.reports[host]
        if report.state in _GONE:
            return self._fail(host, fleet, now, 'failed while it was proved')
        if report.state in _DRAINED:
            return fleet.call(events.CallKind.RETURN_HOST, host, now)
        if not is_proven(host, fleet, now):
            return []
        proven = fleet.set_state(host, states.HostState.SERVING, now, 'proved')
        return [
            *fleet.propose(
                host, now, proven, *fleet.end_permission(host, now)
            ),
            *fleet.explain(
                events.Record(
                    'host',
                    host,
                    'return to service',
                    {'up_s': round(now - report.since, 1)},
                    f'up for {fleet.timings.proving_s:g} s without a failure',
                )
            ),
        ]

    def _review_down(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        report = fleet.reports[host]
        record = fleet.state.hosts[host]
        if report.state in _DRAINED:
            return fleet.call(events.CallKind.RETURN_HOST, host, now)
        is_back = report.state is events.ReportedState.UP
        if not is_back or report.time < record.since:
            return []
        return self._prove(host, fleet, now)

    def _review_set_aside(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        report = fleet.reports[host]
        record = fleet.state.hosts[host]
        # Only a host that was taken out and came back has been repaired.
        if report.state is not events.ReportedState.UP:
            return []
        if report.out <= record.since:
            return []
        return self._prove(host, fleet, now)

    def _prove(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        return fleet.propose(
            host,
            now,
            fleet.set_state(host, states.HostState.PROVING, now, 'is back'),
        )

    def _fail(
        self, host: ids.HostId, fleet: view.Fleet, now: float, reason: str
    ) -> list[events.Action]:
        record = fleet.state.hosts[host]
        if record.state is states.HostState.DOWN or host in fleet.claimed:
            return []
        if record.state is states.HostState.SET_ASIDE:
            return []
        down = fleet.set_state(host, states.HostState.DOWN, now, reason)
        return [
            *fleet.propose(host, now, down, *fleet.end_permission(host, now)),
            *fleet.explain(
                events.Record(
                    'host',
                    host,
                    'count as down',
                    {'pool': record.pool, 'reason': reason},
                    'a host that failed gives no capacity',
                    'a report that the host is up',
                )
            ),
        ]


def is_proven(host: ids.HostId, fleet: view.Fleet, now: float) -> bool:
    """Return whether a proving host has been up for the proving time."""
    report = fleet.reports.get(host)
    if report is None or report.state is not events.ReportedState.UP:
        return False
    if host in fleet.suspects:
        return False
    begin = max(report.since, fleet.state.hosts[host].since)
    return now - begin >= fleet.timings.proving_s


_Review = Callable[
    [HostWatch, ids.HostId, view.Fleet, float], list[events.Action]
]

_REVIEWS: dict[states.HostState, _Review] = {
    states.HostState.DRAINING: HostWatch._review_draining,
    states.HostState.DRAINED: HostWatch._review_drained,
    states.HostState.REBOOTING: HostWatch._review_rebooting,
    states.HostState.PROVING: HostWatch._review_proving,
    states.HostState.DOWN: HostWatch._review_down,
    states.HostState.SET_ASIDE: HostWatch._review_set_aside,
}
