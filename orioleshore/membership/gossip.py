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
from orioleshore.telemetry import odd_entries
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 1_024
PERIOD_TIMER = ids.TimerId('membership-period')
PROBE_TIMEOUT_TIMER = ids.TimerId('membership-timeout')


class GetPeers(msgspec.Struct, frozen=True):
    """Requests all known processes."""

    answer: reply.Reply


class GetMembershipMetrics(msgspec.Struct, frozen=True):
    """Requests the metrics of the failure detector."""

    answer: reply.Reply


class GetMembershipDump(msgspec.Struct, frozen=True):
    """Requests the state of the failure detector for a dump."""

    answer: reply.Reply


class Leave(msgspec.Struct, frozen=True):
    """Requests an announcement that this process is about to stop."""


class Gossip(task.Task):
    """Owns the failure detector of a process."""

    def __init__(
        self,
        failure_detector: detector.Detector,
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
        self._detector = failure_detector
        self._sender = sender
        self._timers = timers
        self._publisher = publisher.Publisher(listeners)
        self._period_s = period_s
        self._odd_entries = odd_entries.OddEntryLog()

    @property
    def odd_entries(self) -> odd_entries.OddEntryLog:
        return self._odd_entries

    async def open(self) -> None:
        """Start probing."""
        self._timers.subscribe_every(
            self.mailbox, PERIOD_TIMER, self._period_s
        )
        self._process_event(events.ProbeDue())

    async def close(self) -> None:
        """Stop probing."""
        self._timers.cancel(self.mailbox, PERIOD_TIMER)
        self._timers.cancel(self.mailbox, PROBE_TIMEOUT_TIMER)

    async def handle(self, message: Any) -> None:
        """Handle a message of a peer, a timer or a request."""
        _handle_message(message, self)

    def _process_event(self, event: events.Event) -> None:
        now = self._timers.clock.get_monotonic()
        has_changed = False
        for action in self._detector.handle(event, now):
            has_changed |= isinstance(action, events.PeerStateChanged)
            _perform_action(action, self)
        if has_changed:
            self._publish_peers()

    def _send_message(
        self,
        address: str,
        message: Any,
        recipient: ids.Incarnation = ids.UNKNOWN_INCARNATION,
    ) -> None:
        self._sender.put(
            transport.SendTo(address, message, recipient=recipient)
        )

    def _publish_peers(self) -> None:
        change = events.PeersChanged(
            self._detector.own_peer, self._detector.peers
        )
        self._publisher.publish(change)


@functools.singledispatch
def _handle_message(message: Any, gossip: Gossip) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: service.TimerFired, gossip: Gossip) -> None:
    if message.timer == PERIOD_TIMER:
        gossip._publisher.deliver_pending()
        gossip._process_event(events.ProbeDue())
    else:
        gossip._process_event(events.ProbeTimedOut())


@_handle_message.register
def _(message: messages.Received, gossip: Gossip) -> None:
    _handle_received_message(message.message, gossip, message)


@_handle_message.register
def _(message: subscriber.ConfigurationChanged, gossip: Gossip) -> None:
    gossip._process_event(events.VersionChanged(message.version))


@_handle_message.register
def _(message: GetPeers, gossip: Gossip) -> None:
    change = events.PeersChanged(
        gossip._detector.own_peer, gossip._detector.peers
    )
    message.answer.resolve(Ok(change))


@_handle_message.register
def _(message: GetMembershipMetrics, gossip: Gossip) -> None:
    message.answer.resolve(Ok(_build_metrics(gossip._detector)))


@_handle_message.register
def _(message: GetMembershipDump, gossip: Gossip) -> None:
    message.answer.resolve(Ok(_build_dump(gossip._detector)))


@_handle_message.register
def _(message: Leave, gossip: Gossip) -> None:
    gossip._process_event(events.LeaveRequested())


@functools.singledispatch
def _handle_received_message(
    message: Any, gossip: Gossip, received: messages.Received
) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_received_message.register
def _(
    message: messages.Probe, gossip: Gossip, received: messages.Received
) -> None:
    gossip._process_event(
        events.ProbeReceived(
            received.header.sender,
            received.header.reply_address,
            message.sequence,
            packing.unpack_peers(message.rumours, gossip._odd_entries),
            received.header.incarnation,
        )
    )


