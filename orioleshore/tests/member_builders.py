"""Builders of the task of a control member, and of messages to it."""

import random

import msgspec

from orioleshore import settings
from orioleshore.consensus import events
from orioleshore.consensus import member
from orioleshore.consensus import member_actions
from orioleshore.consensus import storage
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.state import queries
from orioleshore.tasks import mailbox
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

ADDRESS = '127.0.0.1:7001'


def build_member(
    folder: str, manager: mailbox.Mailbox, source: clock.ManualClock
) -> member.MemberTask:
    """Return the only member of a group, with a fleet manager's mailbox."""
    given = {
        'node': 'control-1',
        'availability_zone': 'az1',
        'roles': ['control'],
        'data_folder': folder,
        'addresses': {'inner': ADDRESS},
        'control': {'initial_members': {'control-1': ADDRESS}},
    }
    merged = settings.merge_defaults(given, settings.DEFAULT_SETTINGS)
    task = member.MemberTask(
        msgspec.convert(merged, settings.Settings),
        ADDRESS,
        mailbox.Mailbox('sender', 100),
        service.TimerService(source),
        storage.Storage(folder),
        random.Random(support.SEED),
    )
    task.set_manager(manager)
    return task


async def start_leading(task: member.MemberTask, source: clock.ManualClock):
    """Load the folder and let the clock run until the member leads."""
    task.load().unwrap()
    for _ in range(100):
        source.advance(0.1)
        await task.handle(service.TimerFired(member.TICK))
        if task.get_status()['role'] == states.RaftRole.LEADER.value:
            return
    raise AssertionError('the member does not lead')


def build_query(query: queries.Query) -> messages.Received:
    """Return a query as another process sends it."""
    header = messages.Header(
        ids.NodeId('entry-1'), ids.Incarnation(1), 1, '127.0.0.1:7002'
    )
    message = messages.Query('', queries.encode_query(query))
    return messages.Received(header, message)


def change_role(task: member.MemberTask, role: states.RaftRole) -> None:
    """Let the Raft member report a role in the next term."""
    changed = events.RoleChanged(role, ids.Term(2), None)
    member_actions.perform_action(changed, task._core)
