"""Conversion between messages and their Thrift encoding."""

from typing import Any

from result import Err
from result import Ok
from result import Result
from thrift import Thrift
from thrift import TSerialization
from thrift.protocol import TBinaryProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport

from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.protocol import messages
from orioleshore.protocol.gen.wire import ttypes

MAX_STRING_BYTES = 1_048_576
MAX_CONTAINER_ITEMS = 65_536

_PROTOCOL_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES,
    container_length_limit=MAX_CONTAINER_ITEMS,
)

_KINDS_BY_TYPE = {
    messages.PreVote: ttypes.Kind.PRE_VOTE,
    messages.PreVoteReply: ttypes.Kind.PRE_VOTE_REPLY,
    messages.Vote: ttypes.Kind.VOTE,
    messages.VoteReply: ttypes.Kind.VOTE_REPLY,
    messages.Append: ttypes.Kind.APPEND,
    messages.AppendReply: ttypes.Kind.APPEND_REPLY,
    messages.SnapshotChunk: ttypes.Kind.SNAPSHOT_CHUNK,
    messages.SnapshotReply: ttypes.Kind.SNAPSHOT_REPLY,
    messages.Release: ttypes.Kind.RELEASE,
    messages.Propose: ttypes.Kind.PROPOSE,
    messages.ProposeReply: ttypes.Kind.PROPOSE_REPLY,
    messages.Query: ttypes.Kind.QUERY,
    messages.QueryReply: ttypes.Kind.QUERY_REPLY,
    messages.Subscribe: ttypes.Kind.SUBSCRIBE,
    messages.ConfigDelta: ttypes.Kind.CONFIG_DELTA,
    messages.VersionReport: ttypes.Kind.VERSION_REPORT,
    messages.Probe: ttypes.Kind.PROBE,
    messages.ProbeAck: ttypes.Kind.PROBE_ACK,
    messages.IndirectProbe: ttypes.Kind.INDIRECT_PROBE,
    messages.SlotRequest: ttypes.Kind.SLOT_REQUEST,
    messages.SlotGrant: ttypes.Kind.SLOT_GRANT,
    messages.SlotReturn: ttypes.Kind.SLOT_RETURN,
    messages.Announce: ttypes.Kind.ANNOUNCE,
    messages.AnnounceAck: ttypes.Kind.ANNOUNCE_ACK,
    messages.GroupAddresses: ttypes.Kind.GROUP_ADDRESSES,
}

_TYPES_BY_KIND = {kind: message for message, kind in _KINDS_BY_TYPE.items()}

# Types of the elements of list fields, by field name.
_ELEMENT_TYPES = {
    'entries': messages.Entry,
    'rumours': messages.Rumour,
}

_DECODE_ERRORS = (
    EOFError,
    *decoding.DATA_ERRORS,
    Thrift.TException,
    TProtocol.TProtocolException,
    TTransport.TTransportException,
)


def encode(header: messages.Header, message: Any) -> bytes:
    """Return the encoded envelope with a message."""
    envelope = ttypes.Envelope(
        protocol_version=messages.PROTOCOL_VERSION,
        sender=header.sender,
        incarnation=header.incarnation,
        kind=_KINDS_BY_TYPE[type(message)],
        correlation=header.correlation,
        body=TSerialization.serialize(_to_wire(message), _PROTOCOL_FACTORY),
        reply_address=header.reply_address,
        recipient=header.recipient,
    )
    return TSerialization.serialize(envelope, _PROTOCOL_FACTORY)


def decode(data: bytes) -> Result[messages.Received, errors.Failure]:
    """Return the message of an envelope.

    Fails with ``PROTOCOL_ERROR`` when the data is malformed or the kind of
    the message is unknown.
    """
    try:
        envelope = TSerialization.deserialize(
            ttypes.Envelope(), data, _PROTOCOL_FACTORY
        )
        message_type = _TYPES_BY_KIND.get(envelope.kind)
        if message_type is None:
            return _make_error(f'unknown message kind {envelope.kind}')
        wire = getattr(ttypes, message_type.__name__)()
        TSerialization.deserialize(wire, envelope.body, _PROTOCOL_FACTORY)
        message = _from_wire(wire, message_type)
    except _DECODE_ERRORS as error:
        return _make_error(f'malformed message: {error}')
    if not envelope.sender or envelope.correlation is None:
        return _make_error('the envelope lacks a sender or a correlation')
    header = messages.Header(
        envelope.sender,
        envelope.incarnation or 0,
        envelope.correlation,
        envelope.reply_address or '',
        envelope.recipient or 0,
    )
    return Ok(messages.Received(header, message))


def _to_wire(message: Any) -> Any:
    wire = getattr(ttypes, type(message).__name__)()
    for field in message.__struct_fields__:
        value = getattr(message, field)
        if field in _ELEMENT_TYPES:
            value = [_to_wire(element) for element in value]
        elif isinstance(value, tuple):
            value = list(value)
        setattr(wire, field, value)
    return wire


def _from_wire(wire: Any, message_type: type) -> Any:
    values = {}
    for field in message_type.__struct_fields__:
        value = getattr(wire, field)
        if value is None:
            raise ValueError(f'{message_type.__name__}.{field} is missing')
        if field in _ELEMENT_TYPES:
            element_type = _ELEMENT_TYPES[field]
            value = tuple(_from_wire(item, element_type) for item in value)
        elif isinstance(value, list):
            value = tuple(value)
        values[field] = value
    return message_type(**values)


def _make_error(message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(errors.ErrorKind.PROTOCOL_ERROR, message))
