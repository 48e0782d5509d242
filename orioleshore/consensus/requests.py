"""Requests that travel to the leader: commands, and changes of the group."""

from typing import Any

import msgspec

from orioleshore.consensus import events
from orioleshore.model import ids
from orioleshore.state import commands


class ChangeMembers(msgspec.Struct, frozen=True, tag=True):
    """Add the member at ``address``, remove one, or both in one step.

    The added member may have any files; it becomes a voter once it has a
    copy of the log. ``add`` and ``remove`` name the same member when its
    host was replaced.
    """

    add: ids.NodeId | None = None
    address: str = ''
    remove: ids.NodeId | None = None

    @property
    def added_member(self) -> events.Member | None:
        """The learner to add; its stamp is taken from its first answer."""
        if self.add is None:
            return None
        return events.Member(self.add, self.address, '', False)

    def is_in_force(self, members: events.Members | None) -> bool:
        """Return whether a repeated request has nothing left to do."""
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
    """Return whether a value changes state or group."""
    return isinstance(value, Request)


def encode(request: Request) -> bytes:
    """Return a request as it travels."""
    return _ENCODER.encode(request)


def decode(data: bytes) -> Request:
    """Return the request; raises msgspec.MsgspecError when unknown.

    The leader decodes before it appends: an entry that no member can
    decode would stop all of them.
    """
    return _DECODER.decode(data)
