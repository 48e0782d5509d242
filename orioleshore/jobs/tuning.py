"""Time limits and other limits of the scheduler."""

import msgspec

# Clocks of workers may run slower than the leader's by this share, according
# to the platform.
WORKER_CLOCK_DRIFT = 0.02
# Runs of lost workers that one tick ends, and those of one more worker. The
# loss of a whole zone takes some ticks, so that the leader keeps its lease.
MAX_LOST_RUNS_PER_TICK = 2_000


class SchedulerLimits(msgspec.Struct, frozen=True):
    """Limits of one deployment.

    "Platform limit" marks values that the platform sets for a deployment.
    """

    # Lease granted with each heartbeat. Longer than an election (0.9 s) plus
    # a call that times out (1 s) and some lost heartbeats (0.1 s each). The
    # runs of a crashed worker restart elsewhere only after its lease.
    lease_ms: int = 3_000
    # Time for which the outcome of a job is kept. Platform limit.
    status_s: float = 120.0
    # Shortest time between orders of two lease holders about a host.
    # Platform limit.
    host_lease_ms: int = 3_000
    # Time that the upkeep of a host takes. Platform limit.
    upkeep_s: float = 2.0
    # A worker that reports as ready this long after its exit was announced
    # goes on: an earlier life under its name has announced it.
    leave_ms: int = 1_000
    # Shortest heartbeat interval of ready workers; a new job waits at most
    # this long for a worker to report.
    idle_retry_ms: int = 100
    # Heartbeats of all workers together. The interval grows with the number
    # of workers, so that their rate stays below what one leader handles; with
    # more workers a new job still finds one as soon.
    max_heartbeats_per_s: int = 1_000
    # Intervals from here on are left to the worker. Platform limit.
    heartbeat_ms: int = 1_500
    # Time within which all members of a gang must start. Platform limit.
    gang_ms: int = 3_000
    # Tasks outside the rack of their data or of their step take this many
    # times as long. Platform limit.
    remote_factor: float = 1.5
    # A call to the platform without an answer after this time counts as lost.
    host_call_ms: int = 2_000
    # A task is given up once this many workers have crashed directly after
    # they started it, or this many if another task was given up lately.
    max_task_crashes: int = 3
    max_further_task_crashes: int = 2
    # A task is also given up once this many workers were lost soon after its
    # start. The platform allows two more starts after three crashes.
    max_task_losses: int = 5
    # Share of a pool's workers that may run a suspect task on probation.
    max_suspect_share: float = 0.5
