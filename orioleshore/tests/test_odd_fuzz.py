"""Fuzzed lists and messages: no task fails, and the other rows are followed.

Each field of valid data is replaced, removed or joined by an odd one.
"""

import asyncio

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest
from result import Ok

from fakes import workers
from orioleshore.consensus import client
from orioleshore.consensus import discovery
from orioleshore.consensus import events as consensus_events
from orioleshore.consensus import log
from orioleshore.consensus import requests
from orioleshore.consensus import segments
from orioleshore.consensus import snapshots
from orioleshore.frontends import platform as frontend_platform
from orioleshore.frontends import submission
from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.membership import gossip
from orioleshore.membership import packing
from orioleshore.model import changes
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.platform import configuration_body
from orioleshore.platform import host_rows
from orioleshore.platform import wire
from orioleshore.protocol import messages
from orioleshore.state import commands
from orioleshore.state import queries
from orioleshore.state import records
from orioleshore.state import subscriber
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tests import builders
from orioleshore.tests import odd_values
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

FUZZ = odd_values.FUZZ
JOB = builders.build_job_id()
HEADER = messages.Header(
    ids.NodeId('m0'), ids.Incarnation(1), 1, '127.0.0.1:7001'
)
MACHINE = {
    'machine': 'm-odd',
    'pool': 'red',
    'state': 'up',
    'zone': 'az-1',
    'labels': ['a', 'r1-1'],
    'capacity': {'cpus': 4_000, 'mem_mb': 8_192, 'gpus': 0},
    'id': 'i-1',
}
GOOD_MACHINES = [MACHINE | {'machine': f'm-{n}'} for n in range(3)]
RUN = [f'{JOB}.0.0.0', 1, '', 41, 3]
END = [1, f'{JOB}.0.0.1', 1, 'done', '']


