"""Simulation of routing decisions of entry hosts in virtual time."""

import collections
import functools
import heapq
import itertools
import random

from result import Err

from orioleshore.model import announcements
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.routing import claims
from orioleshore.routing import events as routing_events
from orioleshore.routing import router
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.state import records

SEED = 20_261_204


class SimulatedUpstream:
    """An upstream in virtual time; it refuses work beyond its slots."""

    def __init__(self, announced: announcements.Upstream) -> None:
        self.announced = announced
        self.duration_s = 0.05
        self.outcome = routing_events.AttemptOutcome.ANSWERED
        self.status = 200
        self.is_crashed = False
        self.running = 0
        self.max_running = 0
        self.refused = 0
        self.busy_s = 0.0
        self.runs: collections.Counter[ids.RequestId] = collections.Counter()

    def admit(self, request: ids.RequestId) -> bool:
        """Start to run a request; return False if no slot is free."""
        if self.running >= self.announced.slots:
            self.refused += 1
            return False
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.runs[request] += 1
        return True


class SimulatedHost:
    """The routing decisions of one entry host in virtual time."""

    def __init__(self, name: str, number: int, now: float) -> None:
        self.node = ids.NodeId(name)
        self.router = router.Router(random.Random(SEED + number))
        self.is_dead = False
        self.is_cut_off = False
        self.next_tick = now


