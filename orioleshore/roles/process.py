"""One process of the system: its tasks, its start and its stop."""

import asyncio
import logging
import random
import signal
import sys
import time

from result import Err
from result import Ok
from result import Result

from orioleshore import settings
from orioleshore.consensus import client
from orioleshore.frontends import health
from orioleshore.intake import limits
from orioleshore.membership import detector
from orioleshore.membership import gossip
from orioleshore.membership import packing
from orioleshore.model import announcements
from orioleshore.model import changes
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.roles import control
from orioleshore.roles import entry
from orioleshore.state import subscriber
from orioleshore.tasks import background
from orioleshore.tasks import reply
from orioleshore.tasks import shutdown
from orioleshore.tasks import task
from orioleshore.telemetry import collection
from orioleshore.telemetry import dumps
from orioleshore.telemetry import logs
from orioleshore.telemetry import writers
from orioleshore.timers import clock
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

# Sections of the document that an entry host uses.
ENTRY_SECTIONS = frozenset({changes.Section.SERVICES, changes.Section.POLICY})
# Time in seconds for writing the leave messages and the last answers.
LEAVE_GRACE_S = 0.2


class Process:
    """Owns the tasks of a process; starts and stops them in order."""

    def __init__(self, config: settings.Settings) -> None:
        self._config = config
        self._timers = service.TimerService(clock.SystemClock())
        # Grows with each restart, so that peers can identify the newest one.
        self._incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
        self._gate = limits.make_gate(config.limits)
        self._transport = transport.Transport(
            config.node,
            config.addresses.inner,
            self._incarnation,
            config.tls,
            self._gate,
        )
        self._dumper = dumps.Dumper(config.node)
        self._collector = collection.Collector(config.node)
        self._stop_requested = asyncio.Event()
        self._tasks: list[task.Task] = []
        self._control: control.ControlRole | None = None
        self._entry: entry.EntryRole | None = None
        self._subscriber: subscriber.Subscriber | None = None
        self._gossip: gossip.Gossip | None = None
        self._health: health.HealthFrontend | None = None

    @property
    def addresses(self) -> dict[str, str]:
        addresses = {'inner': self._transport.address}
        if self._control is not None:
            addresses |= self._control.addresses
        if self._entry is not None:
            addresses |= self._entry.addresses
        if self._health is not None:
            addresses['health'] = self._health.address
        return addresses

    def request_stop(self) -> None:
        """Begin a planned stop; further calls have no effect."""
        self._stop_requested.set()

    async def start(self) -> Result[None, errors.Failure]:
        """Start all tasks; fails if the data folder cannot be used."""
        self._install_signal_handlers()
        await self._timers.start()
        # The other tasks are built with the address of the transport.
        await self._transport.start()
        self._tasks = [self._transport]
        tasks = self._build_tasks()
        if self._control is not None:
            outcome = await self._control.load(self._stop_requested)
            if outcome.is_err():
                return outcome
        for item in (self._transport, *tasks):
            self._collector.add_mailbox(item.mailbox)
            if item.odd_entries is not None:
                self._collector.add_odd_entries(item.odd_entries)
        for item in tasks:
            item.set_gate(self._gate)
            await item.start()
            self._tasks.append(item)
        LOG.info(logs.format_event('started', **self.addresses))
        return Ok(None)

    async def run(self) -> Result[None, errors.Failure]:
        """Run until a stop is requested or a task fails."""
        background.install_exception_handler()
        outcome = await self._wait_for_stop_or_failure()
        if outcome.is_err():
            await shutdown.abort_tasks(self._tasks)
            return outcome
        await self.stop()
        return outcome

    async def stop(self) -> None:
        """Finish work in progress, then stop all tasks."""
        self._stop_requested.set()
        LOG.info(logs.format_event('stopping'))
        if self._entry is not None:
            await self._entry.drain()
        if self._gossip is not None:
            self._gossip.mailbox.put(gossip.Leave())
            await asyncio.sleep(LEAVE_GRACE_S)
        for item in reversed(self._tasks):
            await item.stop()
        self._tasks = []
        await self._timers.stop()
        LOG.info(logs.format_event('stopped'))

    def _install_signal_handlers(self) -> None:
        # Installed before the tasks start, so that a signal during the start
        # leads to a planned stop.
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGUSR1, self._start_dump)

    def _build_tasks(self) -> list[task.Task]:
        config = self._config
        seeds = self._get_control_addresses()
        control_client = client.ControlClient(
            seeds, self._transport.mailbox, self._timers
        )
        self._transport.register(
            control_client.mailbox, messages.ProposeReply, messages.QueryReply
        )
        self._add_transport_telemetry()
        tasks: list[task.Task] = [control_client]
        if config.has_role(states.Role.CONTROL):
            self._control = control.ControlRole(
                config,
                self._timers,
                self._transport,
                control_client.mailbox,
                self._dumper,
                self._collector,
            )
            tasks += self._control.tasks
        if config.has_role(states.Role.ENTRY):
            self._entry = entry.EntryRole(
                config,
                self._incarnation,
                self._timers,
                self._transport,
                control_client.mailbox,
                self._dumper,
                self._collector,
            )
            tasks += self._entry.tasks
        tasks += self._build_common_tasks(seeds)
        return tasks

    def _build_common_tasks(self, seeds: tuple[str, ...]) -> list[task.Task]:
        config = self._config
        listeners = self._entry.listeners if self._entry else ()
        peer_listeners = self._entry.peer_listeners if self._entry else ()
        if self._control is not None:
            peer_listeners += self._control.peer_listeners
        self._subscriber = subscriber.Subscriber(
            ENTRY_SECTIONS,
            seeds,
            self._transport.mailbox,
            self._timers,
            listeners,
            config.data_folder,
        )
        self._gossip = gossip.Gossip(
            detector.Detector(
                self._get_own_peer(),
                config.seeds,
                config.membership.probe_period_s,
                config.membership.probe_timeout_s,
                packing.get_update_size,
                random.Random(),
            ),
            self._transport.mailbox,
            self._timers,
            (*peer_listeners, self._subscriber.mailbox),
            config.membership.probe_period_s,
        )
        self._transport.register(
            self._gossip.mailbox,
            messages.Probe,
            messages.ProbeAck,
            messages.IndirectProbe,
        )
        self._subscriber.add_listener(self._gossip.mailbox)
        self._transport.register(
            self._subscriber.mailbox, messages.ConfigDelta
        )
        self._dumper.add_task(
            'subscriber',
            self._subscriber.mailbox,
            subscriber.GetSubscriberStatus,
        )
        self._dumper.add_task(
            'membership', self._gossip.mailbox, gossip.GetMembershipDump
        )
        self._collector.add_task(
            self._gossip.mailbox,
            gossip.GetMembershipMetrics,
            writers.write_membership,
        )
        self._collector.add_task(
            self._subscriber.mailbox,
            subscriber.GetSubscriberStatus,
            writers.write_subscriber,
        )
        tasks: list[task.Task] = [self._gossip, self._subscriber]
        if config.addresses.health is not None:
            self._health = health.HealthFrontend(
                config.addresses.health,
                self._get_unready_reason,
                self._dumper,
                self._collector,
                config.token_files,
            )
            tasks.append(self._health)
        return tasks

    def _add_transport_telemetry(self) -> None:
        def get_counters() -> dict[str, int]:
            return dict(self._transport.counters)

        self._dumper.add_counters('transport', get_counters)
        self._dumper.add_counters(
            'mailboxes', self._collector.get_mailbox_counts
        )
        self._collector.add_counters(get_counters, writers.write_transport)
        self._dumper.add_counters('connections', self._get_gate_counters)
        self._collector.add_counters(
            self._get_gate_counters, writers.write_gate
        )

    def _get_gate_counters(self) -> dict[str, int]:
        return self._gate.counters

    def _get_own_peer(self) -> announcements.Peer:
        return announcements.Peer(
            self._config.node,
            self._transport.address,
            self._incarnation,
            self._config.availability_zone,
            self._config.roles,
        )

    def _get_control_addresses(self) -> tuple[str, ...]:
        initial = tuple(self._config.control.initial_members.values())
        return initial or self._config.seeds

    async def _get_unready_reason(self) -> str | None:
        """Return why the process is not ready, or None if it is ready."""
        if self._stop_requested.is_set():
            return 'stopping'
        answer: reply.Reply = reply.Reply()
        outcome = self._subscriber.mailbox.put(
            subscriber.GetSubscriberStatus(answer)
        )
        if outcome.is_err():
            return 'overloaded'
        status = (await answer.wait()).unwrap()
        if not status['version']:
            return 'no configuration has been received yet'
        if status['version'] < status['highest_known']:
            return (
                f'version {status["version"]} is in force here, a peer has '
                f'version {status["highest_known"]}'
            )
        return None

    async def _wait_for_stop_or_failure(self) -> Result[None, errors.Failure]:
        waiters = [asyncio.create_task(self._stop_requested.wait())]
        waiters += [
            asyncio.create_task(item.failed.wait()) for item in self._tasks
        ]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
        failed = self._find_failed_task()
        if failed is None:
            return Ok(None)
        if self._control is not None and self._control.member.failure:
            return Err(self._control.member.failure)
        return Err(
            errors.Failure(
                errors.ErrorKind.INTERNAL, f'task {failed.name!r} failed'
            )
        )

    def _find_failed_task(self) -> task.Task | None:
        for item in self._tasks:
            if item.failed.is_set():
                return item
        return None

    def _start_dump(self) -> None:
        self._dump_task = background.start_task(self._write_dump(), 'dump')

    async def _write_dump(self) -> None:
        content = await self._dumper.get_dump()
        text = dumps.format_dump(content)
        # A reader of standard error that stalls must not block the process.
        await asyncio.to_thread(_write_line, text)


def _write_line(text: str) -> None:
    sys.stderr.write(text + '\n')
    sys.stderr.flush()
