"""Retry budget, retry conditions and backoff of requests."""

import random

from orioleshore.routing import events

# Retries may add this share to the first attempts of a service.
BUDGET_RATIO = 0.2
# In tokens, one per retry; they let a service with little traffic retry.
MAX_BUDGET = 20.0
START_BUDGET = 10.0
MAX_ATTEMPTS = 4
BASE_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
# A retry with less time left could not finish before the deadline.
MIN_REMAINING_S = 0.05

_RETRYABLE_STATUSES = frozenset({502, 503, 504})


class RetryBudget:
    """Token bucket that limits the retries of one service.

    A first attempt adds ``BUDGET_RATIO`` tokens and a retry takes one. This
    bounds the load that retries add while the service is failing.
    """

    def __init__(self) -> None:
        self._tokens = START_BUDGET

    @property
    def tokens(self) -> float:
        return self._tokens

    def add_first_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self._tokens = min(MAX_BUDGET, self._tokens + BUDGET_RATIO)

    def try_spend_token(self) -> bool:
        """Take the token of one retry; return False when none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def is_retryable(
    info: events.RequestInfo,
    ended: events.AttemptEnded,
    attempts: int,
    now: float,
) -> bool:
    """Return whether another attempt is safe and may still help."""
    if attempts >= MAX_ATTEMPTS or info.deadline - now < MIN_REMAINING_S:
        return False
    if ended.outcome in events.NOT_RUN_OUTCOMES:
        return True
    if not info.is_idempotent:
        return False
    if ended.outcome is events.AttemptOutcome.ANSWERED:
        return ended.status in _RETRYABLE_STATUSES
    # The caller has already received a part of a truncated answer.
    return ended.outcome is not events.AttemptOutcome.CUT_STREAM


def get_backoff_s(attempts: int, rng: random.Random) -> float:
    """Return an exponential backoff with full jitter."""
    limit = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** (attempts - 1))
    return rng.uniform(0.0, limit)
