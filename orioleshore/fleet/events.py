"""Events that the planner handles, and the actions that it returns."""

import enum
from typing import Any

import msgspec

from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import queries
from orioleshore.state import records


class ReportedState(enum.Enum):
    """State of a host as the platform reports it."""

    UP = 'up'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'
    DOWN = 'down'


class CallKind(enum.Enum):
    """Operation of the platform that the planner calls."""

    DRAIN_HOST = 'drain_host'
    REBOOT_HOST = 'reboot_host'
    RETURN_HOST = 'return_host'
    START_TASK = 'start_task'
    CHECKPOINT_TASK = 'checkpoint_task'
    THROTTLE_TASK = 'throttle_task'
    STOP_TASK = 'stop_task'
    RENEW_TASK = 'renew_task'


# Events.


class LeadershipGained(msgspec.Struct, frozen=True):
    """This process has become the leader, which decides for the fleet."""

    epoch: ids.Epoch
    state: records.State


class LeadershipLost(msgspec.Struct, frozen=True):
    """This process is no longer the leader."""


class CommandApplied(msgspec.Struct, frozen=True):
    """A command was committed; the planner applies it to its copy."""

    command: commands.Command


class CommandRefused(msgspec.Struct, frozen=True):
    """A proposed command was refused, or its outcome is unknown."""

    command: commands.Command
    reason: str


class HostReported(msgspec.Struct, frozen=True):
    """The platform reports the state of a host."""

    host: ids.HostId
    state: ReportedState
    # Reported usage of the host, in cores and in GB.
    cores_used: float = 0.0
    memory_used_gb: float = 0.0


class TaskReported(msgspec.Struct, frozen=True):
    """The platform reports on one attempt of a job.

    ``result`` is None while the attempt runs.
    """

    job: ids.JobId
    attempt: ids.Attempt
    worker: ids.HostId
    result: states.TaskResult | None
    cores_used: float = 0.0
    memory_used_gb: float = 0.0
    reason: str = ''


class DemandReported(msgspec.Struct, frozen=True):
    """The demand on a pool was reported, in cores."""

    pool: ids.PoolId
    demanded_cores: float


class ServiceDemandReported(msgspec.Struct, frozen=True):
    """An entry host reports its open requests by service."""

    node: ids.NodeId
    demands: tuple[queries.ServiceDemand, ...]


class PlatformAnswered(msgspec.Struct, frozen=True):
    """The platform accepted or refused a call, or did not answer.

    ``ran`` is whether a call that was not accepted took effect.
    """

    call: ids.CallId
    accepted: bool
    reason: str = ''
    ran: states.Ran = states.Ran.UNKNOWN


class TimerFired(msgspec.Struct, frozen=True):
    """The tick of the fleet manager has fired."""


Event = (
    LeadershipGained
    | LeadershipLost
    | CommandApplied
    | CommandRefused
    | HostReported
    | TaskReported
    | DemandReported
    | ServiceDemandReported
    | PlatformAnswered
    | TimerFired
)


# Actions.


class Propose(msgspec.Struct, frozen=True):
    """Propose a command to the replicated log."""

    command: commands.Command


class CallPlatform(msgspec.Struct, frozen=True):
    """Call the platform to act on a host or a task.

    The platform refuses epochs older than the newest that it has seen,
    and acts only once on a repeated ``call``.
    """

    call: ids.CallId
    kind: CallKind
    host: ids.HostId
    epoch: ids.Epoch
    host_epoch: ids.Epoch
    job: ids.JobId | None = None
    attempt: ids.Attempt | None = None
    parameters: dict[str, Any] = {}


class RecordDecision(msgspec.Struct, frozen=True):
    """Store and log the explanation of a decision.

    ``rule`` is the rule that was applied, ``remedy`` a change that would
    lead to another decision.
    """

    subject_kind: str
    subject: str
    decision: str
    facts: dict[str, Any]
    rule: str
    remedy: str = ''


class ReplayReports(msgspec.Struct, frozen=True):
    """Deliver the reports of the platform of the last ``seconds`` again."""

    seconds: float


Action = Propose | CallPlatform | RecordDecision | ReplayReports
