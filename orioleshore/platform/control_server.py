"""HTTP server for workers and operators of the platform."""

import logging

from aiohttp import web
import msgspec

from orioleshore.frontends import web as frontend_web
from orioleshore.jobs import calls
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.platform import asking
from orioleshore.platform import wire
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Workers drop an answer that comes later than a second.
WORKER_TIMEOUT_S = 0.9
# Operators go to another node after a second without an answer.
OPERATOR_TIMEOUT_S = 0.95

_INSTANCES = '/instances/'
_WAVES = '/wave-get/'


class ControlServer(frontend_web.ListeningTask):
    """Owns the connections of workers and operators."""

    def __init__(self, address: str, asker: asking.Asker) -> None:
        super().__init__('platform-control')
        self._asker = asker
        self.configure_listener(address, web.Server(self._serve))

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._route(request)
        except (msgspec.DecodeError, ValueError, TypeError) as error:
            LOG.warning(
                logs.format_event(
                    'request_unreadable',
                    method=request.method,
                    path=request.path,
                    peer=request.remote,
                    error=error,
                )
            )
            return asking.make_refusal(
                errors.ErrorKind.INVALID_REQUEST, str(error)
            )

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        if path.startswith(_INSTANCES):
            return await self._serve_worker(request, path[len(_INSTANCES) :])
        if path == '/config' and request.method == 'PUT':
            found = wire.decode_configuration(await request.read())
            return await self._answer(calls.PutConfiguration(found))
        if path == '/config' and request.method == 'GET':
            return await self._get_configuration()
        if path == '/wave-start' and request.method == 'POST':
            return await self._answer(wire.decode_wave(await request.read()))
        if path.startswith(_WAVES) and request.method == 'GET':
            return await self._get_wave(ids.WaveId(path[len(_WAVES) :]))
        return asking.make_refusal(errors.ErrorKind.NOT_FOUND, 'no such call')

    async def _serve_worker(
        self, request: web.BaseRequest, worker: str
    ) -> web.StreamResponse:
        if request.method == 'DELETE':
            call = calls.LeaveWorker(ids.WorkerId(worker))
            outcome = await self._asker.ask(call, WORKER_TIMEOUT_S)
            return asking.respond(outcome, _encode_nothing)
        beat = wire.decode_heartbeat(worker, await request.read())
        outcome = await self._asker.ask(beat, WORKER_TIMEOUT_S)
        return asking.respond(outcome, wire.encode_heartbeat_answer)

    async def _answer(self, call: calls.Call) -> web.StreamResponse:
        outcome = await self._asker.ask(call, OPERATOR_TIMEOUT_S)
        return asking.respond(outcome, _encode_nothing)

    async def _get_configuration(self) -> web.StreamResponse:
        outcome = await self._asker.ask(
            calls.GetConfiguration(), OPERATOR_TIMEOUT_S
        )
        return asking.respond(outcome, lambda found: found.source)

    async def _get_wave(self, wave: ids.WaveId) -> web.StreamResponse:
        outcome = await self._asker.ask(
            calls.GetWave(wave), OPERATOR_TIMEOUT_S
        )
        return asking.respond(outcome, wire.encode_wave_status)


def _encode_nothing(_: None) -> bytes:
    return b'{}'
