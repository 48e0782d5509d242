"""The platform's interface for machines, and the policy service."""

import asyncio
import time

from aiohttp import web

from review.standins import record
from review.standins import runners

# Length of an upkeep, and of the silence after a call without an answer.
MAINTENANCE_S = 2.0
SILENCE_S = 5.0


class PlatformApi:
    """Lists the machines of the runners; policy calls are answered too.

    ``approved`` holds the ids of the runners that may run any step, or None
    for all.
    """

    def __init__(
        self,
        world: runners.World,
        log: record.Record,
        cloud: tuple[str, int],
        policy: tuple[str, int],
    ) -> None:
        self._world = world
        self._record = log
        self._addresses = (cloud, policy)
        self._apps: list[web.AppRunner] = []
        self.approved: set[str] | None = None
        self.validity_ms = 3_000
        # Calls for an upkeep that are carried out but get no answer.
        self.lost_answers = 0
        # Machines whose upkeep for a wave has begun.
        self._begun: dict[tuple[str, int], asyncio.Task] = {}

    async def start(self) -> None:
        """Listen on loopback."""
        cloud = web.Application()
        cloud.router.add_get('/machines', self._list_machines)
        cloud.router.add_post('/machine-move', self._refuse)
        cloud.router.add_post('/machine-upkeep', self._start_upkeep)
        policy = web.Application()
        policy.router.add_post('/advise', self._advise)
        for app, address in zip((cloud, policy), self._addresses, strict=True):
            app_runner = web.AppRunner(app, access_log=None)
            await app_runner.setup()
            await web.TCPSite(app_runner, *address).start()
            self._apps.append(app_runner)

    async def stop(self) -> None:
        """Close the sockets."""
        for app in self._apps:
            await app.cleanup()

    async def _list_machines(self, request: web.Request) -> web.Response:
        machines = [
            {
                'machine': runner.machine,
                'pool': runner.service,
                'state': 'up' if runner.is_up else 'down',
                'zone': 'kozep-a',
                'labels': ['a'],
                'capacity': {'cpus': 16_000, 'mem_mb': 65_536, 'gpus': 0},
                'id': runner.ident,
            }
            for runner in self._world.runners
        ]
        return web.json_response({'machines': machines, 'next_token': None})

    async def _refuse(self, request: web.Request) -> web.Response:
        self._record.add(f'platform refuses {await request.json()}')
        return web.json_response({'reason': 'busy'}, status=409)

    async def _start_upkeep(self, request: web.Request) -> web.Response:
        """Begin the upkeep of a machine; its runner is back after it."""
        body = await request.json()
        key = (body['machine'], body['wave'])
        found = [r for r in self._world.runners if r.machine == key[0]]
        self._record.add(
            f'platform is asked for the upkeep {body}, token'
            f' {request.headers.get("Fencing-Token")}'
        )
        if not found:
            return web.json_response({}, status=400)
        if key not in self._begun:
            await found[0].crash()
            self._begun[key] = asyncio.create_task(self._end_upkeep(found[0]))
        elif not self._begun[key].done():
            return web.json_response({'reason': 'busy'}, status=409)
        if self.lost_answers:
            self.lost_answers -= 1
            self._record.add('platform gives no answer')
            await asyncio.sleep(SILENCE_S)
        return web.json_response({})

    async def _end_upkeep(self, runner: runners.Runner) -> None:
        await asyncio.sleep(MAINTENANCE_S)
        runner.start()

    async def _advise(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(0.05)
        expires_at = time.monotonic() + self.validity_ms / 1_000.0
        approved = []
        for runner in self._world.runners:
            if runner.ident not in body['workers'] or not runner.is_up:
                continue
            if self.approved is not None and (
                runner.ident not in self.approved
            ):
                continue
            life = f'{runner.ident}/{runner.born}'
            ticket = f'{body["step"]}-{life}'
            self._world.tickets[body['step'], life] = (ticket, expires_at)
            approved.append([runner.ident, ticket])
        self._record.add(f'policy asked {body}, approves {approved}')
        return web.json_response(
            {'approved': approved, 'validity_ms': self.validity_ms}
        )
