"""Conversion between peers and the rumours that carry them."""

import logging

import msgspec

from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

# Kinds of rumours; the numbers travel between processes.
PEER_UPDATE_KIND = 1
# Headers of the five fields of a rumour, and its end, in thrift's encoding.
UPDATE_OVERHEAD_BYTES = 38
# A process refutes with a higher incarnation, which must fit into 64 bits.
MAX_INCARNATION = 2**62


class _PeerDetails(msgspec.Struct, frozen=True, array_like=True):
    """What a rumour says beyond its own fields; fields are only added."""

    address: str
    availability_zone: ids.AvailabilityZone
    roles: tuple[states.Role, ...]
    version: ids.Version


def pack_peer(peer: announcements.Peer) -> messages.Rumour:
    """Return what travels about a process."""
    details = _PeerDetails(
        peer.address, peer.availability_zone, peer.roles, peer.version
    )
    return messages.Rumour(
        PEER_UPDATE_KIND,
        peer.node,
        peer.incarnation,
        peer.state.value,
        msgspec.msgpack.encode(details),
    )


def pack_peers(
    peers: tuple[announcements.Peer, ...],
) -> tuple[messages.Rumour, ...]:
    """Return what travels about processes."""
    return tuple(pack_peer(peer) for peer in peers)


def get_update_size(peer: announcements.Peer) -> int:
    """Return the encoded bytes of the rumour about a process."""
    rumour = pack_peer(peer)
    text_bytes = len(rumour.subject.encode()) + len(rumour.state)
    return UPDATE_OVERHEAD_BYTES + text_bytes + len(rumour.data)


def unpack_peers(
    rumours: tuple[messages.Rumour, ...],
) -> tuple[announcements.Peer, ...]:
    """Return the processes in rumours; unknown kinds are skipped.

    A rumour that cannot be read, such as one with a state that a newer
    process added, is skipped as well.
    """
    peers = []
    for rumour in rumours:
        if rumour.kind != PEER_UPDATE_KIND:
            continue
        try:
            peers.append(_unpack_peer(rumour))
        except (msgspec.MsgspecError, ValueError) as error:
            LOG.warning(
                logs.format_event(
                    'rumour_unreadable', subject=rumour.subject, error=error
                )
            )
    return tuple(peers)


def _unpack_peer(rumour: messages.Rumour) -> announcements.Peer:
    if not 0 <= rumour.incarnation <= MAX_INCARNATION:
        raise ValueError(f'incarnation {rumour.incarnation} is out of range')
    details = msgspec.msgpack.decode(rumour.data, type=_PeerDetails)
    return announcements.Peer(
        ids.NodeId(rumour.subject),
        details.address,
        ids.Incarnation(rumour.incarnation),
        details.availability_zone,
        details.roles,
        states.PeerState(rumour.state),
        details.version,
    )
