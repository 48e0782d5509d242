"""Approvals of the policy service: the workers that may run a step."""

from __future__ import annotations

import logging
import typing

import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import eligibility
from orioleshore.jobs import orders
from orioleshore.jobs import progress
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# Each worker of a call adds to the response time of the service, and more
# choice than this gains little.
MAX_WORKERS_PER_CALL = 30
# Unanswered calls at a time; the service queues 32 calls of all nodes.
MAX_PENDING_CALLS = 8
# An unanswered call is repeated after this time.
CALL_TIMEOUT_S = 3.0
# A ticket is not used this shortly before it expires, since the start order
# takes time to arrive.
TICKET_MARGIN_S = 0.3

StepKey = tuple[ids.JobId, int, int]


class _Ticket(msgspec.Struct, frozen=True):
    text: str
    expires_at: float


class Approvals:
    """Tickets that approve workers for steps; part of the scheduler."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        # A ticket is valid for one incarnation of its worker only, and the
        # next one may be of another kind.
        self._tickets: dict[StepKey, dict[workers.WorkerKey, _Ticket]] = {}
        # Workers that the service refused for a step; refusals are final.
        self._refused: dict[StepKey, set[workers.WorkerKey]] = {}
        # Workers of the last call about a step, by name.
        self._asked: dict[StepKey, dict[ids.WorkerId, workers.WorkerKey]] = {}
        self._pending_until: dict[StepKey, float] = {}

    def get_ticket(
        self,
        worker: workers.Worker,
        job: progress.JobProgress,
        group: progress.Group,
    ) -> str | None:
        """Return a valid ticket, None if the worker has none.

        The ticket is empty if the job needs no approval.
        """
        if not job.record.needs_approval:
            return ''
        key = (job.name, group.occurrence, group.position)
        ticket = self._tickets.get(key, {}).get(worker.key)
        if ticket is None or ticket.expires_at <= self._scheduler.now:
            return None
        return ticket.text

    def is_refused(
        self,
        worker: workers.Worker,
        job: progress.JobProgress,
        group: progress.Group,
    ) -> bool:
        """Return whether the policy service refused a worker for a step."""
        key = (job.name, group.occurrence, group.position)
        return worker.key in self._refused.get(key, ())

    def advance(self) -> None:
        """Request approvals for the steps that may start."""
        scheduler = self._scheduler
        startable_keys = set()
        for job in scheduler.jobs.values():
            if not job.record.needs_approval:
                continue
            for group in job.find_startable_groups(scheduler.wall_time):
                key = (job.name, group.occurrence, group.position)
                startable_keys.add(key)
                self._request_when_due(key, job, group)
        for entries in (
            self._tickets,
            self._refused,
            self._asked,
            self._pending_until,
        ):
            for key in entries.keys() - startable_keys:
                if key[0] not in scheduler.jobs:
                    del entries[key]

    def record_answer(self, call: calls.NoteApprovals) -> None:
        """Record the answer of the policy service."""
        key = (call.job, call.occurrence, call.step)
        self._pending_until.pop(key, None)
        if not call.is_answered:
            return
        expires_at = (
            self._scheduler.now + call.validity_ms / 1_000.0 - TICKET_MARGIN_S
        )
        asked = self._asked.get(key, {})
        tickets = self._tickets.setdefault(key, {})
        for name, text in call.approved:
            if name in asked:
                tickets[asked[name]] = _Ticket(text, expires_at)
        approved = {name for name, _ in call.approved}
        refused = set(call.asked) - approved
        self._refused.setdefault(key, set()).update(
            asked[name] for name in refused if name in asked
        )
        LOG.info(
            logs.format_event(
                'step_approved',
                job=call.job,
                step=call.step,
                approved=len(approved),
                refused=len(refused),
            )
        )

    def _request_when_due(
        self,
        key: StepKey,
        job: progress.JobProgress,
        group: progress.Group,
    ) -> None:
        scheduler = self._scheduler
        if scheduler.now < self._pending_until.get(key, 0.0):
            return
        # An entry whose time is over has no call: its answer was lost.
        pending = sum(
            scheduler.now < until for until in self._pending_until.values()
        )
        if pending >= MAX_PENDING_CALLS:
            return
        refused = self._refused.get(key, set())
        tickets = self._tickets.get(key, {})
        need = workers.get_reserved_resources(group.step)
        candidates = [
            worker
            for worker in scheduler.get_pool_workers(job.record.pool)
            if eligibility.is_in_contact(scheduler, worker)
            and eligibility.has_required_label(worker, group.step)
            and worker.key not in refused
            and not self._is_valid(tickets.get(worker.key))
        ]
        # Tickets expire, so those of full workers would be asked for again
        # before a large pool has been gone through.
        candidates.sort(
            key=lambda worker: (
                not workers.fits_into(need, worker.get_free_resources()),
                not eligibility.is_available(scheduler, worker),
            )
        )
        asked = {
            worker.name: worker.key
            for worker in candidates[:MAX_WORKERS_PER_CALL]
        }
        if not asked:
            return
        self._asked[key] = asked
        self._pending_until[key] = scheduler.now + CALL_TIMEOUT_S
        scheduler.orders.add_order(orders.AskApproval(*key, tuple(asked)))

    def _is_valid(self, ticket: _Ticket | None) -> bool:
        return ticket is not None and ticket.expires_at > self._scheduler.now
