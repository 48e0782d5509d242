"""Entry hosts in one event loop with fake control members and upstreams."""

import asyncio
import random
from typing import Any

import msgspec
from result import Err
from result import Ok

from fakes import upstream as fake_upstream
from orioleshore import settings
from orioleshore.consensus import client
from orioleshore.frontends import callers
from orioleshore.frontends import upstreams
from orioleshore.membership import events as membership_events
from orioleshore.model import announcements
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.routing import dispatcher
from orioleshore.routing import router
from orioleshore.state import machine
from orioleshore.state import queries
from orioleshore.state import records
from orioleshore.state import subscriber
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.timers import clock
from orioleshore.timers import service

# Longer than a new slot owner waits before its first grant.
SLOT_OWNER_WAIT_S = 10.0


class ShiftedClock(clock.SystemClock):
    """The system clock with a monotonic time that tests can advance."""

    def __init__(self) -> None:
        self._shift_s = 0.0

    def get_monotonic(self) -> ids.MonotonicTime:
        """Return the monotonic time in seconds, plus the shift."""
        return ids.MonotonicTime(super().get_monotonic() + self._shift_s)

    def advance(self, seconds: float) -> None:
        """Move the monotonic time forward."""
        self._shift_s += seconds


class FakeControl(task.Task):
    """Applies commands at once; answers with an error while cut off."""

    def __init__(self) -> None:
        super().__init__(mailbox.Mailbox('fake-control', 10_000))
        self.state = records.State()
        self.is_cut_off = False
        self.late_commands: list[Any] = []

    async def handle(self, message: client.Call) -> None:
        """Apply one command, or keep it while the member is cut off."""
        if isinstance(message.request, queries.ReportDemand):
            message.answer.resolve(Ok(b'{}'))
            return
        if self.is_cut_off:
            self.late_commands.append(message.request)
            failure = errors.Failure(errors.ErrorKind.CHANGE_UNKNOWN, 'lost')
            message.answer.resolve(Err(failure))
            return
        message.answer.resolve(
            machine.apply_command(message.request, self.state)
        )

    def commit_late_commands(self) -> None:
        """Commit the commands whose answers were lost."""
        self.is_cut_off = False
        for request in self.late_commands:
            machine.apply_command(request, self.state)


class FakeNetwork(task.Task):
    """Delivers inner protocol messages between entry hosts of a test."""

    def __init__(self) -> None:
        super().__init__(mailbox.Mailbox('fake-network', 10_000))
        self.receivers: dict[str, tuple[ids.NodeId, mailbox.Mailbox]] = {}
        self.cut_off: set[str] = set()

    def get_sender(self, node: str) -> mailbox.Mailbox:
        """Return the mailbox through which a node sends."""
        sender = mailbox.Mailbox(f'sender {node}', 1)
        sender.put = lambda message: self.mailbox.put((node, message))
        return sender

    async def handle(self, message: tuple[str, transport.SendTo]) -> None:
        """Deliver one message."""
        node, sent = message
        if self.cut_off & {node, sent.address}:
            return
        header = messages.Header(node, 1, sent.correlation, node)
        self.receivers[sent.address][1].put(
            messages.Received(header, sent.message)
        )


class EntryHost:
    """The tasks of one entry host, without its process."""

    def __init__(self, fleet: 'EntryFleet', name: str) -> None:
        self.name = ids.NodeId(name)
        self.dispatcher = dispatcher.Dispatcher(
            self.name,
            ids.Incarnation(1),
            router.Router(random.Random(len(fleet.hosts))),
            fleet.network.get_sender(name),
            fleet.control.mailbox,
            fleet.timers,
        )
        self.dispatcher.mailbox._name = f'routing {name}'
        self.callers = callers.CallersFrontend(
            '127.0.0.1:0',
            fleet.limits,
            self.dispatcher.mailbox,
            fleet.clock,
        )
        self.upstreams = upstreams.UpstreamsFrontend(
            '127.0.0.1:0', self.dispatcher.mailbox
        )
        self.tasks = [self.dispatcher, self.callers, self.upstreams]

    @property
    def url(self) -> str:
        return f'http://{self.callers.address}'


class EntryFleet:
    """Entry hosts with a fake control member, network and upstreams."""

    def __init__(self, document: documents.Document, **limits) -> None:
        self.clock = ShiftedClock()
        self.timers = service.TimerService(self.clock)
        self.control = FakeControl()
        self.network = FakeNetwork()
        self.document = document
        defaults = settings.DEFAULT_SETTINGS['entry']
        self.limits = msgspec.convert({**defaults, **limits}, settings.Entry)
        self.hosts: list[EntryHost] = []
        self.killed: list[EntryHost] = []
        self.fakes: list[fake_upstream.FakeUpstream] = []

    async def start(self, hosts: int = 1) -> None:
        """Start entry hosts, publish peers and skip the slot owner wait."""
        await self.timers.start()
        await self.control.start()
        await self.network.start()
        for number in range(hosts):
            await self.add_host(f'entry-{number + 1}')
        self.publish_peers()
        await asyncio.sleep(0)
        self.clock.advance(SLOT_OWNER_WAIT_S)

    async def add_host(self, name: str) -> EntryHost:
        """Start another entry host without publishing it to the others."""
        host = EntryHost(self, name)
        self.hosts.append(host)
        self.network.receivers[name] = (host.name, host.dispatcher.mailbox)
        for item in host.tasks:
            await item.start()
        change = subscriber.ConfigurationChanged(ids.Version(1), self.document)
        host.dispatcher.mailbox.put(change)
        host.callers.mailbox.put(change)
        return host

    def publish_peers(self) -> None:
        """Send every entry host the list of all entry hosts."""
        peers = {
            host.name: announcements.Peer(
                host.name,
                host.name,
                ids.Incarnation(1),
                ids.AvailabilityZone('az1'),
                (states.Role.ENTRY,),
            )
            for host in self.hosts
        }
        for host in self.hosts:
            host.dispatcher.mailbox.put(
                membership_events.PeersChanged(peers[host.name], peers)
            )

    async def add_upstream(
        self, name: str = 'freight', **fields
    ) -> fake_upstream.FakeUpstream:
        """Start an upstream that announces itself to the entry hosts."""
        urls = [f'http://{host.upstreams.address}' for host in self.hosts]
        fake = fake_upstream.FakeUpstream(name, urls, **fields)
        self.fakes.append(fake)
        await fake.start()
        await fake.announce()
        return fake

    async def kill_host(self, host: EntryHost) -> None:
        """Stop a host at once and discard its pending messages."""
        self.hosts.remove(host)
        self.killed.append(host)
        await host.dispatcher.stop()
        host.dispatcher.mailbox._messages.clear()

    async def stop(self) -> None:
        """Stop the upstreams, the entry hosts and the fakes."""
        self.hosts += self.killed
        for fake in self.fakes:
            await fake.stop()
        for host in self.hosts:
            for item in reversed(host.tasks):
                await item.stop()
        for item in (self.network, self.control, self.timers):
            await item.stop()
