"""What the path of a caller's request names: a queue, and maybe a job."""

from result import Ok
from result import Result

from orioleshore.jobs import answers
from orioleshore.jobs import specs
from orioleshore.model import errors
from orioleshore.model import ids


def find_target(
    configuration: specs.Configuration, host: str, path: str
) -> Result[tuple[specs.Queue, ids.JobId], errors.Failure]:
    """Return the queue of a path and the job id, which may be empty.

    Fails with NOT_READY before the first configuration, and with NOT_FOUND
    if no queue has a prefix of the path.
    """
    if not configuration.version:
        return answers.build_failure(
            errors.ErrorKind.NOT_READY, 'no configuration yet'
        )
    queue = specs.find_queue(configuration, host, path)
    if queue is None:
        return answers.build_failure(
            errors.ErrorKind.NOT_FOUND, f'no queue for {host}{path}'
        )
    return Ok((queue, ids.JobId(path[len(queue.prefix) :])))
