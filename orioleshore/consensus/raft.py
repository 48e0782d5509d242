"""Decisions of the replicated log: Raft with pre-vote and read index.

There is no input or output here. Events and the monotonic time go in,
actions come out, and the same input gives the same output.
"""

import functools
import random

import msgspec

from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages

MAX_ENTRIES_PER_APPEND = 256
MAX_BYTES_PER_APPEND = 524_288
SNAPSHOT_CHUNK_BYTES = 262_144
# The leader gives up before its followers may elect another one; the
# margin covers the drift between two monotonic clocks.
LEASE_FRACTION = 0.9
# A learner becomes a voter once it lacks at most this many entries.
PROMOTE_LAG_ENTRIES = 64

_ELECTING = (states.RaftRole.PRE_CANDIDATE, states.RaftRole.CANDIDATE)


class Config(msgspec.Struct, frozen=True):
    """Fixed properties of one member; times in seconds.

    ``initial`` maps the names of the first members to their addresses.
    """

    name: ids.NodeId
    address: str
    stamp: str
    initial: dict[ids.NodeId, str]
    heartbeat_s: float = 0.15
    election_timeout_s: float = 0.9


class _Progress(msgspec.Struct):
    """What a leader knows about one follower."""

    match_index: int = 0
    next_index: int = 1
    contact: float = -1.0e9
    acknowledged_round: int = 0
    snapshot_offset: int | None = None
    appended_at: float = -1.0e9
    in_flight: bool = False


class _PendingRead(msgspec.Struct, frozen=True):
    token: int
    index: ids.LogIndex
    round: int


