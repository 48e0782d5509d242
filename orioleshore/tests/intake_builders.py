"""Builds limits of a process for tests of its connections."""

from orioleshore.intake import budget
from orioleshore.tests import peer_crowd

# Time limits of the limits that ``make_limits`` returns, in seconds.
STALL_S = 10.0


def make_limits(**fields) -> budget.Limits:
    """Return limits of a small process; fields override the defaults."""
    defaults = {
        'memory': 10 * peer_crowd.MIB,
        'connections': 100,
        'head_bytes': 40 * peer_crowd.KIB,
        'head_s': STALL_S,
        'stall_s': STALL_S,
        'request_s': 3 * STALL_S,
    }
    return budget.Limits(**{**defaults, **fields})
