"""Runs one attempt of a request at an upstream."""

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

# A lost first packet is sent again after 1 s, which must not fail.
CONNECT_TIMEOUT_S = 1.5
# Bounds what is remembered about upstreams that are long gone.
MAX_NAMING = 65_536

# RFC 9110, section 7.6.1: these concern one connection only.
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

# An upstream must not be able to forge what the entry host says itself.
_PRODUCT_HEADERS = frozenset(
    name.lower()
    for name in (
        frontend_web.ERROR_HEADER,
        frontend_web.RAN_HEADER,
        frontend_web.REQUEST_HEADER,
    )
)


class Outgoing(msgspec.Struct, frozen=True):
    """The request as it is sent to an upstream."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Incoming(msgspec.Struct):
    """The answer of an upstream.

    ``rest`` is set while a long answer is still being read, until
    ``read_until`` in the time of the event loop.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: aiohttp.ClientResponse | None = None
    read_until: float = 0.0


class BrokenConnectionError(aiohttp.ClientError):
    """A connection ended before its answer; the request may have run."""


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request again by itself.

    It repeats GET, PUT, DELETE and some others when a connection breaks
    before the answer, which could run a request twice.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenConnectionError(str(error)) from error


class UpstreamClient:
    """Owns the connections to the upstreams.

    A request that is not idempotent gets a new connection, because a kept
    one may turn out to be closed only after the request was written.
    Connections are kept only to upstreams that name the request in their
    answers. On a kept one, an answer without a name may be a late answer to
    an earlier request, so it counts as mismatched.
    """

    def __init__(self, buffer_bytes: int) -> None:
        self._buffer_bytes = buffer_bytes
        self._reusing: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None
        self._naming: set[ids.UpstreamId] = set()

    async def open(self) -> None:
        """Create the sessions in the running loop."""
        self._reusing = _create_session(force_close=False)
        self._single_use = _create_session(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._reusing, self._single_use):
            if session is not None:
                await session.close()

    async def run(
        self, outgoing: Outgoing, start: events.StartAttempt
    ) -> tuple[events.AttemptEnded, Incoming | None]:
        """Send a request and read its answer, or the start of a long one."""
        began = time.monotonic()
        outcome, incoming = await self._try(outgoing, start)
        ended = events.AttemptEnded(
            start.request,
            start.upstream,
            outcome,
            incoming.status if incoming else 0,
            time.monotonic() - began,
        )
        return ended, incoming

    async def _try(
        self, outgoing: Outgoing, start: events.StartAttempt
    ) -> tuple[events.AttemptOutcome, Incoming | None]:
        try:
            async with asyncio.timeout(max(0.0, start.timeout_s)):
                return await self._exchange(outgoing, start)
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

    async def _exchange(
        self, outgoing: Outgoing, start: events.StartAttempt
    ) -> tuple[events.AttemptOutcome, Incoming | None]:
        read_until = asyncio.get_running_loop().time() + start.timeout_s
        is_kept = start.can_keep_alive and start.upstream in self._naming
        session = self._reusing if is_kept else self._single_use
        headers = CIMultiDict(outgoing.headers)
        identity = f'{start.request}.{start.attempt}'
        headers[frontend_web.REQUEST_HEADER] = identity
        response = await session.request(
            outgoing.method,
            URL(f'http://{start.upstream}{outgoing.path}', encoded=True),
            headers=headers,
            data=outgoing.body or None,
            allow_redirects=False,
        )
        try:
            echo = response.headers.get(frontend_web.REQUEST_HEADER)
            self._note_naming(start.upstream, echo)
            problem = _find_problem(response, echo, identity, is_kept)
            if problem is not None:
                response.close()
                return problem, None
            outcome, incoming = await self._read(response)
            incoming.read_until = read_until
            return outcome, incoming
        except BaseException:
            response.close()
            raise

    def _note_naming(self, upstream: ids.UpstreamId, echo: str | None) -> None:
        if echo is None:
            self._naming.discard(upstream)
        elif len(self._naming) < MAX_NAMING:
            self._naming.add(upstream)

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> tuple[events.AttemptOutcome, Incoming]:
        body = bytearray()
        headers = _get_end_to_end(response)
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._buffer_bytes:
                incoming = Incoming(
                    response.status, headers, bytes(body), response
                )
                return events.AttemptOutcome.ANSWERED, incoming
        incoming = Incoming(response.status, headers, bytes(body))
        return events.AttemptOutcome.ANSWERED, incoming


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
    echo: str | None,
    identity: str,
    is_kept: bool,
) -> events.AttemptOutcome | None:
    if echo is None and is_kept:
        return events.AttemptOutcome.MISMATCHED
    if echo is not None and echo != identity:
        return events.AttemptOutcome.MISMATCHED
    if _is_refusal(response):
        return events.AttemptOutcome.REFUSED
    if not _has_visible_end(response):
        return events.AttemptOutcome.TRUNCATED
    return None


def _has_visible_end(response: aiohttp.ClientResponse) -> bool:
    """Return whether a cut answer can be told from a whole one.

    An answer that ends with its connection looks whole when it is cut.
    """
    if response.method == 'HEAD' or response.status in (204, 304):
        return True
    if 'Content-Length' in response.headers:
        return True
    coding = response.headers.get('Transfer-Encoding', '')
    return coding.lower().endswith('chunked')


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether the upstream says that it did not run the request."""
    ran = response.headers.get(frontend_web.RAN_HEADER)
    return response.status == 503 and ran == states.Ran.NO.value


def _get_end_to_end(
    response: aiohttp.ClientResponse,
) -> tuple[tuple[str, str], ...]:
    dropped = HOP_BY_HOP | _PRODUCT_HEADERS
    if response.method != 'HEAD':
        dropped |= {'content-length'}
    return tuple(
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() not in dropped
    )
