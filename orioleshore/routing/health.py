"""Passive health checks of upstreams, based on this entry host's attempts."""

import msgspec

from orioleshore.model import ids
from orioleshore.routing import events

# Consecutive failures.
EJECT_AFTER_FAILURES = 5
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
# Share of a service's upstreams, so that a common fault does not eject all.
MAX_EJECTED_SHARE = 0.5
# An answer slower than this multiple of the service's mean is a failure.
SLOW_FACTOR = 5.0
SLOW_MIN_S = 0.5
# Weight of the newest duration in the moving average.
MEAN_WEIGHT = 0.05
# Answers required before the mean decides which ones are slow.
MIN_SAMPLES = 20

_NEUTRAL_OUTCOMES = frozenset(
    # An upstream refuses requests while all its slots are in use.
    {events.AttemptOutcome.REFUSED}
)


class _UpstreamRecord(msgspec.Struct):
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class HealthTracker:
    """Ejects the upstreams of one service after repeated failures."""

    def __init__(self) -> None:
        self._records: dict[ids.UpstreamId, _UpstreamRecord] = {}
        self._mean_s = 0.0
        self._samples = 0

    def forget_upstream(self, upstream: ids.UpstreamId) -> None:
        """Remove the record of an upstream that is gone."""
        self._records.pop(upstream, None)

    def is_ejected(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Return whether an upstream gets no new attempts at present."""
        record = self._records.get(upstream)
        return record is not None and now < record.ejected_until

    def get_ejected(self, now: float) -> list[ids.UpstreamId]:
        """Return the upstreams that get no new attempts at present."""
        return sorted(
            upstream
            for upstream in self._records
            if self.is_ejected(upstream, now)
        )

    def record_attempt(
        self, ended: events.AttemptEnded, upstream_count: int, now: float
    ) -> bool:
        """Record an attempt; return whether it led to an ejection.

        ``upstream_count`` is the number of the service's serving upstreams.
        """
        if ended.outcome in _NEUTRAL_OUTCOMES:
            return False
        record = self._records.setdefault(ended.upstream, _UpstreamRecord())
        if not self._is_failure(ended):
            record.failures = 0
            if now >= record.ejected_until + MAX_EJECTION_S:
                record.ejections = 0
            return False
        record.failures += 1
        if record.failures < EJECT_AFTER_FAILURES:
            return False
        return self._try_eject(record, upstream_count, now)

    def _try_eject(
        self, record: _UpstreamRecord, upstream_count: int, now: float
    ) -> bool:
        ejected = sum(
            now < other.ejected_until for other in self._records.values()
        )
        if now < record.ejected_until:
            return False
        if ejected + 1 > upstream_count * MAX_EJECTED_SHARE:
            return False
        ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**record.ejections)
        record.ejections += 1
        # A single failure after the ejection ejects the upstream again.
        record.failures = EJECT_AFTER_FAILURES - 1
        record.ejected_until = now + ejection_s
        return True

    def _is_failure(self, ended: events.AttemptEnded) -> bool:
        """Return whether an attempt failed; an answer updates the mean."""
        if ended.outcome is not events.AttemptOutcome.ANSWERED:
            return True
        if ended.status >= 500:
            return True
        is_slow = (
            self._samples >= MIN_SAMPLES
            and ended.duration_s > SLOW_MIN_S
            and ended.duration_s > SLOW_FACTOR * self._mean_s
        )
        weight = max(MEAN_WEIGHT, 1.0 / (self._samples + 1))
        self._samples += 1
        # A slow answer is capped at the limit, so that it raises the mean
        # only gradually.
        sample_s = ended.duration_s
        if is_slow:
            sample_s = SLOW_FACTOR * self._mean_s
        self._mean_s += weight * (sample_s - self._mean_s)
        return is_slow
