"""Events and actions of request routing."""

import enum

import msgspec

from orioleshore.model import announcements
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states


class RequestInfo(msgspec.Struct, frozen=True):
    """Properties of a request that routing uses.

    ``deadline`` is monotonic, in seconds. ``key`` is None for operations
    that are idempotent.
    """

    request: ids.RequestId
    service: ids.ServiceId
    caller: ids.CallerId
    priority: states.Priority
    deadline: float
    is_idempotent: bool
    key: ids.IdempotencyKey | None
    issued: ids.WallTime | None
    digest: bytes


class AttemptOutcome(enum.Enum):
    """How an attempt at an upstream ended."""

    ANSWERED = 'answered'
    # No byte of the request was written, or the upstream itself refused it.
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    # The upstream may have acted on the request.
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    MISMATCHED = 'mismatched'
    TRUNCATED = 'truncated'
    # Truncated after the caller received a part of the answer.
    CUT_STREAM = 'cut_stream'


NOT_RUN_OUTCOMES = frozenset(
    {AttemptOutcome.UNREACHABLE, AttemptOutcome.REFUSED}
)


class RecordedAnswer(msgspec.Struct, frozen=True):
    """Recorded answer to a request, which is replayed to duplicates."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


# Events.


class RequestArrived(msgspec.Struct, frozen=True):
    """A valid request arrived and needs an upstream."""

    info: RequestInfo


class ClaimGranted(msgspec.Struct, frozen=True):
    """The claim was granted, so this request may run."""

    request: ids.RequestId


class ClaimPending(msgspec.Struct, frozen=True):
    """A duplicate holds the claim, and its outcome is not recorded yet."""

    request: ids.RequestId


class ClaimAnswered(msgspec.Struct, frozen=True):
    """A duplicate ran, and its answer is recorded."""

    request: ids.RequestId
    answer: RecordedAnswer


class ClaimRefused(msgspec.Struct, frozen=True):
    """The claim was refused; ``failure`` is the answer for the caller."""

    request: ids.RequestId
    failure: errors.Failure


class AttemptEnded(msgspec.Struct, frozen=True):
    """An attempt ended; ``duration_s`` is in seconds."""

    request: ids.RequestId
    upstream: ids.UpstreamId
    outcome: AttemptOutcome
    status: int
    duration_s: float


class CallerGone(msgspec.Struct, frozen=True):
    """The caller closed its connection."""

    request: ids.RequestId


class UpstreamAnnounced(msgspec.Struct, frozen=True):
    """An upstream announced, renewed or withdrew itself.

    ``is_direct`` is true when it contacted this entry host itself.
    """

    upstream: announcements.Upstream
    is_direct: bool = False


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A newer version of the services is in force."""

    version: ids.Version
    services: tuple[documents.Service, ...]


class PeersChanged(msgspec.Struct, frozen=True):
    """The set of live entry hosts changed."""

    own_node: ids.NodeId
    entry_hosts: tuple[announcements.Peer, ...]


class SlotsRequested(msgspec.Struct, frozen=True):
    """An entry host requested slots of an upstream.

    ``wanted`` includes the slots ``held`` by running attempts.
    ``incarnation`` is that of the requesting process, 0 for this one.
    """

    node: ids.NodeId
    upstream: ids.UpstreamId
    wanted: int
    held: int
    token: int
    incarnation: ids.Incarnation = ids.UNKNOWN_INCARNATION


class SlotsGranted(msgspec.Struct, frozen=True):
    """The owner answered a slot request.

    ``granted`` replaces the earlier grant of the holder.
    """

    node: ids.NodeId
    upstream: ids.UpstreamId
    granted: int
    lease_s: float
    lease: int
    token: int


class SlotsReturned(msgspec.Struct, frozen=True):
    """An entry host returned slots of a lease."""

    node: ids.NodeId
    upstream: ids.UpstreamId
    returned: int
    lease: int


class StopRequested(msgspec.Struct, frozen=True):
    """This entry host is to stop, and accepts no more requests."""


class TimerFired(msgspec.Struct, frozen=True):
    """Periodic tick that checks deadlines, leases and expiries."""


Event = (
    RequestArrived
    | ClaimGranted
    | ClaimPending
    | ClaimAnswered
    | ClaimRefused
    | AttemptEnded
    | CallerGone
    | UpstreamAnnounced
    | ConfigurationChanged
    | PeersChanged
    | SlotsRequested
    | SlotsGranted
    | SlotsReturned
    | StopRequested
    | TimerFired
)


# Actions.


class RequestClaim(msgspec.Struct, frozen=True):
    """Submit the claim of a request to the replicated log."""

    info: RequestInfo


class StartAttempt(msgspec.Struct, frozen=True):
    """Send a request to an upstream; ``timeout_s`` is in seconds.

    ``can_keep_alive`` allows a connection that is reused for later requests.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    upstream: ids.UpstreamId
    timeout_s: float
    can_keep_alive: bool = False


class RequestSlots(msgspec.Struct, frozen=True):
    """Request a lease from the owner of an upstream's slots."""

    owner: ids.NodeId
    upstream: ids.UpstreamId
    wanted: int
    held: int
    token: int


class GrantSlots(msgspec.Struct, frozen=True):
    """Lease slots to an entry host, in answer to a request of its process.

    ``incarnation`` is that of the requesting process, 0 for this one.
    """

    node: ids.NodeId
    upstream: ids.UpstreamId
    granted: int
    lease_s: float
    lease: int
    token: int
    incarnation: ids.Incarnation = ids.UNKNOWN_INCARNATION


class ReturnSlots(msgspec.Struct, frozen=True):
    """Return slots to their owner."""

    owner: ids.NodeId
    upstream: ids.UpstreamId
    returned: int
    lease: int


class SpreadAnnouncement(msgspec.Struct, frozen=True):
    """Forward an announcement to the other entry hosts."""

    upstream: announcements.Upstream


class Deliver(msgspec.Struct, frozen=True):
    """Send the caller the answer of its attempt."""

    request: ids.RequestId


class Replay(msgspec.Struct, frozen=True):
    """Send the caller the recorded answer of a duplicate."""

    request: ids.RequestId
    answer: RecordedAnswer


class Refuse(msgspec.Struct, frozen=True):
    """Send the caller a failure instead of an answer."""

    request: ids.RequestId
    failure: errors.Failure


class RecordOutcome(msgspec.Struct, frozen=True):
    """Record how a claimed request ended."""

    info: RequestInfo
    outcome: states.ClaimState


Action = (
    RequestClaim
    | StartAttempt
    | RequestSlots
    | GrantSlots
    | ReturnSlots
    | SpreadAnnouncement
    | Deliver
    | Replay
    | Refuse
    | RecordOutcome
)
