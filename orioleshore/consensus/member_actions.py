"""Actions of a control member that need no sync."""

import functools
import logging
from typing import Any

from result import Ok
from result import Result

from orioleshore.consensus import events
from orioleshore.consensus import leader_tasks
from orioleshore.consensus import member_calls
from orioleshore.consensus import member_core
from orioleshore.consensus import member_messages
from orioleshore.consensus import member_reads
from orioleshore.consensus import requests
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.state import commands
from orioleshore.state import feed
from orioleshore.state import machine
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)


@functools.singledispatch
def perform_action(action: Any, core: member_core.MemberCore) -> None:
    """Perform an action that needs no sync."""
    raise TypeError(f'unknown action {type(action).__name__}')


@perform_action.register
def _(action: events.Persist, core: member_core.MemberCore) -> None:
    """Do nothing: the entries were written before."""


@perform_action.register
def _(action: events.Send, core: member_core.MemberCore) -> None:
    # A joining member has no member list yet, and the list of a lagging one is
    # out of date, so replies use the address that the sender gave.
    address = action.address or core.peer_addresses.get(action.to)
    if address:
        core.sender.put(transport.SendTo(address, action.message))


@perform_action.register
def _(action: events.Apply, core: member_core.MemberCore) -> None:
    _apply_entries(core, action.entries)
    # The first entry of a term is a barrier or member list. Later membership
    # changes in the same term find the leader tasks started.
    if (core.is_leader and not core.has_started_leader_tasks) and any(
        entry.kind != events.EntryKind.COMMAND and entry.term == core.raft.term
        for entry in action.entries
    ):
        leader_tasks.start_leader_tasks(core)


@perform_action.register
def _(action: events.Accepted, core: member_core.MemberCore) -> None:
    core.calls.accept(action.token, action.index, action.term)


@perform_action.register
def _(action: events.ReadReady, core: member_core.MemberCore) -> None:
    core.ready_reads.append((action.token, action.index))
    member_reads.answer_ready_reads(core)


@perform_action.register
def _(action: events.Refuse, core: member_core.MemberCore) -> None:
    core.answer_call(
        action.token,
        member_calls.build_failure(action.kind, action.message),
    )


@perform_action.register
def _(action: events.RoleChanged, core: member_core.MemberCore) -> None:
    _change_role(core, action)


@perform_action.register
def _(action: events.MembersChanged, core: member_core.MemberCore) -> None:
    LOG.info(
        logs.format_event(
            'members_changed',
            members=[m.name for m in action.members.members],
            voters=[m.name for m in action.members.members if m.voter],
        )
    )


@perform_action.register
def _(action: events.StampMismatch, core: member_core.MemberCore) -> None:
    LOG.warning(
        logs.format_event(
            'member_with_other_files', member=action.name, stamp=action.stamp
        )
    )


def _apply_entries(
    core: member_core.MemberCore, entries: tuple[messages.Entry, ...]
) -> None:
    for entry in entries:
        _apply_entry(core, entry)
        core.applied_index = entry.index
    member_reads.answer_ready_reads(core)


def _apply_entry(core: member_core.MemberCore, entry: messages.Entry) -> None:
    outcome: Result[Any, errors.Failure] = Ok(None)
    if entry.kind == events.EntryKind.COMMAND:
        command = requests.decode(entry.data)
        version = core.state.version
        outcome = machine.apply_command(command, core.state)
        _publish_command(core, command, version)
    token = core.calls.take_accepted(entry.index, entry.term)
    if token is not None:
        core.answer_call(token, outcome)


def _publish_command(
    core: member_core.MemberCore,
    command: commands.Command,
    version: ids.Version,
) -> None:
    if isinstance(command, commands.RecordProgress):
        return
    if core.is_leader and core.manager is not None:
        outcome = core.manager.put(member_messages.CommandApplied(command))
        # A manager that missed a command needs the full state again.
        core.is_manager_behind |= outcome.is_err()
    if core.state.version == version:
        return
    LOG.info(
        logs.format_event(
            'version_applied',
            version=core.state.version,
            operation=command.operation_id,
            operator=command.operator,
        )
    )
    core.send_updates(core.feed.handle(feed.VersionCommitted(core.state)))


def _change_role(
    core: member_core.MemberCore, action: events.RoleChanged
) -> None:
    LOG.info(
        logs.format_event(
            'role_changed',
            role=action.role,
            term=action.term,
            leader=action.leader,
        )
    )
    is_leader = action.role is states.RaftRole.LEADER
    if core.is_leader and not is_leader:
        _lose_leadership(core)
    core.is_leader = is_leader


def _lose_leadership(core: member_core.MemberCore) -> None:
    """Answer accepted calls with ``CHANGE_UNKNOWN``; stop leader tasks.

    The entries of these calls may still be committed by a later leader.
    """
    for token in core.calls.take_all_accepted():
        core.answer_call(
            token,
            member_calls.build_failure(
                errors.ErrorKind.CHANGE_UNKNOWN,
                'the leader changed before the outcome was known',
            ),
        )
    core.has_started_leader_tasks = False
    for listener in (core.manager, core.jobs):
        if listener is not None:
            listener.put(member_messages.LeadershipLost())
