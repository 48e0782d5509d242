"""Handlers of commands on the permissions, states and pools of hosts."""

import msgspec
from result import Err
from result import Ok

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands
from orioleshore.state import records
from orioleshore.state import registry

LEGAL_TRANSITIONS: dict[states.HostState, frozenset[states.HostState]] = {
    states.HostState.SERVING: frozenset(
        {states.HostState.DRAINING, states.HostState.DOWN}
    ),
    states.HostState.DRAINING: frozenset(
        {
            states.HostState.DRAINED,
            states.HostState.SERVING,
            states.HostState.DOWN,
        }
    ),
    states.HostState.DRAINED: frozenset(
        {
            states.HostState.REBOOTING,
            states.HostState.PROVING,
            states.HostState.SERVING,
            states.HostState.DOWN,
        }
    ),
    states.HostState.REBOOTING: frozenset(
        {
            states.HostState.PROVING,
            states.HostState.DOWN,
            states.HostState.SET_ASIDE,
        }
    ),
    states.HostState.PROVING: frozenset(
        {
            states.HostState.SERVING,
            states.HostState.DOWN,
            states.HostState.SET_ASIDE,
        }
    ),
    states.HostState.DOWN: frozenset(
        {
            states.HostState.PROVING,
            states.HostState.REBOOTING,
            states.HostState.SET_ASIDE,
        }
    ),
    states.HostState.SET_ASIDE: frozenset({states.HostState.PROVING}),
}


def check_epoch(
    epoch: ids.Epoch | None, state: records.State
) -> Err[errors.Failure] | None:
    """Refuse the command of an earlier leader, or record its newer epoch.

    Commands stored by older program versions have no epoch and are always
    accepted.
    """
    if epoch is None:
        return None
    if epoch < state.epoch:
        return registry.refuse_stale_epoch(epoch, state.epoch)
    state.epoch = epoch
    return None


def _find_host_refusal(
    command: commands.GrantPermission
    | commands.SetHostState
    | commands.MoveHost,
    state: records.State,
) -> Err[errors.Failure] | None:
    refusal = check_epoch(command.epoch, state)
    if refusal is not None:
        return refusal
    record = state.hosts.get(command.host)
    if record is None:
        return registry.refuse_unknown_host(command.host)
    if record.epoch != command.host_epoch:
        return registry.refuse_stale_epoch(command.host_epoch, record.epoch)
    return None


def _store_host(
    state: records.State, host: ids.HostId, record: records.HostRecord
) -> None:
    state.hosts[host] = record
    budgets.get_index(state).update_host(host, record)


def has_permission(state: records.State, host: ids.HostId) -> bool:
    """Return whether a host has a permission that has not expired."""
    permission = budgets.get_index(state).permissions_by_host.get(host)
    if permission is None:
        return False
    return state.permissions[permission].until > state.time


@registry.apply.register
def _(
    command: commands.GrantPermission, state: records.State
) -> registry.CommandResult:
    refusal = _find_host_refusal(command, state)
    if refusal is not None:
        return refusal
    known = state.permissions.get(command.permission)
    if known is not None and known.host == command.host:
        return Ok(None)
    _end_expired_permissions(state)
    record = state.hosts[command.host]
    if has_permission(state, command.host):
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is under a permission already',
        )
    if record.state is not states.HostState.SERVING:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is {record.state.value}, not serving',
        )
    index = budgets.get_index(state)
    loss = index.find_exceeded_with_loss_of(command.host)
    if loss is not None:
        return registry.refuse(
            errors.ErrorKind.BUDGET_EXCEEDED,
            f'service {loss.service!r}, {loss.scope}: {loss.down:g} cores '
            f'down, {loss.allowed:g} allowed',
        )
    permission = records.PermissionRecord(
        command.host, command.purpose, command.epoch, command.until
    )
    state.permissions[command.permission] = permission
    index.add_permission(command.permission, permission)
    index.update_host(command.host, record)
    return Ok(None)


def _end_expired_permissions(state: records.State) -> None:
    for permission in budgets.get_index(state).pop_expired(state.time):
        record = state.permissions.get(permission)
        # The same id may have been granted again until a later time.
        if record is not None and record.until <= state.time:
            _end_permission(state, permission)


def _end_permission(
    state: records.State, permission: ids.PermissionId
) -> None:
    ended = state.permissions.pop(permission, None)
    if ended is None:
        return
    index = budgets.get_index(state)
    index.permissions_by_host.pop(ended.host, None)
    index.update_host(ended.host, state.hosts.get(ended.host))


@registry.apply.register
def _(
    command: commands.EndPermission, state: records.State
) -> registry.CommandResult:
    refusal = check_epoch(command.epoch, state)
    if refusal is not None:
        return refusal
    _end_permission(state, command.permission)
    return Ok(None)


@registry.apply.register
def _(
    command: commands.SetHostState, state: records.State
) -> registry.CommandResult:
    refusal = _find_host_refusal(command, state)
    if refusal is not None:
        return refusal
    record = state.hosts[command.host]
    if record.state is command.state:
        return Ok(None)
    if command.state not in LEGAL_TRANSITIONS[record.state]:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} cannot go from {record.state.value} '
            f'to {command.state.value}',
        )
    if command.state is states.HostState.DRAINING and not has_permission(
        state, command.host
    ):
        return registry.refuse(
            errors.ErrorKind.BUDGET_EXCEEDED,
            f'host {command.host!r} has no permission to drain',
        )
    arriving = record.arriving and (
        command.state is not states.HostState.SERVING
    )
    changed = msgspec.structs.replace(
        record,
        state=command.state,
        since=state.time,
        reason=command.reason,
        arriving=arriving,
    )
    _store_host(state, command.host, changed)
    return Ok(None)


@registry.apply.register
def _(
    command: commands.MoveHost, state: records.State
) -> registry.CommandResult:
    refusal = _find_host_refusal(command, state)
    if refusal is not None:
        return refusal
    record = state.hosts[command.host]
    if record.pool != command.from_pool:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} belongs to pool {record.pool!r}',
        )
    if record.state is not states.HostState.DRAINED:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is {record.state.value}, not drained',
        )
    if all(pool.name != command.to_pool for pool in state.document.pools):
        return registry.refuse(
            errors.ErrorKind.NOT_FOUND,
            f'no pool is named {command.to_pool!r}',
        )
    moved = records.HostRecord(
        command.to_pool,
        ids.Epoch(record.epoch + 1),
        states.HostState.PROVING,
        state.time,
        f'moved from {command.from_pool}',
        arriving=True,
    )
    permission = budgets.get_index(state).permissions_by_host.get(command.host)
    if permission is not None:
        _end_permission(state, permission)
    _store_host(state, command.host, moved)
    return Ok(moved.epoch)
