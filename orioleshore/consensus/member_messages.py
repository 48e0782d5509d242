"""Messages to and from the task of a control member."""

import msgspec

from orioleshore.jobs import ledger_copies
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.state import commands
from orioleshore.state import queries
from orioleshore.tasks import reply

RAFT_MESSAGES = (
    messages.PreVote,
    messages.PreVoteReply,
    messages.Vote,
    messages.VoteReply,
    messages.Append,
    messages.AppendReply,
    messages.SnapshotChunk,
    messages.SnapshotReply,
    messages.Release,
)
CALL_MESSAGES = (
    messages.Propose,
    messages.Query,
    messages.Subscribe,
    messages.VersionReport,
)


class GetMemberStatus(msgspec.Struct, frozen=True):
    """Requests a member's own status, which may be stale."""

    answer: reply.Reply


class GetGroupAddresses(msgspec.Struct, frozen=True):
    """Requests the addresses of the group as this member knows them.

    The answer is a ``messages.GroupAddresses``.
    """

    answer: reply.Reply


class GetMemberMetrics(msgspec.Struct, frozen=True):
    """Requests a member's metrics; a leader adds those of the fleet."""

    answer: reply.Reply


class GetMemberDump(msgspec.Struct, frozen=True):
    """Requests all the state that a member holds."""

    answer: reply.Reply


class LeadershipGained(msgspec.Struct, frozen=True):
    """This member became the leader; ``epoch`` is its term.

    ``encoded_state`` is the part of the state that the receiver needs.
    """

    epoch: ids.Epoch
    encoded_state: bytes


class SchedulingGained(msgspec.Struct, frozen=True):
    """This member schedules callers' jobs from now on.

    ``epoch`` is its term. Sent to the job scheduler only.
    """

    epoch: ids.Epoch
    ledger: ledger_copies.LedgerCopy


class LeadershipLost(msgspec.Struct, frozen=True):
    """This member is no longer the leader."""


class CommandApplied(msgspec.Struct, frozen=True):
    """A command was applied at this member, which is the leader."""

    command: commands.Command


class SubmitCommand(msgspec.Struct, frozen=True):
    """Commits a command from a task of this process.

    Without a command, only confirms that this member is still the leader.
    """

    command: commands.Command | None
    answer: reply.Reply


class TransferLeadership(msgspec.Struct, frozen=True):
    """Requests a leadership transfer; answers whether the member led."""

    answer: reply.Reply


class ResendState(msgspec.Struct, frozen=True):
    """The job scheduler dropped its copy of the state and needs a new one."""


class DemandReceived(msgspec.Struct, frozen=True):
    """An entry host reported demand to this member, which is the leader."""

    report: queries.ReportDemand


class ExplainRequested(msgspec.Struct, frozen=True):
    """Requests the fleet manager's explanations about a subject."""

    query: queries.Explain
    answer: reply.Reply
