"""HTTP connections under the limits of a process, in one event loop."""

import asyncio
import contextlib

from aiohttp import web
import pytest

from orioleshore.frontends import web as frontend_web
from orioleshore.intake import gate as intake_gate
from orioleshore.tests import intake_builders
from orioleshore.tests import peer_crowd
from orioleshore.tests import support

BODY = 256 * peer_crowd.KIB


@contextlib.asynccontextmanager
async def run_server(**limits):
    """Yield a gate and the address of a server that returns body sizes."""

    async def serve(request: web.BaseRequest) -> web.Response:
        return web.Response(text=str(len(await request.read())))

    gate = intake_gate.Gate(intake_builders.make_limits(**limits))
    listener = frontend_web.Listener('127.0.0.1:0', web.Server(serve))
    listener.set_gate(gate)
    await listener.start()
    try:
        host, _, port = listener.address.partition(':')
        yield gate, (host, int(port))
    finally:
        await listener.stop()


async def send_shape(address, shape, end=b''):
    """Send a shape and its end on one connection; return the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        for piece in shape.list_pieces():
            writer.write(piece)
            await writer.drain()
        writer.write(end)
        return await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 10.0)
    finally:
        writer.close()


@pytest.mark.parametrize('chunk_size', [1, 32_768])
def test_chunked_body_inside_the_limits_is_read(chunk_size):
    """Guards against limits that count a small chunk as much more."""

    async def play():
        async with run_server() as (gate, address):
            shape = peer_crowd.make_short_chunks('POST', '/', BODY, chunk_size)
            answer = await send_shape(address, shape, b'0\r\n\r\n')
            assert answer.startswith(b'HTTP/1.1 200 ')
            await support.wait_until(
                lambda: gate.counters['open_connections'] == 0,
                'nothing is held',
            )
            assert gate.counters['held_bytes'] == 0

    support.run(play())


def test_head_inside_the_limits_is_read():
    """Guards against a refusal of 16 KiB of headers in one line."""

    async def play():
        async with run_server() as (_, address):
            line = b'X-Line: ' + b'a' * 16_000 + b'\r\n'
            shape = peer_crowd.Shape(
                'long', (b'POST / HTTP/1.1\r\nHost: a\r\n', line)
            )
            answer = await send_shape(
                address, shape, b'Content-Length: 0\r\n\r\n'
            )
            assert answer.startswith(b'HTTP/1.1 200 ')

    support.run(play())


def test_head_over_the_limit_is_refused_as_not_run():
    """Guards against a head without end that is never answered."""

    async def play():
        async with run_server() as (gate, address):
            shape = peer_crowd.Shape('empty', (b'\r\n' * 20_480,))
            answer = await send_shape(address, shape)
            assert answer.startswith(b'HTTP/1.1 431 ')
            assert b'Orioleshore-Ran: no' in answer
            assert gate.counters['head_too_large'] == 1

    support.run(play())


def test_stalled_body_is_refused_as_not_run_when_memory_is_short():
    """Guards against a body that is dropped without a word."""

    async def play():
        async with run_server(memory=300_000) as (gate, address):
            shape = peer_crowd.make_short_body('POST', '/', BODY)
            stalled = asyncio.create_task(send_shape(address, shape))
            await support.wait_until(
                lambda: gate.counters['held_bytes'] == BODY - 1, 'body is held'
            )
            await asyncio.sleep(1.1)
            whole = await send_shape(address, shape, b' ')
            assert whole.startswith(b'HTTP/1.1 200 ')
            answer = await stalled
            assert answer.startswith(b'HTTP/1.1 503 ')
            assert b'Orioleshore-Ran: no' in answer
            assert b'Retry-After' in answer

    support.run(play())


def test_odd_requests_leave_nothing_behind():
    """Guards against odd heads and chunks that stay charged, or end a task.

    The seed is ``support.SEED``.
    """
    source = support.get_random()

    async def send_odd(address) -> None:
        reader, writer = await asyncio.open_connection(*address)
        data = peer_crowd.make_odd_request(source)
        cut = source.randrange(len(data))
        with contextlib.suppress(OSError):
            for piece in (data[:cut], data[cut:]):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()

    async def play():
        async with run_server() as (gate, address):
            for _ in range(400):
                await send_odd(address)
            shape = peer_crowd.make_short_chunks('POST', '/', BODY, 32_768)
            answer = await send_shape(address, shape, b'0\r\n\r\n')
            assert answer.startswith(b'HTTP/1.1 200 ')
            await support.wait_until(
                lambda: gate.counters['open_connections'] == 0, 'all are gone'
            )
            assert gate.counters['held_bytes'] == 0
            assert gate.counters['malformed'] > 0

    support.run(play())
