"""One process on the platform: its tasks, its start and its stop."""

import asyncio
from collections.abc import Callable
import logging
import signal
import time
from typing import Protocol

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.consensus import client
from orioleshore.consensus import discovery
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.platform import boot
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


class Wiring(msgspec.Struct, frozen=True):
    """What the tasks of a role are connected to."""

    deployment: boot.Deployment
    transport: transport.Transport
    timers: service.TimerService
    control: client.ControlClient
    latencies: latencies.Latencies


class Drainable(Protocol):
    """A server that finishes what it has begun before a stop."""

    async def drain(self, limit_s: float) -> None:
        """Serve for at most ``limit_s`` seconds more."""


class RoleTasks(msgspec.Struct, frozen=True):
    """The tasks of a role in the order of their start."""

    tasks: list[task.Task]
    draining: Drainable | None = None


Builder = Callable[[Wiring], Result[RoleTasks, errors.Failure]]


class PlatformProcess:
    """Owns the tasks of one role on the platform."""

    def __init__(self, path: str, role: states.Role, build: Builder) -> None:
        self._path = path
        self._role = role
        self._build = build
        self._stopping = asyncio.Event()
        self._tasks: list[task.Task] = []
        self._draining: Drainable | None = None
        self._discovery: discovery.DiscoveryTask | None = None

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
        calls = client.ControlClient(
            deployment.settings.seeds, sender.mailbox, timers
        )
        sender.register(
            calls.mailbox, messages.ProposeReply, messages.QueryReply
        )
        self._discovery = discovery.DiscoveryTask(
            deployment.settings.seeds, calls.mailbox, timers
        )
        recorded = latencies.Latencies(deployment.settings.node)
        outcome = self._build(
            Wiring(deployment, sender, timers, calls, recorded)
        )
        if outcome.is_err():
            return outcome
        built = outcome.unwrap()
        self._draining = built.draining
        tasks = [self._discovery, calls, *built.tasks]
        tasks.append(_make_metrics_server(deployment, sender, recorded, tasks))
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
        if failed is None:
            await self._drain(deployment.stop_s - FAREWELL_S)
        await self._stop()
        await timers.stop()
        if failed is None:
            return Ok(None)
        return Err(
            errors.Failure(
                errors.ErrorKind.INTERNAL, f'task {failed.name!r} failed'
            )
        )

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

    async def _drain(self, limit_s: float) -> None:
        """Finish what is under way before a planned stop.

        After a failure of a task nothing can be finished, and the next
        start must not wait.
        """
        LOG.info(logs.format_event('stopping'))
        if self._draining is not None:
            await self._draining.drain(limit_s)

    async def _stop(self) -> None:
        for item in reversed(self._tasks):
            await item.stop()
        LOG.info(logs.format_event('stopped'))


def _make_metrics_server(
    deployment: boot.Deployment,
    sender: transport.Transport,
    recorded: latencies.Latencies,
    tasks: list[task.Task],
) -> metrics_server.MetricsServer:
    collector = collection.Collector(deployment.settings.node)
    collector.add_latencies(recorded)
    collector.add_value(lambda: dict(sender.counters), readers.read_transport)
    for item in (sender, *tasks):
        collector.add_mailbox(item.mailbox)
    return metrics_server.MetricsServer(deployment.metrics, collector)
