"""What an incoming connection of the inner protocol holds."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from orioleshore.intake import budget
from orioleshore.intake import gate as intake_gate

# Fewer unread bytes are not reported, so that ordinary messages cost nothing;
# the charge for a connection includes them.
REPORTED_BYTES = 16_384
# A frame is copied while its buffer grows and once it is whole.
COPIES = 2
# Receives the reader and the writer of a connection, and its protocol.
ServeCallback = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, 'IncomingPeer'],
    Awaitable[None],
]


class IncomingPeer(asyncio.StreamReaderProtocol):
    """Reports one incoming connection to the gate of the process.

    The connection is aborted when the gate decides so; its sender connects
    again and repeats what was not answered.
    """

    def __init__(self, gate: intake_gate.Gate, serve: ServeCallback) -> None:
        reader = asyncio.StreamReader()
        super().__init__(
            reader, lambda reader, writer: serve(reader, writer, self)
        )
        self._gate = gate
        # Bytes that have arrived and are not read yet.
        self._unread = reader._buffer
        self._phase = budget.Phase.IDLE
        self._connection = None
        self._is_closed_early = False
        self._peer_transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._peer_transport = transport
        self._connection = self._gate.open(self._close_early)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection."""
        self._gate.close(self._connection)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes, and report them if they are many.

        Whole frames wait here as well until the reader runs, so an announced
        length costs nothing.
        """
        if self._is_closed_early:
            return
        super().data_received(data)
        if len(self._unread) > REPORTED_BYTES:
            self._phase = budget.Phase.BODY
            self._gate.record(
                self._connection, self._phase, COPIES * len(self._unread)
            )

    def report_message(self) -> None:
        """Report that a whole and valid message was received."""
        if self._phase is budget.Phase.PEER:
            return
        self._phase = budget.Phase.PEER
        self._gate.record(
            self._connection, self._phase, COPIES * len(self._unread)
        )

    def _close_early(self, reason: budget.Reason) -> None:
        if self._is_closed_early:
            return
        self._is_closed_early = True
        self._gate.report(
            reason, self._peer_transport.get_extra_info('peername')
        )
        self._unread.clear()
        self._peer_transport.abort()
