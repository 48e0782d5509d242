"""HTTP front end for callers: forwards requests to the upstreams."""

import asyncio
import collections
import functools
import hashlib
import logging
from typing import Any
import uuid

import aiohttp
from aiohttp import web
import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore import settings
from orioleshore.frontends import caller_server
from orioleshore.frontends import upstream_client
from orioleshore.frontends import web as frontend_web
from orioleshore.intake import gate as intake_gate
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import numbers
from orioleshore.model import states
from orioleshore.routing import dispatcher
from orioleshore.routing import events
from orioleshore.routing import table
from orioleshore.state import claim_commands
from orioleshore.state import operations
from orioleshore.state import subscriber
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import clock

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 256
EXCHANGE_MAILBOX_CAPACITY = 8
DIGEST_BYTES = 16
MAX_DEADLINE_MS = 86_400_000
MAX_CALLER_LENGTH = 128
# Tolerates callers whose clock is ahead of the clock of the entry host.
MAX_KEY_AHEAD_S = 300.0

KEY_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'Orioleshore-Deadline-Ms'
CALLER_HEADER = 'Orioleshore-Caller'
PRIORITY_HEADER = 'Orioleshore-Priority'

_NOT_FORWARDED_HEADERS = frozenset(
    {
        'content-length',
        # The whole body is read before the request is forwarded, so an
        # upstream has nothing to confirm.
        'expect',
        DEADLINE_HEADER.lower(),
        CALLER_HEADER.lower(),
        PRIORITY_HEADER.lower(),
        frontend_web.REQUEST_HEADER.lower(),
    }
)

_ERROR_KINDS = frozenset(kind.value for kind in errors.ErrorKind)


class GetCallersMetrics(msgspec.Struct, frozen=True):
    """Requests the metrics of the callers frontend."""

    answer: reply.Reply


