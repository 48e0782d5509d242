"""Replication at a follower: appends and snapshots from the leader."""

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import replication
from orioleshore.consensus import snapshots
from orioleshore.model import ids
from orioleshore.protocol import messages


def answer_append(
    member: core.Core, sender: ids.NodeId, request: messages.Append
) -> None:
    """Store entries of the leader if the logs match, and commit them.

    A member that is not listed follows the leader as well. Its replies carry
    its stamp, so its acknowledgements and votes are not counted.
    """
    if request.term < member.term:
        _send_append_reply(member, sender, False, 0, request.round)
        return
    member.follow_leader(sender, request.term)
    if request.previous_index < member.log.snapshot_index:
        # A heartbeat during a snapshot transfer, or a delayed append.
        _send_append_reply(
            member, sender, True, member.commit_index, request.round
        )
        return
    known_term = member.log.get_term(request.previous_index)
    if known_term != request.previous_term:
        hint = min(request.previous_index - 1, member.log.last_index)
        hint = max(hint, member.commit_index)
        _send_append_reply(member, sender, False, hint, request.round)
        return
    _store_entries(member, request.entries)
    match_index = request.previous_index + len(request.entries)
    replication.commit_entries(member, min(request.commit_index, match_index))
    _send_append_reply(member, sender, True, match_index, request.round)


def answer_snapshot_chunk(
    member: core.Core, sender: ids.NodeId, chunk: messages.SnapshotChunk
) -> None:
    """Collect a snapshot and install it once it is complete."""
    if chunk.term < member.term:
        _send_append_reply(member, sender, False, 0, 0)
        return
    member.follow_leader(sender, chunk.term)
    if chunk.last_index > member.commit_index:
        snapshot = snapshots.add_chunk(member, sender, chunk)
        if snapshot is None:
            return
        _install_snapshot(member, snapshot)
    _send_append_reply(member, sender, True, member.commit_index, 0)


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
        member.update_members()
        member.persist_state(new)
        return


def _install_snapshot(member: core.Core, snapshot: events.Snapshot) -> None:
    if member.log.get_term(snapshot.last_index) == snapshot.last_term:
        member.log.compact(snapshot)
    else:
        member.log.reset(snapshot)
        member.persisted_index = snapshot.last_index
    member.commit_index = snapshot.last_index
    member.applied_index = snapshot.last_index
    member.actions.append(events.InstallSnapshot(snapshot))
    member.update_members()


def _send_append_reply(
    member: core.Core,
    sender: ids.NodeId,
    success: bool,
    match_index: int,
    round_: int,
) -> None:
    reply = messages.AppendReply(
        member.term,
        success,
        ids.LogIndex(match_index),
        round_,
        member.config.stamp,
    )
    member.send_message(sender, reply)
