"""View of the fleet that the subplanners share.

It holds a copy of the replicated state, the reports of the platform, and
the proposals and platform calls that have no outcome yet.
"""

import functools
import heapq
from typing import Any

import msgspec

from orioleshore.fleet import events
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.state import records
from orioleshore.state import registry


class Timings(msgspec.Struct, frozen=True):
    """Time limits of the states of a host, in seconds."""

    drain_s: float = 900.0
    reboot_s: float = 600.0
    # A host in state PROVING returns to service after this time without
    # a failure.
    proving_s: float = 30.0
    proving_limit_s: float = 600.0
    # A host that waits for its wave and is down for longer is skipped.
    down_s: float = 1_800.0
    # A reboot counts as done this long after the platform accepted it,
    # even if no report showed the host down: a new leader lacks the
    # reports that its predecessor received.
    reboot_unseen_s: float = 30.0
    suspect_s: float = 30.0
    silent_s: float = 90.0
    call_repeat_s: float = 2.0
    call_repeat_limit_s: float = 60.0
    propose_repeat_s: float = 10.0
    permission_s: float = 3_600.0


class HostReport(msgspec.Struct):
    """The newest report of a host; times are wall times in seconds."""

    state: events.ReportedState
    time: float
    # Time of the first of the latest reports with the same state.
    since: float
    # Time of the last report as down or rebooting.
    last_outage: float = 0.0


class _Call(msgspec.Struct):
    next_call_time: float
    repeat_interval: float
    first: float
    accepted_at: float | None = None


class _PendingProposal(msgspec.Struct):
    expires_at: float
    outstanding_commands: int