def to_plain(value):
    """Return a value as plain lists and mappings."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value))


def build_commands() -> list:
    return [
        commands.RecordProgress(
            time=1.0,
            epoch=ids.Epoch(1),
            changes=(
                ledger.TaskStarted(JOB, '0.0.0', 1, 'i-1', 1, 1),
                ledger.ConfigurationChanged(builders.build_configuration()),
            ),
        ),
        requests.ChangeMembers(add=ids.NodeId('m3'), address='127.0.0.1:7'),
    ]


SNAPSHOT = consensus_events.Snapshot(
    2,
    1,
    builders.build_members('m0', 'm1'),
    records.encode_state(records.State()),
)
CALLS = [
    builders.build_heartbeat(
        running=(calls.RunReport(JOB, '0.0.0', 1),),
        ended=(calls.EndReport(1, JOB, '0.0.1', 1, states.RunEnd.DONE),),
    ),
    calls.PartialHeartbeat(builders.build_heartbeat(), 1),
    builders.build_submission(),
    calls.PutConfiguration(builders.build_configuration()),
    calls.OpenWave(ids.WaveId('1'), (ids.HostId('m-1'),), 5.0, 1),
    calls.GetWave(ids.WaveId('1')),
    calls.NoteHosts(1.0, (), (ids.HostId('m-1'),), False),
]
ANSWERS = [
    (CALLS[0], calls.HeartbeatAnswer(1, ids.Epoch(1), 3_000)),
    (calls.GetJob('h', '/'), calls.JobStatus(states.BatchState.QUEUED)),
    (calls.GetConfiguration(), builders.build_configuration()),
    (calls.GetWave(ids.WaveId('1')), calls.WaveStatus(True)),
    (calls.LeaveWorker(ids.WorkerId('i-1')), None),
]
EDIT = changes.Edit(
    changes.Section.HOSTS,
    'host-0',
    changes.encode_item(builders.build_host('host-0')),
)
# Decoders of MessagePack with valid values.
BINARY = {
    'call': (calls.decode_call, CALLS),
    'request': (requests.decode, build_commands()),
    'checked request': (requests.check, build_commands()),
    'command': (commands.decode_command, build_commands()[:1]),
    'query': (queries.decode_query, [queries.GetMembers()]),
    'members': (log.decode_members, [builders.build_members('m0', 'm1')]),
    'snapshot': (snapshots.decode_snapshot, [SNAPSHOT]),
    'state': (records.decode_state, [records.State()]),
    'hard state': (
        segments._HARD_STATE_DECODER.decode,
        [consensus_events.HardState(1, 'm0')],
    ),
    'entry': (segments._ENTRY_DECODER.decode, [builders.build_entry(1)]),
    'edits': (subscriber._EDITS_DECODER.decode, [(EDIT,)]),
    'cache': (
        subscriber._CACHE_DECODER.decode,
        [
            subscriber.CachedConfiguration(
                ids.Version(1), builders.build_document()
            )
        ],
    ),
}
# Decoders of JSON with valid values.
TEXTS = {
    'hosts': (
        host_rows.decode_page,
        [{'machines': GOOD_MACHINES, 'next_token': 'x'}],
    ),
    'approvals': (
        host_rows.decode_approvals,
        [{'approved': [['i-1', 't'], ['i-2', 't']], 'validity_ms': 9}],
    ),
    'job': (
        wire.decode_job,
        [{'spec': 'x', 'steps': [{'replicas': 2, 'after': []}]}],
    ),
    'heartbeat': (
        lambda body: wire.decode_heartbeat('i-1', body),
        [builders.build_heartbeat_body(running=[RUN], finished=[END])],
    ),
    'configuration': (
        configuration_body.decode_configuration,
        [builders.build_configuration_body()],
    ),
    'wave': (
        wire.decode_wave,
        [{'wave': 1, 'machines': ['m-1'], 'duration_s': 5, 'cap': 1}],
    ),
    'reports': (
        lambda body: frontend_platform.PlatformTask(
            'http://127.0.0.1:1', service.TimerService(clock.SystemClock())
        )._decode_reports(body),
        [{'reports': [{'host': 'h-1', 'state': 'drained'}], 'next': 2}],
    ),
    'document': (
        submission.read_document,
        [{'version': 1, 'document': to_plain(builders.build_document())}],
    ),
    'plain': (decoding.decode_plain_json, [{'a': [1, {'b': []}]}]),
}


@pytest.mark.parametrize('name', BINARY)
def test_odd_binary_data_is_decoded_or_refused(name):
    """Guards against an error of a library that no reader expects."""
    decode, values = BINARY[name]

    @FUZZ
    @given(
        odd_values.draw_odd(
            [to_plain(value) for value in values], odd_values.MSGPACK_VALUES
        )
    )
    def check(value):
        try:
            decode(odd_values.encode_msgpack(value))
        except decoding.DecodingError:
            return

    for value in values:
        decode(msgspec.msgpack.encode(value))
    check()


@pytest.mark.parametrize('name', TEXTS)
def test_odd_text_is_decoded_or_refused(name):
    """Guards against an error of a library that no reader expects."""
    decode, values = TEXTS[name]

    @FUZZ
    @given(odd_values.draw_odd(values))
    def check(value):
        try:
            decode(odd_values.encode_json(value))
        except decoding.DecodingError:
            return

    for value in values:
        decode(odd_values.encode_json(value))
    check()


@pytest.mark.parametrize(('call', 'answer'), ANSWERS, ids=range(len(ANSWERS)))
def test_odd_answer_to_a_call_is_decoded_or_refused(call, answer):
    """Guards against an answer that fails the control client."""
    sent: mailbox.Mailbox = mailbox.Mailbox('transport', 1_000)
    timers = service.TimerService(clock.ManualClock())
    task = client.ControlClient(('127.0.0.1:7001',), sent, timers)

    @FUZZ
    @given(
        odd_values.draw_odd([[to_plain(answer)]], odd_values.MSGPACK_VALUES),
        strategies.sampled_from(['', 'odd', 'job_unknown']),
    )
    def check(value, kind):
        data = b''.join(odd_values.encode_msgpack(item) for item in value)

        async def send():
            outcome = reply.Reply()
            await task.handle(client.Call(call, outcome, 5.0))
            (message,) = builders.take_messages(sent)
            header = msgspec.structs.replace(
                HEADER, correlation=message.correlation
            )
            await task.handle(
                messages.Received(
                    header, messages.QueryReply(kind, '', data, '')
                )
            )

        asyncio.run(send())

    check()


@FUZZ
@given(odd_values.draw_odd([MACHINE]), strategies.integers(0, 3))
def test_good_hosts_beside_an_odd_one_are_followed(row, position):
    """Guards against a list that is dropped, and a host that is forgotten."""
    rows = list(GOOD_MACHINES)
    rows.insert(position, row)
    page = host_rows.decode_page(
        odd_values.encode_json({'machines': rows, 'next_token': None})
    )
    found = {info.host for info in page.hosts}
    assert {'m-0', 'm-1', 'm-2'} <= found
    assert len(page.hosts) + len(page.odd) == 4
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.call_scheduler(
        calls.NoteHosts(
            fleet.now,
            page.hosts,
            tuple(item.key for item in page.odd if item.key),
            all(item.key for item in page.odd),
        )
    ).unwrap()
    fleet.scheduler.tick(fleet.now + 0.1, fleet.wall)
    if page.odd and 'm-odd' not in found:
        is_missing = fleet.scheduler.known_hosts.is_missing
        assert not is_missing(ids.HostId('m-odd')) or (
            page.odd[0].key not in (None, 'm-odd')
        )


@FUZZ
@given(
    odd_values.draw_odd([RUN]),
    odd_values.draw_odd([END]),
    strategies.integers(0, 2),
)
def test_good_runs_beside_an_odd_one_are_followed(run, end, position):
    """Guards against a heartbeat that is dropped for one odd row."""
    running = [[f'{JOB}.0.1.{n}', 2, '', 41] for n in range(2)]
    finished = [[n + 5, f'{JOB}.0.2.{n}', 1, 'done', ''] for n in range(2)]
    good = wire.decode_heartbeat(
        'i-1',
        odd_values.encode_json(
            builders.build_heartbeat_body(running=running, finished=finished)
        ),
    )
    running.insert(position, run)
    finished.insert(position, end)
    call = wire.decode_heartbeat(
        'i-1',
        odd_values.encode_json(
            builders.build_heartbeat_body(running=running, finished=finished)
        ),
    )
    unread_runs = 0
    if isinstance(call, calls.PartialHeartbeat):
        unread_runs = call.unread_runs
        call = call.heartbeat
    assert len(call.running) + unread_runs == 3
    assert set(good.running) <= set(call.running)
    assert set(good.ended) <= set(call.ended)
    calls.decode_call(calls.encode_call(call))


@FUZZ
@given(
    odd_values.draw_odd(
        [
            to_plain(
                msgspec.msgpack.decode(
                    packing.pack_peer(
                        builders.build_peer('n', address='127.0.0.1:7')
                    ).data
                )
            )
        ],
        odd_values.MSGPACK_VALUES,
    ),
    strategies.sampled_from(['alive', 'dead', 'left', '', 'resting']),
    strategies.sampled_from([0, 1, -1, 2**62, 2**63 - 1]),
)
def test_membership_follows_good_rumours_beside_an_odd_one(
    details, state, incarnation
):
    """Guards against one rumour that ends one process after the other."""
    own = builders.build_detector('127.0.0.1:7000', seeds=())
    timers = service.TimerService(clock.ManualClock())
    sent: mailbox.Mailbox = mailbox.Mailbox('transport', 64)
    task = gossip.Gossip(own, sent, timers, (), 1.0)
    good = builders.build_peer('good', address='127.0.0.1:7002')
    odd = messages.Rumour(
        packing.PEER_UPDATE_KIND,
        'odd',
        ids.Incarnation(incarnation),
        state,
        odd_values.encode_msgpack(details),
    )
    probe = messages.Probe(1, (odd, packing.pack_peer(good)))
    asyncio.run(task.handle(messages.Received(HEADER, probe)))
    assert own.peers[good.node].address == good.address


@FUZZ
@given(
    odd_values.draw_odd(
        [[to_plain((EDIT,)), {'a': 1}]], odd_values.MSGPACK_VALUES
    ),
    odd_values.draw_odd([to_plain(builders.build_host('host-0'))]),
)
def test_configuration_is_kept_when_an_update_is_odd(edits, item):
    """Guards against an update that ends each process that it reaches."""
    sent: mailbox.Mailbox = mailbox.Mailbox('transport', 64)
    timers = service.TimerService(clock.ManualClock())
    task = subscriber.Subscriber(
        frozenset(changes.Section), (), sent, timers, ()
    )
    odd_item = changes.Edit(
        changes.Section.HOSTS, 'host-0', odd_values.encode_json(item)
    )
    good = msgspec.msgpack.encode((EDIT,))
    parts = [
        odd_values.encode_msgpack(edits),
        msgspec.msgpack.encode((odd_item,)),
    ]

    async def check():
        for version, data in enumerate([*parts, good], 1):
            update = messages.ConfigDelta(
                ids.Version(0), ids.Version(version), data, True
            )
            await task.handle(messages.Received(HEADER, update))

    asyncio.run(check())
    configuration = task._configuration
    assert configuration.version == 3
    assert len(configuration.document.hosts) == 1


@FUZZ
@given(odd_values.draw_odd([{'addresses': ['127.0.0.1:1', '127.0.0.1:2']}]))
def test_members_that_can_be_reached_are_found(answer):
    """Guards against a list of members that fails the discovery."""
    control: mailbox.Mailbox = mailbox.Mailbox('control', 64)
    timers = service.TimerService(clock.ManualClock())
    seeds = ('127.0.0.1:9',)
    task = discovery.DiscoveryTask(seeds, control, timers)

    async def check():
        refresh = asyncio.ensure_future(task.refresh_members())
        call = await control.get()
        call.answer.resolve(Ok(odd_values.encode_json(answer)))
        await refresh

    asyncio.run(check())
    for found in builders.take_messages(control):
        assert seeds[0] in found.addresses
        assert '127.0.0.1:70000' not in found.addresses


def test_request_that_the_leader_accepts_is_too_deep_for_no_member():
    """Guards against an entry that ends each member that applies it.

    The stack bounds the nesting of what is skipped, and members decode the
    entry at another depth of the stack than the leader checks it.
    """

    def decode_below(data, calls_left):
        if not calls_left:
            return requests.decode(data)
        return decode_below(data, calls_left - 1)

    accepted = 0
    for depth in range(10, 1_200, 10):
        data = msgspec.msgpack.encode(build_commands()[1])
        # A map of five members becomes one of six.
        assert data[0] == 0x85
        odd = b'\x86' + data[1:] + b'\xa1x' + b'\x91' * depth + b'\xc0'
        try:
            requests.check(odd)
        except decoding.DecodingError:
            continue
        accepted += 1
        assert decode_below(odd, 100) == build_commands()[1]
    assert 10 < accepted < 110
