"""Replicated records of jobs and upkeep, and the changes made to them.

Changes are stored in the log and records in snapshots, so fields may only
be added, with defaults.
"""

import functools
from typing import Any

import msgspec

from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states

_ENDED = frozenset(
    {
        states.BatchState.COMPLETED,
        states.BatchState.FAILED,
        states.BatchState.CANCELLED,
    }
)


class RunRecord(msgspec.Struct, array_like=True):
    """State of a task: its newest attempt and the worker that runs it.

    ``sequence`` is the number of the heartbeat whose answer carried the
    start order. If a later heartbeat does not list the attempt, the order
    was lost.
    """

    stage: states.RunStage = states.RunStage.WAITING
    attempt: ids.Attempt = ids.Attempt(0)
    failures: int = 0
    worker: ids.WorkerId = ids.WorkerId('')
    incarnation: ids.Incarnation = ids.Incarnation(0)
    sequence: int = 0
    checkpoint: str = ''


class JobRecord(msgspec.Struct):
    """An accepted job; ``ended_at`` is 0 until it ends."""

    job: specs.Job
    host: str
    prefix: str
    pool: ids.PoolId
    priority: int
    max_attempts: int
    objective_ms: int
    accepted_at: ids.WallTime
    state: states.BatchState = states.BatchState.QUEUED
    tasks: dict[ids.TaskName, RunRecord] = {}
    done_tasks: int = msgspec.field(default=0, name='done')
    needs_approval: bool = False
    ended_at: ids.WallTime = ids.WallTime(0.0)

    @property
    def is_ended(self) -> bool:
        """Return whether the job is completed, failed or cancelled."""
        return self.state in _ENDED


class UpkeepRecord(msgspec.Struct, array_like=True):
    """Upkeep of one host; ``worker`` is the worker that it ends."""

    is_ordered: bool = False
    is_started: bool = False
    is_finished: bool = False
    worker: ids.WorkerId = ids.WorkerId('')


class WaveRecord(msgspec.Struct):
    """Upkeep of many hosts, at most ``at_once`` of them down at a time."""

    hosts: dict[ids.HostId, UpkeepRecord]
    at_once: int
    opened_at: ids.WallTime
    due_at: ids.WallTime

    @property
    def is_completed(self) -> bool:
        """Return whether every host is back after its upkeep."""
        return all(host.is_finished for host in self.hosts.values())


class Ledger(msgspec.Struct):
    """Replicated state of jobs and upkeep."""

    configuration: specs.Configuration = specs.Configuration()
    jobs: dict[ids.JobId, JobRecord] = {}
    waves: dict[ids.WaveId, WaveRecord] = {}
    # Time of the last order to the platform about each host.
    ordered_at: dict[ids.HostId, ids.WallTime] = {}


class _Change(
    msgspec.Struct, frozen=True, tag=True, omit_defaults=True, array_like=True
):
    """Base class of all changes; each is tagged with its class name."""


class JobAccepted(_Change, frozen=True):
    """A job was accepted for a queue."""

    job: ids.JobId
    spec: specs.Job
    host: str
    prefix: str
    pool: ids.PoolId
    priority: int
    max_attempts: int
    objective_ms: int
    at: ids.WallTime
    needs_approval: bool = False


class JobCancelled(_Change, frozen=True):
    """A caller cancelled a job."""

    job: ids.JobId
    at: ids.WallTime


class JobForgotten(_Change, frozen=True):
    """The retention time of an ended job is over; its record is removed."""

    job: ids.JobId


class TaskStarted(_Change, frozen=True):
    """A worker is ordered to start an attempt of a task."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    worker: ids.WorkerId
    incarnation: ids.Incarnation
    sequence: int


class TaskEnded(_Change, frozen=True):
    """An attempt of a task ended or was lost."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    how: states.RunEnd
    checkpoint: str
    at: ids.WallTime


class ConfigurationChanged(_Change, frozen=True):
    """A newer configuration is in force."""

    configuration: specs.Configuration


class WaveOpened(_Change, frozen=True):
    """Operators requested upkeep of some hosts."""

    wave: ids.WaveId
    hosts: tuple[ids.HostId, ...]
    at_once: int
    opened_at: ids.WallTime
    due_at: ids.WallTime


class UpkeepOrdered(_Change, frozen=True):
    """The platform is about to be asked for the upkeep of a host."""

    wave: ids.WaveId
    host: ids.HostId
    worker: ids.WorkerId


class UpkeepWithdrawn(_Change, frozen=True):
    """The platform refused the upkeep of a host, which stays in service."""

    wave: ids.WaveId
    host: ids.HostId


class UpkeepBegun(_Change, frozen=True):
    """The platform confirmed the upkeep of a host."""

    wave: ids.WaveId
    host: ids.HostId


class UpkeepFinished(_Change, frozen=True):
    """A host is back after its upkeep, or the platform removed it."""

    wave: ids.WaveId
    host: ids.HostId


class HostOrdered(_Change, frozen=True):
    """The platform is about to receive an order about a host."""

    host: ids.HostId
    at: ids.WallTime


Change = (
    JobAccepted
    | JobCancelled
    | JobForgotten
    | TaskStarted
    | TaskEnded
    | ConfigurationChanged
    | WaveOpened
    | UpkeepOrdered
    | UpkeepWithdrawn
    | UpkeepBegun
    | UpkeepFinished
    | HostOrdered
)


