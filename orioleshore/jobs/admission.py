"""Whether a job is taken in, or refused at once.

Answers the load in which a queue asks more than its pool holds: a job
that could only be served long after its objective is refused before it
runs, with the time after which room is expected.
"""

from __future__ import annotations

import typing

from orioleshore.jobs import specs
from orioleshore.model import errors

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling


def get_objective_ms(job: specs.Job, queue: specs.Queue) -> int:
    """Return the time in which a job should be completed."""
    chain_ms = specs.get_chain_ms(job.steps)
    return int(queue.stretch * chain_ms) + queue.objective_ms


def find_refusal(
    scheduler: scheduling.Scheduler, job: specs.Job, queue: specs.Queue
) -> errors.Failure | None:
    """Return why a job is refused, None when it is taken in."""
    problem = _find_problem(job)
    if problem:
        return errors.Failure(errors.ErrorKind.INVALID_REQUEST, problem)
    return None


def _find_problem(job: specs.Job) -> str:
    """Return what is wrong with a job, empty when nothing is."""
    if not job.steps:
        return 'the job has no steps'
    for position, step in enumerate(job.steps):
        if step.tasks < 1:
            return f'step {position} has no tasks'
        if any(not 0 <= earlier < position for earlier in step.after):
            return f'step {position} follows a step that is not before it'
    return ''
