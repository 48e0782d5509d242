"""Task that sends commands and queries to the leader of the group."""

import functools
import logging
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.consensus import packing
from orioleshore.consensus import requests
from orioleshore.jobs import calls as job_calls
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.state import answers
from orioleshore.state import queries
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 4_096
TICK = ids.TimerId('control-client-tick')
TICK_S = 0.05
# Seconds without a reply after which a call is sent to another member. A
# follower does not need this long: it replies with the leader's address.
ATTEMPT_TIMEOUT_S = 0.5

_NOT_ACCEPTED = frozenset(
    {errors.ErrorKind.NOT_LEADER.value, errors.ErrorKind.NO_QUORUM.value}
)

# Delay in seconds after which a call may be repeated.
_DELAY_DECODER = decoding.make_msgpack_decoder(float | None)


class Call(msgspec.Struct, frozen=True):
    """Requests a command or a query; ``timeout_s`` is in seconds."""

    request: Any
    answer: reply.Reply
    timeout_s: float = 5.0


class ControlMembers(msgspec.Struct, frozen=True):
    """Sets the inner addresses of the control members."""

    addresses: tuple[str, ...]


class _PendingCall(msgspec.Struct):
    call: Call
    message: messages.Propose | messages.Query
    deadline: float
    sent_at: float = -1.0e9
    retry_at: float = 0.0
    # Sends after which the call may have taken effect.
    unsettled_sends: int = 0
    address: str = ''


