"""Handlers of the messages to a control member."""

import functools
import logging
from typing import Any

from result import Ok

from orioleshore.consensus import events
from orioleshore.consensus import leader_tasks
from orioleshore.consensus import member_calls
from orioleshore.consensus import member_core
from orioleshore.consensus import member_messages
from orioleshore.consensus import requests
from orioleshore.consensus import validation
from orioleshore.jobs import calls as job_calls
from orioleshore.membership import events as membership_events
from orioleshore.model import changes
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.state import answers
from orioleshore.state import feed
from orioleshore.state import queries
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)


@functools.singledispatch
def handle_message(
    message: Any, core: member_core.MemberCore
) -> list[events.Action]:
    """Handle a message of the mailbox and return the resulting actions."""
    raise TypeError(f'unknown message {type(message).__name__}')


@handle_message.register
def _(
    message: service.TimerFired, core: member_core.MemberCore
) -> list[events.Action]:
    return core.handle_event(events.Tick())


@handle_message.register
def _(
    message: messages.Received, core: member_core.MemberCore
) -> list[events.Action]:
    return _handle_remote_message(message.message, core, message)


@handle_message.register
def _(
    message: member_messages.GetMemberStatus, core: member_core.MemberCore
) -> list[events.Action]:
    message.answer.resolve(Ok(core.get_status()))
    return []


@handle_message.register
def _(
    message: member_messages.GetGroupAddresses, core: member_core.MemberCore
) -> list[events.Action]:
    message.answer.resolve(Ok(core.get_group_addresses()))
    return []


@handle_message.register
def _(
    message: member_messages.GetMemberMetrics, core: member_core.MemberCore
) -> list[events.Action]:
    message.answer.resolve(Ok(core.get_metrics()))
    return []


@handle_message.register
def _(
    message: member_messages.GetMemberDump, core: member_core.MemberCore
) -> list[events.Action]:
    message.answer.resolve(Ok(core.get_dump()))
    return []


@handle_message.register
def _(
    message: member_messages.SubmitCommand, core: member_core.MemberCore
) -> list[events.Action]:
    token = core.calls.add(member_calls.LocalCall(message.answer))
    if message.command is None:
        return core.handle_event(events.ReadRequested(token))
    try:
        data = requests.encode(message.command)
    except (OverflowError, ValueError) as error:
        data = member_calls.build_failure(
            errors.ErrorKind.INVALID_REQUEST, str(error)
        )
    if data.is_err():
        core.answer_call(token, data)
        return []
    return core.handle_event(events.ProposeRequested(token, data.unwrap()))


@handle_message.register
def _(
    message: member_messages.TransferLeadership, core: member_core.MemberCore
) -> list[events.Action]:
    message.answer.resolve(Ok(core.is_leader))
    return core.handle_event(events.LeadershipTransferRequested())


@handle_message.register
def _(
    message: member_messages.ResendState, core: member_core.MemberCore
) -> list[events.Action]:
    leader_tasks.resend_ledger(core)
    return []


@handle_message.register
def _(
    message: membership_events.PeersChanged, core: member_core.MemberCore
) -> list[events.Action]:
    _update_peer_states(core, message)
    return []


@functools.singledispatch
def _handle_remote_message(
    message: Any, core: member_core.MemberCore, received: messages.Received
) -> list[events.Action]:
    """Handle a message of another process; the default is a Raft message."""
    problem = validation.find_problem(message)
    if problem:
        LOG.warning(
            logs.format_event(
                'peer_message_malformed',
                sender=received.header.sender,
                kind=type(message).__name__,
                problem=problem,
            )
        )
        return []
    core.store_peer_address(received.header)
    return core.handle_event(
        events.MessageReceived(received.header.sender, message)
    )


@_handle_remote_message.register
def _(
    message: messages.Propose,
    core: member_core.MemberCore,
    received: messages.Received,
) -> list[events.Action]:
    try:
        request = requests.check(message.command)
    except decoding.DecodingError as error:
        failure = member_calls.build_failure(
            errors.ErrorKind.PROTOCOL_ERROR, str(error)
        )
        core.calls.send_reply(received.header, answers.pack_reply(failure))
        return []
    token = core.calls.add(member_calls.RemoteCall(received.header))
    if isinstance(request, requests.ChangeMembers):
        return _change_members(core, token, request)
    return core.handle_event(events.ProposeRequested(token, message.command))


@_handle_remote_message.register
def _(
    message: messages.Query,
    core: member_core.MemberCore,
    received: messages.Received,
) -> list[events.Action]:
    if message.subject == job_calls.SUBJECT:
        leader_tasks.forward_jobs_call(core, received)
        return []
    try:
        query = queries.decode_query(message.parameters)
    except decoding.DecodingError as error:
        failure = member_calls.build_failure(
            errors.ErrorKind.PROTOCOL_ERROR, str(error)
        )
        core.answer_query(received.header, failure)
        return []
    token = core.calls.add(member_calls.RemoteCall(received.header, query))
    return core.handle_event(events.ReadRequested(token))


@_handle_remote_message.register
def _(
    message: messages.Subscribe,
    core: member_core.MemberCore,
    received: messages.Received,
) -> list[events.Action]:
    _add_subscriber(core, received)
    return []


@_handle_remote_message.register
def _(
    message: messages.VersionReport,
    core: member_core.MemberCore,
    received: messages.Received,
) -> list[events.Action]:
    core.feed.handle(
        feed.VersionReported(received.header.sender, message.version)
    )
    return []


def _change_members(
    core: member_core.MemberCore, token: int, request: requests.ChangeMembers
) -> list[events.Action]:
    """Start a membership change, or confirm one that is in force.

    A caller that lost the answer repeats its request.
    """
    if core.is_leader and request.is_in_force(core.raft.members):
        core.answer_call(token, Ok(None))
        return []
    return core.handle_event(
        events.MembersChangeRequested(
            token, request.added_member, request.remove
        )
    )


def _add_subscriber(
    core: member_core.MemberCore, received: messages.Received
) -> None:
    known = {section.value for section in changes.Section}
    sections = frozenset(
        changes.Section(name)
        for name in received.message.sections
        if name in known
    )
    core.send_updates(
        core.feed.handle(
            feed.Subscribed(
                received.header.sender,
                received.header.reply_address,
                received.message.version,
                sections,
            )
        )
    )


def _update_peer_states(
    core: member_core.MemberCore, change: membership_events.PeersChanged
) -> None:
    core.peer_states = {
        node: peer.state for node, peer in change.peers.items()
    }
    for node, state in core.peer_states.items():
        if state is states.PeerState.LEFT:
            core.feed.handle(feed.NodeGone(node))
