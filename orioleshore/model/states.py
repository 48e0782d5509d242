"""States that are stored or sent between processes."""

import enum


class Ran(enum.Enum):
    """Whether a request was executed by an upstream."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class Priority(enum.Enum):
    """Urgency of a request, most urgent first."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    DEFERRABLE = 'deferrable'


class Role(enum.Enum):
    """Role of a process, taken from its settings."""

    CONTROL = 'control'
    ENTRY = 'entry'


class RaftRole(enum.Enum):
    """Role of a consensus member."""

    LEARNER = 'learner'
    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class PeerState(enum.Enum):
    """State of a process as seen by the failure detector."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class UpstreamState(enum.Enum):
    """State that an upstream announces."""

    SERVING = 'serving'
    LEAVING = 'leaving'


class HostState(enum.Enum):
    """Stage of a host in service, maintenance and repair."""

    SERVING = 'serving'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'
    PROVING = 'proving'
    DOWN = 'down'
    SET_ASIDE = 'set_aside'


class Purpose(enum.Enum):
    """Reason for a planned reduction of capacity."""

    MAINTENANCE = 'maintenance'
    MOVE = 'move'


class WaveState(enum.Enum):
    """Progress of a maintenance wave."""

    RUNNING = 'running'
    PAUSED = 'paused'
    FINISHED = 'finished'


class WaveHostState(enum.Enum):
    """Progress of one host within a maintenance wave."""

    WAITING = 'waiting'
    STARTED = 'started'
    DONE = 'done'
    SET_ASIDE = 'set_aside'


class JobState(enum.Enum):
    """Progress of a job."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'
    QUARANTINED = 'quarantined'
    UNKNOWN = 'unknown'


class TaskResult(enum.Enum):
    """How one attempt of a job ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CHECKPOINTED = 'checkpointed'
    STOPPED = 'stopped'
    LOST = 'lost'
    # The platform reports that the task never started.
    NOT_STARTED = 'not_started'


class ClaimState(enum.Enum):
    """Recorded state of a claimed request."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class BatchState(enum.Enum):
    """Progress of a job that a caller submitted."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunStage(enum.Enum):
    """Progress of a task of a caller's job."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'


class RunEnd(enum.Enum):
    """How a run ended, as reported by its worker."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    # The lease of the run expired on the worker.
    LAPSED = 'lapsed'
    # Another member of the gang ended.
    BROKEN = 'broken'
    # The other members of the gang did not start in time.
    ALONE = 'alone'
    # The worker did not start the run.
    REFUSED = 'refused'
    # The run is unknown to the worker, or the worker is gone.
    LOST = 'lost'


class WorkerExit(enum.Enum):
    """Why a worker counts as gone."""

    # It did not report for as long as its lease.
    LEASE_ENDED = 'lease_ended'
    # A newer incarnation reports under its name, or from its host.
    RESTARTED = 'restarted'
    REPLACED = 'replaced'
    # The platform confirmed an order about its host.
    MOVED = 'moved'
    UPKEEP = 'upkeep'


class LossCause(enum.Enum):
    """What is known later about a worker that fell silent."""

    CRASHED = 'crashed'
    # An order of the platform or a planned exit ended it.
    PLANNED = 'planned'
    # It reports again, so it was cut off or slow.
    ALIVE = 'alive'
    # It was not heard of for so long that it is no longer remembered.
    UNKNOWN = 'unknown'


class FailureReason(enum.Enum):
    """Why a job has failed."""

    NONE = 'none'
    ATTEMPTS = 'attempts'
    # One of its tasks crashed the workers that started it.
    CRASHES = 'crashes'


class WorkerState(enum.Enum):
    """State that a worker reports."""

    READY = 'ready'
    DRAINING = 'draining'


class Bound(enum.Enum):
    """What a message or a turn of the leader may hold at most."""

    ENDED_RUNS = 'ended_runs'
    ANSWER = 'answer'
    LOST_RUNS = 'lost_runs'
    COMMIT = 'commit'
    TURN = 'turn'


class HoldReason(enum.Enum):
    """Why a long-running task that waits is not started."""

    # The pool has no known worker.
    NO_WORKER = 'no_worker'
    DRAINING = 'draining'
    # The host of the worker is to go down or move.
    CORDONED = 'cordoned'
    SILENT = 'silent'
    # The worker gets no task for a while, after failures.
    PAUSED = 'paused'
    LABEL = 'label'
    NO_APPROVAL = 'no_approval'
    # All waiting tasks of the step may have crashed their last workers, so
    # they are started apart from others.
    SUSPECT = 'suspect'
    # The worker runs such a task that has only just begun.
    PROBATION = 'probation'
    # The step's limit of tasks on one worker is reached.
    WORKER_LIMIT = 'worker_limit'
    NO_ROOM = 'no_room'
    # The organisation of the job has reached its limit over all pools.
    ORGANISATION_LIMIT = 'organisation_limit'
    # A worker that failed often has a run that is not ready yet.
    UNPROVEN_RUN = 'unproven_run'
    # Tasks of a gang start only as planned.
    GANG_PLAN = 'gang_plan'
    RACK = 'rack'
    # Another worker is preferred.
    PACKING = 'packing'
    # Nothing holds the task; the worker starts it when it reports.
    NEXT_HEARTBEAT = 'next_heartbeat'
    NOT_DUE = 'not_due'
    EARLIER_STEP = 'earlier_step'
    # A run counts as running although its worker has sent no heartbeat for a
    # while, or none to this leader.
    RUN_ON_SILENT_WORKER = 'run_on_silent_worker'
    RUN_ON_UNHEARD_WORKER = 'run_on_unheard_worker'
    # The start was ordered, and the worker has not listed the run.
    START_NOT_CONFIRMED = 'start_not_confirmed'


class PlatformHostState(enum.Enum):
    """State of a host in the list of the platform."""

    UP = 'up'
    MOVING = 'moving'
    UPKEEP = 'upkeep'
    DOWN = 'down'


class HostOrderOutcome(enum.Enum):
    """Response of the platform to an order about a host."""

    # Also for an order that was carried out earlier.
    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    GONE = 'gone'
    # The order may have been carried out.
    UNKNOWN = 'unknown'


class TickStep(enum.Enum):
    """Part of the scheduler's periodic work."""

    LEASES = 'leases'
    JOBS = 'jobs'
    GANGS = 'gangs'
    APPROVALS = 'approvals'
    HOST_LIST = 'host_list'
    UPKEEP = 'upkeep'
    POOLS = 'pools'