class SimulatedFleet:
    """Entry hosts, upstreams and control members in virtual time.

    ``on_step`` is called with the name of each step of each request,
    before the step has an effect.
    """

    LATENCY_S = (0.0005, 0.002)
    CLAIM_S = 0.005
    TICK_S = 0.05

    def __init__(self, services, seed: int = 0) -> None:
        self.now = 1_000.0
        self.random = random.Random(SEED + seed)
        self.services = services
        self.state = records.State()
        self.hosts: dict[str, SimulatedHost] = {}
        self.upstreams: dict[ids.UpstreamId, SimulatedUpstream] = {}
        self.replies: dict[ids.RequestId, list] = collections.defaultdict(list)
        self.replied_at: dict[ids.RequestId, float] = {}
        self.infos: dict[ids.RequestId, routing_events.RequestInfo] = {}
        self.on_step = lambda step, request: None
        self._events: list = []
        self._sequence = itertools.count()

    def schedule(self, delay_s: float, call) -> None:
        """Schedule a function call after a virtual delay in seconds."""
        entry = (self.now + delay_s, next(self._sequence), call)
        heapq.heappush(self._events, entry)

    def run(self, seconds: float) -> None:
        """Advance the virtual time by some seconds."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def add_host(self, name: str) -> SimulatedHost:
        """Start an entry host whose only known peer is itself."""
        host = SimulatedHost(name, len(self.hosts), self.now)
        self.hosts[name] = host
        self.handle(
            host,
            routing_events.ConfigurationChanged(ids.Version(1), self.services),
        )
        self.set_live_peers(host, [host.node])
        self._handle_tick(host)
        return host

    def set_live_peers(self, host: SimulatedHost, nodes: list) -> None:
        """Send an entry host the list of live entry hosts."""
        peers = tuple(
            announcements.Peer(
                node,
                node,
                ids.Incarnation(1),
                ids.AvailabilityZone('az1'),
                (states.Role.ENTRY,),
            )
            for node in nodes
        )
        self.handle(host, routing_events.PeersChanged(host.node, peers))

    def publish_live_peers(self, delay_s: float = 0.0) -> None:
        """Send all entry hosts the live ones, each after a random delay.

        ``delay_s`` is the maximum delay.
        """
        nodes = [h.node for h in self.hosts.values() if not h.is_dead]
        for host in self.hosts.values():
            self.schedule(
                self.random.uniform(0.0, delay_s),
                functools.partial(self.set_live_peers, host, nodes),
            )

    def add_upstream(self, announced) -> SimulatedUpstream:
        """Start an upstream that announces itself every second."""
        fake = SimulatedUpstream(announced)
        self.upstreams[announced.address] = fake
        self._renew_announcement(fake)
        return fake

    def send(self, name: str, info: routing_events.RequestInfo) -> None:
        """Send a request to an entry host."""
        host = self.hosts[name]
        self.infos[info.request] = info
        self.on_step('received', info.request)
        self.handle(host, routing_events.RequestArrived(info))

    def handle(self, host: SimulatedHost, event) -> None:
        """Deliver an event to an entry host and execute its actions."""
        if host.is_dead:
            return
        for action in host.router.handle(event, self.now):
            _execute_action(action, self, host)

    def get_runs(self, request: ids.RequestId) -> int:
        """Return how often any upstream ran a request."""
        return sum(fake.runs[request] for fake in self.upstreams.values())

    def deliver_message(self, node: ids.NodeId, sender, event) -> None:
        """Deliver an inner message after a random latency."""
        receiver = self.hosts.get(node)
        if receiver is None or receiver.is_dead:
            return
        delay_s = 0.0
        if receiver is not sender:
            delay_s = self.random.uniform(*self.LATENCY_S)
        self.schedule(delay_s, functools.partial(self.handle, receiver, event))

    def record_reply(self, request: ids.RequestId, action) -> None:
        """Record the reply that a caller received."""
        self.on_step('delivered', request)
        self.replies[request].append(action)
        self.replied_at[request] = self.now

    def _handle_tick(self, host: SimulatedHost) -> None:
        self.handle(host, routing_events.TimerFired())
        if not host.is_dead:
            self.schedule(
                self.TICK_S, functools.partial(self._handle_tick, host)
            )

    def _renew_announcement(self, fake: SimulatedUpstream) -> None:
        if fake.is_crashed:
            return
        event = routing_events.UpstreamAnnounced(fake.announced)
        for host in self.hosts.values():
            self.handle(host, event)
        self.schedule(1.0, functools.partial(self._renew_announcement, fake))

    def commit_claim(self, host: SimulatedHost, info) -> None:
        """Commit a claim and deliver the outcome to its entry host."""
        if host.is_cut_off:
            failure = errors.Failure(errors.ErrorKind.NO_QUORUM, 'cut off')
            outcome = Err(failure)
        else:
            command = commands.ClaimRequest(
                time=info.issued,
                key=info.key,
                issued=info.issued,
                digest=info.digest,
                request=info.request,
                entry_host=host.node,
                incarnation=ids.Incarnation(1),
            )
            outcome = machine.apply_command(command, self.state)
        event = claims.get_claim_event(info, outcome)
        if isinstance(event, routing_events.ClaimGranted):
            self.on_step('claimed', info.request)
        self.handle(host, event)

    def commit_outcome(self, host: SimulatedHost, action) -> None:
        """Commit an outcome; retry every 0.5 s while the host is cut off."""
        if host.is_dead:
            return
        if host.is_cut_off:
            self.schedule(
                0.5, functools.partial(self.commit_outcome, host, action)
            )
            return
        command = commands.RecordOutcome(
            time=action.info.issued,
            key=action.info.key,
            request=action.info.request,
            outcome=action.outcome,
            status=200,
        )
        machine.apply_command(command, self.state)
        self.on_step('recorded', action.info.request)

    def connect_attempt(self, host: SimulatedHost, action) -> None:
        """Connect an attempt to its upstream and schedule the outcome."""
        fake = self.upstreams[action.upstream]
        self.on_step('connected', action.request)
        outcomes = routing_events.AttemptOutcome
        if host.is_dead:
            return
        if fake.is_crashed:
            self._report_attempt_end(host, action, outcomes.UNREACHABLE, 0.001)
        elif not fake.admit(action.request):
            self._report_attempt_end(host, action, outcomes.REFUSED, 0.001)
        else:
            self.on_step('sent', action.request)
            self.schedule(
                fake.duration_s / 2,
                functools.partial(
                    self.on_step, 'partly answered', action.request
                ),
            )
            self.schedule(
                min(fake.duration_s, action.timeout_s),
                functools.partial(
                    self._finish_attempt, host, action, self.now
                ),
            )

    def _finish_attempt(
        self, host: SimulatedHost, action, began: float
    ) -> None:
        fake = self.upstreams[action.upstream]
        fake.running -= 1
        fake.busy_s += self.now - began
        outcome = fake.outcome
        if fake.is_crashed:
            outcome = routing_events.AttemptOutcome.FAILED
        elif fake.duration_s > action.timeout_s:
            outcome = routing_events.AttemptOutcome.TIMED_OUT
        self._report_attempt_end(host, action, outcome, self.now - began)

    def _report_attempt_end(
        self, host, action, outcome, duration_s: float
    ) -> None:
        self.on_step('answered', action.request)
        event = routing_events.AttemptEnded(
            action.request,
            action.upstream,
            outcome,
            self.upstreams[action.upstream].status,
            duration_s,
        )
        self.handle(host, event)


@functools.singledispatch
def _execute_action(
    action, fleet: SimulatedFleet, host: SimulatedHost
) -> None:
    raise TypeError(f'unknown action {type(action).__name__}')


@_execute_action.register
def _(action: routing_events.RequestClaim, fleet, host) -> None:
    fleet.on_step('queued', action.info.request)
    fleet.schedule(
        fleet.CLAIM_S,
        functools.partial(fleet.commit_claim, host, action.info),
    )


@_execute_action.register
def _(action: routing_events.RecordOutcome, fleet, host) -> None:
    fleet.schedule(
        fleet.CLAIM_S, functools.partial(fleet.commit_outcome, host, action)
    )


@_execute_action.register
def _(action: routing_events.StartAttempt, fleet, host) -> None:
    fleet.schedule(
        0.0005, functools.partial(fleet.connect_attempt, host, action)
    )


@_execute_action.register
def _(action: routing_events.RequestSlots, fleet, host) -> None:
    event = routing_events.SlotsRequested(
        host.node, action.upstream, action.wanted, action.held, action.token
    )
    fleet.deliver_message(action.owner, host, event)


@_execute_action.register
def _(action: routing_events.GrantSlots, fleet, host) -> None:
    event = routing_events.SlotsGranted(
        host.node,
        action.upstream,
        action.granted,
        action.lease_s,
        action.lease,
        action.token,
    )
    fleet.deliver_message(action.node, host, event)


@_execute_action.register
def _(action: routing_events.ReturnSlots, fleet, host) -> None:
    event = routing_events.SlotsReturned(
        host.node, action.upstream, action.returned, action.lease
    )
    fleet.deliver_message(action.owner, host, event)


@_execute_action.register
def _(action: routing_events.SpreadAnnouncement, fleet, host) -> None:
    """Do nothing: simulated upstreams announce to every entry host."""


@_execute_action.register(routing_events.Deliver)
@_execute_action.register(routing_events.Replay)
@_execute_action.register(routing_events.Refuse)
def _(action, fleet, host) -> None:
    if not host.is_dead:
        fleet.record_reply(action.request, action)
