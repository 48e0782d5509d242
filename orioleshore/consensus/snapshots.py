"""Encoding of snapshots and their transfer to a follower in chunks."""

import logging

import msgspec

from orioleshore.consensus import core
from orioleshore.consensus import events
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

_DECODER = decoding.make_msgpack_decoder(
    events.Snapshot, decoding.UNLIMITED_BYTES
)


def encode_snapshot(snapshot: events.Snapshot) -> bytes:
    """Return a snapshot as it is sent and stored."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> events.Snapshot:
    """Return the snapshot of encoded data; raises DecodingError."""
    return _DECODER.decode(data)


def send_snapshot(
    member: core.Core, name: ids.NodeId, progress: core.Progress
) -> None:
    """Start a transfer, or resend a chunk whose reply is overdue."""
    if progress.transfer is None:
        snapshot = member.log.snapshot
        # An encoded snapshot is sent to its end even if this member takes a
        # newer one in the meantime: chunks of two must not be mixed.
        progress.transfer = core.SnapshotTransfer(
            snapshot.last_index, snapshot.last_term, encode_snapshot(snapshot)
        )
    ack_timeout_s = 2 * member.config.heartbeat_s
    if member.now - progress.transfer.sent_at > ack_timeout_s:
        _send_chunk(member, name, progress.transfer)


def continue_snapshot(
    member: core.Core, name: ids.NodeId, reply: messages.SnapshotReply
) -> None:
    """Send the chunk that a follower requests, unless it is in flight."""
    transfer = member.progress[name].transfer
    if transfer is None or transfer.last_index != reply.last_index:
        return
    if transfer.offset == reply.next_offset:
        return
    transfer.offset = reply.next_offset
    _send_chunk(member, name, transfer)


def add_chunk(
    member: core.Core, sender: ids.NodeId, chunk: messages.SnapshotChunk
) -> events.Snapshot | None:
    """Add a chunk; return the snapshot once it is complete.

    Until then, a reply requests the next chunk.
    """
    incoming = member.incoming_snapshot
    if incoming is None or not _is_same_snapshot(chunk, incoming, sender):
        incoming = core.IncomingSnapshot(
            sender, chunk.term, chunk.last_index, chunk.last_term, bytearray()
        )
        member.incoming_snapshot = incoming
    if chunk.offset == len(incoming.data):
        incoming.data += chunk.data
        if chunk.done:
            member.incoming_snapshot = None
            return _decode_complete_snapshot(incoming)
    reply = messages.SnapshotReply(
        member.term,
        chunk.last_index,
        len(incoming.data),
        member.config.stamp,
    )
    member.send_message(sender, reply)
    return None


def _decode_complete_snapshot(
    incoming: core.IncomingSnapshot,
) -> events.Snapshot | None:
    """Decode a received snapshot; return None if it is damaged.

    The leader then sends it again from its start.
    """
    try:
        return decode_snapshot(bytes(incoming.data))
    except decoding.DecodingError as error:
        LOG.error(
            logs.format_event(
                'snapshot_unreadable', leader=incoming.leader, error=error
            )
        )
        return None


def _is_same_snapshot(
    chunk: messages.SnapshotChunk,
    incoming: core.IncomingSnapshot,
    sender: ids.NodeId,
) -> bool:
    """Return whether a chunk continues the snapshot being received.

    The sender and its term are compared as well, because two leaders may
    encode the same state differently.
    """
    return (
        incoming.leader == sender
        and incoming.term == chunk.term
        and incoming.last_index == chunk.last_index
        and incoming.last_term == chunk.last_term
    )


def _send_chunk(
    member: core.Core, name: ids.NodeId, transfer: core.SnapshotTransfer
) -> None:
    end = transfer.offset + member.config.chunk_bytes
    chunk = messages.SnapshotChunk(
        member.term,
        transfer.last_index,
        transfer.last_term,
        transfer.offset,
        transfer.data[transfer.offset : end],
        end >= len(transfer.data),
    )
    transfer.sent_at = member.now
    member.send_message(name, chunk)
