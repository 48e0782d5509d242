"""Task that refreshes the addresses of the control members."""

import functools
import logging
from typing import Any

import msgspec

from orioleshore.consensus import client
from orioleshore.model import addresses
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.state import queries
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 16
REFRESH = ids.TimerId('members-refresh')
# Seconds between refreshes. The initial members may all be replaced within a
# day, one after the other, so the interval is well below the time that one
# replacement takes.
REFRESH_S = 2.0


class _Members(msgspec.Struct):
    addresses: tuple[str, ...]


_MEMBERS_DECODER = decoding.make_json_decoder(_Members)


class DiscoveryTask(task.Task):
    """Queries the leader for the members and updates the control client.

    The seed addresses always stay in the list, so that the client can reach
    the group again when all other known members are gone.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        control: mailbox.Mailbox,
        timers: service.TimerService,
    ) -> None:
        super().__init__(mailbox.Mailbox('discovery', MAILBOX_CAPACITY))
        self._seeds = seeds
        self._control = control
        self._timers = timers
        self._listeners: list[mailbox.Mailbox] = []

    def add_listener(self, listener: mailbox.Mailbox) -> None:
        """Send the members that are found to a mailbox as well."""
        self._listeners.append(listener)

    async def open(self) -> None:
        """Start the refresh timer."""
        self._timers.subscribe_every(self.mailbox, REFRESH, REFRESH_S)

    async def close(self) -> None:
        """Cancel the refresh timer."""
        self._timers.cancel(self.mailbox, REFRESH)

    async def handle(self, message: Any) -> None:
        """Refresh the list on each timer, or set new seeds."""
        await _handle_message(message, self)

    async def refresh_members(self) -> None:
        """Query the members once; on failure the list stays unchanged."""
        outcome = await client.call(
            self._control, queries.GetMembers(), REFRESH_S
        )
        if outcome.is_err():
            return
        try:
            answer = _MEMBERS_DECODER.decode(outcome.unwrap())
        except decoding.DecodingError as error:
            LOG.warning(logs.format_event('members_unreadable', error=error))
            return
        found = tuple(filter(addresses.is_address, answer.addresses))
        known = tuple(dict.fromkeys([*found, *self._seeds]))
        self._control.put(client.ControlMembers(known))
        for listener in self._listeners:
            listener.put(client.ControlMembers(found))


@functools.singledispatch
async def _handle_message(message: Any, discovery_task: DiscoveryTask) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
async def _(
    message: service.TimerFired, discovery_task: DiscoveryTask
) -> None:
    await discovery_task.refresh_members()


@_handle_message.register
async def _(
    message: client.ControlMembers, discovery_task: DiscoveryTask
) -> None:
    discovery_task._seeds = message.addresses
    discovery_task._control.put(message)
