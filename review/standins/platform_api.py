"""The platform's interface for machines."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from review.standins import record
from review.standins import runners

# Length of an upkeep, and of the silence after a call without an answer.
MAINTENANCE_S = 2.0
SILENCE_S = 5.0
# Length of a move between pools.
MIGRATE_S = 1.5
# Pool of the machines that are off.
STANDBY = 'idle'


class PlatformApi:
    """Lists the machines of the runners, moves them and takes them down."""

    def __init__(
        self,
        world: runners.World,
        log: record.Record,
        address: tuple[str, int],
    ) -> None:
        self._world = world
        self._record = log
        self._address = address
        self._app: web.AppRunner | None = None
        # Machines on one page of the list; each page is in order of pool and
        # machine, and begins after the last machine of the page before.
        self.page_size = 200
        # Time that each answer takes.
        self.delay_s = 0.0
        # Called with a machine once its move has begun.
        self.on_move: Callable[[str, str], None] | None = None
        # The last row of the newest page, None if its list has ended.
        self.cursor: tuple[str, str] | None = None
        self._pools: dict[str, str] = {}
        self._moving: set[str] = set()
        # Calls for an upkeep that are carried out but get no answer.
        self.lost_answers = 0
        # Machines whose upkeep for a wave has begun.
        self._begun: dict[tuple[str, int], asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        app = web.Application()
        app.router.add_get('/machines', self._list_machines)
        app.router.add_post('/machine-move', self._start_move)
        app.router.add_post('/machine-upkeep', self._start_upkeep)
        self._app = web.AppRunner(app, access_log=None)
        await self._app.setup()
        await web.TCPSite(self._app, *self._address).start()

    async def stop(self) -> None:
        """Close the socket."""
        if self._app is not None:
            await self._app.cleanup()

    def get_pool(self, machine: str) -> str:
        """Return the pool of a machine."""
        return self._pools.get(machine, runners.SERVICE)

    def has_begun_upkeep(self, machine: str, wave: int) -> bool:
        """Return whether the upkeep of a machine has begun for a wave."""
        return (machine, wave) in self._begun

    async def _list_machines(self, request: web.Request) -> web.Response:
        after = tuple(request.query.get('page_token', '/').split('/'))
        rows = sorted(
            (self.get_pool(runner.machine), runner.machine)
            for runner in self._world.runners
        )
        page = [row for row in rows if row > after][: self.page_size]
        is_last = not page or page[-1] == rows[-1]
        self.cursor = None if is_last else page[-1]
        machines = [
            {
                'machine': machine,
                'pool': pool,
                'state': self._get_state(machine, pool),
                'zone': 'kozep-a',
                'labels': ['a'],
                'capacity': {'cpus': 16_000, 'mem_mb': 65_536, 'gpus': 0},
                'id': self._find_runner(machine).ident,
            }
            for pool, machine in page
        ]
        if self.page_size < len(rows):
            self._record.add(f'platform lists after {"/".join(after)}: {page}')
        await asyncio.sleep(self.delay_s)
        token = None if is_last else '/'.join(page[-1])
        return web.json_response({'machines': machines, 'next_token': token})

    def _get_state(self, machine: str, pool: str) -> str:
        if machine in self._moving:
            return 'moving'
        if any(
            name == machine and not task.done()
            for (name, _), task in self._begun.items()
        ):
            return 'upkeep'
        is_up = pool == STANDBY or self._find_runner(machine).is_up
        return 'up' if is_up else 'down'

    def _find_runner(self, machine: str) -> runners.Runner:
        return next(r for r in self._world.runners if r.machine == machine)

    async def _start_move(self, request: web.Request) -> web.Response:
        body = await request.json()
        machine, pool = body['machine'], body['pool']
        self._record.add(f'platform is asked for the move {body}')
        if machine in self._moving:
            return web.json_response({'reason': 'busy'}, status=409)
        if self.get_pool(machine) != pool:
            self._pools[machine] = pool
            self._moving.add(machine)
            await self._find_runner(machine).crash()
            task = asyncio.create_task(self._end_move(machine))
            self._tasks.add(task)
            if self.on_move is not None:
                self.on_move(machine, pool)
        await asyncio.sleep(self.delay_s)
        return web.json_response({})

    async def _end_move(self, machine: str) -> None:
        await asyncio.sleep(MIGRATE_S)
        self._moving.discard(machine)
        if self.get_pool(machine) != STANDBY:
            self._find_runner(machine).start()

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
        if key[0] in self._moving:
            return web.json_response({'reason': 'busy'}, status=409)
        if key not in self._begun:
            await found[0].crash()
            self._begun[key] = asyncio.create_task(self._end_upkeep(found[0]))
        elif not self._begun[key].done():
            return web.json_response({'reason': 'busy'}, status=409)
        if self.lost_answers:
            self.lost_answers -= 1
            self._record.add('platform gives no answer')
            await asyncio.sleep(SILENCE_S)
        await asyncio.sleep(self.delay_s)
        return web.json_response({})

    async def _end_upkeep(self, runner: runners.Runner) -> None:
        await asyncio.sleep(MAINTENANCE_S)
        if self.get_pool(runner.machine) != STANDBY:
            runner.start()
