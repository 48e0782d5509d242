"""Decisions of request routing at one entry host."""

import collections
import functools
import random
from typing import Any

import msgspec

from orioleshore.model import announcements
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.routing import events

# An upstream that does not renew gets no new work after this time.
UPSTREAM_EXPIRY_S = 3.0
# How often a copy asks again for the outcome of the first one.
CLAIM_POLL_S = 0.25

_FAILURE_KINDS = {
    events.AttemptOutcome.UNREACHABLE: errors.ErrorKind.UPSTREAM_UNREACHABLE,
    events.AttemptOutcome.REFUSED: errors.ErrorKind.UPSTREAM_REFUSED,
    events.AttemptOutcome.FAILED: errors.ErrorKind.UPSTREAM_FAILED,
    events.AttemptOutcome.TIMED_OUT: errors.ErrorKind.UPSTREAM_TIMEOUT,
    events.AttemptOutcome.MISMATCHED: errors.ErrorKind.ANSWER_MISMATCH,
    events.AttemptOutcome.TRUNCATED: errors.ErrorKind.ANSWER_TRUNCATED,
}

_MESSAGES = {
    events.AttemptOutcome.UNREACHABLE: 'the upstream could not be reached',
    events.AttemptOutcome.REFUSED: 'the upstream refused the request',
    events.AttemptOutcome.FAILED: 'the upstream broke off',
    events.AttemptOutcome.TIMED_OUT: 'the upstream did not answer in time',
    events.AttemptOutcome.MISMATCHED: 'the answer was for another request',
    events.AttemptOutcome.TRUNCATED: 'the answer was cut short',
}


class _Upstream(msgspec.Struct):
    announced: announcements.Upstream
    expires: float
    in_flight: int = 0


class _Request(msgspec.Struct):
    info: events.RequestInfo
    claimed: bool = False
    attempts: int = 0
    upstream: ids.UpstreamId | None = None
    poll_at: float | None = None


