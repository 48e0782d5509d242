"""Claims of requests that must run at most once, as routing uses them."""

import enum

import msgspec
from result import Result

from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.routing import events
from orioleshore.state import claim_commands
from orioleshore.state import records

# Interval at which a duplicate polls for the outcome of the first request.
POLL_INTERVAL_S = 0.25


class ClaimStage(enum.Enum):
    """Progress of the claim of a pending request."""

    # The operation is idempotent.
    NOT_NEEDED = 'not_needed'
    REQUESTED = 'requested'
    GRANTED = 'granted'
    # A duplicate of the request holds the claim.
    TAKEN = 'taken'


class Claim(msgspec.Struct):
    """Claim of one request; ``poll_at`` is monotonic, in seconds."""

    stage: ClaimStage
    poll_at: float | None = None

    def mark_taken(self, now: float) -> None:
        """Record that a duplicate holds the claim, and schedule a poll."""
        self.stage = ClaimStage.TAKEN
        self.poll_at = now + POLL_INTERVAL_S

    def is_poll_due(self, now: float) -> bool:
        """Return whether to poll for the outcome of the duplicate."""
        return self.poll_at is not None and now >= self.poll_at


def create_claim(info: events.RequestInfo) -> Claim:
    """Return the initial claim of a request."""
    if info.key is None:
        return Claim(ClaimStage.NOT_NEEDED)
    return Claim(ClaimStage.REQUESTED)


def get_claim_event(
    info: events.RequestInfo,
    outcome: Result[claim_commands.ClaimAnswer, errors.Failure],
) -> events.Event:
    """Return the event for the replicated log's answer to a claim."""
    if outcome.is_err():
        return events.ClaimRefused(
            info.request, _get_caller_failure(outcome.unwrap_err())
        )
    answer = outcome.unwrap()
    if answer.granted:
        return events.ClaimGranted(info.request)
    return _get_duplicate_event(info, answer.record)


def _get_caller_failure(failure: errors.Failure) -> errors.Failure:
    """Return the failure for the caller, without errors internal to control.

    A claim without an answer may be committed, but no attempt was started
    for it.
    """
    if failure.kind not in _CONTROL_KINDS:
        return failure
    return errors.Failure(
        errors.ErrorKind.CLAIM_UNAVAILABLE,
        'the claim of the request could not be recorded in time',
        retry_after_s=1.0,
    )


_CONTROL_KINDS = frozenset(
    {
        errors.ErrorKind.CHANGE_UNKNOWN,
        errors.ErrorKind.NO_QUORUM,
        errors.ErrorKind.NOT_LEADER,
        errors.ErrorKind.OVERLOADED,
        errors.ErrorKind.CLAIM_UNAVAILABLE,
    }
)


def _get_duplicate_event(
    info: events.RequestInfo, record: records.ClaimRecord
) -> events.Event:
    if record.state is states.ClaimState.CLAIMED:
        return events.ClaimPending(info.request)
    if record.state is states.ClaimState.UNKNOWN:
        failure = errors.Failure(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            'an earlier request with this key was accepted, and its '
            'outcome is unknown',
        )
        return events.ClaimRefused(info.request, failure)
    if not record.kept:
        failure = errors.Failure(
            errors.ErrorKind.ANSWER_NOT_KEPT,
            'an earlier request with this key was answered, and the answer '
            'is too long to be replayed',
        )
        return events.ClaimRefused(info.request, failure)
    answer = events.RecordedAnswer(record.status, record.headers, record.body)
    return events.ClaimAnswered(info.request, answer)