class CallersFrontend(task.Task):
    """Owns the connections of callers and the connections to upstreams."""

    def __init__(
        self,
        address: str,
        limits: settings.Entry,
        routing: mailbox.Mailbox,
        source: clock.Clock,
    ) -> None:
        super().__init__(mailbox.Mailbox('callers', MAILBOX_CAPACITY))
        self._limits = limits
        self._routing = routing
        self._clock = source
        self._refusals: collections.Counter[str] = collections.Counter()
        self._route_table: table.RouteTable | None = None
        self._client = upstream_client.UpstreamClient(
            limits.answer_buffer_bytes
        )
        self._listener = caller_server.CallerListener(
            address, limits, self._serve_request
        )

    @property
    def address(self) -> str:
        return self._listener.address

    def set_gate(self, gate: intake_gate.Gate) -> None:
        """Hold callers to the limits of the process."""
        self._listener.set_gate(gate)

    async def open(self) -> None:
        """Open the upstream client and listen for callers."""
        await self._client.open()
        await self._listener.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._listener.stop()
        await self._client.close()

    async def handle(self, message: Any) -> None:
        """Apply a newer configuration, or return the metrics."""
        _handle_message(message, self)

    def get_metrics(self) -> dict[str, Any]:
        """Return how many requests no upstream answered, by error kind."""
        return {'refusals': dict(sorted(self._refusals.items()))}

    async def _serve_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        response = await self._answer_request(request)
        error = response.headers.get(frontend_web.ERROR_HEADER)
        # An upstream may send this header with a value of its own.
        if error in _ERROR_KINDS:
            self._refusals[error] += 1
        return response

    async def _answer_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if self._route_table is None:
            return _make_refusal(
                errors.ErrorKind.NOT_READY,
                'this entry host has no configuration yet',
            )
        service = self._route_table.find_service(request.host, request.path)
        if service is None:
            return _make_refusal(
                errors.ErrorKind.UNKNOWN_SERVICE,
                'no service matches this host name and path',
            )
        outcome = await self._read_request(request, service)
        if outcome.is_err():
            return frontend_web.make_failure(outcome.unwrap_err())
        info, outgoing_request = outcome.unwrap()
        inbox: mailbox.Mailbox = mailbox.Mailbox(
            f'request {info.request}', EXCHANGE_MAILBOX_CAPACITY
        )
        opened = self._routing.put(dispatcher.RequestOpened(info, inbox))
        if opened.is_err():
            return frontend_web.make_failure(opened.unwrap_err())
        return await _Exchange(
            request,
            info,
            outgoing_request,
            inbox,
            self._routing,
            self._client,
        ).run()

    async def _read_request(
        self, request: web.BaseRequest, service: documents.Service
    ) -> Result[
        tuple[events.RequestInfo, upstream_client.OutgoingRequest],
        errors.Failure,
    ]:
        problem = self._check_headers(request)
        if problem is not None:
            return Err(problem)
        body = await self._read_body(request, service)
        if body.is_err():
            return body
        info = self._build_request_info(request, service, body.unwrap())
        if info.is_err():
            return info
        outgoing_request = upstream_client.OutgoingRequest(
            request.method,
            request.raw_path,
            _get_forwarded_headers(request),
            body.unwrap(),
        )
        return Ok((info.unwrap(), outgoing_request))

    def _check_headers(
        self, request: web.BaseRequest
    ) -> errors.Failure | None:
        size = sum(
            len(name) + len(value) for name, value in request.raw_headers
        )
        if (
            len(request.raw_headers) > self._limits.header_count
            or size > self._limits.header_bytes
        ):
            return errors.Failure(
                errors.ErrorKind.HEADERS_TOO_LARGE,
                f'at most {self._limits.header_count} headers of '
                f'{self._limits.header_bytes} bytes are accepted',
            )
        return None

    async def _read_body(
        self, request: web.BaseRequest, service: documents.Service
    ) -> Result[bytes, errors.Failure]:
        limit = service.limits.body_bytes
        body = bytearray()
        try:
            async with asyncio.timeout(self._limits.body_timeout_s):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > limit:
                        return _make_error(
                            errors.ErrorKind.REQUEST_TOO_LARGE,
                            f'the body exceeds {limit} bytes',
                        )
        except TimeoutError:
            failure = errors.Failure(
                errors.ErrorKind.REQUEST_TOO_SLOW,
                'the body did not arrive within '
                f'{self._limits.body_timeout_s:g} s',
                retry_after_s=1.0,
            )
            return Err(failure)
        except (aiohttp.ClientError, web.HTTPException, OSError) as error:
            return _make_error(
                errors.ErrorKind.INVALID_REQUEST, f'malformed body: {error}'
            )
        return Ok(bytes(body))

    def _build_request_info(
        self, request: web.BaseRequest, service: documents.Service, body: bytes
    ) -> Result[events.RequestInfo, errors.Failure]:
        is_idempotent = table.is_idempotent(
            service, request.method, request.path
        )
        key = _parse_idempotency_key(
            request, is_idempotent, self._clock.get_wall()
        )
        if key.is_err():
            return key
        deadline_s = _parse_deadline(request, service)
        if deadline_s.is_err():
            return deadline_s
        priority = _parse_priority(request)
        if priority.is_err():
            return priority
        caller = request.headers.get(CALLER_HEADER, request.remote or '')
        idempotency_key, issued_at = key.unwrap()
        return Ok(
            events.RequestInfo(
                ids.RequestId(uuid.uuid4().hex),
                service.name,
                ids.CallerId(caller[:MAX_CALLER_LENGTH]),
                priority.unwrap(),
                self._clock.get_monotonic() + deadline_s.unwrap(),
                is_idempotent,
                idempotency_key,
                issued_at,
                _get_request_digest(request, service, body),
            )
        )