class Router:
    """Queues, claims and attempts of the requests of one entry host."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._services: dict[ids.ServiceId, documents.Service] = {}
        self._version = ids.Version(0)
        self._upstreams: dict[ids.UpstreamId, _Upstream] = {}
        self._requests: dict[ids.RequestId, _Request] = {}
        self._queues: dict[ids.ServiceId, collections.deque[ids.RequestId]] = (
            collections.defaultdict(collections.deque)
        )
        self._stopping = False

    @property
    def in_flight(self) -> int:
        return sum(
            request.upstream is not None for request in self._requests.values()
        )

    @property
    def held(self) -> int:
        return len(self._requests)

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions that follow from an event.

        ``now`` is monotonic, in seconds.
        """
        return _handle(event, self, now)

    def get_dump(self) -> dict[str, Any]:
        """Return all state of the routing decisions."""
        return {
            'version': self._version,
            'stopping': self._stopping,
            'queues': {
                name: len(queue)
                for name, queue in sorted(self._queues.items())
            },
            'requests': len(self._requests),
            'upstreams': {
                address: {
                    'service': upstream.announced.service,
                    'state': upstream.announced.state.value,
                    'incarnation': upstream.announced.incarnation,
                    'in_flight': upstream.in_flight,
                }
                for address, upstream in sorted(self._upstreams.items())
            },
        }

    # Requests.

    def _arrive(
        self, info: events.RequestInfo, now: float
    ) -> list[events.Action]:
        if self._stopping:
            return [_refuse(info.request, errors.ErrorKind.STOPPING)]
        service = self._services.get(info.service)
        if service is None:
            return [_refuse(info.request, errors.ErrorKind.UNKNOWN_SERVICE)]
        queue = self._queues[info.service]
        if len(queue) >= service.limits.queue_length:
            return [_refuse(info.request, errors.ErrorKind.OVERLOADED)]
        self._requests[info.request] = _Request(info)
        if info.key is not None:
            return [events.RequestClaim(info)]
        queue.append(info.request)
        return self._dispatch(info.service, now)

    def _grant(
        self, request: ids.RequestId, now: float
    ) -> list[events.Action]:
        held = self._requests.get(request)
        if held is None:
            return []
        held.claimed = True
        self._queues[held.info.service].append(request)
        return self._dispatch(held.info.service, now)

    def _wait_for_outcome(
        self, request: ids.RequestId, now: float
    ) -> list[events.Action]:
        held = self._requests.get(request)
        if held is not None:
            held.poll_at = now + CLAIM_POLL_S
        return []

    def _replay(self, event: events.ClaimAnswered) -> list[events.Action]:
        if self._requests.pop(event.request, None) is None:
            return []
        return [events.Replay(event.request, event.answer)]

    def _refuse_claim(self, event: events.ClaimRefused) -> list[events.Action]:
        if self._requests.pop(event.request, None) is None:
            return []
        return [events.Refuse(event.request, event.failure)]

    def _dispatch(
        self, service: ids.ServiceId, now: float
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        queue = self._queues[service]
        while queue:
            upstream = self._choose_upstream(service, now)
            if upstream is None:
                break
            actions.append(self._start(queue.popleft(), upstream, now))
        return actions

    def _choose_upstream(
        self, service: ids.ServiceId, now: float
    ) -> _Upstream | None:
        free = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.announced.service == service
            and upstream.announced.state is states.UpstreamState.SERVING
            and upstream.expires > now
            and upstream.in_flight < upstream.announced.slots
        ]
        if not free:
            return None
        least = min(upstream.in_flight for upstream in free)
        return self._random.choice(
            [upstream for upstream in free if upstream.in_flight == least]
        )

    def _start(
        self, request: ids.RequestId, upstream: _Upstream, now: float
    ) -> events.Action:
        held = self._requests[request]
        held.attempts += 1
        held.upstream = upstream.announced.address
        upstream.in_flight += 1
        limits = self._services[held.info.service].limits
        timeout_s = min(limits.attempt_timeout_s, held.info.deadline - now)
        return events.StartAttempt(
            request,
            ids.Attempt(held.attempts),
            upstream.announced.address,
            timeout_s,
        )

    def _end_attempt(
        self, event: events.AttemptEnded, now: float
    ) -> list[events.Action]:
        upstream = self._upstreams.get(event.upstream)
        if upstream is not None:
            upstream.in_flight = max(0, upstream.in_flight - 1)
        held = self._requests.pop(event.request, None)
        if held is None:
            return []
        actions = self._conclude(held, event.outcome)
        return actions + self._dispatch(held.info.service, now)

    def _conclude(
        self, held: _Request, outcome: events.AttemptOutcome
    ) -> list[events.Action]:
        if outcome is events.AttemptOutcome.ANSWERED:
            state = states.ClaimState.ANSWERED
            told: events.Action = events.Deliver(held.info.request)
        else:
            state = states.ClaimState.UNKNOWN
            if outcome in events.NOT_RUN_OUTCOMES:
                state = states.ClaimState.NOT_RUN
            failure = errors.Failure(
                _FAILURE_KINDS[outcome], _MESSAGES[outcome]
            )
            told = events.Refuse(held.info.request, failure)
        if not held.claimed:
            return [told]
        return [events.RecordOutcome(held.info, state), told]

    def _lose_caller(self, request: ids.RequestId) -> list[events.Action]:
        held = self._requests.get(request)
        if held is None or held.upstream is not None:
            # An attempt under way finishes, so that its outcome is known.
            return []
        return self._drop(held)

    def _drop(self, held: _Request) -> list[events.Action]:
        """Forget a request that was not sent to any upstream."""
        del self._requests[held.info.request]
        queue = self._queues[held.info.service]
        if held.info.request in queue:
            queue.remove(held.info.request)
        if held.info.key is None or held.poll_at is not None:
            return []
        return [events.RecordOutcome(held.info, states.ClaimState.NOT_RUN)]

    # Time, upstreams and configuration.

    def _check_time(self, now: float) -> list[events.Action]:
        actions: list[events.Action] = []
        for held in list(self._requests.values()):
            if held.upstream is not None:
                continue
            if now >= held.info.deadline:
                actions += self._drop(held)
                actions.append(self._get_late_answer(held))
            elif held.poll_at is not None and now >= held.poll_at:
                held.poll_at = now + CLAIM_POLL_S
                actions.append(events.RequestClaim(held.info))
        for address, upstream in list(self._upstreams.items()):
            if upstream.expires <= now and not upstream.in_flight:
                del self._upstreams[address]
        for service in list(self._queues):
            actions += self._dispatch(service, now)
        return actions

    def _get_late_answer(self, held: _Request) -> events.Action:
        if held.poll_at is not None:
            return _refuse(held.info.request, errors.ErrorKind.OUTCOME_UNKNOWN)
        return _refuse(held.info.request, errors.ErrorKind.QUEUE_TIMEOUT)

    def _hear_upstream(
        self, announced: announcements.Upstream, now: float
    ) -> list[events.Action]:
        known = self._upstreams.get(announced.address)
        if known is None:
            known = _Upstream(announced, now + UPSTREAM_EXPIRY_S)
            self._upstreams[announced.address] = known
        elif not _is_newer(announced, known.announced):
            return []
        known.announced = announced
        known.expires = now + UPSTREAM_EXPIRY_S
        return self._dispatch(announced.service, now)

    def _configure(
        self, event: events.ConfigurationChanged
    ) -> list[events.Action]:
        self._version = event.version
        self._services = {service.name: service for service in event.services}
        return []

    def _stop(self) -> list[events.Action]:
        self._stopping = True
        actions: list[events.Action] = []
        for held in list(self._requests.values()):
            if held.upstream is None:
                actions += self._drop(held)
                actions.append(
                    _refuse(held.info.request, errors.ErrorKind.STOPPING)
                )
        return actions


