"""State of one member of the group, shared by the parts of Raft.

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

# The leader gives up before its followers may elect another one; the
# margin covers the drift between two monotonic clocks.
LEASE_FRACTION = 0.9
SNAPSHOT_CHUNK_BYTES = 262_144
# A time before every start, in seconds.
NEVER = -1.0e9


class Config(msgspec.Struct, frozen=True):
    """Fixed properties of one member; times in seconds.

    ``initial`` maps the names of the first members to their addresses.
    """

    name: ids.NodeId
    address: str
    stamp: str
    initial_members: dict[ids.NodeId, str]
    heartbeat_s: float = 0.15
    election_timeout_s: float = 0.9
    chunk_bytes: int = SNAPSHOT_CHUNK_BYTES


class SnapshotTransfer(msgspec.Struct):
    """A snapshot on its way to a follower, as one encoded whole."""

    last_index: ids.LogIndex
    last_term: ids.Term
    data: bytes
    offset: int = 0
    sent_at: float = NEVER


class Progress(msgspec.Struct):
    """What a leader knows about one follower.

    ``in_flight`` is the last index of a batch that is not acknowledged,
    ``contact`` the time when the last acknowledged round was sent.
    """

    stamp: str
    match_index: int = 0
    next_index: int = 1
    last_contact: float = NEVER
    acknowledged_round: int = 0
    in_flight_index: int | None = None
    appended_at: float = NEVER
    transfer: SnapshotTransfer | None = None


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits until a quorum has acknowledged a round."""

    token: int
    index: ids.LogIndex
    round: int


class IncomingSnapshot(msgspec.Struct):
    """Parts of a snapshot that the leader of a term has sent so far."""

    leader: ids.NodeId
    term: ids.Term
    last_index: ids.LogIndex
    last_term: ids.Term
    data: bytearray


class Core:
    """Everything that one member knows, with the actions to carry out."""

    def __init__(
        self,
        config: Config,
        hard_state: events.HardState,
        entries: log.Log,
        randomness: random.Random,
        now: float,
    ) -> None:
        self.config = config
        self.hard_state = hard_state
        self.log = entries
        self.randomness = randomness
        self.now = now
        self.actions: list[events.Action] = []
        self.role = states.RaftRole.FOLLOWER
        self.leader: ids.NodeId | None = None
        # A restarted member may have supported a leader or a candidate
        # just before, so it supports nobody else for one election timeout.
        is_new = entries.is_blank and not hard_state.term
        self.support_given_at = NEVER if is_new else now
        self.election_due = 0.0
        self.votes_requested_at = NEVER
        self.votes: dict[ids.NodeId, messages.VoteReply] = {}
        self.commit_index = entries.snapshot_index
        self.applied_index = entries.snapshot_index
        self.persisted_index = entries.last_index
        self.members = entries.find_members()
        self.progress: dict[ids.NodeId, Progress] = {}
        self.round = 0
        self.round_sent_at: dict[int, float] = {}
        self.broadcast_due = now
        self.pending_reads: list[PendingRead] = []
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.mismatched_stamps: dict[ids.NodeId, str] = {}
        self.reported_stamps: dict[ids.NodeId, str] = {}
        # Late answers of a lost disk must not bring its stamp back.
        self.retired_stamps: set[str] = set()
        self.reset_election_timer()

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
        """Take a role; a leader that loses it refuses its reads."""
        if self.is_leader:
            for read in self.pending_reads:
                self.refuse(read.token, errors.ErrorKind.NOT_LEADER)
            self.pending_reads = []
        self.role = role
        self.leader = leader
        self.actions.append(events.RoleChanged(role, self.term, leader))

    def follow_leader(self, leader: ids.NodeId, term: ids.Term) -> None:
        """Follow the leader of a term that is at least the own one."""
        if term > self.term:
            self.adopt_term(term)
        self.support_given_at = self.now
        self.reset_election_timer()
        following = self.role is states.RaftRole.FOLLOWER
        if not following or self.leader != leader:
            self.change_role(states.RaftRole.FOLLOWER, leader)

    def become_follower(self, term: ids.Term) -> None:
        """Give up any role after a reply from a newer term."""
        self.adopt_term(term)
        self.reset_election_timer()

    def adopt_term(self, term: ids.Term) -> None:
        """Enter a newer term, whose leader is not known yet."""
        self.hard_state = events.HardState(term, None)
        self.persist(())
        self.change_role(states.RaftRole.FOLLOWER, None)

    def step_down(self) -> None:
        """Stop to lead."""
        self.change_role(states.RaftRole.FOLLOWER, None)
        self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Wait one to two election timeouts before the next election."""
        factor = 1.0 + self.randomness.random()
        self.election_due = self.now + factor * self.config.election_timeout_s

    # The group.

    def get_member(self, name: ids.NodeId) -> events.Member | None:
        """Return the listed member of a name."""
        for member in self.get_members():
            if member.name == name:
                return member
        return None

    def get_members(self) -> tuple[events.Member, ...]:
        """Return the group in force, empty before it is founded."""
        return () if self.members is None else self.members.members

    def get_voters(self) -> list[events.Member]:
        """Return the members whose votes and copies count."""
        return [member for member in self.get_members() if member.voter]

    def get_peer_addresses(self) -> dict[ids.NodeId, str]:
        """Return name and address of all other members."""
        if self.members is None:
            addresses = dict(self.config.initial_members)
        else:
            addresses = {m.name: m.address for m in self.get_members()}
        addresses.pop(self.config.name, None)
        return addresses

    def can_campaign(self) -> bool:
        """Return whether this member is a voter with the listed files."""
        if self.members is None:
            return self.config.name in self.config.initial_members
        own = self.get_member(self.config.name)
        if own is None or not own.voter:
            return False
        return own.stamp == self.config.stamp

    def verify_stamp(self, name: ids.NodeId, stamp: str) -> bool:
        """Check that a reply comes from the files that joined."""
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
        """Use the newest group of the log, committed or not."""
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
        """Forget what is known of files that are not listed any more.

        What an earlier disk of a member held is not on its new one.
        """
        known = self.progress
        self.progress = {}
        for member in self.get_members():
            if member.name == self.config.name:
                continue
            progress = known.get(member.name)
            if progress is None or progress.stamp != member.stamp:
                progress = Progress(
                    member.stamp, next_index=self.log.last_index + 1
                )
            self.progress[member.name] = progress

    def get_quorum_value(
        self,
        get_value: Callable[[Progress], float],
        own_value: float,
        voters: list[events.Member] | None = None,
    ) -> float:
        """Return the value that a quorum of the voters has reached."""
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
        """Return until when a quorum of voters supports this leader."""
        last_contact = self.get_quorum_value(
            lambda progress: progress.last_contact, self.now, voters
        )
        return last_contact + LEASE_FRACTION * self.config.election_timeout_s

    # Actions.

    def persist(self, entries: tuple[messages.Entry, ...]) -> None:
        """Write entries together with the hard state."""
        self.actions.append(events.Persist(self.hard_state, entries))

    def send(self, to: ids.NodeId, message: messages._Message) -> None:
        """Send a message to a member whose address is known."""
        address = self.get_peer_addresses().get(to, '')
        self.actions.append(events.Send(to, address, message))

    def refuse(self, token: int, kind: errors.ErrorKind) -> None:
        """Refuse a request that did not run."""
        self.actions.append(events.Refuse(token, kind))
