"""Derives the limits on peers from the settings of a process."""

import resource

from orioleshore import settings
from orioleshore.intake import budget
from orioleshore.intake import gate

MIB = 1_048_576
# Share of the memory that peers may hold. Connections that are closed keep
# their bytes until the loop runs their handlers, a decoded request takes
# several times its bytes, and the process itself needs half of a small host.
MEMORY_SHARE = 0.1
# Charged for each open connection, in bytes: its parser, its task, and an
# answer below the high-water mark of its write buffer.
CONNECTION_BYTES = 24_576
# Share of the memory that the connections themselves may take.
CONNECTION_SHARE = 0.25
# The rest is for files and for connections that the process opens itself.
DESCRIPTOR_SHARE = 0.75


def make_limits(config: settings.Limits) -> budget.Limits:
    """Return the limits of a process whose memory and files are limited."""
    memory = config.memory_mb * MIB
    descriptors = config.max_fds
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft_limit)
    return budget.Limits(
        memory=int(memory * MEMORY_SHARE),
        connections=max(
            1,
            min(
                int(descriptors * DESCRIPTOR_SHARE),
                int(memory * CONNECTION_SHARE / CONNECTION_BYTES),
            ),
        ),
        head_bytes=config.head_bytes,
        head_s=config.head_timeout_s,
        stall_s=config.stall_timeout_s,
        request_s=config.request_timeout_s,
    )


def make_gate(config: settings.Limits) -> gate.Gate:
    """Return the gate of a process with these settings."""
    return gate.Gate(make_limits(config))


def make_default_gate() -> gate.Gate:
    """Return a gate with default settings, for a task that runs alone."""
    defaults = settings.DEFAULT_SETTINGS['limits']
    return make_gate(settings.Limits(**defaults))