@_handle_received_message.register
def _(
    message: messages.ProbeAck, gossip: Gossip, received: messages.Received
) -> None:
    gossip._process_event(
        events.ProbeAnswered(
            received.header.sender,
            ids.NodeId(message.subject),
            message.sequence,
            packing.unpack_peers(message.rumours, gossip._odd_entries),
        )
    )


@_handle_received_message.register
def _(
    message: messages.IndirectProbe,
    gossip: Gossip,
    received: messages.Received,
) -> None:
    gossip._process_event(
        events.IndirectProbeRequested(
            received.header.sender,
            received.header.reply_address,
            message.sequence,
            ids.NodeId(message.subject),
            message.subject_address,
            packing.unpack_peers(message.rumours, gossip._odd_entries),
            received.header.incarnation,
        )
    )


@functools.singledispatch
def _perform_action(action: Any, gossip: Gossip) -> None:
    raise TypeError(f'unknown action {type(action).__name__}')


@_perform_action.register
def _(action: events.SendProbe, gossip: Gossip) -> None:
    packed_updates = packing.pack_peers(action.updates)
    gossip._send_message(
        action.address, messages.Probe(action.sequence, packed_updates)
    )


@_perform_action.register
def _(action: events.SendAck, gossip: Gossip) -> None:
    packed_updates = packing.pack_peers(action.updates)
    gossip._send_message(
        action.address,
        messages.ProbeAck(action.sequence, action.subject, packed_updates),
        action.recipient,
    )


@_perform_action.register
def _(action: events.SendIndirectProbe, gossip: Gossip) -> None:
    packed_updates = packing.pack_peers(action.updates)
    gossip._send_message(
        action.address,
        messages.IndirectProbe(
            action.sequence,
            action.subject,
            action.subject_address,
            packed_updates,
        ),
    )


@_perform_action.register
def _(action: events.SetTimer, gossip: Gossip) -> None:
    gossip._timers.subscribe_once(
        gossip.mailbox, PROBE_TIMEOUT_TIMER, action.delay_s
    )


@_perform_action.register
def _(action: events.PeerStateChanged, gossip: Gossip) -> None:
    if action.peer.state is action.previous_state:
        return
    LOG.info(
        logs.format_event(
            'peer_state_changed',
            peer=action.peer.node,
            before=action.previous_state,
            state=action.peer.state,
            incarnation=action.peer.incarnation,
        )
    )


@_perform_action.register
def _(action: events.IsolationChanged, gossip: Gossip) -> None:
    LOG.warning(
        logs.format_event('isolation_changed', isolated=action.is_isolated)
    )


@_perform_action.register
def _(action: events.PathChanged, gossip: Gossip) -> None:
    LOG.warning(
        logs.format_event(
            'peer_path_changed', peer=action.node, direct=action.is_direct
        )
    )


@_perform_action.register
def _(action: events.NameConflictFound, gossip: Gossip) -> None:
    LOG.error(
        logs.format_event(
            'node_name_used_twice',
            node=gossip._detector.own_peer.node,
            address=action.address,
        )
    )


def _build_metrics(failure_detector: detector.Detector) -> dict[str, Any]:
    counts = collections.Counter(
        peer.state for peer in failure_detector.peers.values()
    )
    return {
        'peers': {state.value: counts[state] for state in states.PeerState},
        'isolated': failure_detector.is_isolated,
        'broken_paths': len(failure_detector.broken_paths),
        'waiting_rumours': failure_detector.pending_update_count,
    }


def _build_dump(failure_detector: detector.Detector) -> dict[str, Any]:
    return {
        'own': msgspec.to_builtins(failure_detector.own_peer),
        'peers': msgspec.to_builtins(failure_detector.peers),
        'isolated': failure_detector.is_isolated,
        'broken_paths': sorted(failure_detector.broken_paths),
        'rumours_waiting': failure_detector.pending_update_count,
    }
