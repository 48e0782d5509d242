"""Checks the addresses in received messages, which other processes choose."""

import functools
from typing import Any

import msgspec

from orioleshore.model import addresses
from orioleshore.model import decoding
from orioleshore.protocol import messages
from orioleshore.telemetry import odd_entries


def check_addresses(
    received: messages.Received, odd: odd_entries.OddEntryLog
) -> messages.Received | None:
    """Return a message without malformed addresses.

    A malformed address counts as unknown; None means that the message serves
    no purpose without it.
    """
    message = _check_message(received.message, odd)
    if message is None:
        return None
    header = received.header
    reply_address = _check_address(header.reply_address, odd)
    if message is received.message and reply_address == header.reply_address:
        return received
    header = msgspec.structs.replace(header, reply_address=reply_address)
    return messages.Received(header, message)


def _check_address(text: str, odd: odd_entries.OddEntryLog) -> str:
    """Return the address, or an empty text if it is malformed."""
    if not text:
        return ''
    try:
        addresses.parse_address(text)
    except decoding.DecodingError as error:
        odd.report(odd_entries.EntryList.ADDRESSES, text, error)
        return ''
    return text


@functools.singledispatch
def _check_message(message: Any, odd: odd_entries.OddEntryLog) -> Any:
    return message


@_check_message.register(messages.ProposeReply)
@_check_message.register(messages.QueryReply)
def _(
    message: messages.ProposeReply | messages.QueryReply,
    odd: odd_entries.OddEntryLog,
) -> messages.ProposeReply | messages.QueryReply:
    leader = _check_address(message.leader, odd)
    if leader == message.leader:
        return message
    return msgspec.structs.replace(message, leader=leader)


@_check_message.register
def _(
    message: messages.GroupAddresses, odd: odd_entries.OddEntryLog
) -> messages.GroupAddresses | None:
    checked = [_check_address(member, odd) for member in message.members]
    members = tuple(member for member in checked if member)
    leader = _check_address(message.leader, odd)
    if not members and not leader:
        return None
    return messages.GroupAddresses(message.term, leader, members)


@_check_message.register
def _(
    message: messages.IndirectProbe, odd: odd_entries.OddEntryLog
) -> messages.IndirectProbe | None:
    is_usable = bool(_check_address(message.subject_address, odd))
    return message if is_usable else None
