"""Calls to the job scheduler and their answers.

The process that receives a call passes it on to the scheduler of the leader.
Front ends convert their own formats to these types.
"""

from typing import Any

import msgspec

from orioleshore.jobs import specs
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tasks import reply


class _Call(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base class of all calls; each is tagged with its class name."""


class RunReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """State of one run on a worker.

    ``progress`` is in percent; a long-running task is ready at 100.
    ``metric_value`` is the tail latency in milliseconds of a serving task,
    and the number of processors in use of any other task.
    """

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    checkpoint: str = ''
    progress: int = 0
    metric_value: float = 0.0


class EndReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """End of one run; each worker numbers its ended runs from 1."""

    number: int
    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    how: states.RunEnd
    checkpoint: str = ''


class Heartbeat(_Call, frozen=True):
    """State of a worker, sent periodically.

    ``incarnation`` is the Unix time of the worker's start in milliseconds.
    ``remaining_ms`` is set only while the worker drains. ``has_more_ends``
    is set if the worker may hold back further ends, since ``ended`` is as long
    as it may be.
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
    has_more_ends: bool = False


class PartialHeartbeat(_Call, frozen=True):
    """A heartbeat with rows of running tasks that cannot be read.

    A type of its own, since a leader of an earlier version would take the
    runs of these rows for lost if it read only the others.
    """

    heartbeat: Heartbeat
    unread_runs: int

    @property
    def worker(self) -> ids.WorkerId:
        return self.heartbeat.worker


class LeaseRenewal(msgspec.Struct, frozen=True):
    """A heartbeat of which only the lease is answered, within the leader."""

    heartbeat: Heartbeat

    @property
    def worker(self) -> ids.WorkerId:
        return self.heartbeat.worker


class StartOrder(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Order to a worker to start an attempt of a task."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    payload: str
    checkpoint: str = ''
    ticket: str = ''


class StopOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order to a worker to stop a run."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt


class RateOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order to a worker to limit the speed of a run, in percent."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    percent: int


class HeartbeatAnswer(msgspec.Struct, frozen=True):
    """Orders to a worker in answer to a heartbeat.

    Ended runs with numbers up to ``observed`` are recorded. The lease of all
    runs lasts ``lease_ms`` from the time at which the heartbeat was sent.
    The worker sends the next heartbeat after ``retry_ms``, or at its own
    interval if that is None, and to the address ``leader`` first.
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
    """Announce that a worker exits as planned."""

    worker: ids.WorkerId


class SubmitJob(_Call, frozen=True):
    """Submit a job; the path is the prefix of a queue and the job id."""

    host: str
    path: str
    job: specs.Job
    key: ids.ApiKey = ids.ApiKey('')


class GetJob(_Call, frozen=True):
    """Get the state of a job, or of a queue if the path has no job id."""

    host: str
    path: str
    key: ids.ApiKey = ids.ApiKey('')


class CancelJob(_Call, frozen=True):
    """Cancel a job."""

    host: str
    path: str
    key: ids.ApiKey = ids.ApiKey('')


class JobStatus(msgspec.Struct, frozen=True, tag=True):
    """State of a job."""

    state: states.BatchState


class QueueStatus(msgspec.Struct, frozen=True, tag=True):
    """Number of accepted jobs of a queue that have not started a task."""

    waiting: int


class GetOrganisations(_Call, frozen=True):
    """Get what each organisation uses, and what holds its jobs back."""


class OrganisationStatus(msgspec.Struct, frozen=True):
    """Usage of one organisation at the leader.

    ``share`` is its dominant share of all capacity per unit of weight. Of its
    unfinished jobs, ``held_jobs`` wait because of its limit.
    """

    name: ids.OrganisationId
    weight: float
    used: specs.Resources
    limit: specs.Resources
    share: float
    unfinished_jobs: int
    held_jobs: int


class PutConfiguration(_Call, frozen=True):
    """Put a configuration in force unless a newer one is in force."""

    configuration: specs.Configuration


class GetConfiguration(_Call, frozen=True):
    """Get the configuration in force."""


class OpenWave(_Call, frozen=True):
    """Request the upkeep of hosts within ``duration_s`` seconds."""

    wave: ids.WaveId
    hosts: tuple[ids.HostId, ...]
    duration_s: float
    at_once: int


class GetWave(_Call, frozen=True):
    """Get the status of a wave."""

    wave: ids.WaveId


class NoteUpkeep(_Call, frozen=True):
    """Record the platform's answer to an upkeep order."""

    wave: ids.WaveId
    host: ids.HostId
    outcome: states.HostOrderOutcome
    detail: str = ''


class NoteMove(_Call, frozen=True):
    """Record the platform's answer to a move order."""

    host: ids.HostId
    pool: ids.PoolId
    outcome: states.HostOrderOutcome
    detail: str = ''


class NoteApprovals(_Call, frozen=True):
    """Record the policy service's answer about a step.

    ``approved`` holds the approved ones of the workers ``asked``, each with
    its ticket. ``is_busy`` says that the service refused the call since too
    many wait there.
    """

    job: ids.JobId
    occurrence: int
    step: int
    asked: tuple[ids.WorkerId, ...]
    is_answered: bool
    approved: tuple[tuple[ids.WorkerId, str], ...] = ()
    validity_ms: int = 0
    is_busy: bool = False


class HostInfo(msgspec.Struct, frozen=True, array_like=True):
    """One host as the platform lists it."""

    host: ids.HostId
    pool: ids.PoolId
    state: states.PlatformHostState
    capacity: specs.Resources = specs.Resources()


class NoteHosts(_Call, frozen=True):
    """Record the platform's list of hosts; ``asked_at`` is monotonic.

    ``unreadable`` are listed hosts whose rows could not be read. If the name
    of one could not be read either, ``is_complete`` is false, and a host that
    is not in the list may still exist.
    """

    asked_at: float
    hosts: tuple[HostInfo, ...]
    unreadable: tuple[ids.HostId, ...] = ()
    is_complete: bool = True


class WaveStatus(msgspec.Struct, frozen=True):
    """Whether each host of a wave has had its upkeep."""

    completed: bool


Call = (
    Heartbeat
    | PartialHeartbeat
    | LeaveWorker
    | SubmitJob
    | GetJob
    | CancelJob
    | PutConfiguration
    | GetConfiguration
    | GetOrganisations
    | OpenWave
    | GetWave
    | NoteUpkeep
    | NoteMove
    | NoteHosts
    | NoteApprovals
)

# Types of the answers; all other calls are answered with None.
_ANSWER_TYPES: dict[type, Any] = {
    Heartbeat: HeartbeatAnswer,
    PartialHeartbeat: HeartbeatAnswer,
    GetJob: JobStatus | QueueStatus | None,
    GetConfiguration: specs.Configuration,
    GetOrganisations: tuple[OrganisationStatus, ...],
    GetWave: WaveStatus,
}

# Workers drop an answer after 1 s; commit and answer take some of it.
MAX_HEARTBEAT_AGE_S = 0.8
# Of a heartbeat that waited for longer, only the lease is answered: it costs
# little, and with its runs the worker would lose those that last.
MAX_FULL_HEARTBEAT_AGE_S = 0.4

# Subject of the queries that carry calls between processes.
SUBJECT = 'jobs'

# Calls that may have taken effect even if their answer is lost.
STATE_CHANGING_CALLS = (
    SubmitJob,
    CancelJob,
    PutConfiguration,
    OpenWave,
    LeaveWorker,
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.make_msgpack_decoder(Call)
_ANSWER_DECODERS = {
    call: decoding.make_msgpack_decoder(answer)
    for call, answer in _ANSWER_TYPES.items()
}
_NO_ANSWER_DECODER = decoding.make_msgpack_decoder(None)


class CallRequest(msgspec.Struct, frozen=True):
    """Message to JobsTask: a call and the reply for its answer.

    ``received_at`` is the monotonic time at which the call came.
    """

    call: Call
    answer: reply.Reply
    received_at: float | None = None


def get_source(call: Call) -> str:
    """Return the worker or the path that a call comes from."""
    name = getattr(call, 'worker', None) or getattr(call, 'path', '')
    return f'{type(call).__name__} {name}'


def is_heartbeat(call: Any) -> bool:
    """Return whether a call is the heartbeat of a worker."""
    return isinstance(call, Heartbeat | PartialHeartbeat | LeaseRenewal)


def get_age_s(request: CallRequest, now: float) -> float:
    """Return for how long a call has waited; ``now`` is monotonic."""
    return 0.0 if request.received_at is None else now - request.received_at


def is_late_heartbeat(request: CallRequest, now: float) -> bool:
    """Return whether a call is a heartbeat whose worker has given up.

    Orders in its answer would be lost, and their tasks wait for the next one.
    ``now`` is a monotonic time.
    """
    is_late = get_age_s(request, now) > MAX_HEARTBEAT_AGE_S
    return is_late and is_heartbeat(request.call)


def shorten_heartbeat(request: CallRequest, now: float) -> Any:
    """Return the call, or the renewal of a lease if it has waited for long.

    ``now`` is a monotonic time.
    """
    is_old = get_age_s(request, now) > MAX_FULL_HEARTBEAT_AGE_S
    if is_old and isinstance(request.call, Heartbeat):
        return LeaseRenewal(request.call)
    return request.call


def is_call(value: Any) -> bool:
    """Return whether a value is a call to the scheduler."""
    return isinstance(value, Call)


def encode_call(call: Call) -> bytes:
    """Return a call as it is sent between processes."""
    return _ENCODER.encode(call)


def decode_call(data: bytes) -> Call:
    """Return the call; raises DecodingError if malformed."""
    return _DECODER.decode(data)


def encode_answer(answer: Any) -> bytes:
    """Return an answer as it is sent between processes."""
    return _ENCODER.encode(answer)


def decode_answer(call: Call, data: bytes) -> Any:
    """Return the answer to ``call``; raises DecodingError if malformed."""
    decoder = _ANSWER_DECODERS.get(type(call), _NO_ANSWER_DECODER)
    return decoder.decode(data)
