"""Client of the platform's interface for hosts and of the policy service."""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import Any

import aiohttp
import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import orders
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import json_rows
from orioleshore.model import numbers
from orioleshore.model import states
from orioleshore.platform import host_rows
from orioleshore.tasks import background
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.telemetry import odd_entries
from orioleshore.timers import clock

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 256
# Shorter than the time after which the scheduler considers a call lost.
CALL_TIMEOUT_S = 1.8
# A list with more pages has a token that leads in a circle.
MAX_PAGES = 10_000

_HostOrder = orders.Move | orders.TakeDown


class HostList(msgspec.Struct, frozen=True):
    """The hosts of all pages, with the rows that could not be read.

    ``is_complete`` is false if a row has no readable name, so that no host
    can be said to be missing.
    """

    hosts: tuple[calls.HostInfo, ...]
    unreadable: tuple[ids.HostId, ...]
    is_complete: bool


class HostsClient(task.Task):
    """Sends orders about hosts and reports the outcomes to the scheduler."""

    def __init__(
        self,
        address: str,
        policy_address: str,
        lease_holder: ids.NodeId,
        jobs: mailbox.Mailbox,
        source: clock.Clock,
    ) -> None:
        super().__init__(mailbox.Mailbox('platform-hosts', MAILBOX_CAPACITY))
        self._clock = source
        self._base_url = f'http://{address}'
        self._policy_url = f'http://{policy_address}'
        self._lease_holder = lease_holder
        self._jobs = jobs
        self._session: aiohttp.ClientSession | None = None
        self._pending_calls: set[asyncio.Task] = set()
        self._odd_entries = odd_entries.OddEntryLog()

    @property
    def odd_entries(self) -> odd_entries.OddEntryLog:
        return self._odd_entries

    async def open(self) -> None:
        """Create the HTTP session; connections are opened on demand."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )

    async def close(self) -> None:
        """Cancel all pending calls and close the session."""
        for call in self._pending_calls:
            call.cancel()
        await asyncio.gather(*self._pending_calls, return_exceptions=True)
        await self._session.close()

    async def handle(self, message: Any) -> None:
        """Start the call of one order; calls run concurrently."""
        call = background.start_task(
            _execute_order(message, self),
            f'platform call {type(message).__name__}',
            lambda error: self._report_failure(message, error),
        )
        self._pending_calls.add(call)
        call.add_done_callback(self._pending_calls.discard)

    def _report_failure(self, order: Any, error: BaseException) -> None:
        """Report that the outcome of an order is unknown; it is repeated."""
        call = _make_failure_report(order, str(error) or type(error).__name__)
        if call is not None:
            self.report_outcome(call)

    async def post_order(
        self, path: str, body: dict[str, Any], order: _HostOrder
    ) -> tuple[states.HostOrderOutcome, str]:
        """Send an order with a fencing token and return its outcome.

        The second value of the result says why an order was not accepted.
        """
        late_s = self._clock.get_monotonic() - order.expires_at
        if late_s > 0.0:
            LOG.warning(
                logs.format_event(
                    'host_order_expired',
                    host=order.host,
                    epoch=order.epoch,
                    late_s=late_s,
                )
            )
            return states.HostOrderOutcome.REFUSED, 'expired'
        headers = {
            'Lease-Holder': self._lease_holder,
            'Fencing-Token': str(order.epoch),
        }
        try:
            async with self._session.post(
                self._base_url + path, json=body, headers=headers
            ) as response:
                return _read_outcome(
                    response.status, await _read_body(response)
                )
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            decoding.DecodingError,
        ) as error:
            detail = str(error) or type(error).__name__
            return states.HostOrderOutcome.UNKNOWN, detail

    async def list_hosts(self) -> HostList | None:
        """Return all hosts, or None if the platform does not answer."""
        hosts: list[calls.HostInfo] = []
        odd: list[json_rows.OddRow] = []
        token = None
        used_tokens = set()
        while True:
            page = await self._get_page(token)
            if page is None:
                return None
            hosts += page.hosts
            odd += page.odd
            token = page.next_token
            if token is None:
                break
            if token in used_tokens or len(used_tokens) >= MAX_PAGES:
                self._log_list_failure(f'page {token!r} follows without end')
                return None
            used_tokens.add(token)
        for row in odd:
            self._odd_entries.report(
                odd_entries.EntryList.HOSTS, row.key, row.error
            )
        return HostList(
            tuple(hosts),
            tuple(ids.HostId(row.key) for row in odd if row.key),
            all(row.key for row in odd),
        )

    async def _get_page(
        self, token: str | int | None
    ) -> host_rows.HostPage | None:
        parameters = {} if token is None else {'page_token': str(token)}
        try:
            async with self._session.get(
                f'{self._base_url}/machines', params=parameters
            ) as response:
                body = await _read_body(response)
                if response.status == 200:
                    return host_rows.decode_page(body)
                error: object = f'status {response.status}'
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            error = failure or type(failure).__name__
        except decoding.DecodingError as failure:
            error = failure
        self._log_list_failure(error)
        return None

    def _log_list_failure(self, error: object) -> None:
        LOG.warning(logs.format_event('host_list_failed', error=error))

    async def request_approvals(
        self, order: orders.AskApproval
    ) -> calls.NoteApprovals:
        """Return the report of the approved workers."""
        step = f'{order.job}.{order.occurrence}.{order.step}'
        is_busy = False
        body = {'step': step, 'workers': list(order.workers)}
        try:
            async with self._session.post(
                f'{self._policy_url}/advise',
                json=body,
                timeout=aiohttp.ClientTimeout(total=order.timeout_s),
            ) as response:
                content = await _read_body(response)
                if response.status == 200:
                    return _make_approval_report(
                        order, self._decode_approvals(content)
                    )
                is_busy = response.status == 429
                error: object = f'status {response.status}'
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            error = failure or type(failure).__name__
        except decoding.DecodingError as failure:
            error = failure
        LOG.warning(
            logs.format_event('approval_failed', step=step, error=error)
        )
        return _make_approval_failure(order, is_busy)

    def _decode_approvals(self, content: bytes) -> host_rows.Approvals:
        approvals = host_rows.decode_approvals(content)
        for row in approvals.odd:
            self._odd_entries.report(
                odd_entries.EntryList.APPROVALS, row.key, row.error
            )
        return approvals

    def report_outcome(self, call: calls.Call) -> None:
        """Report to the scheduler, which repeats the order if this is lost."""
        self._jobs.put(calls.CallRequest(call, reply.Reply()))


@functools.singledispatch
async def _execute_order(message: Any, client: HostsClient) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_execute_order.register
async def _(message: orders.Move, client: HostsClient) -> None:
    outcome, detail = await client.post_order(
        '/machine-move',
        {'machine': message.host, 'pool': message.pool},
        message,
    )
    client.report_outcome(
        calls.NoteMove(message.host, message.pool, outcome, detail)
    )


@_execute_order.register
async def _(message: orders.AskApproval, client: HostsClient) -> None:
    client.report_outcome(await client.request_approvals(message))


@_execute_order.register
async def _(message: orders.ListHosts, client: HostsClient) -> None:
    listed = await client.list_hosts()
    if listed is None:
        return
    client.report_outcome(
        calls.NoteHosts(
            message.asked_at,
            listed.hosts,
            listed.unreadable,
            listed.is_complete,
        )
    )


@_execute_order.register
async def _(message: orders.TakeDown, client: HostsClient) -> None:
    # The platform wants its own type of name back.
    number = numbers.parse_count(message.wave)
    wave = message.wave if number is None else number
    outcome, detail = await client.post_order(
        '/machine-upkeep',
        {'machine': message.host, 'wave': wave},
        message,
    )
    client.report_outcome(
        calls.NoteUpkeep(message.wave, message.host, outcome, detail)
    )


def _read_outcome(
    status: int, body: bytes
) -> tuple[states.HostOrderOutcome, str]:
    if status == 200:
        return states.HostOrderOutcome.ACCEPTED, ''
    if status == 400:
        return states.HostOrderOutcome.GONE, 'no such host'
    if status in (409, 429):
        return states.HostOrderOutcome.REFUSED, _get_reason(status, body)
    return states.HostOrderOutcome.UNKNOWN, f'status {status}'


def _get_reason(status: int, body: bytes) -> str:
    return host_rows.decode_reason(body) or f'status {status}'


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response; raises DecodingError if too long."""
    try:
        await response.content.readexactly(decoding.MAX_BYTES + 1)
    except asyncio.IncompleteReadError as error:
        return error.partial
    raise decoding.DecodingError('the body is too long')


