"""Write what tasks report about themselves into a sheet of metrics."""

import collections
from typing import Any

from orioleshore.model import states
from orioleshore.telemetry import metrics

# Bounds the series of waves; finished ones have none.
MAX_WAVES = 64


def read_transport(counters: dict[str, int], sheet: metrics.Sheet) -> None:
    """Write the counters of the transport."""
    for name in (
        'received_messages',
        'received_bytes',
        'sent_messages',
        'sent_bytes',
        'dropped_frames',
        'refused_connections',
    ):
        sheet.set(f'transport_{name}_total', counters[name])
    sheet.set('transport_queued_frames', counters['queued_frames'])
    for direction in ('incoming', 'outgoing'):
        sheet.set(
            'transport_connections',
            counters[f'{direction}_connections'],
            direction=direction,
        )


def read_membership(status: dict[str, Any], sheet: metrics.Sheet) -> None:
    """Write what the failure detector knows."""
    for state, count in status['peers'].items():
        sheet.set('membership_peers', count, state=state)
    sheet.set('membership_isolated', int(status['isolated']))
    sheet.set('membership_broken_paths', status['broken_paths'])
    sheet.set('membership_waiting_rumours', status['waiting_rumours'])


def read_subscriber(status: dict[str, Any], sheet: metrics.Sheet) -> None:
    """Write the version in force, and the highest that is known."""
    sheet.set('configuration_version', status['version'])
    highest = max(status['version'], status['highest_known'])
    sheet.set('configuration_highest_version', highest)


def read_routing(status: dict[str, Any], sheet: metrics.Sheet) -> None:
    """Write queues, requests in flight and refusals of an entry host."""
    sheet.set('routing_held_requests', status['held'])
    sheet.set('routing_in_flight_requests', status['in_flight'])
    for name, service in status['router']['services'].items():
        sheet.set('routing_queued_requests', service['queued'], service=name)
    upstreams = collections.Counter(
        upstream['service']
        for upstream in status['router']['upstreams'].values()
    )
    for service, count in upstreams.items():
        sheet.set('routing_upstreams', count, service=service)


def read_callers(status: dict[str, Any], sheet: metrics.Sheet) -> None:
    """Write the answers that no upstream gave, by error kind."""
    for error, count in status['refusals'].items():
        sheet.set('refused_requests_total', count, error=error)


def read_member(status: dict[str, Any], sheet: metrics.Sheet) -> None:
    """Write role and log of a control member, the fleet at the leader."""
    for role in states.RaftRole:
        current = int(role.value == status['role'])
        sheet.set('consensus_role', current, role=role)
    for name in ('term', 'commit_index', 'applied_index', 'pending_calls'):
        sheet.set(f'consensus_{name}', status[name])
    sheet.set('consensus_syncs_total', status['syncs'])
    sheet.set('consensus_sync_seconds_total', status['sync_seconds'])
    if status['fleet'] is not None:
        _read_fleet(status['fleet'], sheet)


def _read_fleet(status: dict[str, Any], sheet: metrics.Sheet) -> None:
    for state, count in status['hosts'].items():
        sheet.set('fleet_hosts', count, state=state)
    for state, count in status['jobs'].items():
        sheet.set('fleet_jobs', count, state=state)
    for budget in status['budgets']:
        sheet.set(
            'fleet_budget_left_cores',
            budget['cores_left'],
            service=budget['service'],
            scope=budget['scope'],
        )
    for name, wave in sorted(status['waves'].items())[:MAX_WAVES]:
        for state, count in wave['hosts'].items():
            sheet.set('fleet_wave_hosts', count, wave=name, state=state)
