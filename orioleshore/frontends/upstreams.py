"""HTTP front end for announcements of upstreams."""

from typing import Any

from aiohttp import web
import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.frontends import web as frontend_web
from orioleshore.model import addresses
from orioleshore.model import announcements
from orioleshore.model import checks
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import numbers
from orioleshore.model import states
from orioleshore.routing import dispatcher
from orioleshore.routing import upstreams
from orioleshore.tasks import mailbox

MAX_BODY_BYTES = 4_096
# At this interval an announcement survives the loss of one renewal.
RENEWAL_INTERVAL_S = upstreams.UPSTREAM_EXPIRY_S / 3


class UpstreamsFrontend(frontend_web.ListeningTask):
    """Owns the connections on which upstreams announce themselves."""

    def __init__(self, address: str, routing: mailbox.Mailbox) -> None:
        super().__init__('upstreams')
        self._routing = routing
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post('/v1/upstreams', self._handle_announcement)
        app.router.add_delete(
            '/v1/upstreams/{service}/{address}', self._handle_departure
        )
        self.configure_listener(address, app)

    async def _handle_announcement(self, request: web.Request) -> web.Response:
        try:
            content = decoding.decode_plain_json(await request.read())
        except decoding.DecodingError as error:
            return _make_failure_response(f'malformed JSON: {error}')
        outcome = parse_announcement(content)
        if outcome.is_err():
            return frontend_web.make_failure(outcome.unwrap_err())
        return await self._forward_announcement(outcome.unwrap())

    async def _handle_departure(self, request: web.Request) -> web.Response:
        text = request.query.get('incarnation', '')
        incarnation = numbers.parse_count(text)
        if incarnation is None:
            return _make_failure_response(
                'the query parameter incarnation must be a number'
            )
        outcome = parse_announcement(
            {
                'service': request.match_info['service'],
                'address': request.match_info['address'],
                'availability_zone': '',
                'slots': 1,
                'connections': 1,
                'incarnation': incarnation,
            }
        )
        if outcome.is_err():
            return frontend_web.make_failure(outcome.unwrap_err())
        leaving = msgspec.structs.replace(
            outcome.unwrap(), state=states.UpstreamState.LEAVING
        )
        return await self._forward_announcement(leaving)

    async def _forward_announcement(
        self, upstream: announcements.Upstream
    ) -> web.Response:
        await self._routing.put_wait(dispatcher.AnnouncementReceived(upstream))
        return frontend_web.make_json({'renew_every_s': RENEWAL_INTERVAL_S})


def parse_announcement(
    content: Any,
) -> Result[announcements.Upstream, errors.Failure]:
    """Check the announcement of an upstream.

    Fails with ``INVALID_REQUEST``.
    """
    outcome = checks.convert(content, announcements.Upstream)
    if outcome.is_err():
        return _make_error('; '.join(outcome.unwrap_err()))
    upstream = outcome.unwrap()
    try:
        port = addresses.parse_address(upstream.address).port
    except decoding.DecodingError as error:
        return _make_error(f'$.address: {error}')
    host = upstream.address.rpartition(':')[0]
    address = ids.UpstreamId(f'{host}:{port}')
    return Ok(msgspec.structs.replace(upstream, address=address))


def _make_error(message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(errors.ErrorKind.INVALID_REQUEST, message))


def _make_failure_response(message: str) -> web.Response:
    return frontend_web.make_failure(
        errors.Failure(errors.ErrorKind.INVALID_REQUEST, message)
    )
