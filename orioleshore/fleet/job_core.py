"""Soft state that the modules of the job planner share."""

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

# A proposal without an outcome is abandoned after this time.
PROPOSAL_TIMEOUT_S = 10.0
RESULT_REPEAT_INTERVAL_S = 5.0
# A new leader waits this long for reports that confirm running tasks before
# it repeats their start calls.
CONFIRMATION_TIME_S = 10.0
# A new leader requests the reports of this time again. It exceeds the length
# of an election, during which no leader handled reports.
REPORT_REPLAY_S = 120.0
# A worker that does not answer a start call for this time gets no new tasks.
START_TIMEOUT_S = 6.0
# The lease of a task without reports for this time is not renewed.
REPORT_TIMEOUT_S = 20.0
RENEWAL_RETRY_S = 5.0
# Limits the size of a command to about 12 KB.
MAX_RENEWALS_PER_COMMAND = 500
# Placing this many tasks takes about 0.1 s. The other jobs wait for the next
# tick, so that the heartbeats of the process are not delayed.
MAX_PLACEMENTS_PER_EVENT = 400
# Jobs that do not fit now and are skipped in one pass over a pool.
MAX_SKIPPED_JOBS = 32
# Tasks expected to end within this time may finish on a draining worker.
DRAIN_FINISH_S = 30.0
# A preempted task that may be stopped has the first time to complete its
# checkpoint. The whole preemption is abandoned after the second time.
CHECKPOINT_TIMEOUT_S = 1.5
PREEMPTION_TIMEOUT_S = 6.0
# Backoff after a failed or refused attempt; it doubles with each failure.
RETRY_DELAY_S = 2.0
MAX_RETRY_DELAY_S = 60.0

EVICTION_ORDER = {
    None: 0,
    events.CallKind.CHECKPOINT_TASK: 1,
    events.CallKind.STOP_TASK: 2,
}


class PendingPlacement(msgspec.Struct, frozen=True):
    """A proposed placement, which reserves capacity and quota."""

    attempt: ids.Attempt
    worker: ids.HostId
    team: ids.TeamId
    size: workers.Size


class PreemptionClaim(msgspec.Struct, frozen=True):
    """Capacity reserved for an urgent job while tasks are preempted."""

    worker: ids.HostId
    size: workers.Size


class JobCore:
    """The replicated state and the soft state of one ``JobPlanner``.

    The ``job_`` modules operate on it.
    """

    def __init__(
        self, estimator: learning.UsageEstimator | None = None
    ) -> None:
        self.estimator = estimator or learning.UsageEstimator()
        self.replayed_epoch: ids.Epoch | None = None
        self.reset()

    def reset(self) -> None:
        """Drop all state except learned estimates and the replayed epoch."""
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
        # Workers on which preemption for an urgent job was abandoned.
        self.failed_preemptions: dict[ids.JobId, frozenset[ids.HostId]] = {}
        self.delayed_jobs: set[ids.JobId] = set()
        self.deferred_pools: set[ids.PoolId] = set()
        self.placements_left = MAX_PLACEMENTS_PER_EVENT
        self.proposed_results: dict[ids.JobId, commands.RecordTaskResult] = {}
        self.calls = calls.OpenCalls(self.timers)
        self.pending_renewals: list[commands.LeaseHolder] = []
        self.journal = journal.Journal()
        self.actions: list[events.Action] = []
