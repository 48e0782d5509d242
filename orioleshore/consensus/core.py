"""State of one Raft member, shared by the modules that decide.

There is no input or output here. Events and the monotonic time go in,
actions come out, and the same input gives the same output.
"""

from collections.abc import Callable
import random

import msgspec

from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages

# Length of the leader lease, as a fraction of the election timeout. The lease
# ends before followers may elect another leader; the margin covers the drift
# between two monotonic clocks.
LEASE_FRACTION = 0.9
# Longest random delay of an election, as a fraction of the election timeout.
MAX_ELECTION_DELAY = 0.5
SNAPSHOT_CHUNK_BYTES = 262_144
# Monotonic time in seconds that lies before the start of any process.
NEVER = -1.0e9


class Config(msgspec.Struct, frozen=True):
    """Fixed properties of one member; times in seconds.

    ``stamp`` identifies the data folder of this member; a new folder has a
    new stamp. ``initial_members`` maps the names of the members that
    bootstrap the group to their addresses.
    """

    name: ids.NodeId
    address: str
    stamp: str
    initial_members: dict[ids.NodeId, str]
    heartbeat_s: float = 0.15
    election_timeout_s: float = 0.9
    chunk_bytes: int = SNAPSHOT_CHUNK_BYTES


class SnapshotTransfer(msgspec.Struct):
    """State of sending one encoded snapshot to a follower."""

    last_index: ids.LogIndex
    last_term: ids.Term
    data: bytes
    offset: int = 0
    sent_at: float = NEVER


