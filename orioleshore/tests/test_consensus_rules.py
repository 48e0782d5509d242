"""Rules of the replicated log that random schedules rarely exercise."""

import pytest

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import packing
from orioleshore.consensus import raft
from orioleshore.consensus import requests
from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.tests import builders
from orioleshore.tests import consensus_simulation
from orioleshore.tests import support

# Default of core.Config.
HEARTBEAT_S = 0.15


def deliver_message(member: raft.Raft, sender: str, message, now: float):
    """Deliver a message to a member and return the messages it sends."""
    actions = member.handle(events.MessageReceived(sender, message), now)
    return [a.message for a in actions if isinstance(a, events.Send)]


def elect_leader(member: raft.Raft, now: float = 110.0) -> None:
    """Make m0 the leader of the next term with the vote of m1."""
    member.handle(events.Tick(), now)
    pre_vote = messages.PreVoteReply(member.term, True, 'm1-0', False)
    deliver_message(member, 'm1', pre_vote, now)
    vote = messages.VoteReply(member.term, True, 'm1-0', False)
    deliver_message(member, 'm1', vote, now)
    assert member.role is states.RaftRole.LEADER


def send_actions(actions) -> list[events.Send]:
    """Return the actions that send a message."""
    return [action for action in actions if isinstance(action, events.Send)]


def acknowledge_next_round(member: raft.Raft, name: str, now: float) -> None:
    """Let the leader start a round, and acknowledge it for a follower."""
    (sent, *_) = send_actions(member.handle(events.Tick(), now))
    reply = messages.AppendReply(
        member.term, True, 2, sent.message.round, f'{name}-0'
    )
    deliver_message(member, name, reply, now)


def acknowledge_entries(member: raft.Raft, match_index: int) -> None:
    """Acknowledge all entries up to an index on behalf of m1."""
    reply = messages.AppendReply(member.term, True, match_index, 1, 'm1-0')
    deliver_message(member, 'm1', reply, 110.1)


def test_voter_refuses_other_candidates_for_one_election_timeout():
    """Guards against a second leader during the lease of the first one.

    The lease of a new leader counts a granted vote as an acknowledged
    heartbeat.
    """
    voter = builders.build_raft('m1')
    first = deliver_message(voter, 'm0', messages.Vote(2, 9, 1, 'm0-0'), 110.0)
    second = deliver_message(
        voter, 'm2', messages.Vote(3, 9, 1, 'm2-0'), 110.8
    )
    third = deliver_message(
        voter, 'm2', messages.Vote(3, 9, 1, 'm2-0'), 110.91
    )
    replies = (*first, *second, *third)
    assert [reply.granted for reply in replies] == [True, False, True]


def test_restarted_voter_counts_from_the_start_of_its_process():
    """Guards against a group that waits longer than its leases require.

    A voter that restarts has supported no leader since its process started,
    and loading takes a good part of an election timeout.
    """
    voter = builders.build_raft('m1', now=100.8, started_at=100.0)
    early = deliver_message(voter, 'm0', messages.Vote(2, 9, 1, 'm0-0'), 100.8)
    late = deliver_message(voter, 'm0', messages.Vote(2, 9, 1, 'm0-0'), 100.91)
    replies = (*early, *late)
    assert [reply.granted for reply in replies] == [False, True]


def build_restarted_voter() -> raft.Raft:
    """Return a voter that told m0 at 100.0 s that it is fresh."""
    voter = builders.build_raft('m1', now=100.0)
    request = messages.PreVote(2, 9, 1, 'm0-0', 77)
    (reply,) = deliver_message(voter, 'm0', request, 100.0)
    assert (reply.granted, reply.fresh_round) == (False, 77)
    return voter


@pytest.mark.parametrize(
    ('round_number', 'granted'), [(77, True), (78, False), (0, False)]
)
def test_fresh_voter_votes_at_once_in_the_round_it_answered(
    round_number, granted
):
    """Guards against a vote beside a lease that an earlier process granted.

    The round shows that all members were asked after this process started.
    """
    voter = build_restarted_voter()
    vote = messages.Vote(2, 9, 1, 'm0-0', round_number)
    (reply,) = deliver_message(voter, 'm0', vote, 100.01)
    assert reply.granted == granted


def test_voter_that_follows_a_leader_is_not_fresh():
    """Guards against a second leader that is elected by delayed replies."""
    voter = build_restarted_voter()
    append = messages.Append(1, 1, 1, (), 0, 1)
    deliver_message(voter, 'm2', append, 100.01)
    vote = messages.Vote(2, 9, 1, 'm0-0', 77)
    (reply,) = deliver_message(voter, 'm0', vote, 100.02)
    assert not reply.granted


