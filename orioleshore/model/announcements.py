"""Descriptions that processes and upstreams announce of themselves."""

from typing import Annotated

import msgspec

from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream as it announces itself; ``address`` is "IP:port"."""

    service: Annotated[
        ids.ServiceId, msgspec.Meta(pattern=documents.NAME_PATTERN)
    ]
    address: ids.UpstreamId
    availability_zone: ids.AvailabilityZone
    slots: Annotated[int, msgspec.Meta(ge=1, le=4_096)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=65_536)]
    incarnation: Annotated[ids.Incarnation, msgspec.Meta(ge=0)]
    state: states.UpstreamState = states.UpstreamState.SERVING


class Peer(msgspec.Struct, frozen=True):
    """A process as the membership protocol describes it.

    ``version`` is that of the configuration that the process applied last.
    """

    node: ids.NodeId
    address: str
    incarnation: ids.Incarnation
    availability_zone: ids.AvailabilityZone
    roles: tuple[states.Role, ...]
    state: states.PeerState = states.PeerState.ALIVE
    version: ids.Version = ids.Version(0)
