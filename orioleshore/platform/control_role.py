"""The tasks of the control role, on hosts with and without a disk."""

import functools
import random

from result import Ok
from result import Result

import orioleshore
from orioleshore.consensus import announcing
from orioleshore.consensus import handover
from orioleshore.consensus import joining as joining_tasks
from orioleshore.consensus import loading
from orioleshore.consensus import member
from orioleshore.consensus import member_messages
from orioleshore.consensus import redirection
from orioleshore.consensus import storage
from orioleshore.jobs import task as jobs_task
from orioleshore.model import errors
from orioleshore.platform import control_server
from orioleshore.platform import forwarding
from orioleshore.platform import hosts
from orioleshore.platform import process
from orioleshore.protocol import messages
from orioleshore.tasks import mailbox
from orioleshore.telemetry import collection
from orioleshore.telemetry import dumps
from orioleshore.telemetry import writers


def build(
    dependencies: process.Dependencies,
) -> Result[process.RoleTasks, errors.Failure]:
    """Build a control member, or a process that redirects calls."""
    if dependencies.deployment.settings.data_folder is None:
        return Ok(_build_redirection(dependencies))
    return _build_member(dependencies)


def _build_member(
    dependencies: process.Dependencies,
) -> Result[process.RoleTasks, errors.Failure]:
    deployment = dependencies.deployment
    config = deployment.settings
    peer_transport = dependencies.transport
    consensus = member.MemberTask(
        config,
        peer_transport.address,
        peer_transport.mailbox,
        dependencies.timers,
        storage.Storage(config.data_folder),
        random.Random(),
        orioleshore.PROCESS_STARTED_AT,
    )
    jobs = jobs_task.JobsTask(
        deployment.limits,
        deployment.control_address,
        consensus.mailbox,
        dependencies.timers,
        dependencies.recorder,
    )
    consensus.set_job_scheduler(jobs.mailbox)
    peer_transport.register(
        consensus.mailbox,
        *member_messages.RAFT_MESSAGES,
        *member_messages.CALL_MESSAGES,
    )
    hosts_client = hosts.HostsClient(
        deployment.hosts_address,
        deployment.policy_address,
        config.node,
        jobs.mailbox,
        dependencies.timers.clock,
    )
    jobs.set_hosts_mailbox(hosts_client.mailbox)
    server = control_server.ControlServer(
        deployment.control_address,
        forwarding.CallForwarder(
            dependencies.control_client.mailbox,
            jobs.mailbox,
            dependencies.timers.clock,
        ),
    )
    join_task = joining_tasks.JoinTask(
        config.node,
        peer_transport.address,
        consensus.mailbox,
        dependencies.control_client.mailbox,
        dependencies.timers,
    )
    announcer = announcing.AnnouncementTask(
        config.seeds,
        consensus.mailbox,
        peer_transport.mailbox,
        dependencies.timers,
    )
    tasks = [consensus, jobs, hosts_client, join_task, announcer, server]
    return Ok(
        process.RoleTasks(
            tasks,
            handover.Handover(consensus.mailbox),
            functools.partial(loading.load_member, consensus),
            seed_listeners=(announcer.mailbox,),
            add_telemetry=functools.partial(_add_jobs_telemetry, jobs.mailbox),
        )
    )


def _add_jobs_telemetry(
    jobs: mailbox.Mailbox,
    collector: collection.Collector,
    dumper: dumps.Dumper,
) -> None:
    collector.add_task(
        jobs, jobs_task.GetOrganisationMetrics, writers.write_organisations
    )
    dumper.add_task('jobs', jobs, jobs_task.GetJobsDump)


def _build_redirection(
    dependencies: process.Dependencies,
) -> process.RoleTasks:
    redirection_task = redirection.RedirectionTask(
        dependencies.transport.mailbox
    )
    dependencies.transport.register(
        redirection_task.mailbox,
        messages.Propose,
        messages.Query,
        messages.GroupAddresses,
    )
    server = control_server.ControlServer(
        dependencies.deployment.control_address,
        forwarding.CallForwarder(dependencies.control_client.mailbox),
    )
    return process.RoleTasks(
        [redirection_task, server],
        member_listeners=(redirection_task.mailbox,),
    )
