"""The tasks of the control role, with a disk and without one."""

import random

from result import Ok
from result import Result

from orioleshore.consensus import handover
from orioleshore.consensus import joining as joining_tasks
from orioleshore.consensus import member
from orioleshore.consensus import redirection
from orioleshore.consensus import storage
from orioleshore.jobs import task as jobs_task
from orioleshore.model import errors
from orioleshore.platform import asking
from orioleshore.platform import control_server
from orioleshore.platform import hosts
from orioleshore.platform import process
from orioleshore.protocol import messages


def build(
    wiring: process.Wiring,
) -> Result[process.RoleTasks, errors.Failure]:
    """Build a control member, or a process that passes calls on."""
    if wiring.deployment.settings.data_folder is None:
        return Ok(_build_redirection(wiring))
    return _build_member(wiring)


def _build_member(
    wiring: process.Wiring,
) -> Result[process.RoleTasks, errors.Failure]:
    deployment = wiring.deployment
    config = deployment.settings
    sender = wiring.transport
    consensus = member.MemberTask(
        config,
        sender.address,
        sender.mailbox,
        wiring.timers,
        storage.Storage(config.data_folder),
        random.Random(),
    )
    jobs = jobs_task.JobsTask(
        deployment.limits,
        deployment.control,
        consensus.mailbox,
        wiring.timers,
        wiring.latencies,
    )
    consensus.set_job_scheduler(jobs.mailbox)
    sender.register(
        consensus.mailbox, *member.RAFT_MESSAGES, *member.CALL_MESSAGES
    )
    outcome = consensus.load()
    if outcome.is_err():
        return outcome
    fleet = hosts.HostsClient(
        deployment.hosts, deployment.policy, config.node, jobs.mailbox
    )
    jobs.set_hosts_mailbox(fleet.mailbox)
    server = control_server.ControlServer(
        deployment.control,
        asking.Asker(wiring.control.mailbox, jobs.mailbox),
    )
    joining = joining_tasks.JoinTask(
        config.node,
        sender.address,
        consensus.mailbox,
        wiring.control.mailbox,
        wiring.timers,
    )
    tasks = [consensus, jobs, fleet, joining, server]
    return Ok(process.RoleTasks(tasks, handover.Handover(consensus.mailbox)))


def _build_redirection(wiring: process.Wiring) -> process.RoleTasks:
    redirecting = redirection.RedirectionTask(wiring.transport.mailbox)
    wiring.transport.register(
        redirecting.mailbox, messages.Propose, messages.Query
    )
    server = control_server.ControlServer(
        wiring.deployment.control, asking.Asker(wiring.control.mailbox)
    )
    return process.RoleTasks([redirecting, server])
