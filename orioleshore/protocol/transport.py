"""Tasks that own the connections between the system's processes."""

import asyncio
import logging
import random
import socket
from typing import Any

import msgspec

from orioleshore import settings
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.protocol import codec
from orioleshore.protocol import framing
from orioleshore.protocol import messages
from orioleshore.protocol import tls
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 4_096
PEER_CAPACITY = 1_024
CONNECT_TIMEOUT_S = 1.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# An idle or cut-off peer must not hold a frame for longer than an election.
WRITE_TIMEOUT_S = 2.0
# Time for a new connection to prove itself by its first frame.
FIRST_FRAME_TIMEOUT_S = 5.0


class SendTo(msgspec.Struct, frozen=True):
    """Asks the transport to send a message to an inner address."""

    address: str
    message: Any
    correlation: int = 0


class _Peer:
    """One outgoing connection with its bounded queue of frames."""

    def __init__(self, address: str, contexts: tls.TlsContexts | None) -> None:
        self._address = address
        self._contexts = contexts
        self._frames = mailbox.Mailbox(
            f'peer {address}', PEER_CAPACITY, mailbox.Overflow.DROP_OLDEST
        )
        self._task = asyncio.create_task(self._run(), name=f'peer {address}')

    @property
    def queue_length(self) -> int:
        return len(self._frames)

    def put(self, frame: bytes) -> None:
        """Queue a frame, dropping the oldest one when full."""
        self._frames.put(frame)

    async def stop(self) -> None:
        """Close the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            frame = await self._frames.get()
            writer = await self._connect()
            if writer is None:
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            backoff_s = MIN_BACKOFF_S
            try:
                await self._write_all(writer, frame)
            finally:
                writer.close()

    async def _connect(self) -> asyncio.StreamWriter | None:
        host, port = settings.parse_address(self._address)
        try:
            context = self._contexts and self._contexts.get_client()
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(host, port, ssl=context),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError) as error:
            LOG.debug(
                logs.format_event(
                    'peer_unreachable', address=self._address, error=error
                )
            )
            return None
        return writer

    async def _write_all(
        self, writer: asyncio.StreamWriter, frame: bytes | None
    ) -> None:
        """Write frames until the connection fails."""
        try:
            while True:
                while frame is not None:
                    writer.write(frame)
                    frame = self._frames.get_nowait()
                await asyncio.wait_for(writer.drain(), WRITE_TIMEOUT_S)
                frame = await self._frames.get()
                if writer.transport.is_closing():
                    return
        except (OSError, TimeoutError) as error:
            LOG.info(
                logs.format_event(
                    'peer_connection_lost', address=self._address, error=error
                )
            )


class Transport(task.Task):
    """Sends messages to peers and delivers theirs to mailboxes.

    Each process listens on its inner address and opens one connection to
    every peer that it sends to, so a connection carries one direction.
    """

    def __init__(
        self,
        node: ids.NodeId,
        address: str,
        incarnation: ids.Incarnation,
        tls_files: settings.Tls | None = None,
    ) -> None:
        super().__init__(
            mailbox.Mailbox(
                'transport', MAILBOX_CAPACITY, mailbox.Overflow.DROP_OLDEST
            )
        )
        self._node = node
        self._address = address
        self._incarnation = incarnation
        self._contexts = tls.TlsContexts(tls_files) if tls_files else None
        self._receivers: dict[type, mailbox.Mailbox] = {}
        self._peers: dict[str, _Peer] = {}
        self._server: asyncio.Server | None = None
        self._sessions: set[asyncio.Task] = set()
        self._received = 0
        self._received_bytes = 0
        self._sent = 0
        self._sent_bytes = 0

    @property
    def address(self) -> str:
        return self._address

    @property
    def counters(self) -> dict[str, int]:
        return {
            'received_messages': self._received,
            'received_bytes': self._received_bytes,
            'sent_messages': self._sent,
            'sent_bytes': self._sent_bytes,
        }

    def register(
        self, receiver: mailbox.Mailbox, *message_types: type
    ) -> None:
        """Deliver messages of these types to a mailbox, as ``Received``."""
        for message_type in message_types:
            self._receivers[message_type] = receiver

    async def open(self) -> None:
        """Listen on the inner address; port 0 is replaced by the real one."""
        host, port = settings.parse_address(self._address)
        context = self._contexts and self._contexts.get_server()
        self._server = await asyncio.start_server(
            self._serve, host, port, ssl=context, family=socket.AF_UNSPEC
        )
        bound = self._server.sockets[0].getsockname()
        self._address = f'{host}:{bound[1]}'

    async def handle(self, message: SendTo) -> None:
        """Send one message."""
        header = messages.Header(
            self._node, self._incarnation, message.correlation, self._address
        )
        frame = framing.pack_frame(codec.encode(header, message.message))
        peer = self._peers.get(message.address)
        if peer is None:
            peer = _Peer(message.address, self._contexts)
            self._peers[message.address] = peer
        self._sent += 1
        self._sent_bytes += len(frame)
        peer.put(frame)

    async def close(self) -> None:
        """Close all connections."""
        for peer in self._peers.values():
            await peer.stop()
        if self._server is not None:
            self._server.close()
        for session in self._sessions:
            session.cancel()
        await asyncio.gather(*self._sessions, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = asyncio.current_task()
        self._sessions.add(session)
        try:
            failure = await self._read_all(reader, writer)
            if failure.kind is errors.ErrorKind.PROTOCOL_ERROR:
                LOG.warning(
                    logs.format_event(
                        'connection_refused',
                        peer=writer.get_extra_info('peername'),
                        error=failure.message,
                    )
                )
        except asyncio.CancelledError:
            LOG.debug(logs.format_event('connection_closed_by_stop'))
        finally:
            self._sessions.discard(session)
            writer.close()

    async def _read_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> errors.Failure:
        """Deliver messages until the connection ends, and say why."""
        proven_name = None
        if self._contexts is not None:
            proven_name = tls.get_peer_name(writer.get_extra_info('peercert'))
        timeout_s: float | None = FIRST_FRAME_TIMEOUT_S
        while True:
            try:
                frame = await asyncio.wait_for(
                    framing.read_frame(reader), timeout_s
                )
            except TimeoutError:
                return _refuse('no frame arrived after connecting')
            timeout_s = None
            outcome = frame.and_then(codec.decode)
            if outcome.is_err():
                return outcome.unwrap_err()
            received = outcome.unwrap()
            if self._contexts is not None and (
                received.header.sender != proven_name
            ):
                return _refuse(
                    f'sender {received.header.sender!r} presented the '
                    f'certificate of {proven_name!r}'
                )
            self._received += 1
            self._received_bytes += len(frame.unwrap())
            self._deliver(received)

    def _deliver(self, received: messages.Received) -> None:
        receiver = self._receivers.get(type(received.message))
        if receiver is None:
            LOG.debug(
                logs.format_event(
                    'message_without_receiver',
                    sender=received.header.sender,
                    kind=type(received.message).__name__,
                )
            )
            return
        receiver.put(received)


def _refuse(message: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.PROTOCOL_ERROR, message)
