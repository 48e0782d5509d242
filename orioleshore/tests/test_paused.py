"""Processes that were paused or suspended, and what they do afterwards."""

import asyncio
import time

import pytest
from result import Ok

from fakes import platform_fleet
from orioleshore.consensus import member_messages
from orioleshore.jobs import calls
from orioleshore.jobs import orders
from orioleshore.jobs import task as jobs_task
from orioleshore.jobs import tuning
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.platform import hosts
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tests import builders
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

LEASE_S = tuning.SchedulerLimits().host_lease_ms / 1_000.0


def test_time_of_a_suspended_host_goes_on(monkeypatch):
    """Guards against a leader that believes its lease after a suspension."""
    suspended_s = 6.0
    source = clock.SystemClock()
    before = source.get_monotonic()
    read_clock = time.clock_gettime

    def read_after_suspension(number: int) -> float:
        value = read_clock(number)
        return value + (suspended_s if number == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, 'clock_gettime', read_after_suspension)
    assert source.get_monotonic() - before >= suspended_s


@pytest.mark.parametrize(
    ('pause_s', 'outcome'),
    [
        (0.0, states.HostOrderOutcome.ACCEPTED),
        (0.4 * LEASE_S, states.HostOrderOutcome.ACCEPTED),
        (LEASE_S, states.HostOrderOutcome.REFUSED),
        (10 * LEASE_S, states.HostOrderOutcome.REFUSED),
    ],
)
def test_order_is_not_sent_after_the_lease_of_its_host(pause_s, outcome):
    """Guards against orders of a leader that was paused before it sent them.

    Its successor may have ordered the same hosts meanwhile.
    """

    async def check():
        address = f'127.0.0.1:{platform_fleet.find_free_ports(1)}'
        cloud = platform_fleet.FakeCloudApi(address)
        await cloud.start()
        jobs = mailbox.Mailbox('jobs', 4)
        source = clock.ManualClock()
        client = hosts.HostsClient(
            address, '', ids.NodeId('control-1'), jobs, source
        )
        await client.start()
        order = _make_upkeep_order(source)
        source.advance(pause_s)
        client.mailbox.put(order)
        request = await jobs.get()
        await client.stop()
        await cloud.stop()
        assert isinstance(request.call, calls.NoteUpkeep)
        assert request.call.outcome is outcome
        is_sent = outcome is states.HostOrderOutcome.ACCEPTED
        assert cloud.upkeeps == ['host-1'] * is_sent

    support.run(check())


def _make_upkeep_order(source: clock.Clock) -> orders.Order:
    queue = orders.OrderQueue(
        tuning.SchedulerLimits(), ids.Epoch(7), lambda host: None
    )
    queue.order_upkeep(
        ids.WaveId('1'), ids.HostId('host-1'), source.get_monotonic()
    )
    return queue.take_orders()[0]


def test_leader_that_is_replaced_sends_no_orders():
    """Guards against orders of two leaders around a hand-over.

    The commit of an order succeeds, but the leadership ended before its
    result was seen.
    """
    task, consensus = builders.build_jobs_task()
    orders_sent: mailbox.Mailbox = mailbox.Mailbox('platform-hosts', 16)
    task.set_hosts_mailbox(orders_sent)
    outcomes = []

    async def handle_next():
        await task.handle(task.mailbox.get_nowait())
        # Callbacks of answers run in the next round of the event loop.
        await asyncio.sleep(0)

    async def commit_order(is_replaced: bool) -> list[orders.Order]:
        """Let the task list the hosts, and commit that order."""
        await builders.start_leading(task)
        answer = reply.Reply()
        answer.add_callback(outcomes.append)
        task.mailbox.put(calls.CallRequest(builders.build_heartbeat(), answer))
        await task.handle(service.TimerFired(jobs_task.TICK))
        commits = [
            message
            for message in builders.take_messages(consensus)
            if isinstance(message, member_messages.SubmitCommand)
        ]
        if is_replaced:
            await task.handle(member_messages.LeadershipLost())
        for commit in commits:
            commit.answer.resolve(Ok(None))
        await asyncio.sleep(0)
        while len(task.mailbox):
            await handle_next()
        return builders.take_messages(orders_sent)

    async def check():
        assert await commit_order(is_replaced=False)
        assert await commit_order(is_replaced=True) == []
        assert outcomes[0].is_ok()
        failure = outcomes[1].unwrap_err()
        assert failure.kind is errors.ErrorKind.CHANGE_UNKNOWN

    support.run(check())
