"""HTTP server for callers, who submit jobs and query their states."""

import asyncio
import logging
import time

from aiohttp import web
from result import Result

from orioleshore.frontends import web as frontend_web
from orioleshore.jobs import calls
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import numbers
from orioleshore.platform import forwarding
from orioleshore.platform import wire
from orioleshore.telemetry import latencies
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

MS_PER_S = 1_000.0
KEY_SCHEME = 'bearer'
# Deadline of a request without the header Timeout-Ms.
DEFAULT_TIMEOUT_S = 3.0
# Share of the caller's deadline after which a call is abandoned, so that the
# response arrives in time.
TIMEOUT_SHARE = 0.8
# Longest wait for a leader; an election takes 0.6 to 0.9 s.
MAX_TIMEOUT_S = 2.0
# After a planned stop begins, the balancer needs two readiness checks, one per
# second, before it sends no more connections.
BALANCER_NOTICE_S = 2.3


class FrontServer(frontend_web.ListeningTask):
    """Owns the connections of callers."""

    def __init__(
        self,
        address: str,
        forwarder: forwarding.CallForwarder,
        recorder: latencies.Recorder,
    ) -> None:
        super().__init__('platform-front')
        self._recorder = recorder
        self._forwarder = forwarder
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_stopping = False
        self.configure_listener(address, web.Server(self._serve_request))

    @property
    def is_stopping(self) -> bool:
        """Return whether the balancer must use another host."""
        return self._is_stopping

    async def drain(self, limit_s: float) -> None:
        """Serve until the balancer has noticed and no request is open.

        ``limit_s`` is the maximum time in seconds.
        """
        self._is_stopping = True
        notice_s = min(BALANCER_NOTICE_S, limit_s)
        await asyncio.sleep(notice_s)
        try:
            async with asyncio.timeout(limit_s - notice_s):
                await self._idle.wait()
        except TimeoutError:
            LOG.warning(
                logs.format_event('drain_given_up', in_flight=self._in_flight)
            )

    async def _serve_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        self._in_flight += 1
        self._idle.clear()
        started_at = time.monotonic()
        try:
            response = await self._answer_request(request)
            self._recorder.observe(
                'request_seconds',
                time.monotonic() - started_at,
                method=request.method,
                status=str(response.status),
            )
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()
        if self._is_stopping:
            response.force_close()
        return response

    async def _answer_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        host = request.headers.get('Host', '').partition(':')[0]
        path = request.path
        try:
            call = await self._make_call(request, host, path)
        except (OverflowError, ValueError) as error:
            return self._refuse_request(request, str(error))
        if call is None:
            return self._refuse_request(request, f'method {request.method}')
        outcome = await self._forwarder.forward(call, _get_timeout(request))
        if outcome.is_err():
            self._log_failure(request, outcome)
            return forwarding.make_failure(outcome.unwrap_err())
        return forwarding.make_success(
            wire.encode_job_answer(outcome.unwrap())
        )

    async def _make_call(
        self, request: web.BaseRequest, host: str, path: str
    ) -> calls.Call | None:
        key = read_key(request.headers.get('Authorization', ''))
        if request.method == 'POST':
            job = wire.decode_job(await request.read())
            return calls.SubmitJob(host, path, job, key)
        if request.method == 'GET':
            return calls.GetJob(host, path, key)
        if request.method == 'DELETE':
            return calls.CancelJob(host, path, key)
        return None

    def _refuse_request(
        self, request: web.BaseRequest, reason: str
    ) -> web.Response:
        LOG.warning(
            logs.format_event(
                'request_unreadable',
                method=request.method,
                path=request.path,
                peer=request.remote,
                error=reason,
            )
        )
        return forwarding.make_refusal(
            errors.ErrorKind.INVALID_REQUEST, reason
        )

    def _log_failure(self, request: web.BaseRequest, outcome: Result) -> None:
        failure = outcome.unwrap_err()
        LOG.info(
            logs.format_event(
                'request_failed',
                method=request.method,
                path=request.path,
                error=failure.kind,
                reason=failure.message,
                status=failure.answer.status,
                retry_after_s=failure.retry_after_s,
            )
        )


class ReadinessServer(frontend_web.ListeningTask):
    """Answers the balancer's readiness checks: 200, or 503 when stopping."""

    def __init__(self, address: str, front: FrontServer) -> None:
        super().__init__('platform-readiness')
        self._front = front
        self.configure_listener(address, web.Server(self._serve_request))

    async def _serve_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if self._front.is_stopping:
            return forwarding.make_refusal(
                errors.ErrorKind.STOPPING, 'stopping'
            )
        return forwarding.make_success()


def read_key(header: str) -> ids.ApiKey:
    """Return the key in an Authorization header, empty if there is none.

    Bytes that are not ASCII have no encoding between processes, and no key
    contains them.
    """
    scheme, _, key = header.partition(' ')
    is_key = scheme.lower() == KEY_SCHEME and key.isascii()
    return ids.ApiKey(key.strip() if is_key else '')


def _get_timeout(request: web.BaseRequest) -> float:
    timeout_ms = numbers.parse_count(request.headers.get('Timeout-Ms', ''))
    timeout_s = DEFAULT_TIMEOUT_S
    if timeout_ms is not None:
        timeout_s = timeout_ms / MS_PER_S
    return min(MAX_TIMEOUT_S, TIMEOUT_SHARE * timeout_s)