@functools.singledispatch
def apply_change(change: Any, ledger: Ledger) -> None:
    """Apply one change; an outdated change about a job has no effect.

    Raises TypeError if the type of the change is unknown.
    """
    raise TypeError(f'unknown change {type(change).__name__}')


@apply_change.register
def _(change: JobAccepted, ledger: Ledger) -> None:
    if change.job in ledger.jobs:
        return
    ledger.jobs[change.job] = JobRecord(
        change.spec,
        change.host,
        change.prefix,
        change.pool,
        change.priority,
        change.max_attempts,
        change.objective_ms,
        change.at,
        needs_approval=change.needs_approval,
    )


@apply_change.register
def _(change: JobCancelled, ledger: Ledger) -> None:
    record = ledger.jobs.get(change.job)
    if record is not None and not record.is_ended:
        _end_job(record, states.BatchState.CANCELLED, change.at)


@apply_change.register
def _(change: JobForgotten, ledger: Ledger) -> None:
    ledger.jobs.pop(change.job, None)


@apply_change.register
def _(change: TaskStarted, ledger: Ledger) -> None:
    record = ledger.jobs.get(change.job)
    if record is None or record.is_ended:
        return
    run = record.tasks.get(change.task)
    if run is None:
        run = record.tasks[change.task] = RunRecord()
    run.stage = states.RunStage.RUNNING
    run.attempt = change.attempt
    run.worker = change.worker
    run.incarnation = change.incarnation
    run.sequence = change.sequence
    record.state = states.BatchState.RUNNING


@apply_change.register
def _(change: TaskEnded, ledger: Ledger) -> None:
    record = ledger.jobs.get(change.job)
    run = record and record.tasks.get(change.task)
    if not run or run.stage is not states.RunStage.RUNNING:
        return
    if run.attempt != change.attempt:
        return
    _, position, _ = specs.parse_task_name(change.task)
    step = record.job.steps[position]
    run.stage = states.RunStage.WAITING
    run.checkpoint = change.checkpoint or run.checkpoint
    if step.is_long_running:
        return
    if change.how is states.RunEnd.DONE:
        _finish_task(record, change, step)
    if change.how is states.RunEnd.FAILED:
        run.failures += 1
        if _count_failures(record, change, step) >= record.max_attempts:
            _end_job(record, states.BatchState.FAILED, change.at)


@apply_change.register
def _(change: ConfigurationChanged, ledger: Ledger) -> None:
    if change.configuration.version > ledger.configuration.version:
        ledger.configuration = change.configuration


@apply_change.register
def _(change: WaveOpened, ledger: Ledger) -> None:
    if change.wave in ledger.waves:
        return
    ledger.waves[change.wave] = WaveRecord(
        {host: UpkeepRecord() for host in change.hosts},
        change.at_once,
        change.opened_at,
        change.due_at,
    )


@apply_change.register
def _(change: UpkeepOrdered, ledger: Ledger) -> None:
    record = _get_upkeep(ledger, change)
    record.is_ordered = True
    record.worker = change.worker


@apply_change.register
def _(change: UpkeepWithdrawn, ledger: Ledger) -> None:
    _get_upkeep(ledger, change).is_ordered = False


@apply_change.register
def _(change: UpkeepBegun, ledger: Ledger) -> None:
    _get_upkeep(ledger, change).is_started = True


@apply_change.register
def _(change: UpkeepFinished, ledger: Ledger) -> None:
    record = _get_upkeep(ledger, change)
    record.is_started = True
    record.is_finished = True


@apply_change.register
def _(change: HostOrdered, ledger: Ledger) -> None:
    ledger.ordered_at[change.host] = change.at


def count_tasks(job: specs.Job) -> int:
    """Return how many tasks a job has over all its occurrences."""
    return job.occurrence_count * sum(step.tasks for step in job.steps)


def _get_upkeep(ledger: Ledger, change: Any) -> UpkeepRecord:
    return ledger.waves[change.wave].hosts[change.host]


def _count_failures(
    record: JobRecord, change: TaskEnded, step: specs.Step
) -> int:
    """Return the failures of a task, or of all members of its gang."""
    if not step.is_gang:
        return record.tasks[change.task].failures
    occurrence, position, _ = specs.parse_task_name(change.task)
    names = (
        specs.make_task_name(occurrence, position, index)
        for index in range(step.tasks)
    )
    return sum(
        record.tasks[name].failures for name in names if name in record.tasks
    )


def _finish_task(
    record: JobRecord, change: TaskEnded, step: specs.Step
) -> None:
    finished = [change.task]
    if step.is_gang:
        # The end of one member completes the whole gang.
        occurrence, position, _ = specs.parse_task_name(change.task)
        finished = [
            specs.make_task_name(occurrence, position, index)
            for index in range(step.tasks)
        ]
    for name in finished:
        run = record.tasks.setdefault(name, RunRecord())
        if run.stage is not states.RunStage.DONE:
            run.stage = states.RunStage.DONE
            record.done_tasks += 1
    if record.done_tasks >= count_tasks(record.job):
        _end_job(record, states.BatchState.COMPLETED, change.at)


def _end_job(
    record: JobRecord, state: states.BatchState, at: ids.WallTime
) -> None:
    record.state = state
    record.ended_at = at
    # The steps are kept: they give the resources of runs not yet stopped.
    record.tasks = {}
    record.job = msgspec.structs.replace(record.job, payload='')
