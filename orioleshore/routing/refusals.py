"""Refusals for callers whose request got no answer from an upstream."""

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.routing import events

_OUTCOME_KINDS = {
    events.AttemptOutcome.UNREACHABLE: errors.ErrorKind.UPSTREAM_UNREACHABLE,
    events.AttemptOutcome.REFUSED: errors.ErrorKind.UPSTREAM_REFUSED,
    events.AttemptOutcome.FAILED: errors.ErrorKind.UPSTREAM_FAILED,
    events.AttemptOutcome.TIMED_OUT: errors.ErrorKind.UPSTREAM_TIMEOUT,
    events.AttemptOutcome.MISMATCHED: errors.ErrorKind.ANSWER_MISMATCH,
    events.AttemptOutcome.TRUNCATED: errors.ErrorKind.ANSWER_TRUNCATED,
    events.AttemptOutcome.CUT_STREAM: errors.ErrorKind.ANSWER_TRUNCATED,
}

_MESSAGES = {
    errors.ErrorKind.STOPPING: 'this entry host is stopping',
    errors.ErrorKind.UNKNOWN_SERVICE: 'no service has this name',
    errors.ErrorKind.OVERLOADED: 'the queue of the service is full',
    errors.ErrorKind.DEADLINE_UNREACHABLE: (
        'the requests ahead of this one take longer than its deadline allows'
    ),
    errors.ErrorKind.QUEUE_TIMEOUT: 'no slot became free in time',
    errors.ErrorKind.NO_UPSTREAM: 'the service has no available upstream',
    errors.ErrorKind.OUTCOME_UNKNOWN: (
        'an earlier request with this key was accepted, and its outcome is '
        'unknown'
    ),
    errors.ErrorKind.CALLER_GONE: 'the caller closed its connection',
    errors.ErrorKind.UPSTREAM_UNREACHABLE: 'the upstream could not be reached',
    errors.ErrorKind.UPSTREAM_REFUSED: 'the upstream refused the request',
    errors.ErrorKind.UPSTREAM_FAILED: (
        'the upstream failed without a usable answer'
    ),
    errors.ErrorKind.UPSTREAM_TIMEOUT: 'the upstream did not answer in time',
    errors.ErrorKind.ANSWER_MISMATCH: 'the answer was for another request',
    errors.ErrorKind.ANSWER_TRUNCATED: 'the answer was truncated',
}

RETRY_AFTER_S = 1.0


def make_refusal(
    request: ids.RequestId,
    kind: errors.ErrorKind,
    retry_after_s: float = RETRY_AFTER_S,
) -> events.Refuse:
    """Return the refusal of a request."""
    wait_s = retry_after_s if errors.ANSWERS[kind].may_resend else None
    return events.Refuse(
        request, errors.Failure(kind, _MESSAGES[kind], retry_after_s=wait_s)
    )


def make_outcome_refusal(
    request: ids.RequestId, outcome: events.AttemptOutcome
) -> events.Refuse:
    """Return the refusal of a request whose last attempt failed."""
    return make_refusal(request, _OUTCOME_KINDS[outcome])
