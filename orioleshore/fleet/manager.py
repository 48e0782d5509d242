"""Task of the fleet manager, which runs the planner at the leader."""

import collections
import functools
import logging
from typing import Any

import msgspec
from result import Ok
from result import Result

from orioleshore.consensus import client
from orioleshore.consensus import member_messages
from orioleshore.fleet import events
from orioleshore.fleet import planner
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.state import commands
from orioleshore.state import records
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 8_192
TICK_TIMER = ids.TimerId('fleet-tick')
TICK_INTERVAL_S = 0.5
PROPOSE_TIMEOUT_S = 5.0
# Number of explanations kept for each subject and each kind of subject.
EXPLANATIONS_PER_SUBJECT = 4
EXPLANATIONS_PER_KIND = 4_096


class GetManagerDump(msgspec.Struct, frozen=True):
    """Requests the soft state of the planner, for diagnosis."""

    answer: reply.Reply


class _ProposalDecided(msgspec.Struct, frozen=True):
    command: commands.Command
    outcome: Result[Any, errors.Failure]


class Explanation(msgspec.Struct, frozen=True):
    """A decision with its wall time in seconds."""

    time: ids.WallTime
    record: events.RecordDecision


class Explanations:
    """The newest explanations of each subject, bounded by kind."""

    def __init__(self) -> None:
        self._kinds: dict[
            str, collections.OrderedDict[str, collections.deque]
        ] = collections.defaultdict(collections.OrderedDict)

    def add(self, record: events.RecordDecision, now: ids.WallTime) -> None:
        """Add an explanation; drop the oldest subjects beyond the limit."""
        subjects = self._kinds[record.subject_kind]
        explanations = subjects.pop(record.subject, None)
        if explanations is None:
            explanations = collections.deque(maxlen=EXPLANATIONS_PER_SUBJECT)
        explanations.append(Explanation(now, record))
        subjects[record.subject] = explanations
        limit = EXPLANATIONS_PER_KIND // EXPLANATIONS_PER_SUBJECT
        while len(subjects) > limit:
            subjects.popitem(last=False)

    def get(self, kind: str, subject: str) -> list[dict[str, Any]]:
        """Return the explanations of a subject, the oldest first."""
        return [
            {
                'time': explanation.time,
                'decision': explanation.record.decision,
                'facts': explanation.record.facts,
                'rule': explanation.record.rule,
                'remedy': explanation.record.remedy,
            }
            for explanation in self._kinds[kind].get(subject, ())
        ]


class ManagerTask(task.Task):
    """Owns the planner and its copy of the replicated state."""

    def __init__(
        self,
        decisions: planner.Planner,
        control: mailbox.Mailbox,
        platform: mailbox.Mailbox | None,
        timers: service.TimerService,
    ) -> None:
        super().__init__(mailbox.Mailbox('fleet', MAILBOX_CAPACITY))
        self._planner = decisions
        self._control = control
        self._platform = platform
        self._timers = timers
        self._explanations = Explanations()

    async def open(self) -> None:
        """Start the tick timer."""
        self._timers.subscribe_every(self.mailbox, TICK_TIMER, TICK_INTERVAL_S)

    async def close(self) -> None:
        """Stop the tick timer."""
        self._timers.cancel(self.mailbox, TICK_TIMER)

    async def handle(self, message: Any) -> None:
        """Handle a message of the log, the platform or the timers."""
        _handle_message(message, self)

    def _handle_event(self, event: events.Event) -> None:
        now = self._timers.clock.get_wall()
        for action in self._planner.handle(event, now):
            _perform_action(action, self)

    def _propose_command(self, command: commands.Command) -> None:
        answer: reply.Reply = reply.Reply()
        answer.add_callback(
            lambda outcome: self.mailbox.put(
                _ProposalDecided(command, outcome)
            )
        )
        outcome = self._control.put(
            client.Call(command, answer, PROPOSE_TIMEOUT_S)
        )
        if outcome.is_err():
            answer.resolve(outcome)


@functools.singledispatch
def _handle_message(message: Any, manager: ManagerTask) -> None:
    """Pass events of the planner on unchanged."""
    manager._handle_event(message)


@_handle_message.register
def _(message: member_messages.LeadershipGained, manager: ManagerTask) -> None:
    state = records.decode_state(message.encoded_state)
    manager._handle_event(events.LeadershipGained(message.epoch, state))


@_handle_message.register
def _(message: member_messages.LeadershipLost, manager: ManagerTask) -> None:
    manager._handle_event(events.LeadershipLost())


@_handle_message.register
def _(message: member_messages.CommandApplied, manager: ManagerTask) -> None:
    manager._handle_event(events.CommandApplied(message.command))


@_handle_message.register
def _(message: member_messages.DemandReceived, manager: ManagerTask) -> None:
    report = message.report
    manager._handle_event(
        events.ServiceDemandReported(report.node, report.demands)
    )


@_handle_message.register
def _(message: member_messages.ExplainRequested, manager: ManagerTask) -> None:
    explanations = manager._explanations.get(
        message.query.kind.value, message.query.name
    )
    message.answer.resolve(Ok(explanations))


@_handle_message.register
def _(message: GetManagerDump, manager: ManagerTask) -> None:
    message.answer.resolve(Ok(manager._planner.get_dump()))


@_handle_message.register
def _(message: _ProposalDecided, manager: ManagerTask) -> None:
    if message.outcome.is_ok():
        return
    failure = message.outcome.unwrap_err()
    LOG.info(
        logs.format_event(
            'proposal_refused',
            command=type(message.command).__name__,
            error=failure.kind,
            reason=failure.message,
        )
    )
    manager._handle_event(
        events.CommandRefused(message.command, failure.message)
    )


@_handle_message.register
def _(message: service.TimerFired, manager: ManagerTask) -> None:
    manager._handle_event(events.TimerFired())


@functools.singledispatch
def _perform_action(action: Any, manager: ManagerTask) -> None:
    raise TypeError(f'unknown action {type(action).__name__}')


@_perform_action.register
def _(action: events.Propose, manager: ManagerTask) -> None:
    manager._propose_command(action.command)


@_perform_action.register
def _(action: events.CallPlatform, manager: ManagerTask) -> None:
    if manager._platform is not None:
        manager._platform.put(action)


@_perform_action.register
def _(action: events.ReplayReports, manager: ManagerTask) -> None:
    if manager._platform is not None:
        manager._platform.put(action)


@_perform_action.register
def _(action: events.RecordDecision, manager: ManagerTask) -> None:
    manager._explanations.add(action, manager._timers.clock.get_wall())
    LOG.info(
        logs.format_event(
            'decision',
            subject=f'{action.subject_kind}/{action.subject}',
            decision=action.decision,
            rule=action.rule,
            **action.facts,
        )
    )
