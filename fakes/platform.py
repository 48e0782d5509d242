"""A fake platform: drains and reboots hosts, and runs tasks on workers."""

import argparse
import asyncio
import collections
import signal
import time

from aiohttp import web

from fakes import tasks

EPOCH_HEADER = 'Orioleshore-Epoch'
HOST_EPOCH_HEADER = 'Orioleshore-Host-Epoch'
CALL_HEADER = 'Orioleshore-Call'
# Interval at which the platform repeats the state of each host.
HEARTBEAT_S = 10.0
RAN_HEADER = 'Orioleshore-Ran'


class FakePlatform:
    """Answers calls about hosts and tasks, and records their effects.

    A repeated call is acknowledged but executed only once.
    """

    def __init__(
        self,
        drain_s: float = 0.2,
        reboot_s: float = 0.2,
        run_s: float = 0.5,
        address: str = '127.0.0.1:0',
    ) -> None:
        self.drain_s = drain_s
        self.reboot_s = reboot_s
        self.url = ''
        self.states: dict[str, str] = {}
        self.reboots: collections.Counter[str] = collections.Counter()
        self.tasks = tasks.FakeTasks(tasks.Work(run_s=run_s))
        self.refused = 0
        self._address = address
        self._epoch = 0
        self._host_epochs: dict[str, int] = {}
        self._answered: set[str] = set()
        self._reports: list[dict] = []
        self._background: set[asyncio.Task] = set()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        app = web.Application()
        app.router.add_post('/v1/hosts/{host}/{action}', self._act_on_host)
        app.router.add_post('/v1/workers/{host}/tasks', self._start_task)
        app.router.add_post(
            '/v1/workers/{host}/tasks/{task}/{action}', self._act_on_task
        )
        app.router.add_get('/v1/reports', self._get_reports)
        app.router.add_get('/v1/hosts', self._get_hosts)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        host, _, port = self._address.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()
        self.url = f'http://{host}:{self._runner.addresses[0][1]}'
        self._schedule(HEARTBEAT_S, self._repeat_states)

    async def stop(self) -> None:
        """Close the socket."""
        for work in self._background:
            work.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self._runner.cleanup()

    def report_host(self, host: str, state: str) -> None:
        """Report a new state of a host."""
        self.states[host] = state
        self._reports.append({'host': host, 'state': state})

    def _repeat_states(self) -> None:
        for host, state in self.states.items():
            self._reports.append({'host': host, 'state': state})
        self._schedule(HEARTBEAT_S, self._repeat_states)

    def _is_stale(self, request: web.Request) -> bool:
        host = request.match_info['host']
        epoch = int(request.headers[EPOCH_HEADER])
        host_epoch = int(request.headers[HOST_EPOCH_HEADER])
        if epoch < self._epoch:
            return True
        if host_epoch < self._host_epochs.get(host, 0):
            return True
        self._epoch = epoch
        self._host_epochs[host] = host_epoch
        return False

    def _is_repeated(self, request: web.Request) -> bool:
        call = request.headers[CALL_HEADER]
        if call in self._answered:
            return True
        self._answered.add(call)
        return False

    async def _act_on_host(self, request: web.Request) -> web.Response:
        if self._is_stale(request):
            self.refused += 1
            return web.json_response({'error': 'stale epoch'}, status=409)
        if self._is_repeated(request):
            return web.json_response({'repeated': True})
        host = request.match_info['host']
        action = request.match_info['action']
        if action == 'drain':
            self.report_host(host, 'draining')
            self._schedule(self.drain_s, self.report_host, host, 'drained')
        elif action == 'reboot':
            self.reboots[host] += 1
            self.report_host(host, 'rebooting')
            self._schedule(self.reboot_s, self.report_host, host, 'up')
        elif action == 'return':
            self.report_host(host, 'up')
        return web.json_response({'accepted': True})

    async def _start_task(self, request: web.Request) -> web.Response:
        return await self._call_task(request, 'start_task')

    async def _act_on_task(self, request: web.Request) -> web.Response:
        action = request.match_info['action']
        return await self._call_task(request, f'{action}_task')

    async def _call_task(
        self, request: web.Request, kind: str
    ) -> web.Response:
        if self._is_stale(request):
            self.refused += 1
            return web.json_response({'error': 'stale epoch'}, status=409)
        body = await request.json()
        answer = self.tasks.call(
            request.headers[CALL_HEADER],
            kind,
            int(request.headers[EPOCH_HEADER]),
            request.match_info['host'],
            body['job'],
            body['attempt'],
            body,
            time.time(),
        )
        headers = {RAN_HEADER: answer.ran} if answer.ran else {}
        return web.json_response(
            {'error': answer.error}, status=answer.status, headers=headers
        )

    def _collect_tasks(self) -> None:
        for task in self.tasks.advance(time.time()):
            self._reports.append({'host': task['worker'], 'task': task})

    def _schedule(self, delay_s: float, function, *arguments) -> None:
        async def run_later() -> None:
            await asyncio.sleep(delay_s)
            function(*arguments)

        work = asyncio.create_task(run_later())
        self._background.add(work)
        work.add_done_callback(self._background.discard)

    async def _get_reports(self, request: web.Request) -> web.Response:
        self._collect_tasks()
        after = int(request.query.get('after', '0'))
        return web.json_response(
            {'reports': self._reports[after:], 'next': len(self._reports)}
        )

    async def _get_hosts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'hosts': self.states,
                'reboots': self.reboots,
                'starts': self.tasks.starts,
            }
        )


async def _main(arguments: argparse.Namespace) -> None:
    platform = FakePlatform(address=arguments.address)
    await platform.start()
    print(f'platform {platform.url}', flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await platform.stop()


def main() -> None:
    """Run the fake platform until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', default='127.0.0.1:0')
    asyncio.run(_main(parser.parse_args()))


if __name__ == '__main__':
    main()
