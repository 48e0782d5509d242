"""Events and actions of the failure detector."""

import msgspec

from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states

Updates = tuple[announcements.Peer, ...]

# Events.


class ProbeDue(msgspec.Struct, frozen=True):
    """A new period begins."""


class ProbeTimedOut(msgspec.Struct, frozen=True):
    """The direct probe of this period got no answer in time."""


class ProbeReceived(msgspec.Struct, frozen=True):
    """``sender`` probed this process; the acknowledgement is for it alone."""

    sender: ids.NodeId
    reply_address: str
    sequence: int
    updates: Updates
    incarnation: ids.Incarnation = ids.UNKNOWN_INCARNATION


class ProbeAnswered(msgspec.Struct, frozen=True):
    """``subject`` acknowledged a probe, directly or through ``sender``."""

    sender: ids.NodeId
    subject: ids.NodeId
    sequence: int
    updates: Updates


class IndirectProbeRequested(msgspec.Struct, frozen=True):
    """``sender`` requested a probe of ``subject`` on its behalf."""

    sender: ids.NodeId
    reply_address: str
    sequence: int
    subject: ids.NodeId
    subject_address: str
    updates: Updates
    incarnation: ids.Incarnation = ids.UNKNOWN_INCARNATION


class VersionChanged(msgspec.Struct, frozen=True):
    """This process applied a newer version of the configuration."""

    version: ids.Version


class LeaveRequested(msgspec.Struct, frozen=True):
    """This process is about to stop."""


Event = (
    ProbeDue
    | ProbeTimedOut
    | ProbeReceived
    | ProbeAnswered
    | IndirectProbeRequested
    | VersionChanged
    | LeaveRequested
)

# Actions.


class SendProbe(msgspec.Struct, frozen=True):
    """Probe an address, with piggybacked membership updates."""

    address: str
    sequence: int
    updates: Updates


class SendAck(msgspec.Struct, frozen=True):
    """Acknowledge a probe from an address on behalf of ``subject``.

    ``recipient`` is the incarnation of the process that sent the probe.
    """

    address: str
    sequence: int
    subject: ids.NodeId
    updates: Updates
    recipient: ids.Incarnation = ids.UNKNOWN_INCARNATION


class SendIndirectProbe(msgspec.Struct, frozen=True):
    """Request a probe of ``subject`` from the process at an address."""

    address: str
    sequence: int
    subject: ids.NodeId
    subject_address: str
    updates: Updates


class SetTimer(msgspec.Struct, frozen=True):
    """Deliver ``ProbeTimedOut`` after a delay; replaces an earlier timer."""

    delay_s: float


class PeerStateChanged(msgspec.Struct, frozen=True):
    """The known state of a peer changed.

    ``previous_state`` is None for a peer that was unknown.
    """

    peer: announcements.Peer
    previous_state: states.PeerState | None


class IsolationChanged(msgspec.Struct, frozen=True):
    """Most peers became unreachable, or reachable again."""

    is_isolated: bool


class PathChanged(msgspec.Struct, frozen=True):
    """The direct path to a live peer broke or was restored."""

    node: ids.NodeId
    is_direct: bool


class NameConflictFound(msgspec.Struct, frozen=True):
    """A process at another address uses the name of this one."""

    address: str


Action = (
    SendProbe
    | SendAck
    | SendIndirectProbe
    | SetTimer
    | PeerStateChanged
    | IsolationChanged
    | PathChanged
    | NameConflictFound
)


# Notifications to other tasks.


class PeersChanged(msgspec.Struct, frozen=True):
    """This process and all known peers, by name."""

    own_peer: announcements.Peer
    peers: dict[ids.NodeId, announcements.Peer]

    def get_live_peers(self, role: states.Role) -> list[announcements.Peer]:
        """Return the processes of a role that may be alive."""
        live = (states.PeerState.ALIVE, states.PeerState.SUSPECT)
        return [
            peer
            for peer in (self.own_peer, *self.peers.values())
            if role in peer.roles and peer.state in live
        ]