class ControlClient(task.Task):
    """Finds the leader and retries calls until their deadline.

    The state machine handles every command idempotently, so a command may be
    sent again when its answer is lost.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        sender: mailbox.Mailbox,
        timers: service.TimerService,
    ) -> None:
        super().__init__(mailbox.Mailbox('control-client', MAILBOX_CAPACITY))
        self._addresses = list(addresses)
        self._address_index = 0
        self._leader = ''
        self._sender = sender
        self._timers = timers
        self._pending: dict[int, _PendingCall] = {}
        self._next_correlation = 1
        # The retry timer only runs while calls are pending.
        self._is_timer_set = False

    async def close(self) -> None:
        """Fail all pending calls."""
        self._timers.cancel(self.mailbox, TICK)
        for pending in self._pending.values():
            self._fail_call(pending)

    async def handle(self, message: Any) -> None:
        """Handle a call, a reply, new addresses or the retry timer."""
        _handle_message(message, self)
        if self._pending and not self._is_timer_set:
            self._is_timer_set = True
            self._timers.subscribe_once(self.mailbox, TICK, TICK_S)

    def _get_now(self) -> float:
        return self._timers.clock.get_monotonic()

    def _start_call(self, call: Call) -> None:
        message = _encode_request(call.request)
        if message.is_err():
            call.answer.resolve(message)
            return
        correlation = self._next_correlation
        self._next_correlation += 1
        pending = _PendingCall(
            call, message.unwrap(), self._get_now() + call.timeout_s
        )
        self._pending[correlation] = pending
        self._send_call(correlation, pending)

    def _send_call(self, correlation: int, pending: _PendingCall) -> None:
        address = self._leader or self._get_next_address(pending.address)
        if not address:
            return
        pending.address = address
        pending.sent_at = self._get_now()
        pending.retry_at = pending.sent_at + ATTEMPT_TIMEOUT_S
        pending.unsettled_sends += 1
        self._sender.put(
            transport.SendTo(address, pending.message, correlation)
        )

    def _get_next_address(self, unresponsive: str) -> str:
        """Return the member to try next, skipping an unresponsive one.

        The first attempts of all calls go to the same member, so that calls
        keep their order while the leader is not known.
        """
        others = [a for a in self._addresses if a != unresponsive]
        if not others:
            return unresponsive
        if not unresponsive:
            return others[self._address_index % len(others)]
        self._address_index = (self._address_index + 1) % len(others)
        return others[self._address_index]

    def _handle_answer(
        self, received: messages.Received, answer: Result
    ) -> None:
        pending = self._pending.get(received.header.correlation)
        if pending is None:
            return
        message = received.message
        if _has_lost_leader(pending.call.request, message.error_kind):
            # Calls about jobs carry job ids, so a resent call has no further
            # effect.
            self._leader = ''
            pending.retry_at = self._get_now() + 2 * TICK_S
            return
        if message.error_kind in _NOT_ACCEPTED:
            if pending.unsettled_sends == 1:
                # Of several sends, it is not known which one this answers.
                pending.unsettled_sends = 0
            self._leader = message.leader
            # Without a known leader, wait for an election to finish.
            delay_s = 0.0 if message.leader else 2 * TICK_S
            pending.retry_at = self._get_now() + delay_s
            if message.leader:
                self._send_call(received.header.correlation, pending)
            return
        self._leader = message.leader or received.header.reply_address
        del self._pending[received.header.correlation]
        pending.call.answer.resolve(answer)

    def _retry_calls(self) -> None:
        now = self._get_now()
        for correlation, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[correlation]
                self._fail_call(pending)
            elif now >= pending.retry_at:
                self._leader = ''
                self._send_call(correlation, pending)

    def _fail_call(self, pending: _PendingCall) -> None:
        kind = errors.ErrorKind.NO_QUORUM
        if _is_change(pending.call.request) and pending.unsettled_sends:
            kind = errors.ErrorKind.CHANGE_UNKNOWN
        LOG.warning(
            logs.format_event(
                'control_call_timed_out',
                request=type(pending.call.request).__name__,
                error=kind,
            )
        )
        failure = errors.Failure(
            kind, 'no control member answered in time', retry_after_s=1.0
        )
        pending.call.answer.resolve(Err(failure))


def _encode_request(
    request: Any,
) -> Result[messages.Propose | messages.Query, errors.Failure]:
    if job_calls.is_call(request):
        try:
            data = job_calls.encode_call(request)
        except (OverflowError, ValueError) as error:
            # Callers choose names and numbers; some fit no message.
            return Err(
                errors.Failure(errors.ErrorKind.INVALID_REQUEST, str(error))
            )
        return Ok(messages.Query(job_calls.SUBJECT, data))
    if requests.is_request(request):
        return requests.encode(request).map(messages.Propose)
    return Ok(
        messages.Query(type(request).__name__, queries.encode_query(request))
    )


def _has_lost_leader(request: Any, error_kind: str) -> bool:
    """Return whether the leader changed during a call about jobs."""
    return (
        job_calls.is_call(request)
        and error_kind == errors.ErrorKind.CHANGE_UNKNOWN.value
    )


def _is_change(request: Any) -> bool:
    return requests.is_request(request) or isinstance(
        request, job_calls.STATE_CHANGING_CALLS
    )


@functools.singledispatch
def _handle_message(message: Any, client: ControlClient) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: Call, client: ControlClient) -> None:
    client._start_call(message)


@_handle_message.register
def _(message: ControlMembers, client: ControlClient) -> None:
    client._addresses = list(message.addresses)


@_handle_message.register
def _(message: service.TimerFired, client: ControlClient) -> None:
    client._is_timer_set = False
    client._retry_calls()


@_handle_message.register
def _(message: messages.Received, client: ControlClient) -> None:
    try:
        _handle_reply(message.message, client, message)
    except ValueError as error:
        # The call is sent again, like one without a reply.
        LOG.warning(
            logs.format_event(
                'control_reply_unreadable',
                sender=message.header.sender,
                error=error,
            )
        )


@functools.singledispatch
def _handle_reply(
    message: Any, client: ControlClient, received: messages.Received
) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_reply.register
def _(
    message: messages.ProposeReply,
    client: ControlClient,
    received: messages.Received,
) -> None:
    pending = client._pending.get(received.header.correlation)
    if pending is None:
        return
    answer = answers.unpack_reply(type(pending.call.request), message)
    client._handle_answer(received, answer)


@_handle_reply.register
def _(
    message: messages.QueryReply,
    client: ControlClient,
    received: messages.Received,
) -> None:
    pending = client._pending.get(received.header.correlation)
    if pending is not None and job_calls.is_call(pending.call.request):
        client._handle_answer(received, _decode_jobs_reply(pending, message))
        return
    answer: Result = Ok(packing.unpack(message.answer))
    if message.error_kind:
        answer = Err(
            errors.Failure(
                errors.ErrorKind(message.error_kind), message.message
            )
        )
    client._handle_answer(received, answer)


def _decode_jobs_reply(
    pending: _PendingCall, message: messages.QueryReply
) -> Result:
    request = pending.call.request
    if not message.error_kind:
        data = packing.unpack(message.answer)
        return Ok(job_calls.decode_answer(request, data))
    kind = errors.ErrorKind(message.error_kind)
    delay_s = None
    if message.answer:
        delay_s = _DELAY_DECODER.decode(message.answer)
    if pending.unsettled_sends > 1 and _is_change(request):
        # A call that was sent earlier may still take effect.
        kind = errors.ErrorKind.CHANGE_UNKNOWN
    return Err(errors.Failure(kind, message.message, retry_after_s=delay_s))


async def call(
    client: mailbox.Mailbox, request: Any, timeout_s: float = 5.0
) -> Result[Any, errors.Failure]:
    """Send a command or query through a client and return the answer."""
    answer: reply.Reply = reply.Reply()
    outcome = client.put(Call(request, answer, timeout_s))
    if outcome.is_err():
        return outcome
    return await answer.wait()
