"""HTTP client that runs attempts of requests at upstreams."""

import asyncio
import time

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from orioleshore.frontends import web as frontend_web
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.routing import events

# TCP retransmits a lost SYN after 1 s, and that retransmission must still
# succeed.
CONNECT_TIMEOUT_S = 1.5
# Bounds the memory for upstreams that no longer exist.
MAX_ECHOING_UPSTREAMS = 65_536

# Headers that apply to a single connection: RFC 9110, section 7.6.1.
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

# Removed from answers, so that an upstream cannot forge the headers of the
# entry host.
_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        frontend_web.ERROR_HEADER,
        frontend_web.RAN_HEADER,
        frontend_web.REQUEST_HEADER,
    )
)


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request as it is sent to an upstream."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class UpstreamAnswer(msgspec.Struct):
    """An answer of an upstream.

    ``unread`` is the response of a long answer whose rest is not read yet;
    ``body`` then holds the start. It has to be read by ``read_deadline``, in
    seconds of the clock of the event loop.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    unread: aiohttp.ClientResponse | None = None
    read_deadline: float = 0.0


class BrokenConnectionError(aiohttp.ClientError):
    """A connection ended before the answer; the request may have run."""


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending a request on its own.

    It resends GET, PUT, DELETE and some other methods when a connection
    breaks before the answer, which could run a request twice.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenConnectionError(str(error)) from error


class UpstreamClient:
    """Owns the connections to the upstreams.

    A request that is not idempotent gets a new connection, because the
    closing of a reused one may show only after the request was written.
    Connections are reused only to upstreams that echo the id of the attempt
    in their answers. On a reused connection, an answer without the id may
    be a late answer to an earlier request, so it counts as mismatched.
    """

    def __init__(self, buffer_bytes: int) -> None:
        self._buffer_bytes = buffer_bytes
        self._reusing_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None
        self._echoing_upstreams: set[ids.UpstreamId] = set()

    async def open(self) -> None:
        """Create the client sessions in the running event loop."""
        self._reusing_session = _create_session(force_close=False)
        self._single_use_session = _create_session(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._reusing_session, self._single_use_session):
            if session is not None:
                await session.close()

    async def run_attempt(
        self, outgoing_request: OutgoingRequest, start: events.StartAttempt
    ) -> tuple[events.AttemptEnded, UpstreamAnswer | None]:
        """Send a request and read its answer, or the start of a long one.

        The answer is None unless the outcome is ``ANSWERED``.
        """
        began = time.monotonic()
        outcome, answer = await self._run_with_timeout(outgoing_request, start)
        ended = events.AttemptEnded(
            start.request,
            start.upstream,
            outcome,
            answer.status if answer else 0,
            time.monotonic() - began,
        )
        return ended, answer

    async def _run_with_timeout(
        self, outgoing_request: OutgoingRequest, start: events.StartAttempt
    ) -> tuple[events.AttemptOutcome, UpstreamAnswer | None]:
        try:
            async with asyncio.timeout(max(0.0, start.timeout_s)):
                return await self._send_request(outgoing_request, start)
        except aiohttp.ClientConnectorError:
            return events.AttemptOutcome.UNREACHABLE, None
        except aiohttp.ConnectionTimeoutError:
            return events.AttemptOutcome.UNREACHABLE, None
        except TimeoutError:
            return events.AttemptOutcome.TIMED_OUT, None
        except aiohttp.ClientPayloadError:
            return events.AttemptOutcome.TRUNCATED, None
        except (aiohttp.ClientError, OSError, ValueError):
            return events.AttemptOutcome.FAILED, None

    async def _send_request(
        self, outgoing_request: OutgoingRequest, start: events.StartAttempt
    ) -> tuple[events.AttemptOutcome, UpstreamAnswer | None]:
        read_deadline = asyncio.get_running_loop().time() + start.timeout_s
        is_reused = (
            start.can_keep_alive and start.upstream in self._echoing_upstreams
        )
        session = (
            self._reusing_session if is_reused else self._single_use_session
        )
        headers = CIMultiDict(outgoing_request.headers)
        attempt_id = f'{start.request}.{start.attempt}'
        headers[frontend_web.REQUEST_HEADER] = attempt_id
        response = await session.request(
            outgoing_request.method,
            URL(
                f'http://{start.upstream}{outgoing_request.path}', encoded=True
            ),
            headers=headers,
            data=outgoing_request.body or None,
            allow_redirects=False,
        )
        try:
            echoed_id = response.headers.get(frontend_web.REQUEST_HEADER)
            self._record_echo(start.upstream, echoed_id)
            problem = _find_problem(response, echoed_id, attempt_id, is_reused)
            if problem is not None:
                response.close()
                return problem, None
            outcome, answer = await self._read_answer(response)
            answer.read_deadline = read_deadline
            return outcome, answer
        except BaseException:
            response.close()
            raise

    def _record_echo(
        self, upstream: ids.UpstreamId, echoed_id: str | None
    ) -> None:
        if echoed_id is None:
            self._echoing_upstreams.discard(upstream)
        elif len(self._echoing_upstreams) < MAX_ECHOING_UPSTREAMS:
            self._echoing_upstreams.add(upstream)

    async def _read_answer(
        self, response: aiohttp.ClientResponse
    ) -> tuple[events.AttemptOutcome, UpstreamAnswer]:
        body = bytearray()
        headers = _get_end_to_end_headers(response)
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._buffer_bytes:
                answer = UpstreamAnswer(
                    response.status, headers, bytes(body), response
                )
                return events.AttemptOutcome.ANSWERED, answer
        answer = UpstreamAnswer(response.status, headers, bytes(body))
        return events.AttemptOutcome.ANSWERED, answer


def _create_session(force_close: bool) -> aiohttp.ClientSession:
    options = {} if force_close else {'keepalive_timeout': 15.0}
    connector = aiohttp.TCPConnector(
        limit=0, force_close=force_close, **options
    )
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(prevent_resend,),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
    )


def _find_problem(
    response: aiohttp.ClientResponse,
    echoed_id: str | None,
    attempt_id: str,
    is_reused: bool,
) -> events.AttemptOutcome | None:
    if echoed_id is None and is_reused:
        return events.AttemptOutcome.MISMATCHED
    if echoed_id is not None and echoed_id != attempt_id:
        return events.AttemptOutcome.MISMATCHED
    if _is_refusal(response):
        return events.AttemptOutcome.REFUSED
    if not _has_detectable_end(response):
        return events.AttemptOutcome.TRUNCATED
    return None


def _has_detectable_end(response: aiohttp.ClientResponse) -> bool:
    """Return whether the truncation of an answer can be detected.

    An answer that is delimited by the close of its connection looks whole
    when it is truncated.
    """
    if response.method == 'HEAD' or response.status in (204, 304):
        return True
    if 'Content-Length' in response.headers:
        return True
    coding = response.headers.get('Transfer-Encoding', '')
    return coding.lower().endswith('chunked')


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether the upstream states that it did not run the request."""
    ran = response.headers.get(frontend_web.RAN_HEADER)
    return response.status == 503 and ran == states.Ran.NO.value


def _get_end_to_end_headers(
    response: aiohttp.ClientResponse,
) -> tuple[tuple[str, str], ...]:
    dropped = HOP_BY_HOP | _RESERVED_HEADERS
    if response.method != 'HEAD':
        dropped |= {'content-length'}
    return tuple(
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() not in dropped
    )
