"""Events and actions of request routing."""

import enum

import msgspec

from orioleshore.model import announcements
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states


class RequestInfo(msgspec.Struct, frozen=True):
    """What routing needs to know about a request.

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
    # The same, after the caller received a part.
    CUT_STREAM = 'cut_stream'


NOT_RUN_OUTCOMES = frozenset(
    {AttemptOutcome.UNREACHABLE, AttemptOutcome.REFUSED}
)


class RecordedAnswer(msgspec.Struct, frozen=True):
    """The answer that the first copy of a request received."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


# Events.


class RequestArrived(msgspec.Struct, frozen=True):
    """A checked request waits for an upstream."""

    info: RequestInfo


class ClaimGranted(msgspec.Struct, frozen=True):
    """This copy of the request is the one that may run."""

    request: ids.RequestId


class ClaimPending(msgspec.Struct, frozen=True):
    """Another copy was claimed, and its outcome is not recorded yet."""

    request: ids.RequestId


class ClaimAnswered(msgspec.Struct, frozen=True):
    """Another copy ran, and its answer is recorded."""

    request: ids.RequestId
    answer: RecordedAnswer


class ClaimRefused(msgspec.Struct, frozen=True):
    """No claim could be made; the failure says what the caller is told."""

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

    ``is_direct`` tells that it did so at this entry host.
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
    """An entry host asks for slots of an upstream.

    ``wanted`` includes those ``held`` by attempts under way.
    """

    node: ids.NodeId
    upstream: ids.UpstreamId
    wanted: int
    held: int
    token: int


class SlotsGranted(msgspec.Struct, frozen=True):
    """The owner answered a request for slots.

    ``granted`` replaces what the holder had before.
    """

    node: ids.NodeId
    upstream: ids.UpstreamId
    granted: int
    lease_s: float
    lease: int
    token: int


class SlotsReturned(msgspec.Struct, frozen=True):
    """An entry host gives slots of a lease back."""

    node: ids.NodeId
    upstream: ids.UpstreamId
    returned: int
    lease: int


class StopRequested(msgspec.Struct, frozen=True):
    """This entry host takes no more requests."""


class TimerFired(msgspec.Struct, frozen=True):
    """Time has passed: deadlines and expiries are to be checked."""


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
    """Ask the replicated log for the claim of a request."""

    info: RequestInfo


class StartAttempt(msgspec.Struct, frozen=True):
    """Send a request to an upstream; ``timeout_s`` is in seconds.

    ``can_keep_alive`` allows a connection that is kept for later requests.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    upstream: ids.UpstreamId
    timeout_s: float
    can_keep_alive: bool = False


class RequestSlots(msgspec.Struct, frozen=True):
    """Ask the owner of an upstream's slots for a lease."""

    owner: ids.NodeId
    upstream: ids.UpstreamId
    wanted: int
    held: int
    token: int


class GrantSlots(msgspec.Struct, frozen=True):
    """Lease slots to an entry host."""

    node: ids.NodeId
    upstream: ids.UpstreamId
    granted: int
    lease_s: float
    lease: int
    token: int


class ReturnSlots(msgspec.Struct, frozen=True):
    """Give slots back to their owner."""

    owner: ids.NodeId
    upstream: ids.UpstreamId
    returned: int
    lease: int


class SpreadAnnouncement(msgspec.Struct, frozen=True):
    """Tell the other entry hosts about an upstream."""

    upstream: announcements.Upstream


class Deliver(msgspec.Struct, frozen=True):
    """Give the caller the answer of its attempt."""

    request: ids.RequestId


class Replay(msgspec.Struct, frozen=True):
    """Give the caller the answer that the first copy received."""

    request: ids.RequestId
    answer: RecordedAnswer


class Refuse(msgspec.Struct, frozen=True):
    """Tell the caller why there is no answer."""

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
