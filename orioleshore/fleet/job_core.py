"""State that the parts of the job planner share."""

import msgspec

from orioleshore.fleet import calls
from orioleshore.fleet import events
from orioleshore.fleet import fault_attribution
from orioleshore.fleet import journal
from orioleshore.fleet import learning
from orioleshore.fleet import placement
from orioleshore.fleet import pressure
from orioleshore.fleet import quotas
from orioleshore.fleet import tasks
from orioleshore.fleet import timer_queue
from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.state import commands
from orioleshore.state import records

# A proposal without an outcome is given up after this time.
PROPOSAL_TIMEOUT_S = 10.0
RESULT_REPEAT_INTERVAL_S = 5.0
# Time in which reports confirm running tasks to a new leader, so that it
# need not repeat all their start calls.
CONFIRMATION_TIME_S = 10.0
# Reports of this time are read again by a new leader; it covers an election.
REPORT_REPLAY_S = 120.0
# A worker that leaves a start call unanswered this long gets no more work.
START_TIMEOUT_S = 6.0
# A task without any report for this time does not get its lease renewed.
REPORT_TIMEOUT_S = 20.0
RENEWAL_RETRY_S = 5.0
# Attempts in one command, about 12 KB.
MAX_RENEWALS_PER_COMMAND = 500
# Placements after one event, about 0.1 s of work; the rest waits for the
# next tick, so that heartbeats of the same process are not held up.
MAX_PLACEMENTS_PER_EVENT = 400
# Jobs of a pool without room that are passed over in one pass.
MAX_SKIPPED_JOBS = 32
# Tasks that end within this time finish on a worker that drains.
DRAIN_FINISH_S = 30.0
# Preempted tasks that may be stopped have this long for a checkpoint; the
# whole preemption is given up after the second time.
CHECKPOINT_TIMEOUT_S = 1.5
PREEMPTION_TIMEOUT_S = 6.0
# Delay after a failed or refused attempt; it doubles with each failure.
RETRY_DELAY_S = 2.0
MAX_RETRY_DELAY_S = 60.0

EVICTION_ORDER = {
    None: 0,
    events.CallKind.CHECKPOINT_TASK: 1,
    events.CallKind.STOP_TASK: 2,
}


class PendingPlacement(msgspec.Struct, frozen=True):
    """A proposed placement, which holds room and quota."""

    attempt: ids.Attempt
    worker: ids.HostId
    team: ids.TeamId
    size: workers.Size


class PreemptionClaim(msgspec.Struct, frozen=True):
    """Room held for an urgent job while other tasks leave."""

    worker: ids.HostId
    size: workers.Size


class JobCore:
    """Follows the planner's copy of the replicated state.

    Owned by one ``JobPlanner``; the ``job_`` modules work on it.
    """

    def __init__(
        self, estimator: learning.UsageEstimator | None = None
    ) -> None:
        self.estimator = estimator or learning.UsageEstimator()
        self.replayed_epoch: ids.Epoch | None = None
        self.reset()

    def reset(self) -> None:
        """Forget everything but the learned values."""
        self.state = records.State()
        self.epoch: ids.Epoch | None = None
        self.document_version = ids.Version(0)
        self.jobs: dict[ids.JobId, documents.Job] = {}
        self.hosts: dict[ids.HostId, documents.Host] = {}
        self.worker_table = workers.WorkerTable()
        self.ledger = quotas.QuotaLedger()
        self.faults = fault_attribution.FaultAttribution()
        self.pressure = pressure.PressureMonitor()
        self.timers = timer_queue.TimerQueue()
        self.queues: dict[ids.PoolId, placement.JobQueue] = {}
        self.tasks: dict[ids.JobId, tasks.Task] = {}
        self.team_tasks: dict[ids.TeamId, dict[ids.JobId, None]] = {}
        self.pending_placements: dict[ids.JobId, PendingPlacement] = {}
        self.claims: dict[ids.JobId, PreemptionClaim] = {}
        self.claims_by_worker: dict[ids.HostId, dict[ids.JobId, None]] = {}
        # Workers on which preemption for an urgent job did not succeed.
        self.failed_preemptions: dict[ids.JobId, frozenset[ids.HostId]] = {}
        self.delayed_jobs: set[ids.JobId] = set()
        self.deferred_pools: set[ids.PoolId] = set()
        self.placements_left = MAX_PLACEMENTS_PER_EVENT
        self.proposed_results: dict[ids.JobId, commands.RecordTaskResult] = {}
        self.calls = calls.OpenCalls(self.timers)
        self.pending_renewals: list[commands.LeaseHolder] = []
        self.journal = journal.Journal()
        self.actions: list[events.Action] = []
