"""Events and actions of the replicated log, and the stored types."""

import enum
from typing import Any

import msgspec

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages


class EntryKind(enum.IntEnum):
    """Type of a log entry; the numbers are stored."""

    COMMAND = 1
    # Empty entry that each new leader appends: entries of earlier terms are
    # committed only together with one of the leader's term.
    BARRIER = 2
    MEMBERS = 3


class Member(msgspec.Struct, frozen=True):
    """One member of the Raft group.

    ``stamp`` identifies its data folder; ``voter`` is False for a learner,
    which has not caught up with the log yet.
    """

    name: ids.NodeId
    address: str
    stamp: str
    voter: bool


class Members(msgspec.Struct, frozen=True):
    """The member list that a log entry or snapshot records."""

    members: tuple[Member, ...]


class HardState(msgspec.Struct, frozen=True):
    """State that a member syncs so that it votes at most once in a term."""

    term: ids.Term = ids.Term(0)
    voted_for: ids.NodeId | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """The state of the state machine after applying ``last_index``."""

    last_index: ids.LogIndex
    last_term: ids.Term
    members: Members
    data: bytes


# Events.


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class MessageReceived(msgspec.Struct, frozen=True):
    """A message from another member arrived."""

    sender: ids.NodeId
    message: Any


class ProposeRequested(msgspec.Struct, frozen=True):
    """A command is to be committed; ``token`` identifies the request."""

    token: int
    data: bytes


class ReadRequested(msgspec.Struct, frozen=True):
    """A linearizable read of the state machine is requested."""

    token: int


class MembersChangeRequested(msgspec.Struct, frozen=True):
    """A member is to be added, removed, or both in one step."""

    token: int
    add: Member | None
    remove: ids.NodeId | None


class LeadershipTransferRequested(msgspec.Struct, frozen=True):
    """Leadership is to be transferred, because the process will stop."""


class StorageBlocked(msgspec.Struct, frozen=True):
    """The disk has no room, so nothing can be persisted for now."""


class StorageResumed(msgspec.Struct, frozen=True):
    """All that waited for room on the disk is synced."""


class Persisted(msgspec.Struct, frozen=True):
    """All entries up to ``index`` of ``term`` are synced to disk."""

    index: ids.LogIndex
    term: ids.Term


class SnapshotTaken(msgspec.Struct, frozen=True):
    """A snapshot of the applied state is synced to disk."""

    snapshot: Snapshot


Event = (
    Tick
    | MessageReceived
    | ProposeRequested
    | ReadRequested
    | MembersChangeRequested
    | LeadershipTransferRequested
    | StorageBlocked
    | StorageResumed
    | Persisted
    | SnapshotTaken
)


# Actions. They are performed in the order in which they are returned: a Send
# that follows a Persist is sent only after the sync.


class Persist(msgspec.Struct, frozen=True):
    """Write and sync; entries replace stored ones from their index on."""

    hard_state: HardState
    entries: tuple[messages.Entry, ...]


class Send(msgspec.Struct, frozen=True):
    """Send a message to another member."""

    to: ids.NodeId
    address: str
    message: Any


class Apply(msgspec.Struct, frozen=True):
    """Apply committed entries to the state machine."""

    entries: tuple[messages.Entry, ...]


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Sync a snapshot, and replace log and state machine by it."""

    snapshot: Snapshot


class Accepted(msgspec.Struct, frozen=True):
    """A proposal was appended; it is not committed yet."""

    token: int
    index: ids.LogIndex
    term: ids.Term


class ReadReady(msgspec.Struct, frozen=True):
    """A read is linearizable once ``index`` is applied."""

    token: int
    index: ids.LogIndex


class Refuse(msgspec.Struct, frozen=True):
    """A proposal or read was refused and had no effect."""

    token: int
    kind: errors.ErrorKind
    message: str = 'this control member cannot handle requests now'


class RoleChanged(msgspec.Struct, frozen=True):
    """The role, the term or the known leader changed."""

    role: states.RaftRole
    term: ids.Term
    leader: ids.NodeId | None


class MembersChanged(msgspec.Struct, frozen=True):
    """The member list in force changed."""

    members: Members


class StampMismatch(msgspec.Struct, frozen=True):
    """A member replied with a stamp other than the listed one."""

    name: ids.NodeId
    stamp: str


Action = (
    Persist
    | Send
    | Apply
    | InstallSnapshot
    | Accepted
    | ReadReady
    | Refuse
    | RoleChanged
    | MembersChanged
    | StampMismatch
)
