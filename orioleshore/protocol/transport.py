"""Task that owns the connections between the processes of the system."""

import asyncio
import functools
import logging
import socket
from typing import Any

import msgspec

from orioleshore import settings
from orioleshore.intake import gate as intake_gate
from orioleshore.intake import limits as intake_limits
from orioleshore.model import addresses
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.protocol import codec
from orioleshore.protocol import framing
from orioleshore.protocol import messages
from orioleshore.protocol import outgoing
from orioleshore.protocol import peers
from orioleshore.protocol import received_addresses
from orioleshore.protocol import tls
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.telemetry import odd_entries

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 4_096
# Time in which a new connection has to send its first frame.
FIRST_FRAME_TIMEOUT_S = 5.0
# Longer than the idle timeout of the sender, so that this side closes only
# connections of hosts that vanished.
IDLE_TIMEOUT_S = 1.5 * outgoing.IDLE_TIMEOUT_S


class SendTo(msgspec.Struct, frozen=True):
    """Requests that the transport sends a message to an inner address.

    ``recipient`` is the incarnation of the process that a reply is meant for,
    0 for any process at the address.
    """

    address: str
    message: Any
    correlation: int = 0
    recipient: ids.Incarnation = ids.UNKNOWN_INCARNATION


class PeerConnectionEnded(msgspec.Struct, frozen=True):
    """Reports that the connection to an address was closed when idle."""

    address: str


