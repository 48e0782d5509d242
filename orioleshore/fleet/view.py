"""What the parts of the planner share: state, reports, open proposals."""

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
    """Time limits of the steps of a host, in seconds."""

    drain_s: float = 900.0
    reboot_s: float = 600.0
    # A host counts as serving after it has been up for this time.
    proving_s: float = 30.0
    proving_limit_s: float = 600.0
    # A waiting host that is down for longer is left out of its wave.
    down_s: float = 1_800.0
    # A reboot accepted for this time is taken as done although no report
    # showed the host down; a new leader has not seen earlier reports.
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
    # Begin of the present run of equal reports.
    since: float
    # Last time at which it was reported as down or rebooting.
    out: float = 0.0


class _Call(msgspec.Struct):
    next: float
    interval: float
    first: float
    accepted: float | None = None


class _Pending(msgspec.Struct):
    until: float
    outstanding: int


class Fleet:
    """The copy of the replicated state, and what is known besides it."""

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
        self.gained = now
        self.reports: dict[ids.HostId, HostReport] = {}
        self.platform_heard: float | None = None
        self.suspects: set[ids.HostId] = set()
        # Hosts in planned work of a part, which other parts leave alone.
        self.claimed: set[ids.HostId] = set()
        self.touched: list[ids.HostId] = []
        self._applied: list[ids.HostId] = []
        self.is_document_new = True
        self._pending: dict[ids.HostId, _Pending] = {}
        self._granting: set[ids.HostId] = set()
        self._expiries: list[tuple[float, ids.HostId]] = []
        self._calls: dict[ids.HostId, dict[ids.CallId, _Call]] = {}
        self._explained: dict[tuple[str, str], tuple[str, str]] = {}
        self._rebuild()

    def observe(self, event: events.Event, now: float) -> None:
        """Keep what an event tells, before the parts see it."""
        self.touched = []
        if not isinstance(event, events.CommandApplied):
            self.is_document_new = False
        _observe(event, self, now)

    def apply(self, command: commands.Command) -> registry.CommandResult:
        """Apply a committed command to the copy."""
        hosts = self._applied = self._get_hosts(command)
        document = self.state.document
        outcome = machine.apply_command(command, self.state)
        self.is_document_new = self.state.document is not document
        if not self.index.is_built_from(self.state):
            self._rebuild()
        self._settle(command)
        for host in hosts:
            self.refresh(host)
        if isinstance(command, commands.GrantPermission):
            heapq.heappush(self._expiries, (command.until, command.host))
        return outcome

    def refresh(self, host: ids.HostId) -> None:
        """Count a host anew in the sums of the planner."""
        extra = (
            host in self._granting
            or host in self.suspects
            or host in budgets.get_index(self.state).permissions_by_host
        )
        self.index.update_host(host, self.state.hosts.get(host), extra)

    def is_pending(self, host: ids.HostId) -> bool:
        """Return whether a proposal about a host has no outcome yet."""
        return host in self._pending

    def propose(
        self, host: ids.HostId, now: float, *proposed: commands.Command
    ) -> list[events.Action]:
        """Propose commands about a host, one group at a time."""
        known = self._pending.get(host)
        if known is not None and known.until > now:
            return []
        self._pending[host] = _Pending(
            now + self.timings.propose_repeat_s, len(proposed)
        )
        if isinstance(proposed[0], commands.GrantPermission):
            self._granting.add(host)
            self.refresh(host)
        return [events.Propose(command) for command in proposed]

    def call(
        self, kind: events.CallKind, host: ids.HostId, now: float
    ) -> list[events.Action]:
        """Ask the platform, again with growing intervals.

        The call id names the step, so that a later leader repeats the
        same call and the platform acts once.
        """
        record = self.state.hosts[host]
        name = ids.CallId(
            f'{kind.value}/{host}/{record.epoch}/{round(record.since * 1e3)}'
        )
        calls = self._calls.setdefault(host, {})
        if name not in calls:
            # Calls of earlier steps are never repeated.
            calls.clear()
            calls[name] = _Call(now, self.timings.call_repeat_s, now)
        known = calls[name]
        if now < known.next:
            return []
        known.next = now + known.interval
        known.interval = min(
            2 * known.interval, self.timings.call_repeat_limit_s
        )
        return [
            events.CallPlatform(name, kind, host, self.epoch, record.epoch)
        ]

    def get_step_time(self, host: ids.HostId, now: float) -> float:
        """Return for how long a host is in its stage, in seconds.

        Time without a leader does not count: the new one has not heard
        of the host yet, and would repeat a step that has ended.
        """
        return now - max(self.state.hosts[host].since, self.gained)

    def get_accepted(self, host: ids.HostId) -> float | None:
        """Return when the platform accepted the newest call of a host."""
        for call in self._calls.get(host, {}).values():
            return call.accepted
        return None

    def get_next_call(self, host: ids.HostId) -> float | None:
        """Return when the newest call of a host is to be repeated."""
        for call in self._calls.get(host, {}).values():
            return call.next
        return None

    def set_state(
        self,
        host: ids.HostId,
        state: states.HostState,
        now: float,
        reason: str = '',
    ) -> commands.SetHostState:
        """Return the command that records a stage of a host."""
        return commands.SetHostState(
            time=ids.WallTime(now),
            host=host,
            host_epoch=self.state.hosts[host].epoch,
            state=state,
            reason=reason,
            epoch=self.epoch,
        )

    def grant(
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

    def end_permission(
        self, host: ids.HostId, now: float
    ) -> list[commands.EndPermission]:
        """Return the command that ends the permission of a host, if any."""
        held = budgets.get_index(self.state).permissions_by_host.get(host)
        if held is None:
            return []
        return [
            commands.EndPermission(
                time=ids.WallTime(now), permission=held, epoch=self.epoch
            )
        ]

    def explain(self, record: events.Record) -> list[events.Action]:
        """Return a record unless its subject has the same one already."""
        subject = (record.subject_kind, record.subject)
        content = (record.decision, record.rule)
        if self._explained.get(subject) == content:
            return []
        self._explained[subject] = content
        return [record]

    def is_platform_silent(self, now: float) -> bool:
        """Return whether no host at all reported for a while."""
        if self.platform_heard is None:
            return False
        return now - self.platform_heard > self.timings.suspect_s

    def get_dump(self) -> dict[str, Any]:
        """Return what is known besides the replicated state."""
        return {
            'epoch': self.epoch,
            'reported': {
                host: report.state.value
                for host, report in sorted(self.reports.items())
            },
            'suspects': sorted(self.suspects),
            'pending': sorted(self._pending),
        }

    def _rebuild(self) -> None:
        # Made now, so that the first grant does not pay for it.
        budgets.get_index(self.state)
        self.index = budgets.CapacityIndex(self.state)
        for host in (*self.suspects, *self._granting):
            self.refresh(host)

    def _observe_report(self, event: events.HostReported, now: float) -> None:
        self.platform_heard = now
        if event.host not in self.state.hosts:
            return
        self.touched = [event.host]
        known = self.reports.get(event.host)
        if known is None or known.state is not event.state:
            out = 0.0 if known is None else known.out
            known = HostReport(event.state, now, now, out)
            self.reports[event.host] = known
        known.time = now
        if event.state in (
            events.ReportedState.DOWN,
            events.ReportedState.REBOOTING,
        ):
            known.out = now
        if event.host in self.suspects:
            self.suspects.discard(event.host)
            self.refresh(event.host)

    def _observe_answer(
        self, event: events.PlatformAnswered, now: float
    ) -> None:
        host = ids.HostId(
            event.call.split('/')[1] if '/' in event.call else ''
        )
        known = self._calls.get(host, {}).get(event.call)
        if known is None:
            return
        self.touched = [host]
        if event.accepted and known.accepted is None:
            known.accepted = now

    def _expire(self, now: float) -> None:
        for host in [
            host
            for host, pending in self._pending.items()
            if pending.until <= now
        ]:
            self._drop_pending(host)
        while self._expiries and self._expiries[0][0] <= now:
            self.refresh(heapq.heappop(self._expiries)[1])

    def _settle(self, command: commands.Command) -> None:
        host = getattr(command, 'host', None)
        if host is None:
            return
        self.touched = [host]
        pending = self._pending.get(host)
        if pending is None:
            return
        pending.outstanding -= 1
        if pending.outstanding <= 0:
            self._drop_pending(host)

    def _drop_pending(self, host: ids.HostId) -> None:
        self._pending.pop(host, None)
        if host in self._granting:
            self._granting.discard(host)
            self.refresh(host)

    def _get_hosts(self, command: commands.Command) -> list[ids.HostId]:
        if isinstance(command, commands.EndPermission):
            ended = self.state.permissions.get(command.permission)
            return [] if ended is None else [ended.host]
        host = getattr(command, 'host', None)
        return [] if host is None else [host]


@functools.singledispatch
def _observe(event: events.Event, fleet: Fleet, now: float) -> None:
    """Events without a rule of their own leave the view as it is."""


@_observe.register
def _(event: events.CommandApplied, fleet: Fleet, now: float) -> None:
    fleet.touched = fleet._applied


@_observe.register
def _(event: events.CommandRefused, fleet: Fleet, now: float) -> None:
    fleet._settle(event.command)


@_observe.register
def _(event: events.HostReported, fleet: Fleet, now: float) -> None:
    fleet._observe_report(event, now)


@_observe.register
def _(event: events.PlatformAnswered, fleet: Fleet, now: float) -> None:
    fleet._observe_answer(event, now)


@_observe.register
def _(event: events.TimerFired, fleet: Fleet, now: float) -> None:
    fleet._expire(now)
