"""Task that calls the platform and polls its reports over HTTP."""

import asyncio
import collections
import functools
import logging
from typing import Annotated
from typing import Any

import aiohttp
import msgspec
from result import Ok

from orioleshore.fleet import events
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import json_rows
from orioleshore.model import states
from orioleshore.tasks import background
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.telemetry import odd_entries
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 8_192
POLL_TIMER = ids.TimerId('platform-poll')
POLL_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 5.0
# Limit of concurrent calls; further calls wait for one to end.
MAX_CALLS = 32
# Age of the oldest report that can be replayed.
MAX_REPLAY_S = 300.0

EPOCH_HEADER = 'Orioleshore-Epoch'
HOST_EPOCH_HEADER = 'Orioleshore-Host-Epoch'
CALL_HEADER = 'Orioleshore-Call'
RAN_HEADER = 'Orioleshore-Ran'

_PATHS = {
    events.CallKind.DRAIN_HOST: '/v1/hosts/{host}/drain',
    events.CallKind.REBOOT_HOST: '/v1/hosts/{host}/reboot',
    events.CallKind.RETURN_HOST: '/v1/hosts/{host}/return',
    events.CallKind.START_TASK: '/v1/workers/{host}/tasks',
    events.CallKind.CHECKPOINT_TASK: (
        '/v1/workers/{host}/tasks/{task}/checkpoint'
    ),
    events.CallKind.THROTTLE_TASK: '/v1/workers/{host}/tasks/{task}/throttle',
    events.CallKind.STOP_TASK: '/v1/workers/{host}/tasks/{task}/stop',
    events.CallKind.RENEW_TASK: '/v1/workers/{host}/tasks/{task}/renew',
}


_Position = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Report(msgspec.Struct, frozen=True):
    """A report of the platform about a host or a task.

    Reports of hosts and tasks share one sequence of positions.
    """

    host: ids.HostId
    state: events.ReportedState | None = None
    cores_used: float = 0.0
    memory_used_gb: float = 0.0
    task: events.TaskReported | None = None


class Reports(msgspec.Struct, frozen=True):
    """The reports after a position; ``next`` is the position to poll next."""

    reports: tuple[Report, ...]
    next: _Position


_REPORTS_DECODER = decoding.make_json_decoder(Reports)
_REPORT_ROWS = json_rows.RowDecoder(
    Report, json_rows.make_member_reader('host')
)
_POSITION_DECODER = decoding.make_json_decoder(_Position)


class GetPlatformDump(msgspec.Struct, frozen=True):
    """Requests the state of the platform task for a dump."""

    answer: reply.Reply


class _PollFinished(msgspec.Struct, frozen=True):
    """The result of a poll; ``reports`` is None if it failed."""

    reports: Reports | None


