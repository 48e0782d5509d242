"""Entries of other writers among good ones: dropped, and the others hold.

Each process that reads a list must survive an entry that is nested deeply or
has numbers, texts or addresses out of range, and must follow the others.
"""

import asyncio
import contextlib
import gc
import time

import msgspec
import pytest

from fakes import platform_fleet
from fakes import workers
from orioleshore.consensus import requests
from orioleshore.jobs import calls
from orioleshore.jobs import orders
from orioleshore.jobs import specs
from orioleshore.membership import packing
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.platform import host_rows
from orioleshore.platform import hosts
from orioleshore.protocol import messages
from orioleshore.protocol import received_addresses
from orioleshore.protocol import transport
from orioleshore.routing import dispatcher
from orioleshore.tasks import background
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


GOOD_MACHINES = [
    {
        'machine': f'm-{number}',
        'pool': 'red',
        'state': 'up',
        'zone': 'az-1',
        'labels': ['a', 'r1-1'],
        'capacity': {'cpus': 4_000, 'mem_mb': 8_192, 'gpus': 0},
        'id': f'i-{number}',
    }
    for number in range(3)
]
DEEP = b'[' * 5_000 + b']' * 5_000
# Rows with the host that each names, None if nothing names it.
ODD_MACHINES = {
    b'{"machine":"odd","pool":"red","state":"resting"}': 'odd',
    b'{"machine":"odd","pool":"red"}': 'odd',
    b'{"machine":"odd","pool":7,"state":"up"}': 'odd',
    b'{"machine":"odd","pool":"red","state":"up","x":' + DEEP + b'}': 'odd',
    b'{"machine":"odd","pool":"red","state":"up","capacity":'
    b'{"cpus":1' + b'0' * 400 + b'}}': 'odd',
    b'{"machine":"odd","pool":"red","state":"up","capacity":'
    b'{"cpus":-1}}': 'odd',
    b'{"machine":"odd","pool":"\xff","state":"up"}': 'odd',
    b'{"machine":"odd","pool":NaN}': 'odd',
    b'{"machine":7,"pool":"red","state":"up"}': None,
    b'{"machine":"","pool":"red","state":"up"}': None,
    b'{"machine":"\xff","pool":"red","state":"up"}': None,
    b'{"machine":' + DEEP + b'}': None,
    b'{"pool":"red","state":"up"}': None,
    b'{}': None,
    b'null': None,
    b'"}"': None,
    DEEP: None,
}


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
    ('row', 'name'), ODD_MACHINES.items(), ids=range(len(ODD_MACHINES))
)
def test_odd_row_in_the_list_of_hosts_leaves_the_others(row, name):
    """Guards against a list of hosts that is dropped for one odd row."""

    async def check():
        async with run_hosts_client() as (client, cloud, jobs):
            cloud.machines = GOOD_MACHINES
            cloud.odd_rows = [row]
            client.mailbox.put(orders.ListHosts(5.0))
            report = await take_report(jobs)
            assert [info.host for info in report.hosts] == [
                'm-0',
                'm-1',
                'm-2',
            ]
            assert report.unreadable == ((name,) if name else ())
            assert report.is_complete == bool(name)
            assert client.odd_entries.counts == {
                odd_entries.EntryList.HOSTS: 1
            }

    support.run(check())


def test_odd_row_is_logged_once_in_a_while(caplog):
    """Guards against a log that one odd row fills, and one that omits it."""

    async def check():
        async with run_hosts_client() as (client, cloud, jobs):
            cloud.odd_rows = [b'{"machine":"m-9","pool":"red","state":"?"}']
            for _ in range(3):
                client.mailbox.put(orders.ListHosts(5.0))
                await take_report(jobs)
            assert client.odd_entries.counts == {
                odd_entries.EntryList.HOSTS: 3
            }

    support.run(check())
    lines = [record.getMessage() for record in caplog.records]
    (line,) = [line for line in lines if 'entry_unreadable' in line]
    assert 'entry=m-9 list=hosts' in line


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


