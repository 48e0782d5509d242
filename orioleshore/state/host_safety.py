"""Checks that a new document does not disturb planned work on hosts."""

from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import records

PLANNED_STATES = (
    states.HostState.DRAINING,
    states.HostState.DRAINED,
    states.HostState.REBOOTING,
)


def find_unsafe_changes(
    state: records.State, document: documents.Document
) -> list[str]:
    """Return why a document cannot take effect now, one line each.

    A host in planned work cannot be removed, and planned work that is
    within a budget must stay within it.
    """
    old = state.document
    if document.hosts is old.hosts and document.services is old.services:
        return []
    planned = _get_planned_hosts(state)
    if not planned:
        return []
    return [
        *_describe_removed_hosts(document, planned, state),
        *_describe_exceeded_budgets(state, document, planned),
    ]


def build_host_records(
    state: records.State, document: documents.Document
) -> dict[ids.HostId, records.HostRecord]:
    """Return the host records that a document leads to.

    Hosts of the first document start as serving. A host added later starts
    as proving, and its capacity counts only once it serves.
    """
    is_first = state.version <= 1 and not state.hosts
    epoch = ids.Epoch(state.host_epoch_floor + 1)
    host_records = {}
    for host in document.hosts:
        host_records[host.name] = state.hosts.get(
            host.name
        ) or records.HostRecord(
            host.pool,
            epoch,
            states.HostState.SERVING if is_first else states.HostState.PROVING,
            state.time,
            '' if is_first else 'added',
            arriving=not is_first,
        )
    return host_records


def _get_planned_hosts(state: records.State) -> set[ids.HostId]:
    permitted = {
        permission.host
        for permission in state.permissions.values()
        if permission.until > state.time
    }
    return permitted | {
        name
        for name, record in state.hosts.items()
        if record.state in PLANNED_STATES
    }


def _describe_removed_hosts(
    document: documents.Document,
    planned: set[ids.HostId],
    state: records.State,
) -> list[str]:
    named = {host.name for host in document.hosts}
    return [
        f'$.hosts: {host!r} is {state.hosts[host].state.value} in planned '
        'work, remove it when that has ended'
        for host in sorted(planned - named)
    ]


def _describe_exceeded_budgets(
    state: records.State,
    document: documents.Document,
    planned: set[ids.HostId],
) -> list[str]:
    preview = budgets.CapacityIndex(
        records.State(
            time=state.time,
            document=document,
            hosts=build_host_records(state, document),
            permissions=state.permissions,
        )
    )
    current = budgets.get_index(state)
    problems = []
    pools = {state.hosts[host].pool for host in planned if host in state.hosts}
    for pool in sorted(pools):
        loss = preview.find_exceeded_budget(pool)
        if loss is None or current.find_exceeded_budget(pool) is not None:
            continue
        problems.append(
            f'pool {pool!r}, service {loss.service!r}, {loss.scope}: '
            f'{loss.down:g} cores down in planned work, '
            f'{loss.allowed:g} allowed'
        )
    return problems
