"""Elections: pre-vote, vote, and the first election of a new group."""

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.consensus import replication
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages

# A successor campaigns this long after its release, in seconds, so that the
# other voters have theirs; well above the delay within a region (1.4 ms).
RELEASE_DELAY_S = 0.02


def campaign_when_due(member: core.Core) -> None:
    """Start an election after a long silence of the leader."""
    if member.now >= member.election_due and member.may_campaign():
        _start_pre_vote(member)


def answer_pre_vote(
    member: core.Core, sender: ids.NodeId, request: messages.PreVote
) -> None:
    """Tell whether a vote would be granted."""
    granted = (
        request.term > member.term
        and not _supports_another(member)
        and _has_newer_log(member, request)
    )
    reply = messages.PreVoteReply(
        member.term, granted, member.config.stamp, member.log.is_blank
    )
    member.send(sender, reply)


def answer_vote(
    member: core.Core, sender: ids.NodeId, request: messages.Vote
) -> None:
    """Grant or refuse a vote; at most one is granted in a term."""
    given = events.HardState(request.term, sender)
    if member.hard_state == given:
        _send_vote_reply(member, sender, True)
        return
    refused = _supports_another(member) or not _has_newer_log(member, request)
    if refused or request.term < member.term:
        _send_vote_reply(member, sender, False)
        return
    if request.term > member.term:
        member.adopt_term(request.term)
    granted = member.hard_state.voted_for is None
    if granted:
        member.hard_state = given
        member.persist(())
        # The candidate counts on this vote as on an answered heartbeat.
        member.support_given_at = member.now
        member.set_election_due()
    _send_vote_reply(member, sender, granted)


def hand_over(member: core.Core) -> None:
    """Stop leading, and let the follower that is furthest succeed.

    The own lease ends first, so that the voters may support another member
    at once.
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
        followers, key=lambda name: member.progress[name].match_index
    )
    member.step_down()
    release = messages.Release(member.term, successor)
    for name in followers:
        member.send(name, release)


def take_release(
    member: core.Core, sender: ids.NodeId, release: messages.Release
) -> None:
    """Support nobody any more, and campaign if named."""
    if release.term != member.term or member.leader != sender:
        return
    member.become(states.RaftRole.FOLLOWER, None)
    member.support_given_at = core.NEVER
    if release.successor == member.config.name:
        member.election_due = member.now + RELEASE_DELAY_S
    else:
        member.set_election_due()


def take_vote_reply(
    member: core.Core,
    sender: ids.NodeId,
    reply: messages.PreVoteReply | messages.VoteReply,
) -> None:
    """Count a vote for the election that is under way."""
    if reply.term > member.term:
        member.follow_newer_term(reply.term)
        return
    is_pre_vote = isinstance(reply, messages.PreVoteReply)
    expected = states.RaftRole.CANDIDATE
    if is_pre_vote:
        expected = states.RaftRole.PRE_CANDIDATE
    if member.role is not expected:
        return
    if not is_pre_vote and reply.term != member.term:
        return
    if not member.has_expected_stamp(sender, reply.stamp):
        return
    vote = messages.VoteReply(
        reply.term, reply.granted, reply.stamp, reply.blank
    )
    _count_vote(member, sender, vote)


def _start_pre_vote(member: core.Core) -> None:
    member.become(states.RaftRole.PRE_CANDIDATE, None)
    request = messages.PreVote(
        ids.Term(member.term + 1),
        member.log.last_index,
        member.log.last_term,
        member.config.stamp,
    )
    _ask_voters(member, request)


def _start_vote(member: core.Core) -> None:
    member.hard_state = events.HardState(
        ids.Term(member.term + 1), member.config.name
    )
    member.become(states.RaftRole.CANDIDATE, None)
    member.persist(())
    request = messages.Vote(
        member.term,
        member.log.last_index,
        member.log.last_term,
        member.config.stamp,
    )
    _ask_voters(member, request)


def _ask_voters(
    member: core.Core, request: messages.PreVote | messages.Vote
) -> None:
    member.votes = {}
    member.vote_asked_at = member.now
    member.set_election_due()
    voters = {voter.name for voter in member.get_voters()}
    for name in member.get_peer_addresses():
        if member.members is None or name in voters:
            member.send(name, request)
    own = messages.VoteReply(
        member.term, True, member.config.stamp, member.log.is_blank
    )
    _count_vote(member, member.config.name, own)


def _count_vote(
    member: core.Core, voter: ids.NodeId, reply: messages.VoteReply
) -> None:
    member.votes[voter] = reply
    asked_for_s = member.now - member.vote_asked_at
    if asked_for_s > core.LEASE_FRACTION * member.config.election_timeout_s:
        # Voters may support another member by now.
        return
    if not _has_won(member):
        return
    if member.role is states.RaftRole.PRE_CANDIDATE:
        _start_vote(member)
    else:
        _become_leader(member)


def _has_won(member: core.Core) -> bool:
    granted = {name for name, vote in member.votes.items() if vote.granted}
    if member.members is None:
        # The first election needs all members, each without a log, so
        # that a member that lost its files cannot found a new group.
        return granted >= set(member.config.initial) and all(
            vote.blank for vote in member.votes.values()
        )
    voters = {voter.name for voter in member.get_voters()}
    return len(granted & voters) * 2 > len(voters)


def _become_leader(member: core.Core) -> None:
    member.become(states.RaftRole.LEADER, member.config.name)
    member.reads = []
    member.round_sent = {}
    member.mismatches = {}
    member.progress = {}
    if member.members is None:
        members = log.encode_members(_get_founding_members(member))
        replication.append_entry(member, events.EntryKind.MEMBERS, members)
    else:
        member.renew_progress()
        replication.append_entry(member, events.EntryKind.BARRIER, b'')
    for name, vote in member.votes.items():
        if vote.granted and name in member.progress:
            # The voter supports this member at least since it was asked.
            member.progress[name].contact = member.vote_asked_at
    replication.broadcast(member)


def _get_founding_members(member: core.Core) -> events.Members:
    return events.Members(
        tuple(
            events.Member(name, address, member.votes[name].stamp, True)
            for name, address in sorted(member.config.initial.items())
        )
    )


def _supports_another(member: core.Core) -> bool:
    if member.is_leader:
        return True
    silence_s = member.now - member.support_given_at
    return silence_s < member.config.election_timeout_s


def _has_newer_log(
    member: core.Core, request: messages.PreVote | messages.Vote
) -> bool:
    """Compare logs only: this member may not know the newest group.

    The candidate checks that the group lists its own files and those of
    each voter.
    """
    own = (member.log.last_term, member.log.last_index)
    return (request.last_term, request.last_index) >= own


def _send_vote_reply(
    member: core.Core, sender: ids.NodeId, granted: bool
) -> None:
    reply = messages.VoteReply(
        member.term, granted, member.config.stamp, member.log.is_blank
    )
    member.send(sender, reply)
