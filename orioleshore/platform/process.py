"""One process on the platform: its tasks, its start and its stop."""

import asyncio
import logging
import random
import signal
import time

from result import Err
from result import Ok
from result import Result

from orioleshore.consensus import client
from orioleshore.consensus import discovery
from orioleshore.consensus import joining as joining_tasks
from orioleshore.consensus import member
from orioleshore.consensus import redirection
from orioleshore.consensus import storage
from orioleshore.jobs import task as jobs_task
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.platform import asking
from orioleshore.platform import boot
from orioleshore.platform import control_server
from orioleshore.platform import front_server
from orioleshore.platform import hosts
from orioleshore.platform import metrics_server
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.tasks import task
from orioleshore.telemetry import collection
from orioleshore.telemetry import latencies
from orioleshore.telemetry import logs
from orioleshore.telemetry import readers
from orioleshore.timers import clock
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

# Time that a stopping process keeps for its last answers, in seconds.
FAREWELL_S = 0.7


class PlatformProcess:
    """Owns the tasks of one role on the platform."""

    def __init__(self, path: str, role: states.Role) -> None:
        self._path = path
        self._role = role
        self._stopping = asyncio.Event()
        self._tasks: list[task.Task] = []
        self._front: front_server.FrontServer | None = None
        self._calls: client.ControlClient | None = None
        self._discovery: discovery.DiscoveryTask | None = None
        self._latencies: latencies.Latencies | None = None

    async def run(
        self, deployment: boot.Deployment
    ) -> Result[None, errors.Failure]:
        """Serve until a stop is requested or a task fails."""
        self._install_handlers()
        timers = service.TimerService(clock.SystemClock())
        await timers.start()
        sender = transport.Transport(
            deployment.settings.node,
            deployment.settings.addresses.inner,
            ids.Incarnation(time.time_ns() // 1_000_000),
        )
        await sender.start()
        self._tasks = [sender]
        self._calls = client.ControlClient(
            deployment.settings.seeds, sender.mailbox, timers
        )
        sender.register(
            self._calls.mailbox, messages.ProposeReply, messages.QueryReply
        )
        self._discovery = discovery.DiscoveryTask(
            deployment.settings.seeds, self._calls.mailbox, timers
        )
        self._latencies = latencies.Latencies(deployment.settings.node)
        outcome = self._build(deployment, sender, timers)
        if outcome.is_err():
            return outcome
        tasks = [self._discovery, *outcome.unwrap()]
        collector = collection.Collector(deployment.settings.node)
        collector.add_latencies(self._latencies)
        collector.add_value(
            lambda: dict(sender.counters), readers.read_transport
        )
        for item in (sender, *tasks):
            collector.add_mailbox(item.mailbox)
        tasks.append(
            metrics_server.MetricsServer(deployment.metrics, collector)
        )
        for item in tasks:
            await item.start()
            self._tasks.append(item)
        LOG.info(
            logs.format_event(
                'started',
                role=self._role,
                inner=sender.address,
                control=deployment.control,
                callers=deployment.callers,
                seeds=deployment.settings.seeds,
                folder=deployment.settings.data_folder,
            )
        )
        failed = await self._wait_for_end()
        await self._stop(deployment.stop_s)
        await timers.stop()
        if failed is None:
            return Ok(None)
        return Err(
            errors.Failure(
                errors.ErrorKind.INTERNAL, f'task {failed.name!r} failed'
            )
        )

    def _build(
        self,
        deployment: boot.Deployment,
        sender: transport.Transport,
        timers: service.TimerService,
    ) -> Result[list[task.Task], errors.Failure]:
        if self._role is states.Role.CONTROL:
            if deployment.settings.data_folder is None:
                return Ok(self._build_redirection(deployment, sender))
            return self._build_control(deployment, sender, timers)
        asker = asking.Asker(self._calls.mailbox)
        self._front = front_server.FrontServer(
            deployment.callers, asker, self._latencies
        )
        ready = front_server.ReadinessServer(deployment.readiness, self._front)
        return Ok([self._calls, self._front, ready])

    def _build_control(
        self,
        deployment: boot.Deployment,
        sender: transport.Transport,
        timers: service.TimerService,
    ) -> Result[list[task.Task], errors.Failure]:
        config = deployment.settings
        consensus = member.MemberTask(
            config,
            sender.address,
            sender.mailbox,
            timers,
            storage.Storage(config.data_folder),
            random.Random(),
        )
        jobs = jobs_task.JobsTask(
            deployment.limits,
            deployment.control,
            consensus.mailbox,
            timers,
            self._latencies,
        )
        consensus.set_jobs(jobs.mailbox)
        sender.register(
            consensus.mailbox, *member.RAFT_MESSAGES, *member.CALL_MESSAGES
        )
        outcome = consensus.load()
        if outcome.is_err():
            return outcome
        fleet = hosts.HostsClient(
            deployment.hosts, deployment.policy, config.node, jobs.mailbox
        )
        jobs.set_hosts(fleet.mailbox)
        server = control_server.ControlServer(
            deployment.control,
            asking.Asker(self._calls.mailbox, jobs.mailbox),
        )
        joining = joining_tasks.JoinTask(
            config.node,
            sender.address,
            consensus.mailbox,
            self._calls.mailbox,
            timers,
        )
        return Ok([self._calls, consensus, jobs, fleet, joining, server])

    def _build_redirection(
        self, deployment: boot.Deployment, sender: transport.Transport
    ) -> list[task.Task]:
        """Build a process that only passes calls on; it has no disk."""
        redirecting = redirection.RedirectionTask(sender.mailbox)
        sender.register(redirecting.mailbox, messages.Propose, messages.Query)
        server = control_server.ControlServer(
            deployment.control, asking.Asker(self._calls.mailbox)
        )
        return [self._calls, redirecting, server]

    def _install_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        """Take new addresses of control members from the settings."""
        outcome = boot.read_deployment(self._path, self._role)
        if outcome.is_err():
            LOG.error(
                logs.format_event(
                    'reload_failed', error=outcome.unwrap_err().message
                )
            )
            return
        seeds = outcome.unwrap().settings.seeds
        self._discovery.mailbox.put(client.ControlMembers(seeds))
        LOG.info(logs.format_event('reloaded', seeds=seeds))

    async def _wait_for_end(self) -> task.Task | None:
        """Wait for a stop, and return the task that failed, if any."""
        waits = [asyncio.create_task(self._stopping.wait())]
        waits += [
            asyncio.create_task(item.failed.wait()) for item in self._tasks
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        failed = [item for item in self._tasks if item.failed.is_set()]
        return failed[0] if failed else None

    async def _stop(self, limit_s: float) -> None:
        LOG.info(logs.format_event('stopping'))
        if self._front is not None:
            await self._front.drain(limit_s - FAREWELL_S)
        for item in reversed(self._tasks):
            await item.stop()
        LOG.info(logs.format_event('stopped'))
