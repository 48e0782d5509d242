"""Requests to the leader: commands and membership changes."""

from typing import Any

import msgspec
from result import Result

from orioleshore.consensus import events
from orioleshore.consensus import packing
from orioleshore.model import addresses
from orioleshore.model import decoding
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
_DECODER = decoding.make_msgpack_decoder(Request, packing.MAX_UNPACKED_BYTES)
# Calls by which the leader's check of a request is deeper in the stack than
# the members' decoding of the entry. The stack bounds the nesting that can be
# decoded, so an entry that passes the check is too deep for no member.
_CHECK_MARGIN = 150


def is_request(value: Any) -> bool:
    """Return whether a value is a command or a membership change."""
    return isinstance(value, Request)


def encode(request: Request) -> Result[bytes, errors.Failure]:
    """Return a request as it is sent and stored in the log.

    Fails with ``REQUEST_TOO_LARGE``.
    """
    return packing.pack(_ENCODER.encode(request))


def decode(data: bytes) -> Request:
    """Return a decoded request; raises DecodingError if it is not valid."""
    if len(data) > packing.MAX_PACKED_BYTES:
        raise decoding.DecodingError(
            f'a request of {len(data)} bytes is too large'
        )
    return _DECODER.decode(packing.unpack(data))


def check(data: bytes) -> Request:
    """Return a request that may be appended to the log.

    Raises DecodingError if it is not valid. The leader checks a request
    first, because an entry that cannot be decoded would stop every member,
    and a member without a usable address could take the place of another.
    """
    request = _decode_deeper(data, _CHECK_MARGIN)
    if isinstance(request, ChangeMembers) and request.add is not None:
        addresses.parse_address(request.address)
    return request


def _decode_deeper(data: bytes, calls: int) -> Request:
    if not calls:
        return decode(data)
    return _decode_deeper(data, calls - 1)
