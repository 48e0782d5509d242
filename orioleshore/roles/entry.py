"""Tasks of an entry host."""

import asyncio
import logging
import random
import time
from typing import Any

from orioleshore import settings
from orioleshore.frontends import callers
from orioleshore.frontends import upstreams
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.routing import dispatcher
from orioleshore.routing import router
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import collection
from orioleshore.telemetry import dumps
from orioleshore.telemetry import logs
from orioleshore.telemetry import writers
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

# Interval in seconds at which a stopping entry host checks for open requests.
DRAIN_POLL_S = 0.05
# A failed routing task does not answer.
DUMP_TIMEOUT_S = 1.0
# Outcomes that the control members have not recorded within this time stay
# open; their claims become unknown once this entry host has stopped.
RECORD_TIMEOUT_S = 10.0


class EntryRole:
    """Builds and owns the tasks of the entry role."""

    def __init__(
        self,
        config: settings.Settings,
        incarnation: ids.Incarnation,
        timers: service.TimerService,
        peer_transport: transport.Transport,
        control: mailbox.Mailbox,
        dumper: dumps.Dumper,
        collector: collection.Collector,
    ) -> None:
        self._config = config
        self._dispatcher = dispatcher.Dispatcher(
            config.node,
            incarnation,
            router.Router(random.Random()),
            peer_transport.mailbox,
            control,
            timers,
        )
        self._callers = callers.CallersFrontend(
            config.addresses.callers,
            config.entry,
            self._dispatcher.mailbox,
            timers.clock,
        )
        self._upstreams = upstreams.UpstreamsFrontend(
            config.addresses.upstreams, self._dispatcher.mailbox
        )
        peer_transport.register(
            self._dispatcher.mailbox,
            messages.Announce,
            *dispatcher.SLOT_MESSAGES,
        )
        dumper.add_task(
            'routing', self._dispatcher.mailbox, dispatcher.GetRoutingDump
        )
        collector.add_task(
            self._dispatcher.mailbox,
            dispatcher.GetRoutingDump,
            writers.write_routing,
        )
        collector.add_task(
            self._callers.mailbox,
            callers.GetCallersMetrics,
            writers.write_callers,
        )

    @property
    def tasks(self) -> list[task.Task]:
        return [self._dispatcher, self._callers, self._upstreams]

    @property
    def listeners(self) -> tuple[mailbox.Mailbox, ...]:
        return (self._dispatcher.mailbox, self._callers.mailbox)

    @property
    def peer_listeners(self) -> tuple[mailbox.Mailbox, ...]:
        return (self._dispatcher.mailbox,)

    @property
    def addresses(self) -> dict[str, str]:
        return {
            'callers': self._callers.address,
            'upstreams': self._upstreams.address,
        }

    async def drain(self) -> None:
        """Serve until the balancer has noticed, then finish all requests.

        The process must already report that it is not ready.
        """
        await asyncio.sleep(self._config.entry.drain_notice_s)
        await self._dispatcher.mailbox.put_wait(dispatcher.Stop())
        record_deadline = time.monotonic() + RECORD_TIMEOUT_S
        while not self._dispatcher.failed.is_set():
            content = await self._get_routing_dump()
            is_late = time.monotonic() >= record_deadline
            if content is not None and _is_finished(content, is_late):
                LOG.info(logs.format_event('drained'))
                return
            await asyncio.sleep(DRAIN_POLL_S)
        LOG.error(logs.format_event('drain_given_up', task='routing'))

    async def _get_routing_dump(self) -> dict[str, Any] | None:
        """Return the state of routing, or None if it does not answer."""
        answer: reply.Reply = reply.Reply()
        message = dispatcher.GetRoutingDump(answer)
        if self._dispatcher.mailbox.put(message).is_err():
            return None
        try:
            outcome = await asyncio.wait_for(answer.wait(), DUMP_TIMEOUT_S)
        except TimeoutError:
            return None
        return outcome.unwrap()


def _is_finished(content: dict[str, Any], is_late: bool) -> bool:
    if content['held'] or content['exchanges']:
        return False
    return is_late or not content['open_records']
