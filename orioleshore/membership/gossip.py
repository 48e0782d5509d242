"""Task that runs the failure detector over the inner protocol."""

import collections
import functools
import logging
from typing import Any

import msgspec
from result import Ok

from orioleshore.membership import detector
from orioleshore.membership import events
from orioleshore.membership import packing
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.state import subscriber
from orioleshore.tasks import mailbox
from orioleshore.tasks import publisher
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 1_024
PERIOD = ids.TimerId('membership-period')
TIMEOUT = ids.TimerId('membership-timeout')


class GetPeers(msgspec.Struct, frozen=True):
    """Asks for all known processes."""

    answer: reply.Reply


class GetMembershipFigures(msgspec.Struct, frozen=True):
    """Asks for numbers about the known processes."""

    answer: reply.Reply


class GetMembershipDump(msgspec.Struct, frozen=True):
    """Asks for what this process knows about others, for a dump."""

    answer: reply.Reply


class Leave(msgspec.Struct, frozen=True):
    """Tells the others that this process is about to stop."""


class Gossip(task.Task):
    """Owns the failure detector of a process."""

    def __init__(
        self,
        decisions: detector.Detector,
        sender: mailbox.Mailbox,
        timers: service.TimerService,
        listeners: tuple[mailbox.Mailbox, ...],
        period_s: float,
    ) -> None:
        super().__init__(
            mailbox.Mailbox(
                'membership', MAILBOX_CAPACITY, mailbox.Overflow.DROP_OLDEST
            )
        )
        self._detector = decisions
        self._sender = sender
        self._timers = timers
        self._publisher = publisher.Publisher(listeners)
        self._period_s = period_s

    async def open(self) -> None:
        """Start to probe."""
        self._timers.subscribe_every(self.mailbox, PERIOD, self._period_s)
        self._run(events.ProbeDue())

    async def close(self) -> None:
        """Stop to probe."""
        self._timers.cancel(self.mailbox, PERIOD)
        self._timers.cancel(self.mailbox, TIMEOUT)

    async def handle(self, message: Any) -> None:
        """Handle a probe, a rumour or the period."""
        _take(message, self)

    def _run(self, event: events.Event) -> None:
        now = self._timers.clock.get_monotonic()
        changed = False
        for action in self._detector.handle(event, now):
            changed |= isinstance(action, events.PeerStateChanged)
            _perform(action, self)
        if changed:
            self._publish()

    def _send(self, address: str, message: Any) -> None:
        self._sender.put(transport.SendTo(address, message))

    def _publish(self) -> None:
        change = events.PeersChanged(self._detector.own, self._detector.peers)
        self._publisher.publish(change)


@functools.singledispatch
def _take(message: Any, gossip: Gossip) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_take.register
def _(message: service.TimerFired, gossip: Gossip) -> None:
    if message.timer == PERIOD:
        gossip._publisher.deliver()
        gossip._run(events.ProbeDue())
    else:
        gossip._run(events.ProbeTimedOut())


@_take.register
def _(message: messages.Received, gossip: Gossip) -> None:
    _take_received(message.message, gossip, message)


@_take.register
def _(message: subscriber.ConfigurationChanged, gossip: Gossip) -> None:
    gossip._run(events.VersionChanged(message.version))


@_take.register
def _(message: GetPeers, gossip: Gossip) -> None:
    change = events.PeersChanged(gossip._detector.own, gossip._detector.peers)
    message.answer.resolve(Ok(change))


@_take.register
def _(message: GetMembershipFigures, gossip: Gossip) -> None:
    message.answer.resolve(Ok(_count_peers(gossip._detector)))


@_take.register
def _(message: GetMembershipDump, gossip: Gossip) -> None:
    message.answer.resolve(Ok(_describe(gossip._detector)))


@_take.register
def _(message: Leave, gossip: Gossip) -> None:
    gossip._run(events.LeaveRequested())


