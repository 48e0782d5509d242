"""A fake upstream that announces itself, with configurable faults."""

import argparse
import asyncio
import collections
import enum
import json
import signal
import time

import aiohttp
from aiohttp import web

REQUEST_HEADER = 'Orioleshore-Request'
RAN_HEADER = 'Orioleshore-Ran'
KEY_HEADER = 'Idempotency-Key'
RENEW_S = 1.0
HANG_S = 600.0
EXTRA_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nold reply'


class Behaviour(enum.Enum):
    """Response of the fake upstream to a request."""

    ANSWER = 'answer'
    HANG = 'hang'
    RESET = 'reset'
    RESET_AFTER_RUN = 'reset_after_run'
    CUT_ANSWER = 'cut_answer'
    WRONG_REQUEST = 'wrong_request'
    REFUSE = 'refuse'
    FAIL = 'fail'
    # Omits the request id from the response.
    ANONYMOUS = 'anonymous'
    # Sends a second response on the same connection after a delay.
    EXTRA_ANSWER = 'extra_answer'
    CUT_CHUNKS = 'cut_chunks'
    # Sends a response that only the closed connection delimits.
    OPEN_ENDED = 'open_ended'


EXTRA_DELAY_S = 0.02

_CUT_BEHAVIOURS = frozenset(
    {Behaviour.CUT_ANSWER, Behaviour.CUT_CHUNKS, Behaviour.OPEN_ENDED}
)


class FakeUpstream:
    """An upstream with its own listening socket on loopback."""

    def __init__(
        self,
        service: str,
        announce_urls: list[str],
        availability_zone: str = 'az1',
        slots: int = 8,
        listen: str = '127.0.0.1:0',
    ) -> None:
        self.service = service
        self.availability_zone = availability_zone
        self.slots = slots
        self.behaviour = Behaviour.ANSWER
        self.delay_s = 0.0
        self.body = b''
        self.runs: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.max_running = 0
        self.refused = 0
        self.incarnation = time.time_ns() // 1_000_000
        self.address = ''
        self._listen = listen
        self._announce_urls = announce_urls
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._renewal_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and announce the upstream periodically."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._handle_request)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        host, _, port = self._listen.rpartition(':')
        site = web.TCPSite(self._runner, host, int(port), backlog=1_024)
        await site.start()
        self.address = f'{host}:{self._runner.addresses[0][1]}'
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=5.0)
        )
        self._renewal_task = asyncio.create_task(self._renew_announcement())

    async def leave(self) -> None:
        """Withdraw the announcement; running requests continue."""
        self._renewal_task.cancel()
        for url in self._announce_urls:
            try:
                async with self._session.delete(
                    f'{url}/v1/upstreams/{self.service}/{self.address}',
                    params={'incarnation': str(self.incarnation)},
                ):
                    break
            except (aiohttp.ClientError, TimeoutError):
                continue

    async def stop(self) -> None:
        """Stop announcing and close all sockets."""
        self._renewal_task.cancel()
        await asyncio.gather(self._renewal_task, return_exceptions=True)
        await self._session.close()
        await self._runner.cleanup()

    async def announce(self) -> bool:
        """Announce to the first entry host that accepts.

        Returns whether any did.
        """
        content = {
            'service': self.service,
            'address': self.address,
            'availability_zone': self.availability_zone,
            'slots': self.slots,
            'connections': max(64, 2 * self.slots),
            'incarnation': self.incarnation,
        }
        for url in self._announce_urls:
            try:
                async with self._session.post(
                    f'{url}/v1/upstreams', json=content
                ) as response:
                    if response.status == 200:
                        return True
            except (aiohttp.ClientError, TimeoutError):
                continue
        return False

    async def _renew_announcement(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(RENEW_S)

    async def _handle_request(
        self, request: web.Request
    ) -> web.StreamResponse:
        body = await request.read()
        if self.behaviour is Behaviour.RESET:
            request.transport.abort()
            return web.Response()
        if self.behaviour is Behaviour.REFUSE or self.running >= self.slots:
            self.refused += 1
            return web.Response(status=503, headers={RAN_HEADER: 'no'})
        return await self._run_request(request, body)

    async def _run_request(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        name = request.headers.get(KEY_HEADER, request.path)
        self.runs[name] += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            if self.behaviour is Behaviour.HANG:
                await asyncio.sleep(HANG_S)
            await asyncio.sleep(self.delay_s)
            return await self._send_answer(request, body, name)
        finally:
            self.running -= 1

    async def _send_answer(
        self, request: web.Request, body: bytes, name: str
    ) -> web.StreamResponse:
        if self.behaviour is Behaviour.RESET_AFTER_RUN:
            request.transport.abort()
            return web.Response()
        if self.behaviour is Behaviour.FAIL:
            return web.Response(status=500)
        identity = request.headers.get(REQUEST_HEADER, '')
        if self.behaviour is Behaviour.WRONG_REQUEST:
            identity = 'another-request.1'
        content = (
            self.body
            or json.dumps(
                {
                    'service': self.service,
                    'upstream': self.address,
                    'method': request.method,
                    'path': request.path_qs,
                    'body': body.decode(errors='replace'),
                    'run': self.runs[name],
                },
                sort_keys=True,
            ).encode()
        )
        headers = {
            REQUEST_HEADER: identity,
            'Content-Type': 'application/json',
        }
        if self.behaviour in _CUT_BEHAVIOURS:
            return await self._send_cut_answer(request, content, headers)
        if self.behaviour is Behaviour.ANONYMOUS:
            del headers[REQUEST_HEADER]
        if self.behaviour is Behaviour.EXTRA_ANSWER and request.transport:
            asyncio.get_running_loop().call_later(
                EXTRA_DELAY_S, request.transport.write, EXTRA_ANSWER
            )
        return web.Response(body=content, headers=headers)

    async def _send_cut_answer(
        self, request: web.Request, content: bytes, headers: dict[str, str]
    ) -> web.StreamResponse:
        if self.behaviour is Behaviour.OPEN_ENDED:
            request.transport.write(b'HTTP/1.0 200 OK\r\n\r\nhalf an ans')
            request.transport.close()
            return web.Response()
        response = web.StreamResponse(headers=headers)
        if self.behaviour is Behaviour.CUT_CHUNKS:
            response.enable_chunked_encoding()
        else:
            response.content_length = len(content)
        await response.prepare(request)
        await response.write(content[: len(content) // 2])
        request.transport.close()
        return response


async def _main(arguments: argparse.Namespace) -> None:
    upstream = FakeUpstream(
        arguments.service,
        arguments.announce,
        arguments.availability_zone,
        arguments.slots,
        arguments.address,
    )
    upstream.delay_s = arguments.delay_s
    await upstream.start()
    print(f'upstream {upstream.service} {upstream.address}', flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await upstream.leave()
    await upstream.stop()


def main() -> None:
    """Run one fake upstream until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--service', required=True)
    parser.add_argument('--announce', action='append', required=True)
    parser.add_argument('--availability-zone', default='az1')
    parser.add_argument('--address', default='127.0.0.1:0')
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--delay-s', type=float, default=0.0)
    asyncio.run(_main(parser.parse_args()))


if __name__ == '__main__':
    main()
