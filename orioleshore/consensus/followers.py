"""Replication at a follower: what it stores, commits and answers."""

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import replication
from orioleshore.consensus import snapshots
from orioleshore.model import ids
from orioleshore.protocol import messages


def answer_append(
    member: core.Core, sender: ids.NodeId, request: messages.Append
) -> None:
    """Store the entries of the leader behind those it also has.

    A member that the group does not list follows as well: its answers
    carry its stamp, so nobody counts its copies or votes.
    """
    if request.term < member.term:
        _reply(member, sender, False, 0, request.round)
        return
    member.follow(sender, request.term)
    if request.previous_index < member.log.snapshot_index:
        # A heartbeat while a snapshot is under way, or a late append.
        _reply(member, sender, True, member.commit_index, request.round)
        return
    known = member.log.get_term(request.previous_index)
    if known != request.previous_term:
        hint = min(request.previous_index - 1, member.log.last_index)
        hint = max(hint, member.commit_index)
        _reply(member, sender, False, hint, request.round)
        return
    _store_entries(member, request.entries)
    match = request.previous_index + len(request.entries)
    replication.commit(member, min(request.commit_index, match))
    _reply(member, sender, True, match, request.round)


def answer_snapshot_chunk(
    member: core.Core, sender: ids.NodeId, chunk: messages.SnapshotChunk
) -> None:
    """Collect a snapshot and install it once it is whole."""
    if chunk.term < member.term:
        _reply(member, sender, False, 0, 0)
        return
    member.follow(sender, chunk.term)
    if chunk.last_index > member.commit_index:
        snapshot = snapshots.take_chunk(member, sender, chunk)
        if snapshot is None:
            return
        _install(member, snapshot)
    _reply(member, sender, True, member.commit_index, 0)


def _store_entries(
    member: core.Core, entries: tuple[messages.Entry, ...]
) -> None:
    for position, entry in enumerate(entries):
        if member.log.get_term(entry.index) == entry.term:
            continue
        if entry.index <= member.commit_index:
            raise RuntimeError(
                f'the leader of term {member.term} replaces entry '
                f'{entry.index}, which is committed'
            )
        new = entries[position:]
        member.log.append(new)
        member.persisted_index = min(
            member.persisted_index, ids.LogIndex(entry.index - 1)
        )
        member.use_newest_members()
        member.persist(new)
        return


def _install(member: core.Core, snapshot: events.Snapshot) -> None:
    if member.log.get_term(snapshot.last_index) == snapshot.last_term:
        member.log.compact(snapshot)
    else:
        member.log.reset(snapshot)
        member.persisted_index = snapshot.last_index
    member.commit_index = snapshot.last_index
    member.applied_index = snapshot.last_index
    member.actions.append(events.InstallSnapshot(snapshot))
    member.use_newest_members()


def _reply(
    member: core.Core,
    sender: ids.NodeId,
    success: bool,
    match: int,
    round_: int,
) -> None:
    reply = messages.AppendReply(
        member.term,
        success,
        ids.LogIndex(match),
        round_,
        member.config.stamp,
    )
    member.send(sender, reply)