def test_restarted_candidate_does_not_count_its_own_vote_too_early():
    """Guards against an election beside a lease that the candidate granted.

    m2 may lead with the support of the earlier process of m0, while m1 has
    not heard from m2 for an election timeout.
    """
    member = builders.build_raft(now=100.0)
    member.handle(events.Tick(), 100.2)
    grant = messages.PreVoteReply(1, True, 'm1-0', False)
    deliver_message(member, 'm1', grant, 100.2)
    assert member.role is states.RaftRole.PRE_CANDIDATE
    member.handle(events.Tick(), 100.9)
    deliver_message(member, 'm1', grant, 100.9)
    assert member.role is states.RaftRole.CANDIDATE


def test_refused_pre_vote_is_repeated_within_two_heartbeats():
    """Guards against a wait of an election timeout after an early pre-vote.

    The voters may refuse because they were in touch with the lost leader a
    little longer, or because they are still starting.
    """
    member = builders.build_raft()
    member.handle(events.Tick(), 110.0)
    refusal = messages.PreVoteReply(member.term, False, 'm1-0', False)
    deliver_message(member, 'm1', refusal, 110.0)
    actions = member.handle(events.Tick(), 110.0 + 2 * HEARTBEAT_S)
    sent = [a.message for a in actions if isinstance(a, events.Send)]
    assert [type(message) for message in sent] == [messages.PreVote] * 2


def test_lease_starts_when_votes_are_requested():
    """Guards against a lease that starts when a delayed vote arrives."""
    member = builders.build_raft()
    member.handle(events.Tick(), 110.0)
    pre_vote = messages.PreVoteReply(1, True, 'm1-0', False)
    deliver_message(member, 'm1', pre_vote, 110.0)
    vote = messages.VoteReply(2, True, 'm1-0', False)
    deliver_message(member, 'm1', vote, 110.7)
    assert member.role is states.RaftRole.LEADER
    assert member.lease_until == 110.0 + 0.9 * core.LEASE_FRACTION


def test_leader_counts_own_entries_only_after_sync():
    """Guards against a committed entry that a power loss removes."""
    member = builders.build_raft()
    elect_leader(member)
    acknowledge_entries(member, 2)
    assert member.commit_index == 0
    member.handle(events.Persisted(2, 2), 110.2)
    assert member.commit_index == 2


def test_entries_of_older_terms_commit_with_entry_of_current_term():
    """Guards against a committed entry that the next leader replaces."""
    member = builders.build_raft(terms=(1, 2, 3))
    elect_leader(member)
    member.handle(events.Persisted(4, 4), 110.1)
    acknowledge_entries(member, 3)
    assert member.commit_index == 0
    acknowledge_entries(member, 4)
    assert member.commit_index == 4


def test_member_with_new_stamp_has_no_match_index():
    """Guards against counting entries that a member lost with its disk.

    If the progress of m1 were kept, its empty replacement would become a voter
    immediately, and entries would be committed with one copy too few.
    """
    member = builders.build_raft()
    elect_leader(member)
    member.handle(events.Persisted(2, 2), 110.0)
    acknowledge_entries(member, 2)
    empty_reply = messages.AppendReply(2, True, 0, 1, 'm1-1')
    deliver_message(member, 'm1', empty_reply, 110.1)
    deliver_message(
        member, 'm2', messages.AppendReply(2, True, 2, 1, 'm2-0'), 110.1
    )
    acknowledge_next_round(member, 'm2', 110.1)
    replaced_member = next(m for m in member.members.members if m.name == 'm1')
    assert (replaced_member.stamp, replaced_member.voter) == ('m1-1', False)
    assert member.get_match_indexes()['m1'] == 0


def test_voter_is_removed_only_by_voters_that_are_in_contact_now():
    """Guards against a group that is stopped by a removal for good.

    m1 acknowledged a heartbeat and then lost its data folder. A group of m0
    and m1 without m2 would need its vote, which has an unlisted stamp.
    """
    member = builders.build_raft()
    elect_leader(member)
    member.handle(events.Persisted(2, 2), 110.0)
    acknowledge_entries(member, 2)
    removal = events.MembersChangeRequested(7, None, 'm2')
    sent = send_actions(member.handle(removal, 110.15))
    round_number = max(a.message.round for a in sent)
    lost = messages.AppendReply(2, True, 0, round_number, 'm1-1')
    deliver_message(member, 'm1', lost, 110.2)
    assert len(member.members.members) == 3
    actions = member.handle(events.Tick(), 111.1)
    refused = [a.token for a in actions if isinstance(a, events.Refuse)]
    assert refused == [7]


def test_removal_follows_the_round_that_its_quorum_acknowledges():
    """Guards against a removal that is never carried out."""
    member = builders.build_raft()
    elect_leader(member)
    member.handle(events.Persisted(2, 2), 110.0)
    acknowledge_entries(member, 2)
    removal = events.MembersChangeRequested(7, None, 'm2')
    (sent, *_) = send_actions(member.handle(removal, 110.15))
    reply = messages.AppendReply(2, True, 2, sent.message.round, 'm1-0')
    actions = member.handle(events.MessageReceived('m1', reply), 110.2)
    accepted = [a.token for a in actions if isinstance(a, events.Accepted)]
    assert accepted == [7]
    assert [m.name for m in member.members.members] == ['m0', 'm1']


