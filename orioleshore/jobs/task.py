"""Task that runs the scheduler on the leader and commits its changes."""

import functools
import logging
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.consensus import member_messages
from orioleshore.jobs import calls
from orioleshore.jobs import dumping
from orioleshore.jobs import ledger
from orioleshore.jobs import organisation_status
from orioleshore.jobs import scheduler
from orioleshore.jobs import tuning
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import records
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
# Seconds for which calls of a source are refused after one of them failed, and
# for which a failed step of the tick is left out. Both are repeated, and each
# failure costs a rebuild.
FAILURE_PAUSE_S = 30.0
MAX_FAILED_SOURCES = 1_024


class _Committed(msgspec.Struct, frozen=True):
    """A group of changes was committed or refused."""

    epoch: ids.Epoch
    outcome: Result[Any, errors.Failure]


class GetJobsDump(msgspec.Struct, frozen=True):
    """Requests a dump of the scheduler's state."""

    answer: reply.Reply


class GetOrganisationMetrics(msgspec.Struct, frozen=True):
    """Requests the usage of organisations, none if this member follows."""

    answer: reply.Reply


class _PendingAnswer(msgspec.Struct, frozen=True):
    """An answer that is sent once all changes before it are committed."""

    answer: reply.Reply
    outcome: Result[Any, errors.Failure]


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
        self._pending: list[_PendingAnswer] = []
        self._in_flight: list[_PendingAnswer] = []
        self._orders: list[Any] = []
        self._is_committing = False
        self._committing_since = 0.0
        # True after a call failed, until the scheduler is rebuilt from the
        # log.
        self._is_rebuilding = False
        self._failed_sources: dict[str, float] = {}
        self._failed_steps: dict[states.TickStep, float] = {}
        self._changes: tuple[ledger.Change, ...] = ()
        self._latencies = recorder

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
        while message is not None:
            _handle_message(message, self)
            message = self.mailbox.get_nowait()
        self._commit_changes()

    def _get_monotonic(self) -> float:
        return self._timers.clock.get_monotonic()

    def _handle_call(self, request: calls.CallRequest) -> None:
        if self._scheduler is None or self._is_rebuilding:
            request.answer.resolve(
                _build_not_leader_error(errors.ErrorKind.NOT_LEADER)
            )
            return
        if isinstance(request.call, calls.NoteUpkeep | calls.NoteMove):
            self._latencies.count(
                'host_answers_total', outcome=request.call.outcome.value
            )
        source = calls.get_source(request.call)
        if self._get_monotonic() < self._failed_sources.get(source, 0.0):
            request.answer.resolve(_build_failed_call_error())
            return
        try:
            outcome = self._scheduler.handle(
                request.call,
                self._get_monotonic(),
                self._timers.clock.get_wall(),
            )
        except Exception:
            self._fail_call(request, source)
            return
        if outcome.is_err():
            error = outcome.unwrap_err().kind.value
            self._latencies.count('refusals_total', error=error)
        elif isinstance(
            request.call, calls.Heartbeat | calls.PartialHeartbeat
        ):
            result = 'taken' if outcome.unwrap().lease_ms else 'ignored'
            self._latencies.count('heartbeats_total', result=result)
        self._pending.append(_PendingAnswer(request.answer, outcome))

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
        if len(self._failed_sources) >= MAX_FAILED_SOURCES:
            self._failed_sources.pop(next(iter(self._failed_sources)))
        until = self._get_monotonic() + FAILURE_PAUSE_S
        self._failed_sources[source] = until
        self._is_rebuilding = True
        request.answer.resolve(_build_failed_call_error())
        if not self._is_committing:
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
        paused = frozenset(
            step for step, until in self._failed_steps.items() if now < until
        )
        try:
            self._scheduler.tick(now, self._timers.clock.get_wall(), paused)
        except scheduler.TickError as error:
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

    def _fail_step(self, step: states.TickStep) -> None:
        """Pause a step of the periodic work, and rebuild the scheduler.

        The other steps and the calls go on. Each new leader would fail in
        the same step otherwise.
        """
        LOG.exception(logs.format_event('tick_failed', step=step))
        self._latencies.count('failed_ticks_total', step=step.value)
        self._failed_steps[step] = self._get_monotonic() + FAILURE_PAUSE_S
        self._is_rebuilding = True
        if not self._is_committing:
            self._rebuild_scheduler()

    def _commit_changes(self) -> None:
        if self._scheduler is None or self._is_committing:
            return
        if self._is_rebuilding:
            return
        changes = self._scheduler.take_changes()
        orders = self._scheduler.orders.take_orders()
        if not changes and not orders and not self._pending:
            return
        self._in_flight, self._pending = self._pending, []
        self._orders = orders
        self._is_committing = True
        self._committing_since = self._get_monotonic()
        self._changes = changes
        command = None
        if changes:
            command = commands.RecordProgress(
                time=self._timers.clock.get_wall(),
                epoch=self._scheduler.epoch,
                changes=changes,
            )
        answer: reply.Reply = reply.Reply()
        epoch = self._scheduler.epoch
        answer.add_callback(
            lambda outcome: self.mailbox.put(_Committed(epoch, outcome))
        )
        sent = self._consensus.put(
            member_messages.SubmitCommand(command, answer)
        )
        if sent.is_err():
            answer.resolve(sent)

    def _finish_commit(self, message: _Committed) -> None:
        if self._scheduler is None or message.epoch != self._scheduler.epoch:
            return
        self._is_committing = False
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
        self._latencies.observe(
            'commit_seconds', self._get_monotonic() - self._committing_since
        )
        for change in self._changes:
            _count_change(change, self._latencies)
        self._changes = ()
        for pending in self._in_flight:
            pending.answer.resolve(pending.outcome)
        self._in_flight = []
        if self._hosts_mailbox is not None:
            for order in self._orders:
                self._hosts_mailbox.put(order)
                kind = type(order).__name__
                self._latencies.count('host_orders_total', kind=kind)
        self._orders = []
        if self._is_rebuilding:
            self._rebuild_scheduler()

    def _start_leading(
        self, message: member_messages.LeadershipGained
    ) -> None:
        self._stop_leading()
        state = records.decode_state(message.encoded_state)
        self._scheduler = scheduler.Scheduler(
            state.ledger,
            message.epoch,
            self._limits,
            self._public_address,
            self._get_monotonic(),
        )
        self._latencies.count('elections_total')
        LOG.info(
            logs.format_event(
                'scheduling_started',
                epoch=message.epoch,
                jobs=len(state.ledger.jobs),
                version=state.ledger.configuration.version,
            )
        )

    def _stop_leading(self) -> None:
        pending = [*self._in_flight, *self._pending]
        self._in_flight, self._pending, self._orders = [], [], []
        self._is_committing = False
        self._is_rebuilding = False
        if self._scheduler is not None:
            LOG.info(
                logs.format_event(
                    'scheduling_stopped',
                    epoch=self._scheduler.epoch,
                    unanswered=len(pending),
                )
            )
        self._scheduler = None
        for item in pending:
            item.answer.resolve(
                _build_not_leader_error(errors.ErrorKind.CHANGE_UNKNOWN)
            )

    def _get_dump(self) -> dict[str, Any]:
        if self._scheduler is None:
            return {'leads': False}
        return {
            'leads': True,
            'epoch': self._scheduler.epoch,
            'workers': [
                dumping.dump_worker(worker)
                for worker in self._scheduler.workers.values()
            ],
            'ledger': dumping.dump_ledger(self._scheduler.ledger),
            'organisations': self._list_organisations(),
        }

    def _list_organisations(self) -> list[dict[str, Any]]:
        if self._scheduler is None:
            return []
        return msgspec.to_builtins(
            list(organisation_status.list_organisations(self._scheduler))
        )


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
def _(message: _Committed, owner: JobsTask) -> None:
    owner._finish_commit(message)


