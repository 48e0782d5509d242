"""Replication at the leader: appends, commit index, proposals and reads."""

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.consensus import snapshots
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.protocol import messages

MAX_ENTRIES_PER_APPEND = 256
MAX_BYTES_PER_APPEND = 524_288
# Send times of rounds are kept for this many election timeouts. Replies to
# older rounds cannot extend the lease.
ROUND_RETENTION_TIMEOUTS = 10


def broadcast_append_when_due(member: core.Core) -> None:
    """Send heartbeats once the heartbeat interval has passed."""
    if member.now >= member.broadcast_due:
        broadcast_append(member)


def broadcast_append(member: core.Core) -> None:
    """Start a round: send an append, possibly empty, to all members."""
    member.round += 1
    member.round_sent_at[member.round] = member.now
    _drop_old_rounds(member)
    member.broadcast_due = member.now + member.config.heartbeat_s
    for name in member.get_peer_addresses():
        _send_append(member, name, force=True)
    advance_commit_index(member)


def replicate_entries(member: core.Core) -> None:
    """Send new entries to all followers without a batch in flight."""
    for name in member.get_peer_addresses():
        _send_append(member, name, force=False)
    advance_commit_index(member)


def append_entry(
    member: core.Core, kind: events.EntryKind, data: bytes
) -> ids.LogIndex:
    """Append an entry of the current term; it is not committed yet."""
    index = ids.LogIndex(member.log.last_index + 1)
    entry = messages.Entry(index, member.term, kind, data)
    member.log.append((entry,))
    if kind is events.EntryKind.MEMBERS:
        member.update_members()
    member.persist_state((entry,))
    return index


def propose_command(
    member: core.Core, request: events.ProposeRequested
) -> None:
    """Append a command; refuse it if this member is not the leader."""
    if not member.is_leader:
        member.refuse_request(request.token, errors.ErrorKind.NOT_LEADER)
        return
    index = append_entry(member, events.EntryKind.COMMAND, request.data)
    member.actions.append(events.Accepted(request.token, index, member.term))
    replicate_entries(member)


def start_read(member: core.Core, request: events.ReadRequested) -> None:
    """Queue a read until a round started later confirms the leadership."""
    if not member.is_leader:
        member.refuse_request(request.token, errors.ErrorKind.NOT_LEADER)
        return
    if member.log.get_term(member.commit_index) != member.term:
        # Before its barrier is committed, a new leader cannot tell which
        # entries of earlier terms are committed.
        member.refuse_request(request.token, errors.ErrorKind.NO_QUORUM)
        return
    member.pending_reads.append(
        core.PendingRead(request.token, member.commit_index, member.round + 1)
    )
    broadcast_append(member)
    _answer_reads(member)


def handle_persisted(member: core.Core, event: events.Persisted) -> None:
    """Advance the persisted index after a sync of this member's log."""
    if member.log.get_term(event.index) != event.term:
        return
    member.persisted_index = max(member.persisted_index, event.index)
    if member.is_leader:
        advance_commit_index(member)


def handle_append_reply(
    member: core.Core, sender: ids.NodeId, reply: messages.AppendReply
) -> None:
    """Update a follower's progress and send the entries it lacks."""
    if reply.term > member.term:
        member.become_follower(reply.term)
        return
    if not member.is_leader or reply.term != member.term:
        return
    if not member.verify_stamp(sender, reply.stamp):
        return
    progress = member.progress[sender]
    _record_round(member, progress, reply.round)
    if reply.success:
        _record_match_index(progress, reply.match_index)
    else:
        progress.in_flight_index = None
        hint_index = max(progress.match_index, reply.match_index)
        progress.next_index = min(progress.next_index, hint_index + 1)
    advance_commit_index(member)
    _answer_reads(member)
    _send_append(member, sender, force=False)


def handle_snapshot_reply(
    member: core.Core, sender: ids.NodeId, reply: messages.SnapshotReply
) -> None:
    """Send the snapshot chunk that a follower requests."""
    if reply.term > member.term:
        member.become_follower(reply.term)
        return
    if not member.is_leader or reply.term != member.term:
        return
    if not member.verify_stamp(sender, reply.stamp):
        return
    snapshots.continue_snapshot(member, sender, reply)


