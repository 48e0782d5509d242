"""The tasks of the entry role: callers' HTTP and readiness."""

from result import Ok
from result import Result

from orioleshore.model import errors
from orioleshore.platform import asking
from orioleshore.platform import front_server
from orioleshore.platform import process


def build(
    wiring: process.Wiring,
) -> Result[process.RoleTasks, errors.Failure]:
    """Build the tasks that serve callers."""
    deployment = wiring.deployment
    front = front_server.FrontServer(
        deployment.callers,
        asking.Asker(wiring.control.mailbox),
        wiring.latencies,
    )
    ready = front_server.ReadinessServer(deployment.readiness, front)
    return Ok(process.RoleTasks([front, ready], front))
