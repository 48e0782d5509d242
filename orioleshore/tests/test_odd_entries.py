"""Entries of other writers among good ones: dropped, and the others hold.

Each process that reads a list must survive an entry that is nested deeply or
has numbers, texts or addresses out of range, and must follow the others.
"""

import asyncio
import contextlib

import pytest

from fakes import platform_fleet
from orioleshore.jobs import orders
from orioleshore.membership import packing
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.platform import hosts
from orioleshore.protocol import messages
from orioleshore.protocol import received_addresses
from orioleshore.protocol import transport
from orioleshore.tasks import mailbox
from orioleshore.telemetry import odd_entries
from orioleshore.tests import builders
from orioleshore.tests import support
from orioleshore.timers import clock

ODD_ADDRESSES = [
    '127.0.0.1:70000',
    '127.0.0.1:-1',
    '127.0.0.1:x',
    '127.0.0.1:0',
    '127.0.0.1:²',
    '127.0.0.1',
    'host:7001',
    '[::1%..]:7001',
    f'[::1%{"x" * 300}]:7001',
]


@pytest.mark.parametrize('depth', [100, 1_100, 5_000, 100_000])
def test_rumour_with_deep_nesting_is_skipped(depth):
    """Guards against one rumour that ends one process after the other.

    Fields may be added at the end, so what follows the known ones is skipped.
    """
    good = builders.build_peer('node-2', address='127.0.0.1:7002')
    rumours = (
        builders.build_nested_rumour('node-1', depth),
        packing.pack_peer(good),
    )
    assert packing.unpack_peers(rumours)[-1] == good


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_rumour_with_odd_address_is_skipped(address):
    """Guards against processes that connect to no address and tell others."""
    good = builders.build_peer('node-2', address='[::1]:7002')
    odd = builders.build_peer('node-1', address=address)
    rumours = tuple(packing.pack_peers((odd, good)))
    log = odd_entries.OddEntryLog()
    assert packing.unpack_peers(rumours, log) == (good,)
    assert log.counts == {odd_entries.EntryList.RUMOURS: 1}


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_address_does_not_fail_a_connection(address):
    """Guards against a connection task that ends and takes its frames along.

    A scope that is no label of a name raises UnicodeError, a ValueError.
    """
    failures = []

    async def check():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        sender = transport.Transport(
            ids.NodeId('node-1'), '127.0.0.1:0', ids.Incarnation(1)
        )
        await sender.start()
        message = messages.VersionReport(ids.Version(1))
        await sender.handle(transport.SendTo(address, message))
        connections = list(sender._outgoing_connections.values())
        await asyncio.sleep(0.05)
        assert not any(item._task.done() for item in connections)
        await sender.stop()

    support.run(check())
    assert not failures


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_addresses_in_messages_count_as_unknown(address):
    """Guards against a redirect to no address, which hides the members."""
    log = odd_entries.OddEntryLog()
    header = messages.Header(ids.NodeId('m0'), ids.Incarnation(1), 0, address)
    good = '127.0.0.1:7001'

    def check(message):
        received = messages.Received(header, message)
        checked = received_addresses.check_addresses(received, log)
        assert checked is None or not checked.header.reply_address
        return checked and checked.message

    group = messages.GroupAddresses(ids.Term(1), address, (address, good))
    assert check(group) == messages.GroupAddresses(ids.Term(1), '', (good,))
    assert not check(messages.QueryReply('', '', b'', address)).leader
    assert not check(messages.ProposeReply('', '', (), b'', address)).leader
    assert check(messages.IndirectProbe(1, 'm1', address, ())) is None
    assert check(messages.IndirectProbe(1, 'm1', good, ())) is not None
    assert log.counts == {odd_entries.EntryList.ADDRESSES: 9}


@contextlib.asynccontextmanager
async def run_hosts_client():
    """Yield a client of the fake platform, the latter and a mailbox.

    The scheduler's mailbox receives what the client reports.
    """
    port = platform_fleet.find_free_ports(1)
    cloud = platform_fleet.FakeCloudApi(f'127.0.0.1:{port}')
    jobs = mailbox.Mailbox('jobs', 64)
    address = f'127.0.0.1:{port}'
    client = hosts.HostsClient(
        address, address, ids.NodeId('m0'), jobs, clock.SystemClock()
    )
    await cloud.start()
    await client.start()
    try:
        yield client, cloud, jobs
    finally:
        await client.stop()
        await cloud.stop()


async def take_report(jobs):
    """Return the next call that the client reports to the scheduler."""
    async with asyncio.timeout(support.WAIT_S):
        return (await jobs.get()).call


@pytest.mark.parametrize(
    'order',
    [
        orders.Move(ids.HostId('m-1'), ids.PoolId('red'), ids.Epoch(1), 1e18),
        orders.TakeDown(
            ids.WaveId('1'), ids.HostId('m-1'), ids.Epoch(1), 1e18
        ),
        orders.AskApproval(builders.build_job_id(), 0, 0, ('i-1',)),
    ],
)
def test_call_that_raises_is_reported_as_unknown(order, monkeypatch, caplog):
    """Guards against a call that nobody hears of again.

    A call runs as a task of its own, whose exception nobody read.
    """

    def raise_error(*_, **__):
        raise RuntimeError('a bug')

    async def check():
        async with run_hosts_client() as (client, _, jobs):
            monkeypatch.setattr(client._session, 'post', raise_error)
            client.mailbox.put(order)
            report = await take_report(jobs)
            if isinstance(order, orders.AskApproval):
                assert not report.is_answered
            else:
                assert report.outcome is states.HostOrderOutcome.UNKNOWN
                assert report.host == order.host

    support.run(check())
    assert 'event=background_task_failed' in caplog.text