class Progress(msgspec.Struct):
    """Replication state that the leader keeps for one follower.

    ``in_flight_index`` is the last index of the batch that is not yet
    acknowledged, ``last_contact`` the time at which the leader sent the last
    round that the follower acknowledged, ``tracked_since`` the time at which
    the leader began to wait for acknowledgements.
    """

    stamp: str
    tracked_since: float = NEVER
    match_index: int = 0
    next_index: int = 1
    last_contact: float = NEVER
    acknowledged_round: int = 0
    in_flight_index: int | None = None
    appended_at: float = NEVER
    transfer: SnapshotTransfer | None = None


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits until a quorum has acknowledged a round.

    ``index`` is the read index: the commit index when the read arrived.
    """

    token: int
    index: ids.LogIndex
    round: int


class PendingChange(msgspec.Struct, frozen=True):
    """A smaller list of voters that waits for a round of its quorum.

    ``token`` is that of the request, None if the leader decided by itself.
    """

    token: int | None
    members: tuple[events.Member, ...]
    round: int
    started_at: float


class IncomingSnapshot(msgspec.Struct):
    """The chunks of a snapshot received so far from a leader."""

    leader: ids.NodeId
    term: ids.Term
    last_index: ids.LogIndex
    last_term: ids.Term
    data: bytearray


class Core:
    """State of one member, with the actions of the event being handled."""

    def __init__(
        self,
        config: Config,
        hard_state: events.HardState,
        entries: log.Log,
        randomness: random.Random,
        now: float,
        started_at: float,
    ) -> None:
        self.config = config
        self.hard_state = hard_state
        self.log = entries
        self.randomness = randomness
        self.now = now
        self.actions: list[events.Action] = []
        self.role = states.RaftRole.FOLLOWER
        self.leader: ids.NodeId | None = None
        # Time at which this member last accepted a leader or granted a vote.
        # A restarted member may have done so just before it stopped, so it
        # grants no vote until one election timeout after its process started.
        is_new = entries.is_blank and not hard_state.term
        self.support_given_at = NEVER if is_new else started_at
        # Whether this process has led, or supported a leader or a candidate.
        self.has_supported = False
        self.election_due = 0.0
        self.votes_requested_at = NEVER
        self.votes: dict[ids.NodeId, messages.VoteReply] = {}
        # Round of the own pre-vote, the members that replied to it that they
        # are fresh, and the rounds to which this process replied so itself.
        self.pre_vote_round = 0
        self.fresh_members: set[ids.NodeId] = set()
        self.fresh_replies: dict[ids.NodeId, int] = {}
        self.commit_index = entries.snapshot_index
        self.applied_index = entries.snapshot_index
        self.persisted_index = entries.last_index
        self.members = entries.find_members()
        self.progress: dict[ids.NodeId, Progress] = {}
        self.round = 0
        self.round_sent_at: dict[int, float] = {}
        self.broadcast_due = now
        self.pending_reads: list[PendingRead] = []
        self.pending_change: PendingChange | None = None
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.mismatched_stamps: dict[ids.NodeId, str] = {}
        self.reported_stamps: dict[ids.NodeId, str] = {}
        # Stamps of replaced data folders. Replies that were sent from such a
        # folder and arrive late must not restore its stamp.
        self.retired_stamps: set[str] = set()
        # While the disk is full, this member neither campaigns nor answers
        # other members.
        self.is_storage_blocked = False
        self._schedule_first_election()

    @property
    def term(self) -> ids.Term:
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        return self.role is states.RaftRole.LEADER

    # Roles.

    def change_role(
        self, role: states.RaftRole, leader: ids.NodeId | None
    ) -> None:
        """Change the role; a leader that steps down refuses its requests."""
        self.has_supported |= role is states.RaftRole.LEADER
        if self.is_leader:
            for read in self.pending_reads:
                self.refuse_request(read.token, errors.ErrorKind.NOT_LEADER)
            self.pending_reads = []
            change, self.pending_change = self.pending_change, None
            if change is not None and change.token is not None:
                self.refuse_request(change.token, errors.ErrorKind.NOT_LEADER)
        self.role = role
        self.leader = leader
        self.actions.append(events.RoleChanged(role, self.term, leader))

    def follow_leader(self, leader: ids.NodeId, term: ids.Term) -> None:
        """Follow the leader of the current term or of a newer one."""
        if term > self.term:
            self.adopt_term(term)
        self.give_support()
        is_follower = self.role is states.RaftRole.FOLLOWER
        if not is_follower or self.leader != leader:
            self.change_role(states.RaftRole.FOLLOWER, leader)

    def give_support(self) -> None:
        """Note that a leader or candidate may count on this member."""
        self.support_given_at = self.now
        self.has_supported = True
        self.reset_election_timer()

    def become_follower(self, term: ids.Term) -> None:
        """Become a follower after a reply with a newer term."""
        self.adopt_term(term)
        self.reset_election_timer()

    def adopt_term(self, term: ids.Term) -> None:
        """Enter a newer term whose leader is not known yet."""
        self.hard_state = events.HardState(term, None)
        self.persist_state(())
        self.change_role(states.RaftRole.FOLLOWER, None)

    def step_down(self) -> None:
        """Step down as leader; the term stays the same."""
        self.change_role(states.RaftRole.FOLLOWER, None)
        self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Schedule the next election after an election timeout and a delay.

        The delay is random so that votes are rarely split.
        """
        factor = 1.0 + MAX_ELECTION_DELAY * self.randomness.random()
        self.election_due = self.now + factor * self.config.election_timeout_s

    def schedule_next_pre_vote(self) -> None:
        """Schedule the repetition of a pre-vote that has no quorum yet.

        A pre-vote changes nothing at the members that refuse it, so it is
        repeated sooner than an election.
        """
        factor = 1.0 + self.randomness.random()
        self.election_due = self.now + factor * self.config.heartbeat_s

    def _schedule_first_election(self) -> None:
        """Schedule the first pre-vote of this process.

        After a loss of all power there is no leader to wait for, and where
        there is one, the pre-vote is refused. The delay is random so that
        votes are rarely split.
        """
        delay_s = self.randomness.random() * self.config.heartbeat_s
        self.election_due = self.now + delay_s

    # Members of the group.
    def get_member(self, name: ids.NodeId) -> events.Member | None:
        """Return the member with a name, None if it is not listed."""
        for member in self.get_members():
            if member.name == name:
                return member
        return None

    def get_members(self) -> tuple[events.Member, ...]:
        """Return the members in force, none before the group exists."""
        return () if self.members is None else self.members.members

    def get_voters(self) -> list[events.Member]:
        """Return the members that count towards a quorum."""
        return [member for member in self.get_members() if member.voter]

    def get_peer_addresses(self) -> dict[ids.NodeId, str]:
        """Return the addresses of all other members by name."""
        if self.members is None:
            addresses = dict(self.config.initial_members)
        else:
            addresses = {m.name: m.address for m in self.get_members()}
        addresses.pop(self.config.name, None)
        return addresses

    def can_campaign(self) -> bool:
        """Return whether this member is a voter with the listed stamp."""
        if self.members is None:
            return self.config.name in self.config.initial_members
        own = self.get_member(self.config.name)
        if own is None or not own.voter:
            return False
        return own.stamp == self.config.stamp

    def verify_stamp(self, name: ids.NodeId, stamp: str) -> bool:
        """Return whether a reply carries the listed stamp of its sender.

        A mismatch means that the sender lost its data folder. It is reported
        once for each stamp and recorded so that the leader can replace the
        member.
        """
        if self.members is None:
            return name in self.config.initial_members
        member = self.get_member(name)
        if member is None:
            return False
        if member.stamp == stamp:
            return True
        if self.reported_stamps.get(name) != stamp:
            self.reported_stamps[name] = stamp
            self.actions.append(events.StampMismatch(name, stamp))
        if stamp not in self.retired_stamps:
            self.mismatched_stamps[name] = stamp
        return False

    def update_members(self) -> None:
        """Adopt the newest member list of the log, committed or not."""
        members = self.log.find_members()
        if members == self.members:
            return
        previous, self.members = self.get_members(), members
        if members is not None:
            self.actions.append(events.MembersChanged(members))
        stamps = {member.stamp for member in self.get_members()}
        self.retired_stamps |= {
            member.stamp for member in previous if member.stamp not in stamps
        }
        if self.is_leader:
            self.rebuild_progress()

    def rebuild_progress(self) -> None:
        """Keep progress only for followers whose stamp is still listed.

        A member with a new data folder does not have the entries that its
        previous folder acknowledged, so its progress starts from zero.
        """
        previous_progress = self.progress
        self.progress = {}
        for member in self.get_members():
            if member.name == self.config.name:
                continue
            progress = previous_progress.get(member.name)
            if progress is None or progress.stamp != member.stamp:
                progress = Progress(
                    member.stamp,
                    tracked_since=self.now,
                    next_index=self.log.last_index + 1,
                )
            self.progress[member.name] = progress

    def get_quorum_value(
        self,
        get_value: Callable[[Progress], float],
        own_value: float,
        voters: list[events.Member] | None = None,
    ) -> float:
        """Return the highest value that a quorum of the voters reached."""
        voters = self.get_voters() if voters is None else voters
        if not voters:
            return own_value
        values = [
            own_value
            if voter.name == self.config.name
            else get_value(self.progress.get(voter.name, Progress('')))
            for voter in voters
        ]
        return sorted(values, reverse=True)[len(values) // 2]

    def get_lease_end(
        self, voters: list[events.Member] | None = None
    ) -> float:
        """Return the end of the lease that a quorum of voters granted."""
        last_contact = self.get_quorum_value(
            lambda progress: progress.last_contact, self.now, voters
        )
        return last_contact + LEASE_FRACTION * self.config.election_timeout_s

    def get_silence_s(self, name: ids.NodeId) -> float:
        """Return the seconds since a follower was in contact.

        A leader that has not heard from it counts from its own election.
        """
        progress = self.progress.get(name)
        if progress is None:
            return 0.0
        heard_at = max(progress.last_contact, progress.tracked_since)
        return self.now - heard_at

    # Actions.

    def persist_state(self, entries: tuple[messages.Entry, ...]) -> None:
        """Add an action that writes entries together with the hard state."""
        self.actions.append(events.Persist(self.hard_state, entries))

    def send_message(self, to: ids.NodeId, message: messages._Message) -> None:
        """Add an action that sends a message to another member.

        The address is empty if the member is not listed.
        """
        address = self.get_peer_addresses().get(to, '')
        self.actions.append(events.Send(to, address, message))

    def refuse_request(self, token: int, kind: errors.ErrorKind) -> None:
        """Add an action that refuses a request, which had no effect."""
        self.actions.append(events.Refuse(token, kind))