def _is_newer(
    announced: announcements.Upstream, known: announcements.Upstream
) -> bool:
    """Order announcements; leaving is final within an incarnation."""
    if announced.incarnation != known.incarnation:
        return announced.incarnation > known.incarnation
    return known.state is not states.UpstreamState.LEAVING or (
        announced.state is states.UpstreamState.LEAVING
    )


_REFUSALS = {
    errors.ErrorKind.STOPPING: 'this entry host is stopping',
    errors.ErrorKind.UNKNOWN_SERVICE: 'no service has this name',
    errors.ErrorKind.OVERLOADED: 'the queue of the service is full',
    errors.ErrorKind.QUEUE_TIMEOUT: 'no upstream became free in time',
    errors.ErrorKind.OUTCOME_UNKNOWN: (
        'an earlier copy was accepted, and its outcome is not known'
    ),
}


def _refuse(request: ids.RequestId, kind: errors.ErrorKind) -> events.Refuse:
    retry_after_s = 1.0 if errors.ANSWERS[kind].may_resend else None
    return events.Refuse(
        request,
        errors.Failure(kind, _REFUSALS[kind], retry_after_s=retry_after_s),
    )


@functools.singledispatch
def _handle(event: Any, router: Router, now: float) -> list[events.Action]:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle.register
def _(
    event: events.RequestArrived, router: Router, now: float
) -> list[events.Action]:
    return router._arrive(event.info, now)


@_handle.register
def _(
    event: events.ClaimGranted, router: Router, now: float
) -> list[events.Action]:
    return router._grant(event.request, now)


@_handle.register
def _(
    event: events.ClaimPending, router: Router, now: float
) -> list[events.Action]:
    return router._wait_for_outcome(event.request, now)


@_handle.register
def _(
    event: events.ClaimAnswered, router: Router, now: float
) -> list[events.Action]:
    return router._replay(event)


@_handle.register
def _(
    event: events.ClaimRefused, router: Router, now: float
) -> list[events.Action]:
    return router._refuse_claim(event)


@_handle.register
def _(
    event: events.AttemptEnded, router: Router, now: float
) -> list[events.Action]:
    return router._end_attempt(event, now)


@_handle.register
def _(
    event: events.CallerGone, router: Router, now: float
) -> list[events.Action]:
    return router._lose_caller(event.request)


@_handle.register
def _(
    event: events.UpstreamAnnounced, router: Router, now: float
) -> list[events.Action]:
    return router._hear_upstream(event.upstream, now)


@_handle.register
def _(
    event: events.ConfigurationChanged, router: Router, now: float
) -> list[events.Action]:
    return router._configure(event)


@_handle.register
def _(
    event: events.PeersChanged, router: Router, now: float
) -> list[events.Action]:
    return []


@_handle.register
def _(
    event: events.StopRequested, router: Router, now: float
) -> list[events.Action]:
    return router._stop()


@_handle.register
def _(
    event: events.TimerFired, router: Router, now: float
) -> list[events.Action]:
    return router._check_time(now)