@_handle_message.register
def _(message: member_messages.LeadershipGained, owner: JobsTask) -> None:
    owner._start_leading(message)


@_handle_message.register
def _(message: member_messages.LeadershipLost, owner: JobsTask) -> None:
    owner._stop_leading()


@_handle_message.register
def _(message: GetJobsDump, owner: JobsTask) -> None:
    message.answer.resolve(Ok(owner._get_dump()))


@_handle_message.register
def _(message: GetOrganisationMetrics, owner: JobsTask) -> None:
    message.answer.resolve(Ok(owner._list_organisations()))


@functools.singledispatch
def _count_change(change: Any, recorder: latencies.Recorder) -> None:
    """Count a committed change in the metrics; others are not counted."""


@_count_change.register
def _(change: ledger.JobAccepted, recorder: latencies.Recorder) -> None:
    recorder.count('jobs_total', decision='accepted')


@_count_change.register
def _(change: ledger.JobCancelled, recorder: latencies.Recorder) -> None:
    recorder.count('jobs_total', decision='cancelled')


@_count_change.register
def _(change: ledger.TaskStarted, recorder: latencies.Recorder) -> None:
    recorder.count('starts_total')


@_count_change.register
def _(change: ledger.TaskEnded, recorder: latencies.Recorder) -> None:
    recorder.count('ends_total', how=change.how.value)


@_count_change.register
def _(change: ledger.LossExplained, recorder: latencies.Recorder) -> None:
    recorder.count('worker_losses_total', cause=change.cause.value)


@_count_change.register
def _(change: ledger.TaskGivenUp, recorder: latencies.Recorder) -> None:
    recorder.count('tasks_given_up_total')


def _build_failed_call_error() -> Err[errors.Failure]:
    return Err(
        errors.Failure(errors.ErrorKind.INTERNAL, 'the call cannot be handled')
    )


def _build_not_leader_error(kind: errors.ErrorKind) -> Err[errors.Failure]:
    return Err(
        errors.Failure(
            kind, 'this member is not the leader', retry_after_s=1.0
        )
    )
