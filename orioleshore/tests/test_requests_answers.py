"""Answers over real sockets: complete, to the right caller, or an error."""

import asyncio

import aiohttp
import pytest

from fakes import upstream as fake_upstream
from orioleshore.model import documents
from orioleshore.tests import builders
from orioleshore.tests import support

Behaviour = fake_upstream.Behaviour
LONG_BODY = b'x' * 300_000


def build_document(**limits) -> documents.Document:
    """Return two services, one of them with short timeouts."""
    values = {'attempt_timeout_s': 0.4, 'default_deadline_s': 5.0, **limits}
    return builders.build_document(
        services=(
            builders.build_service(limits=documents.Limits(**values)),
            builders.build_service('certificate'),
        )
    )


def run_entry(**limits):
    return support.run_entry(build_document(), **limits)


@pytest.mark.parametrize(
    ('behaviour', 'error', 'ran', 'runs'),
    [
        (Behaviour.HANG, 'upstream_timeout', 'unknown', 1),
        (Behaviour.RESET, 'upstream_failed', 'unknown', 0),
        (Behaviour.RESET_AFTER_RUN, 'upstream_failed', 'unknown', 1),
        (Behaviour.CUT_ANSWER, 'answer_truncated', 'unknown', 1),
        (Behaviour.CUT_CHUNKS, 'answer_truncated', 'unknown', 1),
        (Behaviour.OPEN_ENDED, 'answer_truncated', 'unknown', 1),
        (Behaviour.WRONG_REQUEST, 'answer_mismatch', 'unknown', 1),
        (Behaviour.REFUSE, 'upstream_refused', 'no', 0),
    ],
)
def test_failed_attempts_are_reported_correctly(behaviour, error, ran, runs):
    """Guards against bad answers passed as complete, and a false "not run"."""

    async def check():
        async with run_entry() as (fleet, session):
            fake = await fleet.add_upstream()
            fake.behaviour = behaviour
            status, headers, body = await support.send(session, fleet.hosts[0])
            assert headers['Orioleshore-Error'] == error
            assert headers['Orioleshore-Ran'] == ran
            assert ('Retry-After' in headers) == (ran == 'no')
            assert status >= 500
            assert sum(fake.runs.values()) == runs
            assert b'certificate' not in body

    support.run(check())


def test_stale_answer_on_keep_alive_connection_is_not_used():
    """Guards against the answer to one request sent to the next one."""

    async def check():
        async with run_entry() as (fleet, session):
            fake = await fleet.add_upstream()
            for number in range(6):
                fake.behaviour = (
                    Behaviour.EXTRA_ANSWER if number % 2 else Behaviour.ANSWER
                )
                path = f'/freight/{number}'
                status, _, body = await support.send(
                    session, fleet.hosts[0], 'GET', path=path
                )
                assert (status, path.encode() in body) == (200, True), body
                await asyncio.sleep(0.03)

    support.run(check())


def test_late_answer_of_timed_out_attempt_is_discarded():
    """Guards against reusing the connection of a timed-out attempt."""

    async def check():
        async with run_entry() as (fleet, session):
            fake = await fleet.add_upstream()
            fake.delay_s = 0.5
            status, _, _ = await support.send(session, fleet.hosts[0])
            assert status == 504
            fake.delay_s = 0.0
            for number in range(10):
                path = f'/freight/{number}'
                _, _, body = await support.send(
                    session, fleet.hosts[0], 'GET', path=path
                )
                assert path.encode() in body
                await asyncio.sleep(0.02)

    support.run(check())


def test_connection_without_request_ids_is_not_reused():
    """Guards against reuse of a connection whose answers have no ids."""

    async def check():
        async with run_entry() as (fleet, session):
            fake = await fleet.add_upstream()
            fake.behaviour = Behaviour.ANONYMOUS
            for _ in range(3):
                status, _, _ = await support.send(
                    session, fleet.hosts[0], 'GET'
                )
                assert status == 200

    support.run(check())


def test_truncated_streamed_answer_aborts_callers_connection():
    """Guards against a truncated streamed answer that looks complete."""

    async def check():
        async with run_entry(answer_buffer_bytes=65_536) as (fleet, session):
            fake = await fleet.add_upstream()
            fake.body = LONG_BODY
            _, _, body = await support.send(session, fleet.hosts[0], number=1)
            assert body == LONG_BODY
            cuts = (Behaviour.CUT_ANSWER, Behaviour.CUT_CHUNKS)
            for number, behaviour in enumerate(cuts, 2):
                fake.behaviour = behaviour
                with pytest.raises(aiohttp.ClientError):
                    await support.send(session, fleet.hosts[0], number=number)
                fake.behaviour = Behaviour.ANSWER
                _, headers, _ = await support.send(
                    session, fleet.hosts[0], number=number
                )
                assert headers['Orioleshore-Ran'] == 'unknown'

    support.run(check())


async def send_raw(host, content: bytes) -> bytes:
    ip, port = host.callers.address.split(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(content)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    return answer


@pytest.mark.parametrize(
    ('content', 'status', 'kind'),
    [
        (
            b'GET /freight HTTP/1.1\r\nHost: a\r\nA: ' + b'x' * 20_000,
            431,
            'headers_too',
        ),
        (b'GET /freight\0 HTTP/1.1\r\n\r\n', 400, 'invalid_request'),
        (b'NONSENSE\r\n\r\n', 400, 'invalid_request'),
        (
            b'POST /freight HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nx',
            400,
            'invalid_request',
        ),
        (b'GET /freight HTT', 408, 'request_too_slow'),
        (
            b'GET /freight HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            + b'A: b\r\n' * 70
            + b'\r\n',
            431,
            'headers_too_large',
        ),
        (
            b'POST /freight HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            b'Content-Length: 5\r\n\r\nab',
            408,
            'request_too_slow',
        ),
        (
            b'POST /freight HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            b'Content-Length: 2000000\r\n\r\n' + b'x' * 1_100_000,
            413,
            'request_too_large',
        ),
        (
            b'POST /freight HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
            428,
            'key_required',
        ),
        (
            b'GET /nothing HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
            404,
            'unknown_service',
        ),
    ],
)
def test_malformed_requests_get_their_error_kind(content, status, kind):
    """Guards against the HTTP library's answers, which lack the kind."""

    async def check():
        async with run_entry(body_timeout_s=0.2) as (fleet, _):
            fake = await fleet.add_upstream()
            answer = (await send_raw(fleet.hosts[0], content)).decode()
            assert f' {status} ' in answer.partition('\r\n')[0], answer[:200]
            assert f'Orioleshore-Error: {kind}' in answer
            assert 'Orioleshore-Ran: no' in answer
            for word in ('Server:', 'Python', 'aiohttp', 'certificate'):
                assert word not in answer
            assert not fake.runs

    support.run(check())