class Transport(task.Task):
    """Sends messages to peers and delivers received ones to mailboxes.

    Each process listens on its inner address and opens one connection to
    every peer that it sends to, so each connection carries messages in one
    direction only.
    """

    def __init__(
        self,
        node: ids.NodeId,
        address: str,
        incarnation: ids.Incarnation,
        tls_files: settings.Tls | None = None,
        gate: intake_gate.Gate | None = None,
    ) -> None:
        super().__init__(
            mailbox.Mailbox(
                'transport', MAILBOX_CAPACITY, mailbox.Overflow.DROP_OLDEST
            )
        )
        self._node = node
        self._address = address
        self._incarnation = incarnation
        self._tls_contexts = tls.TlsContexts(tls_files) if tls_files else None
        self._gate = gate or intake_limits.make_default_gate()
        self._receivers: dict[type, mailbox.Mailbox] = {}
        self._outgoing_connections: dict[str, outgoing.Connection] = {}
        self._server: asyncio.Server | None = None
        self._incoming_connections: set[asyncio.Task] = set()
        self._received_messages = 0
        self._received_bytes = 0
        self._sent_messages = 0
        self._sent_bytes = 0
        self._refused_connections = 0
        # Replies to a process that used this address before.
        self._misdirected_replies = 0
        # Frames dropped by connections that have ended.
        self._dropped_frames = 0
        self._odd_entries = odd_entries.OddEntryLog()

    @property
    def odd_entries(self) -> odd_entries.OddEntryLog:
        return self._odd_entries

    @property
    def address(self) -> str:
        return self._address

    @property
    def counters(self) -> dict[str, int]:
        return {
            'received_messages': self._received_messages,
            'received_bytes': self._received_bytes,
            'sent_messages': self._sent_messages,
            'sent_bytes': self._sent_bytes,
            'refused_connections': self._refused_connections,
            'misdirected_replies': self._misdirected_replies,
            'outgoing_connections': len(self._outgoing_connections),
            'incoming_connections': len(self._incoming_connections),
            'queued_frames': sum(
                connection.queue_length
                for connection in self._outgoing_connections.values()
            ),
            'dropped_frames': self._dropped_frames
            + sum(
                connection.dropped_frames
                for connection in self._outgoing_connections.values()
            ),
        }

    def register(
        self, receiver: mailbox.Mailbox, *message_types: type
    ) -> None:
        """Deliver messages of these types to a mailbox, as ``Received``."""
        for message_type in message_types:
            self._receivers[message_type] = receiver

    async def open(self) -> None:
        """Listen on the inner address.

        Port 0 is replaced by the port that the kernel assigned.
        """
        host, port = addresses.parse_listening_address(self._address)
        context = (
            self._tls_contexts and self._tls_contexts.get_server_context()
        )
        self._server = await asyncio.get_running_loop().create_server(
            lambda: peers.IncomingPeer(self._gate, self._serve_connection),
            host,
            port,
            ssl=context,
            family=socket.AF_UNSPEC,
        )
        bound = self._server.sockets[0].getsockname()
        self._address = f'{host}:{bound[1]}'

    async def handle(self, message: Any) -> None:
        """Send one message, or remove an ended connection."""
        _handle_message(message, self)

    def _send_message(self, message: SendTo) -> None:
        header = messages.Header(
            self._node,
            self._incarnation,
            message.correlation,
            self._address,
            message.recipient,
        )
        if not message.address:
            # A reply to a process whose own address was odd, which is logged
            # when it is received.
            LOG.debug(
                logs.format_event(
                    'message_without_address',
                    kind=type(message.message).__name__,
                )
            )
            return
        try:
            address = addresses.parse_address(message.address)
            frame = framing.pack_frame(codec.encode(header, message.message))
        except ValueError as error:
            LOG.error(
                logs.format_event(
                    'message_not_sent',
                    address=message.address,
                    kind=type(message.message).__name__,
                    error=error,
                )
            )
            return
        self._sent_messages += 1
        self._sent_bytes += len(frame)
        self._get_connection(message.address, address).put(frame)

    def _get_connection(
        self, address: str, target: addresses.Address
    ) -> outgoing.Connection:
        connection = self._outgoing_connections.get(address)
        if connection is not None and not connection.is_ended:
            return connection
        self._remove_ended_connection(address)
        connection = outgoing.Connection(
            target,
            self._tls_contexts,
            lambda: self.mailbox.put(PeerConnectionEnded(address)),
        )
        self._outgoing_connections[address] = connection
        return connection

    def _remove_ended_connection(self, address: str) -> None:
        connection = self._outgoing_connections.get(address)
        if connection is not None and connection.is_ended:
            self._dropped_frames += connection.dropped_frames
            del self._outgoing_connections[address]

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._outgoing_connections.values():
            await connection.stop()
        if self._server is not None:
            self._server.close()
        for connection_task in self._incoming_connections:
            connection_task.cancel()
        await asyncio.gather(
            *self._incoming_connections, return_exceptions=True
        )

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        incoming: peers.IncomingPeer,
    ) -> None:
        connection_task = asyncio.current_task()
        self._incoming_connections.add(connection_task)
        try:
            failure = await self._read_messages(reader, writer, incoming)
            if failure.kind is errors.ErrorKind.PROTOCOL_ERROR:
                self._refused_connections += 1
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
            self._incoming_connections.discard(connection_task)
            writer.transport.abort()

    async def _read_messages(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        incoming: peers.IncomingPeer,
    ) -> errors.Failure:
        """Deliver messages until the connection ends; return the reason."""
        certificate_name = None
        if self._tls_contexts is not None:
            certificate_name = tls.get_peer_name(
                writer.get_extra_info('peercert')
            )
        timeout_s = FIRST_FRAME_TIMEOUT_S
        is_first_frame = True
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    frame = await framing.read_frame(reader)
            except TimeoutError:
                return _make_protocol_error(
                    f'no complete frame arrived within {timeout_s:g} s'
                )
            timeout_s = IDLE_TIMEOUT_S
            outcome = frame.and_then(codec.decode)
            if outcome.is_err():
                return outcome.unwrap_err()
            received = outcome.unwrap()
            if self._tls_contexts is not None and (
                received.header.sender != certificate_name
            ):
                return _make_protocol_error(
                    f'sender {received.header.sender!r} presented the '
                    f'certificate of {certificate_name!r}'
                )
            incoming.report_message()
            if is_first_frame:
                self._report_contact(received.header)
                is_first_frame = False
            self._received_messages += 1
            self._received_bytes += len(frame.unwrap())
            if not self._is_recipient(received):
                continue
            checked = received_addresses.check_addresses(
                received, self._odd_entries
            )
            if checked is not None:
                self._deliver(checked)

    def _report_contact(self, header: messages.Header) -> None:
        """Tell the connection to a peer that the peer has just connected."""
        connection = self._outgoing_connections.get(header.reply_address)
        if connection is not None:
            connection.handle_contact(header.incarnation)

    def _is_recipient(self, received: messages.Received) -> bool:
        """Return whether a message is meant for this process.

        Replies to the previous process at this address wait at their senders
        until this one listens, with numbers that it uses for its own calls.
        """
        header = received.header
        if header.recipient in (ids.UNKNOWN_INCARNATION, self._incarnation):
            return True
        self._misdirected_replies += 1
        LOG.info(
            logs.format_event(
                'reply_misdirected',
                sender=header.sender,
                kind=type(received.message).__name__,
                correlation=header.correlation,
                recipient=header.recipient,
            )
        )
        return False

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


def build_reply(header: messages.Header, message: Any) -> SendTo:
    """Return a reply to the process that sent a message with ``header``."""
    return SendTo(
        header.reply_address, message, header.correlation, header.incarnation
    )


def _make_protocol_error(message: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.PROTOCOL_ERROR, message)


@functools.singledispatch
def _handle_message(message: Any, sender: Transport) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: SendTo, sender: Transport) -> None:
    sender._send_message(message)


@_handle_message.register
def _(message: PeerConnectionEnded, sender: Transport) -> None:
    sender._remove_ended_connection(message.address)
