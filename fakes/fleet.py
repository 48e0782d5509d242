"""A fleet in simulated time: replicated log, platform, hosts and faults.

Drives the planner as the manager task does, without sockets or a real
clock, so that the order of events is reproducible.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import random

import msgspec

from orioleshore.fleet import events
from orioleshore.fleet import planner
from orioleshore.fleet import view
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.state import records

COMMIT_S = 0.02
ANSWER_S = 0.01

Check = Callable[[commands.Command, records.State], None]


class Behaviour(msgspec.Struct):
    """Behaviour of the simulated platform and hosts; times in seconds."""

    drain_s: float = 60.0
    reboot_s: float = 120.0
    # Interval of reports of unchanged hosts; None disables them.
    heartbeat_s: float | None = 10.0
    # Hosts that never finish draining, and that never finish rebooting.
    stuck_hosts: set[ids.HostId] = msgspec.field(default_factory=set)
    lost_hosts: set[ids.HostId] = msgspec.field(default_factory=set)
    # How often each host fails 1 s after a reboot.
    relapses: dict[ids.HostId, int] = msgspec.field(default_factory=dict)
    # Fractions of lost answers, duplicated reports and late reports.
    lost_answer_fraction: float = 0.0
    repeated_report_fraction: float = 0.0
    late_report_fraction: float = 0.0
    is_silent: bool = False
    # Whether uncommitted proposals are lost when the leader changes.
    loses_proposals: bool = False
    # Maximum random extra delay of a commit; proposals may be reordered.
    max_commit_delay_s: float = 0.0


class SimulatedFleet:
    """A fleet with one leader at a time; the state outlives leaders."""

    def __init__(
        self,
        state: records.State,
        now: float,
        seed: int,
        behaviour: Behaviour | None = None,
        timings: view.Timings | None = None,
        check: Check | None = None,
        tick_s: float = 0.5,
    ) -> None:
        self.state = state
        self.now = now
        self.behaviour = behaviour or Behaviour()
        self.reported: dict[ids.HostId, events.ReportedState] = {}
        self.reboots: collections.Counter[ids.HostId] = collections.Counter()
        self.decisions: list[tuple[float, events.RecordDecision]] = []
        self.refused_commands: list[tuple[commands.Command, str]] = []
        self.stale_calls = 0
        self.events = 0
        self.leader: planner.Planner | None = None
        self.epoch = ids.Epoch(0)
        self._random = random.Random(seed)
        self._timings = timings or view.Timings()
        self._check = check
        self._tick_s = tick_s
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._answered: set[ids.CallId] = set()
        self._platform_epoch = ids.Epoch(0)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        entry = (self.now + delay, next(self._sequence), action)
        heapq.heappush(self._scheduled, entry)

    def start(self) -> None:
        """Start the hosts' reports, the ticks and the first leader."""
        for host in self.state.hosts:
            self.reported[host] = events.ReportedState.UP
        if self.behaviour.heartbeat_s is not None:
            self.schedule(0.0, self._send_heartbeats)
        self.elect_leader()
        self.schedule(self._tick_s, self._handle_tick)

    def elect_leader(self) -> None:
        """Replace the leading planner by a new one with a higher epoch."""
        if self.leader is not None:
            self.leader.handle(events.LeadershipLost(), self.now)
        self.epoch = ids.Epoch(self.epoch + 1)
        self.leader = planner.Planner(self._timings)
        image = records.decode_state(records.encode_state(self.state))
        self.deliver_event(events.LeadershipGained(self.epoch, image))

    def deliver_event(self, event: events.Event) -> None:
        """Deliver an event to the leader and execute its actions."""
        if self.leader is None:
            return
        self.events += 1
        for action in self.leader.handle(event, self.now):
            self._execute_action(action)

    def fail_host(self, host: ids.HostId) -> None:
        """Take a host down and report it."""
        self._report_host_state(host, events.ReportedState.DOWN)

    def repair_host(self, host: ids.HostId) -> None:
        """Bring a host up and report it."""
        self._report_host_state(host, events.ReportedState.UP)

    def commit_command(self, command: commands.Command) -> None:
        """Apply a command to the state and deliver it to the leader."""
        outcome = machine.apply_command(command, self.state)
        if outcome.is_err():
            self.refused_commands.append(
                (command, outcome.unwrap_err().message)
            )
        if self._check is not None:
            self._check(command, self.state)
        self.deliver_event(events.CommandApplied(command))
        if outcome.is_err():
            # The leader also receives the refusal of its proposal.
            reason = outcome.unwrap_err().message
            self.deliver_event(events.CommandRefused(command, reason))

    def run(self, duration: float) -> None:
        """Advance the simulated time by ``duration`` seconds."""
        self.run_until(lambda: False, duration)

    def run_until(self, done: Callable[[], bool], limit: float) -> bool:
        """Advance the time until ``done()``, by at most ``limit`` seconds.

        Returns whether the condition holds.
        """
        end = self.now + limit
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, action = heapq.heappop(self._scheduled)
            action()
            if done():
                return True
        self.now = end
        return done()

    def is_finished(self, wave: str) -> bool:
        """Return whether a wave has finished."""
        record = self.state.waves[ids.WaveId(wave)]
        return record.state is states.WaveState.FINISHED

    def _execute_action(self, action: events.Action) -> None:
        if isinstance(action, events.Propose):
            command, epoch = action.command, self.epoch
            delay = self._random.random() * self.behaviour.max_commit_delay_s
            self.schedule(
                COMMIT_S + delay, lambda: self._commit_for(epoch, command)
            )
        elif isinstance(action, events.CallPlatform):
            self.schedule(ANSWER_S, lambda: self._handle_call(action))
        elif isinstance(action, events.RecordDecision):
            self.decisions.append((self.now, action))
        else:
            self.schedule(ANSWER_S, self._report_all_hosts)

    def _commit_for(self, epoch: ids.Epoch, command: commands.Command) -> None:
        if epoch == self.epoch or not self.behaviour.loses_proposals:
            self.commit_command(command)

    def _report_all_hosts(self) -> None:
        """Report the state of every host, as a new leader requests."""
        if self.behaviour.is_silent:
            return
        for host, state in list(self.reported.items()):
            self.deliver_event(events.HostReported(host, state))

    def _handle_tick(self) -> None:
        self.deliver_event(events.TimerFired())
        self.schedule(self._tick_s, self._handle_tick)

    def _send_heartbeats(self) -> None:
        if not self.behaviour.is_silent:
            for host, state in self.reported.items():
                self.deliver_event(events.HostReported(host, state))
        self.schedule(self.behaviour.heartbeat_s, self._send_heartbeats)

    def _handle_call(self, action: events.CallPlatform) -> None:
        if self.behaviour.is_silent:
            self._answer_call(action, False, 'no answer')
            return
        if action.epoch < self._platform_epoch:
            self.stale_calls += 1
            self._answer_call(action, False, 'stale epoch')
            return
        self._platform_epoch = action.epoch
        if action.call not in self._answered:
            self._answered.add(action.call)
            self._execute_call(action.kind, action.host)
        if self._random.random() < self.behaviour.lost_answer_fraction:
            self._answer_call(action, False, 'no answer')
            return
        self._answer_call(action, True, '')

    def _answer_call(
        self, action: events.CallPlatform, accepted: bool, reason: str
    ) -> None:
        self.deliver_event(
            events.PlatformAnswered(action.call, accepted, reason)
        )

    def _execute_call(self, kind: events.CallKind, host: ids.HostId) -> None:
        behaviour = self.behaviour
        if kind is events.CallKind.DRAIN_HOST:
            self._report_host_state(host, events.ReportedState.DRAINING)
            if host not in behaviour.stuck_hosts:
                self.schedule(
                    behaviour.drain_s, lambda: self._finish_drain(host)
                )
        elif kind is events.CallKind.REBOOT_HOST:
            self.reboots[host] += 1
            self._report_host_state(host, events.ReportedState.REBOOTING)
            if host not in behaviour.lost_hosts:
                self.schedule(
                    behaviour.reboot_s, lambda: self._finish_reboot(host)
                )
        else:
            self._report_host_state(host, events.ReportedState.UP)

    def _finish_drain(self, host: ids.HostId) -> None:
        if self.reported[host] is events.ReportedState.DRAINING:
            self._report_host_state(host, events.ReportedState.DRAINED)

    def _finish_reboot(self, host: ids.HostId) -> None:
        if self.reported[host] is not events.ReportedState.REBOOTING:
            return
        self._report_host_state(host, events.ReportedState.UP)
        if self.behaviour.relapses.get(host, 0) > 0:
            self.behaviour.relapses[host] -= 1
            self.schedule(1.0, lambda: self.fail_host(host))

    def _report_host_state(
        self, host: ids.HostId, state: events.ReportedState
    ) -> None:
        self.reported[host] = state
        if self.behaviour.is_silent:
            return
        event = events.HostReported(host, state)
        self.deliver_event(event)
        if self._random.random() < self.behaviour.repeated_report_fraction:
            self.deliver_event(event)
        if self._random.random() < self.behaviour.late_report_fraction:
            delay = self._random.uniform(0.1, 30.0)
            self.schedule(delay, lambda: self.deliver_event(event))


