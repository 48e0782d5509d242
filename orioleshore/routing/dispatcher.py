"""Task that runs the routing decisions of an entry host."""

import asyncio
from collections.abc import Callable
import functools
import logging
from typing import Any

import msgspec
from result import Ok
from result import Result

from orioleshore.consensus import client
from orioleshore.membership import events as membership_events
from orioleshore.model import addresses
from orioleshore.model import announcements
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.routing import claims
from orioleshore.routing import events
from orioleshore.routing import router
from orioleshore.state import claim_commands
from orioleshore.state import commands
from orioleshore.state import queries
from orioleshore.state import subscriber
from orioleshore.tasks import background
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 4_096
TICK_TIMER = ids.TimerId('routing-tick')
TICK_INTERVAL_S = 0.05
DEMAND_TIMER = ids.TimerId('routing-demand')
# The leader acts only on demand that lasts for a minute or more.
DEMAND_INTERVAL_S = 5.0
RECORD_RETRY_TIMER = ids.TimerId('routing-record-again')
RECORD_RETRY_DELAY_S = 1.0
CLAIM_TIMEOUT_S = 3.0
RECORD_TIMEOUT_S = 30.0
# While this many outcomes wait to be recorded, further answers are not kept,
# which limits their memory to 64 MiB.
MAX_OPEN_RECORDS = 1_024
SLOT_MESSAGES = (
    messages.SlotRequest,
    messages.SlotGrant,
    messages.SlotReturn,
)
# Longer answers are not recorded; duplicates are refused as already run.
MAX_RECORDED_BYTES = 65_536

_UPSTREAM_DECODER = decoding.make_json_decoder(announcements.Upstream)


class RequestOpened(msgspec.Struct, frozen=True):
    """A request from a front end; its actions are put into ``exchange``."""

    info: events.RequestInfo
    exchange: mailbox.Mailbox


class AttemptReported(msgspec.Struct, frozen=True):
    """The result of an attempt; ``answer`` is recorded for duplicates."""

    ended: events.AttemptEnded
    answer: events.RecordedAnswer | None


class AnnouncementReceived(msgspec.Struct, frozen=True):
    """An upstream announced itself at this entry host."""

    upstream: announcements.Upstream


class GetRoutingDump(msgspec.Struct, frozen=True):
    """Requests all state of the routing decisions."""

    answer: reply.Reply


class Stop(msgspec.Struct, frozen=True):
    """Requests a stop; ``router.STOP_GRACE_S`` limits queued requests."""


class _ClaimDecided(msgspec.Struct, frozen=True):
    info: events.RequestInfo
    outcome: Result[claim_commands.ClaimAnswer, errors.Failure]


class _EarlierClaimsMarked(msgspec.Struct, frozen=True):
    outcome: Result[Any, errors.Failure]


class _RecordEnded(msgspec.Struct, frozen=True):
    command: commands.RecordOutcome
    outcome: Result[Any, errors.Failure]