class Raft:
    """One member of the group."""

    def __init__(
        self,
        config: Config,
        hard_state: events.HardState,
        entries: log.Log,
        randomness: random.Random,
        now: float,
    ) -> None:
        self._config = config
        self._hard_state = hard_state
        self._log = entries
        self._random = randomness
        self._now = now
        self._role = states.RaftRole.FOLLOWER
        self._leader: ids.NodeId | None = None
        # A restarted member may have acknowledged a leader just before, so
        # it supports nobody else for one election timeout.
        self._leader_contact = -1.0e9 if entries.is_blank else now
        self._election_due = 0.0
        self._commit_index = entries.snapshot_index
        self._applied_index = entries.snapshot_index
        self._persisted_index = entries.last_index
        self._members = entries.find_members()
        self._votes: dict[ids.NodeId, messages.VoteReply] = {}
        self._progress: dict[ids.NodeId, _Progress] = {}
        self._round = 0
        self._round_sent: dict[int, float] = {}
        self._broadcast_due = now
        self._reads: list[_PendingRead] = []
        self._incoming_snapshot = bytearray()
        self._actions: list[events.Action] = []
        self._set_election_due()

    @property
    def role(self) -> states.RaftRole:
        return self._role

    @property
    def term(self) -> ids.Term:
        return self._hard_state.term

    @property
    def leader(self) -> ids.NodeId | None:
        return self._leader

    @property
    def commit_index(self) -> ids.LogIndex:
        return self._commit_index

    @property
    def members(self) -> events.Members | None:
        return self._members

    @property
    def log(self) -> log.Log:
        return self._log

    @property
    def stamp(self) -> str:
        return self._config.stamp

    def get_match_indexes(self) -> dict[ids.NodeId, int]:
        """Return how far each follower follows; empty unless leader."""
        return {
            name: progress.match_index
            for name, progress in self._progress.items()
        }

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions that follow from an event.

        ``now`` is monotonic, in seconds.
        """
        self._now = max(now, self._now)
        self._actions = []
        # A process that was paused must not decide on what it believed.
        self._step_down_without_quorum()
        _handle(event, self)
        return self._actions

    # Elections.

    def _handle_tick(self) -> None:
        if self._role is states.RaftRole.LEADER:
            if self._now >= self._broadcast_due:
                self._broadcast()
            self._promote_learners()
            return
        if self._now >= self._election_due and self._may_campaign():
            self._start_pre_vote()

    def _may_campaign(self) -> bool:
        if self._members is None:
            return self._config.name in self._config.initial
        own = self._get_member(self._config.name)
        return (
            own is not None and own.voter and own.stamp == self._config.stamp
        )

    def _start_pre_vote(self) -> None:
        self._become(states.RaftRole.PRE_CANDIDATE, None)
        self._votes = {}
        self._set_election_due()
        request = messages.PreVote(
            ids.Term(self.term + 1),
            self._log.last_index,
            self._log.last_term,
            self._config.stamp,
        )
        self._send_to_voters(request)
        self._count_own_vote()

    def _start_vote(self) -> None:
        self._hard_state = events.HardState(
            ids.Term(self.term + 1), self._config.name
        )
        self._become(states.RaftRole.CANDIDATE, None)
        self._votes = {}
        self._set_election_due()
        self._persist(())
        request = messages.Vote(
            self.term,
            self._log.last_index,
            self._log.last_term,
            self._config.stamp,
        )
        self._send_to_voters(request)
        self._count_own_vote()

    def _count_own_vote(self) -> None:
        self._count_vote(
            self._config.name,
            messages.VoteReply(
                self.term, True, self._config.stamp, self._log.is_blank
            ),
        )

    def _count_vote(
        self, voter: ids.NodeId, reply: messages.VoteReply
    ) -> None:
        self._votes[voter] = reply
        if not self._has_won():
            return
        if self._role is states.RaftRole.PRE_CANDIDATE:
            self._start_vote()
        else:
            self._become_leader()

    def _has_won(self) -> bool:
        granted = {name for name, vote in self._votes.items() if vote.granted}
        if self._members is None:
            # The first election needs all members, each without a log, so
            # that a member that lost its files cannot found a new group.
            return granted >= set(self._config.initial) and all(
                vote.blank for vote in self._votes.values()
            )
        voters = {m.name for m in self._members.members if m.voter}
        return len(granted & voters) * 2 > len(voters)

    def _become_leader(self) -> None:
        self._become(states.RaftRole.LEADER, self._config.name)
        self._progress = {}
        self._reads = []
        self._round_sent = {}
        for name in self._get_peer_addresses():
            self._progress[name] = _Progress(
                next_index=self._log.last_index + 1, contact=self._now
            )
        if self._members is None:
            self._append_entry(
                events.EntryKind.MEMBERS,
                log.encode_members(self._get_founding_members()),
            )
        else:
            self._append_entry(events.EntryKind.BARRIER, b'')
        self._broadcast()

    def _get_founding_members(self) -> events.Members:
        return events.Members(
            tuple(
                events.Member(name, address, self._votes[name].stamp, True)
                for name, address in sorted(self._config.initial.items())
            )
        )

    def _answer_pre_vote(
        self, sender: ids.NodeId, request: messages.PreVote
    ) -> None:
        granted = (
            request.term > self.term
            and not self._hears_leader()
            and self._may_support(sender, request)
        )
        self._send(
            sender,
            messages.PreVoteReply(
                self.term, granted, self._config.stamp, self._log.is_blank
            ),
        )

    def _answer_vote(self, sender: ids.NodeId, request: messages.Vote) -> None:
        if self._hears_leader() or not self._may_support(sender, request):
            self._send_vote_reply(sender, False)
            return
        if request.term > self.term:
            self._adopt_term(request.term)
        free = self._hard_state.voted_for in (None, sender)
        granted = request.term == self.term and free
        if granted:
            self._hard_state = events.HardState(self.term, sender)
            self._persist(())
            self._set_election_due()
        self._send_vote_reply(sender, granted)

    def _send_vote_reply(self, sender: ids.NodeId, granted: bool) -> None:
        self._send(
            sender,
            messages.VoteReply(
                self.term, granted, self._config.stamp, self._log.is_blank
            ),
        )

    def _hears_leader(self) -> bool:
        if self._role is states.RaftRole.LEADER:
            return True
        silence_s = self._now - self._leader_contact
        return silence_s < self._config.election_timeout_s

    def _may_support(
        self, sender: ids.NodeId, request: messages.PreVote | messages.Vote
    ) -> bool:
        if self._log.is_blank and request.last_index > 0:
            # Without a log this member may have lost entries that it once
            # acknowledged, so its vote could elect a leader without them.
            return False
        if self._members is not None:
            member = self._get_member(sender)
            if member is None or member.stamp != request.stamp:
                return False
        own = (self._log.last_term, self._log.last_index)
        return (request.last_term, request.last_index) >= own

    def _take_vote_reply(
        self,
        sender: ids.NodeId,
        reply: messages.PreVoteReply | messages.VoteReply,
    ) -> None:
        if reply.term > self.term:
            self._follow_newer_term(reply.term)
            return
        expected = (
            states.RaftRole.PRE_CANDIDATE
            if isinstance(reply, messages.PreVoteReply)
            else states.RaftRole.CANDIDATE
        )
        if self._role is not expected:
            return
        if expected is states.RaftRole.CANDIDATE and reply.term != self.term:
            return
        if not self._has_expected_stamp(sender, reply.stamp):
            return
        self._count_vote(
            sender,
            messages.VoteReply(
                reply.term, reply.granted, reply.stamp, reply.blank
            ),
        )

    # Replication, at the leader.

    def _broadcast(self) -> None:
        self._round += 1
        self._round_sent[self._round] = self._now
        self._forget_old_rounds()
        self._broadcast_due = self._now + self._config.heartbeat_s
        for name in self._get_peer_addresses():
            self._send_append(name, force=True)
        self._advance_commit()

    def _forget_old_rounds(self) -> None:
        oldest = self._now - 10 * self._config.election_timeout_s
        for number in [
            number
            for number, sent in self._round_sent.items()
            if sent < oldest
        ]:
            del self._round_sent[number]

    def _send_append(self, name: ids.NodeId, force: bool) -> None:
        """Send what a follower lacks; a heartbeat when ``force`` is set."""
        progress = self._progress.setdefault(
            name, _Progress(next_index=self._log.last_index + 1)
        )
        lost = self._now - progress.appended_at > 2 * self._config.heartbeat_s
        if progress.in_flight and not lost and not force:
            return
        if progress.next_index < self._log.first_index:
            self._send_snapshot(name, progress, lost)
            return
        entries: tuple[messages.Entry, ...] = ()
        if not progress.in_flight or lost:
            entries = self._get_batch(progress.next_index)
        if not entries and not force:
            return
        previous = progress.next_index - 1
        self._send(
            name,
            messages.Append(
                self.term,
                ids.LogIndex(previous),
                self._log.get_term(previous),
                entries,
                self._commit_index,
                self._round,
            ),
        )
        if entries:
            progress.in_flight = True
            progress.appended_at = self._now

    def _get_batch(self, first: int) -> tuple[messages.Entry, ...]:
        candidates = self._log.get_entries(
            first, first + MAX_ENTRIES_PER_APPEND - 1
        )
        size = 0
        for count, entry in enumerate(candidates):
            size += len(entry.data)
            if size > MAX_BYTES_PER_APPEND and count:
                return candidates[:count]
        return candidates

    def _send_snapshot(
        self, name: ids.NodeId, progress: _Progress, lost: bool
    ) -> None:
        snapshot = self._log.snapshot
        if progress.snapshot_offset is not None and not lost:
            self._send_heartbeat(name)
            return
        offset = progress.snapshot_offset or 0
        progress.snapshot_offset = offset
        progress.appended_at = self._now
        data = encode_snapshot(snapshot)
        part = data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        self._send(
            name,
            messages.SnapshotChunk(
                self.term,
                snapshot.last_index,
                snapshot.last_term,
                offset,
                part,
                offset + len(part) >= len(data),
            ),
        )

    def _send_heartbeat(self, name: ids.NodeId) -> None:
        self._send(
            name,
            messages.Append(
                self.term,
                ids.LogIndex(0),
                ids.Term(0),
                (),
                ids.LogIndex(0),
                self._round,
            ),
        )

    def _take_append_reply(
        self, sender: ids.NodeId, reply: messages.AppendReply
    ) -> None:
        if reply.term > self.term:
            self._follow_newer_term(reply.term)
            return
        progress = self._progress.get(sender)
        if self._role is not states.RaftRole.LEADER or progress is None:
            return
        if reply.term != self.term:
            return
        if not self._has_expected_stamp(sender, reply.stamp):
            return
        sent = self._round_sent.get(reply.round)
        if sent is not None:
            progress.contact = max(progress.contact, sent)
        progress.acknowledged_round = max(
            progress.acknowledged_round, reply.round
        )
        progress.in_flight = False
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            progress.snapshot_offset = None
        else:
            progress.next_index = min(
                progress.next_index, reply.match_index + 1
            )
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
        self._advance_commit()
        self._answer_reads()
        self._send_append(sender, force=False)

    def _take_snapshot_reply(
        self, sender: ids.NodeId, reply: messages.SnapshotReply
    ) -> None:
        if reply.term > self.term:
            self._follow_newer_term(reply.term)
            return
        progress = self._progress.get(sender)
        if self._role is not states.RaftRole.LEADER or progress is None:
            return
        if not self._has_expected_stamp(sender, reply.stamp):
            return
        if progress.snapshot_offset is None:
            return
        if reply.last_index != self._log.snapshot_index:
            progress.snapshot_offset = None
        else:
            progress.snapshot_offset = reply.next_offset
        self._send_snapshot(sender, progress, lost=True)

    def _advance_commit(self) -> None:
        if self._members is None:
            return
        matches = sorted(
            (
                self._persisted_index
                if member.name == self._config.name
                else self._progress[member.name].match_index
                for member in self._members.members
                if member.voter
                and (
                    member.name in self._progress
                    or member.name == self._config.name
                )
            ),
            reverse=True,
        )
        voters = sum(member.voter for member in self._members.members)
        quorum = voters // 2
        if len(matches) <= quorum:
            return
        candidate = matches[quorum]
        if self._log.get_term(candidate) != self.term:
            return
        self._commit(candidate)

    def _commit(self, index: int) -> None:
        index = min(index, self._log.last_index)
        if index <= self._commit_index:
            return
        self._commit_index = ids.LogIndex(index)
        entries = self._log.get_entries(self._applied_index + 1, index)
        self._applied_index = ids.LogIndex(index)
        self._actions.append(events.Apply(entries))
        self._step_down_when_removed()

    def _append_entry(
        self, kind: events.EntryKind, data: bytes
    ) -> ids.LogIndex:
        entry = messages.Entry(
            ids.LogIndex(self._log.last_index + 1), self.term, kind, data
        )
        self._log.append((entry,))
        if kind is events.EntryKind.MEMBERS:
            self._use_newest_members()
        self._persist((entry,))
        return entry.index

    # Replication, at a follower.

    def _answer_append(
        self, sender: ids.NodeId, request: messages.Append
    ) -> None:
        if request.term < self.term:
            self._reply_append(sender, False, 0, request.round)
            return
        if not self._may_follow(request):
            return
        self._follow(sender, request.term)
        if request.previous_index < self._log.snapshot_index:
            # A heartbeat while a snapshot is under way, or a late append.
            self._reply_append(sender, True, self._commit_index, request.round)
            return
        known = self._log.get_term(request.previous_index)
        if known != request.previous_term:
            hint = min(request.previous_index - 1, self._log.last_index)
            hint = max(hint, self._commit_index)
            self._reply_append(sender, False, hint, request.round)
            return
        self._store_entries(request.entries)
        match = request.previous_index + len(request.entries)
        self._commit(min(request.commit_index, match))
        self._reply_append(sender, True, match, request.round)

    def _may_follow(self, request: messages.Append) -> bool:
        """Refuse to join a group that does not list this member's files."""
        if not self._log.is_blank:
            return True
        if not self._config.initial:
            return True
        for entry in request.entries:
            if entry.kind == events.EntryKind.MEMBERS:
                listed = log.decode_members(entry.data).members
                return any(m.stamp == self._config.stamp for m in listed)
        return True

    def _store_entries(self, entries: tuple[messages.Entry, ...]) -> None:
        for position, entry in enumerate(entries):
            if self._log.get_term(entry.index) == entry.term:
                continue
            new = entries[position:]
            self._log.append(new)
            self._persisted_index = min(
                self._persisted_index, ids.LogIndex(entry.index - 1)
            )
            self._use_newest_members()
            self._persist(new)
            return

    def _reply_append(
        self, sender: ids.NodeId, success: bool, match: int, round_: int
    ) -> None:
        self._send(
            sender,
            messages.AppendReply(
                self.term,
                success,
                ids.LogIndex(match),
                round_,
                self._config.stamp,
            ),
        )

    def _take_snapshot_chunk(
        self, sender: ids.NodeId, chunk: messages.SnapshotChunk
    ) -> None:
        if chunk.term < self.term:
            self._reply_append(sender, False, 0, 0)
            return
        self._follow(sender, chunk.term)
        if chunk.last_index <= self._commit_index:
            self._reply_append(sender, True, self._commit_index, 0)
            return
        if chunk.offset == 0:
            self._incoming_snapshot = bytearray()
        if chunk.offset != len(self._incoming_snapshot):
            self._ask_for_chunk(sender, chunk)
            return
        self._incoming_snapshot += chunk.data
        if not chunk.done:
            self._ask_for_chunk(sender, chunk)
            return
        self._install(decode_snapshot(bytes(self._incoming_snapshot)))
        self._incoming_snapshot = bytearray()
        self._reply_append(sender, True, self._commit_index, 0)

    def _ask_for_chunk(
        self, sender: ids.NodeId, chunk: messages.SnapshotChunk
    ) -> None:
        self._send(
            sender,
            messages.SnapshotReply(
                self.term,
                chunk.last_index,
                len(self._incoming_snapshot),
                self._config.stamp,
            ),
        )

    def _install(self, snapshot: events.Snapshot) -> None:
        if self._log.get_term(snapshot.last_index) == snapshot.last_term:
            self._log.compact(snapshot)
        else:
            self._log.reset(snapshot)
            self._persisted_index = snapshot.last_index
        self._commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        self._actions.append(events.InstallSnapshot(snapshot))
        self._use_newest_members()

    # Requests of this process.

    def _propose(self, request: events.ProposeRequested) -> None:
        if self._role is not states.RaftRole.LEADER:
            self._refuse(request.token, errors.ErrorKind.NOT_LEADER)
            return
        index = self._append_entry(events.EntryKind.COMMAND, request.data)
        self._actions.append(events.Accepted(request.token, index, self.term))
        self._replicate()

    def _read(self, request: events.ReadRequested) -> None:
        if self._role is not states.RaftRole.LEADER:
            self._refuse(request.token, errors.ErrorKind.NOT_LEADER)
            return
        if self._log.get_term(self._commit_index) != self.term:
            # Before its barrier is committed, a new leader does not know
            # which entries of its predecessors are committed.
            self._refuse(request.token, errors.ErrorKind.NO_QUORUM)
            return
        self._reads.append(
            _PendingRead(request.token, self._commit_index, self._round + 1)
        )
        self._broadcast()
        self._answer_reads()

    def _change_members(self, request: events.MembersChangeRequested) -> None:
        if self._role is not states.RaftRole.LEADER:
            self._refuse(request.token, errors.ErrorKind.NOT_LEADER)
            return
        if not self._may_change_members():
            self._refuse(request.token, errors.ErrorKind.OVERLOADED)
            return
        kept = [
            member
            for member in self._members.members
            if member.name != request.remove
            and (request.add is None or member.name != request.add.name)
        ]
        if request.add is not None:
            kept.append(request.add)
        if not any(member.voter for member in kept):
            self._refuse(request.token, errors.ErrorKind.ILLEGAL_TRANSITION)
            return
        index = self._append_members(kept)
        self._actions.append(events.Accepted(request.token, index, self.term))

    def _may_change_members(self) -> bool:
        """Allow one change at a time, and only in an established term."""
        return (
            self._members is not None
            and self._log.find_last_members_index() <= self._commit_index
            and self._log.get_term(self._commit_index) == self.term
        )

    def _append_members(self, members: list[events.Member]) -> ids.LogIndex:
        ordered = tuple(sorted(members, key=lambda member: member.name))
        index = self._append_entry(
            events.EntryKind.MEMBERS,
            log.encode_members(events.Members(ordered)),
        )
        self._replicate()
        return index

    def _promote_learners(self) -> None:
        if not self._may_change_members():
            return
        for member in self._members.members:
            progress = self._progress.get(member.name)
            if member.voter or progress is None:
                continue
            lag = self._log.last_index - progress.match_index
            if progress.match_index and lag <= PROMOTE_LAG_ENTRIES:
                promoted = msgspec.structs.replace(member, voter=True)
                others = [m for m in self._members.members if m != member]
                self._append_members([*others, promoted])
                return

    def _replicate(self) -> None:
        for name in self._get_peer_addresses():
            self._send_append(name, force=False)
        self._advance_commit()

    def _take_persisted(self, event: events.Persisted) -> None:
        if self._log.get_term(event.index) != event.term:
            return
        self._persisted_index = max(self._persisted_index, event.index)
        if self._role is states.RaftRole.LEADER:
            self._advance_commit()

    def _take_snapshot(self, event: events.SnapshotTaken) -> None:
        if event.snapshot.last_index > self._log.snapshot_index:
            self._log.compact(event.snapshot)

    def _answer_reads(self) -> None:
        reached = self._get_quorum_value(
            lambda progress: progress.acknowledged_round, self._round
        )
        waiting = []
        for read in self._reads:
            if read.round <= reached:
                self._actions.append(events.ReadReady(read.token, read.index))
            else:
                waiting.append(read)
        self._reads = waiting

    # Roles.

    def _step_down_without_quorum(self) -> None:
        if self._role is not states.RaftRole.LEADER:
            return
        contact = self._get_quorum_value(
            lambda progress: progress.contact, self._now
        )
        lease_s = LEASE_FRACTION * self._config.election_timeout_s
        if self._now - contact > lease_s:
            self._become(states.RaftRole.FOLLOWER, None)
            self._set_election_due()

    def _step_down_when_removed(self) -> None:
        if self._role is not states.RaftRole.LEADER:
            return
        if self._log.find_last_members_index() > self._commit_index:
            return
        if not self._may_campaign():
            self._become(states.RaftRole.FOLLOWER, None)
            self._set_election_due()

    def _get_quorum_value(self, get_value, own_value: float) -> float:
        """Return the value that a quorum of the voters has reached."""
        if self._members is None:
            return own_value
        values = sorted(
            (
                own_value
                if member.name == self._config.name
                else get_value(self._progress.get(member.name, _Progress()))
                for member in self._members.members
                if member.voter
            ),
            reverse=True,
        )
        return values[len(values) // 2]

    def _follow(self, leader: ids.NodeId, term: ids.Term) -> None:
        if term > self.term:
            self._adopt_term(term)
        self._leader_contact = self._now
        self._set_election_due()
        if (
            self._role is not states.RaftRole.FOLLOWER
            or self._leader != leader
        ):
            self._become(states.RaftRole.FOLLOWER, leader)

    def _follow_newer_term(self, term: ids.Term) -> None:
        self._adopt_term(term)
        self._become(states.RaftRole.FOLLOWER, None)
        self._set_election_due()

    def _adopt_term(self, term: ids.Term) -> None:
        self._hard_state = events.HardState(term, None)
        self._persist(())
        if self._role is not states.RaftRole.FOLLOWER:
            self._become(states.RaftRole.FOLLOWER, None)

    def _become(
        self, role: states.RaftRole, leader: ids.NodeId | None
    ) -> None:
        if self._role is states.RaftRole.LEADER:
            for read in self._reads:
                self._refuse(read.token, errors.ErrorKind.NOT_LEADER)
            self._reads = []
        self._role = role
        self._leader = leader
        self._actions.append(events.RoleChanged(role, self.term, leader))

    def _set_election_due(self) -> None:
        factor = 1.0 + self._random.random()
        self._election_due = (
            self._now + factor * self._config.election_timeout_s
        )

    # Members.

    def _use_newest_members(self) -> None:
        members = self._log.find_members()
        if members == self._members:
            return
        self._members = members
        if members is not None:
            self._actions.append(events.MembersChanged(members))
        if self._role is states.RaftRole.LEADER:
            self._drop_removed_progress()

    def _drop_removed_progress(self) -> None:
        peers = self._get_peer_addresses()
        for name in [name for name in self._progress if name not in peers]:
            del self._progress[name]
        for name in peers:
            self._progress.setdefault(
                name,
                _Progress(next_index=self._log.last_index, contact=self._now),
            )

    def _get_member(self, name: ids.NodeId) -> events.Member | None:
        if self._members is None:
            return None
        for member in self._members.members:
            if member.name == name:
                return member
        return None

    def _has_expected_stamp(self, name: ids.NodeId, stamp: str) -> bool:
        if self._members is None:
            return name in self._config.initial
        member = self._get_member(name)
        if member is None:
            return False
        if member.stamp != stamp:
            self._actions.append(events.StampMismatch(name, stamp))
            return False
        return True

    def _get_peer_addresses(self) -> dict[ids.NodeId, str]:
        if self._members is None:
            addresses = dict(self._config.initial)
        else:
            addresses = {m.name: m.address for m in self._members.members}
        addresses.pop(self._config.name, None)
        return addresses

    def _send_to_voters(
        self, message: messages.PreVote | messages.Vote
    ) -> None:
        for name in self._get_peer_addresses():
            member = self._get_member(name)
            if self._members is None or member.voter:
                self._send(name, message)

    def _send(self, to: ids.NodeId, message: messages._Message) -> None:
        address = self._get_peer_addresses().get(to, '')
        self._actions.append(events.Send(to, address, message))

    def _persist(self, entries: tuple[messages.Entry, ...]) -> None:
        self._actions.append(events.Persist(self._hard_state, entries))

    def _refuse(self, token: int, kind: errors.ErrorKind) -> None:
        self._actions.append(events.Refuse(token, kind))


def encode_snapshot(snapshot: events.Snapshot) -> bytes:
    """Return a snapshot as it travels and as it is stored."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> events.Snapshot:
    """Return the snapshot that was encoded."""
    return msgspec.msgpack.decode(data, type=events.Snapshot)


@functools.singledispatch
def _handle(event: events.Event, raft: Raft) -> None:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle.register
def _(event: events.Tick, raft: Raft) -> None:
    raft._handle_tick()


@_handle.register
def _(event: events.MessageReceived, raft: Raft) -> None:
    _receive(event.message, raft, event.sender)


@_handle.register
def _(event: events.ProposeRequested, raft: Raft) -> None:
    raft._propose(event)


@_handle.register
def _(event: events.ReadRequested, raft: Raft) -> None:
    raft._read(event)


@_handle.register
def _(event: events.MembersChangeRequested, raft: Raft) -> None:
    raft._change_members(event)


@_handle.register
def _(event: events.Persisted, raft: Raft) -> None:
    raft._take_persisted(event)


@_handle.register
def _(event: events.SnapshotTaken, raft: Raft) -> None:
    raft._take_snapshot(event)


@functools.singledispatch
def _receive(
    message: messages._Message, raft: Raft, sender: ids.NodeId
) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_receive.register
def _(message: messages.PreVote, raft: Raft, sender: ids.NodeId) -> None:
    raft._answer_pre_vote(sender, message)


@_receive.register
def _(message: messages.Vote, raft: Raft, sender: ids.NodeId) -> None:
    raft._answer_vote(sender, message)


@_receive.register(messages.PreVoteReply)
@_receive.register(messages.VoteReply)
def _(
    message: messages.PreVoteReply | messages.VoteReply,
    raft: Raft,
    sender: ids.NodeId,
) -> None:
    raft._take_vote_reply(sender, message)


@_receive.register
def _(message: messages.Append, raft: Raft, sender: ids.NodeId) -> None:
    raft._answer_append(sender, message)


@_receive.register
def _(message: messages.AppendReply, raft: Raft, sender: ids.NodeId) -> None:
    raft._take_append_reply(sender, message)


@_receive.register
def _(message: messages.SnapshotChunk, raft: Raft, sender: ids.NodeId) -> None:
    raft._take_snapshot_chunk(sender, message)


@_receive.register
def _(message: messages.SnapshotReply, raft: Raft, sender: ids.NodeId) -> None:
    raft._take_snapshot_reply(sender, message)
