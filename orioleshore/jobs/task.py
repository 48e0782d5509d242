"""Task that runs the scheduler on the leader and commits its changes."""

import asyncio
import collections
from collections.abc import Iterator
import functools
import logging
from typing import Any

import msgspec
from result import Ok

from orioleshore.consensus import member_messages
from orioleshore.jobs import answers
from orioleshore.jobs import calls
from orioleshore.jobs import change_metrics
from orioleshore.jobs import commits
from orioleshore.jobs import dumping
from orioleshore.jobs import failure_pauses
from orioleshore.jobs import ledger_copies
from orioleshore.jobs import organisation_status
from orioleshore.jobs import scheduler
from orioleshore.jobs import ticking
from orioleshore.jobs import tuning
from orioleshore.jobs import turns
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import latencies
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 4_096
TICK = ids.TimerId('jobs-tick')
# Interval at which leases and waves are checked; well below their timeouts.
TICK_S = 0.1


class GetJobsDump(msgspec.Struct, frozen=True):
    """Requests a dump of the scheduler's state."""

    answer: reply.Reply


class GetOrganisationMetrics(msgspec.Struct, frozen=True):
    """Requests the usage of organisations, none if this member follows."""

    answer: reply.Reply


class JobsTask(task.Task):
    """Runs the scheduler while this member leads.

    Answers are sent after the commit of the changes that they depend on. One
    group of changes is committed at a time; later changes form the next
    group. A group without changes only confirms that this member still
    leads.
    """

    def __init__(
        self,
        limits: tuning.SchedulerLimits,
        public_address: str,
        consensus: mailbox.Mailbox,
        timers: service.TimerService,
        recorder: latencies.Recorder,
    ) -> None:
        super().__init__(mailbox.Mailbox('jobs', MAILBOX_CAPACITY))
        self._limits = limits
        self._public_address = public_address
        self._consensus = consensus
        self._timers = timers
        self._hosts_mailbox: mailbox.Mailbox | None = None
        self._scheduler: scheduler.Scheduler | None = None
        # Restores the jobs of the log a few at a time, None once done.
        self._restoring: Iterator[None] | None = None
        self._queue = commits.CommitQueue()
        self._in_flight: commits.Batch | None = None
        self._committing_since = 0.0
        # Kept apart from the mailbox, where they would wait behind the calls,
        # and be lost while it is full.
        self._outcomes: collections.deque[commits.Committed] = (
            collections.deque()
        )
        # True after a call failed, until the scheduler is rebuilt from the
        # log.
        self._is_rebuilding = False
        self._pauses = failure_pauses.FailurePauses()
        self._latencies = recorder
        self._turns = turns.TurnMeter(timers.clock, recorder)

    def set_hosts_mailbox(self, hosts: mailbox.Mailbox) -> None:
        """Set the mailbox of the task that carries out orders about hosts."""
        self._hosts_mailbox = hosts

    async def open(self) -> None:
        """Subscribe to the tick."""
        self._timers.subscribe_every(self.mailbox, TICK, TICK_S)

    async def close(self) -> None:
        """Answer all pending calls with a failure."""
        self._timers.cancel(self.mailbox, TICK)
        self._stop_leading()

    async def handle(self, message: Any) -> None:
        """Handle all queued messages, then commit their changes."""
        self._turns.begin()
        while message is not None:
            _handle_message(message, self)
            await self._restore_jobs()
            if self._turns.count_message():
                if self._scheduler is not None:
                    self._scheduler.bounds[states.Bound.TURN] += 1
                self._commit_changes()
                await self._yield_turn()
            self._finish_commits()
            message = self.mailbox.get_nowait()
        self._commit_changes()
        self._turns.end()

    async def _yield_turn(self) -> None:
        """Let the other tasks of the process go on, and begin a new turn."""
        await asyncio.sleep(self._turns.end())
        self._turns.begin()

    async def _restore_jobs(self) -> None:
        """Restore the jobs of a new leader, with turns for other tasks."""
        if self._restoring is None:
            return
        for _ in self._restoring:
            if self._turns.count_message():
                await self._yield_turn()
        self._restoring = None

    def _get_monotonic(self) -> float:
        return self._timers.clock.get_monotonic()

    def _handle_call(self, request: calls.CallRequest) -> None:
        if self._scheduler is None or self._is_rebuilding:
            self._count_heartbeat(request.call, 'no_leader')
            request.answer.resolve(
                answers.build_not_leader_error(errors.ErrorKind.NOT_LEADER)
            )
            return
        if isinstance(request.call, calls.NoteUpkeep | calls.NoteMove):
            self._latencies.count(
                'host_answers_total', outcome=request.call.outcome.value
            )
        now = self._get_monotonic()
        if calls.is_late_heartbeat(request, now):
            self._count_heartbeat(request.call, 'late')
            self._note_heartbeat_delay(0, request.received_at)
            request.answer.resolve(answers.build_late_heartbeat_error())
            return
        call = calls.shorten_heartbeat(request, now)
        source = calls.get_source(request.call)
        if self._pauses.is_source_paused(source, now):
            request.answer.resolve(answers.build_failed_call_error())
            return
        try:
            outcome = self._scheduler.handle(
                call, now, self._timers.clock.get_wall()
            )
        except Exception:
            self._fail_call(request, source)
            return
        change_metrics.count_outcome(call, outcome, self._latencies)
        self._queue_changes(
            commits.PendingAnswer(
                request.answer,
                outcome,
                request.received_at if calls.is_heartbeat(call) else None,
            )
        )

    def _count_heartbeat(self, call: calls.Call, result: str) -> None:
        """Count a heartbeat that is not answered with a lease."""
        if calls.is_heartbeat(call):
            self._latencies.count('heartbeats_total', result=result)

    def _note_heartbeat_delay(
        self, starts: int, received_at: float | None
    ) -> None:
        """Let the bounds of further answers follow the delay of one."""
        if received_at is None:
            return
        now = self._get_monotonic()
        self._scheduler.pace.note_answer(starts, now - received_at, now)

    def _fail_call(self, request: calls.CallRequest, source: str) -> None:
        """Refuse a call that raised, and rebuild the scheduler.

        The call may have changed a part of the scheduler's state. None of its
        changes is committed.
        """
        LOG.exception(
            logs.format_event(
                'call_failed', call=type(request.call).__name__, source=source
            )
        )
        self._latencies.count('failed_calls_total')
        self._pauses.add_source(source, self._get_monotonic())
        self._is_rebuilding = True
        request.answer.resolve(answers.build_failed_call_error())
        if self._in_flight is None:
            self._rebuild_scheduler()

    def _rebuild_scheduler(self) -> None:
        """Discard the scheduler and request a new copy of the state.

        Only called without a commit in progress: the copy would lack it.
        """
        self._stop_leading()
        self._consensus.put(member_messages.ResendState())

    def _tick_scheduler(self) -> None:
        if self._scheduler is None or self._is_rebuilding:
            return
        now = self._get_monotonic()
        paused = self._pauses.get_paused_steps(now)
        try:
            self._scheduler.tick(now, self._timers.clock.get_wall(), paused)
        except ticking.TickError as error:
            self._fail_step(error.step)
            return
        for reason, count in self._scheduler.waits.take_counts().items():
            self._latencies.count(
                'lasting_task_holds_total', count, reason=reason.value
            )
        self._latencies.count(
            'starts_held_by_limit_total',
            self._scheduler.limit_holds.take_count(),
        )
        change_metrics.count_bounds(self._scheduler.bounds, self._latencies)
        self._queue_changes()

    def _fail_step(self, step: states.TickStep) -> None:
        """Pause a step of the periodic work, and rebuild the scheduler.

        The other steps and the calls go on. Each new leader would fail in
        the same step otherwise.
        """
        LOG.exception(logs.format_event('tick_failed', step=step))
        self._latencies.count('failed_ticks_total', step=step.value)
        self._pauses.add_step(step, self._get_monotonic())
        self._is_rebuilding = True
        if self._in_flight is None:
            self._rebuild_scheduler()

    def _queue_changes(
        self, answer: commits.PendingAnswer | None = None
    ) -> None:
        """Queue what the last call or tick has changed, and its answer."""
        self._queue.add(
            self._scheduler.take_changes(),
            self._scheduler.orders.take_orders(),
            answer,
        )

    def _commit_changes(self) -> None:
        if self._scheduler is None or self._in_flight is not None:
            return
        if self._is_rebuilding:
            return
        self._in_flight = self._queue.take()
        if self._in_flight is None:
            return
        self._committing_since = self._get_monotonic()
        command = None
        if self._in_flight.changes:
            command = commands.RecordProgress(
                time=self._timers.clock.get_wall(),
                epoch=self._scheduler.epoch,
                changes=tuple(self._in_flight.changes),
            )
        if len(self._queue):
            self._scheduler.bounds[states.Bound.COMMIT] += 1
            LOG.info(
                logs.format_event(
                    'changes_queued',
                    batches=len(self._queue),
                    bytes=self._in_flight.size,
                )
            )
        answer: reply.Reply = reply.Reply()
        epoch = self._scheduler.epoch
        answer.add_callback(
            lambda outcome: self._note_outcome(
                commits.Committed(epoch, outcome)
            )
        )
        sent = self._consensus.put(
            member_messages.SubmitCommand(command, answer)
        )
        if sent.is_err():
            answer.resolve(sent)

    def _note_outcome(self, message: commits.Committed) -> None:
        self._outcomes.append(message)
        # Wakes the task up; a full mailbox does as well.
        self.mailbox.put(commits.CommitEnded())

    def _finish_commits(self) -> None:
        while self._outcomes:
            self._finish_commit(self._outcomes.popleft())
            self._commit_changes()

    def _finish_commit(self, message: commits.Committed) -> None:
        batch = self._in_flight
        if self._scheduler is None or message.epoch != self._scheduler.epoch:
            return
        if batch is None:
            return
        if message.outcome.is_err():
            # The scheduler's state may now differ from the log.
            LOG.warning(
                logs.format_event(
                    'commit_failed',
                    epoch=message.epoch,
                    error=message.outcome.unwrap_err().kind,
                )
            )
            self._rebuild_scheduler()
            return
        self._in_flight = None
        self._latencies.observe(
            'commit_seconds', self._get_monotonic() - self._committing_since
        )
        for change in batch.changes:
            change_metrics.count_change(change, self._latencies)
        for pending in batch.answers:
            pending.send()
            if pending.heartbeat_at is not None and pending.outcome.is_ok():
                starts = len(pending.outcome.unwrap().starts)
                self._note_heartbeat_delay(starts, pending.heartbeat_at)
        if self._hosts_mailbox is not None:
            for order in batch.orders:
                self._hosts_mailbox.put(order)
                kind = type(order).__name__
                self._latencies.count('host_orders_total', kind=kind)
        if self._is_rebuilding:
            self._rebuild_scheduler()

    def _start_leading(
        self, message: member_messages.SchedulingGained
    ) -> None:
        self._stop_leading()
        self._restoring = self._restore(message)

    def _restore(
        self, message: member_messages.SchedulingGained
    ) -> Iterator[None]:
        """Build the scheduler from the ledger; yields after each step."""
        for restored in ledger_copies.restore_ledger(message.ledger):
            job_ledger = restored
            yield
        self._scheduler = scheduler.Scheduler(
            job_ledger,
            message.epoch,
            self._limits,
            self._public_address,
            self._get_monotonic(),
            restores_jobs=False,
        )
        yield from self._scheduler.restore_jobs()
        self._latencies.count('elections_total')
        LOG.info(
            logs.format_event(
                'scheduling_started',
                epoch=message.epoch,
                jobs=len(job_ledger.jobs),
                version=job_ledger.configuration.version,
            )
        )

    def _stop_leading(self) -> None:
        pending = self._in_flight.answers if self._in_flight else []
        pending = [*pending, *self._queue.clear()]
        self._in_flight = None
        self._restoring = None
        self._is_rebuilding = False
        if self._scheduler is not None:
            LOG.info(
                logs.format_event(
                    'scheduling_stopped',
                    epoch=self._scheduler.epoch,
                    unanswered=len(pending),
                    max_starts=self._scheduler.pace.max_starts,
                )
            )
        self._scheduler = None
        for item in pending:
            if item.heartbeat_at is not None:
                self._latencies.count('heartbeats_total', result='unanswered')
            item.answer.resolve(
                answers.build_not_leader_error(errors.ErrorKind.CHANGE_UNKNOWN)
            )

    def _list_organisations(self) -> list[dict[str, Any]]:
        if self._scheduler is None:
            return []
        return organisation_status.describe_organisations(self._scheduler)


@functools.singledispatch
def _handle_message(message: Any, owner: JobsTask) -> None:
    """Handle one message; messages of the state machine are ignored."""


@_handle_message.register
def _(message: calls.CallRequest, owner: JobsTask) -> None:
    owner._handle_call(message)


@_handle_message.register
def _(message: service.TimerFired, owner: JobsTask) -> None:
    owner._tick_scheduler()


@_handle_message.register
def _(message: commits.CommitEnded, owner: JobsTask) -> None:
    owner._finish_commits()


@_handle_message.register
def _(message: member_messages.SchedulingGained, owner: JobsTask) -> None:
    owner._start_leading(message)


@_handle_message.register
def _(message: member_messages.LeadershipLost, owner: JobsTask) -> None:
    owner._stop_leading()


@_handle_message.register
def _(message: GetJobsDump, owner: JobsTask) -> None:
    message.answer.resolve(Ok(dumping.build_dump(owner._scheduler)))


@_handle_message.register
def _(message: GetOrganisationMetrics, owner: JobsTask) -> None:
    message.answer.resolve(Ok(owner._list_organisations()))
