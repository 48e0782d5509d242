"""Dispatch of commands, and the refusals that their handlers share."""

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
    """Apply a command; each module of commands registers its handlers."""
    raise TypeError(f'unknown command {type(command).__name__}')


def refuse(
    kind: errors.ErrorKind, message: str, *details: str
) -> Err[errors.Failure]:
    """Return a failure; each detail is one line."""
    return Err(errors.Failure(kind, message, tuple(details)))


def refuse_unknown_host(host: ids.HostId) -> Err[errors.Failure]:
    """Return that a host does not exist."""
    return refuse(errors.ErrorKind.NOT_FOUND, f'no host is named {host!r}')


def refuse_stale_epoch(given: int, current: int) -> Err[errors.Failure]:
    """Return that an epoch is older than the one in force."""
    return refuse(
        errors.ErrorKind.STALE_EPOCH,
        f'epoch {given} was given, epoch {current} is in force',
    )
