"""Metrics of the calls to the scheduler and of the changes it commits."""

import collections
import functools
from typing import Any

from result import Result

from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.telemetry import latencies


def count_outcome(
    call: calls.Call,
    outcome: Result[Any, errors.Failure],
    recorder: latencies.Recorder,
) -> None:
    """Count a refused call, and what became of a heartbeat."""
    if outcome.is_err():
        error = outcome.unwrap_err().kind.value
        recorder.count('refusals_total', error=error)
    elif isinstance(call, calls.LeaseRenewal):
        recorder.count('heartbeats_total', result='renewed')
    elif calls.is_heartbeat(call):
        result = 'taken' if outcome.unwrap().lease_ms else 'ignored'
        recorder.count('heartbeats_total', result=result)


def count_bounds(
    reached: collections.Counter[states.Bound], recorder: latencies.Recorder
) -> None:
    """Count the bounds that were reached, and begin anew."""
    for bound, count in reached.items():
        recorder.count('bounds_reached_total', count, bound=bound.value)
    reached.clear()


@functools.singledispatch
def count_change(change: Any, recorder: latencies.Recorder) -> None:
    """Count a committed change in the metrics; others are not counted."""


@count_change.register
def _(change: ledger.JobAccepted, recorder: latencies.Recorder) -> None:
    recorder.count('jobs_total', decision='accepted')


@count_change.register
def _(change: ledger.JobCancelled, recorder: latencies.Recorder) -> None:
    recorder.count('jobs_total', decision='cancelled')


@count_change.register
def _(change: ledger.TaskStarted, recorder: latencies.Recorder) -> None:
    recorder.count('starts_total')


@count_change.register
def _(change: ledger.TaskEnded, recorder: latencies.Recorder) -> None:
    recorder.count('ends_total', how=change.how.value)


@count_change.register
def _(change: ledger.LossExplained, recorder: latencies.Recorder) -> None:
    recorder.count('worker_losses_total', cause=change.cause.value)


@count_change.register
def _(change: ledger.TaskGivenUp, recorder: latencies.Recorder) -> None:
    recorder.count('tasks_given_up_total')
