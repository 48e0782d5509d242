"""Elections: pre-vote, vote, leadership transfer and bootstrap election."""

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.consensus import replication
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages

# Delay in seconds between receiving a release and campaigning as the named
# successor, so that the other voters receive the release first. It is well
# above the network delay within a region (1.4 ms).
SUCCESSOR_CAMPAIGN_DELAY_S = 0.02
# Length of the random numbers that identify pre-votes.
ROUND_BITS = 48


def campaign_when_due(member: core.Core) -> None:
    """Start a pre-vote once the election timer has expired."""
    if member.now >= member.election_due and member.can_campaign():
        _start_pre_vote(member)


def answer_pre_vote(
    member: core.Core, sender: ids.NodeId, request: messages.PreVote
) -> None:
    """Reply whether a vote would be granted, without changing the term."""
    is_eligible = request.term > member.term and _is_log_up_to_date(
        member, request
    )
    is_known = sender in member.get_peer_addresses()
    is_fresh = is_eligible and is_known and not member.has_supported
    if is_fresh:
        member.fresh_replies[sender] = request.round
    reply = messages.PreVoteReply(
        member.term,
        is_eligible and not _supports_other_member(member),
        member.config.stamp,
        member.log.is_blank,
        request.round if is_fresh else 0,
    )
    member.send_message(sender, reply)


def answer_vote(
    member: core.Core, sender: ids.NodeId, request: messages.Vote
) -> None:
    """Grant or refuse a vote; at most one is granted in a term."""
    granted_state = events.HardState(request.term, sender)
    if member.hard_state == granted_state:
        _send_vote_reply(member, sender, True)
        return
    is_bound = _supports_other_member(member) and not _is_group_fresh(
        member, sender, request
    )
    refused = is_bound or not _is_log_up_to_date(member, request)
    if refused or request.term < member.term:
        _send_vote_reply(member, sender, False)
        return
    if request.term > member.term:
        member.adopt_term(request.term)
    granted = member.hard_state.voted_for is None
    if granted:
        member.hard_state = granted_state
        member.persist_state(())
        # The candidate's lease counts this vote as an acknowledged heartbeat.
        member.give_support()
    _send_vote_reply(member, sender, granted)


def _is_group_fresh(
    member: core.Core, sender: ids.NodeId, request: messages.Vote
) -> bool:
    """Return whether no lease of an earlier process can be in force.

    Every possible leader has been restarted, and no leader was elected since:
    its voters are not fresh any more, or have restarted and do not know the
    round.
    """
    return (
        request.fresh_round != 0
        and not member.has_supported
        and member.fresh_replies.get(sender) == request.fresh_round
    )


def transfer_leadership(member: core.Core) -> None:
    """Step down and name the most up-to-date follower as successor.

    This member gives up its lease before it releases the voters, so they may
    vote for another member immediately.
    """
    if not member.is_leader:
        return
    followers = [
        voter.name
        for voter in member.get_voters()
        if voter.name in member.progress and voter.name != member.config.name
    ]
    if not followers:
        return
    successor = max(
        followers, key=lambda name: _get_successor_rank(member, name)
    )
    member.step_down()
    release = messages.Release(member.term, successor)
    for name in followers:
        member.send_message(name, release)


def suspend_member(member: core.Core) -> None:
    """Stop taking part in the group while nothing can be persisted.

    The leadership is transferred, because the leader's own entries would only
    be stored by the others.
    """
    member.is_storage_blocked = True
    transfer_leadership(member)
    if member.is_leader:
        member.step_down()
    elif member.role is not states.RaftRole.FOLLOWER:
        # The own vote of a candidate may not be stored.
        member.change_role(states.RaftRole.FOLLOWER, None)


def resume_member(member: core.Core) -> None:
    """Take part in the group again, first as a follower."""
    member.is_storage_blocked = False
    # Another leader may have been elected meanwhile, and its next heartbeat
    # prevents an election.
    member.reset_election_timer()


def handle_release(
    member: core.Core, sender: ids.NodeId, release: messages.Release
) -> None:
    """Stop following the leader, and campaign soon if named successor."""
    if release.term != member.term or member.leader != sender:
        return
    member.change_role(states.RaftRole.FOLLOWER, None)
    member.support_given_at = core.NEVER
    if release.successor == member.config.name:
        member.election_due = member.now + SUCCESSOR_CAMPAIGN_DELAY_S
    else:
        member.reset_election_timer()


def handle_vote_reply(
    member: core.Core,
    sender: ids.NodeId,
    reply: messages.PreVoteReply | messages.VoteReply,
) -> None:
    """Count a vote if it belongs to the current election."""
    if reply.term > member.term:
        member.become_follower(reply.term)
        return
    is_pre_vote = isinstance(reply, messages.PreVoteReply)
    expected = states.RaftRole.CANDIDATE
    if is_pre_vote:
        expected = states.RaftRole.PRE_CANDIDATE
    if member.role is not expected:
        return
    if not is_pre_vote and reply.term != member.term:
        return
    if not member.verify_stamp(sender, reply.stamp):
        return
    vote = messages.VoteReply(
        reply.term, reply.granted, reply.stamp, reply.blank
    )
    if is_pre_vote and reply.fresh_round == member.pre_vote_round:
        member.fresh_members.add(sender)
    _count_vote(member, sender, vote)


def _get_successor_rank(
    member: core.Core, name: ids.NodeId
) -> tuple[int, float]:
    """Rank a follower by its log, then by how recently it answered."""
    progress = member.progress[name]
    return progress.match_index, progress.last_contact


