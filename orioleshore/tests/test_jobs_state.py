"""Job commands are checked again when they are applied.

Guards against a stale leader or planner that starts an attempt twice, or
records an attempt as lost that may still be running.
"""

import msgspec
import pytest

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import job_commands
from orioleshore.state import machine
from orioleshore.state import records
from orioleshore.tests import builders

JOB = ids.JobId('job-1')
LEASE_S = 60.0
GRACE_END = builders.NOW + LEASE_S + job_commands.LEASE_GRACE_S


def build_state(**fields):
    jobs = (builders.build_job(**fields),)
    return builders.build_state(builders.build_document(jobs=jobs))


def build_placement(attempt=1, worker='freight-1', epoch=3):
    return commands.PlaceTask(
        time=builders.NOW,
        job=JOB,
        attempt=ids.Attempt(attempt),
        worker=ids.HostId(worker),
        epoch=ids.Epoch(epoch),
        lease_until=ids.WallTime(builders.NOW + LEASE_S),
    )


def build_result(result, attempt=1, now=builders.NOW, **fields):
    return commands.RecordTaskResult(
        time=ids.WallTime(now),
        job=JOB,
        attempt=ids.Attempt(attempt),
        result=result,
        **{'epoch': ids.Epoch(3), **fields},
    )


LOST = states.TaskResult.LOST


@pytest.mark.parametrize(
    ('applied', 'command', 'kind'),
    [
        (
            [build_placement()],
            build_placement(),
            errors.ErrorKind.ILLEGAL_TRANSITION,
        ),
        (
            [build_placement()],
            build_placement(2),
            errors.ErrorKind.ILLEGAL_TRANSITION,
        ),
        ([], build_placement(2), errors.ErrorKind.ILLEGAL_TRANSITION),
        ([], build_placement(worker='other'), errors.ErrorKind.NOT_FOUND),
        (
            [build_placement(), build_result(states.TaskResult.STOPPED)],
            build_placement(2, epoch=2),
            errors.ErrorKind.STALE_EPOCH,
        ),
        (
            [build_placement()],
            build_result(LOST, now=GRACE_END - 1.0),
            errors.ErrorKind.ILLEGAL_TRANSITION,
        ),
        (
            [build_placement()],
            build_result(LOST, now=GRACE_END, epoch=ids.Epoch(2)),
            errors.ErrorKind.STALE_EPOCH,
        ),
        (
            [build_placement(), build_result(states.TaskResult.SUCCEEDED)],
            build_result(states.TaskResult.FAILED),
            errors.ErrorKind.ILLEGAL_TRANSITION,
        ),
    ],
)
def test_invalid_command_is_refused(applied, command, kind):
    state = build_state()
    for earlier in applied:
        machine.apply_command(earlier, state).unwrap()
    before = msgspec.msgpack.encode(state.jobs)
    failure = machine.apply_command(command, state).unwrap_err()
    assert failure.kind is kind
    assert msgspec.msgpack.encode(state.jobs) == before


def test_draining_worker_gets_no_attempt():
    state = build_state()
    host = ids.HostId('freight-1')
    state.hosts[host] = msgspec.structs.replace(
        state.hosts[host], state=states.HostState.DRAINING
    )
    assert machine.apply_command(build_placement(), state).is_err()


@pytest.mark.parametrize(
    ('result', 'idempotent', 'expected'),
    [
        (states.TaskResult.SUCCEEDED, False, states.JobState.DONE),
        (states.TaskResult.CHECKPOINTED, False, states.JobState.WAITING),
        (states.TaskResult.NOT_STARTED, False, states.JobState.WAITING),
        (states.TaskResult.FAILED, False, states.JobState.QUARANTINED),
        (states.TaskResult.FAILED, True, states.JobState.WAITING),
        (states.TaskResult.STOPPED, False, states.JobState.UNKNOWN),
        (states.TaskResult.STOPPED, True, states.JobState.WAITING),
        (states.TaskResult.LOST, False, states.JobState.UNKNOWN),
        (states.TaskResult.LOST, True, states.JobState.WAITING),
    ],
)
def test_result_decides_the_next_job_state(result, idempotent, expected):
    state = build_state(idempotent=idempotent)
    machine.apply_command(build_placement(), state).unwrap()
    machine.apply_command(build_result(result, now=GRACE_END), state).unwrap()
    assert state.jobs[JOB].state is expected


def test_kept_attempts_are_bounded_and_numbers_increase():
    state = build_state()
    for number in range(1, 21):
        machine.apply_command(build_placement(number), state).unwrap()
        stopped = build_result(states.TaskResult.STOPPED, number)
        machine.apply_command(stopped, state).unwrap()
    record = state.jobs[JOB]
    assert len(record.attempts) == job_commands.MAX_ATTEMPTS_KEPT
    assert job_commands.get_next_attempt(record) == 21
    restored = records.decode_state(records.encode_state(state))
    assert restored.jobs == state.jobs


def test_renewal_extends_running_attempts_and_never_shortens_leases():
    state = build_state()
    machine.apply_command(build_placement(), state).unwrap()
    for attempt, lease_s, expected_s in (
        (1, 90, 90),
        (1, 30, 90),
        (2, 99, 90),
    ):
        holder = commands.LeaseHolder(JOB, ids.Attempt(attempt))
        renewal = commands.RenewLeases(
            time=builders.NOW,
            epoch=ids.Epoch(3),
            holders=(holder,),
            lease_until=ids.WallTime(builders.NOW + lease_s),
        )
        assert (
            commands.decode_command(commands.encode_command(renewal))
            == renewal
        )
        machine.apply_command(renewal, state).unwrap()
        lease_until = state.jobs[JOB].attempts[-1].lease_until
        assert lease_until == builders.NOW + expected_s
