"""Events and actions of the replicated log."""

import enum
from typing import Any

import msgspec

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages


class EntryKind(enum.IntEnum):
    """Content of a log entry; the numbers are stored."""

    COMMAND = 1
    # Written by each new leader: entries of earlier terms are committed
    # only together with one of its own term.
    BARRIER = 2
    MEMBERS = 3


class Member(msgspec.Struct, frozen=True):
    """One member of the group.

    ``stamp`` identifies its files; ``voter`` is False while it catches up.
    """

    name: ids.NodeId
    address: str
    stamp: str
    voter: bool


class Members(msgspec.Struct, frozen=True):
    """The group as one log entry records it."""

    members: tuple[Member, ...]


class HardState(msgspec.Struct, frozen=True):
    """What a member must remember to vote at most once in a term."""

    term: ids.Term = ids.Term(0)
    voted_for: ids.NodeId | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """The applied state up to ``last_index``."""

    last_index: ids.LogIndex
    last_term: ids.Term
    members: Members
    data: bytes


# Events.


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class MessageReceived(msgspec.Struct, frozen=True):
    """A message of another member arrived."""

    sender: ids.NodeId
    message: Any


class ProposeRequested(msgspec.Struct, frozen=True):
    """A command is to be committed; ``token`` names it in the answer."""

    token: int
    data: bytes


class ReadRequested(msgspec.Struct, frozen=True):
    """The caller needs to know that it reads the newest state."""

    token: int


class MembersChangeRequested(msgspec.Struct, frozen=True):
    """A member is to be added, or removed when ``add`` is None."""

    token: int
    add: Member | None
    remove: ids.NodeId | None


class LeadershipTransferRequested(msgspec.Struct, frozen=True):
    """The process of this member is about to stop."""


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
    | Persisted
    | SnapshotTaken
)


# Actions. They are carried out in the order in which they are returned: a
# Send that follows a Persist leaves only after that is synced.


class Persist(msgspec.Struct, frozen=True):
    """Write and sync; entries replace all stored ones from their index."""

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
    """Replace log and state machine by a snapshot, and sync it."""

    snapshot: Snapshot


class Accepted(msgspec.Struct, frozen=True):
    """A proposal was appended; it is not committed yet."""

    token: int
    index: ids.LogIndex
    term: ids.Term


class ReadReady(msgspec.Struct, frozen=True):
    """A read sees the newest state once ``index`` is applied."""

    token: int
    index: ids.LogIndex


class Refuse(msgspec.Struct, frozen=True):
    """A proposal or read was not accepted, and did not run."""

    token: int
    kind: errors.ErrorKind
    message: str = 'this control member cannot decide now'


class RoleChanged(msgspec.Struct, frozen=True):
    """The role, the term or the known leader changed."""

    role: states.RaftRole
    term: ids.Term
    leader: ids.NodeId | None


class MembersChanged(msgspec.Struct, frozen=True):
    """The group in force changed."""

    members: Members


class StampMismatch(msgspec.Struct, frozen=True):
    """A member answers with other files than those that joined."""

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
