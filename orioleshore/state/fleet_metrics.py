"""Metrics of the fleet, computed in one pass over the state."""

import collections
from collections.abc import Iterable
import enum
from typing import Any

from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import queries
from orioleshore.state import records

# Scopes of budget metrics; a metric series per rack would be too many.
_REPORTED_SCOPES = ('total', 'availability_zone/')


def compute_fleet_metrics(state: records.State) -> dict[str, Any]:
    """Return counts of hosts, jobs and waves, and the remaining budgets."""
    return {
        'hosts': _count_by_state(
            (host.state for host in state.hosts.values()), states.HostState
        ),
        'jobs': _count_by_state(
            (job.state for job in state.jobs.values()), states.JobState
        ),
        'waves': {
            name: queries.get_wave_status(wave)
            for name, wave in state.waves.items()
            if wave.state is not states.WaveState.FINISHED
        },
        'budgets': [
            {
                'service': loss.service,
                'scope': loss.scope,
                'cores_left': loss.allowed - loss.down,
            }
            for pool in sorted({s.pool for s in state.document.services})
            for loss in budgets.get_losses(state, pool)
            if loss.scope.startswith(_REPORTED_SCOPES)
        ],
    }


def _count_by_state(
    values: Iterable[enum.Enum], kinds: type[enum.Enum]
) -> dict[str, int]:
    counts = collections.Counter(values)
    return {kind.value: counts[kind] for kind in kinds}
