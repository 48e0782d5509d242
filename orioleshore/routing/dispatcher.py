"""Task that runs the routing decisions of an entry host."""

import collections
import functools
import logging
from typing import Any

import msgspec
from result import Ok
from result import Result

from orioleshore.consensus import client
from orioleshore.membership import events as membership_events
from orioleshore.model import announcements
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.routing import events
from orioleshore.routing import router
from orioleshore.state import claim_commands
from orioleshore.state import commands
from orioleshore.state import records
from orioleshore.state import subscriber
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 4_096
TICK = ids.TimerId('routing-tick')
TICK_S = 0.05
CLAIM_TIMEOUT_S = 3.0
RECORD_TIMEOUT_S = 30.0
# Longer answers are not recorded; copies are told that the request ran.
MAX_RECORDED_BYTES = 65_536


class RequestOpened(msgspec.Struct, frozen=True):
    """A front end hands over a request; answers go to ``exchange``."""

    info: events.RequestInfo
    exchange: mailbox.Mailbox


class AnswerArrived(msgspec.Struct, frozen=True):
    """An attempt ended; ``answer`` is what a copy may be given later."""

    ended: events.AttemptEnded
    answer: events.RecordedAnswer | None


class UpstreamHeard(msgspec.Struct, frozen=True):
    """An upstream announced itself at this entry host."""

    upstream: announcements.Upstream


class GetRoutingDump(msgspec.Struct, frozen=True):
    """Asks for all state of the routing decisions."""

    answer: reply.Reply


class Stop(msgspec.Struct, frozen=True):
    """Asks to refuse queued and new requests."""


class _ClaimDecided(msgspec.Struct, frozen=True):
    info: events.RequestInfo
    outcome: Result[claim_commands.ClaimAnswer, errors.Failure]


class Dispatcher(task.Task):
    """Owns the routing decisions, and one mailbox for each request."""

    def __init__(
        self,
        node: ids.NodeId,
        incarnation: ids.Incarnation,
        decisions: router.Router,
        sender: mailbox.Mailbox,
        control: mailbox.Mailbox,
        timers: service.TimerService,
    ) -> None:
        super().__init__(mailbox.Mailbox('routing', MAILBOX_CAPACITY))
        self._node = node
        self._incarnation = incarnation
        self._router = decisions
        self._sender = sender
        self._control = control
        self._timers = timers
        self._exchanges: dict[ids.RequestId, mailbox.Mailbox] = {}
        self._answers: dict[ids.RequestId, events.RecordedAnswer] = {}
        self._entry_hosts: tuple[announcements.Peer, ...] = ()
        self._refusals: collections.Counter[errors.ErrorKind] = (
            collections.Counter()
        )

    async def open(self) -> None:
        """Subscribe to the tick."""
        self._timers.subscribe_every(self.mailbox, TICK, TICK_S)

    async def close(self) -> None:
        """Stop the tick."""
        self._timers.cancel(self.mailbox, TICK)

    async def handle(self, message: Any) -> None:
        """Handle a request, an outcome or news."""
        _take(message, self)

    def _run(self, event: events.Event) -> None:
        now = self._timers.clock.get_monotonic()
        for action in self._router.handle(event, now):
            _perform(action, self)

    def _tell(self, request: ids.RequestId, message: Any) -> None:
        exchange = self._exchanges.get(request)
        if exchange is not None:
            exchange.put(message)

    def _finish(self, request: ids.RequestId, message: Any) -> None:
        if isinstance(message, events.Refuse):
            self._refusals[message.failure.kind] += 1
        self._tell(request, message)
        self._exchanges.pop(request, None)
        self._answers.pop(request, None)

    def _claim(self, info: events.RequestInfo) -> None:
        command = commands.ClaimRequest(
            time=self._timers.clock.get_wall(),
            key=info.key,
            issued=info.issued,
            digest=info.digest,
            request=info.request,
            entry_host=self._node,
            incarnation=self._incarnation,
        )
        answer: reply.Reply = reply.Reply()
        answer.add_callback(
            lambda outcome: self.mailbox.put(_ClaimDecided(info, outcome))
        )
        outcome = self._control.put(
            client.Call(command, answer, CLAIM_TIMEOUT_S)
        )
        if outcome.is_err():
            answer.resolve(outcome)

    def _record(self, action: events.RecordOutcome) -> None:
        request = action.info.request
        answer = self._answers.get(request)
        kept = answer is not None
        kept = kept and len(answer.body) <= MAX_RECORDED_BYTES
        command = commands.RecordOutcome(
            time=self._timers.clock.get_wall(),
            key=action.info.key,
            request=request,
            outcome=action.outcome,
            status=answer.status if kept else 0,
            headers=answer.headers if kept else (),
            body=answer.body if kept else b'',
            kept=kept,
        )
        self._control.put(
            client.Call(command, reply.Reply(), RECORD_TIMEOUT_S)
        )

    def _spread(self, upstream: announcements.Upstream) -> None:
        message = messages.Announce(msgspec.json.encode(upstream))
        for peer in self._entry_hosts:
            if peer.node != self._node:
                self._sender.put(transport.SendTo(peer.address, message))

    def get_dump(self) -> dict[str, Any]:
        """Return all state of this task."""
        return {
            'mailbox_length': len(self.mailbox),
            'exchanges': len(self._exchanges),
            'entry_hosts': [peer.node for peer in self._entry_hosts],
            'held': self._router.held,
            'in_flight': self._router.in_flight,
            'refusals': {
                kind.value: count for kind, count in self._refusals.items()
            },
            'router': self._router.get_dump(),
        }


