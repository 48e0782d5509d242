"""What a decision answers: a value, or a failure of the closed list."""

from typing import Any

from result import Err
from result import Result

from orioleshore.model import errors

Answer = Result[Any, errors.Failure]


def build_failure(
    kind: errors.ErrorKind, message: str, retry_after_s: float | None = None
) -> Err[errors.Failure]:
    """Return a failure; the delay is in seconds."""
    return Err(errors.Failure(kind, message, retry_after_s=retry_after_s))
