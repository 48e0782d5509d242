"""State of the workers, derived from their heartbeats."""

import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states

# Progress in percent at which a long-running task is ready.
READY_PERCENT = 100

# Identifies a run: one attempt of a task of a job.
RunKey = tuple[ids.JobId, ids.TaskName, ids.Attempt]
# Identifies a task of a job.
TaskKey = tuple[ids.JobId, ids.TaskName]


class WorkerKey(msgspec.Struct, frozen=True):
    """Identifies one incarnation of a worker, which may reuse its name."""

    name: ids.WorkerId
    incarnation: ids.Incarnation


class Worker(msgspec.Struct):
    """One incarnation of a worker.

    ``lease_end`` is the monotonic time by which all its runs have ended
    unless its lease is renewed before.
    """

    name: ids.WorkerId
    incarnation: ids.Incarnation
    host: ids.HostId
    pool: ids.PoolId
    zone: ids.AvailabilityZone
    capacity: specs.Resources
    # The kind of the worker, then its rack.
    labels: tuple[str, ...] = ()
    state: states.WorkerState = states.WorkerState.READY
    sequence: int = 0
    lease_end: float = 0.0
    last_heartbeat_at: float = msgspec.field(default=0.0, name='heard_at')
    # Resources of the runs that the last heartbeat listed, and of those that
    # the scheduler ordered.
    listed: dict[RunKey, specs.Resources] = {}
    reports: dict[RunKey, calls.RunReport] = {}
    ordered: dict[RunKey, specs.Resources] = {}
    # Ordered runs that some heartbeat has listed.
    reported: set[RunKey] = set()
    # Resources reserved for gang members that have not started yet.
    reserved: dict[tuple[ids.JobId, ids.TaskName], specs.Resources] = {}
    # Monotonic times of the start orders.
    start_ordered_at: dict[RunKey, float] = msgspec.field(
        default_factory=dict, name='began_at'
    )
    rates: dict[RunKey, int] = {}
    # Runs that are being stopped so that their tasks restart elsewhere.
    evicted: set[RunKey] = set()
    # Progress of runs in percent, and the monotonic time of its last change.
    progress: dict[RunKey, tuple[int, float]] = {}
    # Runs that have neither ended nor shown that the worker functions.
    unproven_runs: set[RunKey] = msgspec.field(
        default_factory=set, name='on_trial'
    )
    # Runs of tasks under which other workers were lost, and those of them
    # that have not run for long enough yet for other tasks to start here.
    suspects: set[RunKey] = set()
    probation: set[RunKey] = set()
    # Whether suspect tasks go before others the next time; by turns, so that
    # neither keeps the other from the worker.
    is_turn_of_suspects: bool = True
    # Failed or stalled runs since the last successful one, over all jobs.
    consecutive_failures: int = msgspec.field(
        default=0, name='failures_in_row'
    )
    # Monotonic time by which a worker should have ended that announced its
    # exit without having reported that it drains, 0 for others.
    exit_due_at: float = 0.0
    # Monotonic times of the last failures of tasks, each kept for a while.
    failed_at: dict[TaskKey, float] = {}
    # Start orders in a row that did not reach the worker.
    lost_orders: int = 0
    # No task is started on the worker before this monotonic time.
    no_starts_until: float = msgspec.field(default=0.0, name='shunned_until')
    # No task is started on the worker, since its host is to go down or move.
    is_cordoned: bool = False
    # Monotonic time since which runs are missing in heartbeats with rows that
    # cannot be read, None if there are none.
    held_since: float | None = None
    # Monotonic time of the first heartbeat to this leader.
    found_at: float = 0.0

    @property
    def key(self) -> WorkerKey:
        """Return the identity of this incarnation."""
        return WorkerKey(self.name, self.incarnation)

    @property
    def rack(self) -> str:
        """Return the label of the worker's rack, empty if unknown."""
        return self.labels[1] if len(self.labels) > 1 else ''

    def get_free_resources(self) -> specs.Resources:
        """Return the resources not used by runs or reservations."""
        cpu = self.capacity.cpu_millis
        memory = self.capacity.memory_mb
        accelerators = self.capacity.accelerators
        taken = [*(self.listed | self.ordered).values()]
        for need in (*taken, *self.reserved.values()):
            cpu -= need.cpu_millis
            memory -= need.memory_mb
            accelerators -= need.accelerators
        return specs.Resources(cpu, memory, accelerators)


def get_reserved_resources(step: specs.Step) -> specs.Resources:
    """Return the resources that a task of a step reserves on its worker."""
    if not step.is_filler:
        return step.need
    return specs.Resources(0, step.need.memory_mb, step.need.accelerators)


def fits_into(need: specs.Resources, free: specs.Resources) -> bool:
    """Return whether the needed resources do not exceed the free ones."""
    return (
        need.cpu_millis <= free.cpu_millis
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


def subtract_resources(
    free: specs.Resources, need: specs.Resources
) -> specs.Resources:
    """Return the free resources less the needed ones."""
    return free.minus(need)
