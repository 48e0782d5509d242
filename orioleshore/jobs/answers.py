"""Answers to calls: a value, or a failure of one of the defined kinds."""

from typing import Any

from result import Err
from result import Result

from orioleshore.model import errors

Answer = Result[Any, errors.Failure]


def build_failure(
    kind: errors.ErrorKind, message: str, retry_after_s: float | None = None
) -> Err[errors.Failure]:
    """Return a failure; ``retry_after_s`` is in seconds."""
    return Err(errors.Failure(kind, message, retry_after_s=retry_after_s))


def build_failed_call_error() -> Err[errors.Failure]:
    """Return the answer to a call that raised an error."""
    return Err(
        errors.Failure(errors.ErrorKind.INTERNAL, 'the call cannot be handled')
    )


def build_late_heartbeat_error() -> Err[errors.Failure]:
    """Return the answer to a heartbeat that waited for too long."""
    return build_failure(
        errors.ErrorKind.OVERLOADED, 'the worker no longer waits'
    )


def build_not_leader_error(kind: errors.ErrorKind) -> Err[errors.Failure]:
    """Return the answer of a member that does not or no longer leads."""
    return Err(
        errors.Failure(
            kind, 'this member is not the leader', retry_after_s=1.0
        )
    )
