"""Membership changes of the Raft group: one at a time, each one log entry."""

import msgspec

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.consensus import replication
from orioleshore.model import errors
from orioleshore.model import ids

# Election timeouts without contact after which a learner may take the place of
# a voter. A voter that was only paused or restarted becomes a learner and
# returns to the list of voters later, so this need not be longer.
REPLACE_AFTER_TIMEOUTS = 3.0
# Seconds without contact after which a new member replaces a learner; more
# than a restart takes.
FORGET_AFTER_S = 5.0
# With fewer voters, none can be demoted without losing the fault tolerance.
MIN_REDUCIBLE_VOTERS = 4
# A learner is promoted to voter once it lacks at most this many entries.
MAX_PROMOTION_LAG_ENTRIES = 64


def change_members(
    member: core.Core, request: events.MembersChangeRequested
) -> None:
    """Append an entry that adds a learner, removes a member, or both."""
    request = _replace_silent_learner(member, request)
    changed = _get_changed_members(member, request)
    refusal = _find_refusal(member, request, changed)
    if refusal is not None:
        member.actions.append(refusal)
        return
    if request.add is not None:
        # The member asks for itself, so its data folder is in use again.
        member.retired_stamps.discard(request.add.stamp)
    if _loses_voter(member, changed):
        _start_change(member, changed, request.token)
        return
    _accept_change(member, changed, request.token)


def continue_change(member: core.Core) -> None:
    """Append a pending change once its quorum has acknowledged the round."""
    change = member.pending_change
    if change is None:
        return
    voters = [listed for listed in change.members if listed.voter]
    acknowledged = member.get_quorum_value(
        lambda progress: progress.acknowledged_round, member.round, voters
    )
    if acknowledged < change.round:
        return
    member.pending_change = None
    _accept_change(member, list(change.members), change.token)


def _replace_silent_learner(
    member: core.Core, request: events.MembersChangeRequested
) -> events.MembersChangeRequested:
    """Turn an addition into the replacement of a learner that is gone.

    Otherwise the list would grow with each replaced host. A removed member
    that comes back requests to join again.
    """
    if not member.is_leader or request.add is None or request.remove:
        return request
    if member.get_member(request.add.name) is not None:
        return request
    for listed in member.get_members():
        silence_s = member.get_silence_s(listed.name)
        if not listed.voter and silence_s >= FORGET_AFTER_S:
            return msgspec.structs.replace(request, remove=listed.name)
    return request


def maintain_members(member: core.Core) -> None:
    """Keep an odd number of reachable voters with their listed folders.

    An even number tolerates no more failures than one voter fewer, but needs
    a larger quorum, so one learner is kept as a spare voter. Each step is one
    entry, and the next one follows its commit.
    """
    _end_overdue_change(member)
    for step in (
        _demote_mismatched_member,
        _promote_learner,
        _demote_unreachable_voter,
        _demote_surplus_voter,
    ):
        if not _can_change_members(member):
            return
        step(member)


def _find_refusal(
    member: core.Core,
    request: events.MembersChangeRequested,
    changed: list[events.Member],
) -> events.Refuse | None:
    token = request.token
    if not member.is_leader:
        return events.Refuse(token, errors.ErrorKind.NOT_LEADER)
    if not _can_change_members(member):
        return events.Refuse(
            token,
            errors.ErrorKind.OVERLOADED,
            'another change of the group is in progress',
        )
    if request.remove and member.get_member(request.remove) is None:
        return events.Refuse(
            token,
            errors.ErrorKind.NOT_FOUND,
            f'{request.remove!r} is not a member',
        )
    added = request.add and request.add.name
    if added and added != request.remove and member.get_member(added):
        return events.Refuse(
            token,
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'{added!r} is a member already',
        )
    if not _has_reachable_quorum(member, changed):
        return _refuse_unreachable(token)
    return None


def _get_changed_members(
    member: core.Core, request: events.MembersChangeRequested
) -> list[events.Member]:
    removed_names = {request.remove}
    added = []
    if request.add is not None:
        removed_names.add(request.add.name)
        # A new member starts as a learner; the leader promotes it once it has
        # caught up.
        added.append(msgspec.structs.replace(request.add, voter=False))
    kept = [m for m in member.get_members() if m.name not in removed_names]
    return [*kept, *added]


def _can_change_members(member: core.Core) -> bool:
    """Return whether a membership change may start now.

    Only one change may be pending or uncommitted, and an entry of the current
    term must be committed before.
    """
    return (
        member.is_leader
        and member.members is not None
        and member.pending_change is None
        and member.log.find_last_members_index() <= member.commit_index
        and member.log.get_term(member.commit_index) == member.term
    )


def _has_reachable_quorum(
    member: core.Core, changed: list[events.Member]
) -> bool:
    """Return whether a quorum of the changed group is in contact now."""
    voters = [m for m in changed if m.voter]
    return bool(voters) and member.get_lease_end(voters) >= member.now


def _demote_mismatched_member(member: core.Core) -> None:
    """Demote a member that lost its data folder; list its new one."""
    if not member.mismatched_stamps:
        return
    name, stamp = member.mismatched_stamps.popitem()
    listed = member.get_member(name)
    if listed is None or listed.stamp == stamp:
        return
    learner = msgspec.structs.replace(listed, stamp=stamp, voter=False)
    _append_when_reachable(member, _replace_member(member, learner))


