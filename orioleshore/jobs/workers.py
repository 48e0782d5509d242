"""What the scheduler knows of the workers, from their heartbeats alone."""

import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states

# Progress in percent at which a lasting task is at work.
READY_PERCENT = 100

# A run of a job, by its task and attempt.
RunKey = tuple[ids.JobId, ids.TaskName, ids.Attempt]


class Worker(msgspec.Struct):
    """One life of a worker.

    ``lease_end`` is the monotonic time by which all its runs have ended
    unless it is granted a longer lease before.
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
    # What is listed as running, and what is ordered, with their needs.
    listed: dict[RunKey, specs.Resources] = {}
    reports: dict[RunKey, calls.RunReport] = {}
    ordered: dict[RunKey, specs.Resources] = {}
    # Room held for members of gangs that are not started yet.
    reserved: dict[tuple[ids.JobId, ids.TaskName], specs.Resources] = {}
    # Monotonic times at which runs were ordered.
    start_ordered_at: dict[RunKey, float] = msgspec.field(
        default_factory=dict, name='began_at'
    )
    rates: dict[RunKey, int] = {}
    # Runs that are stopped so that their tasks run elsewhere.
    evicted: set[RunKey] = set()
    # Progress of runs in percent, with the time of its last change.
    progress: dict[RunKey, tuple[int, float]] = {}
    # Runs that neither ended nor proved that the worker does its work.
    unproven_runs: set[RunKey] = msgspec.field(
        default_factory=set, name='on_trial'
    )
    # Ends in a row that were no success, over all jobs.
    consecutive_failures: int = msgspec.field(
        default=0, name='failures_in_row'
    )
    # No tasks are started before this monotonic time.
    no_starts_until: float = msgspec.field(default=0.0, name='shunned_until')
    # Starts nothing that ends by itself, since its host is to go down.
    is_cordoned: bool = False

    @property
    def rack(self) -> str:
        """Return the label of the worker's rack, empty if unknown."""
        return self.labels[1] if len(self.labels) > 1 else ''

    def get_free(self) -> specs.Resources:
        """Return the room that neither listed nor ordered runs take."""
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
    """Return what a task of a step takes from the room of its worker."""
    if not step.is_filler:
        return step.need
    return specs.Resources(0, step.need.memory_mb, step.need.accelerators)


def fits_into(need: specs.Resources, free: specs.Resources) -> bool:
    """Return whether a need is met by free room."""
    return (
        need.cpu_millis <= free.cpu_millis
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


def subtract_resources(
    free: specs.Resources, need: specs.Resources
) -> specs.Resources:
    """Return the room that is left after a need was met."""
    return specs.Resources(
        free.cpu_millis - need.cpu_millis,
        free.memory_mb - need.memory_mb,
        free.accelerators - need.accelerators,
    )
