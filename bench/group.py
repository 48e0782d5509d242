"""A group of control members in one process, with real files and sockets."""

import asyncio
import pathlib
import random
import time

import msgspec

from orioleshore import settings
from orioleshore.consensus import client
from orioleshore.consensus import member
from orioleshore.consensus import member_messages
from orioleshore.consensus import storage
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.timers import clock
from orioleshore.timers import service

POLL_S = 0.002


class ControlNode:
    """A control member with its own transport and data folder."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = ids.NodeId(name)
        self.folder = folder
        self.address = '127.0.0.1:0'
        # Timers are identified by mailbox name. All members use the same
        # names, so each one needs its own timer service.
        self.timers = service.TimerService(clock.SystemClock())
        self.transport: transport.Transport | None = None
        self.member: member.MemberTask | None = None

    @property
    def status(self) -> dict:
        return self.member.get_status() if self.member else {}

    @property
    def is_leader(self) -> bool:
        return self.status.get('role') == 'leader'


class Group:
    """Control members that share one event loop, with a client."""

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        size: int = 3,
        snapshot_entries: int = 1_000,
    ) -> None:
        self._random = random.Random(seed)
        self._snapshot_entries = snapshot_entries
        self.timers = service.TimerService(clock.SystemClock())
        self.nodes = [
            ControlNode(f'control-{number}', folder / f'control-{number}')
            for number in range(1, size + 1)
        ]
        self._caller = transport.Transport(
            ids.NodeId('bench'), '127.0.0.1:0', ids.Incarnation(1)
        )
        self.client: client.ControlClient | None = None

    async def start(self) -> None:
        """Start all members, and wait for a leader."""
        await self.timers.start()
        for node in self.nodes:
            await self._start_transport(node)
        for node in self.nodes:
            await self._start_member_task(node)
        await self._caller.start()
        self.client = client.ControlClient(
            tuple(node.address for node in self.nodes),
            self._caller.mailbox,
            self.timers,
        )
        self._caller.register(
            self.client.mailbox, messages.ProposeReply, messages.QueryReply
        )
        await self.client.start()
        await self.wait_for(lambda: self.leader is not None)

    async def stop(self) -> None:
        """Stop the client, all members and the timers."""
        await self.client.stop()
        await self._caller.stop()
        for node in self.nodes:
            await self.stop_node(node)
        await self.timers.stop()

    @property
    def leader(self) -> ControlNode | None:
        for node in self.nodes:
            if node.is_leader:
                return node
        return None

    async def stop_node(self, node: ControlNode) -> None:
        """Stop one member without handing over its leadership."""
        if node.member is None:
            return
        await node.member.stop()
        await node.transport.stop()
        await node.timers.stop()
        node.member = None

    async def start_node(self, node: ControlNode) -> None:
        """Restart a stopped member with its folder and address."""
        await self._start_transport(node)
        await self._start_member_task(node)

    async def wait_for(self, check, limit_s: float = 60.0) -> float:
        """Wait until a check is true; return the elapsed seconds.

        Raises TimeoutError after ``limit_s``.
        """
        start = time.monotonic()
        while not check():
            if time.monotonic() - start > limit_s:
                raise TimeoutError(f'not reached within {limit_s:g} s')
            await asyncio.sleep(POLL_S)
        return time.monotonic() - start

    async def call(self, request) -> float:
        """Commit a command; return its latency in seconds."""
        start = time.monotonic()
        outcome = await client.call(self.client.mailbox, request, 10.0)
        outcome.unwrap()
        return time.monotonic() - start

    async def _start_transport(self, node: ControlNode) -> None:
        await node.timers.start()
        node.transport = transport.Transport(
            node.name, node.address, ids.Incarnation(1)
        )
        await node.transport.start()
        node.address = node.transport.address

    async def _start_member_task(self, node: ControlNode) -> None:
        node.member = member.MemberTask(
            self._build_settings(node),
            node.address,
            node.transport.mailbox,
            node.timers,
            storage.Storage(str(node.folder)),
            random.Random(self._random.random()),
        )
        node.transport.register(
            node.member.mailbox,
            *member_messages.RAFT_MESSAGES,
            *member_messages.CALL_MESSAGES,
        )
        node.member.load().unwrap()
        await node.member.start()

    def _build_settings(self, node: ControlNode) -> settings.Settings:
        given = {
            'node': node.name,
            'availability_zone': 'az1',
            'roles': ['control'],
            'data_folder': str(node.folder),
            'addresses': {'inner': node.address},
            'control': {
                'initial_members': {s.name: s.address for s in self.nodes},
                'snapshot_entries': self._snapshot_entries,
            },
        }
        merged = settings.merge_defaults(given, settings.DEFAULT_SETTINGS)
        return msgspec.convert(merged, settings.Settings)
