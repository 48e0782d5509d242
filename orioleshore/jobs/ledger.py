"""Replicated records of callers' jobs, and the changes that the log holds.

The changes are stored, so fields are only added, with defaults.
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
    """What is known of a task: its newest attempt and where that runs.

    ``sequence`` is the number of the heartbeat whose answer ordered the
    attempt; a later heartbeat that does not list it proves that the order
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
    """A job that was accepted; ``ended_at`` is 0 while it goes on."""

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
        """Return whether nothing of the job may start any more."""
        return self.state in _ENDED


class UpkeepRecord(msgspec.Struct, array_like=True):
    """Upkeep of one host; ``worker`` is the life that it ends."""

    is_ordered: bool = False
    is_started: bool = False
    is_finished: bool = False
    worker: ids.WorkerId = ids.WorkerId('')


class WaveRecord(msgspec.Struct):
    """Upkeep of many hosts, at most ``at_once`` of them down together."""

    hosts: dict[ids.HostId, UpkeepRecord]
    at_once: int
    opened_at: ids.WallTime
    due_at: ids.WallTime

    @property
    def is_completed(self) -> bool:
        """Return whether each host had its upkeep and is back."""
        return all(host.is_started for host in self.hosts.values())


class Ledger(msgspec.Struct):
    """All that must survive of callers' jobs and of upkeep."""

    configuration: specs.Configuration = specs.Configuration()
    jobs: dict[ids.JobId, JobRecord] = {}
    waves: dict[ids.WaveId, WaveRecord] = {}
    # When a host was last the subject of an order to the platform.
    ordered_at: dict[ids.HostId, ids.WallTime] = {}


class _Change(
    msgspec.Struct, frozen=True, tag=True, omit_defaults=True, array_like=True
):
    """Base of all changes; the tag is the name of the type."""


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
    """A caller does not want a job any more."""

    job: ids.JobId
    at: ids.WallTime


class JobForgotten(_Change, frozen=True):
    """The outcome of a job was kept for long enough."""

    job: ids.JobId


class TaskStarted(_Change, frozen=True):
    """A worker is told to start an attempt of a task."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    worker: ids.WorkerId
    incarnation: ids.Incarnation
    sequence: int


class TaskEnded(_Change, frozen=True):
    """An attempt of a task ended, or is known to run nowhere."""

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
    """Operators want upkeep of some hosts."""

    wave: ids.WaveId
    hosts: tuple[ids.HostId, ...]
    at_once: int
    opened_at: ids.WallTime
    due_at: ids.WallTime


class UpkeepOrdered(_Change, frozen=True):
    """The platform is about to be asked to take a host down."""

    wave: ids.WaveId
    host: ids.HostId
    worker: ids.WorkerId


class UpkeepWithdrawn(_Change, frozen=True):
    """The platform refused, so the host was not taken down."""

    wave: ids.WaveId
    host: ids.HostId


class UpkeepBegun(_Change, frozen=True):
    """The platform confirmed the upkeep of a host."""

    wave: ids.WaveId
    host: ids.HostId


class UpkeepFinished(_Change, frozen=True):
    """The host is back after its upkeep, or is gone for good."""

    wave: ids.WaveId
    host: ids.HostId


class HostOrdered(_Change, frozen=True):
    """The platform is about to be asked something about a host."""

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
    """Apply one change; changes that do not fit any more do nothing."""
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
    _get_upkeep(ledger, change).ordered = False


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
    """Return how many tasks must be done before the job is completed."""
    return job.occurrence_count * sum(step.tasks for step in job.steps)


def _get_upkeep(ledger: Ledger, change: Any) -> UpkeepRecord:
    return ledger.waves[change.wave].hosts[change.host]


def _count_failures(
    record: JobRecord, change: TaskEnded, step: specs.Step
) -> int:
    """Return how often a task failed, or its gang as a whole."""
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
        # One end stands for all members of the gang.
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
    # The steps stay: they tell what a run takes that is still to be stopped.
    record.tasks = {}
    record.job = msgspec.structs.replace(record.job, payload='')
