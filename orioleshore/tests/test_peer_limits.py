"""What malformed peers can make a real process hold.

An operator's process ran out of memory under clients that the operator does
not control. Each test plays one shape of peer against one address and checks
that the process lives, stays within its memory and descriptors, and answers
an ordinary request while the peers stay.
"""

import asyncio
import contextlib
import json
import pathlib
import time

import aiohttp
import msgspec
import pytest

from fakes import platform_fleet
from orioleshore.cli import remote
from orioleshore.tests import builders
from orioleshore.tests import peer_crowd
from orioleshore.tests import support
from orioleshore.tests import test_consensus_processes as consensus_processes
from orioleshore.tests import test_platform_processes as processes
from scripts import fleet as product_fleet

# Limits in the settings files of the platform's processes. A process needs
# 52 MB without callers; small hosts have 200 MB and 4,100 descriptors.
MEMORY_MB = 96
MAX_FDS = 400
# Limits of the product's own processes, whose settings use the defaults.
PRODUCT_MEMORY_MB = 512
PRODUCT_CONNECTIONS = 300
JOB_PATH = f'/red/{processes.JOB_ID}'
CALLER_BODY = 256 * peer_crowd.KIB
WORKER_BODY = 512 * peer_crowd.KIB
PRODUCT_BODY = peer_crowd.MIB
# One-byte chunks take six times as many bytes on the way.
PRODUCT_CHUNKED_BODY = 128 * peer_crowd.KIB
LIMIT_S = 180.0

_FRONT = (
    peer_crowd.make_endless_head('POST', JOB_PATH),
    peer_crowd.make_many_headers('POST', JOB_PATH),
    peer_crowd.make_long_line('POST', JOB_PATH),
    peer_crowd.make_empty_lines('POST', JOB_PATH),
    peer_crowd.make_short_body('POST', JOB_PATH, CALLER_BODY),
    peer_crowd.make_short_chunks('POST', JOB_PATH, CALLER_BODY, 32_768),
    peer_crowd.make_short_chunks('POST', JOB_PATH, CALLER_BODY, 1),
    peer_crowd.make_endless_extension('POST', JOB_PATH),
    peer_crowd.make_endless_trailers('POST', JOB_PATH),
    peer_crowd.make_whole_bodies('POST', JOB_PATH, CALLER_BODY),
    peer_crowd.make_unread_answers('GET', JOB_PATH),
    peer_crowd.make_idle(500),
    peer_crowd.make_partial_heads(500),
)
_CONTROL = (
    peer_crowd.make_endless_head('PUT', '/config'),
    peer_crowd.make_short_body('PUT', '/instances/i-9', WORKER_BODY),
    peer_crowd.make_short_chunks('PUT', '/instances/i-9', WORKER_BODY, 1),
    peer_crowd.make_unread_answers('GET', '/config'),
    peer_crowd.make_idle(500),
)
_SMALL = (
    peer_crowd.make_endless_head('GET', '/metrics'),
    peer_crowd.make_unread_answers('GET', '/metrics'),
)
_INNER = (peer_crowd.make_short_frames(), peer_crowd.make_idle(500))
_PRODUCT = (
    peer_crowd.make_endless_head('POST', '/freight/q'),
    peer_crowd.make_short_body('POST', '/freight/q', PRODUCT_BODY),
    peer_crowd.make_short_chunks(
        'POST', '/freight/q', PRODUCT_CHUNKED_BODY, 1
    ),
)


def _name_shape(value) -> str | None:
    return value.name if isinstance(value, peer_crowd.Shape) else None


def play_on_platform(folder, name, port_name, shape):
    """Play a shape against one address of a process on the platform."""

    async def play():
        fleet = platform_fleet.PlatformFleet(folder, members=1)
        fleet.limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
        async with run_platform(fleet) as session:
            host, port = get_endpoint(fleet, name, port_name)
            crowd = peer_crowd.Crowd(host, port, shape)
            try:
                await crowd.send()
                process = fleet.processes[name]
                check_process(process, MEMORY_MB, MAX_FDS)
                await wait_for_answers(fleet, session)
                check_process(process, MEMORY_MB, MAX_FDS)
            finally:
                crowd.close()

    support.run(play(), LIMIT_S)


@contextlib.asynccontextmanager
async def run_platform(fleet):
    """Yield a session once an entry host serves for one control member."""
    timeout = aiohttp.ClientTimeout(total=3.0)
    connector = aiohttp.TCPConnector(force_close=True)
    await fleet.cloud.start()
    fleet.start_all()
    try:
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            await processes.put_configuration(
                fleet, session, processes.CONFIGURATION
            )
            await wait_for_answers(fleet, session)
            yield session
    finally:
        fleet.stop_all()
        await fleet.cloud.stop()


