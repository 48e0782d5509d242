"""HTTP connections whose peers are held to the limits of the process."""

import asyncio
from collections.abc import Callable
import http
import sys

import aiohttp
from aiohttp import http_parser
from aiohttp import web
from aiohttp import web_protocol

from orioleshore.intake import budget
from orioleshore.intake import gate as intake_gate
from orioleshore.model import addresses
from orioleshore.model import errors
from orioleshore.model import states

ERROR_HEADER = 'Orioleshore-Error'
RAN_HEADER = 'Orioleshore-Ran'

# A stream of a body is paused at twice this many bytes, or at one chunk for
# each 16 of them; each chunk takes up to 80 bytes besides its data.
READ_BUFFER_BYTES = 16_384
# Part of a chunked body that is parsed at once, in bytes.
CHUNKED_STEP_BYTES = 16_384
# A writer waits once this many bytes of answers are unread.
WRITE_BUFFER_BYTES = 16_384
MAX_LINE_BYTES = 16_384
# A peer that has sent more than this many bytes behind a queue of requests,
# whose number the HTTP library limits to 32, may be closed.
PIPELINE_BYTES = 16_384
BACKLOG = 1_024

_KINDS = {
    budget.Reason.CONNECTIONS: errors.ErrorKind.OVERLOADED,
    budget.Reason.MEMORY: errors.ErrorKind.OVERLOADED,
    budget.Reason.HEAD_TOO_LARGE: errors.ErrorKind.HEADERS_TOO_LARGE,
    budget.Reason.SLOW_HEAD: errors.ErrorKind.REQUEST_TOO_SLOW,
    budget.Reason.SLOW_BODY: errors.ErrorKind.REQUEST_TOO_SLOW,
}
# Reading a member from its class takes several times as long.
_IDLE = budget.Phase.IDLE
_HEAD = budget.Phase.HEAD
_BODY = budget.Phase.BODY
_PASSED_ON = budget.Phase.PASSED_ON
_PIPELINED = budget.Phase.PIPELINED
_ANSWERING = budget.Phase.ANSWERING
# Handlers read the whole body of these before they act on it.
_METHODS_WITH_BODY = frozenset({'POST', 'PUT'})


def make_raw_refusal(kind: errors.ErrorKind) -> bytes:
    """Return the bytes of an answer to a request that did not run."""
    answer = errors.ANSWERS[kind]
    if answer.ran is not states.Ran.NO:
        raise ValueError(f'{kind} does not state that nothing ran')
    status = http.HTTPStatus(answer.status)
    retry = 'Retry-After: 1\r\n' if answer.may_resend else ''
    return (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        f'{ERROR_HEADER}: {kind.value}\r\n'
        f'{RAN_HEADER}: {answer.ran.value}\r\n'
        f'{retry}Content-Length: 0\r\nConnection: close\r\n\r\n'
    ).encode()


