"""Clients and the operator, and the platform's interface for machines."""

import asyncio

import aiohttp
from aiohttp import web

from lab import deployment
from lab import record

HOST = 'pule25.example'
PREFIX = '/puxa400/'
SERVICE = 'huvo11a'


def make_configuration(max_attempts: int = 3) -> dict:
    """Return a configuration with one queue and its service."""
    return {
        'version': 7,
        'routes': [
            {
                'name': 'r-anu6wsj',
                'host': HOST,
                'path_prefix': PREFIX,
                'type': 'non_idempotent',
                'timeout_ms': 3_000,
                'slo_ms': 3_600,
                'priority': 0,
                'service': SERVICE,
                'max_attempts': max_attempts,
                'stretch_factor': 1.6,
            }
        ],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'max_conns': 64,
                'protocol': 'h1',
                'tls': False,
                'preconditions': True,
                'standby': False,
            }
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 262_144,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': 15_000,
        },
    }


class People:
    """Callers of the system; they retry as the pages say."""

    def __init__(
        self, system: deployment.Deployment, log: record.Record
    ) -> None:
        self._system = system
        self._log = log
        self._session: aiohttp.ClientSession | None = None
        self._turn = 0

    async def open(self) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def put_configuration(self, content: dict, limit_s: float) -> bool:
        """Send a configuration until it is acknowledged."""
        return await self._repeat(
            'operator',
            lambda turn: self._call(
                'PUT', self._system.get_control(turn % 3), '/config', content
            ),
            limit_s,
        )

    async def submit(self, job: str, content: dict, limit_s: float) -> bool:
        """Hand a job in, again after an answer that does not accept it."""
        self._log.add('client', 'submit', job=job)
        return await self._repeat(
            'client',
            lambda turn: self._call(
                'POST', self._system.get_front(turn % 3), PREFIX + job, content
            ),
            limit_s,
        )

    async def get_state(self, job: str) -> str:
        """Return the state of a job, or the status of the answer."""
        self._turn += 1
        status, content = await self._call(
            'GET', self._system.get_front(self._turn % 3), PREFIX + job
        )
        state = content.get('state') if status == 200 else f'status {status}'
        self._log.add('client', 'state', job=job, state=state)
        return state

    async def cancel(self, job: str) -> int:
        """Cancel a job; return the status of the answer."""
        self._turn += 1
        status, _ = await self._call(
            'DELETE', self._system.get_front(self._turn % 3), PREFIX + job
        )
        self._log.add('client', 'cancel', job=job, status=status)
        return status

    async def wait_for_state(
        self, job: str, states: tuple[str, ...], limit_s: float
    ) -> str:
        """Ask for the state until it is one of those named."""
        until = self._log.get_now() + limit_s
        state = ''
        while self._log.get_now() < until:
            state = await self.get_state(job)
            if state in states:
                break
            await asyncio.sleep(0.5)
        return state

    async def find_leader(self) -> int | None:
        """Return the machine whose control process leads, from its log."""
        found = None
        newest = -1
        for machine in range(3):
            for line in self._system.read_log('control', machine).splitlines():
                if ' event=scheduling_started ' not in line:
                    continue
                words = dict(word.partition('=')[::2] for word in line.split())
                epoch = int(words['epoch'])
                if epoch > newest:
                    newest, found = epoch, machine
        return found

    async def _repeat(self, who, make_call, limit_s: float) -> bool:
        until = self._log.get_now() + limit_s
        while self._log.get_now() < until:
            self._turn += 1
            status, _ = await make_call(self._turn)
            self._log.add(who, 'answered', status=status)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        content: dict | None = None,
    ) -> tuple[int, dict]:
        limit = aiohttp.ClientTimeout(total=3.0)
        try:
            async with self._session.request(
                method,
                f'http://{address}{path}',
                json=content,
                headers={'Host': HOST, 'Timeout-Ms': '3000'},
                timeout=limit,
            ) as answer:
                if answer.status != 200:
                    await answer.read()
                    return answer.status, {}
                return answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}


class Cloud:
    """The platform's interface for machines: a list, and no moves."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.runners: list = []
        self._server: web.ServerRunner | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = web.ServerRunner(web.Server(self._answer))
        await self._server.setup()
        await web.TCPSite(self._server, *self._address).start()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.method == 'GET':
            rows = [runner.get_row() for runner in self.runners]
            return web.json_response({'machines': rows, 'next_token': None})
        return web.json_response({'reason': 'busy'}, status=409)