async def wait_for_answers(fleet, session):
    """Wait until a caller and an operator are answered."""

    async def is_answered() -> bool:
        url = f'{fleet.get_url("entry-0")}{JOB_PATH}'
        job, _ = await processes.send_request(
            session, 'GET', url, headers=processes.HOST
        )
        config, _ = await processes.send_request(
            session, 'GET', f'{fleet.get_url("control-0")}/config'
        )
        return job in (200, 410) and config == 200

    await processes.wait_until(is_answered, 'ordinary requests are answered')


def get_endpoint(fleet, name, port_name):
    """Return the host and port of an address of a process."""
    host, port = fleet.get_endpoint(name)
    if port_name == 'inner':
        # The inner port of an entry process is one above that of a member.
        port = fleet.inner_port + (name == 'entry-0')
    elif port_name == 'ready':
        port += 1
    elif port_name == 'metrics':
        port = 9465 if name.startswith('control') else 9464
    return host, port


def check_process(process, memory_mb, max_fds):
    """Check that a process lives within its memory and descriptors."""
    assert process.poll() is None, 'the process has ended'
    peak = peer_crowd.get_peak_memory(process.pid) / peer_crowd.MIB
    assert peak <= memory_mb, f'peak memory is {peak:.0f} MB'
    count = peer_crowd.count_descriptors(process.pid)
    assert count <= max_fds, f'{count} descriptors are open'


@pytest.mark.parametrize('shape', _FRONT, ids=_name_shape)
def test_callers_cannot_exhaust_an_entry_host(tmp_path, shape):
    """Guards against an entry host that callers fill with bytes."""
    play_on_platform(tmp_path, 'entry-0', 'front', shape)


@pytest.mark.parametrize('shape', _SMALL, ids=_name_shape)
@pytest.mark.parametrize('port_name', ['ready', 'metrics'])
def test_monitoring_cannot_exhaust_an_entry_host(tmp_path, port_name, shape):
    """Guards against addresses that are bounded less than the callers'."""
    play_on_platform(tmp_path, 'entry-0', port_name, shape)


@pytest.mark.parametrize('shape', _CONTROL, ids=_name_shape)
def test_workers_cannot_exhaust_a_control_member(tmp_path, shape):
    """Guards against a control member that odd workers fill with bytes."""
    play_on_platform(tmp_path, 'control-0', 'control', shape)


@pytest.mark.parametrize('shape', _INNER, ids=_name_shape)
@pytest.mark.parametrize('name', ['entry-0', 'control-0'])
def test_peers_cannot_exhaust_a_process(tmp_path, name, shape):
    """Guards against odd peers on the port of the inner protocol."""
    play_on_platform(tmp_path, name, 'inner', shape)


@pytest.mark.parametrize('shape', _PRODUCT, ids=_name_shape)
@pytest.mark.parametrize('interface', ['callers', 'upstreams', 'health'])
def test_callers_cannot_exhaust_the_front_end(tmp_path, interface, shape):
    """Guards against the same faults in the product's own front ends."""

    async def play():
        fleet = product_fleet.Fleet(pathlib.Path(tmp_path))
        fleet.prepare(control=1, entry=1)
        fleet.start_platform()
        fleet.start_node('control-1')
        fleet.start_node('entry-1')
        try:
            await asyncio.to_thread(apply_document, fleet)
            await wait_for_front_end(fleet)
            address = getattr(fleet, interface)['entry-1']
            host, _, port = address.removeprefix('http://').partition(':')
            crowd = peer_crowd.Crowd(
                host,
                int(port),
                peer_crowd.resize(shape, PRODUCT_CONNECTIONS),
            )
            try:
                await crowd.send()
                process = fleet.processes['entry-1']
                check_process(process, PRODUCT_MEMORY_MB, 4_096)
                await wait_for_front_end(fleet)
                check_process(process, PRODUCT_MEMORY_MB, 4_096)
            finally:
                crowd.close()
        finally:
            fleet.stop()

    support.run(play(), LIMIT_S)


def apply_document(fleet):
    """Give the entry host a service that callers can reach."""
    body = {
        'base_version': 0,
        'operation_id': consensus_processes.generate_operation_id(),
        'document': msgspec.to_builtins(builders.build_document()),
    }
    target = remote.Remote(fleet.operators['control-1'], product_fleet.TOKEN)
    for _ in range(200):
        answer = remote.send_request(
            target, 'POST', '/v1/document', json.dumps(body)
        )
        if answer.is_ok():
            return
        time.sleep(0.1)
    raise AssertionError(answer)


async def wait_for_front_end(fleet):
    """Wait until the entry host knows the service and answers a caller."""
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=3.0)
    ) as session:
        address = fleet.callers['entry-1'].removeprefix('http://')

        async def is_answered() -> bool:
            status, body = await processes.send_request(
                session, 'POST', f'http://{address}/freight/q'
            )
            # Only a request whose service is known needs a key.
            return status != 0 and json.loads(body)['error'] == 'key_required'

        await processes.wait_until(is_answered, 'callers are answered')
