"""Permissions, stages and owners of hosts."""

import msgspec
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


@registry.apply.register
def _(
    command: commands.GrantPermission, state: records.State
) -> registry.CommandResult:
    if command.epoch < state.epoch:
        return registry.refuse_epoch(command.epoch, state.epoch)
    record = state.hosts.get(command.host)
    if record is None:
        return registry.refuse_host(command.host)
    if record.epoch != command.host_epoch:
        return registry.refuse_epoch(command.host_epoch, record.epoch)
    known = state.permissions.get(command.permission)
    if known is not None and known.host == command.host:
        return Ok(None)
    _forget_permissions(state)
    if command.host in budgets.get_held_hosts(state):
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is under a permission already',
        )
    if record.state is not states.HostState.SERVING:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} is {record.state.value}, not serving',
        )
    loss = budgets.find_exceeded(state, record.pool, (command.host,))
    if loss is not None:
        return registry.refuse(
            errors.ErrorKind.BUDGET_EXCEEDED,
            f'service {loss.service!r}, {loss.scope}: {loss.down:g} cores '
            f'down, {loss.allowed:g} allowed',
        )
    state.epoch = command.epoch
    state.permissions[command.permission] = records.PermissionRecord(
        command.host, command.purpose, command.epoch, command.until
    )
    return Ok(None)


def _forget_permissions(state: records.State) -> None:
    ended = [
        permission
        for permission, record in state.permissions.items()
        if record.until <= state.time
    ]
    for permission in ended:
        del state.permissions[permission]


@registry.apply.register
def _(
    command: commands.EndPermission, state: records.State
) -> registry.CommandResult:
    state.permissions.pop(command.permission, None)
    return Ok(None)


@registry.apply.register
def _(
    command: commands.SetHostState, state: records.State
) -> registry.CommandResult:
    record = state.hosts.get(command.host)
    if record is None:
        return registry.refuse_host(command.host)
    if record.epoch != command.host_epoch:
        return registry.refuse_epoch(command.host_epoch, record.epoch)
    if record.state is command.state:
        return Ok(None)
    if command.state not in LEGAL_TRANSITIONS[record.state]:
        return registry.refuse(
            errors.ErrorKind.ILLEGAL_TRANSITION,
            f'host {command.host!r} cannot go from {record.state.value} '
            f'to {command.state.value}',
        )
    if (
        command.state is states.HostState.DRAINING
        and command.host not in budgets.get_held_hosts(state)
    ):
        return registry.refuse(
            errors.ErrorKind.BUDGET_EXCEEDED,
            f'host {command.host!r} has no permission to drain',
        )
    state.hosts[command.host] = msgspec.structs.replace(
        record,
        state=command.state,
        since=state.time,
        reason=command.reason,
    )
    return Ok(None)


@registry.apply.register
def _(
    command: commands.MoveHost, state: records.State
) -> registry.CommandResult:
    record = state.hosts.get(command.host)
    if record is None:
        return registry.refuse_host(command.host)
    if record.epoch != command.host_epoch:
        return registry.refuse_epoch(command.host_epoch, record.epoch)
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
    state.hosts[command.host] = records.HostRecord(
        command.to_pool,
        ids.Epoch(record.epoch + 1),
        states.HostState.PROVING,
        state.time,
        f'moved from {command.from_pool}',
    )
    state.permissions.pop(command.permission, None)
    return Ok(ids.Epoch(record.epoch + 1))
