"""Malformed input at each boundary: refused or dropped, and nothing else.

The examples are valid bodies with some values replaced by others that have
the wrong type, size or form. The environment variable
``ORIOLESHORE_FUZZ_EXAMPLES`` sets the number of examples.
"""

import asyncio

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest
from result import Ok

from fakes import workers
from orioleshore.consensus import client
from orioleshore.consensus import events
from orioleshore.consensus import member_messages
from orioleshore.consensus import validation
from orioleshore.frontends import access
from orioleshore.jobs import calls
from orioleshore.jobs import failure_pauses
from orioleshore.jobs import ledger
from orioleshore.jobs import pools
from orioleshore.jobs import scheduler
from orioleshore.jobs import task as jobs_task
from orioleshore.model import errors
from orioleshore.model import numbers
from orioleshore.platform import configuration_body
from orioleshore.platform import wire
from orioleshore.protocol import codec
from orioleshore.protocol import messages
from orioleshore.state import commands
from orioleshore.tasks import reply
from orioleshore.tests import builders
from orioleshore.tests import odd_values
from orioleshore.tests import support
from orioleshore.timers import service as timer_service

REFUSALS = (msgspec.DecodeError, ValueError)
FUZZ = odd_values.FUZZ


@strategies.composite
def draw_body(draw, bodies):
    """Draw a body with one to three odd values, encoded as JSON."""
    body = draw(strategies.sampled_from(bodies))
    for _ in range(draw(strategies.integers(1, 3))):
        places = odd_values.list_places(body)
        if not places:
            break
        place = draw(strategies.sampled_from(places))
        body = odd_values.replace_value(
            body, place, draw(odd_values.ODD_VALUES)
        )
    return odd_values.encode_json(body)


def build_bodies():
    """Return valid bodies with the function that decodes each."""
    name = builders.build_job_id()
    step = {'replicas': 2, 'cpus': 100, 'mem_mb': 64, 'after': []}
    lasting = {**step, 'long_running': True, 'may_miss': 1}
    return {
        'job': [{'spec': 'x', 'steps': [step, lasting], 'repeat_count': 0}],
        'heartbeat': [
            builders.build_heartbeat_body(
                running=[[f'{name}.0.0.0', 1, '', 41, 3]],
                finished=[[1, f'{name}.0.0.1', 1, 'done', '']],
            )
        ],
        'configuration': [builders.build_configuration_body()],
        'wave': [{'wave': 1, 'machines': ['m-1'], 'duration_s': 5, 'cap': 1}],
    }


BODIES = build_bodies()
DECODERS = {
    'job': lambda body: builders.build_submission(job=wire.decode_job(body)),
    'heartbeat': lambda body: wire.decode_heartbeat('i-1', body),
    'configuration': lambda body: calls.PutConfiguration(
        configuration_body.decode_configuration(body)
    ),
    'wave': wire.decode_wave,
}