class RuleError(AssertionError):
    """A budget or ownership rule is violated."""


class RuleCheck:
    """Checks budgets and ownership after each command.

    Sums losses independently of the state machine, so that errors in its
    sums are detected.
    """

    def __init__(self, raises: bool = True) -> None:
        self._raises_errors = raises
        self._pools: dict[ids.PoolId, list[documents.Host]] | None = None
        self.violations = 0
        self.grants = 0
        self._last_records: dict[ids.HostId, records.HostRecord] = {}

    def __call__(
        self, command: commands.Command, state: records.State
    ) -> None:
        """Count a violation of a rule; raise RuleError if configured."""
        host = getattr(command, 'host', None)
        if host is not None and host in state.hosts:
            self._check_owner(host, state)
        if not isinstance(command, commands.GrantPermission):
            return
        if command.permission in state.permissions:
            self.grants += 1
            self._check_budget(state.hosts[host].pool, state)

    def _check_owner(self, host: ids.HostId, state: records.State) -> None:
        new = state.hosts[host]
        old = self._last_records.get(host)
        self._last_records[host] = new
        if old is None or old == new:
            return
        is_moved = new.epoch > old.epoch
        if new.epoch < old.epoch or (new.pool != old.pool and not is_moved):
            self._record_violation(f'{host}: {old} became {new}')
        drains = new.state is states.HostState.DRAINING
        if (
            drains
            and old.state is not new.state
            and not any(
                permission.host == host and permission.until > state.time
                for permission in state.permissions.values()
            )
        ):
            self._record_violation(f'{host} drains without a permission')

    def _record_violation(self, text: str) -> None:
        self.violations += 1
        if self._raises_errors:
            raise RuleError(text)

    def watch_fixed_pools(self, state: records.State) -> None:
        """Group hosts by pool to speed up sums in fleets without moves."""
        self._pools = collections.defaultdict(list)
        for host in state.document.hosts:
            self._pools[host.pool].append(host)

    def _check_budget(self, pool: ids.PoolId, state: records.State) -> None:
        hosts = state.document.hosts
        if self._pools is not None:
            hosts = self._pools[pool]
        for loss in sum_losses_by_host(pool, state, hosts):
            if loss.is_exceeded:
                self._record_violation(f'granted beyond the budget: {loss}')


def sum_losses_by_host(
    pool: ids.PoolId,
    state: records.State,
    hosts: Iterable[documents.Host] | None = None,
) -> list[budgets.Loss]:
    """Return the losses of a pool, summed host by host."""
    held = {
        permission.host
        for permission in state.permissions.values()
        if permission.until > state.time
    }
    groups: dict[str, list[float]] = collections.defaultdict(lambda: [0, 0])
    for host in state.document.hosts if hosts is None else hosts:
        record = state.hosts[host.name]
        if record.pool != pool or record.arriving:
            continue
        is_down = (
            record.state is not states.HostState.SERVING or host.name in held
        )
        for scope in (
            'total',
            f'availability_zone/{host.availability_zone}',
            f'rack/{host.rack}',
        ):
            groups[scope][0] += host.cores
            groups[scope][1] += host.cores if is_down else 0
    losses = []
    for service in state.document.services:
        if service.pool != pool:
            continue
        for scope, (total, down) in groups.items():
            fraction = getattr(service.budget, scope.partition('/')[0])
            if fraction is not None:
                losses.append(
                    budgets.Loss(service.name, scope, down, fraction * total)
                )
    return losses
