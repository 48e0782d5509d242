"""Requests to the leader: commands and membership changes."""

from typing import Any

import msgspec
from result import Result

from orioleshore.consensus import events
from orioleshore.consensus import packing
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.state import commands


class ChangeMembers(msgspec.Struct, frozen=True, tag=True):
    """Adds the member at ``address``, removes one, or both in one step.

    The added member may have any data folder, whose stamp it gives if it asks
    for itself. It becomes a voter once it has caught up with the log and the
    group needs one. ``add`` and ``remove`` name the same member if its host
    was replaced.
    """

    add: ids.NodeId | None = None
    address: str = ''
    remove: ids.NodeId | None = None
    stamp: str = ''

    @property
    def added_member(self) -> events.Member | None:
        """The learner to add.

        Without a stamp, its first reply to the leader gives it.
        """
        if self.add is None:
            return None
        return events.Member(self.add, self.address, self.stamp, False)

    def is_in_force(self, members: events.Members | None) -> bool:
        """Return whether the members already match this request."""
        if members is None:
            return False
        addresses = {m.name: m.address for m in members.members}
        if self.add is None:
            return self.remove not in addresses
        if self.remove != self.add and self.remove in addresses:
            return False
        return addresses.get(self.add) == self.address


Request = commands.Command | ChangeMembers

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Request)


def is_request(value: Any) -> bool:
    """Return whether a value is a command or a membership change."""
    return isinstance(value, Request)


def encode(request: Request) -> Result[bytes, errors.Failure]:
    """Return a request as it is sent and stored in the log.

    Fails with ``REQUEST_TOO_LARGE``.
    """
    return packing.pack(_ENCODER.encode(request))


def decode(data: bytes) -> Request:
    """Return a decoded request; raises ValueError if it is not valid.

    The leader decodes a request before it appends it, because an entry that
    cannot be decoded would stop every member.
    """
    if len(data) > packing.MAX_PACKED_BYTES:
        raise ValueError(f'a request of {len(data)} bytes is too large')
    return _DECODER.decode(packing.unpack(data))
