"""What a leading control member passes on to the fleet manager."""

import pytest

from orioleshore.consensus import member
from orioleshore.consensus import member_messages
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import queries
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tests import builders
from orioleshore.tests import member_builders
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

EXPLAIN = queries.Explain(queries.SubjectKind.HOST, 'freight-1')
DEMAND = queries.ReportDemand(ids.NodeId('entry-1'), ())


@pytest.mark.parametrize(
    ('query', 'expected'),
    [
        (EXPLAIN, member_messages.ExplainRequested),
        (DEMAND, member_messages.DemandReceived),
    ],
)
def test_idle_manager_gets_queries(tmp_path, query, expected):
    """Guards against an empty mailbox that is taken for a missing one.

    Reports of demand were dropped, and explanations left out, whenever the
    fleet manager had nothing else to do.
    """

    async def check():
        manager = mailbox.Mailbox('fleet', 100)
        source = clock.ManualClock()
        task = member_builders.build_member(str(tmp_path), manager, source)
        await member_builders.start_leading(task, source)
        builders.take_messages(manager)
        await task.handle(member_builders.build_query(query))
        taken = builders.take_messages(manager)
        assert [type(message) for message in taken] == [expected]

    support.run(check())


def test_manager_that_missed_a_command_gets_the_state_once(tmp_path):
    """Guards against the whole state in every batch after one overflow."""

    async def check():
        manager = mailbox.Mailbox('fleet', 1)
        source = clock.ManualClock()
        task = member_builders.build_member(str(tmp_path), manager, source)
        await member_builders.start_leading(task, source)
        assert len(manager) == 1
        change = builders.build_change(builders.build_document())
        await task.handle(member_messages.SubmitCommand(change, reply.Reply()))
        builders.take_messages(manager)
        for expected in (1, 0, 0):
            await task.handle(service.TimerFired(member.TICK))
            assert len(builders.take_messages(manager)) == expected

    support.run(check())


def test_state_waits_for_the_first_entry_of_a_new_term(tmp_path):
    """Guards against an incomplete state after an overflow as old leader."""

    async def check():
        manager = mailbox.Mailbox('fleet', 1)
        source = clock.ManualClock()
        task = member_builders.build_member(str(tmp_path), manager, source)
        await member_builders.start_leading(task, source)
        change = builders.build_change(builders.build_document())
        await task.handle(member_messages.SubmitCommand(change, reply.Reply()))
        for role in (states.RaftRole.FOLLOWER, states.RaftRole.LEADER):
            member_builders.change_role(task, role)
        builders.take_messages(manager)
        await task.handle(service.TimerFired(member.TICK))
        assert not builders.take_messages(manager)

    support.run(check())
