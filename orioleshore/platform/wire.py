"""Converts bodies of the platform's interface to and from internal types.

The field names of these bodies are used here only. Bodies that cannot be
decoded raise DecodingError.
"""

from typing import Annotated
from typing import Any

import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import json_rows
from orioleshore.model import states
from orioleshore.telemetry import odd_entries

# Larger numbers fit no message between processes.
_MAX_NUMBER = 2**63 - 1
_Number = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
# Larger figures fit no message as whole numbers.
_MAX_FIGURE = 1e15
_Figure = Annotated[float, msgspec.Meta(ge=-_MAX_FIGURE, le=_MAX_FIGURE)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_FIGURE)]


class _StepBody(msgspec.Struct):
    replicas: _Count = 1
    cpus: _Count = 0
    mem_mb: _Count = 0
    gpus: _Count = 0
    estimate_ms: _Count = 0
    after: tuple[_Count, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    # The tasks run slowly when they are spread over racks.
    rack_sensitive: bool = False
    # One label that the worker must have, not a list of constraints.
    constraints: str = ''
    # The rack that stores the input data.
    affinity: str = ''
    # Maximum number of tasks of the step on one worker, not a label.
    anti_affinity: _Count = 0
    # Several copies of a task may run at the same time.
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    # Target of the tail latency.
    target_ms: _Count = 0
    # A flag, not a ratio: the tasks use only CPU that others leave idle.
    fill_ratio: bool | int | float = False
    # Maximum number of unavailable tasks.
    may_miss: _Count = 0


class _JobBody(msgspec.Struct):
    # Opaque text that is sent to the worker, not a specification of the job.
    spec: str
    steps: tuple[_StepBody, ...]
    start_time_ms: _Count = 0
    interval_ms: _Count = 0
    # Number of all occurrences, the first one included.
    repeat_count: _Count = 0


class _CapacityBody(msgspec.Struct, frozen=True):
    cpus: _Count = 0
    mem_mb: _Count = 0
    gpus: _Count = 0


# The id of a job and the name of its task, "job.occurrence.step.index".
_FullTaskName = Annotated[
    str, msgspec.Meta(pattern=rf'\A[^.]+\.{ids.TASK_NAME_PATTERN}\Z')
]


class _RunRow(msgspec.Struct, array_like=True):
    task: _FullTaskName
    attempt: _Count
    checkpoint: str
    percent: _Figure
    # Tail latency in milliseconds of a serving task, else processors in use.
    figure: _Figure = 0


class _EndRow(msgspec.Struct, array_like=True):
    number: _Count
    task: _FullTaskName
    attempt: _Count
    how: states.RunEnd
    checkpoint: str


class _HeartbeatBody(msgspec.Struct):
    service: str
    zone: str
    state: str
    sequence: _Count
    # A worker sends both lists also when they are empty. Without them, the
    # message says nothing of its runs.
    running: tuple[_RunRow, ...]
    finished: tuple[_EndRow, ...]
    # Unix time of the worker's start in milliseconds, its incarnation.
    born: _Count = 0
    machine: str = ''
    capacity: _CapacityBody = _CapacityBody()
    labels: tuple[str, ...] = ()
    remaining_ms: _Figure = 0


class _WaveBody(msgspec.Struct):
    wave: _Number | str
    machines: tuple[str, ...]
    duration_s: _Seconds
    # Maximum number of machines that may be down for the wave at a time.
    cap: _Count = 1


_JOB_DECODER = decoding.make_json_decoder(_JobBody)
_HEARTBEAT_DECODER = decoding.make_json_decoder(_HeartbeatBody)
_RUN_ROWS = json_rows.RowDecoder(_RunRow, json_rows.make_item_reader(0))
_END_ROWS = json_rows.RowDecoder(_EndRow, json_rows.make_item_reader(1))
# A heartbeat lists at most this many ended tasks; the worker holds back the
# others until these are acknowledged.
MAX_LISTED_ENDS = 500
# Larger heartbeats are refused whole if they cannot be read, since splitting
# them would hold up the process.
_MAX_SPLIT_BYTES = 65_536
_WAVE_DECODER = decoding.make_json_decoder(_WaveBody)
_WORKER_STATES = {state.value: state for state in states.WorkerState}


def decode_job(body: bytes) -> specs.Job:
    """Return the job that a caller submits."""
    content = _JOB_DECODER.decode(body)
    return specs.Job(
        content.spec,
        tuple(_make_step(step) for step in content.steps),
        content.repeat_count,
        content.start_time_ms,
        content.interval_ms,
    )


def decode_worker_name(text: str) -> ids.WorkerId:
    """Return the name of a worker from the path of its calls."""
    if not text or not text.isascii():
        raise decoding.DecodingError(f'malformed worker name {text!r}')
    return ids.WorkerId(text)


def decode_heartbeat(
    worker: str, body: bytes, odd: odd_entries.OddEntryLog | None = None
) -> calls.Heartbeat | calls.PartialHeartbeat:
    """Return the heartbeat of a worker.

    What it says of the worker has to be readable. Rows of tasks that are not
    are reported to ``odd``: the others count, and the heartbeat is partial
    if a row of a running task is among them. An odd row of an ended task is
    as good as none, since its run is no longer listed as running.
    """
    try:
        content = _HEARTBEAT_DECODER.decode(body)
        return _make_heartbeat(worker, content, len(content.finished))
    except decoding.DecodingError:
        if len(body) > _MAX_SPLIT_BYTES:
            raise
    members = json_rows.split_object(body)
    running = _take_rows(members, 'running', _RUN_ROWS)
    finished = _take_rows(members, 'finished', _END_ROWS)
    content = _HEARTBEAT_DECODER.decode(_join_known_members(members))
    content.running = running.rows
    content.finished = finished.rows
    # Odd rows take up space in the list as well.
    listed_ends = len(finished.rows) + len(finished.odd)
    heartbeat = _make_heartbeat(worker, content, listed_ends)
    odd = odd or odd_entries.OddEntryLog()
    for entry_list, rows in (
        (odd_entries.EntryList.RUNNING, running),
        (odd_entries.EntryList.FINISHED, finished),
    ):
        for row in rows.odd:
            odd.report(entry_list, f'{worker}/{row.key or "-"}', row.error)
    if not running.odd:
        return heartbeat
    return calls.PartialHeartbeat(heartbeat, len(running.odd))


def _take_rows(
    members: dict[str, bytes], name: str, decoder: json_rows.RowDecoder
) -> json_rows.Rows:
    """Return the rows of a list; leave an empty list in its place."""
    if name not in members:
        raise decoding.DecodingError(f'the heartbeat has no list {name!r}')
    rows = decoder.decode(members[name])
    members[name] = b'[]'
    return rows


def _join_known_members(members: dict[str, bytes]) -> bytes:
    """Return the members of a heartbeat that are used, as one object."""
    known = [
        msgspec.json.encode(name) + b':' + value
        for name, value in members.items()
        if name in _HeartbeatBody.__struct_fields__
    ]
    return b'{' + b','.join(known) + b'}'


def _make_heartbeat(
    worker: str, content: _HeartbeatBody, listed_ends: int
) -> calls.Heartbeat:
    state = _WORKER_STATES.get(content.state)
    if state is None:
        raise decoding.DecodingError(f'unknown state {content.state!r}')
    if not content.service:
        raise decoding.DecodingError('the service has no name')
    return calls.Heartbeat(
        decode_worker_name(worker),
        ids.Incarnation(content.born),
        content.sequence,
        ids.PoolId(content.service),
        ids.AvailabilityZone(content.zone),
        ids.HostId(content.machine),
        state,
        specs.Resources(
            content.capacity.cpus,
            content.capacity.mem_mb,
            content.capacity.gpus,
        ),
        content.labels,
        int(content.remaining_ms),
        tuple(_make_run(row) for row in content.running),
        tuple(_make_end(row) for row in content.finished),
        listed_ends >= MAX_LISTED_ENDS,
    )


def encode_heartbeat_answer(answer: calls.HeartbeatAnswer) -> bytes:
    """Return the orders to a worker, encoded as the answer to a heartbeat."""
    body: dict[str, Any] = {}
    if answer.leader:
        # "IP:port" to which the worker sends its next heartbeats, not a URL.
        body['heartbeat_url'] = answer.leader
    if answer.lease_ms:
        body['hold_ms'] = answer.lease_ms
        body['observed'] = answer.observed
        body['fencing_token'] = answer.epoch
    if answer.retry_ms is not None:
        body['retry_ms'] = answer.retry_ms
    if answer.starts:
        body['start'] = [_make_start(order) for order in answer.starts]
    if answer.stops:
        body['stop'] = [
            [_join_task_name(order.job, order.task), order.attempt]
            for order in answer.stops
        ]
    if answer.rates:
        body['rate_limit'] = [
            [
                _join_task_name(order.job, order.task),
                order.attempt,
                order.percent,
            ]
            for order in answer.rates
        ]
    return msgspec.json.encode(body)


def decode_wave(body: bytes) -> calls.OpenWave:
    """Return the request for a wave of upkeep."""
    content = _WAVE_DECODER.decode(body)
    return calls.OpenWave(
        ids.WaveId(str(content.wave)),
        tuple(ids.HostId(name) for name in content.machines),
        content.duration_s,
        content.cap,
    )


def encode_wave_status(status: calls.WaveStatus) -> bytes:
    """Return the encoded status of a wave."""
    state = 'completed' if status.completed else 'running'
    return msgspec.json.encode({'state': state})


def encode_job_answer(
    answer: calls.JobStatus | calls.QueueStatus | None,
) -> bytes:
    """Return the encoded status of a job or a queue."""
    if isinstance(answer, calls.JobStatus):
        return msgspec.json.encode({'state': answer.state.value})
    if isinstance(answer, calls.QueueStatus):
        return msgspec.json.encode({'pending': answer.waiting})
    return b'{}'


def _make_step(step: _StepBody) -> specs.Step:
    return specs.Step(
        step.replicas,
        specs.Resources(step.cpus, step.mem_mb, step.gpus),
        step.estimate_ms,
        step.after,
        step.saves_progress,
        step.gang,
        step.rack_sensitive,
        step.constraints,
        step.affinity,
        step.anti_affinity,
        step.speculative,
        step.long_running,
        step.image,
        step.target_ms,
        bool(step.fill_ratio),
        step.may_miss,
    )


def _split_task_name(name: str) -> tuple[ids.JobId, ids.TaskName]:
    job, _, task = name.partition('.')
    return ids.JobId(job), ids.TaskName(task)


def _join_task_name(job: ids.JobId, task: ids.TaskName) -> str:
    return f'{job}.{task}'


def _make_run(row: _RunRow) -> calls.RunReport:
    job, task = _split_task_name(row.task)
    return calls.RunReport(
        job,
        task,
        ids.Attempt(row.attempt),
        row.checkpoint,
        int(row.percent),
        float(row.figure),
    )


def _make_end(row: _EndRow) -> calls.EndReport:
    job, task = _split_task_name(row.task)
    return calls.EndReport(
        row.number,
        job,
        task,
        ids.Attempt(row.attempt),
        row.how,
        row.checkpoint,
    )


def _make_start(order: calls.StartOrder) -> list:
    row = [
        _join_task_name(order.job, order.task),
        order.attempt,
        order.payload,
        order.checkpoint,
    ]
    return [*row, order.ticket] if order.ticket else row
