"""HTTP front end of the callers."""

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
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
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
EXCHANGE_CAPACITY = 8
DIGEST_BYTES = 16
MAX_DEADLINE_MS = 86_400_000
MAX_CALLER_LENGTH = 128
# A key may be this many seconds ahead of the clock of the entry host.
MAX_KEY_AHEAD_S = 300.0

KEY_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'Orioleshore-Deadline-Ms'
CALLER_HEADER = 'Orioleshore-Caller'
PRIORITY_HEADER = 'Orioleshore-Priority'

_OWN_HEADERS = frozenset(
    {
        'content-length',
        # The body is read whole before an upstream sees the request.
        'expect',
        DEADLINE_HEADER.lower(),
        CALLER_HEADER.lower(),
        PRIORITY_HEADER.lower(),
        frontend_web.REQUEST_HEADER.lower(),
    }
)


_ERROR_KINDS = frozenset(kind.value for kind in errors.ErrorKind)


class GetCallersFigures(msgspec.Struct, frozen=True):
    """Asks for the numbers that monitoring follows."""

    answer: reply.Reply


class CallersFrontend(task.Task):
    """Owns the callers' connections and those to the upstreams."""

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
        self._table: table.RouteTable | None = None
        self._client = upstream_client.UpstreamClient(
            limits.answer_buffer_bytes
        )
        self._listener = caller_server.CallerListener(
            address, limits, self._serve
        )

    @property
    def address(self) -> str:
        return self._listener.address

    async def open(self) -> None:
        """Listen for callers."""
        await self._client.open()
        await self._listener.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._listener.stop()
        await self._client.close()

    async def handle(self, message: Any) -> None:
        """Take a newer configuration."""
        _take(message, self)

    def get_figures(self) -> dict[str, Any]:
        """Return how many requests were not answered by an upstream."""
        return {'refusals': dict(sorted(self._refusals.items()))}

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._answer(request)
        error = response.headers.get(frontend_web.ERROR_HEADER)
        # An upstream may send the header with a value of its own.
        if error in _ERROR_KINDS:
            self._refusals[error] += 1
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._table is None:
            return _refuse(
                errors.ErrorKind.NOT_READY,
                'this entry host has no configuration yet',
            )
        service = self._table.find(request.host, request.path)
        if service is None:
            return _refuse(
                errors.ErrorKind.UNKNOWN_SERVICE,
                'no service is reached by this host name or path',
            )
        outcome = await self._read(request, service)
        if outcome.is_err():
            return frontend_web.make_failure(outcome.unwrap_err())
        info, outgoing = outcome.unwrap()
        exchange: mailbox.Mailbox = mailbox.Mailbox(
            f'request {info.request}', EXCHANGE_CAPACITY
        )
        opened = self._routing.put(dispatcher.RequestOpened(info, exchange))
        if opened.is_err():
            return frontend_web.make_failure(opened.unwrap_err())
        return await _Exchange(
            request, info, outgoing, exchange, self._routing, self._client
        ).run()

    async def _read(
        self, request: web.BaseRequest, service: documents.Service
    ) -> Result[
        tuple[events.RequestInfo, upstream_client.Outgoing], errors.Failure
    ]:
        problem = self._check_headers(request)
        if problem is not None:
            return Err(problem)
        body = await self._read_body(request, service)
        if body.is_err():
            return body
        info = self._get_info(request, service, body.unwrap())
        if info.is_err():
            return info
        outgoing = upstream_client.Outgoing(
            request.method,
            request.raw_path,
            _get_forwarded_headers(request),
            body.unwrap(),
        )
        return Ok((info.unwrap(), outgoing))

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
                        return _fail(
                            errors.ErrorKind.REQUEST_TOO_LARGE,
                            f'a body has at most {limit} bytes',
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
            return _fail(
                errors.ErrorKind.INVALID_REQUEST, f'malformed body: {error}'
            )
        return Ok(bytes(body))

    def _get_info(
        self, request: web.BaseRequest, service: documents.Service, body: bytes
    ) -> Result[events.RequestInfo, errors.Failure]:
        idempotent = table.is_idempotent(service, request.method, request.path)
        key = _parse_key(request, idempotent, self._clock.get_wall())
        if key.is_err():
            return key
        deadline_s = _parse_deadline(request, service)
        if deadline_s.is_err():
            return deadline_s
        priority = _parse_priority(request)
        if priority.is_err():
            return priority
        caller = request.headers.get(CALLER_HEADER, request.remote or '')
        identifier, issued = key.unwrap()
        return Ok(
            events.RequestInfo(
                ids.RequestId(uuid.uuid4().hex),
                service.name,
                ids.CallerId(caller[:MAX_CALLER_LENGTH]),
                priority.unwrap(),
                self._clock.get_monotonic() + deadline_s.unwrap(),
                idempotent,
                identifier,
                issued,
                _get_digest(request, service, body),
            )
        )


class _Exchange:
    """Serves one request: carries out what routing decides about it."""

    def __init__(
        self,
        request: web.BaseRequest,
        info: events.RequestInfo,
        outgoing: upstream_client.Outgoing,
        exchange: mailbox.Mailbox,
        routing: mailbox.Mailbox,
        client: upstream_client.UpstreamClient,
    ) -> None:
        self._request = request
        self._info = info
        self._outgoing = outgoing
        self._mailbox = exchange
        self._routing = routing
        self._client = client
        self._incoming: upstream_client.Incoming | None = None
        self._ended: events.AttemptEnded | None = None

    async def run(self) -> web.StreamResponse:
        """Return the one answer to the caller."""
        self._request.protocol.watch(self._report_loss)
        while True:
            message = await self._mailbox.get()
            if isinstance(message, events.StartAttempt):
                await self._attempt(message)
                if self._incoming and self._incoming.rest is not None:
                    return await self._stream()
                continue
            return _make_response(message, self._incoming)

    def _report_loss(self) -> None:
        # When the mailbox is full, the deadline ends the request instead.
        self._routing.put(events.CallerGone(self._info.request))

    async def _attempt(self, start: events.StartAttempt) -> None:
        ended, incoming = await self._client.run(self._outgoing, start)
        self._incoming = incoming
        if incoming is not None and incoming.rest is not None:
            self._ended = ended
            return
        await self._report(ended, incoming)

    async def _report(
        self,
        ended: events.AttemptEnded,
        incoming: upstream_client.Incoming | None,
    ) -> None:
        answer = None
        if incoming is not None:
            answer = events.RecordedAnswer(
                incoming.status, incoming.headers, incoming.body
            )
        await self._routing.put_wait(dispatcher.AnswerArrived(ended, answer))

    async def _stream(self) -> web.StreamResponse:
        """Pass a long answer on; a cut one aborts the connection."""
        incoming = self._incoming
        response = web.StreamResponse(status=incoming.status)
        _copy_headers(response, incoming.headers)
        outcome = events.AttemptOutcome.CUT_STREAM
        try:
            async with asyncio.timeout_at(incoming.read_until):
                await response.prepare(self._request)
                await response.write(incoming.body)
                async for chunk in incoming.rest.content.iter_any():
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
            incoming.rest.close()
        ended = events.AttemptEnded(
            self._ended.request,
            self._ended.upstream,
            outcome,
            incoming.status,
            self._ended.duration_s,
        )
        await self._report(ended, None)
        return response


@functools.singledispatch
def _make_response(
    message: Any, incoming: upstream_client.Incoming | None
) -> web.StreamResponse:
    raise TypeError(f'unknown message {type(message).__name__}')


@_make_response.register
def _(
    message: events.Deliver, incoming: upstream_client.Incoming | None
) -> web.StreamResponse:
    return _make_copy(incoming.status, incoming.headers, incoming.body)


@_make_response.register
def _(
    message: events.Replay, incoming: upstream_client.Incoming | None
) -> web.StreamResponse:
    answer = message.answer
    return _make_copy(answer.status, answer.headers, answer.body)


@_make_response.register
def _(
    message: events.Refuse, incoming: upstream_client.Incoming | None
) -> web.StreamResponse:
    return frontend_web.make_failure(message.failure)


@functools.singledispatch
def _take(message: Any, frontend: CallersFrontend) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_take.register
def _(message: GetCallersFigures, frontend: CallersFrontend) -> None:
    message.answer.resolve(Ok(frontend.get_figures()))


@_take.register
def _(
    message: subscriber.ConfigurationChanged, frontend: CallersFrontend
) -> None:
    frontend._table = table.RouteTable(message.document.services)


def _make_copy(
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
    dropped = upstream_client.HOP_BY_HOP | _OWN_HEADERS
    return tuple(
        (str(name), value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )


def _parse_key(
    request: web.BaseRequest, idempotent: bool, now: float
) -> Result[
    tuple[ids.IdempotencyKey | None, ids.WallTime | None], errors.Failure
]:
    if idempotent:
        return Ok((None, None))
    text = request.headers.get(KEY_HEADER)
    if text is None:
        return _fail(
            errors.ErrorKind.KEY_REQUIRED,
            'this operation is not idempotent; send the header '
            f'{KEY_HEADER}: <unix seconds>-<token>',
        )
    issued = operations.parse_issue_time(text)
    if issued is None or issued > now + MAX_KEY_AHEAD_S:
        return _fail(
            errors.ErrorKind.KEY_INVALID,
            f'{KEY_HEADER} is not "<unix seconds>-<token>", or lies in the '
            'future; a token has 8 to 64 letters, digits, "_" or "-"',
        )
    if issued <= now - claim_commands.CLAIM_RETENTION_S:
        return _fail(
            errors.ErrorKind.KEY_EXPIRED,
            'the key is too old to tell whether its request ran',
        )
    return Ok((ids.IdempotencyKey(text), issued))


def _parse_deadline(
    request: web.BaseRequest, service: documents.Service
) -> Result[float, errors.Failure]:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return Ok(service.limits.default_deadline_s)
    if not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_MS:
        return _fail(
            errors.ErrorKind.INVALID_REQUEST,
            f'{DEADLINE_HEADER} is a number from 1 to {MAX_DEADLINE_MS}',
        )
    return Ok(int(text) / 1000)


def _parse_priority(
    request: web.BaseRequest,
) -> Result[states.Priority, errors.Failure]:
    text = request.headers.get(PRIORITY_HEADER, states.Priority.NORMAL.value)
    for priority in states.Priority:
        if priority.value == text:
            return Ok(priority)
    expected = ', '.join(priority.value for priority in states.Priority)
    return _fail(
        errors.ErrorKind.INVALID_REQUEST,
        f'{PRIORITY_HEADER} is one of: {expected}',
    )


def _get_digest(
    request: web.BaseRequest, service: documents.Service, body: bytes
) -> bytes:
    """Return what tells two requests under one key apart."""
    digest = hashlib.sha256()
    caller = request.headers.get(CALLER_HEADER, '')
    for part in (service.name, request.method, request.raw_path, caller):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(body)
    return digest.digest()[:DIGEST_BYTES]


def _refuse(kind: errors.ErrorKind, message: str) -> web.Response:
    return frontend_web.make_failure(errors.Failure(kind, message))


def _fail(kind: errors.ErrorKind, message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(kind, message))