class Connection(web.RequestHandler):
    """One connection of a peer to an HTTP address.

    It reports the bytes of incomplete and unanswered requests and of unread
    answers, and is closed when the gate decides so.
    """

    __slots__ = (
        '_gate',
        '_connection',
        '_head_limit',
        '_head_bytes',
        '_unread_bytes',
        '_framing_bytes',
        '_last_payload',
        '_is_chunked',
        '_is_malformed',
        '_pending',
        '_is_closed_early',
        '_answered_requests',
        '_reported',
    )

    def __init__(
        self, manager: web.Server, gate: intake_gate.Gate, **options
    ) -> None:
        options.setdefault('max_line_size', MAX_LINE_BYTES)
        options.setdefault('max_field_size', MAX_LINE_BYTES)
        super().__init__(manager, read_bufsize=READ_BUFFER_BYTES, **options)
        self._gate = gate
        self._connection = None
        self._head_limit = max(
            gate.limits.head_bytes, 2 * options['max_field_size']
        )
        # Bytes since the last whole head.
        self._head_bytes = 0
        # Bytes that have arrived while the parser is paused.
        self._pending: memoryview | None = None
        # Bytes that the parser keeps while it is paused.
        self._unread_bytes = 0
        # Bytes since the last byte of a body: chunk extensions and trailers.
        self._framing_bytes = 0
        self._last_payload: aiohttp.StreamReader | None = None
        self._is_chunked = False
        self._is_malformed = False
        self._is_closed_early = False
        self._answered_requests = 0
        # Phase and bytes as last reported.
        self._reported = (budget.Phase.IDLE, 0)

    def connection_made(self, transport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._connection = self._gate.open(self.close_early)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection."""
        self._gate.close(self._connection)
        super().connection_lost(exc)
        # The stream refers to this connection; the cycle would keep the body
        # until the next collection.
        self._last_payload = None
        self._pending = None

    def data_received(self, data: bytes) -> None:
        """Parse bytes as far as the limits allow, and report what is held.

        The parser resumes with an empty argument after a pause.
        """
        if self._is_closed_early or self._is_malformed:
            return
        if not data:
            if self._pending is None and not self._unread_bytes:
                # The HTTP library resumes after each body that was read.
                super().data_received(data)
                return
            # What the parser itself keeps comes before what is pending.
            self._parse(data)
        if self._pending is not None:
            data = bytes(self._pending) + data if data else self._pending
            self._pending = None
        while data and not self._is_malformed:
            if self._is_parser_paused():
                self._pending = memoryview(data)
                break
            step = self._get_step()
            if step >= len(data) and isinstance(data, bytes):
                piece, data = data, b''
            else:
                rest = memoryview(data)
                piece, data = bytes(rest[:step]), rest[step:]
            self._parse(piece)
            if not self._is_malformed and self._is_over_limit():
                self.close_early(budget.Reason.HEAD_TOO_LARGE)
                return
        self.report_holding()

    def report_holding(self) -> None:
        """Report to the gate what this connection holds."""
        held = self._head_bytes + self._framing_bytes
        held += self._unread_bytes
        if self._pending is not None:
            # A view keeps all bytes that were read with it.
            held += len(self._pending.obj)
        phase = _HEAD if self._head_bytes else _IDLE
        if self._request_count > self._answered_requests:
            phase = _PASSED_ON
            held += self._count_body_bytes()
        if not self._has_whole_body():
            phase = _BODY
        elif self._pending is not None and (
            len(self._pending) > PIPELINE_BYTES
        ):
            phase = _PIPELINED
        if self._paused and self.transport is not None:
            phase = _ANSWERING
            held += self.transport.get_write_buffer_size()
        if (phase, held) != self._reported:
            self._reported = (phase, held)
            self._gate.record(self._connection, phase, held)

    def pause_writing(self) -> None:
        """Report that the peer does not read its answers."""
        super().pause_writing()
        self.report_holding()

    def resume_writing(self) -> None:
        """Report that the peer reads again."""
        super().resume_writing()
        self.report_holding()

    async def _handle_request(self, request, start_time, request_handler):
        try:
            return await super()._handle_request(
                request, start_time, request_handler
            )
        except ConnectionError:
            # The task that awaits this one would keep the exception, whose
            # traceback refers to that task, until the next collection.
            return web.Response(), True
        finally:
            # The stream keeps its exception, whose traceback would keep the
            # frames of the handler and their copy of the body.
            error = request.content.exception()
            if error is not None:
                error.__traceback__ = None
            self._answered_requests += 1
            self.report_holding()

    def close_early(self, reason: budget.Reason) -> None:
        """Close the connection; say that nothing ran where this is true."""
        if self.transport is None or self._is_closed_early:
            return
        if reason is budget.Reason.UNREAD_ANSWER and self._has_progress():
            return
        self._is_closed_early = True
        self._gate.report(reason, self.peername)
        self._drop_unread_body()
        kind = _KINDS.get(reason)
        if kind is not None and self._can_refuse():
            self.transport.write(make_raw_refusal(kind))
            self.force_close()
            return
        transport = self.transport
        self.force_close()
        transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to malformed HTTP or to an unhandled error.

        The traceback of malformed HTTP is not logged.
        """
        if self.transport is None:
            raise ConnectionError('the connection is closed')
        if isinstance(exc, web_protocol.RequestPayloadError):
            status, message = 400, str(exc)
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        self._gate.report(budget.Reason.MALFORMED, self.peername)
        response = web.Response(status=status, text=message)
        response.force_close()
        return response

    def _parse(self, data: bytes) -> None:
        requests = self._request_count
        payload = self._last_payload
        body_bytes = payload.total_bytes if payload is not None else 0
        was_in_body = not self._has_whole_body()
        super().data_received(data)
        if self._is_parser_paused():
            self._unread_bytes += len(data)
        else:
            self._unread_bytes = 0
        if self._request_count != requests:
            self._note_request()
        elif self._unread_bytes:
            return
        elif not was_in_body:
            self._head_bytes += len(data)
        elif payload.total_bytes != body_bytes:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(data)

    def _count_body_bytes(self) -> int:
        """Return the bytes of the bodies of all unanswered requests."""
        count = sum(payload.total_bytes for _, payload in self._messages)
        if self._current_request is not None:
            return count + self._current_request.content.total_bytes
        if not self._messages and self._last_payload is not None:
            # The task of this request has not begun.
            return self._last_payload.total_bytes
        return count

    def _is_parser_paused(self) -> bool:
        return (
            self._reading_paused
            or len(self._messages) >= self._max_msg_queue_size
        )

    def _is_over_limit(self) -> bool:
        return max(self._head_bytes, self._framing_bytes) >= self._head_limit

    def _note_request(self) -> None:
        """Prepare for the body of the request whose head is now whole."""
        message, self._last_payload = self._messages[-1]
        self._head_bytes = self._framing_bytes = 0
        # Malformed HTTP is answered once; the parser would add an error for
        # each further piece.
        self._is_malformed = not isinstance(
            message, http_parser.RawRequestMessage
        )
        self._is_chunked = not self._is_malformed and message.chunked

    def _get_step(self) -> int:
        """Return how many bytes may be parsed before the next check."""
        if self._has_whole_body():
            return max(1, self._head_limit - self._head_bytes)
        return CHUNKED_STEP_BYTES if self._is_chunked else sys.maxsize

    def _has_whole_body(self) -> bool:
        payload = self._last_payload
        return payload is None or payload.is_eof()

    def _drop_unread_body(self) -> None:
        """Free the part of a body that no handler will read.

        Many connections can be closed before the loop runs their handlers,
        so their bytes must not stay until then.
        """
        self._pending = None
        payload = self._last_payload
        if payload is not None and not payload.is_eof():
            payload._buffer.clear()
            payload._size = 0
            # Wakes the handler, which holds the rest of the body.
            payload.set_exception(ConnectionResetError('closed for a limit'))

    def _has_progress(self) -> bool:
        """Report again; return whether the peer has read something.

        The transport tells only when the peer has read nearly all.
        """
        reported = self._reported
        self.report_holding()
        return self._reported != reported

    def _can_refuse(self) -> bool:
        """Return whether nothing ran of what an answer would refer to."""
        if self._messages or self.transport.get_write_buffer_size():
            return False
        request = self._current_request
        if request is None:
            return self._head_bytes > 0
        return (
            request.method in _METHODS_WITH_BODY
            and not self._has_whole_body()
            and request.writer.output_size == 0
        )


class _GuardedSite(web.TCPSite):
    """A listening socket whose connections are made by ``factory``."""

    def __init__(self, runner, host, port, factory, **options) -> None:
        super().__init__(runner, host, port, **options)
        self._factory = factory

    async def start(self) -> None:
        await web.BaseSite.start(self)
        self._server = await asyncio.get_running_loop().create_server(
            self._factory, self._host, self._port, backlog=self._backlog
        )


async def start_site(
    runner: web.BaseRunner,
    address: str,
    factory: Callable[[], Connection],
) -> str:
    """Listen on "IP:port"; return the address with the assigned port."""
    host, port = addresses.parse_listening_address(address)
    site = _GuardedSite(runner, host, port, factory, backlog=BACKLOG)
    await site.start()
    return f'{host}:{runner.addresses[0][1]}'
