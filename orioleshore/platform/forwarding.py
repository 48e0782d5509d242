"""Forwards calls to the scheduler and builds HTTP responses from results."""

from collections.abc import Callable
import math
from typing import Any

from aiohttp import web
from result import Result

from orioleshore.consensus import client
from orioleshore.jobs import calls
from orioleshore.model import errors
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.timers import clock

# Failures of the local scheduler after which the leader is called.
_FORWARDABLE_KINDS = frozenset(
    {errors.ErrorKind.NOT_LEADER, errors.ErrorKind.CHANGE_UNKNOWN}
)
JSON_TYPE = 'application/json'


class CallForwarder:
    """Forwards calls to the scheduler of the leader.

    A control member tries its own scheduler first, because it may be the
    leader. ``control`` is the mailbox of the control client, ``jobs`` that of
    the local scheduler, None where there is no local scheduler.
    """

    def __init__(
        self,
        control: mailbox.Mailbox,
        jobs: mailbox.Mailbox | None = None,
        source: clock.Clock | None = None,
    ) -> None:
        self._control = control
        self._jobs = jobs
        self._clock = source or clock.SystemClock()

    async def forward(
        self, call: calls.Call, timeout_s: float
    ) -> Result[object, errors.Failure]:
        """Return the scheduler's answer.

        ``timeout_s`` is the limit in seconds for a call of the leader.
        """
        if self._jobs is not None:
            answer: reply.Reply = reply.Reply()
            request = calls.CallRequest(
                call, answer, self._clock.get_monotonic()
            )
            if self._jobs.put(request).is_ok():
                outcome = await answer.wait()
                if not _is_forwardable(outcome):
                    return outcome
        return await client.call(self._control, call, timeout_s)


def make_response(
    outcome: Result[Any, errors.Failure], encode: Callable[[Any], bytes]
) -> web.Response:
    """Return the response to a call that was forwarded."""
    if outcome.is_err():
        return make_failure(outcome.unwrap_err())
    return make_success(encode(outcome.unwrap()))


def make_success(body: bytes = b'{}') -> web.Response:
    """Return a response of status 200 with a JSON body."""
    return web.Response(body=body, content_type=JSON_TYPE)


def make_failure(failure: errors.Failure) -> web.Response:
    """Return the response to a failure.

    Its status comes from the table of errors.
    """
    response = web.json_response(
        {'error': failure.kind.value, 'reason': failure.message},
        status=failure.answer.status,
    )
    if failure.retry_after_s is not None:
        seconds = max(1, math.ceil(failure.retry_after_s))
        response.headers['Retry-After'] = str(seconds)
    return response


def make_refusal(kind: errors.ErrorKind, message: str) -> web.Response:
    """Return the response to a request that was not forwarded."""
    return make_failure(errors.Failure(kind, message))


def _is_forwardable(outcome: Result) -> bool:
    """Return whether the call has to be sent to the leader.

    Calls are idempotent, so a call whose result is unknown because the leader
    was lost can be repeated.
    """
    return outcome.is_err() and outcome.unwrap_err().kind in _FORWARDABLE_KINDS
