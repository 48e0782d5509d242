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

# Ends that a worker reports itself, and after which it goes on.
_HARMLESS_ENDS = frozenset(
    {
        states.RunEnd.DONE,
        states.RunEnd.FAILED,
        states.RunEnd.STOPPED,
        states.RunEnd.LAPSED,
    }
)


class RunRecord(msgspec.Struct, array_like=True, gc=False):
    """State of a task: its newest attempt and the worker that runs it.

    ``sequence`` is the number of the heartbeat whose answer carried the
    start order. If a later heartbeat does not list the attempt, the order
    was lost.
    """

    stage: states.RunStage = states.RunStage.WAITING
    attempt: ids.Attempt = ids.Attempt(0)
    failures: int = 0
    worker: ids.WorkerId = ids.WorkerId('')
    incarnation: ids.Incarnation = ids.UNKNOWN_INCARNATION
    sequence: int = 0
    checkpoint: str = ''
    host: ids.HostId = ids.HostId('')
    started_at: ids.WallTime = ids.WallTime(0.0)
    # Workers that crashed soon after they started the task, and those that
    # fell silent then and have not been heard of since.
    crashes: int = 0
    silences: int = 0
    # Of both together, those on which no other job had a start as new, and of
    # the crashes, those that followed the start at once.
    lone_losses: int = 0
    immediate_crashes: int = 0
    # The task is started apart from other work until it is cleared.
    is_suspect: bool = False

    @property
    def losses(self) -> int:
        """Return the workers that the task may have crashed."""
        return self.crashes + self.silences

    def clear_suspicion(self) -> None:
        """Forget the losses, since a run has shown that it does no harm."""
        self.crashes = self.silences = 0
        self.lone_losses = self.immediate_crashes = 0
        self.is_suspect = False


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A run that had begun shortly before its worker was lost.

    ``is_newest`` marks the last runs that were started, ``is_alone`` those of
    them beside which no other job had a start, and ``is_immediate`` those
    that were not once reported before the loss.
    """

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    is_newest: bool = False
    is_alone: bool = False
    is_immediate: bool = False


class LostWorker(msgspec.Struct, array_like=True):
    """A worker that was lost, until it is known what became of it."""

    worker: ids.WorkerId
    incarnation: ids.Incarnation
    lost_at: ids.WallTime
    newest_start: ids.WallTime
    suspects: tuple[Suspect, ...] = ()


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
    failure: states.FailureReason = states.FailureReason.NONE
    organisation: ids.OrganisationId = ids.OrganisationId('')
    # What each worker ran for the job when it ended; a worker that has not
    # reported since may still run it.
    left_running: tuple[tuple[ids.WorkerId, specs.Resources], ...] = ()

    @property
    def is_ended(self) -> bool:
        """Return whether the job is completed, failed or cancelled."""
        return self.state in _ENDED


class UpkeepRecord(msgspec.Struct, array_like=True):
    """Upkeep of one host.

    ``worker`` and ``incarnation`` are those of the worker that it ends.
    """

    is_ordered: bool = False
    is_started: bool = False
    is_finished: bool = False
    worker: ids.WorkerId = ids.WorkerId('')
    incarnation: ids.Incarnation = ids.UNKNOWN_INCARNATION

    @property
    def is_unanswered(self) -> bool:
        """Return whether an order may still take the host down."""
        return self.is_ordered and not self.is_started


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
    # The last worker of each host, if it was lost and it is not yet known
    # why.
    lost_workers: dict[ids.HostId, LostWorker] = {}
    # Time at which a task was last given up because of crashes.
    given_up_at: ids.WallTime = ids.WallTime(0.0)


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
    organisation: ids.OrganisationId = ids.OrganisationId('')


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
    host: ids.HostId = ids.HostId('')
    at: ids.WallTime = ids.WallTime(0.0)


class TaskEnded(_Change, frozen=True):
    """An attempt of a task ended or was lost."""

    job: ids.JobId
    task: ids.TaskName
    attempt: ids.Attempt
    how: states.RunEnd
    checkpoint: str
    at: ids.WallTime


class WorkerLost(_Change, frozen=True):
    """A worker is gone; recorded before the ends of its runs.

    ``suspects`` are the runs that may have crashed it.
    """

    host: ids.HostId
    worker: ids.WorkerId
    incarnation: ids.Incarnation
    at: ids.WallTime
    newest_start: ids.WallTime
    suspects: tuple[Suspect, ...] = ()


class LossExplained(_Change, frozen=True):
    """It is known, or will not be known, why a host's worker was lost."""

    host: ids.HostId
    cause: states.LossCause