def build_fleet() -> workers.FakeFleet:
    """Return a fleet that runs one job."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(2, 'red')
    job = builders.build_batch_job(builders.build_step(2))
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(0.3)
    return fleet


@pytest.mark.parametrize('kind', list(BODIES))
def test_scheduler_survives_malformed_bodies(kind):
    """Guards against one message that takes down each leader in turn.

    A worker repeats a heartbeat to each next leader, and a change that is
    stored is applied by all members.
    """
    fleet = build_fleet()

    @FUZZ
    @given(draw_body(BODIES[kind]))
    def check(body):
        try:
            call = DECODERS[kind](body)
        except REFUSALS:
            return
        outcome = fleet.call_scheduler(
            calls.decode_call(calls.encode_call(call))
        )
        if outcome.is_ok():
            calls.encode_answer(outcome.unwrap())
        fleet.run(0.2)

    check()
    changes = tuple(fleet.log)
    command = commands.RecordProgress(time=1.0, epoch=1, changes=changes)
    data = msgspec.msgpack.encode(command)
    assert msgspec.msgpack.decode(data, type=commands.Command) == command


@pytest.mark.parametrize('task', ['abc', '-1.0.0', '0.0', '0.0.0\n', '٠.0.0'])
def test_heartbeat_with_malformed_task_name_is_refused(task):
    """Guards against a task name of a known job that no index fits.

    Front ends of other builds may send what this one refuses.
    """
    for heartbeat in (
        builders.build_heartbeat(
            running=(calls.RunReport(builders.build_job_id(), task, 1),)
        ),
        builders.build_heartbeat(
            ended=(
                calls.EndReport(1, builders.build_job_id(), task, 1, 'done'),
            )
        ),
    ):
        with pytest.raises(msgspec.ValidationError):
            calls.decode_call(calls.encode_call(heartbeat))


def test_call_that_cannot_be_encoded_is_refused():
    """Guards against a control client that fails on a worker's name.

    A path may hold bytes that are no UTF-8, and numbers of any size.
    """
    for call in (
        calls.LeaveWorker('i-\udcff'),
        builders.build_heartbeat(sequence=2**70),
    ):
        assert client._encode_request(call).is_err()


@FUZZ
@given(
    strategies.sampled_from(
        [
            messages.Vote(2, 9, 1, 'm0-0'),
            messages.Append(1, 1, 1, (messages.Entry(2, 1, 1, b'x'),), 1, 1),
            messages.SnapshotChunk(1, 8, 1, 0, b'1234', True),
            messages.Query('jobs', b'x'),
            messages.Propose(b'x'),
        ]
    ),
    strategies.integers(0, 400),
    strategies.binary(min_size=1, max_size=4),
)
def test_damaged_frame_is_decoded_or_refused(message, position, damage):
    """Guards against a frame of a peer that fails the transport."""
    header = messages.Header('m0', 1, 1, '127.0.0.1:1')
    frame = bytearray(codec.encode(header, message))
    position %= len(frame)
    frame[position : position + len(damage)] = damage
    codec.decode(bytes(frame))


def test_stored_change_with_malformed_task_name_is_refused():
    """Guards against a change that every member fails to apply."""
    change = ledger.TaskStarted(builders.build_job_id(), 'abc', 1, 'i-1', 1, 1)
    command = commands.RecordProgress(time=1.0, epoch=1, changes=(change,))
    data = msgspec.msgpack.encode(command)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=commands.Command)


@pytest.mark.parametrize(
    'message',
    [
        messages.Append(1, -1, 1, (), 1, 1),
        messages.Append(1, 1, 1, (messages.Entry(4, 1, 1, b''),), 1, 1),
        messages.Append(1, 1, 1, (messages.Entry(2, 9, 1, b''),), 1, 1),
        messages.Append(1, 1, 1, (messages.Entry(2, 1, 7, b''),), 1, 1),
        messages.Append(1, 1, 1, (messages.Entry(2, 1, 3, b'x'),), 1, 1),
        messages.Vote(-2, 9, 1, 'm0-0'),
        messages.SnapshotChunk(1, 8, 1, -4, b'', False),
        messages.SnapshotChunk(0, 8, 0, 0, b'', False),
        messages.Append(0, 0, 0, (), 0, 1),
    ],
)
def test_malformed_message_of_a_member_is_found(message):
    """Guards against a faulty peer that fails each member it talks to."""
    assert validation.find_problem(message)
    good = messages.Append(1, 1, 1, (messages.Entry(2, 1, 1, b''),), 1, 1)
    assert not validation.find_problem(good)


def test_damaged_snapshot_is_requested_again():
    """Guards against a follower that fails on a snapshot of its leader."""
    follower = builders.build_raft('m1')
    chunk = messages.SnapshotChunk(1, 8, 1, 0, b'no snapshot', True)
    follower.handle(events.MessageReceived('m0', chunk), 110.0)
    assert follower.log.snapshot is None


@pytest.mark.parametrize('text', ['²', '٣', '-1', '1.0', '', '9' * 5_000])
def test_text_that_is_no_count_is_refused(text):
    """Guards against digits that ``int`` refuses."""
    assert numbers.parse_count(text) is None
    assert numbers.parse_count('0815') == 815


def test_form_token_with_other_characters_is_refused():
    """Guards against a comparison that raises TypeError."""
    authenticator = access.Authenticator({})
    assert not authenticator.is_form_token_valid('alice', 'tökén\ud800')


def test_call_that_raises_is_refused_and_others_go_on(monkeypatch):
    """Guards against a call that ends each leader in turn.

    The scheduler may be half changed by the call, so its state is requested
    again, and only once the commit in progress has ended.
    """
    task, consensus = builders.build_jobs_task()
    outcomes = []

    def send(call):
        answer = reply.Reply()
        answer.add_callback(outcomes.append)
        task.mailbox.put(calls.CallRequest(call, answer))

    async def handle_next():
        await task.handle(task.mailbox.get_nowait())
        # Callbacks of answers run in the next round of the event loop.
        await asyncio.sleep(0)

    def raise_error(self, call, now, wall_time):
        raise RuntimeError('a bug')

    async def check():
        await builders.start_leading(task)
        send(builders.build_submission())
        await handle_next()
        (commit,) = builders.take_messages(consensus)
        with monkeypatch.context() as patch:
            patch.setattr(scheduler.Scheduler, 'handle', raise_error)
            for _ in range(2):
                send(builders.build_heartbeat())
                await handle_next()
        assert [o.unwrap_err().kind for o in outcomes] == [
            errors.ErrorKind.INTERNAL,
            errors.ErrorKind.NOT_LEADER,
        ]
        assert not builders.take_messages(consensus)
        commit.answer.resolve(Ok(None))
        await asyncio.sleep(0)
        await handle_next()
        assert outcomes[-1].is_ok()
        (resend,) = builders.take_messages(consensus)
        assert isinstance(resend, member_messages.ResendState)
        await builders.start_leading(task)
        for call in (builders.build_heartbeat(), builders.build_submission(2)):
            send(call)
        await handle_next()
        (failure,) = outcomes[3:]
        assert failure.unwrap_err().kind is errors.ErrorKind.INTERNAL
        assert len(builders.take_messages(consensus)) == 1

    support.run(check())


def test_step_of_the_tick_that_raises_is_left_out(monkeypatch):
    """Guards against an error in periodic work that ends each new leader."""
    task, consensus = builders.build_jobs_task()
    advanced = []

    def advance_pools(self):
        advanced.append(self)
        raise RuntimeError('a bug')

    monkeypatch.setattr(pools.Pools, 'advance', advance_pools)

    async def tick(delay_s: float):
        task._timers.clock.advance(delay_s)
        await task.handle(timer_service.TimerFired(jobs_task.TICK))

    async def check():
        await builders.start_leading(task)
        await tick(0.1)
        *_, resend = builders.take_messages(consensus)
        assert isinstance(resend, member_messages.ResendState)
        await builders.start_leading(task)
        await tick(0.1)
        # The list of hosts is still requested.
        (commit,) = builders.take_messages(consensus)
        assert isinstance(commit, member_messages.SubmitCommand)
        assert len(advanced) == 1
        await tick(failure_pauses.FAILURE_PAUSE_S)
        assert len(advanced) == 2

    support.run(check())
