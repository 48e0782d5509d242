"""Messages between the system's processes, free of any encoding."""

from typing import Any

import msgspec

from orioleshore.model import ids

PROTOCOL_VERSION = 1


class _Message(msgspec.Struct, frozen=True):
    """Base of all messages; field names match those of the IDL."""


class PreVote(_Message, frozen=True):
    """Asks whether a vote would be granted, without a new term."""

    term: ids.Term
    last_index: ids.LogIndex
    last_term: ids.Term
    stamp: str


class PreVoteReply(_Message, frozen=True):
    """Answers a pre-vote; ``blank`` is set by members without a log."""

    term: ids.Term
    granted: bool
    stamp: str
    blank: bool


class Vote(_Message, frozen=True):
    """Asks for a vote in a new term."""

    term: ids.Term
    last_index: ids.LogIndex
    last_term: ids.Term
    stamp: str


class VoteReply(_Message, frozen=True):
    """Answers a vote request."""

    term: ids.Term
    granted: bool
    stamp: str
    blank: bool


class Release(_Message, frozen=True):
    """Frees the voters of a leader that stops; names who should follow."""

    term: ids.Term
    successor: ids.NodeId


class Entry(_Message, frozen=True):
    """One entry of the replicated log; ``kind`` is an ``EntryKind``."""

    index: ids.LogIndex
    term: ids.Term
    kind: int
    data: bytes


class Append(_Message, frozen=True):
    """Log entries and heartbeat of a leader."""

    term: ids.Term
    previous_index: ids.LogIndex
    previous_term: ids.Term
    entries: tuple[Entry, ...]
    commit_index: ids.LogIndex
    round: int


class AppendReply(_Message, frozen=True):
    """Answers an append with the highest index known to match."""

    term: ids.Term
    success: bool
    match_index: ids.LogIndex
    round: int
    stamp: str


class SnapshotChunk(_Message, frozen=True):
    """One part of a snapshot."""

    term: ids.Term
    last_index: ids.LogIndex
    last_term: ids.Term
    offset: int
    data: bytes
    done: bool


class SnapshotReply(_Message, frozen=True):
    """Asks for the next part of a snapshot."""

    term: ids.Term
    last_index: ids.LogIndex
    next_offset: int
    stamp: str


class Propose(_Message, frozen=True):
    """Asks the leader to commit a command."""

    command: bytes


class ProposeReply(_Message, frozen=True):
    """Result of a command; ``error_kind`` is empty on success.

    ``leader`` is the address of the leader where it is known.
    """

    error_kind: str
    message: str
    details: tuple[str, ...]
    answer: bytes
    leader: str


class Query(_Message, frozen=True):
    """Asks the leader for a part of its state."""

    subject: str
    parameters: bytes


class QueryReply(_Message, frozen=True):
    """Answers a query; ``error_kind`` is empty on success."""

    error_kind: str
    message: str
    answer: bytes
    leader: str


class Subscribe(_Message, frozen=True):
    """Asks for all configuration newer than a version."""

    version: ids.Version
    sections: tuple[str, ...]


class ConfigDelta(_Message, frozen=True):
    """Edits between two versions, or all items when ``full`` is set."""

    from_version: ids.Version
    to_version: ids.Version
    edits: bytes
    full: bool


class VersionReport(_Message, frozen=True):
    """Tells which version a process has in force."""

    version: ids.Version


class Rumour(_Message, frozen=True):
    """News about a process or an upstream, spread by gossip."""

    kind: int
    subject: str
    incarnation: ids.Incarnation
    state: str
    data: bytes


class Probe(_Message, frozen=True):
    """Asks a process to prove that it is alive."""

    sequence: int
    rumours: tuple[Rumour, ...]


class ProbeAck(_Message, frozen=True):
    """Answers a probe on behalf of ``subject``."""

    sequence: int
    subject: str
    rumours: tuple[Rumour, ...]


class IndirectProbe(_Message, frozen=True):
    """Asks a process to probe another one."""

    sequence: int
    subject: str
    subject_address: str
    rumours: tuple[Rumour, ...]


class SlotRequest(_Message, frozen=True):
    """Asks the owner of an upstream's credits for slots."""

    upstream: ids.UpstreamId
    wanted: int
    held: int


class SlotGrant(_Message, frozen=True):
    """Leases slots of an upstream for ``lease_ms`` milliseconds."""

    upstream: ids.UpstreamId
    granted: int
    lease_ms: int
    lease: int


class SlotReturn(_Message, frozen=True):
    """Gives leased slots back before the lease ends."""

    upstream: ids.UpstreamId
    returned: int
    lease: int


class Announce(_Message, frozen=True):
    """Passes on what an upstream announced, encoded as JSON."""

    upstream: bytes


class AnnounceAck(_Message, frozen=True):
    """Confirms that an announcement is in force at the receiver."""

    address: ids.UpstreamId
    incarnation: ids.Incarnation


class Header(msgspec.Struct, frozen=True):
    """Where a message comes from; ``correlation`` pairs calls and replies.

    ``reply_address`` is the inner address of the sender.
    """

    sender: ids.NodeId
    incarnation: ids.Incarnation
    correlation: int
    reply_address: str


class Received(msgspec.Struct, frozen=True):
    """A message as delivered to the mailbox of a task."""

    header: Header
    message: Any
