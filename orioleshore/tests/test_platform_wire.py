"""Decoding and encoding of the bodies of the platform's interface."""

import json

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import msgspec
import pytest

from orioleshore.jobs import calls
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.platform import configuration_body
from orioleshore.platform import wire
from orioleshore.tests import builders

DECODE_ERRORS = (msgspec.DecodeError, ValueError)
TASK = builders.REPORTED_TASK


def test_heartbeat_is_decoded():
    """Guards against fields that are decoded as other fields."""
    heartbeat = wire.decode_heartbeat(
        'i-1', json.dumps(builders.build_heartbeat_body()).encode()
    )
    assert heartbeat.worker == 'i-1'
    assert heartbeat.incarnation == 1_772_447_999_000
    assert heartbeat.host == 'm-1'
    assert heartbeat.capacity.cpu_millis == 16_000
    assert heartbeat.running[0].task == '0.1.17'
    assert heartbeat.running[0].progress == 41
    assert heartbeat.ended[0].how is states.RunEnd.DONE


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'confused'},
        {'sequence': 'four'},
        {'service': 7},
        {'running': 7},
        {'finished': {}},
    ],
)
def test_malformed_heartbeat_is_refused(fields):
    """Guards against a worker that is used on half of its own words."""
    body = json.dumps(builders.build_heartbeat_body(**fields)).encode()
    with pytest.raises(DECODE_ERRORS):
        wire.decode_heartbeat('i-1', body)


@pytest.mark.parametrize('name', ['running', 'finished'])
@pytest.mark.parametrize('other', [[], [['odd']]])
def test_heartbeat_without_a_list_is_refused(name, other):
    """Guards against tasks that run twice after a message of another writer.

    A worker lists its runs and their ends also when there are none. Without
    a list, its runs counted as lost and started again beside themselves.
    """
    body = builders.build_heartbeat_body(running=other, finished=other)
    del body[name]
    with pytest.raises(DECODE_ERRORS):
        wire.decode_heartbeat('i-1', json.dumps(body).encode())


@pytest.mark.parametrize(
    ('name', 'row'),
    [
        ('running', [TASK]),
        ('running', ['no-task', 1, '', 0]),
        ('finished', [1, TASK, 1, 'vanished', '']),
    ],
)
def test_malformed_row_of_a_heartbeat_is_left_out(name, row):
    """Guards against a row that is accepted in part, or spoils the others.

    A leader must not take a run for ended whose row could not be read.
    """
    rows = {
        'running': [[f'{TASK}1', 2, '', 41]],
        'finished': [[7, f'{TASK}2', 1, 'done', '']],
    }
    good = wire.decode_heartbeat(
        'i-1', json.dumps(builders.build_heartbeat_body(**rows)).encode()
    )
    rows[name].insert(0, row)
    body = json.dumps(builders.build_heartbeat_body(**rows)).encode()
    call = wire.decode_heartbeat('i-1', body)
    if name == 'running':
        assert call == calls.PartialHeartbeat(good, 1)
    else:
        assert call == good


@pytest.mark.parametrize(
    ('good', 'odd', 'more'), [(499, 0, False), (499, 1, True), (500, 0, True)]
)
def test_full_list_of_ends_is_noted(good, odd, more):
    """Guards against runs taken for lost whose ends the worker holds back.

    Rows that cannot be read take up space in the list too.
    """
    row = [58, TASK, 1, 'done', '']
    fields = builders.build_heartbeat_body(finished=[row] * good + [[]] * odd)
    body = json.dumps(fields).encode()
    heartbeat = wire.decode_heartbeat('i-1', body)
    assert len(heartbeat.ended) == good
    assert heartbeat.has_more_ends is more


def test_orders_are_encoded_for_workers():
    """Guards against rows whose values are in the wrong order."""
    job = ids.JobId('5c0e7a21d94b36f8')
    task = ids.TaskName('0.1.18')
    answer = calls.HeartbeatAnswer(
        58,
        ids.Epoch(7),
        4_000,
        (calls.StartOrder(job, task, ids.Attempt(1), 'text'),),
        (calls.StopOrder(job, task, ids.Attempt(2)),),
        (calls.RateOrder(job, task, ids.Attempt(2), 40),),
        200,
        '10.0.0.4:8080',
    )
    assert json.loads(wire.encode_heartbeat_answer(answer)) == {
        'heartbeat_url': '10.0.0.4:8080',
        'hold_ms': 4_000,
        'observed': 58,
        'fencing_token': 7,
        'retry_ms': 200,
        'start': [['5c0e7a21d94b36f8.0.1.18', 1, 'text', '']],
        'stop': [['5c0e7a21d94b36f8.0.1.18', 2]],
        'rate_limit': [['5c0e7a21d94b36f8.0.1.18', 2, 40]],
    }


def test_answer_without_a_lease_grants_nothing():
    """Guards against a lease that is extended by an old heartbeat."""
    answer = calls.HeartbeatAnswer(0, ids.Epoch(7), 0)
    assert json.loads(wire.encode_heartbeat_answer(answer)) == {}


def test_configuration_is_decoded_and_its_source_kept():
    """Guards against a configuration that is returned with changes."""
    body = json.dumps(builders.build_configuration_body()).encode()
    found = configuration_body.decode_configuration(body)
    assert found.version == 7
    assert found.source == body
    assert found.queues[0].objective_ms == 3_600
    assert found.pools[0].guards_capacity


def make_route(**fields) -> dict:
    """Return a valid route with some fields replaced."""
    return builders.build_configuration_body()['routes'][0] | fields


@pytest.mark.parametrize(
    'fields',
    [
        {'routes': [make_route(service='green')]},
        {'routes': [make_route(timeout_ms=0)]},
        {'routes': [make_route(), make_route(name='r-2')]},
        {'version': 0},
        {'routes': 'none'},
    ],
)
def test_invalid_configuration_is_refused(fields):
    """Guards against a configuration with inconsistent parts."""
    body = json.dumps(builders.build_configuration_body(**fields)).encode()
    with pytest.raises(DECODE_ERRORS):
        configuration_body.decode_configuration(body)


def test_truncated_configuration_is_refused():
    """Guards against a document of which only the first part arrived."""
    body = json.dumps(builders.build_configuration_body()).encode()
    with pytest.raises(DECODE_ERRORS):
        configuration_body.decode_configuration(body[:-5])


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=12,
)


@hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
@given(
    name=strategies.sampled_from(sorted(builders.build_heartbeat_body())),
    value=JSON,
    cut=strategies.integers(0, 40),
)
def test_damaged_heartbeats_raise_only_decode_errors(name, value, cut):
    """Guards against a heartbeat that stops the process."""
    text = json.dumps(builders.build_heartbeat_body(**{name: value}))
    body = text[: len(text) - cut].encode()
    try:
        wire.decode_heartbeat('i-1', body)
    except DECODE_ERRORS:
        return
