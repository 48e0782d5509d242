"""Conversion between membership updates and rumours.

A rumour is the encoded form of an update in the inner protocol.
"""

import msgspec

from orioleshore.model import addresses
from orioleshore.model import announcements
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.telemetry import odd_entries

# Kind of a rumour about a process; the number is sent between processes.
PEER_UPDATE_KIND = 1
# Bytes of thrift's headers for the five fields of a rumour and of its end.
UPDATE_OVERHEAD_BYTES = 38
# A refutation has a higher incarnation, which must still fit into 64 bits.
MAX_INCARNATION = 2**62


class _PeerDetails(msgspec.Struct, frozen=True, array_like=True):
    """Content of a rumour's ``data`` field.

    Fields may be added at the end, but not removed or reordered.
    """

    address: str
    availability_zone: ids.AvailabilityZone
    roles: tuple[states.Role, ...]
    version: ids.Version


_DETAILS_DECODER = decoding.make_msgpack_decoder(_PeerDetails)


def pack_peer(peer: announcements.Peer) -> messages.Rumour:
    """Return the rumour that encodes the state of a process."""
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
    """Return the rumours that encode the states of processes."""
    return tuple(pack_peer(peer) for peer in peers)


def get_update_size(peer: announcements.Peer) -> int:
    """Return the size of the rumour about a process in bytes."""
    rumour = pack_peer(peer)
    text_bytes = len(rumour.subject.encode()) + len(rumour.state)
    return UPDATE_OVERHEAD_BYTES + text_bytes + len(rumour.data)


def unpack_peers(
    rumours: tuple[messages.Rumour, ...],
    odd: odd_entries.OddEntryLog | None = None,
) -> tuple[announcements.Peer, ...]:
    """Return the processes that rumours describe.

    Unknown kinds are skipped. A rumour that cannot be decoded, such as one
    with a state that only newer processes have, is skipped and reported to
    ``odd``.
    """
    odd = odd or odd_entries.OddEntryLog()
    peers = []
    for rumour in rumours:
        if rumour.kind != PEER_UPDATE_KIND:
            continue
        try:
            peers.append(_unpack_peer(rumour))
        except ValueError as error:
            odd.report(odd_entries.EntryList.RUMOURS, rumour.subject, error)
    return tuple(peers)


def _unpack_peer(rumour: messages.Rumour) -> announcements.Peer:
    if not 0 <= rumour.incarnation <= MAX_INCARNATION:
        raise ValueError(f'incarnation {rumour.incarnation} is out of range')
    details = _DETAILS_DECODER.decode(rumour.data)
    # Other processes connect to this address and repeat the rumour.
    addresses.parse_address(details.address)
    return announcements.Peer(
        ids.NodeId(rumour.subject),
        details.address,
        ids.Incarnation(rumour.incarnation),
        details.availability_zone,
        details.roles,
        states.PeerState(rumour.state),
        details.version,
    )
