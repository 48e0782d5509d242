"""HTTP server for callers, with its own answers to malformed HTTP."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

from aiohttp import http_exceptions
from aiohttp import web

from orioleshore import settings
from orioleshore.frontends import connections
from orioleshore.frontends import web as frontend_web
from orioleshore.intake import gate as intake_gate
from orioleshore.intake import limits as intake_limits
from orioleshore.model import errors
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

KEEP_ALIVE_S = 75.0
# Time to write the last answers during a shutdown.
ANSWER_WRITE_TIMEOUT_S = 2.0
# Time to read and discard the rest of a refused body, so that its caller
# receives the answer before the connection is reset.
LINGER_S = 1.0

_ServeCallback = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_TOO_SLOW_RESPONSE = connections.make_raw_refusal(
    errors.ErrorKind.REQUEST_TOO_SLOW
)


class CallerConnection(connections.Connection):
    """One connection of a caller.

    A caller that does not send a complete request head in time is
    disconnected, so that slow senders cannot exhaust the connections.
    """

    __slots__ = ('_head_timer', '_header_bytes', '_head_timeout_s', '_on_lost')

    def __init__(
        self,
        manager: web.Server,
        gate: intake_gate.Gate,
        limits: settings.Entry,
        **options,
    ) -> None:
        super().__init__(manager, gate, **options)
        self._header_bytes = limits.header_bytes
        self._head_timeout_s = limits.body_timeout_s
        self._head_timer = None
        self._on_lost: Callable[[], None] | None = None

    def set_loss_callback(self, on_lost: Callable[[], None]) -> None:
        """Set the function to call if the caller disconnects early.

        It applies to the request in progress.
        """
        self._on_lost = on_lost

    def clear_callbacks(self) -> None:
        """Cancel the timeout for the head and clear the loss callback."""
        self._on_lost = None
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def connection_made(self, transport) -> None:
        """Start the timeout for the head of the first request."""
        super().connection_made(transport)
        self._head_timer = self._loop.call_later(
            self._head_timeout_s, self._refuse_slow_request
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Call the loss callback of the request in progress."""
        on_lost = self._on_lost
        self.clear_callbacks()
        super().connection_lost(exc)
        if on_lost is not None:
            on_lost()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to malformed HTTP or to an unhandled exception."""
        if request.writer.output_size > 0:
            raise ConnectionError('an answer is already in progress')
        failure = self._make_protocol_failure(status, exc)
        LOG.info(
            logs.format_event(
                'request_refused', error=failure.kind, reason=exc
            ),
            exc_info=exc if status >= 500 else None,
        )
        response = frontend_web.make_failure(failure)
        response.force_close()
        return response

    def _make_protocol_failure(
        self, status: int, error: BaseException | None
    ) -> errors.Failure:
        if status >= 500:
            return errors.Failure(
                errors.ErrorKind.INTERNAL,
                'the request failed with an internal error',
            )
        if isinstance(error, http_exceptions.LineTooLong) or (
            'Too many headers' in str(error)
        ):
            return errors.Failure(
                errors.ErrorKind.HEADERS_TOO_LARGE,
                f'at most {self._header_bytes} bytes of headers are accepted',
            )
        return errors.Failure(
            errors.ErrorKind.INVALID_REQUEST, 'the request is malformed HTTP'
        )

    def _refuse_slow_request(self) -> None:
        if self.transport is not None:
            self.transport.write(_TOO_SLOW_RESPONSE)
            self.transport.close()


class _CallerRequest(web.BaseRequest):
    async def _prepare_hook(self, response: web.StreamResponse) -> None:
        await frontend_web.remove_server_header(self, response)


class _CallerServer(web.Server):
    def __init__(
        self,
        serve: _ServeCallback,
        limits: settings.Entry,
        gate: intake_gate.Gate,
    ) -> None:
        super().__init__(
            self._begin_request, request_factory=self._make_caller_request
        )
        self._gate = gate
        self._serve = serve
        self._limits = limits

    def __call__(self) -> CallerConnection:
        return CallerConnection(
            self,
            self._gate,
            self._limits,
            loop=self._loop,
            keepalive_timeout=KEEP_ALIVE_S,
            access_log=None,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            lingering_time=LINGER_S,
            # Bodies are forwarded unchanged.
            auto_decompress=False,
        )

    async def _begin_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        request.protocol.clear_callbacks()
        return await self._serve(request)

    def _make_caller_request(
        self, message, payload, protocol, writer, task
    ) -> _CallerRequest:
        return _CallerRequest(
            message, payload, protocol, writer, task, self._loop
        )


class CallerListener:
    """Accepts connections of callers and serves requests.

    ``serve`` is called once the head of a request is complete.
    """

    def __init__(
        self, address: str, limits: settings.Entry, serve: _ServeCallback
    ) -> None:
        self._address = address
        self._limits = limits
        self._serve = serve
        self._gate: intake_gate.Gate | None = None
        self._runner: web.ServerRunner | None = None

    @property
    def address(self) -> str:
        return self._address

    def set_gate(self, gate: intake_gate.Gate) -> None:
        """Hold connections to the limits of a process."""
        self._gate = gate

    async def start(self) -> None:
        """Listen; port 0 is replaced by the port that the kernel assigned."""
        gate = self._gate or intake_limits.make_default_gate()
        server = _CallerServer(self._serve, self._limits, gate)
        self._runner = web.ServerRunner(
            server,
            # Requests whose body is still arriving or whose answer is still
            # being written are completed.
            shutdown_timeout=self._limits.body_timeout_s
            + ANSWER_WRITE_TIMEOUT_S,
        )
        await self._runner.setup()
        self._address = await connections.start_site(
            self._runner, self._address, server
        )

    async def stop(self) -> None:
        """Close the listening socket and the connections."""
        if self._runner is not None:
            await self._runner.cleanup()
