"""Membership changes of the Raft group: one at a time, each one log entry."""

import msgspec

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.consensus import replication
from orioleshore.model import errors
from orioleshore.model import ids

# Seconds without contact after which a new member may replace a voter; more
# than a restart takes.
UNREACHABLE_AFTER_S = 5.0
# A learner is promoted to voter once it lacks at most this many entries.
MAX_PROMOTION_LAG_ENTRIES = 64


def change_members(
    member: core.Core, request: events.MembersChangeRequested
) -> None:
    """Append an entry that adds a learner, removes a member, or both."""
    request = _replace_unreachable_voter(member, request)
    changed = _get_changed_members(member, request)
    refusal = _find_refusal(member, request, changed)
    if refusal is not None:
        member.actions.append(refusal)
        return
    index = _append_members(member, changed)
    member.actions.append(events.Accepted(request.token, index, member.term))


def _replace_unreachable_voter(
    member: core.Core, request: events.MembersChangeRequested
) -> events.MembersChangeRequested:
    """Turn an addition into the replacement of an unreachable voter.

    A dead voter still counts towards the quorum size, so a group that only
    grows would tolerate fewer failures with each replaced host. A removed
    member that comes back requests to join again.
    """
    if not member.is_leader or request.add is None or request.remove:
        return request
    if member.get_member(request.add.name) is not None:
        return request
    for voter in member.get_voters():
        progress = member.progress.get(voter.name)
        if progress is None or progress.last_contact == core.NEVER:
            continue
        if member.now - progress.last_contact >= UNREACHABLE_AFTER_S:
            return msgspec.structs.replace(request, remove=voter.name)
    return request


def maintain_members(member: core.Core) -> None:
    """Demote members that lost their data folder, and promote learners."""
    if member.mismatched_stamps and _can_change_members(member):
        _demote_mismatched_member(member)
    if _can_change_members(member):
        _promote_learner(member)


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
        return events.Refuse(
            token,
            errors.ErrorKind.ILLEGAL_TRANSITION,
            'the reachable members would not be a quorum of the new group',
        )
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

    Only one change may be in progress, and an entry of the current term must
    be committed before.
    """
    return (
        member.is_leader
        and member.members is not None
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
    name, stamp = member.mismatched_stamps.popitem()
    listed = member.get_member(name)
    if listed is None or listed.stamp == stamp:
        return
    learner = msgspec.structs.replace(listed, stamp=stamp, voter=False)
    changed = _replace_member(member, learner)
    if _has_reachable_quorum(member, changed):
        _append_members(member, changed)


def _promote_learner(member: core.Core) -> None:
    for listed in member.get_members():
        if not listed.voter and _has_caught_up(member, listed.name):
            voter = msgspec.structs.replace(listed, voter=True)
            _append_members(member, _replace_member(member, voter))
            return


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