class Fleet:
    """A copy of the replicated state, and the soft state of the leader."""

    def __init__(
        self,
        state: records.State,
        epoch: ids.Epoch,
        timings: Timings,
        now: float,
    ) -> None:
        self.state = state
        self.epoch = epoch
        self.timings = timings
        self.leader_since = now
        self.reports: dict[ids.HostId, HostReport] = {}
        self.platform_reported_at: float | None = None
        self.suspected_hosts: set[ids.HostId] = set()
        # Hosts in planned work of a subplanner; the others must not act on
        # them.
        self.claimed_hosts: set[ids.HostId] = set()
        self.affected_hosts: list[ids.HostId] = []
        self._command_hosts: list[ids.HostId] = []
        self.has_document_changed = True
        self._pending_proposals: dict[ids.HostId, _PendingProposal] = {}
        self._hosts_awaiting_grant: set[ids.HostId] = set()
        self._permission_expiries: list[tuple[float, ids.HostId]] = []
        self._calls: dict[ids.HostId, dict[ids.CallId, _Call]] = {}
        self._decisions: dict[tuple[str, str], tuple[str, str]] = {}
        self._rebuild_index()

    def update_from_event(self, event: events.Event, now: float) -> None:
        """Update the view from an event, before the subplanners handle it."""
        self.affected_hosts = []
        if not isinstance(event, events.CommandApplied):
            self.has_document_changed = False
        _update_from_event(event, self, now)

    def apply_command(
        self, command: commands.Command
    ) -> registry.CommandResult:
        """Apply a committed command to the copy of the replicated state."""
        hosts = self._command_hosts = self._get_affected_hosts(command)
        document = self.state.document
        outcome = machine.apply_command(command, self.state)
        self.has_document_changed = self.state.document is not document
        if not self.index.is_built_from(self.state):
            self._rebuild_index()
        self._settle_proposal(command)
        for host in hosts:
            self.refresh_host(host)
        if isinstance(command, commands.GrantPermission):
            heapq.heappush(
                self._permission_expiries, (command.until, command.host)
            )
        return outcome

    def refresh_host(self, host: ids.HostId) -> None:
        """Update a host in the sums of the planner's budget index."""
        is_counted_down = (
            host in self._hosts_awaiting_grant
            or host in self.suspected_hosts
            or host in budgets.get_index(self.state).permissions_by_host
        )
        self.index.update_host(
            host, self.state.hosts.get(host), is_counted_down
        )

    def is_pending(self, host: ids.HostId) -> bool:
        """Return whether a proposal about a host has no outcome yet."""
        return host in self._pending_proposals

    def propose_commands(
        self, host: ids.HostId, now: float, *proposed: commands.Command
    ) -> list[events.Action]:
        """Propose commands about a host unless earlier ones are pending."""
        pending = self._pending_proposals.get(host)
        if pending is not None and pending.expires_at > now:
            return []
        self._pending_proposals[host] = _PendingProposal(
            now + self.timings.propose_repeat_s, len(proposed)
        )
        if isinstance(proposed[0], commands.GrantPermission):
            self._hosts_awaiting_grant.add(host)
            self.refresh_host(host)
        return [events.Propose(command) for command in proposed]

    def call_platform(
        self, kind: events.CallKind, host: ids.HostId, now: float
    ) -> list[events.Action]:
        """Call the platform, or repeat the call with exponential backoff.

        The call id identifies the state of the host that the call is made
        in, so a later leader repeats the same call and the platform acts
        on it once.
        """
        record = self.state.hosts[host]
        call_id = ids.CallId(
            f'{kind.value}/{host}/{record.epoch}/{round(record.since * 1e3)}'
        )
        calls = self._calls.setdefault(host, {})
        if call_id not in calls:
            # Calls made in earlier states are never repeated.
            calls.clear()
            calls[call_id] = _Call(now, self.timings.call_repeat_s, now)
        call = calls[call_id]
        if now < call.next_call_time:
            return []
        call.next_call_time = now + call.repeat_interval
        call.repeat_interval = min(
            2 * call.repeat_interval, self.timings.call_repeat_limit_s
        )
        return [
            events.CallPlatform(call_id, kind, host, self.epoch, record.epoch)
        ]

    def get_time_in_state(self, host: ids.HostId, now: float) -> float:
        """Return how long a host has been in its state, in seconds.

        Time before this leader was elected does not count: the leader has
        no reports of that time, so it could fail or repeat a step that
        has succeeded.
        """
        return now - max(self.state.hosts[host].since, self.leader_since)

    def get_call_accepted_at(self, host: ids.HostId) -> float | None:
        """Return when the platform accepted the newest call of a host."""
        for call in self._calls.get(host, {}).values():
            return call.accepted_at
        return None

    def get_next_call_time(self, host: ids.HostId) -> float | None:
        """Return when the newest call of a host is to be repeated."""
        for call in self._calls.get(host, {}).values():
            return call.next_call_time
        return None

    def build_state_change(
        self,
        host: ids.HostId,
        state: states.HostState,
        now: float,
        reason: str = '',
    ) -> commands.SetHostState:
        """Return the command that records a state of a host."""
        return commands.SetHostState(
            time=ids.WallTime(now),
            host=host,
            host_epoch=self.state.hosts[host].epoch,
            state=state,
            reason=reason,
            epoch=self.epoch,
        )

    def build_grant(
        self, host: ids.HostId, purpose: states.Purpose, now: float
    ) -> commands.GrantPermission:
        """Return the command that allows a host to be taken down."""
        return commands.GrantPermission(
            time=ids.WallTime(now),
            permission=ids.PermissionId(
                f'{purpose.value}/{host}/{self.epoch}/{round(now * 1e3)}'
            ),
            host=host,
            host_epoch=self.state.hosts[host].epoch,
            purpose=purpose,
            epoch=self.epoch,
            until=ids.WallTime(now + self.timings.permission_s),
        )

    def build_permission_end(
        self, host: ids.HostId, now: float
    ) -> list[commands.EndPermission]:
        """Return the command that ends the permission of a host, if any."""
        index = budgets.get_index(self.state)
        permission = index.permissions_by_host.get(host)
        if permission is None:
            return []
        return [
            commands.EndPermission(
                time=ids.WallTime(now),
                permission=permission,
                epoch=self.epoch,
            )
        ]

    def record_decision(
        self, record: events.RecordDecision
    ) -> list[events.Action]:
        """Return the record unless it repeats the last one of its subject."""
        subject = (record.subject_kind, record.subject)
        content = (record.decision, record.rule)
        if self._decisions.get(subject) == content:
            return []
        self._decisions[subject] = content
        return [record]

    def is_platform_silent(self, now: float) -> bool:
        """Return whether the platform stopped reporting all hosts."""
        if self.platform_reported_at is None:
            return False
        return now - self.platform_reported_at > self.timings.suspect_s

    def get_dump(self) -> dict[str, Any]:
        """Return the soft state for diagnosis."""
        return {
            'epoch': self.epoch,
            'reported': {
                host: report.state.value
                for host, report in sorted(self.reports.items())
            },
            'suspects': sorted(self.suspected_hosts),
            'pending': sorted(self._pending_proposals),
        }

    def _rebuild_index(self) -> None:
        # Built here, so that the first grant does not take longer.
        budgets.get_index(self.state)
        self.index = budgets.CapacityIndex(self.state)
        for host in (*self.suspected_hosts, *self._hosts_awaiting_grant):
            self.refresh_host(host)

    def _update_report(self, event: events.HostReported, now: float) -> None:
        self.platform_reported_at = now
        if event.host not in self.state.hosts:
            return
        self.affected_hosts = [event.host]
        report = self.reports.get(event.host)
        if report is None or report.state is not event.state:
            last_outage = 0.0 if report is None else report.last_outage
            report = HostReport(event.state, now, now, last_outage)
            self.reports[event.host] = report
        report.time = now
        if event.state in (
            events.ReportedState.DOWN,
            events.ReportedState.REBOOTING,
        ):
            report.last_outage = now
        if event.host in self.suspected_hosts:
            self.suspected_hosts.discard(event.host)
            self.refresh_host(event.host)

    def _update_call(self, event: events.PlatformAnswered, now: float) -> None:
        host = ids.HostId(
            event.call.split('/')[1] if '/' in event.call else ''
        )
        call = self._calls.get(host, {}).get(event.call)
        if call is None:
            return
        self.affected_hosts = [host]
        if event.accepted and call.accepted_at is None:
            call.accepted_at = now

    def _expire_proposals(self, now: float) -> None:
        for host in [
            host
            for host, pending in self._pending_proposals.items()
            if pending.expires_at <= now
        ]:
            self._drop_proposal(host)
        while (
            self._permission_expiries
            and self._permission_expiries[0][0] <= now
        ):
            self.refresh_host(heapq.heappop(self._permission_expiries)[1])

    def _settle_proposal(self, command: commands.Command) -> None:
        host = getattr(command, 'host', None)
        if host is None:
            return
        self.affected_hosts = [host]
        pending = self._pending_proposals.get(host)
        if pending is None:
            return
        pending.outstanding_commands -= 1
        if pending.outstanding_commands <= 0:
            self._drop_proposal(host)

    def _drop_proposal(self, host: ids.HostId) -> None:
        self._pending_proposals.pop(host, None)
        if host in self._hosts_awaiting_grant:
            self._hosts_awaiting_grant.discard(host)
            self.refresh_host(host)

    def _get_affected_hosts(
        self, command: commands.Command
    ) -> list[ids.HostId]:
        if isinstance(command, commands.EndPermission):
            ended = self.state.permissions.get(command.permission)
            return [] if ended is None else [ended.host]
        host = getattr(command, 'host', None)
        return [] if host is None else [host]


@functools.singledispatch
def _update_from_event(event: events.Event, fleet: Fleet, now: float) -> None:
    """Ignore events that do not change the view."""


@_update_from_event.register
def _(event: events.CommandApplied, fleet: Fleet, now: float) -> None:
    fleet.affected_hosts = fleet._command_hosts


@_update_from_event.register
def _(event: events.CommandRefused, fleet: Fleet, now: float) -> None:
    fleet._settle_proposal(event.command)


@_update_from_event.register
def _(event: events.HostReported, fleet: Fleet, now: float) -> None:
    fleet._update_report(event, now)


@_update_from_event.register
def _(event: events.PlatformAnswered, fleet: Fleet, now: float) -> None:
    fleet._update_call(event, now)


@_update_from_event.register
def _(event: events.TimerFired, fleet: Fleet, now: float) -> None:
    fleet._expire_proposals(now)