class Dispatcher(task.Task):
    """Owns the router, and maps each request to its exchange's mailbox."""

    def __init__(
        self,
        node: ids.NodeId,
        incarnation: ids.Incarnation,
        request_router: router.Router,
        sender: mailbox.Mailbox,
        control: mailbox.Mailbox,
        timers: service.TimerService,
    ) -> None:
        super().__init__(mailbox.Mailbox('routing', MAILBOX_CAPACITY))
        self._node = node
        self._incarnation = incarnation
        self._router = request_router
        self._sender = sender
        self._control = control
        self._timers = timers
        self._exchanges: dict[ids.RequestId, mailbox.Mailbox] = {}
        self._answers: dict[ids.RequestId, events.RecordedAnswer] = {}
        self._addresses: dict[ids.NodeId, str] = {}
        self._open_records = 0
        self._unrecorded: list[commands.RecordOutcome] = []
        self._is_marking_due = False
        self._pending_puts: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Subscribe to timers, and mark the open claims of earlier runs."""
        self._timers.subscribe_every(self.mailbox, TICK_TIMER, TICK_INTERVAL_S)
        self._timers.subscribe_every(
            self.mailbox, DEMAND_TIMER, DEMAND_INTERVAL_S
        )
        self._handle_event(
            events.PeersChanged(self._node, (self._get_own_peer(),))
        )
        self._mark_earlier_claims()

    async def close(self) -> None:
        """Cancel the timers."""
        self._timers.cancel(self.mailbox, TICK_TIMER)
        self._timers.cancel(self.mailbox, DEMAND_TIMER)

    async def handle(self, message: Any) -> None:
        """Handle one message of the mailbox."""
        _handle_message(message, self)

    def _handle_event(self, event: events.Event) -> None:
        now = self._timers.clock.get_monotonic()
        for action in self._router.handle(event, now):
            _perform_action(action, self)

    def _notify_exchange(self, request: ids.RequestId, message: Any) -> None:
        exchange = self._exchanges.get(request)
        if exchange is not None:
            exchange.put(message)

    def _finish_request(self, request: ids.RequestId, message: Any) -> None:
        self._notify_exchange(request, message)
        self._exchanges.pop(request, None)
        self._answers.pop(request, None)

    def _request_claim(self, info: events.RequestInfo) -> None:
        command = commands.ClaimRequest(
            time=self._timers.clock.get_wall(),
            key=info.key,
            issued=info.issued,
            digest=info.digest,
            request=info.request,
            entry_host=self._node,
            incarnation=self._incarnation,
        )
        self._call_control(
            command,
            CLAIM_TIMEOUT_S,
            lambda outcome: _ClaimDecided(info, outcome),
        )

    def _call_control(
        self,
        command: commands.Command,
        timeout_s: float,
        make_message: Callable[[Result], Any],
    ) -> None:
        answer: reply.Reply = reply.Reply()
        answer.add_callback(
            lambda outcome: self._put_call_result(make_message(outcome))
        )
        outcome = self._control.put(client.Call(command, answer, timeout_s))
        if outcome.is_err():
            answer.resolve(outcome)

    def _put_call_result(self, message: Any) -> None:
        # The number of results is bounded by the pending requests of this
        # task, so they may wait until the mailbox has room.
        if self.mailbox.put(message).is_ok():
            return
        waiting = background.start_task(
            self.mailbox.put_wait(message), 'call result'
        )
        self._pending_puts.add(waiting)
        waiting.add_done_callback(self._pending_puts.discard)

    def _record_outcome(self, action: events.RecordOutcome) -> None:
        request = action.info.request
        answer = self._answers.get(request)
        is_kept = answer is not None
        is_kept = is_kept and len(answer.body) <= MAX_RECORDED_BYTES
        is_kept = is_kept and self._open_records < MAX_OPEN_RECORDS
        command = commands.RecordOutcome(
            time=self._timers.clock.get_wall(),
            key=action.info.key,
            request=request,
            outcome=action.outcome,
            status=answer.status if is_kept else 0,
            headers=answer.headers if is_kept else (),
            body=answer.body if is_kept else b'',
            kept=is_kept,
        )
        self._open_records += 1
        self._send_record(command)

    def _send_record(self, command: commands.RecordOutcome) -> None:
        self._call_control(
            command,
            RECORD_TIMEOUT_S,
            lambda outcome: _RecordEnded(command, outcome),
        )

    def _retry_records(self) -> None:
        repeated, self._unrecorded = self._unrecorded, []
        for command in repeated:
            self._send_record(command)
        if self._is_marking_due:
            self._is_marking_due = False
            self._mark_earlier_claims()

    def _mark_earlier_claims(self) -> None:
        """Mark the open claims of earlier runs of this host as unknown."""
        command = commands.MarkClaimsUnknown(
            time=self._timers.clock.get_wall(),
            entry_host=self._node,
            incarnation=ids.Incarnation(self._incarnation - 1),
        )
        self._call_control(
            command,
            RECORD_TIMEOUT_S,
            lambda outcome: _EarlierClaimsMarked(outcome),
        )

    def _get_own_peer(self) -> announcements.Peer:
        return announcements.Peer(
            self._node,
            '',
            self._incarnation,
            ids.AvailabilityZone(''),
            (states.Role.ENTRY,),
        )

    def _send_to_node(
        self,
        node: ids.NodeId,
        message: Any,
        correlation: int = 0,
        recipient: ids.Incarnation = ids.UNKNOWN_INCARNATION,
    ) -> None:
        address = self._addresses.get(node)
        if address is not None:
            self._sender.put(
                transport.SendTo(address, message, correlation, recipient)
            )

    def _report_demand(self) -> None:
        """Report demand to the leader; a lost report is not sent again."""
        demands = self._router.get_demands(self._timers.clock.get_monotonic())
        if demands:
            report = queries.ReportDemand(self._node, demands)
            self._control.put(
                client.Call(report, reply.Reply(), DEMAND_INTERVAL_S)
            )

    def get_dump(self) -> dict[str, Any]:
        """Return all state of this task."""
        return {
            'mailbox_length': len(self.mailbox),
            'exchanges': len(self._exchanges),
            'entry_hosts': sorted(self._addresses),
            'open_records': self._open_records,
            'held': self._router.pending_count,
            'in_flight': self._router.in_flight_count,
            'router': self._router.get_dump(
                self._timers.clock.get_monotonic()
            ),
        }


@functools.singledispatch
def _handle_message(message: Any, dispatcher: Dispatcher) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: RequestOpened, dispatcher: Dispatcher) -> None:
    dispatcher._exchanges[message.info.request] = message.exchange
    dispatcher._handle_event(events.RequestArrived(message.info))


@_handle_message.register
def _(message: AttemptReported, dispatcher: Dispatcher) -> None:
    if message.answer is not None:
        dispatcher._answers[message.ended.request] = message.answer
    dispatcher._handle_event(message.ended)
    dispatcher._answers.pop(message.ended.request, None)


@_handle_message.register
def _(message: _ClaimDecided, dispatcher: Dispatcher) -> None:
    dispatcher._handle_event(
        claims.get_claim_event(message.info, message.outcome)
    )


@_handle_message.register
def _(message: _RecordEnded, dispatcher: Dispatcher) -> None:
    if message.outcome.is_ok():
        dispatcher._open_records -= 1
        return
    # The control client has already retried until the call timed out.
    LOG.warning(
        logs.format_event(
            'outcome_not_recorded',
            request=message.command.request,
            error=message.outcome.unwrap_err().kind,
        )
    )
    dispatcher._timers.subscribe_once(
        dispatcher.mailbox, RECORD_RETRY_TIMER, RECORD_RETRY_DELAY_S
    )
    dispatcher._unrecorded.append(message.command)


@_handle_message.register
def _(message: _EarlierClaimsMarked, dispatcher: Dispatcher) -> None:
    if message.outcome.is_err():
        dispatcher._is_marking_due = True
        dispatcher._timers.subscribe_once(
            dispatcher.mailbox, RECORD_RETRY_TIMER, RECORD_RETRY_DELAY_S
        )


@_handle_message.register
def _(message: AnnouncementReceived, dispatcher: Dispatcher) -> None:
    dispatcher._handle_event(events.UpstreamAnnounced(message.upstream, True))


@_handle_message.register
def _(message: messages.Received, dispatcher: Dispatcher) -> None:
    _handle_peer_message(message.message, dispatcher, message.header)


@_handle_message.register
def _(message: events.CallerGone, dispatcher: Dispatcher) -> None:
    dispatcher._handle_event(message)


@_handle_message.register
def _(
    message: subscriber.ConfigurationChanged, dispatcher: Dispatcher
) -> None:
    dispatcher._handle_event(
        events.ConfigurationChanged(message.version, message.document.services)
    )


@_handle_message.register
def _(message: membership_events.PeersChanged, dispatcher: Dispatcher) -> None:
    live = tuple(message.get_live_peers(states.Role.ENTRY))
    dispatcher._addresses = {peer.node: peer.address for peer in live}
    dispatcher._handle_event(events.PeersChanged(dispatcher._node, live))


@_handle_message.register
def _(message: service.TimerFired, dispatcher: Dispatcher) -> None:
    if message.timer == RECORD_RETRY_TIMER:
        dispatcher._retry_records()
        return
    if message.timer == DEMAND_TIMER:
        dispatcher._report_demand()
        return
    dispatcher._handle_event(events.TimerFired())


@_handle_message.register
def _(message: Stop, dispatcher: Dispatcher) -> None:
    dispatcher._handle_event(events.StopRequested())


@_handle_message.register
def _(message: GetRoutingDump, dispatcher: Dispatcher) -> None:
    message.answer.resolve(Ok(dispatcher.get_dump()))


def _decode_upstream(data: bytes) -> announcements.Upstream:
    """Return an announced upstream; raises DecodingError."""
    upstream = _UPSTREAM_DECODER.decode(data)
    addresses.parse_address(upstream.address)
    return upstream


@functools.singledispatch
def _handle_peer_message(
    message: Any, dispatcher: Dispatcher, header: messages.Header
) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_peer_message.register
def _(
    message: messages.Announce,
    dispatcher: Dispatcher,
    header: messages.Header,
) -> None:
    try:
        upstream = _decode_upstream(message.upstream)
    except decoding.DecodingError as error:
        LOG.warning(
            logs.format_event(
                'announcement_refused', sender=header.sender, error=error
            )
        )
        return
    dispatcher._handle_event(events.UpstreamAnnounced(upstream))


@_handle_peer_message.register
def _(
    message: messages.SlotRequest,
    dispatcher: Dispatcher,
    header: messages.Header,
) -> None:
    dispatcher._handle_event(
        events.SlotsRequested(
            header.sender,
            message.upstream,
            message.wanted,
            message.held,
            header.correlation,
            header.incarnation,
        )
    )


@_handle_peer_message.register
def _(
    message: messages.SlotGrant,
    dispatcher: Dispatcher,
    header: messages.Header,
) -> None:
    dispatcher._handle_event(
        events.SlotsGranted(
            header.sender,
            message.upstream,
            message.granted,
            message.lease_ms / 1_000,
            message.lease,
            header.correlation,
        )
    )


@_handle_peer_message.register
def _(
    message: messages.SlotReturn,
    dispatcher: Dispatcher,
    header: messages.Header,
) -> None:
    dispatcher._handle_event(
        events.SlotsReturned(
            header.sender, message.upstream, message.returned, message.lease
        )
    )


@functools.singledispatch
def _perform_action(action: Any, dispatcher: Dispatcher) -> None:
    raise TypeError(f'unknown action {type(action).__name__}')


@_perform_action.register
def _(action: events.RequestClaim, dispatcher: Dispatcher) -> None:
    dispatcher._request_claim(action.info)


@_perform_action.register
def _(action: events.StartAttempt, dispatcher: Dispatcher) -> None:
    if LOG.isEnabledFor(logging.DEBUG):
        LOG.debug(
            logs.format_event(
                'attempt_started',
                request=action.request,
                attempt=action.attempt,
                upstream=action.upstream,
            )
        )
    dispatcher._notify_exchange(action.request, action)


@_perform_action.register
def _(action: events.RequestSlots, dispatcher: Dispatcher) -> None:
    if action.owner == dispatcher._node:
        dispatcher._handle_event(
            events.SlotsRequested(
                action.owner,
                action.upstream,
                action.wanted,
                action.held,
                action.token,
            )
        )
        return
    message = messages.SlotRequest(action.upstream, action.wanted, action.held)
    dispatcher._send_to_node(action.owner, message, action.token)


@_perform_action.register
def _(action: events.GrantSlots, dispatcher: Dispatcher) -> None:
    if action.node == dispatcher._node:
        dispatcher._handle_event(
            events.SlotsGranted(
                action.node,
                action.upstream,
                action.granted,
                action.lease_s,
                action.lease,
                action.token,
            )
        )
        return
    message = messages.SlotGrant(
        action.upstream,
        action.granted,
        int(action.lease_s * 1_000),
        action.lease,
    )
    dispatcher._send_to_node(
        action.node, message, action.token, action.incarnation
    )


@_perform_action.register
def _(action: events.ReturnSlots, dispatcher: Dispatcher) -> None:
    if action.owner == dispatcher._node:
        dispatcher._handle_event(
            events.SlotsReturned(
                action.owner, action.upstream, action.returned, action.lease
            )
        )
        return
    message = messages.SlotReturn(
        action.upstream, action.returned, action.lease
    )
    dispatcher._send_to_node(action.owner, message)


@_perform_action.register
def _(action: events.SpreadAnnouncement, dispatcher: Dispatcher) -> None:
    message = messages.Announce(msgspec.json.encode(action.upstream))
    for node in dispatcher._addresses:
        if node != dispatcher._node:
            dispatcher._send_to_node(node, message)


@_perform_action.register(events.Deliver)
@_perform_action.register(events.Replay)
@_perform_action.register(events.Refuse)
def _(
    action: events.Deliver | events.Replay | events.Refuse,
    dispatcher: Dispatcher,
) -> None:
    dispatcher._finish_request(action.request, action)


@_perform_action.register
def _(action: events.RecordOutcome, dispatcher: Dispatcher) -> None:
    dispatcher._record_outcome(action)
