"""Monitor of hosts outside planned work: failure, silence and recovery."""

from collections.abc import Callable
import heapq
from typing import Any

from orioleshore.fleet import events
from orioleshore.fleet import view
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states

# Interval between reviews of a host that does not serve, in seconds.
REVIEW_INTERVAL_S = 5.0

_OUT_STATES = (events.ReportedState.DOWN, events.ReportedState.REBOOTING)
_DRAIN_STATES = (events.ReportedState.DRAINING, events.ReportedState.DRAINED)


class HostMonitor:
    """Records failed hosts, and returns recovered hosts to service."""

    def __init__(self) -> None:
        self._due_reviews: list[tuple[float, ids.HostId]] = []
        self._silence_checks: list[tuple[float, ids.HostId]] = []
        self._monitored_hosts: set[ids.HostId] = set()
        self._scheduled_hosts: set[ids.HostId] = set()
        self._loaded_hosts: tuple[documents.Host, ...] = ()
        self._loaded_waves: tuple[documents.Wave, ...] = ()

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Schedule a review of every host that does not serve."""
        self._due_reviews = []
        self._silence_checks = []
        self._monitored_hosts = set()
        self._scheduled_hosts = set()
        for host, record in fleet.state.hosts.items():
            if record.state is not states.HostState.SERVING:
                self._schedule_review(host, now)
        return self._end_unused_permissions(fleet, now)

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        actions: list[events.Action] = []
        if isinstance(event, events.HostReported):
            self._schedule_silence_check(event.host, now, fleet)
        if isinstance(event, events.TimerFired):
            actions += self._review_due_hosts(fleet, now)
            actions += self._check_silent_hosts(fleet, now)
        if fleet.has_document_changed:
            self._schedule_unclaimed(fleet, now)
        for host in fleet.affected_hosts:
            actions += self._review_host(host, fleet, now)
        return actions

    def get_dump(self) -> dict[str, Any]:
        """Return the numbers of scheduled reviews and monitored hosts."""
        return {
            'due': len(self._due_reviews),
            'watched': len(self._monitored_hosts),
        }

    def _end_unused_permissions(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """End permissions of serving hosts that no subplanner claims."""
        actions: list[events.Action] = []
        for permission in fleet.state.permissions.values():
            host = permission.host
            record = fleet.state.hosts[host]
            is_serving = record.state is states.HostState.SERVING
            if is_serving and host not in fleet.claimed_hosts:
                ends = fleet.build_permission_end(host, now)
                actions += fleet.propose_commands(host, now, *ends)
        return actions

    def _schedule_silence_check(
        self, host: ids.HostId, now: float, fleet: view.Fleet
    ) -> None:
        if host in self._monitored_hosts or host not in fleet.state.hosts:
            return
        self._monitored_hosts.add(host)
        heapq.heappush(
            self._silence_checks, (now + fleet.timings.suspect_s, host)
        )

    def _schedule_unclaimed(self, fleet: view.Fleet, now: float) -> None:
        """Schedule reviews of added hosts and hosts of removed waves."""
        hosts = fleet.state.document.hosts
        waves = fleet.state.document.waves
        if self._loaded_hosts is hosts and self._loaded_waves is waves:
            return
        self._loaded_hosts = hosts
        self._loaded_waves = waves
        for host, record in fleet.state.hosts.items():
            is_serving = record.state is states.HostState.SERVING
            if not is_serving and host not in fleet.claimed_hosts:
                self._schedule_review(host, now)

    def _schedule_review(self, host: ids.HostId, due: float) -> None:
        if host not in self._scheduled_hosts:
            self._scheduled_hosts.add(host)
            heapq.heappush(self._due_reviews, (due, host))

    def _review_due_hosts(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        while self._due_reviews and self._due_reviews[0][0] <= now:
            host = heapq.heappop(self._due_reviews)[1]
            self._scheduled_hosts.discard(host)
            actions += self._review_host(host, fleet, now)
        return actions

    def _check_silent_hosts(
        self, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        while self._silence_checks and self._silence_checks[0][0] <= now:
            host = heapq.heappop(self._silence_checks)[1]
            if host not in fleet.state.hosts:
                self._monitored_hosts.discard(host)
                continue
            actions += self._check_silence(host, fleet, now)
        return actions

    def _check_silence(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        timings = fleet.timings
        reported_at = fleet.reports[host].time
        if now - reported_at < timings.suspect_s:
            heapq.heappush(
                self._silence_checks, (reported_at + timings.suspect_s, host)
            )
            return []
        # If the platform reports no hosts, the silence of one is no evidence.
        if fleet.is_platform_silent(now):
            heapq.heappush(
                self._silence_checks, (now + REVIEW_INTERVAL_S, host)
            )
            return []
        heapq.heappush(self._silence_checks, (now + REVIEW_INTERVAL_S, host))
        fleet.suspected_hosts.add(host)
        fleet.refresh_host(host)
        if now - reported_at < timings.silent_s:
            return []
        return self._mark_down(
            host,
            fleet,
            now,
            f'no report for {timings.silent_s:.0f} s',
        )

    def _review_host(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        record = fleet.state.hosts.get(host)
        if record is None or host in fleet.claimed_hosts:
            return []
        if record.state is states.HostState.SERVING:
            return self._review_serving(host, fleet, now)
        self._schedule_review(
            host, now + min(REVIEW_INTERVAL_S, fleet.timings.proving_s)
        )
        if fleet.is_pending(host) or host not in fleet.reports:
            return []
        return _REVIEWS[record.state](self, host, fleet, now)

    def _review_serving(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        if not fleet.is_pending(host):
            # The proposal to start planned work was refused or lost.
            unused = fleet.build_permission_end(host, now)
            if unused:
                return fleet.propose_commands(host, now, *unused)
        report = fleet.reports.get(host)
        if report is None:
            return []
        if report.state in _OUT_STATES:
            return self._mark_down(
                host, fleet, now, f'reported {report.state.value}'
            )
        if report.state in _DRAIN_STATES:
            return fleet.call_platform(events.CallKind.RETURN_HOST, host, now)
        return []

    def _review_draining(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        if fleet.reports[host].state in _OUT_STATES:
            return self._mark_down(host, fleet, now, 'failed while it drained')
        return fleet.propose_commands(
            host,
            now,
            fleet.build_state_change(
                host, states.HostState.SERVING, now, 'planned work withdrawn'
            ),
            *fleet.build_permission_end(host, now),
        )

    def _review_drained(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        return fleet.propose_commands(
            host,
            now,
            fleet.build_state_change(
                host, states.HostState.PROVING, now, 'planned work withdrawn'
            ),
        )

    def _review_rebooting(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        if fleet.reports[host].state is events.ReportedState.UP:
            return self._start_proving(host, fleet, now)
        if fleet.reports[host].state in _DRAIN_STATES:
            # The planned work ended before the platform was called.
            return fleet.call_platform(events.CallKind.RETURN_HOST, host, now)
        if fleet.get_time_in_state(host, now) < fleet.timings.reboot_s:
            return []
        return self._mark_down(
            host, fleet, now, 'did not come back from reboot'
        )

    def _review_proving(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        report = fleet.reports[host]
        if report.state in _OUT_STATES:
            return self._mark_down(
                host, fleet, now, 'failed while it was proved'
            )
        if report.state in _DRAIN_STATES:
            return fleet.call_platform(events.CallKind.RETURN_HOST, host, now)
        if not is_proven(host, fleet, now):
            return []
        serve = fleet.build_state_change(
            host, states.HostState.SERVING, now, 'proved'
        )
        return [
            *fleet.propose_commands(
                host, now, serve, *fleet.build_permission_end(host, now)
            ),
            *fleet.record_decision(
                events.RecordDecision(
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
        if report.state in _DRAIN_STATES:
            return fleet.call_platform(events.CallKind.RETURN_HOST, host, now)
        is_back = report.state is events.ReportedState.UP
        if not is_back or report.time < record.since:
            return []
        return self._start_proving(host, fleet, now)

    def _review_set_aside(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        report = fleet.reports[host]
        record = fleet.state.hosts[host]
        # Only a host that was down and came up since has been repaired.
        if report.state is not events.ReportedState.UP:
            return []
        if report.last_outage <= record.since:
            return []
        return self._start_proving(host, fleet, now)

    def _start_proving(
        self, host: ids.HostId, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        return fleet.propose_commands(
            host,
            now,
            fleet.build_state_change(
                host, states.HostState.PROVING, now, 'is back'
            ),
        )

    def _mark_down(
        self, host: ids.HostId, fleet: view.Fleet, now: float, reason: str
    ) -> list[events.Action]:
        record = fleet.state.hosts[host]
        if (
            record.state is states.HostState.DOWN
            or host in fleet.claimed_hosts
        ):
            return []
        if record.state is states.HostState.SET_ASIDE:
            return []
        down = fleet.build_state_change(
            host, states.HostState.DOWN, now, reason
        )
        return [
            *fleet.propose_commands(
                host, now, down, *fleet.build_permission_end(host, now)
            ),
            *fleet.record_decision(
                events.RecordDecision(
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
    """Return whether a host has been up for the whole proving time."""
    report = fleet.reports.get(host)
    if report is None or report.state is not events.ReportedState.UP:
        return False
    if host in fleet.suspected_hosts:
        return False
    up_since = max(report.since, fleet.state.hosts[host].since)
    return now - up_since >= fleet.timings.proving_s


_Review = Callable[
    [HostMonitor, ids.HostId, view.Fleet, float], list[events.Action]
]

_REVIEWS: dict[states.HostState, _Review] = {
    states.HostState.DRAINING: HostMonitor._review_draining,
    states.HostState.DRAINED: HostMonitor._review_drained,
    states.HostState.REBOOTING: HostMonitor._review_rebooting,
    states.HostState.PROVING: HostMonitor._review_proving,
    states.HostState.DOWN: HostMonitor._review_down,
    states.HostState.SET_ASIDE: HostMonitor._review_set_aside,
}
