"""Times and limits of the scheduler, with where each comes from."""

import msgspec

# Clocks of workers may be this much slower than the leader's, as a share;
# the platform states it.
WORKER_CLOCK_DRIFT = 0.02


class Tuning(msgspec.Struct, frozen=True):
    """Limits of one deployment; times in milliseconds unless named."""

    # Longest lease that a worker accepts; from the platform's bounds.
    max_lease_ms: int = 6_000
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
    # Longest time that a filling task may slow down serving ones.
    interference_ms: int = 4_000
    # A stop takes at most this long; from the bounds.
    stop_ms: int = 900
    # Time within which members of a gang must meet; from the bounds.
    gang_ms: int = 3_000
    # A task away for less than this does not count as away; from the
    # bounds.
    notice_ms: int = 4_500
    # Tasks away from their data or rack take this many times as long; from
    # the bounds.
    remote_factor: float = 1.5
    # Tolerance of the platform for starts ahead of their due time.
    early_ms: int = 250
    # A call to the platform that got no answer by then counts as lost.
    host_call_ms: int = 2_000
