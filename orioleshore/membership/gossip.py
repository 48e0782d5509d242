"""Task that runs the failure detector over the inner protocol."""

import functools
import logging
from typing import Any

import msgspec
from result import Ok

from orioleshore.membership import detector
from orioleshore.membership import events
from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.state import subscriber
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 1_024
PERIOD = ids.TimerId('membership-period')
# Kinds of rumours; the numbers travel between processes.
PEER_RUMOUR = 1


class GetPeers(msgspec.Struct, frozen=True):
    """Asks for all known processes."""

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
        self._listeners = listeners
        self._period_s = period_s

    async def open(self) -> None:
        """Start to probe."""
        self._timers.subscribe_every(self.mailbox, PERIOD, self._period_s)
        self._run(events.ProbeDue())

    async def close(self) -> None:
        """Stop to probe."""
        self._timers.cancel(self.mailbox, PERIOD)

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

    def _publish(self) -> None:
        change = events.PeersChanged(self._detector.own, self._detector.peers)
        for listener in self._listeners:
            listener.put(change)


def pack_peer(peer: announcements.Peer) -> messages.Rumour:
    """Return what travels about a process."""
    return messages.Rumour(
        PEER_RUMOUR,
        peer.node,
        peer.incarnation,
        peer.state.value,
        msgspec.msgpack.encode(peer),
    )


def unpack_peers(
    rumours: tuple[messages.Rumour, ...],
) -> tuple[announcements.Peer, ...]:
    """Return the processes in rumours; unknown kinds are skipped."""
    return tuple(
        msgspec.msgpack.decode(rumour.data, type=announcements.Peer)
        for rumour in rumours
        if rumour.kind == PEER_RUMOUR
    )


@functools.singledispatch
def _take(message: Any, gossip: Gossip) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_take.register
def _(message: service.TimerFired, gossip: Gossip) -> None:
    gossip._run(events.ProbeDue())


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
    own = gossip._detector.own
    ack = messages.ProbeAck(message.sequence, own.node, (pack_peer(own),))
    gossip._sender.put(transport.SendTo(received.header.reply_address, ack))
    peers = unpack_peers(message.rumours)
    gossip._run(events.PeersHeard(received.header.sender, peers))


@_take_received.register
def _(
    message: messages.ProbeAck, gossip: Gossip, received: messages.Received
) -> None:
    peers = unpack_peers(message.rumours)
    gossip._run(events.PeersHeard(received.header.sender, peers))
    gossip._run(events.ProbeAnswered(received.header.sender, message.sequence))


@functools.singledispatch
def _perform(action: Any, gossip: Gossip) -> None:
    raise TypeError(f'unknown action {type(action).__name__}')


@_perform.register
def _(action: events.SendProbe, gossip: Gossip) -> None:
    rumours = tuple(pack_peer(peer) for peer in action.peers)
    probe = messages.Probe(action.sequence, rumours)
    gossip._sender.put(transport.SendTo(action.address, probe))


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