def _find_answered_workers(
    order: orders.AskApproval, approvals: host_rows.Approvals
) -> tuple[ids.WorkerId, ...]:
    """Return the workers that the service approved or refused for certain.

    A worker that an odd row may name is asked about again.
    """
    approved = {name for name, _ in approvals.approved}
    unread = {row.key for row in approvals.odd}
    if None in unread:
        return tuple(name for name in order.workers if name in approved)
    return tuple(
        name
        for name in order.workers
        if name in approved or name not in unread
    )


@functools.singledispatch
def _make_failure_report(order: Any, detail: str) -> calls.Call | None:
    """Return the report that the outcome of an order is unknown.

    None means that the scheduler repeats the order without a report.
    """
    return None


@_make_failure_report.register
def _(order: orders.Move, detail: str) -> calls.Call:
    outcome = states.HostOrderOutcome.UNKNOWN
    return calls.NoteMove(order.host, order.pool, outcome, detail)


@_make_failure_report.register
def _(order: orders.TakeDown, detail: str) -> calls.Call:
    outcome = states.HostOrderOutcome.UNKNOWN
    return calls.NoteUpkeep(order.wave, order.host, outcome, detail)


@_make_failure_report.register
def _(order: orders.AskApproval, detail: str) -> calls.Call:
    return _make_approval_failure(order)


def _make_approval_report(
    order: orders.AskApproval, approvals: host_rows.Approvals
) -> calls.NoteApprovals:
    return calls.NoteApprovals(
        order.job,
        order.occurrence,
        order.step,
        _find_answered_workers(order, approvals),
        True,
        approvals.approved,
        approvals.validity_ms,
    )


def _make_approval_failure(
    order: orders.AskApproval, is_busy: bool = False
) -> calls.NoteApprovals:
    return calls.NoteApprovals(
        order.job,
        order.occurrence,
        order.step,
        order.workers,
        False,
        is_busy=is_busy,
    )
