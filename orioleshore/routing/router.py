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
from orioleshore.routing import claims
from orioleshore.routing import events
from orioleshore.routing import health
from orioleshore.routing import queues
from orioleshore.routing import refusals
from orioleshore.routing import retries
from orioleshore.routing import supply
from orioleshore.state import queries

# After a stop is requested, queued work may still start for this time.
STOP_GRACE_S = 2.0


class _Request(msgspec.Struct):
    info: events.RequestInfo
    claim: claims.Claim
    attempts: int = 0
    upstream: announcements.Upstream | None = None
    # Set between two attempts: when, and where the last one was.
    retry_at: float | None = None
    failed_at: announcements.Upstream | None = None
    # Whether an attempt that failed may have run the request.
    is_uncertain: bool = False


class _Line(msgspec.Struct):
    """What belongs to one service."""

    queue: queues.AdmissionQueue
    budget: retries.RetryBudget
    health: health.HealthTracker
    retrying: list[_Request] = []
    claiming: set[ids.RequestId] = set()


class Router:
    """Queues, claims and attempts of the requests of one entry host."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._services: dict[ids.ServiceId, documents.Service] = {}
        self._version = ids.Version(0)
        self._supply = supply.Supply(randomness)
        self._requests: dict[ids.RequestId, _Request] = {}
        self._lines: dict[ids.ServiceId, _Line] = {}
        self._in_flight = 0
        self._refuse_from: float | None = None

    @property
    def in_flight(self) -> int:
        return self._in_flight

    @property
    def held(self) -> int:
        return len(self._requests)

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions that follow from an event.

        ``now`` is monotonic, in seconds.
        """
        return _handle(event, self, now)

    def get_dump(self, now: float) -> dict[str, Any]:
        """Return all state of the routing decisions."""
        return {
            'version': self._version,
            'stopping': self._refuse_from is not None,
            'requests': len(self._requests),
            'services': {
                name: {
                    'queued': len(line.queue),
                    'retrying': len(line.retrying),
                    'retry_budget': line.budget.tokens,
                    'ejected': line.health.get_ejected(now),
                }
                for name, line in sorted(self._lines.items())
            },
            **self._supply.get_dump(now),
        }

    def get_demands(self, now: float) -> tuple[queries.ServiceDemand, ...]:
        """Return the requests held for each service that has upstreams."""
        held = collections.Counter(
            request.info.service for request in self._requests.values()
        )
        return tuple(
            queries.ServiceDemand(name, held[name], slots)
            for name in sorted(self._services)
            if (slots := self._supply.count_slots(name, now))
        )

    def _get_line(self, service: ids.ServiceId) -> _Line:
        line = self._lines.get(service)
        if line is None:
            line = _Line(
                queues.AdmissionQueue(),
                retries.RetryBudget(),
                health.HealthTracker(),
            )
            self._lines[service] = line
        return line

    # Admission.

    def _arrive(
        self, info: events.RequestInfo, now: float
    ) -> list[events.Action]:
        kind = self._find_obstacle(info, now)
        if kind is not None:
            wait_s = self._get_line(info.service).queue.estimate_wait_s(
                info.priority
            )
            return [refusals.refuse(info.request, kind, max(1.0, wait_s))]
        held = _Request(info, claims.create_claim(info))
        self._requests[info.request] = held
        if held.claim.stage is claims.ClaimStage.REQUESTED:
            self._get_line(info.service).claiming.add(info.request)
            return [events.RequestClaim(info)]
        return self._enqueue(held, now)

    def _find_obstacle(
        self, info: events.RequestInfo, now: float
    ) -> errors.ErrorKind | None:
        if self._refuse_from is not None:
            return errors.ErrorKind.STOPPING
        service = self._services.get(info.service)
        if service is None:
            return errors.ErrorKind.UNKNOWN_SERVICE
        queue = self._get_line(info.service).queue
        limit = service.limits.queue_length
        limit -= len(self._get_line(info.service).claiming)
        if queue.is_full(info.priority, limit):
            return errors.ErrorKind.OVERLOADED
        if info.priority is states.Priority.DEFERRABLE:
            return None
        if now + queue.estimate_wait_s(info.priority) > info.deadline:
            return errors.ErrorKind.DEADLINE_UNREACHABLE
        return None

    def _enqueue(self, held: _Request, now: float) -> list[events.Action]:
        self._get_line(held.info.service).queue.push(held.info)
        return self._dispatch(held.info.service, now)

    # Claims.

    def _grant_claim(
        self, request: ids.RequestId, now: float
    ) -> list[events.Action]:
        held = self._requests.get(request)
        if held is None or held.claim.stage is claims.ClaimStage.GRANTED:
            return []
        held.claim = claims.Claim(claims.ClaimStage.GRANTED)
        self._get_line(held.info.service).claiming.discard(request)
        return self._enqueue(held, now)

    def _wait_for_outcome(
        self, request: ids.RequestId, now: float
    ) -> list[events.Action]:
        held = self._requests.get(request)
        if held is not None:
            held.claim.take(now)
        return []

    def _replay(self, event: events.ClaimAnswered) -> list[events.Action]:
        if self._end_claim(event.request) is None:
            return []
        return [events.Replay(event.request, event.answer)]

    def _refuse_claim(self, event: events.ClaimRefused) -> list[events.Action]:
        held = self._end_claim(event.request)
        if held is None:
            return []
        if event.failure.kind is not errors.ErrorKind.CLAIM_UNAVAILABLE:
            return [events.Refuse(event.request, event.failure)]
        told = events.Refuse(event.request, event.failure)
        if held.claim.stage is claims.ClaimStage.TAKEN:
            # The other copy may have run.
            told = refusals.refuse(
                event.request, errors.ErrorKind.OUTCOME_UNKNOWN
            )
        # Releases the key, also when the claim is committed later.
        return [
            events.RecordOutcome(held.info, states.ClaimState.NOT_RUN),
            told,
        ]

    def _end_claim(self, request: ids.RequestId) -> _Request | None:
        held = self._requests.get(request)
        if held is None or held.claim.stage is claims.ClaimStage.GRANTED:
            # A late answer to a repeated question.
            return None
        self._get_line(held.info.service).claiming.discard(request)
        return self._requests.pop(request)

    # Attempts.

    def _dispatch(
        self, service: ids.ServiceId, now: float
    ) -> list[events.Action]:
        line = self._get_line(service)
        if not line.queue and not line.retrying:
            return []
        usable = self._supply.get_usable(service, line.health, now)
        actions = self._start_retries(line, usable, now)
        while line.queue:
            upstream = self._supply.choose(usable, now)
            if upstream is None:
                break
            held = self._requests[line.queue.pop(now)]
            line.budget.earn()
            actions.append(self._start(held, upstream, now))
        actions += self._supply.want(usable, len(line.queue), now)
        for held in line.retrying:
            if now >= held.retry_at:
                others = supply.get_others(usable, held.failed_at)
                actions += self._supply.want(others, 1, now)
        return actions

    def _start_retries(
        self,
        line: _Line,
        usable: list[announcements.Upstream],
        now: float,
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for held in [item for item in line.retrying if now >= item.retry_at]:
            others = supply.get_others(usable, held.failed_at)
            upstream = self._supply.choose(others, now)
            if upstream is not None:
                line.retrying.remove(held)
                actions.append(self._start(held, upstream, now))
        return actions

    def _start(
        self,
        held: _Request,
        upstream: announcements.Upstream,
        now: float,
    ) -> events.Action:
        held.attempts += 1
        held.upstream = upstream
        held.retry_at = None
        self._in_flight += 1
        self._supply.holder.take(upstream.address, now)
        service = self._services.get(held.info.service)
        limits = service.limits if service else documents.Limits()
        # What disturbed a first attempt may concern all kept connections.
        may_keep = held.info.key is None and held.attempts == 1
        return events.StartAttempt(
            held.info.request,
            ids.Attempt(held.attempts),
            upstream.address,
            min(limits.attempt_timeout_s, held.info.deadline - now),
            may_keep and self._supply.may_keep(upstream),
        )

    def _end_attempt(
        self, event: events.AttemptEnded, now: float
    ) -> list[events.Action]:
        held = self._requests.get(event.request)
        if held is None or held.upstream is None:
            return []
        self._in_flight -= 1
        actions = self._supply.holder.release(event.upstream, now)
        line = self._get_line(held.info.service)
        known = self._supply.table.get_serving(held.info.service, now)
        line.health.note(event, len(known), now)
        if self._retry(held, event, line, now):
            return actions + self._dispatch(held.info.service, now)
        del self._requests[event.request]
        actions += _conclude(held, event.outcome)
        return actions + self._dispatch(held.info.service, now)

    def _retry(
        self,
        held: _Request,
        ended: events.AttemptEnded,
        line: _Line,
        now: float,
    ) -> bool:
        if self._refuse_from is not None and now >= self._refuse_from:
            return False
        if not retries.is_retryable(held.info, ended, held.attempts, now):
            return False
        if not line.budget.spend():
            return False
        held.is_uncertain |= ended.outcome not in events.NOT_RUN_OUTCOMES
        held.failed_at = held.upstream
        held.upstream = None
        held.retry_at = now + retries.get_backoff_s(
            held.attempts, self._random
        )
        line.retrying.append(held)
        return True

    # Requests that end without an attempt.

    def _drop_caller(self, request: ids.RequestId) -> list[events.Action]:
        held = self._requests.get(request)
        if held is None or held.upstream is not None:
            # An attempt under way finishes, so that its outcome is known.
            return []
        return self._drop(held, errors.ErrorKind.CALLER_GONE)

    def _drop(
        self, held: _Request, kind: errors.ErrorKind
    ) -> list[events.Action]:
        """End a request that has no attempt under way."""
        request = held.info.request
        del self._requests[request]
        line = self._get_line(held.info.service)
        line.queue.remove(request)
        if held in line.retrying:
            line.retrying.remove(held)
        line.claiming.discard(request)
        if held.claim.stage is claims.ClaimStage.TAKEN:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
        elif held.is_uncertain:
            kind = errors.ErrorKind.UPSTREAM_FAILED
        actions: list[events.Action] = []
        if held.claim.stage is not claims.ClaimStage.NOT_NEEDED:
            actions.append(
                events.RecordOutcome(held.info, states.ClaimState.NOT_RUN)
            )
        return [*actions, refusals.refuse(request, kind)]

    def _check_time(self, now: float) -> list[events.Action]:
        actions: list[events.Action] = []
        for held in list(self._requests.values()):
            actions += self._check_request(held, now)
        for address in self._supply.remove_expired(now):
            for line in self._lines.values():
                line.health.forget(address)
        for service in self._lines:
            actions += self._dispatch(service, now)
        return actions + self._supply.check(self._get_needs(now), now)

    def _check_request(
        self, held: _Request, now: float
    ) -> list[events.Action]:
        if held.upstream is not None:
            return []
        if now >= held.info.deadline:
            return self._drop(held, self._get_late_kind(held, now))
        if self._refuse_from is not None and now >= self._refuse_from:
            return self._drop(held, errors.ErrorKind.STOPPING)
        if held.claim.is_poll_due(now):
            held.claim.take(now)
            return [events.RequestClaim(held.info)]
        return []

    def _get_late_kind(self, held: _Request, now: float) -> errors.ErrorKind:
        if held.claim.stage is claims.ClaimStage.REQUESTED:
            return errors.ErrorKind.CLAIM_UNAVAILABLE
        if not self._supply.table.get_serving(held.info.service, now):
            return errors.ErrorKind.NO_UPSTREAM
        return errors.ErrorKind.QUEUE_TIMEOUT

    def _get_needs(self, now: float) -> dict[ids.UpstreamId, int]:
        """Return the slots that each upstream could use for queued work."""
        needs: dict[ids.UpstreamId, int] = {}
        for service, line in self._lines.items():
            queued = len(line.queue)
            if not queued:
                continue
            usable = self._supply.get_usable(service, line.health, now)
            for upstream in usable:
                in_flight = self._supply.holder.get_in_flight(upstream.address)
                part = -(-queued // len(usable))
                needs[upstream.address] = min(
                    part, max(0, upstream.slots - in_flight)
                )
        return needs

    # Slots, upstreams and configuration.

    def _take_slots(
        self, event: events.SlotsGranted, now: float
    ) -> list[events.Action]:
        actions = self._supply.holder.grant(event, now)
        upstream = self._supply.table.get(event.upstream)
        if upstream is None:
            return actions
        return actions + self._dispatch(upstream.service, now)

    def _hear_upstream(
        self, event: events.UpstreamAnnounced, now: float
    ) -> list[events.Action]:
        if not self._supply.table.update(event.upstream, now):
            return []
        actions: list[events.Action] = []
        if event.is_direct:
            actions.append(events.SpreadAnnouncement(event.upstream))
        return actions + self._dispatch(event.upstream.service, now)

    def _configure(
        self, event: events.ConfigurationChanged
    ) -> list[events.Action]:
        self._version = event.version
        self._services = {service.name: service for service in event.services}
        return []

    def _stop(self, now: float) -> list[events.Action]:
        if self._refuse_from is None:
            self._refuse_from = now + STOP_GRACE_S
        return []


def _conclude(
    held: _Request, outcome: events.AttemptOutcome
) -> list[events.Action]:
    request = held.info.request
    if outcome is events.AttemptOutcome.ANSWERED:
        state = states.ClaimState.ANSWERED
        told: events.Action = events.Deliver(request)
    else:
        state = states.ClaimState.UNKNOWN
        if outcome in events.NOT_RUN_OUTCOMES:
            state = states.ClaimState.NOT_RUN
        told = refusals.refuse_outcome(request, outcome)
        if state is states.ClaimState.NOT_RUN and held.is_uncertain:
            told = refusals.refuse(request, errors.ErrorKind.UPSTREAM_FAILED)
    if held.claim.stage is not claims.ClaimStage.GRANTED:
        return [told]
    return [events.RecordOutcome(held.info, state), told]


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
    return router._grant_claim(event.request, now)


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
    return router._drop_caller(event.request)


@_handle.register
def _(
    event: events.UpstreamAnnounced, router: Router, now: float
) -> list[events.Action]:
    return router._hear_upstream(event, now)


@_handle.register
def _(
    event: events.ConfigurationChanged, router: Router, now: float
) -> list[events.Action]:
    return router._configure(event)


@_handle.register
def _(
    event: events.PeersChanged, router: Router, now: float
) -> list[events.Action]:
    return router._supply.change_peers(event, now)


@_handle.register
def _(
    event: events.SlotsRequested, router: Router, now: float
) -> list[events.Action]:
    return router._supply.request_slots(event, now)


@_handle.register
def _(
    event: events.SlotsGranted, router: Router, now: float
) -> list[events.Action]:
    return router._take_slots(event, now)


@_handle.register
def _(
    event: events.SlotsReturned, router: Router, now: float
) -> list[events.Action]:
    return router._supply.take_back_slots(event, now)


@_handle.register
def _(
    event: events.StopRequested, router: Router, now: float
) -> list[events.Action]:
    return router._stop(now)


@_handle.register
def _(
    event: events.TimerFired, router: Router, now: float
) -> list[events.Action]:
    return router._check_time(now)
