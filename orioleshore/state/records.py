"""Records of the replicated state, which snapshots contain."""

import msgspec

from orioleshore.jobs import ledger as jobs_ledger
from orioleshore.model import changes
from orioleshore.model import decoding
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states


class HostRecord(msgspec.Struct, frozen=True):
    """Pool and state of a host; ``since`` is a wall time in seconds.

    A host is arriving until it first serves its pool. Until then, its
    capacity counts there neither as declared nor as down.
    """

    pool: ids.PoolId
    epoch: ids.Epoch
    state: states.HostState
    since: ids.WallTime
    reason: str = ''
    arriving: bool = False


class PermissionRecord(msgspec.Struct, frozen=True):
    """Permission to take a host down, until a wall time in seconds."""

    host: ids.HostId
    purpose: states.Purpose
    epoch: ids.Epoch
    until: ids.WallTime


class WaveHostRecord(msgspec.Struct, frozen=True):
    """Progress of one host within a wave."""

    state: states.WaveHostState
    since: ids.WallTime
    attempts: int = 0
    reason: str = ''


class WaveRecord(msgspec.Struct, dict=True):
    """Progress of a wave; ``paused`` maps scopes to reasons."""

    state: states.WaveState
    started: ids.WallTime
    hosts: dict[ids.HostId, WaveHostRecord]
    paused: dict[str, str]


class AttemptRecord(msgspec.Struct, frozen=True):
    """One attempt of a job; times are wall times in seconds."""

    worker: ids.HostId
    epoch: ids.Epoch
    started: ids.WallTime
    lease_until: ids.WallTime
    result: states.TaskResult | None = None
    reason: str = ''
    number: ids.Attempt = ids.Attempt(0)
    ended: ids.WallTime = ids.WallTime(0.0)
    # Resources reserved for the attempt on its worker.
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


class JobRecord(msgspec.Struct, frozen=True):
    """Progress of a job, with its newest attempts.

    ``placed`` is the number of the newest attempt. ``checkpoint`` is the
    number of the attempt whose checkpoint the next attempt continues from,
    0 for none. ``readmitted`` is set when a cancelled job is added to the
    document again while its last attempt may still be running.
    """

    state: states.JobState
    since: ids.WallTime
    attempts: tuple[AttemptRecord, ...] = ()
    reason: str = ''
    pool: ids.PoolId = ids.PoolId('')
    idempotent: bool = False
    placed: ids.Attempt = ids.Attempt(0)
    checkpoint: ids.Attempt = ids.Attempt(0)
    readmitted: bool = False


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claimed request, with its answer once it is recorded."""

    digest: bytes
    request: ids.RequestId
    entry_host: ids.NodeId
    incarnation: ids.Incarnation
    issued: ids.WallTime
    state: states.ClaimState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    kept: bool = True


class OperationRecord(msgspec.Struct, frozen=True):
    """The result of a change of the document, for repeats of it."""

    issued: ids.WallTime
    operator: str
    version: ids.Version | None
    failure: errors.Failure | None


class DeltaRecord(msgspec.Struct, frozen=True):
    """The edits that created a version."""

    version: ids.Version
    operation_id: ids.OperationId
    operator: str
    time: ids.WallTime
    edits: tuple[changes.Edit, ...]


class State(msgspec.Struct, dict=True):
    """The replicated state; owned by the consensus member.

    Values derived from the fields are cached in ``__dict__`` and are not
    encoded.
    """

    time: ids.WallTime = ids.WallTime(0.0)
    version: ids.Version = ids.Version(0)
    epoch: ids.Epoch = ids.Epoch(0)
    document: documents.Document = documents.Document()
    deltas: list[DeltaRecord] = []
    operations: dict[ids.OperationId, OperationRecord] = {}
    hosts: dict[ids.HostId, HostRecord] = {}
    permissions: dict[ids.PermissionId, PermissionRecord] = {}
    waves: dict[ids.WaveId, WaveRecord] = {}
    jobs: dict[ids.JobId, JobRecord] = {}
    # Highest attempt number of all removed jobs. New jobs start numbering
    # above it, so that a late report or repeated call for a removed job
    # never matches a new job of the same name.
    attempt_floor: ids.Attempt = ids.Attempt(0)
    claims: dict[ids.IdempotencyKey, ClaimRecord] = {}
    # Sizes of the recorded answers in bytes, oldest first, and their sum.
    kept_answers: dict[ids.IdempotencyKey, int] = {}
    kept_bytes: int = 0
    # Requests reported as not run, with the time of the report. A claim of
    # such a request that is committed later is refused.
    released: dict[ids.RequestId, ids.WallTime] = {}
    # Highest epoch of all removed hosts. A host added later starts above
    # it, so that calls for a removed host of the same name are stale.
    host_epoch_floor: ids.Epoch = ids.Epoch(0)
    # Callers' jobs, and the newest epoch that recorded decisions about them.
    ledger: jobs_ledger.Ledger = msgspec.field(
        default_factory=jobs_ledger.Ledger
    )
    ledger_epoch: ids.Epoch = ids.Epoch(0)


_DECODER = decoding.make_msgpack_decoder(State, decoding.UNLIMITED_BYTES)


def encode_state(state: State) -> bytes:
    """Return the encoded state, as a snapshot contains it."""
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes) -> State:
    """Return the state that a snapshot contains; raises DecodingError."""
    return _DECODER.decode(data)
