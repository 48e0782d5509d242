"""Decision logic of the replicated log: Raft with pre-vote and ReadIndex.

This module dispatches events and messages to the modules for elections,
replication, snapshots and membership changes, which all work on the state of
one member.
"""

import functools
import random

from orioleshore.consensus import core
from orioleshore.consensus import elections
from orioleshore.consensus import events
from orioleshore.consensus import followers
from orioleshore.consensus import group
from orioleshore.consensus import log
from orioleshore.consensus import replication
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages

Config = core.Config


class Raft:
    """One member of the Raft group."""

    def __init__(
        self,
        config: Config,
        hard_state: events.HardState,
        entries: log.Log,
        randomness: random.Random,
        now: float,
        started_at: float | None = None,
    ) -> None:
        """Create a member from its stored state.

        ``now`` and ``started_at``, the start of its process, are monotonic, in
        seconds; without ``started_at``, the process starts now.
        """
        self._core = core.Core(
            config,
            hard_state,
            entries,
            randomness,
            now,
            now if started_at is None else started_at,
        )

    @property
    def role(self) -> states.RaftRole:
        return self._core.role

    @property
    def term(self) -> ids.Term:
        return self._core.term

    @property
    def leader(self) -> ids.NodeId | None:
        return self._core.leader

    @property
    def commit_index(self) -> ids.LogIndex:
        return self._core.commit_index

    @property
    def members(self) -> events.Members | None:
        return self._core.members

    @property
    def log(self) -> log.Log:
        return self._core.log

    @property
    def stamp(self) -> str:
        return self._core.config.stamp

    @property
    def lease_until(self) -> float:
        """The monotonic time at which the leader lease expires."""
        return self._core.get_lease_end()

    @property
    def is_listed(self) -> bool:
        """Whether the newest member list in the log names this member."""
        return self._core.get_member(self._core.config.name) is not None

    @property
    def can_bootstrap(self) -> bool:
        """Whether this member may take part in the group's first election."""
        return self.members is None and (
            self._core.config.name in self._core.config.initial_members
        )

    def get_match_indexes(self) -> dict[ids.NodeId, int]:
        """Return the match index of each follower; empty unless leader."""
        if not self._core.is_leader:
            return {}
        return {
            name: progress.match_index
            for name, progress in self._core.progress.items()
        }

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Process an event and return the resulting actions.

        ``now`` is monotonic, in seconds.
        """
        member = self._core
        member.now = max(now, member.now)
        member.actions = []
        # The process may have been paused past the end of its lease, so a
        # leader checks the lease before it handles the event.
        replication.step_down_without_quorum(member)
        _handle_event(event, member)
        return member.actions


@functools.singledispatch
def _handle_event(event: events.Event, member: core.Core) -> None:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle_event.register
def _(event: events.Tick, member: core.Core) -> None:
    if member.is_storage_blocked:
        return
    if not member.is_leader:
        elections.campaign_when_due(member)
        return
    replication.broadcast_append_when_due(member)
    group.maintain_members(member)


@_handle_event.register
def _(event: events.MessageReceived, member: core.Core) -> None:
    if member.is_storage_blocked:
        # Most replies would have to be persisted first. Senders repeat their
        # messages, so all of them may be dropped.
        return
    _handle_message(event.message, member, event.sender)


@_handle_event.register
def _(event: events.ProposeRequested, member: core.Core) -> None:
    replication.propose_command(member, event)


@_handle_event.register
def _(event: events.ReadRequested, member: core.Core) -> None:
    replication.start_read(member, event)


@_handle_event.register
def _(event: events.MembersChangeRequested, member: core.Core) -> None:
    group.change_members(member, event)


@_handle_event.register
def _(event: events.LeadershipTransferRequested, member: core.Core) -> None:
    elections.transfer_leadership(member)


@_handle_event.register
def _(event: events.StorageBlocked, member: core.Core) -> None:
    elections.suspend_member(member)


@_handle_event.register
def _(event: events.StorageResumed, member: core.Core) -> None:
    elections.resume_member(member)


@_handle_event.register
def _(event: events.Persisted, member: core.Core) -> None:
    replication.handle_persisted(member, event)


@_handle_event.register
def _(event: events.SnapshotTaken, member: core.Core) -> None:
    if event.snapshot.last_index > member.log.snapshot_index:
        member.log.compact(event.snapshot)


@functools.singledispatch
def _handle_message(
    message: messages._Message, member: core.Core, sender: ids.NodeId
) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(
    message: messages.PreVote, member: core.Core, sender: ids.NodeId
) -> None:
    elections.answer_pre_vote(member, sender, message)


@_handle_message.register
def _(message: messages.Vote, member: core.Core, sender: ids.NodeId) -> None:
    elections.answer_vote(member, sender, message)


@_handle_message.register(messages.PreVoteReply)
@_handle_message.register(messages.VoteReply)
def _(
    message: messages.PreVoteReply | messages.VoteReply,
    member: core.Core,
    sender: ids.NodeId,
) -> None:
    elections.handle_vote_reply(member, sender, message)


@_handle_message.register
def _(
    message: messages.Release, member: core.Core, sender: ids.NodeId
) -> None:
    elections.handle_release(member, sender, message)


@_handle_message.register
def _(message: messages.Append, member: core.Core, sender: ids.NodeId) -> None:
    followers.answer_append(member, sender, message)


@_handle_message.register
def _(
    message: messages.AppendReply, member: core.Core, sender: ids.NodeId
) -> None:
    replication.handle_append_reply(member, sender, message)
    group.continue_change(member)


@_handle_message.register
def _(
    message: messages.SnapshotChunk, member: core.Core, sender: ids.NodeId
) -> None:
    followers.answer_snapshot_chunk(member, sender, message)


@_handle_message.register
def _(
    message: messages.SnapshotReply, member: core.Core, sender: ids.NodeId
) -> None:
    replication.handle_snapshot_reply(member, sender, message)
