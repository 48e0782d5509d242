"""Messages between the processes of the system, without an encoding."""

from typing import Any

import msgspec

from orioleshore.model import ids

PROTOCOL_VERSION = 1


class _Message(msgspec.Struct, frozen=True):
    """Base of all messages; field names are those of the Thrift IDL."""


class PreVote(_Message, frozen=True):
    """Requests a pre-vote, which does not start a new term.

    ``round`` is a random number that identifies the request.
    """

    term: ids.Term
    last_index: ids.LogIndex
    last_term: ids.Term
    stamp: str
    round: int = 0


class PreVoteReply(_Message, frozen=True):
    """Reply to a pre-vote; ``blank`` is set by a member without a log.

    ``fresh_round`` repeats the round of the request if the sender may vote
    for the candidate and its process has neither led nor supported a leader
    since it started; otherwise it is 0.
    """

    term: ids.Term
    granted: bool
    stamp: str
    blank: bool
    fresh_round: int = 0


class Vote(_Message, frozen=True):
    """Requests a vote in a new term.

    ``fresh_round`` is the round of a pre-vote to which all members of the
    group replied that they are fresh, so that no leader can hold a lease;
    otherwise it is 0.
    """

    term: ids.Term
    last_index: ids.LogIndex
    last_term: ids.Term
    stamp: str
    fresh_round: int = 0


class VoteReply(_Message, frozen=True):
    """Reply to a vote request."""

    term: ids.Term
    granted: bool
    stamp: str
    blank: bool


class Release(_Message, frozen=True):
    """Announces that a leader steps down; ``successor`` should campaign."""

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
    """Reply to an append, with the highest index known to match."""

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
    """Requests the next part of a snapshot."""

    term: ids.Term
    last_index: ids.LogIndex
    next_offset: int
    stamp: str


class Propose(_Message, frozen=True):
    """Requests that the leader commits a command."""

    command: bytes


class ProposeReply(_Message, frozen=True):
    """Result of a command; ``error_kind`` is empty on success.

    ``leader`` is the address of the leader if it is known.
    """

    error_kind: str
    message: str
    details: tuple[str, ...]
    answer: bytes
    leader: str


class Query(_Message, frozen=True):
    """Requests a part of the state of the leader."""

    subject: str
    parameters: bytes


class QueryReply(_Message, frozen=True):
    """Reply to a query; ``error_kind`` is empty on success."""

    error_kind: str
    message: str
    answer: bytes
    leader: str


class Subscribe(_Message, frozen=True):
    """Requests all configuration that is newer than a version."""

    version: ids.Version
    sections: tuple[str, ...]


class ConfigDelta(_Message, frozen=True):
    """Edits between two versions, or all items when ``full`` is set."""

    from_version: ids.Version
    to_version: ids.Version
    edits: bytes
    full: bool


class VersionReport(_Message, frozen=True):
    """Reports the version that a process has in force."""

    version: ids.Version


class Rumour(_Message, frozen=True):
    """A membership update about a process or an upstream."""

    kind: int
    subject: str
    incarnation: ids.Incarnation
    state: str
    data: bytes


class Probe(_Message, frozen=True):
    """Probes whether a process is alive."""

    sequence: int
    rumours: tuple[Rumour, ...]


class ProbeAck(_Message, frozen=True):
    """Acknowledges a probe of ``subject``; a relay may send it."""

    sequence: int
    subject: str
    rumours: tuple[Rumour, ...]


class IndirectProbe(_Message, frozen=True):
    """Requests that a process probes another one."""

    sequence: int
    subject: str
    subject_address: str
    rumours: tuple[Rumour, ...]


class SlotRequest(_Message, frozen=True):
    """Requests slots from the owner of the slots of an upstream."""

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
    """Returns leased slots before the lease ends."""

    upstream: ids.UpstreamId
    returned: int
    lease: int


class Announce(_Message, frozen=True):
    """Forwards the announcement of an upstream, encoded as JSON."""

    upstream: bytes


class AnnounceAck(_Message, frozen=True):
    """Confirms that an announcement is in force at the receiver."""

    address: ids.UpstreamId
    incarnation: ids.Incarnation


class GroupAddresses(_Message, frozen=True):
    """Addresses of the control members in the inner protocol.

    Members send it to their seeds that are no members. ``leader`` is the
    leader of the term, empty if it is not known.
    """

    term: ids.Term
    leader: str
    members: tuple[str, ...]


class Header(msgspec.Struct, frozen=True):
    """The sender of a message; ``correlation`` pairs calls and replies.

    ``reply_address`` is the address of the sender in the inner protocol.
    ``recipient`` is the incarnation of the process that a reply is meant for,
    0 in other messages and in those of earlier builds.
    """

    sender: ids.NodeId
    incarnation: ids.Incarnation
    correlation: int
    reply_address: str
    recipient: ids.Incarnation = ids.UNKNOWN_INCARNATION


class Received(msgspec.Struct, frozen=True):
    """A message as delivered to the mailbox of a task."""

    header: Header
    message: Any
