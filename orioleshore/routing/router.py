"""Routing decisions of one entry host: admission, claims and attempts."""

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

# Queued requests may still start for this time after a stop is requested.
STOP_GRACE_S = 2.0


class _PendingRequest(msgspec.Struct):
    """A request without an answer; times are monotonic, in seconds."""

    info: events.RequestInfo
    claim: claims.Claim
    attempts: int = 0
    upstream: announcements.Upstream | None = None
    # Start time of the next attempt while a retry is scheduled.
    retry_at: float | None = None
    # Upstream of the last failed attempt; a retry prefers another one.
    failed_upstream: announcements.Upstream | None = None
    # A failed attempt may have run the request.
    is_uncertain: bool = False


class _ServiceState(msgspec.Struct):
    """Queue, retry budget and upstream health of one service."""

    queue: queues.AdmissionQueue
    budget: retries.RetryBudget
    health: health.HealthTracker
    retrying: list[_PendingRequest] = []
    awaiting_claim: set[ids.RequestId] = set()


class Router:
    """Decides on queues, claims and attempts of one entry host's requests."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._services: dict[ids.ServiceId, documents.Service] = {}
        self._version = ids.Version(0)
        self._supply = supply.Supply(rng)
        self._requests: dict[ids.RequestId, _PendingRequest] = {}
        self._service_states: dict[ids.ServiceId, _ServiceState] = {}
        self._in_flight = 0
        self._stop_deadline: float | None = None

    @property
    def in_flight_count(self) -> int:
        return self._in_flight

    @property
    def pending_count(self) -> int:
        return len(self._requests)

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions that follow from an event.

        ``now`` is monotonic, in seconds.
        """
        return _handle_event(event, self, now)

    def get_dump(self, now: float) -> dict[str, Any]:
        """Return all state of the routing decisions."""
        return {
            'version': self._version,
            'stopping': self._stop_deadline is not None,
            'requests': len(self._requests),
            'services': {
                name: {
                    'queued': len(service_state.queue),
                    'retrying': len(service_state.retrying),
                    'retry_budget': service_state.budget.tokens,
                    'ejected': service_state.health.get_ejected(now),
                }
                for name, service_state in sorted(self._service_states.items())
            },
            **self._supply.get_dump(now),
        }

    def get_demands(self, now: float) -> tuple[queries.ServiceDemand, ...]:
        """Return the pending requests of each service that has upstreams."""
        counts = collections.Counter(
            request.info.service for request in self._requests.values()
        )
        return tuple(
            queries.ServiceDemand(name, counts[name], slots)
            for name in sorted(self._services)
            if (slots := self._supply.count_slots(name, now))
        )

    def _get_service_state(self, service: ids.ServiceId) -> _ServiceState:
        service_state = self._service_states.get(service)
        if service_state is None:
            service_state = _ServiceState(
                queues.AdmissionQueue(),
                retries.RetryBudget(),
                health.HealthTracker(),
            )
            self._service_states[service] = service_state
        return service_state

    # Admission.

    def _admit_request(
        self, info: events.RequestInfo, now: float
    ) -> list[events.Action]:
        kind = self._find_refusal_kind(info, now)
        if kind is not None:
            wait_s = self._get_service_state(
                info.service
            ).queue.estimate_wait_s(info.priority)
            return [
                refusals.make_refusal(info.request, kind, max(1.0, wait_s))
            ]
        pending = _PendingRequest(info, claims.create_claim(info))
        self._requests[info.request] = pending
        if pending.claim.stage is claims.ClaimStage.REQUESTED:
            self._get_service_state(info.service).awaiting_claim.add(
                info.request
            )
            return [events.RequestClaim(info)]
        return self._enqueue_request(pending, now)

    def _find_refusal_kind(
        self, info: events.RequestInfo, now: float
    ) -> errors.ErrorKind | None:
        if self._stop_deadline is not None:
            return errors.ErrorKind.STOPPING
        service = self._services.get(info.service)
        if service is None:
            return errors.ErrorKind.UNKNOWN_SERVICE
        queue = self._get_service_state(info.service).queue
        limit = service.limits.queue_length
        limit -= len(self._get_service_state(info.service).awaiting_claim)
        if queue.is_full(info.priority, limit):
            return errors.ErrorKind.OVERLOADED
        if info.priority is states.Priority.DEFERRABLE:
            return None
        if now + queue.estimate_wait_s(info.priority) > info.deadline:
            return errors.ErrorKind.DEADLINE_UNREACHABLE
        return None

    def _enqueue_request(
        self, pending: _PendingRequest, now: float
    ) -> list[events.Action]:
        self._get_service_state(pending.info.service).queue.push(pending.info)
        return self._dispatch_requests(pending.info.service, now)

    # Claims.

    def _grant_claim(
        self, request: ids.RequestId, now: float
    ) -> list[events.Action]:
        pending = self._requests.get(request)
        if pending is None or pending.claim.stage is claims.ClaimStage.GRANTED:
            return []
        pending.claim = claims.Claim(claims.ClaimStage.GRANTED)
        self._get_service_state(pending.info.service).awaiting_claim.discard(
            request
        )
        return self._enqueue_request(pending, now)

    def _schedule_claim_poll(
        self, request: ids.RequestId, now: float
    ) -> list[events.Action]:
        pending = self._requests.get(request)
        if pending is not None:
            pending.claim.mark_taken(now)
        return []

    def _replay_answer(
        self, event: events.ClaimAnswered
    ) -> list[events.Action]:
        if self._pop_unclaimed_request(event.request) is None:
            return []
        return [events.Replay(event.request, event.answer)]

    def _handle_claim_refused(
        self, event: events.ClaimRefused
    ) -> list[events.Action]:
        pending = self._pop_unclaimed_request(event.request)
        if pending is None:
            return []
        if event.failure.kind is not errors.ErrorKind.CLAIM_UNAVAILABLE:
            return [events.Refuse(event.request, event.failure)]
        refusal = events.Refuse(event.request, event.failure)
        if pending.claim.stage is claims.ClaimStage.TAKEN:
            # The duplicate that holds the claim may have run.
            refusal = refusals.make_refusal(
                event.request, errors.ErrorKind.OUTCOME_UNKNOWN
            )
        # Releases the key even if the claim is committed later.
        return [
            events.RecordOutcome(pending.info, states.ClaimState.NOT_RUN),
            refusal,
        ]

    def _pop_unclaimed_request(
        self, request: ids.RequestId
    ) -> _PendingRequest | None:
        pending = self._requests.get(request)
        if pending is None or pending.claim.stage is claims.ClaimStage.GRANTED:
            # Late answer to a repeated claim request.
            return None
        self._get_service_state(pending.info.service).awaiting_claim.discard(
            request
        )
        return self._requests.pop(request)

    # Attempts.

    def _dispatch_requests(
        self, service: ids.ServiceId, now: float
    ) -> list[events.Action]:
        service_state = self._get_service_state(service)
        if not service_state.queue and not service_state.retrying:
            return []
        usable = self._supply.get_usable(service, service_state.health, now)
        actions = self._start_retries(service_state, usable, now)
        while service_state.queue:
            upstream = self._supply.choose_upstream(usable, now)
            if upstream is None:
                break
            pending = self._requests[service_state.queue.pop(now)]
            service_state.budget.add_first_attempt()
            actions.append(self._start_attempt(pending, upstream, now))
        actions += self._supply.request_slots(
            usable, len(service_state.queue), now
        )
        for pending in service_state.retrying:
            if now >= pending.retry_at:
                candidates = supply.get_retry_candidates(
                    usable, pending.failed_upstream
                )
                actions += self._supply.request_slots(candidates, 1, now)
        return actions

    def _start_retries(
        self,
        service_state: _ServiceState,
        usable: list[announcements.Upstream],
        now: float,
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        for pending in [
            item for item in service_state.retrying if now >= item.retry_at
        ]:
            candidates = supply.get_retry_candidates(
                usable, pending.failed_upstream
            )
            upstream = self._supply.choose_upstream(candidates, now)
            if upstream is not None:
                service_state.retrying.remove(pending)
                actions.append(self._start_attempt(pending, upstream, now))
        return actions

    def _start_attempt(
        self,
        pending: _PendingRequest,
        upstream: announcements.Upstream,
        now: float,
    ) -> events.Action:
        pending.attempts += 1
        pending.upstream = upstream
        pending.retry_at = None
        self._in_flight += 1
        self._supply.holder.use_slot(upstream.address, now)
        service = self._services.get(pending.info.service)
        limits = service.limits if service else documents.Limits()
        # A retry uses a new connection, because the fault of the first
        # attempt may affect all keep-alive connections.
        can_keep_alive = pending.info.key is None and pending.attempts == 1
        return events.StartAttempt(
            pending.info.request,
            ids.Attempt(pending.attempts),
            upstream.address,
            min(limits.attempt_timeout_s, pending.info.deadline - now),
            can_keep_alive and self._supply.can_keep_alive(upstream),
        )

    def _end_attempt(
        self, event: events.AttemptEnded, now: float
    ) -> list[events.Action]:
        pending = self._requests.get(event.request)
        if pending is None or pending.upstream is None:
            return []
        self._in_flight -= 1
        actions = self._supply.holder.release_slot(event.upstream, now)
        service_state = self._get_service_state(pending.info.service)
        serving = self._supply.table.get_serving(pending.info.service, now)
        service_state.health.record_attempt(event, len(serving), now)
        if self._schedule_retry(pending, event, service_state, now):
            return actions + self._dispatch_requests(pending.info.service, now)
        del self._requests[event.request]
        actions += _conclude_request(pending, event.outcome)
        return actions + self._dispatch_requests(pending.info.service, now)

    def _schedule_retry(
        self,
        pending: _PendingRequest,
        ended: events.AttemptEnded,
        service_state: _ServiceState,
        now: float,
    ) -> bool:
        if self._stop_deadline is not None and now >= self._stop_deadline:
            return False
        if not retries.is_retryable(
            pending.info, ended, pending.attempts, now
        ):
            return False
        if not service_state.budget.try_spend_token():
            return False
        pending.is_uncertain |= ended.outcome not in events.NOT_RUN_OUTCOMES
        pending.failed_upstream = pending.upstream
        pending.upstream = None
        pending.retry_at = now + retries.get_backoff_s(
            pending.attempts, self._rng
        )
        service_state.retrying.append(pending)
        return True

    # Dropped requests and periodic checks.

    def _drop_abandoned_request(
        self, request: ids.RequestId
    ) -> list[events.Action]:
        pending = self._requests.get(request)
        if pending is None or pending.upstream is not None:
            # A running attempt is completed, so that its outcome is known.
            return []
        return self._drop_request(pending, errors.ErrorKind.CALLER_GONE)

    def _drop_request(
        self, pending: _PendingRequest, kind: errors.ErrorKind
    ) -> list[events.Action]:
        """End a request that has no running attempt."""
        request = pending.info.request
        del self._requests[request]
        service_state = self._get_service_state(pending.info.service)
        service_state.queue.remove(request)
        if pending in service_state.retrying:
            service_state.retrying.remove(pending)
        service_state.awaiting_claim.discard(request)
        if pending.claim.stage is claims.ClaimStage.TAKEN:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
        elif pending.is_uncertain:
            kind = errors.ErrorKind.UPSTREAM_FAILED
        actions: list[events.Action] = []
        if pending.claim.stage is not claims.ClaimStage.NOT_NEEDED:
            actions.append(
                events.RecordOutcome(pending.info, states.ClaimState.NOT_RUN)
            )
        return [*actions, refusals.make_refusal(request, kind)]

    def _handle_timer(self, now: float) -> list[events.Action]:
        actions: list[events.Action] = []
        for pending in list(self._requests.values()):
            actions += self._check_pending_request(pending, now)
        for address in self._supply.remove_expired(now):
            for service_state in self._service_states.values():
                service_state.health.forget_upstream(address)
        for service in self._service_states:
            actions += self._dispatch_requests(service, now)
        return actions + self._supply.update_leases(
            self._get_slot_needs(now), now
        )

    def _check_pending_request(
        self, pending: _PendingRequest, now: float
    ) -> list[events.Action]:
        if pending.upstream is not None:
            return []
        if now >= pending.info.deadline:
            return self._drop_request(
                pending, self._get_timeout_kind(pending, now)
            )
        if self._stop_deadline is not None and now >= self._stop_deadline:
            return self._drop_request(pending, errors.ErrorKind.STOPPING)
        if pending.claim.is_poll_due(now):
            pending.claim.mark_taken(now)
            return [events.RequestClaim(pending.info)]
        return []

    def _get_timeout_kind(
        self, pending: _PendingRequest, now: float
    ) -> errors.ErrorKind:
        if pending.claim.stage is claims.ClaimStage.REQUESTED:
            return errors.ErrorKind.CLAIM_UNAVAILABLE
        if not self._supply.table.get_serving(pending.info.service, now):
            return errors.ErrorKind.NO_UPSTREAM
        return errors.ErrorKind.QUEUE_TIMEOUT

    def _get_slot_needs(self, now: float) -> dict[ids.UpstreamId, int]:
        """Return the slots that queued requests could use, by upstream."""
        needs: dict[ids.UpstreamId, int] = {}
        for service, service_state in self._service_states.items():
            queued = len(service_state.queue)
            if not queued:
                continue
            usable = self._supply.get_usable(
                service, service_state.health, now
            )
            for upstream in usable:
                in_flight = self._supply.holder.get_in_flight(upstream.address)
                share = -(-queued // len(usable))
                needs[upstream.address] = min(
                    share, max(0, upstream.slots - in_flight)
                )
        return needs

    # Slots, upstreams and configuration.

    def _apply_grant(
        self, event: events.SlotsGranted, now: float
    ) -> list[events.Action]:
        actions = self._supply.holder.apply_grant(event, now)
        upstream = self._supply.table.get(event.upstream)
        if upstream is None:
            return actions
        return actions + self._dispatch_requests(upstream.service, now)

    def _update_upstream(
        self, event: events.UpstreamAnnounced, now: float
    ) -> list[events.Action]:
        if not self._supply.table.update(event.upstream, now):
            return []
        actions: list[events.Action] = []
        if event.is_direct:
            actions.append(events.SpreadAnnouncement(event.upstream))
        return actions + self._dispatch_requests(event.upstream.service, now)

    def _apply_configuration(
        self, event: events.ConfigurationChanged
    ) -> list[events.Action]:
        self._version = event.version
        self._services = {service.name: service for service in event.services}
        return []

    def _begin_stop(self, now: float) -> list[events.Action]:
        if self._stop_deadline is None:
            self._stop_deadline = now + STOP_GRACE_S
        return []


def _conclude_request(
    pending: _PendingRequest, outcome: events.AttemptOutcome
) -> list[events.Action]:
    request = pending.info.request
    if outcome is events.AttemptOutcome.ANSWERED:
        state = states.ClaimState.ANSWERED
        reply: events.Action = events.Deliver(request)
    else:
        state = states.ClaimState.UNKNOWN
        if outcome in events.NOT_RUN_OUTCOMES:
            state = states.ClaimState.NOT_RUN
        reply = refusals.make_outcome_refusal(request, outcome)
        if state is states.ClaimState.NOT_RUN and pending.is_uncertain:
            reply = refusals.make_refusal(
                request, errors.ErrorKind.UPSTREAM_FAILED
            )
    if pending.claim.stage is not claims.ClaimStage.GRANTED:
        return [reply]
    return [events.RecordOutcome(pending.info, state), reply]


@functools.singledispatch
def _handle_event(
    event: Any, router: Router, now: float
) -> list[events.Action]:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle_event.register
def _(
    event: events.RequestArrived, router: Router, now: float
) -> list[events.Action]:
    return router._admit_request(event.info, now)


@_handle_event.register
def _(
    event: events.ClaimGranted, router: Router, now: float
) -> list[events.Action]:
    return router._grant_claim(event.request, now)


@_handle_event.register
def _(
    event: events.ClaimPending, router: Router, now: float
) -> list[events.Action]:
    return router._schedule_claim_poll(event.request, now)


@_handle_event.register
def _(
    event: events.ClaimAnswered, router: Router, now: float
) -> list[events.Action]:
    return router._replay_answer(event)


@_handle_event.register
def _(
    event: events.ClaimRefused, router: Router, now: float
) -> list[events.Action]:
    return router._handle_claim_refused(event)


@_handle_event.register
def _(
    event: events.AttemptEnded, router: Router, now: float
) -> list[events.Action]:
    return router._end_attempt(event, now)


@_handle_event.register
def _(
    event: events.CallerGone, router: Router, now: float
) -> list[events.Action]:
    return router._drop_abandoned_request(event.request)


@_handle_event.register
def _(
    event: events.UpstreamAnnounced, router: Router, now: float
) -> list[events.Action]:
    return router._update_upstream(event, now)


@_handle_event.register
def _(
    event: events.ConfigurationChanged, router: Router, now: float
) -> list[events.Action]:
    return router._apply_configuration(event)


@_handle_event.register
def _(
    event: events.PeersChanged, router: Router, now: float
) -> list[events.Action]:
    return router._supply.set_peers(event, now)


@_handle_event.register
def _(
    event: events.SlotsRequested, router: Router, now: float
) -> list[events.Action]:
    return router._supply.handle_slot_request(event, now)


@_handle_event.register
def _(
    event: events.SlotsGranted, router: Router, now: float
) -> list[events.Action]:
    return router._apply_grant(event, now)


@_handle_event.register
def _(
    event: events.SlotsReturned, router: Router, now: float
) -> list[events.Action]:
    return router._supply.handle_slot_return(event, now)


@_handle_event.register
def _(
    event: events.StopRequested, router: Router, now: float
) -> list[events.Action]:
    return router._begin_stop(now)


@_handle_event.register
def _(
    event: events.TimerFired, router: Router, now: float
) -> list[events.Action]:
    return router._handle_timer(now)