def advance_commit_index(member: core.Core) -> None:
    """Commit entries that a quorum has synced.

    Entries of earlier terms are committed only together with an entry of the
    current term.
    """
    if not member.is_leader or member.members is None:
        return
    quorum_index = member.get_quorum_value(
        lambda progress: progress.match_index, member.persisted_index
    )
    if member.log.get_term(quorum_index) != member.term:
        return
    if commit_entries(member, quorum_index):
        _step_down_when_removed(member)


def commit_entries(member: core.Core, index: int) -> bool:
    """Commit and apply entries up to an index; return whether any is new."""
    index = min(index, member.log.last_index)
    if index <= member.commit_index:
        return False
    entries = member.log.get_entries(member.applied_index + 1, index)
    member.commit_index = ids.LogIndex(index)
    member.applied_index = ids.LogIndex(index)
    member.actions.append(events.Apply(entries))
    return True


def step_down_without_quorum(member: core.Core) -> None:
    """Step down once the lease is over: a new leader may be elected."""
    if member.is_leader and member.now > member.get_lease_end():
        member.step_down()


def _step_down_when_removed(member: core.Core) -> None:
    if member.log.find_last_members_index() > member.commit_index:
        return
    if member.can_campaign():
        return
    # Send the new commit index first, so that the remaining members know that
    # the removal is committed when they elect a leader.
    for name in member.get_peer_addresses():
        _send_append(member, name, force=True)
    member.step_down()


def _record_round(
    member: core.Core, progress: core.Progress, round_number: int
) -> None:
    sent = member.round_sent_at.get(round_number, core.NEVER)
    progress.last_contact = max(progress.last_contact, sent)
    progress.acknowledged_round = max(
        progress.acknowledged_round, round_number
    )


def _record_match_index(progress: core.Progress, match_index: int) -> None:
    progress.match_index = max(progress.match_index, match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    transfer = progress.transfer
    if transfer and progress.match_index >= transfer.last_index:
        progress.transfer = None
    in_flight_index = progress.in_flight_index
    if in_flight_index is not None and progress.match_index >= in_flight_index:
        progress.in_flight_index = None


def _answer_reads(member: core.Core) -> None:
    if not member.is_leader:
        return
    quorum_round = member.get_quorum_value(
        lambda progress: progress.acknowledged_round, member.round
    )
    waiting = []
    for pending in member.pending_reads:
        if pending.round <= quorum_round:
            member.actions.append(
                events.ReadReady(pending.token, pending.index)
            )
        else:
            waiting.append(pending)
    member.pending_reads = waiting


def _drop_old_rounds(member: core.Core) -> None:
    retention_s = ROUND_RETENTION_TIMEOUTS * member.config.election_timeout_s
    while True:
        oldest = next(iter(member.round_sent_at))
        if member.round_sent_at[oldest] >= member.now - retention_s:
            return
        del member.round_sent_at[oldest]


def _send_append(member: core.Core, name: ids.NodeId, force: bool) -> None:
    """Send the entries or snapshot that a follower lacks.

    With ``force``, an empty append is sent as a heartbeat if there are none.
    """
    progress = member.progress.get(name)
    if progress is None:
        return
    if progress.transfer or progress.next_index < member.log.first_index:
        if force:
            _send_heartbeat(member, name)
        snapshots.send_snapshot(member, name, progress)
        return
    ack_timeout_s = 2 * member.config.heartbeat_s
    is_lost = member.now - progress.appended_at > ack_timeout_s
    entries: tuple[messages.Entry, ...] = ()
    if progress.in_flight_index is None or is_lost:
        entries = _get_batch(member, progress.next_index)
    if not entries and not force:
        return
    previous = progress.next_index - 1
    append = messages.Append(
        member.term,
        ids.LogIndex(previous),
        member.log.get_term(previous),
        entries,
        member.commit_index,
        member.round,
    )
    member.send_message(name, append)
    if entries:
        progress.in_flight_index = entries[-1].index
        progress.appended_at = member.now


def _send_heartbeat(member: core.Core, name: ids.NodeId) -> None:
    """Send an append without entries that any follower can accept."""
    start = ids.LogIndex(0)
    heartbeat = messages.Append(
        member.term, start, ids.Term(0), (), start, member.round
    )
    member.send_message(name, heartbeat)


def _get_batch(member: core.Core, first: int) -> tuple[messages.Entry, ...]:
    candidates = member.log.get_entries(
        first, first + MAX_ENTRIES_PER_APPEND - 1
    )
    size = 0
    for count, entry in enumerate(candidates):
        size += len(entry.data)
        if size > MAX_BYTES_PER_APPEND and count:
            return candidates[:count]
    return candidates