class _Exchange:
    """Serves one request by performing the actions that routing sends."""

    def __init__(
        self,
        request: web.BaseRequest,
        info: events.RequestInfo,
        outgoing_request: upstream_client.OutgoingRequest,
        inbox: mailbox.Mailbox,
        routing: mailbox.Mailbox,
        client: upstream_client.UpstreamClient,
    ) -> None:
        self._request = request
        self._info = info
        self._outgoing_request = outgoing_request
        self._inbox = inbox
        self._routing = routing
        self._client = client
        self._upstream_answer: upstream_client.UpstreamAnswer | None = None
        self._ended_attempt: events.AttemptEnded | None = None

    async def run(self) -> web.StreamResponse:
        """Run attempts until routing decides on the response; return it."""
        self._request.protocol.set_loss_callback(self._report_caller_loss)
        while True:
            message = await self._inbox.get()
            if isinstance(message, events.StartAttempt):
                await self._run_attempt(message)
                if (
                    self._upstream_answer
                    and self._upstream_answer.unread is not None
                ):
                    return await self._stream_answer()
                continue
            return _make_response(message, self._upstream_answer)

    def _report_caller_loss(self) -> None:
        # If the mailbox of routing is full, the message is dropped and the
        # request ends at its deadline.
        self._routing.put(events.CallerGone(self._info.request))

    async def _run_attempt(self, start: events.StartAttempt) -> None:
        ended, upstream_answer = await self._client.run_attempt(
            self._outgoing_request, start
        )
        self._upstream_answer = upstream_answer
        if upstream_answer is not None and upstream_answer.unread is not None:
            self._ended_attempt = ended
            return
        await self._report_attempt(ended, upstream_answer)

    async def _report_attempt(
        self,
        ended: events.AttemptEnded,
        upstream_answer: upstream_client.UpstreamAnswer | None,
    ) -> None:
        answer = None
        if upstream_answer is not None:
            answer = events.RecordedAnswer(
                upstream_answer.status,
                upstream_answer.headers,
                upstream_answer.body,
            )
        await self._routing.put_wait(dispatcher.AttemptReported(ended, answer))

    async def _stream_answer(self) -> web.StreamResponse:
        """Stream a long answer to the caller.

        If the upstream or the caller fails midway, the connection of the
        caller is aborted, so that a truncated answer is not taken as whole.
        """
        upstream_answer = self._upstream_answer
        response = web.StreamResponse(status=upstream_answer.status)
        _copy_headers(response, upstream_answer.headers)
        outcome = events.AttemptOutcome.CUT_STREAM
        try:
            async with asyncio.timeout_at(upstream_answer.read_deadline):
                await response.prepare(self._request)
                await response.write(upstream_answer.body)
                async for chunk in upstream_answer.unread.content.iter_any():
                    await response.write(chunk)
                outcome = events.AttemptOutcome.ANSWERED
                await response.write_eof()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            LOG.info(
                logs.format_event(
                    'answer_cut', request=self._info.request, error=error
                )
            )
            if self._request.transport is not None:
                self._request.transport.abort()
        finally:
            upstream_answer.unread.close()
        ended = events.AttemptEnded(
            self._ended_attempt.request,
            self._ended_attempt.upstream,
            outcome,
            upstream_answer.status,
            self._ended_attempt.duration_s,
        )
        await self._report_attempt(ended, None)
        return response


@functools.singledispatch
def _make_response(
    message: Any, upstream_answer: upstream_client.UpstreamAnswer | None
) -> web.StreamResponse:
    raise TypeError(f'unknown message {type(message).__name__}')


@_make_response.register
def _(
    message: events.Deliver,
    upstream_answer: upstream_client.UpstreamAnswer | None,
) -> web.StreamResponse:
    return _make_answer_response(
        upstream_answer.status, upstream_answer.headers, upstream_answer.body
    )


@_make_response.register
def _(
    message: events.Replay,
    upstream_answer: upstream_client.UpstreamAnswer | None,
) -> web.StreamResponse:
    answer = message.answer
    return _make_answer_response(answer.status, answer.headers, answer.body)


@_make_response.register
def _(
    message: events.Refuse,
    upstream_answer: upstream_client.UpstreamAnswer | None,
) -> web.StreamResponse:
    return frontend_web.make_failure(message.failure)