class PlatformTask(task.Task):
    """Owns the connections to the platform."""

    def __init__(self, url: str, timers: service.TimerService) -> None:
        super().__init__(mailbox.Mailbox('platform', MAILBOX_CAPACITY))
        self._url = url.rstrip('/')
        self._timers = timers
        self._manager: mailbox.Mailbox | None = None
        self._session: aiohttp.ClientSession | None = None
        self._position = 0
        self._is_polling = False
        # Pairs of a time and the position until then, oldest first.
        self._position_history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._is_rewound = False
        # The next poll also returns reports that are no longer current.
        self._is_catching_up = True
        self._subtasks: set[asyncio.Task] = set()
        self._call_limit = asyncio.Semaphore(MAX_CALLS)
        self._odd_entries = odd_entries.OddEntryLog()

    @property
    def odd_entries(self) -> odd_entries.OddEntryLog:
        return self._odd_entries

    def set_manager(self, manager: mailbox.Mailbox) -> None:
        """Set the mailbox of the task that receives answers and reports."""
        self._manager = manager

    async def open(self) -> None:
        """Open the client session and start to poll reports."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._timers.subscribe_every(self.mailbox, POLL_TIMER, POLL_INTERVAL_S)

    async def close(self) -> None:
        """Cancel running calls and close all connections."""
        self._timers.cancel(self.mailbox, POLL_TIMER)
        for subtask in self._subtasks:
            subtask.cancel()
        await asyncio.gather(*self._subtasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def handle(self, message: Any) -> None:
        """Handle a call, a poll, a replay or a request for the dump."""
        _handle_message(message, self)

    def _start_subtask(
        self, coroutine, on_error: background.ErrorHandler | None = None
    ) -> None:
        subtask = background.start_task(
            coroutine, coroutine.__qualname__, on_error
        )
        self._subtasks.add(subtask)
        subtask.add_done_callback(self._subtasks.discard)

    async def _call_platform(self, action: events.CallPlatform) -> None:
        async with self._call_limit:
            answer = await self._post_call(action)
        LOG.info(
            logs.format_event(
                'platform_called',
                call=action.call,
                kind=action.kind,
                host=action.host,
                accepted=answer.accepted,
                reason=answer.reason,
            )
        )
        self._manager.put(answer)

    async def _post_call(
        self, action: events.CallPlatform
    ) -> events.PlatformAnswered:
        path = _PATHS[action.kind].format(
            host=action.host, task=f'{action.job}.{action.attempt}'
        )
        body = dict(action.parameters)
        if action.job is not None:
            body |= {'job': action.job, 'attempt': action.attempt}
        headers = {
            EPOCH_HEADER: str(action.epoch),
            HOST_EPOCH_HEADER: str(action.host_epoch),
            CALL_HEADER: action.call,
        }
        try:
            async with self._session.post(
                self._url + path, json=body, headers=headers
            ) as response:
                text = await response.text()
                accepted = response.status < 300
                ran = _parse_ran(response.headers.get(RAN_HEADER))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            # A body that is no text raises a ValueError.
            return events.PlatformAnswered(action.call, False, str(error))
        return events.PlatformAnswered(
            action.call, accepted, '' if accepted else text[:200], ran
        )

    async def _poll_reports(self) -> None:
        reports = None
        try:
            async with self._session.get(
                f'{self._url}/v1/reports', params={'after': self._position}
            ) as response:
                content = await response.read()
            reports = self._decode_reports(content)
        except (
            aiohttp.ClientError,
            TimeoutError,
            decoding.DecodingError,
        ) as error:
            LOG.warning(logs.format_event('platform_poll_failed', error=error))
        await self.mailbox.put_wait(_PollFinished(reports))

    def _decode_reports(self, content: bytes) -> Reports:
        """Return the reports that can be read; raises DecodingError."""
        try:
            return _REPORTS_DECODER.decode(content)
        except decoding.DecodingError:
            members = json_rows.split_object(content)
            rows = _REPORT_ROWS.decode(members.get('reports', b''))
            position = _POSITION_DECODER.decode(members.get('next', b''))
        for row in rows.odd:
            self._odd_entries.report(
                odd_entries.EntryList.REPORTS, row.key, row.error
            )
        return Reports(rows.rows, position)

    def _advance_position(self, position: int) -> None:
        now = self._timers.clock.get_monotonic()
        self._position_history.append((now, self._position))
        while self._position_history[0][0] < now - MAX_REPLAY_S:
            self._position_history.popleft()
        self._position = position

    def _rewind_position(self, seconds: float) -> None:
        start = self._timers.clock.get_monotonic() - seconds
        recent = [
            position
            for until, position in self._position_history
            if until >= start
        ]
        if recent:
            self._position = min(recent)
            self._is_catching_up = True
            # The answer of a poll in progress must not advance the position.
            self._is_rewound = self._is_polling

    def _process_reports(self, reports: Reports | None) -> None:
        self._is_polling = False
        was_rewound, self._is_rewound = self._is_rewound, False
        if reports is None:
            return
        only_newest = self._is_catching_up and not was_rewound
        if not was_rewound:
            self._advance_position(reports.next)
            self._is_catching_up = False
        # While catching up, only the newest state of each host is delivered:
        # an old "drained" would end a later drain of the same host.
        newest = {
            report.host: report for report in reports.reports if report.state
        }
        for report in reports.reports:
            if report.task is not None:
                self._manager.put(report.task)
            if report.state is None:
                continue
            if only_newest and newest[report.host] is not report:
                continue
            self._manager.put(
                events.HostReported(
                    report.host,
                    report.state,
                    report.cores_used,
                    report.memory_used_gb,
                )
            )


def _parse_ran(header: str | None) -> states.Ran:
    # Only an explicit "no" proves that a call had no effect.
    return states.Ran.NO if header == 'no' else states.Ran.UNKNOWN


@functools.singledispatch
def _handle_message(message: Any, platform: PlatformTask) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: GetPlatformDump, platform: PlatformTask) -> None:
    message.answer.resolve(
        Ok(
            {
                'calls': len(platform._subtasks),
                'position': platform._position,
                'polling': platform._is_polling,
            }
        )
    )


@_handle_message.register
def _(message: events.CallPlatform, platform: PlatformTask) -> None:
    # The planner repeats a call whose outcome is not known.
    platform._start_subtask(
        platform._call_platform(message),
        lambda error: platform._manager.put(
            events.PlatformAnswered(message.call, False, str(error))
        ),
    )


@_handle_message.register
def _(message: events.ReplayReports, platform: PlatformTask) -> None:
    platform._rewind_position(message.seconds)


@_handle_message.register
def _(message: service.TimerFired, platform: PlatformTask) -> None:
    if not platform._is_polling:
        platform._is_polling = True
        platform._start_subtask(
            platform._poll_reports(),
            lambda _: platform._start_subtask(
                platform.mailbox.put_wait(_PollFinished(None))
            ),
        )


@_handle_message.register
def _(message: _PollFinished, platform: PlatformTask) -> None:
    platform._process_reports(message.reports)