def test_list_of_only_odd_rows_is_refused_in_time():
    """Guards against a list that holds up the process that reads it."""
    for row in (b'7', b'{"machine":"m","state":"?"}', b'{"a":' + DEEP + b'}'):
        count = min(100_000, 4_000_000 // len(row))
        body = b'{"machines":[' + b','.join([row] * count) + b']}'
        began_at = time.monotonic()
        with contextlib.suppress(decoding.DecodingError):
            host_rows.decode_page(body)
        assert time.monotonic() - began_at < 3.0


def test_list_of_hosts_whose_pages_go_in_a_circle_is_dropped(monkeypatch):
    """Guards against a token that lets the client read pages for ever."""

    async def check():
        async with run_hosts_client() as (client, _, _):
            reads = []

            async def get_page(token):
                reads.append(token)
                return host_rows.decode_page(
                    b'{"machines":[],"next_token":"x"}'
                )

            monkeypatch.setattr(client, '_get_page', get_page)
            assert await client.list_hosts() is None
            assert reads == [None, 'x']

    support.run(check())


def build_idle_fleet() -> workers.FakeFleet:
    """Return a fleet with a standby pool of two hosts that were listed."""
    configuration = builders.build_configuration(
        pools=(
            specs.Pool(ids.PoolId('red')),
            specs.Pool(ids.PoolId('idle'), is_standby=True),
        )
    )
    fleet = workers.FakeFleet(configuration, seed=support.SEED)
    fleet.add_hosts(2, 'idle')
    fleet.run(6.0)
    return fleet


@pytest.mark.parametrize('is_named', [True, False])
@pytest.mark.parametrize('is_new_leader', [False, True])
def test_host_with_an_odd_row_is_not_gone(is_named, is_new_leader):
    """Guards against a wave that counts an unreadable host as done.

    Upkeep of a host that the platform does not list is finished, and only a
    list that was read in full says that.
    """
    fleet = build_idle_fleet()
    odd, good = fleet.workers
    fleet.unreadable_hosts = {odd}
    fleet.has_nameless_row = not is_named
    if is_new_leader:
        fleet.fail_over()
    fleet.run(6.0)
    known = fleet.scheduler.known_hosts.rows.get(odd)
    wave = ids.WaveId('1')
    fleet.call_scheduler(calls.OpenWave(wave, (odd, good), 60.0, 1))
    fleet.run(12.0)
    record = fleet.scheduler.ledger.waves[wave].hosts
    assert record[good].is_finished
    assert good in fleet.hosts_done
    assert not record[odd].is_finished
    assert fleet.scheduler.known_hosts.rows.get(odd) == known
    fleet.unreadable_hosts.clear()
    fleet.has_nameless_row = False
    fleet.run(12.0)
    assert record[odd].is_finished
    assert odd in fleet.hosts_done


def test_host_known_as_up_before_its_upkeep_is_not_back():
    """Guards against the end of an upkeep taken from an earlier list."""
    fleet = build_idle_fleet()
    host = next(iter(fleet.workers))
    wave = ids.WaveId('1')
    fleet.call_scheduler(calls.OpenWave(wave, (host,), 60.0, 1))
    record = fleet.scheduler.ledger.waves[wave].hosts
    while host not in fleet.hosts_done:
        fleet.run(0.05)
    fleet.unreadable_hosts = {host}
    fleet.run(6.0)
    assert fleet.scheduler.known_hosts.rows[host].state.value == 'up'
    assert not record[host].is_finished


@pytest.mark.parametrize(
    ('row', 'answered'),
    [
        (b'["i-2",7]', ('i-1', 'i-3')),
        (b'["i-2",' + DEEP + b']', ('i-1', 'i-3')),
        (b'[7,"x"]', ('i-1',)),
    ],
)
def test_worker_with_an_odd_approval_is_not_refused(row, answered):
    """Guards against a refusal, which is final, taken from an odd row."""
    body = b'{"approved":[["i-1","t"],' + row + b'],"validity_ms":9}'
    approvals = host_rows.decode_approvals(body)
    assert approvals.approved == (('i-1', 't'),)
    assert approvals.validity_ms == 9
    order = orders.AskApproval(
        builders.build_job_id(), 0, 0, ('i-1', 'i-2', 'i-3')
    )
    assert hosts._find_answered_workers(order, approvals) == answered


def build_busy_worker() -> tuple[workers.FakeFleet, workers.FakeWorker]:
    """Return a fleet of one worker that runs two long-running tasks."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(1, 'red')
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_lasting_job(2))
    )
    (worker,) = fleet.workers.values()
    while len(worker.running) < 2:
        fleet.run(0.05)
    fleet.run(1.0)
    return fleet, worker


def send_partial_heartbeat(fleet, worker, **fields):
    """Send a heartbeat with one unreadable row; return the answer."""
    heartbeat = worker.make_heartbeat(fleet.now)
    heartbeat = msgspec.structs.replace(heartbeat, **fields)
    call = calls.decode_call(
        calls.encode_call(calls.PartialHeartbeat(heartbeat, 1))
    )
    return fleet.call_scheduler(call).unwrap()


@pytest.mark.parametrize('is_new_leader', [False, True])
def test_run_with_an_odd_row_is_not_started_again(is_new_leader):
    """Guards against a run that is at work twice, or is killed.

    The row of a run that is at work cannot be read for half a second.
    """
    fleet, worker = build_busy_worker()
    if is_new_leader:
        fleet.fail_over()
    worker.is_silent = True
    before = list(fleet.starts)
    running = worker.make_heartbeat(fleet.now).running
    for _ in range(5):
        answer = send_partial_heartbeat(fleet, worker, running=running[1:])
        assert answer.lease_ms
        assert not answer.starts
        assert not answer.stops
        worker.lease_end = fleet.now + answer.lease_ms / 1_000.0
        fleet.run(0.1)
    worker.is_silent = False
    fleet.run(5.0)
    assert fleet.starts == before
    assert len(worker.running) == 2


def test_lease_ends_while_the_row_of_a_run_stays_odd():
    """Guards against a run that is held for ever although it was lost."""
    fleet, worker = build_busy_worker()
    worker.is_silent = True
    began_at = fleet.now
    for _ in range(100):
        answer = send_partial_heartbeat(fleet, worker, running=())
        if not answer.lease_ms:
            break
        worker.lease_end = fleet.now + answer.lease_ms / 1_000.0
        fleet.run(0.2)
    limit_s = fleet.scheduler.max_lease_s
    assert limit_s < fleet.now - began_at < limit_s + 0.5
    before = len(fleet.starts)
    while fleet.now < worker.lease_end:
        send_partial_heartbeat(fleet, worker, running=())
        fleet.run(0.2)
    assert not worker.running
    worker.is_silent = False
    fleet.run(3.0)
    assert len(fleet.starts) == before + 2
    assert len(worker.running) == 2


def test_odd_row_of_another_writer_holds_up_no_work():
    """Guards against a worker that is not used because of a foreign row."""
    fleet, worker = build_busy_worker()
    job = builders.build_batch_job(builders.build_step(1))
    fleet.call_scheduler(builders.build_submission(2, job=job))
    answer = send_partial_heartbeat(fleet, worker)
    assert answer.lease_ms
    assert len(answer.starts) == 1


def test_exception_that_reaches_the_event_loop_is_one_line(caplog):
    """Guards against errors that only the library's own format shows."""

    async def fail():
        raise RuntimeError('a bug')

    async def check():
        background.install_exception_handler()
        loop = asyncio.get_running_loop()
        loop.call_soon(int, 'x')
        task = asyncio.create_task(fail(), name='unread')
        await asyncio.sleep(0.01)
        del task
        gc.collect()

    support.run(check())
    lines = [record.getMessage() for record in caplog.records]
    lines = [line for line in lines if line.startswith('event=loop_exc')]
    assert len(lines) == 2
    assert 'invalid literal' in lines[0]
    assert 'source=unread error="a bug"' in lines[1]


def test_announcement_of_a_peer_with_an_odd_address_is_refused():
    """Guards against requests to an upstream that nobody can connect to."""
    upstream = builders.build_upstream()
    for address in ODD_ADDRESSES:
        odd = msgspec.structs.replace(upstream, address=address)
        text = msgspec.json.encode(odd)
        with pytest.raises(decoding.DecodingError):
            dispatcher._decode_upstream(text)
    good = msgspec.structs.replace(upstream, address='127.0.0.1:7001')
    assert dispatcher._decode_upstream(msgspec.json.encode(good)) == good


@pytest.mark.parametrize('address', [*ODD_ADDRESSES, ''])
def test_member_with_an_odd_address_is_not_added(address):
    """Guards against a member that nobody reaches in the place of another."""
    request = requests.ChangeMembers(ids.NodeId('m9'), address)
    with pytest.raises(decoding.DecodingError):
        requests.check(requests.encode(request).unwrap())
    for good in (
        requests.ChangeMembers(ids.NodeId('m9'), '127.0.0.1:7001'),
        requests.ChangeMembers(remove=ids.NodeId('m9')),
    ):
        assert requests.check(requests.encode(good).unwrap()) == good


class OddFleet(workers.FakeFleet):
    """A fleet in which rows of running tasks cannot be read at random."""

    def __init__(self, seed: int) -> None:
        self.odd_random = support.get_random(seed)
        self.odd_share = 0.0
        self.partial_heartbeats = 0
        super().__init__(builders.build_configuration(), seed=seed)

    def call_scheduler(self, call):
        """Send a call; some heartbeats lack rows that could not be read."""
        if isinstance(call, calls.Heartbeat):
            call = self._drop_rows(call)
        return super().call_scheduler(call)

    def _drop_rows(self, call):
        read = tuple(
            row
            for row in call.running
            if self.odd_random.random() >= self.odd_share
        )
        unread = len(call.running) - len(read)
        if not unread:
            return call
        self.partial_heartbeats += 1
        heartbeat = msgspec.structs.replace(call, running=read)
        return calls.PartialHeartbeat(heartbeat, unread)


@pytest.mark.parametrize('seed', range(6))
def test_rows_that_are_odd_at_random_double_no_run(seed):
    """Guards against a run that is started again while it is at work.

    The fleet fails if a task runs twice at a time or again after its end.
    Answers are lost meanwhile, and the leader changes.
    """
    fleet = OddFleet(seed)
    fleet.add_hosts(5, 'red')
    fleet.odd_share = 0.2
    fleet.lost_answer_share = 0.1
    jobs = [builders.build_job_id(number) for number in range(1, 16)]
    for number in range(1, 16):
        job = builders.build_batch_job(builders.build_step(6))
        if number % 5 == 0:
            job = builders.build_lasting_job(3)
        fleet.call_scheduler(builders.build_submission(number, job=job))
        fleet.run(0.4)
        if number in (5, 11):
            fleet.fail_over()
    fleet.run(20.0)
    assert fleet.partial_heartbeats > 100
    fleet.odd_share = 0.0
    fleet.run(20.0)
    for name in jobs[4::5]:
        assert fleet.count_running_tasks(name) == 3
    records = fleet.scheduler.ledger.jobs
    ended = [records[name] for name in jobs if jobs.index(name) % 5 != 4]
    assert {record.state for record in ended} == {states.BatchState.COMPLETED}