@functools.singledispatch
def _take_received(
    message: Any, gossip: Gossip, received: messages.Received
) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_take_received.register
def _(
    message: messages.Probe, gossip: Gossip, received: messages.Received
) -> None:
    gossip._run(
        events.ProbeReceived(
            received.header.sender,
            received.header.reply_address,
            message.sequence,
            packing.unpack_peers(message.rumours),
        )
    )


@_take_received.register
def _(
    message: messages.ProbeAck, gossip: Gossip, received: messages.Received
) -> None:
    gossip._run(
        events.ProbeAnswered(
            received.header.sender,
            ids.NodeId(message.subject),
            message.sequence,
            packing.unpack_peers(message.rumours),
        )
    )


@_take_received.register
def _(
    message: messages.IndirectProbe,
    gossip: Gossip,
    received: messages.Received,
) -> None:
    gossip._run(
        events.IndirectProbeRequested(
            received.header.sender,
            received.header.reply_address,
            message.sequence,
            ids.NodeId(message.subject),
            message.subject_address,
            packing.unpack_peers(message.rumours),
        )
    )


@functools.singledispatch
def _perform(action: Any, gossip: Gossip) -> None:
    raise TypeError(f'unknown action {type(action).__name__}')


@_perform.register
def _(action: events.SendProbe, gossip: Gossip) -> None:
    rumours = packing.pack_peers(action.peers)
    gossip._send(action.address, messages.Probe(action.sequence, rumours))


@_perform.register
def _(action: events.SendAck, gossip: Gossip) -> None:
    rumours = packing.pack_peers(action.peers)
    gossip._send(
        action.address,
        messages.ProbeAck(action.sequence, action.subject, rumours),
    )


@_perform.register
def _(action: events.SendIndirectProbe, gossip: Gossip) -> None:
    rumours = packing.pack_peers(action.peers)
    gossip._send(
        action.address,
        messages.IndirectProbe(
            action.sequence, action.subject, action.subject_address, rumours
        ),
    )


@_perform.register
def _(action: events.SetTimer, gossip: Gossip) -> None:
    gossip._timers.subscribe_once(gossip.mailbox, TIMEOUT, action.delay_s)


@_perform.register
def _(action: events.PeerStateChanged, gossip: Gossip) -> None:
    if action.peer.state is action.before:
        return
    LOG.info(
        logs.format_event(
            'peer_state_changed',
            peer=action.peer.node,
            before=action.before,
            state=action.peer.state,
            incarnation=action.peer.incarnation,
        )
    )


@_perform.register
def _(action: events.IsolationChanged, gossip: Gossip) -> None:
    LOG.warning(
        logs.format_event('isolation_changed', isolated=action.isolated)
    )


@_perform.register
def _(action: events.PathChanged, gossip: Gossip) -> None:
    LOG.warning(
        logs.format_event(
            'peer_path_changed', peer=action.node, direct=action.direct
        )
    )


@_perform.register
def _(action: events.NameConflictFound, gossip: Gossip) -> None:
    LOG.error(
        logs.format_event(
            'node_name_used_twice',
            node=gossip._detector.own.node,
            address=action.address,
        )
    )


def _count_peers(decisions: detector.Detector) -> dict[str, Any]:
    counts = collections.Counter(
        peer.state for peer in decisions.peers.values()
    )
    return {
        'peers': {state.value: counts[state] for state in states.PeerState},
        'isolated': decisions.isolated,
        'broken_paths': len(decisions.broken_paths),
        'waiting_rumours': decisions.rumours_waiting,
    }


def _describe(decisions: detector.Detector) -> dict[str, Any]:
    return {
        'own': msgspec.to_builtins(decisions.own),
        'peers': msgspec.to_builtins(decisions.peers),
        'isolated': decisions.isolated,
        'broken_paths': sorted(decisions.broken_paths),
        'rumours_waiting': decisions.rumours_waiting,
    }