def _start_pre_vote(member: core.Core) -> None:
    if member.role is not states.RaftRole.PRE_CANDIDATE:
        member.change_role(states.RaftRole.PRE_CANDIDATE, None)
    member.schedule_next_pre_vote()
    member.pre_vote_round = 1 + member.randomness.getrandbits(ROUND_BITS)
    member.fresh_members = set()
    names = _get_voter_names(member)
    if not member.has_supported:
        # A learner may have been promoted and elected without this member's
        # knowledge.
        names |= member.get_peer_addresses().keys()
    request = messages.PreVote(
        ids.Term(member.term + 1),
        member.log.last_index,
        member.log.last_term,
        member.config.stamp,
        member.pre_vote_round,
    )
    # The own process may have granted a lease before it was restarted.
    has_own_vote = not _supports_other_member(member)
    _request_votes(member, request, names, has_own_vote)


def _start_vote(member: core.Core, fresh_round: int) -> None:
    member.hard_state = events.HardState(
        ids.Term(member.term + 1), member.config.name
    )
    member.change_role(states.RaftRole.CANDIDATE, None)
    member.reset_election_timer()
    member.persist_state(())
    request = messages.Vote(
        member.term,
        member.log.last_index,
        member.log.last_term,
        member.config.stamp,
        fresh_round,
    )
    _request_votes(member, request, _get_voter_names(member), True)


def _request_votes(
    member: core.Core,
    request: messages.PreVote | messages.Vote,
    names: set[ids.NodeId],
    has_own_vote: bool,
) -> None:
    member.votes = {}
    member.votes_requested_at = member.now
    for name in member.get_peer_addresses():
        if name in names:
            member.send_message(name, request)
    own = messages.VoteReply(
        member.term, has_own_vote, member.config.stamp, member.log.is_blank
    )
    _count_vote(member, member.config.name, own)


def _count_vote(
    member: core.Core, voter: ids.NodeId, reply: messages.VoteReply
) -> None:
    member.votes[voter] = reply
    election_age_s = member.now - member.votes_requested_at
    if election_age_s > core.LEASE_FRACTION * member.config.election_timeout_s:
        # The voters may have granted their votes to another member since.
        return
    if member.role is states.RaftRole.PRE_CANDIDATE:
        if _has_all_fresh_replies(member):
            _start_vote(member, member.pre_vote_round)
        elif _has_won_election(member):
            _start_vote(member, 0)
        return
    if _has_won_election(member):
        _become_leader(member)


def _get_voter_names(member: core.Core) -> set[ids.NodeId]:
    """Return the members with a vote, at first all initial members."""
    if member.members is None:
        return set(member.config.initial_members)
    return {voter.name for voter in member.get_voters()}


def _has_all_fresh_replies(member: core.Core) -> bool:
    """Return whether every possible leader's process has been restarted.

    The newest member list may not be committed, so the members of the list
    before it count as well.
    """
    if member.members is None or member.has_supported:
        return False
    previous = member.log.find_previous_members()
    listed = (*member.members.members, *(previous.members if previous else ()))
    names = {item.name for item in listed} - {member.config.name}
    return names <= member.fresh_members


def _has_won_election(member: core.Core) -> bool:
    granted = {name for name, vote in member.votes.items() if vote.granted}
    if member.members is None:
        # The bootstrap election needs the votes of all initial members, each
        # with an empty log, so that a member that lost its data folder cannot
        # form a second group.
        return granted >= set(member.config.initial_members) and all(
            vote.blank for vote in member.votes.values()
        )
    voters = {voter.name for voter in member.get_voters()}
    return len(granted & voters) * 2 > len(voters)


def _become_leader(member: core.Core) -> None:
    member.change_role(states.RaftRole.LEADER, member.config.name)
    member.pending_reads = []
    member.round_sent_at = {}
    member.mismatched_stamps = {}
    member.progress = {}
    if member.members is None:
        members = log.encode_members(_build_initial_members(member))
        replication.append_entry(member, events.EntryKind.MEMBERS, members)
    else:
        member.rebuild_progress()
        replication.append_entry(member, events.EntryKind.BARRIER, b'')
    for name, vote in member.votes.items():
        if vote.granted and name in member.progress:
            # The voter granted its vote after this request was sent, so the
            # lease may start at that time.
            member.progress[name].last_contact = member.votes_requested_at
    replication.broadcast_append(member)


def _build_initial_members(member: core.Core) -> events.Members:
    return events.Members(
        tuple(
            events.Member(name, address, member.votes[name].stamp, True)
            for name, address in sorted(member.config.initial_members.items())
        )
    )


def _supports_other_member(member: core.Core) -> bool:
    if member.is_leader:
        return True
    silence_s = member.now - member.support_given_at
    return silence_s < member.config.election_timeout_s


def _is_log_up_to_date(
    member: core.Core, request: messages.PreVote | messages.Vote
) -> bool:
    """Return whether the candidate's log is at least as up to date.

    Only the logs are compared, because this member may lack the newest member
    list. The candidate checks that its own stamp and that of each voter are
    listed.
    """
    own = (member.log.last_term, member.log.last_index)
    return (request.last_term, request.last_index) >= own


def _send_vote_reply(
    member: core.Core, sender: ids.NodeId, granted: bool
) -> None:
    reply = messages.VoteReply(
        member.term, granted, member.config.stamp, member.log.is_blank
    )
    member.send_message(sender, reply)