def _get_claim_event(
    info: events.RequestInfo,
    outcome: Result[claim_commands.ClaimAnswer, errors.Failure],
) -> events.Event:
    if outcome.is_err():
        failure = outcome.unwrap_err()
        if failure.kind is errors.ErrorKind.CHANGE_UNKNOWN:
            # The claim may be committed, but nothing was sent under it.
            failure = errors.Failure(
                errors.ErrorKind.CLAIM_UNAVAILABLE,
                'the claim of the request could not be recorded in time',
                retry_after_s=1.0,
            )
        return events.ClaimRefused(info.request, failure)
    answer = outcome.unwrap()
    if answer.granted:
        return events.ClaimGranted(info.request)
    return _get_copy_event(info, answer.record)


def _get_copy_event(
    info: events.RequestInfo, record: records.ClaimRecord
) -> events.Event:
    if record.state is states.ClaimState.CLAIMED:
        return events.ClaimPending(info.request)
    if record.state is states.ClaimState.UNKNOWN:
        failure = errors.Failure(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            'an earlier copy was accepted, and its outcome is not known',
        )
        return events.ClaimRefused(info.request, failure)
    if not record.kept:
        failure = errors.Failure(
            errors.ErrorKind.ANSWER_NOT_KEPT,
            'an earlier copy was answered, and the answer is too long to '
            'be given again',
        )
        return events.ClaimRefused(info.request, failure)
    answer = events.RecordedAnswer(record.status, record.headers, record.body)
    return events.ClaimAnswered(info.request, answer)


@functools.singledispatch
def _take(message: Any, dispatcher: Dispatcher) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_take.register
def _(message: RequestOpened, dispatcher: Dispatcher) -> None:
    dispatcher._exchanges[message.info.request] = message.exchange
    dispatcher._run(events.RequestArrived(message.info))


@_take.register
def _(message: AnswerArrived, dispatcher: Dispatcher) -> None:
    if message.answer is not None:
        dispatcher._answers[message.ended.request] = message.answer
    dispatcher._run(message.ended)
    dispatcher._answers.pop(message.ended.request, None)


@_take.register
def _(message: _ClaimDecided, dispatcher: Dispatcher) -> None:
    event = _get_claim_event(message.info, message.outcome)
    if isinstance(event, events.ClaimRefused) and (
        event.failure.kind is errors.ErrorKind.CLAIM_UNAVAILABLE
    ):
        # Release the key, in case the claim is committed after all.
        dispatcher._record(
            events.RecordOutcome(message.info, states.ClaimState.NOT_RUN)
        )
    dispatcher._run(event)


@_take.register
def _(message: UpstreamHeard, dispatcher: Dispatcher) -> None:
    dispatcher._spread(message.upstream)
    dispatcher._run(events.UpstreamAnnounced(message.upstream))


@_take.register
def _(message: messages.Received, dispatcher: Dispatcher) -> None:
    upstream = msgspec.json.decode(
        message.message.upstream, type=announcements.Upstream
    )
    dispatcher._run(events.UpstreamAnnounced(upstream))


@_take.register
def _(message: events.CallerGone, dispatcher: Dispatcher) -> None:
    dispatcher._run(message)
    dispatcher._exchanges.pop(message.request, None)


@_take.register
def _(
    message: subscriber.ConfigurationChanged, dispatcher: Dispatcher
) -> None:
    dispatcher._run(
        events.ConfigurationChanged(message.version, message.document.services)
    )


@_take.register
def _(message: membership_events.PeersChanged, dispatcher: Dispatcher) -> None:
    dispatcher._entry_hosts = tuple(message.get_live(states.Role.ENTRY))
    dispatcher._run(
        events.PeersChanged(dispatcher._node, dispatcher._entry_hosts)
    )


@_take.register
def _(message: service.TimerFired, dispatcher: Dispatcher) -> None:
    dispatcher._run(events.TimerFired())


@_take.register
def _(message: Stop, dispatcher: Dispatcher) -> None:
    dispatcher._run(events.StopRequested())


@_take.register
def _(message: GetRoutingDump, dispatcher: Dispatcher) -> None:
    message.answer.resolve(Ok(dispatcher.get_dump()))


@functools.singledispatch
def _perform(action: Any, dispatcher: Dispatcher) -> None:
    raise TypeError(f'unknown action {type(action).__name__}')


@_perform.register
def _(action: events.RequestClaim, dispatcher: Dispatcher) -> None:
    dispatcher._claim(action.info)


@_perform.register
def _(action: events.StartAttempt, dispatcher: Dispatcher) -> None:
    LOG.debug(
        logs.format_event(
            'attempt_started',
            request=action.request,
            attempt=action.attempt,
            upstream=action.upstream,
        )
    )
    dispatcher._tell(action.request, action)


@_perform.register
def _(action: events.CancelAttempt, dispatcher: Dispatcher) -> None:
    dispatcher._tell(action.request, action)


@_perform.register(events.Deliver)
@_perform.register(events.Replay)
@_perform.register(events.Refuse)
def _(
    action: events.Deliver | events.Replay | events.Refuse,
    dispatcher: Dispatcher,
) -> None:
    dispatcher._finish(action.request, action)


@_perform.register
def _(action: events.RecordOutcome, dispatcher: Dispatcher) -> None:
    dispatcher._record(action)
