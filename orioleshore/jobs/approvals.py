"""Approvals of the policy service: the workers that may run a step.

Answers a service that is slower than the steps that come: it handles one call
at a time, also those that nobody waits for any more. So only a few calls wait
there, the step that needs one most goes first, and a call is given up only
after a multiple of the time that it and those before it take.
"""

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
# Unanswered calls at a time. While the service handles one, the next is on its
# way.
MAX_PENDING_CALLS = 2
# Steps whose workers are looked at for one call.
MAX_STEPS_PER_CALL = 8
# A call is given up after this many times the time that the service takes for
# it and those before it, and twice that after each such call in a row, up to
# the longest time.
PATIENCE = 3.0
MAX_TIMEOUT_S = 60.0
MAX_DOUBLINGS = 5
# Time that the outcome of a call takes to the scheduler besides the call; its
# order is committed first.
OUTCOME_S = 1.0
# Pauses after a call without an answer, and after one that was refused since
# too many wait at the service.
FAILURE_PAUSE_S = 0.3
BUSY_PAUSE_S = 1.0
# A ticket is not used this shortly before it expires, since the start order
# takes time to arrive.
TICKET_MARGIN_S = 0.3

MS_PER_S = 1_000.0

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
        # Time up to which the outcome of a call about a step is awaited, and
        # the order in which the steps were asked about.
        self._pending_until: dict[StepKey, float] = {}
        self._last_asked: dict[StepKey, int] = {}
        self._calls = 0
        # Time up to which each step has a valid ticket.
        self._valid_until: dict[StepKey, float] = {}
        self._unanswered_in_row = 0
        self._paused_until = 0.0

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
        self._forget_ended_steps()
        while self._can_call():
            steps = self._find_steps()
            if not any(self._request(*step) for step in steps):
                return

    def _can_call(self) -> bool:
        # An entry whose time is over has no call: its outcome was lost.
        now = self._scheduler.now
        pending = sum(now < until for until in self._pending_until.values())
        return pending < MAX_PENDING_CALLS and now >= self._paused_until

    def _forget_ended_steps(self) -> None:
        for entries in (
            self._tickets,
            self._refused,
            self._asked,
            self._pending_until,
            self._last_asked,
            self._valid_until,
        ):
            for key in list(entries):
                job = self._scheduler.jobs.get(key[0])
                if job is None or key[1:] not in job.groups:
                    del entries[key]

    def _find_steps(
        self,
    ) -> list[tuple[StepKey, progress.JobProgress, progress.Group]]:
        """Return the steps that may be asked about, the neediest first.

        Those with a worker that has room go before the others.
        """
        scheduler = self._scheduler
        found = []
        for job in scheduler.jobs.values():
            if not job.record.needs_approval:
                continue
            for group in job.find_startable_groups(scheduler.wall_time):
                key = (job.name, group.occurrence, group.position)
                if scheduler.now >= self._pending_until.get(key, 0.0):
                    found.append((key, job, group))
        found.sort(key=lambda step: self._get_rank(step[0], step[1]))
        del found[MAX_STEPS_PER_CALL:]
        return sorted(found, key=lambda step: not self._has_room(*step))

    def _get_rank(self, key: StepKey, job: progress.JobProgress) -> tuple:
        """Return the sort key of a step; the lowest is asked about first.

        Steps without a ticket come first, and among them those that were not
        asked about for longest.
        """
        return (
            self._scheduler.now < self._valid_until.get(key, 0.0),
            self._last_asked.get(key, 0),
            not job.is_long_running,
            job.record.priority,
            job.due_at,
        )

    def _has_room(
        self,
        key: StepKey,
        job: progress.JobProgress,
        group: progress.Group,
    ) -> bool:
        need = workers.get_reserved_resources(group.step)
        return any(
            workers.fits_into(need, worker.get_free_resources())
            for worker in self._find_candidates(key, job, group)
        )

    def record_answer(self, call: calls.NoteApprovals) -> None:
        """Record the answer of the policy service."""
        key = (call.job, call.occurrence, call.step)
        self._pending_until.pop(key, None)
        if not call.is_answered:
            self._record_failure(call)
            return
        self._unanswered_in_row = 0
        expires_at = (
            self._scheduler.now + call.validity_ms / MS_PER_S - TICKET_MARGIN_S
        )
        asked = self._asked.get(key, {})
        tickets = self._tickets.setdefault(key, {})
        for name, text in call.approved:
            if name in asked:
                tickets[asked[name]] = _Ticket(text, expires_at)
        if call.approved:
            self._valid_until[key] = expires_at
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

    def _record_failure(self, call: calls.NoteApprovals) -> None:
        """Pause after a call without an answer."""
        pause_s = BUSY_PAUSE_S if call.is_busy else FAILURE_PAUSE_S
        self._paused_until = self._scheduler.now + pause_s
        if not call.is_busy:
            self._unanswered_in_row += 1
        LOG.warning(
            logs.format_event(
                'approval_unanswered',
                job=call.job,
                step=call.step,
                busy=call.is_busy,
                in_row=self._unanswered_in_row,
            )
        )

    def _find_candidates(
        self,
        key: StepKey,
        job: progress.JobProgress,
        group: progress.Group,
    ) -> list[workers.Worker]:
        """Return the workers of which it is not known if they are approved."""
        scheduler = self._scheduler
        refused = self._refused.get(key, set())
        tickets = self._tickets.get(key, {})
        return [
            worker
            for worker in scheduler.get_pool_workers(job.record.pool)
            if eligibility.is_in_contact(scheduler, worker)
            and eligibility.has_required_label(worker, group.step)
            and worker.key not in refused
            and not self._is_valid(tickets.get(worker.key))
        ]

    def _request(
        self,
        key: StepKey,
        job: progress.JobProgress,
        group: progress.Group,
    ) -> bool:
        """Request approvals for a step; return whether there is a need."""
        scheduler = self._scheduler
        need = workers.get_reserved_resources(group.step)
        candidates = self._find_candidates(key, job, group)
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
        self._calls += 1
        self._last_asked[key] = self._calls
        if not asked:
            return False
        timeout_s = self._get_timeout_s(job, len(asked))
        self._asked[key] = asked
        self._pending_until[key] = scheduler.now + timeout_s + OUTCOME_S
        scheduler.orders.add_order(
            orders.AskApproval(*key, tuple(asked), timeout_s)
        )
        return True

    def _get_timeout_s(self, job: progress.JobProgress, asked: int) -> float:
        """Return how long a call may wait for its turn and its answer."""
        record = job.record
        call_ms = max(
            (
                queue.approval_ms + asked * queue.approval_worker_ms
                for queue in self._scheduler.ledger.configuration.queues
                if (queue.host, queue.prefix) == (record.host, record.prefix)
            ),
            default=0,
        )
        line_s = MAX_PENDING_CALLS * call_ms / MS_PER_S
        timeout_s = max(orders.APPROVAL_TIMEOUT_S, PATIENCE * line_s)
        doublings = min(self._unanswered_in_row, MAX_DOUBLINGS)
        return min(timeout_s * 2.0**doublings, MAX_TIMEOUT_S)

    def _is_valid(self, ticket: _Ticket | None) -> bool:
        return ticket is not None and ticket.expires_at > self._scheduler.now