class SuspicionCleared(_Change, frozen=True):
    """A suspect task has run for a while without harm to its worker."""

    job: ids.JobId
    task: ids.TaskName


class TaskGivenUp(_Change, frozen=True):
    """A task that crashes its workers is not started again; its job fails."""

    job: ids.JobId
    task: ids.TaskName
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
    incarnation: ids.Incarnation = ids.UNKNOWN_INCARNATION


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
    | WorkerLost
    | LossExplained
    | SuspicionCleared
    | TaskGivenUp
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
        organisation=change.organisation,
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
    run.host = change.host
    run.started_at = change.at
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
    if run.losses and change.how in _HARMLESS_ENDS:
        _clear_suspicion(ledger, change.job, change.task, run)
    if step.is_long_running:
        return
    if change.how is states.RunEnd.DONE:
        _finish_task(record, change, step)
    if change.how is states.RunEnd.FAILED:
        run.failures += 1
        if _count_failures(record, change, step) >= record.max_attempts:
            record.failure = states.FailureReason.ATTEMPTS
            _end_job(record, states.BatchState.FAILED, change.at)


@apply_change.register
def _(change: WorkerLost, ledger: Ledger) -> None:
    running = []
    for suspect in change.suspects:
        run = _find_suspect_run(ledger, suspect)
        if (
            run is None
            or run.attempt != suspect.attempt
            or run.stage is not states.RunStage.RUNNING
        ):
            continue
        running.append(suspect)
        run.silences += 1
        run.lone_losses += suspect.is_alone
        if suspect.is_newest or run.losses > 1:
            run.is_suspect = True
    if change.host and running:
        ledger.lost_workers[change.host] = LostWorker(
            change.worker,
            change.incarnation,
            change.at,
            change.newest_start,
            tuple(running),
        )


@apply_change.register
def _(change: LossExplained, ledger: Ledger) -> None:
    lost = ledger.lost_workers.pop(change.host, None)
    if lost is None or change.cause is states.LossCause.UNKNOWN:
        return
    for suspect in lost.suspects:
        run = _find_suspect_run(ledger, suspect)
        if run is None:
            continue
        run.silences -= 1
        if change.cause is states.LossCause.CRASHED:
            run.crashes += 1
            run.immediate_crashes += suspect.is_immediate
            continue
        run.lone_losses -= suspect.is_alone
        if not run.losses:
            run.clear_suspicion()


@apply_change.register
def _(change: SuspicionCleared, ledger: Ledger) -> None:
    record = ledger.jobs.get(change.job)
    run = record and record.tasks.get(change.task)
    if run:
        _clear_suspicion(ledger, change.job, change.task, run)


@apply_change.register
def _(change: TaskGivenUp, ledger: Ledger) -> None:
    record = ledger.jobs.get(change.job)
    if record is None or record.is_ended:
        return
    ledger.given_up_at = change.at
    record.failure = states.FailureReason.CRASHES
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
    record.incarnation = change.incarnation


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


def _find_suspect_run(ledger: Ledger, suspect: Suspect) -> RunRecord | None:
    """Return the record of a suspect's task, None if its job has ended."""
    record = ledger.jobs.get(suspect.job)
    return record.tasks.get(suspect.task) if record else None


def _clear_suspicion(
    ledger: Ledger, job: ids.JobId, task: ids.TaskName, run: RunRecord
) -> None:
    """Clear a task, also of losses that are explained only later."""
    if run.silences:
        for lost in ledger.lost_workers.values():
            lost.suspects = tuple(
                suspect
                for suspect in lost.suspects
                if (suspect.job, suspect.task) != (job, task)
            )
    run.clear_suspicion()


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
    record.left_running = tuple(
        (run.worker, _get_need(record, name))
        for name, run in record.tasks.items()
        if run.stage is states.RunStage.RUNNING
    )
    # The steps are kept: they give the resources of runs not yet stopped.
    record.tasks = {}
    record.job = msgspec.structs.replace(record.job, payload='')


def _get_need(record: JobRecord, task: ids.TaskName) -> specs.Resources:
    _, position, _ = specs.parse_task_name(task)
    return record.job.steps[position].need
