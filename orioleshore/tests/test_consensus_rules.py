"""Single rules of the replicated log that schedules reach rarely."""

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import raft
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.tests import builders


def receive(member: raft.Raft, sender: str, message, now: float):
    """Return the messages that a member answers with."""
    actions = member.handle(events.MessageReceived(sender, message), now)
    return [a.message for a in actions if isinstance(a, events.Send)]


def elect(member: raft.Raft, now: float = 110.0) -> None:
    """Make m0 the leader of the next term by the vote of m1."""
    member.handle(events.Tick(), now)
    pre_vote = messages.PreVoteReply(member.term, True, 'm1-0', False)
    receive(member, 'm1', pre_vote, now)
    vote = messages.VoteReply(member.term, True, 'm1-0', False)
    receive(member, 'm1', vote, now)
    assert member.role is states.RaftRole.LEADER


def acknowledge(member: raft.Raft, match: int) -> None:
    """Tell the leader that m1 has all entries up to an index."""
    reply = messages.AppendReply(member.term, True, match, 1, 'm1-0')
    receive(member, 'm1', reply, 110.1)


def test_voter_supports_its_candidate_for_one_timeout():
    """Guards against a second leader while the first one still decides.

    The new leader relies on its voters as on answered heartbeats.
    """
    voter = builders.build_raft('m1')
    first = receive(voter, 'm0', messages.Vote(2, 9, 1, 'm0-0'), 110.0)
    second = receive(voter, 'm2', messages.Vote(3, 9, 1, 'm2-0'), 110.8)
    third = receive(voter, 'm2', messages.Vote(3, 9, 1, 'm2-0'), 110.91)
    replies = (*first, *second, *third)
    assert [reply.granted for reply in replies] == [True, False, True]


def test_lease_runs_from_when_votes_were_asked():
    """Guards against a leader that counts slow votes as fresh contact."""
    member = builders.build_raft()
    member.handle(events.Tick(), 110.0)
    pre_vote = messages.PreVoteReply(1, True, 'm1-0', False)
    receive(member, 'm1', pre_vote, 110.0)
    vote = messages.VoteReply(2, True, 'm1-0', False)
    receive(member, 'm1', vote, 110.7)
    assert member.role is states.RaftRole.LEADER
    assert member.lease_until == 110.0 + 0.9 * core.LEASE_FRACTION


def test_own_copy_counts_only_when_synced():
    """Guards against a commit that one loss of power takes back."""
    member = builders.build_raft()
    elect(member)
    acknowledge(member, 2)
    assert member.commit_index == 0
    member.handle(events.Persisted(2, 2), 110.2)
    assert member.commit_index == 2


def test_entries_of_older_terms_commit_with_one_of_the_own():
    """Guards against a commit that the next leader replaces."""
    member = builders.build_raft(terms=(1, 2, 3))
    elect(member)
    member.handle(events.Persisted(4, 4), 110.1)
    acknowledge(member, 3)
    assert member.commit_index == 0
    acknowledge(member, 4)
    assert member.commit_index == 4


def test_fresh_files_are_known_to_hold_nothing():
    """Guards against counting what the lost disk of a member held.

    The progress of m1 was kept, so that its empty replacement became a
    voter at once and entries committed with one copy less.
    """
    member = builders.build_raft()
    elect(member)
    member.handle(events.Persisted(2, 2), 110.0)
    acknowledge(member, 2)
    fresh = messages.AppendReply(2, True, 0, 1, 'm1-1')
    receive(member, 'm1', fresh, 110.1)
    receive(member, 'm2', messages.AppendReply(2, True, 2, 1, 'm2-0'), 110.1)
    member.handle(events.Tick(), 110.1)
    replaced = next(m for m in member.members.members if m.name == 'm1')
    assert (replaced.stamp, replaced.voter) == ('m1-1', False)
    assert member.get_match_indexes()['m1'] == 0


def test_parts_of_two_snapshots_are_not_mixed():
    """Guards against a state put together from two snapshots."""
    follower = builders.build_raft('m1')
    chunks = [
        messages.SnapshotChunk(1, index, 1, offset, b'1234', False)
        for index, offset in ((8, 0), (9, 4))
    ]
    replies = [receive(follower, 'm0', chunk, 110.0) for chunk in chunks]
    assert [reply.next_offset for (reply,) in replies] == [4, 0]


def test_voter_grants_a_candidate_it_does_not_know():
    """Guards against a group that stays without a leader.

    A voter that lacked the newest change of the group refused the only
    candidate with a complete log.
    """
    voter = builders.build_raft('m1')
    (reply,) = receive(voter, 'm9', messages.Vote(2, 9, 1, 'm9-0'), 110.0)
    assert reply.granted


def test_late_votes_elect_no_leader():
    """Guards against a paused candidate that counts votes too late."""
    member = builders.build_raft()
    member.handle(events.Tick(), 110.0)
    receive(member, 'm1', messages.PreVoteReply(1, True, 'm1-0', False), 110)
    receive(member, 'm1', messages.VoteReply(2, True, 'm1-0', False), 111.0)
    assert member.role is states.RaftRole.CANDIDATE
