"""The tasks of the entry role: HTTP servers for callers and readiness."""

from result import Ok
from result import Result

from orioleshore.model import errors
from orioleshore.platform import forwarding
from orioleshore.platform import front_server
from orioleshore.platform import process


def build(
    dependencies: process.Dependencies,
) -> Result[process.RoleTasks, errors.Failure]:
    """Build the tasks that serve callers."""
    deployment = dependencies.deployment
    front = front_server.FrontServer(
        deployment.callers_address,
        forwarding.CallForwarder(dependencies.control_client.mailbox),
        dependencies.recorder,
    )
    ready = front_server.ReadinessServer(deployment.readiness_address, front)
    return Ok(process.RoleTasks([front, ready], front))
