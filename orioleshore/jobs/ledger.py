"""Replicated records of jobs and upkeep, and the changes made to them.

Changes are stored in the log and records in snapshots, so fields may only
be added, with defaults. ``ledger_updates`` applies changes to records.
"""

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
    # Times at which jobs were cancelled that were not known, so that a
    # submission on its way then does not start them.
    early_cancels: dict[ids.JobId, ids.WallTime] = {}
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
    """A caller cancelled a job, which may not be known yet."""

    job: ids.JobId
    at: ids.WallTime


class JobForgotten(_Change, frozen=True):
    """The record of an ended job, or of an early cancel, is removed."""

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


def count_tasks(job: specs.Job) -> int:
    """Return how many tasks a job has over all its occurrences."""
    return job.occurrence_count * sum(step.tasks for step in job.steps)
