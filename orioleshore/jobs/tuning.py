"""Times and limits of the scheduler, with where each comes from."""

import msgspec

# Clocks of workers may be this much slower than the leader's, as a share;
# the platform states it.
WORKER_CLOCK_DRIFT = 0.02


class SchedulerLimits(msgspec.Struct, frozen=True):
    """Limits of one deployment; times in milliseconds unless named."""

    # Lease granted with each heartbeat: outlives an election (1.2 s), a
    # call that times out (1 s) and some lost heartbeats of 0.1 s. What a
    # worker ran when it crashed starts elsewhere only after its lease.
    lease_ms: int = 3_000
    # Time for which the outcome of a job is kept; from the bounds.
    status_s: float = 120.0
    # Two holders of a host's lease must not take turns faster than this;
    # from the platform's bounds.
    host_lease_ms: int = 3_000
    # A worker that leaves has stopped its runs this long after its leave
    # was acknowledged; above the time that a process takes to end.
    leave_ms: int = 1_000
    # Heartbeats of workers with room come this often, so that a new job
    # waits at most that long for a worker.
    idle_retry_ms: int = 100
    # Time within which members of a gang must meet; from the bounds.
    gang_ms: int = 3_000
    # Tasks away from their data or rack take this many times as long; from
    # the bounds.
    remote_factor: float = 1.5
    # A call to the platform that got no answer by then counts as lost.
    host_call_ms: int = 2_000
