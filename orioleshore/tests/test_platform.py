"""Reports of the platform, as handled by the task that polls it."""

from orioleshore.fleet import events
from orioleshore.frontends import platform
from orioleshore.model import ids
from orioleshore.tasks import mailbox
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

HOST = ids.HostId('freight-1')
DRAINED = events.ReportedState.DRAINED
UP = events.ReportedState.UP


async def poll(messages) -> list[events.ReportedState]:
    """Return the host states that the manager receives."""
    manager = mailbox.Mailbox('fleet', 16)
    timers = service.TimerService(clock.ManualClock())
    task = platform.PlatformTask('http://127.0.0.1:9', timers)
    task.set_manager(manager)
    for message in messages:
        await task.handle(message)
    reported_states = []
    while len(manager):
        reported_states.append((await manager.get()).state)
    return reported_states


def build_poll(*states: events.ReportedState, end: int):
    reports = tuple(platform.Report(HOST, state) for state in states)
    return platform._PollFinished(platform.Reports(reports, end))


def test_old_reports_yield_only_the_newest_state_of_a_host():
    """Guards against an old "drained" that ends a drain under way."""

    async def check_reports():
        old = build_poll(DRAINED, UP, end=2)
        new = build_poll(DRAINED, UP, end=4)
        assert await poll([old]) == [UP]
        assert await poll([old, new]) == [UP, DRAINED, UP]
        replay = events.ReplayReports(60.0)
        assert await poll([old, new, replay, new]) == [UP, DRAINED, UP, UP]

    support.run(check_reports())
