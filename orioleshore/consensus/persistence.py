"""Writes of a control member: entries, snapshots, and a full disk."""

import logging

from orioleshore.consensus import events
from orioleshore.consensus import member_actions
from orioleshore.consensus import member_core
from orioleshore.consensus import storage
from orioleshore.consensus import suspension
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.state import feed
from orioleshore.state import records
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Seconds between attempts to write while the disk is full.
WRITE_RETRY_S = 0.2
# Seconds until a snapshot that found no room on the disk is repeated.
SNAPSHOT_RETRY_S = 2.0


async def perform_actions(
    core: member_core.MemberCore, actions: list[events.Action]
) -> list[events.Action]:
    """Perform actions with one sync; return the resulting actions."""
    persists = [a for a in actions if isinstance(a, events.Persist)]
    has_snapshot = any(
        isinstance(action, events.InstallSnapshot) for action in actions
    )
    if not persists and not has_snapshot:
        for action in actions:
            member_actions.perform_action(action, core)
        return []
    if has_snapshot:
        return await _perform_in_order(core, actions)
    rest = _send_appends_early(core, actions, persists)
    try:
        await core.writer.write_persists(persists)
    except storage.DiskFullError as error:
        return _suspend(core, rest, error)
    for action in rest:
        member_actions.perform_action(action, core)
    return _confirm_persisted(core, persists)


def _send_appends_early(
    core: member_core.MemberCore,
    actions: list[events.Action],
    persists: list[events.Persist],
) -> list[events.Action]:
    """Send appends before this member syncs the same entries.

    Returns the remaining actions. A leader counts its own entries only
    after the sync, so followers may store them earlier. A changed hard
    state must be synced first, so nothing is sent early then.
    """
    stored = core.storage.hard_state
    if any(persist.hard_state != stored for persist in persists):
        return actions
    rest = []
    for action in actions:
        if isinstance(action, events.Send) and isinstance(
            action.message, messages.Append
        ):
            member_actions.perform_action(action, core)
        else:
            rest.append(action)
    return rest


async def _perform_in_order(
    core: member_core.MemberCore, actions: list[events.Action]
) -> list[events.Action]:
    following: list[events.Action] = []
    for position, action in enumerate(actions):
        try:
            following += await _perform_stored_action(core, action)
        except storage.DiskFullError as error:
            return following + _suspend(core, actions[position:], error)
    return following


async def _perform_stored_action(
    core: member_core.MemberCore, action: events.Action
) -> list[events.Action]:
    """Perform an action, which may need a sync of its own."""
    if isinstance(action, events.Persist):
        await core.writer.write_persists([action])
        return _confirm_persisted(core, [action])
    if isinstance(action, events.InstallSnapshot):
        await _install_snapshot(core, action.snapshot)
    else:
        member_actions.perform_action(action, core)
    return []


def _suspend(
    core: member_core.MemberCore,
    actions: list[events.Action],
    error: storage.DiskFullError,
) -> list[events.Action]:
    """Leave the group until the disk has room.

    ``actions`` are those that were not performed.
    """
    LOG.error(
        logs.format_event(
            'disk_full',
            error=error.failure.message,
            was_leader=core.is_leader,
            term=core.raft.term,
        )
    )
    core.write_retry_at = core.get_now() + WRITE_RETRY_S
    core.unwritten, ready = suspension.split_actions(actions)
    for action in ready:
        member_actions.perform_action(action, core)
    return core.handle_event(events.StorageBlocked())


async def write_waiting_when_due(core: member_core.MemberCore) -> None:
    """Write what waits for room; return to the group once all is."""
    if not core.unwritten or core.get_now() < core.write_retry_at:
        return
    waiting = suspension.merge_persists(core.unwritten)
    core.unwritten = []
    for position, action in enumerate(waiting):
        try:
            # A suspended member reacts to nothing, so there are no
            # resulting actions.
            await _perform_stored_action(core, action)
        except storage.DiskFullError:
            core.unwritten = waiting[position:]
            core.write_retry_at = core.get_now() + WRITE_RETRY_S
            return
    core.handle_event(events.StorageResumed())
    LOG.info(logs.format_event('disk_has_room', term=core.raft.term))


def _confirm_persisted(
    core: member_core.MemberCore, persists: list[events.Persist]
) -> list[events.Action]:
    entries = [e for persist in persists for e in persist.entries]
    if not entries:
        return []
    last = entries[-1]
    return core.handle_event(events.Persisted(last.index, last.term))


async def _install_snapshot(
    core: member_core.MemberCore, snapshot: events.Snapshot
) -> None:
    last = core.raft.log.last_index
    rest = core.raft.log.get_entries(snapshot.last_index + 1, last)
    # Decoded first: a state that cannot be read must not replace files.
    state = records.decode_state(snapshot.data)
    await core.writer.save_snapshot(snapshot, rest)
    restore_snapshot(core, snapshot, state)
    core.send_updates(core.feed.handle(feed.VersionCommitted(core.state)))


def restore_snapshot(
    core: member_core.MemberCore,
    snapshot: events.Snapshot,
    state: records.State,
) -> None:
    """Replace the state by that of a snapshot."""
    core.state = state
    core.applied_index = snapshot.last_index
    LOG.info(
        logs.format_event(
            'snapshot_restored',
            index=snapshot.last_index,
            version=core.state.version,
        )
    )


async def take_snapshot_when_due(core: member_core.MemberCore) -> None:
    """Compact the log if it is long or large enough."""
    if not _is_snapshot_due(core):
        return
    snapshot = events.Snapshot(
        ids.LogIndex(core.applied_index),
        core.raft.log.get_term(core.applied_index),
        core.raft.log.find_members_at(core.applied_index),
        records.encode_state(core.state),
    )
    rest = core.raft.log.get_entries(
        core.applied_index + 1, core.raft.log.last_index
    )
    try:
        await core.writer.save_snapshot(snapshot, rest)
    except storage.DiskFullError as error:
        # The log goes on in its segment until there is room.
        core.snapshot_retry_at = core.get_now() + SNAPSHOT_RETRY_S
        LOG.warning(
            logs.format_event(
                'snapshot_postponed', error=error.failure.message
            )
        )
        return
    LOG.info(
        logs.format_event(
            'snapshot_taken',
            index=snapshot.last_index,
            bytes=len(snapshot.data),
        )
    )
    for action in core.handle_event(events.SnapshotTaken(snapshot)):
        member_actions.perform_action(action, core)


def _is_snapshot_due(core: member_core.MemberCore) -> bool:
    """Return whether the log is long or large enough to be compacted."""
    if core.unwritten or core.get_now() < core.snapshot_retry_at:
        return False
    entry_count = core.applied_index - core.raft.log.snapshot_index
    limits = core.config.control
    return entry_count >= limits.snapshot_entries or (
        entry_count > 0 and core.storage.segment_bytes >= limits.snapshot_bytes
    )
