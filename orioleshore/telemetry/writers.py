"""Functions that write the answers of tasks into a snapshot of metrics."""

import collections
from typing import Any

from orioleshore.model import states
from orioleshore.telemetry import metrics

# Limits the number of series; finished waves have none.
MAX_WAVES = 64
MAX_ORGANISATIONS = 200


def write_transport(
    counters: dict[str, int], snapshot: metrics.MetricsSnapshot
) -> None:
    """Write the counters of the transport."""
    for name in (
        'received_messages',
        'received_bytes',
        'sent_messages',
        'sent_bytes',
        'dropped_frames',
        'refused_connections',
        'misdirected_replies',
    ):
        snapshot.set(f'transport_{name}_total', counters[name])
    snapshot.set('transport_queued_frames', counters['queued_frames'])
    for direction in ('incoming', 'outgoing'):
        snapshot.set(
            'transport_connections',
            counters[f'{direction}_connections'],
            direction=direction,
        )


def write_gate(
    counters: dict[str, int], snapshot: metrics.MetricsSnapshot
) -> None:
    """Write what peers hold, and the connections closed early by reason."""
    counts = dict(counters)
    snapshot.set('intake_held_bytes', counts.pop('held_bytes'))
    snapshot.set('intake_connections', counts.pop('open_connections'))
    for reason, count in counts.items():
        snapshot.set('closed_connections_total', count, reason=reason)


def write_membership(
    status: dict[str, Any], snapshot: metrics.MetricsSnapshot
) -> None:
    """Write the state of the failure detector."""
    for state, count in status['peers'].items():
        snapshot.set('membership_peers', count, state=state)
    snapshot.set('membership_isolated', int(status['isolated']))
    snapshot.set('membership_broken_paths', status['broken_paths'])
    snapshot.set('membership_waiting_rumours', status['waiting_rumours'])


def write_subscriber(
    status: dict[str, Any], snapshot: metrics.MetricsSnapshot
) -> None:
    """Write the version in force and the highest known version."""
    snapshot.set('configuration_version', status['version'])
    highest = max(status['version'], status['highest_known'])
    snapshot.set('configuration_highest_version', highest)


def write_routing(
    status: dict[str, Any], snapshot: metrics.MetricsSnapshot
) -> None:
    """Write queues, requests in flight and upstreams of an entry host."""
    snapshot.set('routing_held_requests', status['held'])
    snapshot.set('routing_in_flight_requests', status['in_flight'])
    for name, service in status['router']['services'].items():
        snapshot.set(
            'routing_queued_requests', service['queued'], service=name
        )
    upstreams = collections.Counter(
        upstream['service']
        for upstream in status['router']['upstreams'].values()
    )
    for service, count in upstreams.items():
        snapshot.set('routing_upstreams', count, service=service)


def write_callers(
    status: dict[str, Any], snapshot: metrics.MetricsSnapshot
) -> None:
    """Write the requests without an upstream answer by kind of error."""
    for error, count in status['refusals'].items():
        snapshot.set('refused_requests_total', count, error=error)


def write_member(
    status: dict[str, Any], snapshot: metrics.MetricsSnapshot
) -> None:
    """Write the state of a control member, and of the fleet if it leads."""
    for role in states.RaftRole:
        current = int(role.value == status['role'])
        snapshot.set('consensus_role', current, role=role)
    for name in ('term', 'commit_index', 'applied_index', 'pending_calls'):
        snapshot.set(f'consensus_{name}', status[name])
    snapshot.set('consensus_syncs_total', status['syncs'])
    snapshot.set('consensus_sync_seconds_total', status['sync_seconds'])
    if status['fleet'] is not None:
        _write_fleet(status['fleet'], snapshot)


def _write_fleet(
    status: dict[str, Any], snapshot: metrics.MetricsSnapshot
) -> None:
    for state, count in status['hosts'].items():
        snapshot.set('fleet_hosts', count, state=state)
    for state, count in status['jobs'].items():
        snapshot.set('fleet_jobs', count, state=state)
    for budget in status['budgets']:
        snapshot.set(
            'fleet_budget_left_cores',
            budget['cores_left'],
            service=budget['service'],
            scope=budget['scope'],
        )
    for name, wave in sorted(status['waves'].items())[:MAX_WAVES]:
        for state, count in wave['hosts'].items():
            snapshot.set('fleet_wave_hosts', count, wave=name, state=state)


def write_organisations(
    rows: list[dict[str, Any]], snapshot: metrics.MetricsSnapshot
) -> None:
    """Write usage and limits of organisations, at the leader."""
    for row in rows[:MAX_ORGANISATIONS]:
        name = row['name']
        for metric in ('used', 'limit'):
            for resource, value in zip(
                ('cpu_millis', 'memory_mb', 'accelerators'),
                row[metric],
                strict=True,
            ):
                snapshot.set(
                    f'organisation_{metric}',
                    value,
                    organisation=name,
                    resource=resource,
                )
        snapshot.set('organisation_share', row['share'], organisation=name)
        snapshot.set(
            'organisation_jobs', row['unfinished_jobs'], organisation=name
        )
        snapshot.set(
            'organisation_held_jobs', row['held_jobs'], organisation=name
        )
