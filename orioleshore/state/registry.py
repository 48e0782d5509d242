"""Dispatch of commands to handlers, and refusals that handlers share."""

import functools
from typing import Any

from result import Err
from result import Result

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.state import records

CommandResult = Result[Any, errors.Failure]


@functools.singledispatch
def apply(command: Any, state: records.State) -> CommandResult:
    """Apply a command; each *_commands module registers its handlers."""
    raise TypeError(f'unknown command {type(command).__name__}')


def refuse(
    kind: errors.ErrorKind, message: str, *details: str
) -> Err[errors.Failure]:
    """Return a failure; each detail is one line of text."""
    return Err(errors.Failure(kind, message, tuple(details)))


def refuse_unknown_host(host: ids.HostId) -> Err[errors.Failure]:
    """Return the failure for a host that does not exist."""
    return refuse(errors.ErrorKind.NOT_FOUND, f'no host is named {host!r}')


def refuse_stale_epoch(given: int, current: int) -> Err[errors.Failure]:
    """Return the failure for an epoch older than the current one."""
    return refuse(
        errors.ErrorKind.STALE_EPOCH,
        f'epoch {given} was given, epoch {current} is in force',
    )