def test_chunks_of_two_snapshots_are_not_mixed():
    """Guards against a state assembled from chunks of two snapshots."""
    follower = builders.build_raft('m1')
    chunks = [
        messages.SnapshotChunk(1, index, 1, offset, b'1234', False)
        for index, offset in ((8, 0), (9, 4))
    ]
    replies = [
        deliver_message(follower, 'm0', chunk, 110.0) for chunk in chunks
    ]
    assert [reply.next_offset for (reply,) in replies] == [4, 0]


def test_voter_grants_vote_to_unlisted_candidate():
    """Guards against a group that cannot elect a leader.

    A voter that lacked the newest membership change refused the only candidate
    with an up-to-date log.
    """
    voter = builders.build_raft('m1')
    (reply,) = deliver_message(
        voter, 'm9', messages.Vote(2, 9, 1, 'm9-0'), 110.0
    )
    assert reply.granted


def test_late_votes_elect_no_leader():
    """Guards against a paused candidate that counts expired votes."""
    member = builders.build_raft()
    member.handle(events.Tick(), 110.0)
    deliver_message(
        member, 'm1', messages.PreVoteReply(1, True, 'm1-0', False), 110
    )
    deliver_message(
        member, 'm1', messages.VoteReply(2, True, 'm1-0', False), 111.0
    )
    assert member.role is states.RaftRole.CANDIDATE


def test_document_of_19000_hosts_fits_in_frame():
    """Guards against a process that fails on a command larger than a frame."""
    document = builders.build_document(hosts=19_000)
    change = builders.build_change(document)
    packed = requests.encode(change).unwrap()
    assert len(packed) < packing.MAX_PACKED_BYTES
    assert requests.decode(packed) == change


def test_value_larger_than_frame_is_refused():
    """Guards against a log entry that is too large to replicate."""
    incompressible = support.get_random().randbytes(
        packing.MAX_PACKED_BYTES + 1
    )
    failure = packing.pack(incompressible).unwrap_err()
    assert failure.kind is errors.ErrorKind.REQUEST_TOO_LARGE
    with pytest.raises(ValueError, match='too large'):
        requests.decode(incompressible)


def test_stopping_leader_names_most_up_to_date_follower():
    """Guards against calls that wait for an election at a planned stop."""
    leader = builders.build_raft()
    elect_leader(leader)
    acknowledge_entries(leader, leader.log.last_index)
    actions = leader.handle(events.LeadershipTransferRequested(), 110.2)
    sent_actions = [a for a in actions if isinstance(a, events.Send)]
    assert leader.role is states.RaftRole.FOLLOWER
    assert {action.to for action in sent_actions} == {'m1', 'm2'}
    assert {action.message.successor for action in sent_actions} == {'m1'}


def test_released_voter_grants_pre_vote_immediately():
    """Guards against a successor that has to wait for an election timeout."""
    voter = builders.build_raft('m1')
    append = messages.Append(voter.term, 9, 1, (), 0, 1)
    deliver_message(voter, 'm0', append, 110.0)
    pre_vote = messages.PreVote(voter.term + 1, 99, voter.term, 'm2-0')
    (refused,) = deliver_message(voter, 'm2', pre_vote, 110.1)
    assert not refused.granted
    deliver_message(voter, 'm0', messages.Release(voter.term, 'm2'), 110.2)
    (granted,) = deliver_message(voter, 'm2', pre_vote, 110.2)
    assert granted.granted


@pytest.mark.parametrize(('sender', 'terms_behind'), [('m2', 0), ('m0', 1)])
def test_release_from_other_leader_or_term_is_ignored(sender, terms_behind):
    """Guards against a delayed release of a newer leader's voters."""
    voter = builders.build_raft('m1')
    append = messages.Append(voter.term, 9, 1, (), 0, 1)
    deliver_message(voter, 'm0', append, 110.0)
    release = messages.Release(voter.term - terms_behind, 'm2')
    deliver_message(voter, sender, release, 110.1)
    pre_vote = messages.PreVote(voter.term + 1, 99, voter.term, 'm2-0')
    (answer,) = deliver_message(voter, 'm2', pre_vote, 110.1)
    assert not answer.granted


@pytest.mark.parametrize('seed', range(5))
def test_leadership_transfer_is_faster_than_election_timeout(seed):
    """Guards against a transfer that falls back to an ordinary election."""
    group = consensus_simulation.Group(support.SEED + seed)
    group.run_for(5.0)
    old = group.find_leader()
    group.transfer_leadership(old)
    # Covers two ticks, a vote with its sync and the network delays.
    group.run_for(0.4)
    new = group.find_leader()
    assert new is not None
    assert new is not old