@functools.singledispatch
def _handle_message(message: Any, frontend: CallersFrontend) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: GetCallersMetrics, frontend: CallersFrontend) -> None:
    message.answer.resolve(Ok(frontend.get_metrics()))


@_handle_message.register
def _(
    message: subscriber.ConfigurationChanged, frontend: CallersFrontend
) -> None:
    frontend._route_table = table.RouteTable(message.document.services)


def _make_answer_response(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> web.Response:
    response = web.Response(status=status, body=body)
    _copy_headers(response, headers)
    return response


def _copy_headers(
    response: web.StreamResponse, headers: tuple[tuple[str, str], ...]
) -> None:
    response.headers.popall('Content-Type', None)
    for name, value in headers:
        response.headers.add(name, value)


def _get_forwarded_headers(
    request: web.BaseRequest,
) -> tuple[tuple[str, str], ...]:
    dropped = upstream_client.HOP_BY_HOP | _NOT_FORWARDED_HEADERS
    return tuple(
        (str(name), value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )


def _parse_idempotency_key(
    request: web.BaseRequest, is_idempotent: bool, now: float
) -> Result[
    tuple[ids.IdempotencyKey | None, ids.WallTime | None], errors.Failure
]:
    if is_idempotent:
        return Ok((None, None))
    text = request.headers.get(KEY_HEADER)
    if text is None:
        return _make_error(
            errors.ErrorKind.KEY_REQUIRED,
            'this operation is not idempotent; send the header '
            f'{KEY_HEADER}: <unix seconds>-<token>',
        )
    issued_at = operations.parse_issue_time(text)
    if issued_at is None or issued_at > now + MAX_KEY_AHEAD_S:
        return _make_error(
            errors.ErrorKind.KEY_INVALID,
            f'{KEY_HEADER} is not "<unix seconds>-<token>", or its time is in '
            'the future; a token has 8 to 64 letters, digits, "_" or "-"',
        )
    if issued_at <= now - claim_commands.CLAIM_RETENTION_S:
        return _make_error(
            errors.ErrorKind.KEY_EXPIRED,
            'the key is too old to determine whether its request ran',
        )
    return Ok((ids.IdempotencyKey(text), issued_at))


def _parse_deadline(
    request: web.BaseRequest, service: documents.Service
) -> Result[float, errors.Failure]:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return Ok(service.limits.default_deadline_s)
    deadline_ms = numbers.parse_count(text)
    if deadline_ms is None or not 0 < deadline_ms <= MAX_DEADLINE_MS:
        return _make_error(
            errors.ErrorKind.INVALID_REQUEST,
            f'{DEADLINE_HEADER} must be a number from 1 to {MAX_DEADLINE_MS}',
        )
    return Ok(deadline_ms / 1000)


def _parse_priority(
    request: web.BaseRequest,
) -> Result[states.Priority, errors.Failure]:
    text = request.headers.get(PRIORITY_HEADER, states.Priority.NORMAL.value)
    for priority in states.Priority:
        if priority.value == text:
            return Ok(priority)
    expected = ', '.join(priority.value for priority in states.Priority)
    return _make_error(
        errors.ErrorKind.INVALID_REQUEST,
        f'{PRIORITY_HEADER} must be one of: {expected}',
    )


def _get_request_digest(
    request: web.BaseRequest, service: documents.Service, body: bytes
) -> bytes:
    """Return a digest that detects a key reused for another request."""
    digest = hashlib.sha256()
    caller = request.headers.get(CALLER_HEADER, '')
    for part in (service.name, request.method, request.raw_path, caller):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(body)
    return digest.digest()[:DIGEST_BYTES]


def _make_refusal(kind: errors.ErrorKind, message: str) -> web.Response:
    return frontend_web.make_failure(errors.Failure(kind, message))


def _make_error(kind: errors.ErrorKind, message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(kind, message))