def _promote_learner(member: core.Core) -> None:
    """Promote a learner if that leads to an odd number of voters.

    Two learners are promoted one after the other.
    """
    ready = _get_ready_learners(member)
    has_odd_voters = len(member.get_voters()) % 2 == 1
    if not ready or (has_odd_voters and len(ready) == 1):
        return
    voter = msgspec.structs.replace(ready[0], voter=True)
    _append_members(member, _replace_member(member, voter))


def _demote_unreachable_voter(member: core.Core) -> None:
    """Demote a silent voter if a learner can take its place.

    The learner is promoted next. A voter that is gone still counts towards
    the quorum size, so a group that kept it would tolerate fewer failures.
    """
    silent = _get_silent_voters(member)
    has_even_voters = len(member.get_voters()) % 2 == 0
    if not silent or not (has_even_voters or _get_ready_learners(member)):
        return
    _demote_voter(member, silent[0])


def _demote_surplus_voter(member: core.Core) -> None:
    """Demote one of an even number of voters if no learner can be promoted."""
    voters = member.get_voters()
    if len(voters) < MIN_REDUCIBLE_VOTERS or len(voters) % 2 == 1:
        return
    if any(
        _is_in_contact(member, m) for m in member.get_members() if not m.voter
    ):
        # A learner that is catching up will make the number odd.
        return
    _demote_voter(member, _get_others(member, voters)[-1])


def _demote_voter(member: core.Core, voter: events.Member) -> None:
    learner = msgspec.structs.replace(voter, voter=False)
    _append_when_reachable(member, _replace_member(member, learner))


def _append_when_reachable(
    member: core.Core, changed: list[events.Member]
) -> None:
    if _has_reachable_quorum(member, changed):
        _start_change(member, changed, None)


def _loses_voter(member: core.Core, changed: list[events.Member]) -> bool:
    kept = {listed.name for listed in changed if listed.voter}
    return any(voter.name not in kept for voter in member.get_voters())


def _start_change(
    member: core.Core, changed: list[events.Member], token: int | None
) -> None:
    """Ask the voters that would remain whether they are in contact now.

    The list is in force once it is appended, and then needs a quorum of the
    voters that remain. One that lost its folder within the last lease would
    stop the group for good.
    """
    member.pending_change = core.PendingChange(
        token, tuple(changed), member.round + 1, member.now
    )
    replication.broadcast_append(member)
    continue_change(member)


def _end_overdue_change(member: core.Core) -> None:
    """Give up a change whose quorum did not acknowledge its round in time."""
    change = member.pending_change
    if change is None:
        return
    if member.now < change.started_at + member.config.election_timeout_s:
        return
    member.pending_change = None
    if change.token is not None:
        member.actions.append(_refuse_unreachable(change.token))


def _refuse_unreachable(token: int) -> events.Refuse:
    return events.Refuse(
        token,
        errors.ErrorKind.ILLEGAL_TRANSITION,
        'the reachable members would not be a quorum of the new group',
    )


def _accept_change(
    member: core.Core, changed: list[events.Member], token: int | None
) -> None:
    index = _append_members(member, changed)
    if token is not None:
        member.actions.append(events.Accepted(token, index, member.term))


def _get_silent_voters(member: core.Core) -> list[events.Member]:
    """Return the unreachable voters, the longest silent one first."""
    voters = _get_others(member, member.get_voters())
    silent = [voter for voter in voters if not _is_in_contact(member, voter)]
    return sorted(
        silent,
        key=lambda voter: member.get_silence_s(voter.name),
        reverse=True,
    )


def _get_ready_learners(member: core.Core) -> list[events.Member]:
    return [
        listed
        for listed in member.get_members()
        if not listed.voter and _has_caught_up(member, listed.name)
    ]


def _get_others(
    member: core.Core, listed: list[events.Member]
) -> list[events.Member]:
    return [other for other in listed if other.name != member.config.name]


def _is_in_contact(member: core.Core, listed: events.Member) -> bool:
    limit_s = REPLACE_AFTER_TIMEOUTS * member.config.election_timeout_s
    return member.get_silence_s(listed.name) < limit_s


def _has_caught_up(member: core.Core, name: ids.NodeId) -> bool:
    progress = member.progress.get(name)
    if progress is None or not progress.match_index:
        return False
    silence_s = member.now - progress.last_contact
    if silence_s > member.config.election_timeout_s:
        return False
    lag = member.log.last_index - progress.match_index
    return lag <= MAX_PROMOTION_LAG_ENTRIES


def _replace_member(
    member: core.Core, changed: events.Member
) -> list[events.Member]:
    others = [m for m in member.get_members() if m.name != changed.name]
    return [*others, changed]


def _append_members(
    member: core.Core, members: list[events.Member]
) -> ids.LogIndex:
    ordered = tuple(sorted(members, key=lambda listed: listed.name))
    data = log.encode_members(events.Members(ordered))
    index = replication.append_entry(member, events.EntryKind.MEMBERS, data)
    replication.replicate_entries(member)
    return index
