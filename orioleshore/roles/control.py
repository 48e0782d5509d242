"""Tasks of a control member."""

import asyncio
import random

from result import Result

from orioleshore import settings
from orioleshore.consensus import loading
from orioleshore.consensus import member
from orioleshore.consensus import member_messages
from orioleshore.consensus import storage
from orioleshore.fleet import manager
from orioleshore.fleet import planner
from orioleshore.fleet import view
from orioleshore.frontends import operators
from orioleshore.frontends import platform
from orioleshore.model import errors
from orioleshore.protocol import transport
from orioleshore.state import claim_keeper
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.telemetry import collection
from orioleshore.telemetry import dumps
from orioleshore.telemetry import writers
from orioleshore.timers import service


class ControlRole:
    """Builds and owns the tasks of the control role."""

    def __init__(
        self,
        config: settings.Settings,
        timers: service.TimerService,
        peer_transport: transport.Transport,
        control: mailbox.Mailbox,
        dumper: dumps.Dumper,
        collector: collection.Collector,
    ) -> None:
        self._member = member.MemberTask(
            config,
            peer_transport.address,
            peer_transport.mailbox,
            timers,
            storage.Storage(config.data_folder),
            random.Random(),
        )
        self._platform = None
        if config.control.platform is not None:
            self._platform = platform.PlatformTask(
                config.control.platform, timers
            )
        self._manager = manager.ManagerTask(
            planner.Planner(view.Timings(proving_s=config.control.proving_s)),
            control,
            self._platform.mailbox if self._platform else None,
            timers,
        )
        self._claim_keeper = claim_keeper.ClaimKeeper(control, timers)
        self._operators = operators.OperatorsFrontend(
            config.addresses.operators,
            config.token_files,
            control,
            timers.clock,
            dumper,
            collector,
        )
        self._connect_tasks(peer_transport, dumper)
        collector.add_task(
            self._member.mailbox,
            member_messages.GetMemberMetrics,
            writers.write_member,
        )

    @property
    def member(self) -> member.MemberTask:
        return self._member

    @property
    def tasks(self) -> list[task.Task]:
        tasks: list[task.Task] = [self._member, self._manager]
        if self._platform is not None:
            tasks.append(self._platform)
        return [*tasks, self._claim_keeper, self._operators]

    @property
    def peer_listeners(self) -> tuple[mailbox.Mailbox, ...]:
        return (self._claim_keeper.mailbox, self._member.mailbox)

    @property
    def addresses(self) -> dict[str, str]:
        return {'operators': self._operators.address}

    async def load(
        self, stop_requested: asyncio.Event
    ) -> Result[None, errors.Failure]:
        """Load the data folder; fails with an error kind of the storage."""
        return await loading.load_member(self._member, stop_requested)

    def _connect_tasks(
        self, peer_transport: transport.Transport, dumper: dumps.Dumper
    ) -> None:
        self._member.set_manager(self._manager.mailbox)
        if self._platform is not None:
            self._platform.set_manager(self._manager.mailbox)
        peer_transport.register(
            self._member.mailbox,
            *member_messages.RAFT_MESSAGES,
            *member_messages.CALL_MESSAGES,
        )
        dumper.add_task(
            'control', self._member.mailbox, member_messages.GetMemberDump
        )
        if self._platform is not None:
            dumper.add_task(
                'platform', self._platform.mailbox, platform.GetPlatformDump
            )
        dumper.add_task('fleet', self._manager.mailbox, manager.GetManagerDump)
