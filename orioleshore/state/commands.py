"""Commands of the replicated log.

Commands are stored, so fields are only added, and only with defaults. The
``time`` of a command is the wall time of the leader that proposed it, in
seconds.
"""

import msgspec

from orioleshore.jobs import ledger
from orioleshore.model import changes
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import states


class _Command(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all commands; the tag is the class name."""


class ChangeDocument(_Command, frozen=True, kw_only=True):
    """Replace parts of the document."""

    time: ids.WallTime
    operation_id: ids.OperationId
    operator: str
    base_version: ids.Version
    edits: tuple[changes.Edit, ...]


class ClaimRequest(_Command, frozen=True, kw_only=True):
    """Claim the single execution of a request that is not idempotent."""

    time: ids.WallTime
    key: ids.IdempotencyKey
    issued: ids.WallTime
    digest: bytes
    request: ids.RequestId
    entry_host: ids.NodeId
    incarnation: ids.Incarnation


class RecordOutcome(_Command, frozen=True, kw_only=True):
    """Record the outcome of a claimed request.

    The answer is included only when ``kept`` is set.
    """

    time: ids.WallTime
    key: ids.IdempotencyKey
    request: ids.RequestId
    outcome: states.ClaimState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    kept: bool = True


class MarkClaimsUnknown(_Command, frozen=True, kw_only=True):
    """Mark the open claims of a failed process as unknown.

    Applies to claims of this incarnation and of earlier ones.
    """

    time: ids.WallTime
    entry_host: ids.NodeId
    incarnation: ids.Incarnation


class GrantPermission(_Command, frozen=True, kw_only=True):
    """Allow a host to be taken down for planned work, within the budget."""

    time: ids.WallTime
    permission: ids.PermissionId
    host: ids.HostId
    host_epoch: ids.Epoch
    purpose: states.Purpose
    epoch: ids.Epoch
    until: ids.WallTime


class EndPermission(_Command, frozen=True, kw_only=True):
    """End a permission before it expires."""

    time: ids.WallTime
    permission: ids.PermissionId
    epoch: ids.Epoch | None = None


class SetHostState(_Command, frozen=True, kw_only=True):
    """Record a new state of a host."""

    time: ids.WallTime
    host: ids.HostId
    host_epoch: ids.Epoch
    state: states.HostState
    reason: str = ''
    epoch: ids.Epoch | None = None


class MoveHost(_Command, frozen=True, kw_only=True):
    """Move a drained host to another pool and increment its epoch."""

    time: ids.WallTime
    host: ids.HostId
    host_epoch: ids.Epoch
    from_pool: ids.PoolId
    to_pool: ids.PoolId
    permission: ids.PermissionId
    epoch: ids.Epoch | None = None


class StartWaveHost(_Command, frozen=True, kw_only=True):
    """Record that a wave started an attempt on a host."""

    time: ids.WallTime
    wave: ids.WaveId
    host: ids.HostId
    epoch: ids.Epoch | None = None


class FinishWaveHost(_Command, frozen=True, kw_only=True):
    """Record the outcome of a wave on a host."""

    time: ids.WallTime
    wave: ids.WaveId
    host: ids.HostId
    outcome: states.WaveHostState
    reason: str = ''
    # The attempt of a host that returns to waiting is not counted.
    withdrawn: bool = False
    epoch: ids.Epoch | None = None


class PauseWave(_Command, frozen=True, kw_only=True):
    """Pause a wave in a scope, such as "rack/r1" or "image/i7"."""

    time: ids.WallTime
    wave: ids.WaveId
    scope: str
    reason: str
    epoch: ids.Epoch | None = None


class ResumeWave(_Command, frozen=True, kw_only=True):
    """Resume a wave in a paused scope."""

    time: ids.WallTime
    wave: ids.WaveId
    scope: str
    epoch: ids.Epoch | None = None


class PlaceTask(_Command, frozen=True, kw_only=True):
    """Start the next attempt of a job on a worker, under a lease.

    ``cores``, ``memory_gb`` and ``accelerators`` are reserved on the worker
    for the attempt.
    """

    time: ids.WallTime
    job: ids.JobId
    attempt: ids.Attempt
    worker: ids.HostId
    epoch: ids.Epoch
    lease_until: ids.WallTime
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


class LeaseHolder(msgspec.Struct, frozen=True, array_like=True):
    """A running attempt of a job."""

    job: ids.JobId
    attempt: ids.Attempt


class RenewLeases(_Command, frozen=True, kw_only=True):
    """Extend the leases of running attempts, all to the same time.

    One command for many attempts keeps the log small. Attempts that are
    no longer running are skipped.
    """

    time: ids.WallTime
    epoch: ids.Epoch
    holders: tuple[LeaseHolder, ...]
    lease_until: ids.WallTime


class RecordTaskResult(_Command, frozen=True, kw_only=True):
    """Record the result of an attempt of a job.

    ``reported`` is false when the leader infers the loss of an attempt
    from the expiry of its lease.
    """

    time: ids.WallTime
    job: ids.JobId
    attempt: ids.Attempt
    result: states.TaskResult
    reason: str = ''
    epoch: ids.Epoch = ids.Epoch(0)
    reported: bool = False


class QuarantineJob(_Command, frozen=True, kw_only=True):
    """Stop placing a job that can never run."""

    time: ids.WallTime
    job: ids.JobId
    reason: str


class RecordProgress(_Command, frozen=True, kw_only=True):
    """Record decisions about callers' jobs that were made in an epoch."""

    time: ids.WallTime
    epoch: ids.Epoch
    changes: tuple[ledger.Change, ...]


Command = (
    ChangeDocument
    | ClaimRequest
    | RecordOutcome
    | MarkClaimsUnknown
    | GrantPermission
    | EndPermission
    | SetHostState
    | MoveHost
    | StartWaveHost
    | FinishWaveHost
    | PauseWave
    | ResumeWave
    | PlaceTask
    | RenewLeases
    | RecordTaskResult
    | QuarantineJob
    | RecordProgress
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.make_msgpack_decoder(Command, decoding.UNLIMITED_BYTES)


def encode_command(command: Command) -> bytes:
    """Return the encoded command, as it is stored in the log."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Return a stored command.

    Raises DecodingError for an unknown command, as one that a
    newer program version wrote.
    """
    return _DECODER.decode(data)
