"""HTTP server for the workers and operators of the platform."""

import logging

from aiohttp import web
import msgspec

from orioleshore.frontends import web as frontend_web
from orioleshore.jobs import calls
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.platform import configuration_body
from orioleshore.platform import forwarding
from orioleshore.platform import wire
from orioleshore.telemetry import logs
from orioleshore.telemetry import odd_entries

LOG = logging.getLogger(__name__)

# Workers discard answers that take longer than one second.
WORKER_TIMEOUT_S = 0.9
# Operators try another node after one second without an answer.
OPERATOR_TIMEOUT_S = 0.95

# The project's own path; the platform calls none of this name.
STATUS_PATH = '/v1/status'
_INSTANCES_PREFIX = '/instances/'
_WAVES_PREFIX = '/wave-get/'


class ControlServer(frontend_web.ListeningTask):
    """Owns the connections of workers and operators."""

    def __init__(
        self, address: str, forwarder: forwarding.CallForwarder
    ) -> None:
        super().__init__('platform-control')
        self._forwarder = forwarder
        self._odd_entries = odd_entries.OddEntryLog()
        self.configure_listener(address, web.Server(self._serve_request))

    @property
    def odd_entries(self) -> odd_entries.OddEntryLog:
        return self._odd_entries

    async def _serve_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        try:
            return await self._route_request(request)
        except (OverflowError, TypeError, ValueError) as error:
            LOG.warning(
                logs.format_event(
                    'request_unreadable',
                    method=request.method,
                    path=request.path,
                    peer=request.remote,
                    error=error,
                )
            )
            return forwarding.make_refusal(
                errors.ErrorKind.INVALID_REQUEST, str(error)
            )

    async def _route_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        path = request.path
        if path.startswith(_INSTANCES_PREFIX):
            return await self._serve_worker(
                request, path[len(_INSTANCES_PREFIX) :]
            )
        if path == '/config' and request.method == 'PUT':
            configuration = configuration_body.decode_configuration(
                await request.read()
            )
            return await self._forward_call(
                calls.PutConfiguration(configuration)
            )
        if path == '/config' and request.method == 'GET':
            return await self._get_configuration()
        if path == STATUS_PATH and request.method == 'GET':
            return await self._get_status()
        if path == '/wave-start' and request.method == 'POST':
            return await self._forward_call(
                wire.decode_wave(await request.read())
            )
        if path.startswith(_WAVES_PREFIX) and request.method == 'GET':
            return await self._get_wave(ids.WaveId(path[len(_WAVES_PREFIX) :]))
        return forwarding.make_refusal(
            errors.ErrorKind.NOT_FOUND, 'no such call'
        )

    async def _serve_worker(
        self, request: web.BaseRequest, worker: str
    ) -> web.StreamResponse:
        if request.method == 'DELETE':
            call = calls.LeaveWorker(wire.decode_worker_name(worker))
            outcome = await self._forwarder.forward(call, WORKER_TIMEOUT_S)
            return forwarding.make_response(outcome, _encode_empty)
        if request.method != 'PUT':
            return forwarding.make_refusal(
                errors.ErrorKind.NOT_FOUND, 'no such call'
            )
        heartbeat = wire.decode_heartbeat(
            worker, await request.read(), self._odd_entries
        )
        outcome = await self._forwarder.forward(heartbeat, WORKER_TIMEOUT_S)
        return forwarding.make_response(outcome, wire.encode_heartbeat_answer)

    async def _forward_call(self, call: calls.Call) -> web.StreamResponse:
        outcome = await self._forwarder.forward(call, OPERATOR_TIMEOUT_S)
        return forwarding.make_response(outcome, _encode_empty)

    async def _get_configuration(self) -> web.StreamResponse:
        outcome = await self._forwarder.forward(
            calls.GetConfiguration(), OPERATOR_TIMEOUT_S
        )
        return forwarding.make_response(
            outcome, lambda configuration: configuration.source
        )

    async def _get_status(self) -> web.StreamResponse:
        outcome = await self._forwarder.forward(
            calls.GetOrganisations(), OPERATOR_TIMEOUT_S
        )
        return forwarding.make_response(
            outcome,
            lambda rows: msgspec.json.encode({'organisations': rows}),
        )

    async def _get_wave(self, wave: ids.WaveId) -> web.StreamResponse:
        outcome = await self._forwarder.forward(
            calls.GetWave(wave), OPERATOR_TIMEOUT_S
        )
        return forwarding.make_response(outcome, wire.encode_wave_status)


def _encode_empty(_: None) -> bytes:
    return b'{}'
