"""Events and actions of the fleet's decisions."""

import enum
from typing import Any

import msgspec

from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import queries
from orioleshore.state import records


class ReportedState(enum.Enum):
    """What the platform reports about a host."""

    UP = 'up'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'
    DOWN = 'down'


class CallKind(enum.Enum):
    """What the platform is asked to do."""

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
    """This process decides for the fleet from now on."""

    epoch: ids.Epoch
    state: records.State


class LeadershipLost(msgspec.Struct, frozen=True):
    """This process does not decide any more."""


class CommandApplied(msgspec.Struct, frozen=True):
    """A command was committed and is applied to the planner's copy."""

    command: commands.Command


class CommandRefused(msgspec.Struct, frozen=True):
    """A proposed command was refused, or its outcome is not known."""

    command: commands.Command
    reason: str


class HostReported(msgspec.Struct, frozen=True):
    """The platform reports the state of a host."""

    host: ids.HostId
    state: ReportedState
    # Usage of the host as reported, in cores and in GB.
    cores_used: float = 0.0
    memory_used_gb: float = 0.0


class TaskReported(msgspec.Struct, frozen=True):
    """The platform reports on one attempt of a job.

    ``result`` is None while it runs.
    """

    job: ids.JobId
    attempt: ids.Attempt
    worker: ids.HostId
    result: states.TaskResult | None
    cores_used: float = 0.0
    memory_used_gb: float = 0.0
    reason: str = ''


class DemandReported(msgspec.Struct, frozen=True):
    """The demand on a pool is known, in cores."""

    pool: ids.PoolId
    demanded_cores: float


class ServiceDemandReported(msgspec.Struct, frozen=True):
    """An entry host reports the requests that it holds by service."""

    node: ids.NodeId
    demands: tuple[queries.ServiceDemand, ...]


class PlatformAnswered(msgspec.Struct, frozen=True):
    """The platform accepted or refused a call, or did not answer.

    ``ran`` tells whether the call took effect when it was not accepted.
    """

    call: ids.CallId
    accepted: bool
    reason: str = ''
    ran: states.Ran = states.Ran.UNKNOWN


class TimerFired(msgspec.Struct, frozen=True):
    """Time has passed."""


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
    """Commit a command."""

    command: commands.Command


class CallPlatform(msgspec.Struct, frozen=True):
    """Ask the platform to act on a host or a task.

    The platform refuses epochs older than the newest that it has seen,
    and answers a repeated ``call`` without acting again.
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
    """Keep and log why something was decided or held back.

    ``rule`` names what decided; ``remedy`` says what would change it.
    """

    subject_kind: str
    subject: str
    decision: str
    facts: dict[str, Any]
    rule: str
    remedy: str = ''


class ReplayReports(msgspec.Struct, frozen=True):
    """Deliver the platform's reports of the last ``seconds`` again."""

    seconds: float


Action = Propose | CallPlatform | RecordDecision | ReplayReports
