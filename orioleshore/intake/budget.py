"""Decides which connections are closed when a process holds too much.

The decisions take values and do no input or output. One budget serves all
listening addresses of a process.
"""

import enum

import msgspec

from orioleshore.model import ids

# A connection that holds at most this many bytes starts no search for others
# to close, so that ordinary requests are served while the budget is used up.
SMALL_BYTES = 4_096
# A connection whose peer sends or takes nothing for this time, in seconds,
# is closed before one that makes progress.
PROGRESS_S = 1.0
# After a shortage, connections are closed until this share is free again, so
# that the next bytes do not lead to another search.
FREED_SHARE = 1 / 16


class Phase(enum.Enum):
    """What a connection waits for."""

    # No byte of a request has arrived.
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    # A whole request was passed on and is not answered yet.
    PASSED_ON = 'passed_on'
    # The same, and many bytes of further requests wait behind it.
    PIPELINED = 'pipelined'
    # The peer does not read its answer.
    ANSWERING = 'answering'
    # A process of the system that has sent a valid message.
    PEER = 'peer'


# Reading a member from its class takes several times as long.
_HEAD = Phase.HEAD
_BODY = Phase.BODY


class Reason(enum.Enum):
    """Why a connection is closed; label values of a metric."""

    CONNECTIONS = 'connections'
    MEMORY = 'memory'
    HEAD_TOO_LARGE = 'head_too_large'
    SLOW_HEAD = 'slow_head'
    SLOW_BODY = 'slow_body'
    UNREAD_ANSWER = 'unread_answer'
    MALFORMED = 'malformed'


class Limits(msgspec.Struct, frozen=True):
    """Limits of a process: sizes in bytes, times in seconds.

    ``head_s`` bounds the time to a whole head, ``request_s`` that to a whole
    request, and ``stall_s`` the time without progress of a body or an answer.
    """

    memory: int
    connections: int
    head_bytes: int
    head_s: float
    stall_s: float
    request_s: float


class Closing(msgspec.Struct, frozen=True):
    """The decision to close a connection."""

    connection: ids.ConnectionId
    reason: Reason


class _Holding(msgspec.Struct):
    """What a connection holds; times are monotonic, in seconds."""

    phase: Phase
    held: int
    # Time at which the request or the phase began.
    began_at: float
    progress_at: float


# Connections that may be closed when the number of connections is short, in
# the order in which they are given up.
_CLOSED_FOR_NUMBER = (
    (Phase.IDLE, Phase.HEAD),
    (Phase.BODY, Phase.ANSWERING),
    (Phase.PIPELINED,),
    (Phase.PEER,),
)
# Tuples, because the hash of an enum member is computed in Python and these
# are searched with each request.
_TIMED_PHASES = (Phase.HEAD, Phase.BODY, Phase.ANSWERING)
# The same when memory is short. A request that was passed on is only given up
# with what its peer has sent behind it.
_CLOSED_FOR_MEMORY = (_TIMED_PHASES, (Phase.PIPELINED,))


class Budget:
    """Bytes and connections that the peers of one process hold."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._holdings: dict[ids.ConnectionId, _Holding] = {}
        self._used = 0
        # Number of connections in a phase that has a time limit.
        self._timed = 0

    @property
    def used(self) -> int:
        """Return the number of bytes that all connections hold."""
        return self._used

    @property
    def connections(self) -> int:
        return len(self._holdings)

    @property
    def has_timed(self) -> bool:
        """Return whether a connection can run into a time limit."""
        return self._timed > 0

    def open(self, connection: ids.ConnectionId, now: float) -> list[Closing]:
        """Add a connection; return those to close in its favour."""
        closings = []
        if len(self._holdings) >= self._limits.connections:
            closings = self._close_for_number()
        self._holdings[connection] = _Holding(Phase.IDLE, 0, now, now)
        if not closings and len(self._holdings) > self._limits.connections:
            return [Closing(connection, Reason.CONNECTIONS)]
        return closings

    def close(self, connection: ids.ConnectionId) -> None:
        """Remove a connection that has ended."""
        holding = self._holdings.pop(connection, None)
        if holding is None:
            return
        self._used -= holding.held
        self._timed -= holding.phase in _TIMED_PHASES

    def record(
        self, connection: ids.ConnectionId, phase: Phase, held: int, now: float
    ) -> list[Closing]:
        """Record what a connection holds; return those to close."""
        holding = self._holdings.get(connection)
        if holding is None:
            return []
        if phase is not holding.phase:
            self._timed += (phase in _TIMED_PHASES) - (
                holding.phase in _TIMED_PHASES
            )
            # The time limit of a request counts from its first byte.
            if phase is not _BODY or holding.phase is not _HEAD:
                holding.began_at = now
            holding.phase = phase
        holding.progress_at = now
        grown = held - holding.held
        holding.held = held
        self._used += grown
        if grown <= 0 or held <= SMALL_BYTES:
            return []
        return self._close_for_memory(now)

    def expire(self, now: float) -> list[Closing]:
        """Return the connections that have reached a time limit."""
        closings = []
        for connection, holding in self._holdings.items():
            reason = self._find_expiry(holding, now)
            if reason is not None:
                closings.append(Closing(connection, reason))
        return closings

    def _find_expiry(self, holding: _Holding, now: float) -> Reason | None:
        limits = self._limits
        age_s = now - holding.began_at
        stalled_s = now - holding.progress_at
        if holding.phase is Phase.HEAD and age_s >= limits.head_s:
            return Reason.SLOW_HEAD
        if holding.phase is Phase.BODY and (
            age_s >= limits.request_s or stalled_s >= limits.stall_s
        ):
            return Reason.SLOW_BODY
        if holding.phase is Phase.ANSWERING and stalled_s >= limits.stall_s:
            return Reason.UNREAD_ANSWER
        return None

    def _close_for_number(self) -> list[Closing]:
        """Give up those that are quiet for longest, of the first kind."""
        wanted = 1 + int(self._limits.connections * FREED_SHARE / 4)
        for phases in _CLOSED_FOR_NUMBER:
            found = [
                (holding.progress_at, connection)
                for connection, holding in self._holdings.items()
                if holding.phase in phases
            ]
            if found:
                found.sort()
                return self._remove(
                    [item for _, item in found[:wanted]], Reason.CONNECTIONS
                )
        return []

    def _close_for_memory(self, now: float) -> list[Closing]:
        """Give up stalled connections first, then those that hold most."""
        if self._used <= self._limits.memory:
            return []
        closed = []
        excess = self._used - self._limits.memory * (1 - FREED_SHARE)
        for phases in _CLOSED_FOR_MEMORY:
            found = [
                (
                    now - holding.progress_at < PROGRESS_S,
                    -holding.held,
                    connection,
                )
                for connection, holding in self._holdings.items()
                if holding.phase in phases and holding.held
            ]
            found.sort()
            for _, held, connection in found:
                if excess <= 0:
                    break
                excess += held
                closed.append(connection)
        return self._remove(closed, Reason.MEMORY)

    def _remove(
        self, connections: list[ids.ConnectionId], reason: Reason
    ) -> list[Closing]:
        for connection in connections:
            self.close(connection)
        return [Closing(connection, reason) for connection in connections]
