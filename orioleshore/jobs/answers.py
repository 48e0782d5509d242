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
