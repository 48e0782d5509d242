"""One process on the platform: its tasks, its start and its stop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import gc
import logging
import signal
import sys
import time
from typing import Protocol

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.consensus import client
from orioleshore.consensus import discovery
from orioleshore.intake import gate as intake_gate
from orioleshore.intake import limits
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.platform import boot
from orioleshore.platform import metrics_server
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.tasks import background
from orioleshore.tasks import mailbox
from orioleshore.tasks import shutdown
from orioleshore.tasks import task
from orioleshore.telemetry import collection
from orioleshore.telemetry import dumps
from orioleshore.telemetry import latencies
from orioleshore.telemetry import logs
from orioleshore.telemetry import writers
from orioleshore.timers import clock
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

# Part of the time for a stop, in seconds, that is reserved for the last
# answers and for stopping the tasks.
SHUTDOWN_RESERVE_S = 0.7


class Dependencies(msgspec.Struct, frozen=True):
    """Objects of the process that the tasks of a role use."""

    deployment: boot.Deployment
    transport: transport.Transport
    timers: service.TimerService
    control_client: client.ControlClient
    recorder: latencies.Recorder


class Drainable(Protocol):
    """A task that finishes its work in progress before a stop."""

    async def drain(self, limit_s: float) -> None:
        """Continue to serve for at most ``limit_s`` seconds."""


# Receives the event that requests a stop.
Loader = Callable[[asyncio.Event], Awaitable[Result[None, errors.Failure]]]


class RoleTasks(msgspec.Struct, frozen=True):
    """The tasks of a role in their start order."""

    tasks: list[task.Task]
    drainable: Drainable | None = None
    # Opens the data folder before the tasks start.
    load: Loader | None = None
    # Mailboxes that are sent changed seeds, and found members.
    seed_listeners: tuple[mailbox.Mailbox, ...] = ()
    member_listeners: tuple[mailbox.Mailbox, ...] = ()
    # Adds what tasks are asked for at each scrape, and for a dump.
    add_telemetry: (
        Callable[[collection.Collector, dumps.Dumper], None] | None
    ) = None


RoleBuilder = Callable[[Dependencies], Result[RoleTasks, errors.Failure]]


class PlatformProcess:
    """Owns the tasks of one role on the platform."""

    def __init__(
        self, path: str, role: states.Role, build: RoleBuilder
    ) -> None:
        self._settings_path = path
        self._role = role
        self._build = build
        self._stop_requested = asyncio.Event()
        self._tasks: list[task.Task] = []
        self._drainable: Drainable | None = None
        self._discovery: discovery.DiscoveryTask | None = None
        self._seed_listeners: tuple[mailbox.Mailbox, ...] = ()
        self._dumper: dumps.Dumper | None = None
        # Kept, since the event loop does not hold its tasks.
        self._dump_task: asyncio.Task | None = None

    async def run(
        self, deployment: boot.Deployment
    ) -> Result[None, errors.Failure]:
        """Serve until a stop is requested or a task fails."""
        background.install_exception_handler()
        self._install_signal_handlers()
        timers = service.TimerService(clock.SystemClock())
        await timers.start()
        gate = limits.make_gate(deployment.settings.limits)
        peer_transport = transport.Transport(
            deployment.settings.node,
            deployment.settings.addresses.inner,
            ids.Incarnation(time.time_ns() // 1_000_000),
            gate=gate,
        )
        await peer_transport.start()
        self._tasks = [peer_transport]
        control_client = client.ControlClient(
            deployment.settings.seeds, peer_transport.mailbox, timers
        )
        peer_transport.register(
            control_client.mailbox, messages.ProposeReply, messages.QueryReply
        )
        self._discovery = discovery.DiscoveryTask(
            deployment.settings.seeds, control_client.mailbox, timers
        )
        recorder = latencies.Recorder(deployment.settings.node)
        outcome = self._build(
            Dependencies(
                deployment, peer_transport, timers, control_client, recorder
            )
        )
        if outcome.is_err():
            return outcome
        role_tasks = outcome.unwrap()
        if role_tasks.load is not None:
            loaded = await role_tasks.load(self._stop_requested)
            if loaded.is_err():
                await shutdown.abort_tasks(self._tasks)
                return loaded
        self._drainable = role_tasks.drainable
        self._seed_listeners = (
            self._discovery.mailbox,
            *role_tasks.seed_listeners,
        )
        for listener in role_tasks.member_listeners:
            self._discovery.add_listener(listener)
        tasks = [self._discovery, control_client, *role_tasks.tasks]
        tasks.append(
            _make_metrics_server(
                deployment,
                peer_transport,
                recorder,
                tasks,
                self._add_dumper(deployment, peer_transport, role_tasks),
                gate,
            )
        )
        for item in tasks:
            item.set_gate(gate)
            await item.start()
            self._tasks.append(item)
        LOG.info(
            logs.format_event(
                'started',
                role=self._role,
                inner=peer_transport.address,
                control=deployment.control_address,
                callers=deployment.callers_address,
                seeds=deployment.settings.seeds,
                folder=deployment.settings.data_folder,
            )
        )
        _enable_garbage_collection()
        failed = await self._wait_for_stop_or_failure()
        if failed is not None:
            await shutdown.abort_tasks(self._tasks)
            return Err(
                errors.Failure(
                    errors.ErrorKind.INTERNAL, f'task {failed.name!r} failed'
                )
            )
        await self._drain_tasks(deployment.stop_s - SHUTDOWN_RESERVE_S)
        await self._stop_tasks()
        await timers.stop()
        return Ok(None)

    def _add_dumper(
        self,
        deployment: boot.Deployment,
        peer_transport: transport.Transport,
        role_tasks: RoleTasks,
    ) -> Callable[[collection.Collector], None]:
        """Prepare the dump; return what adds the metrics of the role."""
        dumper = dumps.Dumper(deployment.settings.node)
        dumper.add_counters('transport', lambda: dict(peer_transport.counters))
        self._dumper = dumper

        def add_metrics(collector: collection.Collector) -> None:
            dumper.add_counters('mailboxes', collector.get_mailbox_counts)
            if role_tasks.add_telemetry is not None:
                role_tasks.add_telemetry(collector, dumper)

        return add_metrics

    def _start_dump(self) -> None:
        if self._dumper is not None:
            self._dump_task = background.start_task(
                _write_dump(self._dumper), 'dump'
            )

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_seeds)
        loop.add_signal_handler(signal.SIGUSR1, self._start_dump)

    def _reload_seeds(self) -> None:
        """Read new addresses of control members from the settings file."""
        outcome = boot.read_deployment(self._settings_path, self._role)
        if outcome.is_err():
            LOG.error(
                logs.format_event(
                    'reload_failed', error=outcome.unwrap_err().message
                )
            )
            return
        seeds = outcome.unwrap().settings.seeds
        for listener in self._seed_listeners:
            listener.put(client.ControlMembers(seeds))
        LOG.info(logs.format_event('reloaded', seeds=seeds))

    async def _wait_for_stop_or_failure(self) -> task.Task | None:
        """Wait for a stop or a failure; return the failed task, if any."""
        waiters = [asyncio.create_task(self._stop_requested.wait())]
        waiters += [
            asyncio.create_task(item.failed.wait()) for item in self._tasks
        ]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
        failed = [item for item in self._tasks if item.failed.is_set()]
        return failed[0] if failed else None

    async def _drain_tasks(self, limit_s: float) -> None:
        """Finish work in progress before a planned stop."""
        LOG.info(logs.format_event('stopping'))
        if self._drainable is not None:
            await self._drainable.drain(limit_s)

    async def _stop_tasks(self) -> None:
        for item in reversed(self._tasks):
            await item.stop()
        LOG.info(logs.format_event('stopped'))


async def _write_dump(dumper: dumps.Dumper) -> None:
    """Write the state of the process to standard error, on one line."""
    sys.stderr.write(dumps.format_dump(await dumper.get_dump()) + '\n')
    sys.stderr.flush()


def _enable_garbage_collection() -> None:
    """Collect garbage from now on, but not among the loaded modules."""
    gc.freeze()
    gc.enable()


def _make_metrics_server(
    deployment: boot.Deployment,
    peer_transport: transport.Transport,
    recorder: latencies.Recorder,
    tasks: list[task.Task],
    add_metrics: Callable[[collection.Collector], None],
    gate: intake_gate.Gate,
) -> metrics_server.MetricsServer:
    collector = collection.Collector(deployment.settings.node)
    collector.add_recorder(recorder)
    collector.add_counters(
        lambda: dict(peer_transport.counters), writers.write_transport
    )
    collector.add_counters(lambda: gate.counters, writers.write_gate)
    for item in (peer_transport, *tasks):
        collector.add_mailbox(item.mailbox)
        if item.odd_entries is not None:
            collector.add_odd_entries(item.odd_entries)
    add_metrics(collector)
    return metrics_server.MetricsServer(deployment.metrics_address, collector)
