"""Calls to the scheduler of jobs and their answers, free of any encoding.

A call goes to the scheduler of the leader, from whichever process took it.
"""

from typing import Any

import msgspec

from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tasks import reply


class _Call(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all calls; the tag is the name of the type."""


class RunReport(msgspec.Struct, frozen=True, array_like=True):
    """One run on a worker.

    ``progress`` is in percent; 100 tells that a lasting task is at work.
    ``figure`` is the tail of the response times in milliseconds where the
    task serves, otherwise the processors in use.
    """

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    checkpoint: str = ''
    progress: int = 0
    metric_value: float = 0.0


class EndReport(msgspec.Struct, frozen=True, array_like=True):
    """One run that ended; workers number their ends from 1."""

    number: int
    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    how: states.RunEnd
    checkpoint: str = ''


class Heartbeat(_Call, frozen=True):
    """What a worker says of itself; ``remaining_ms`` only while it drains.

    ``incarnation`` is the Unix millisecond of the worker's start.
    """

    worker: ids.WorkerId
    incarnation: ids.Incarnation
    sequence: int
    pool: ids.PoolId
    zone: ids.AvailabilityZone
    host: ids.HostId
    state: states.WorkerState
    capacity: specs.Resources
    labels: tuple[str, ...] = ()
    remaining_ms: int = 0
    running: tuple[RunReport, ...] = ()
    ended: tuple[EndReport, ...] = ()


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Tells a worker to start an attempt of a task."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    payload: str
    checkpoint: str = ''
    ticket: str = ''


class StopOrder(msgspec.Struct, frozen=True, array_like=True):
    """Tells a worker to stop a run."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt


class RateOrder(msgspec.Struct, frozen=True, array_like=True):
    """Lets a run work at a share of its speed, in percent."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    percent: int


class HeartbeatAnswer(msgspec.Struct, frozen=True):
    """Orders to a worker.

    Ends up to ``observed`` are recorded. The lease of all runs lasts
    ``lease_ms`` from the sending of the heartbeat. ``leader`` is where the
    worker's next heartbeats go first, ``retry_ms`` when the next is due.
    """

    observed: int
    epoch: ids.Epoch
    lease_ms: int
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    rates: tuple[RateOrder, ...] = ()
    retry_ms: int | None = None
    leader: str = ''


class LeaveWorker(_Call, frozen=True):
    """A worker ends as planned."""

    worker: ids.WorkerId


class SubmitJob(_Call, frozen=True):
    """Hand a job in; the path is the prefix of a queue and the job's id."""

    host: str
    path: str
    job: specs.Job


class GetJob(_Call, frozen=True):
    """Ask for a job's state, or for a queue's length by its bare prefix."""

    host: str
    path: str


class CancelJob(_Call, frozen=True):
    """Cancel a job."""

    host: str
    path: str


class JobStatus(msgspec.Struct, frozen=True, tag=True):
    """State of a job."""

    state: states.BatchState


class QueueStatus(msgspec.Struct, frozen=True, tag=True):
    """Number of accepted jobs of a queue of which no task has started."""

    waiting: int


class PutConfiguration(_Call, frozen=True):
    """Put a configuration in force unless a newer one is."""

    configuration: specs.Configuration


class GetConfiguration(_Call, frozen=True):
    """Ask for the newest configuration."""


class OpenWave(_Call, frozen=True):
    """Ask for upkeep of hosts within ``duration_s`` seconds."""

    wave: ids.WaveId
    hosts: tuple[ids.HostId, ...]
    duration_s: float
    at_once: int


class GetWave(_Call, frozen=True):
    """Ask how far a wave is."""

    wave: ids.WaveId


class NoteUpkeep(_Call, frozen=True):
    """The platform's answer about the upkeep of a host."""

    wave: ids.WaveId
    host: ids.HostId
    outcome: states.HostOrderOutcome
    detail: str = ''


class NoteMove(_Call, frozen=True):
    """The platform's answer about the move of a host."""

    host: ids.HostId
    pool: ids.PoolId
    outcome: states.HostOrderOutcome
    detail: str = ''


class NoteApprovals(_Call, frozen=True):
    """What the policy service said of a step.

    ``approved`` holds workers with their tickets, of those ``asked``.
    """

    job: ids.JobId
    occurrence: int
    step: int
    asked: tuple[ids.WorkerId, ...]
    is_answered: bool
    approved: tuple[tuple[ids.WorkerId, str], ...] = ()
    validity_ms: int = 0


class HostInfo(msgspec.Struct, frozen=True, array_like=True):
    """One host as the platform lists it."""

    host: ids.HostId
    pool: ids.PoolId
    state: states.PlatformHostState
    capacity: specs.Resources = specs.Resources()


class NoteHosts(_Call, frozen=True):
    """The platform's list of all hosts, asked for at a monotonic time."""

    asked_at: float
    hosts: tuple[HostInfo, ...]


class WaveStatus(msgspec.Struct, frozen=True):
    """Whether each host of a wave had its upkeep."""

    completed: bool


Call = (
    Heartbeat
    | LeaveWorker
    | SubmitJob
    | GetJob
    | CancelJob
    | PutConfiguration
    | GetConfiguration
    | OpenWave
    | GetWave
    | NoteUpkeep
    | NoteMove
    | NoteHosts
    | NoteApprovals
)

# Types of the answers; calls that are missing here are answered with None.
_ANSWER_TYPES: dict[type, Any] = {
    Heartbeat: HeartbeatAnswer,
    GetJob: JobStatus | QueueStatus | None,
    GetConfiguration: specs.Configuration,
    GetWave: WaveStatus,
}

# Subject of the queries that carry calls between processes.
SUBJECT = 'jobs'

# Calls that may have taken effect when their answer is lost.
STATE_CHANGING_CALLS = (
    SubmitJob,
    CancelJob,
    PutConfiguration,
    OpenWave,
    LeaveWorker,
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Call)


class CallRequest(msgspec.Struct, frozen=True):
    """Brings a call to the scheduler of this process."""

    call: Call
    answer: reply.Reply


def is_call(value: Any) -> bool:
    """Return whether a value is a call to the scheduler."""
    return isinstance(value, Call)


def encode_call(call: Call) -> bytes:
    """Return a call as it travels between processes."""
    return _ENCODER.encode(call)


def decode_call(data: bytes) -> Call:
    """Return a call; raises msgspec.ValidationError if malformed."""
    return _DECODER.decode(data)


def encode_answer(answer: Any) -> bytes:
    """Return an answer as it travels between processes."""
    return _ENCODER.encode(answer)


def decode_answer(call: Call, data: bytes) -> Any:
    """Return the answer to a call."""
    return msgspec.msgpack.decode(data, type=_ANSWER_TYPES.get(type(call)))
