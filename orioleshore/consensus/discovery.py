"""Keeps the addresses of the control members that a process calls."""

import functools
from typing import Any

import msgspec

from orioleshore.consensus import client
from orioleshore.model import ids
from orioleshore.state import queries
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.timers import service

MAILBOX_CAPACITY = 16
REFRESH = ids.TimerId('members-refresh')
# The first members may all be replaced within a day, one after the other,
# so the list is asked for well within the time of one replacement.
REFRESH_S = 2.0


class DiscoveryTask(task.Task):
    """Asks the leader for the members, and tells the control client.

    Seeds stay on the list: they are the way back when all members that
    were known are gone.
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

    async def open(self) -> None:
        """Subscribe to the refresh."""
        self._timers.subscribe_every(self.mailbox, REFRESH, REFRESH_S)

    async def close(self) -> None:
        """Cancel the refresh."""
        self._timers.cancel(self.mailbox, REFRESH)

    async def handle(self, message: Any) -> None:
        """Refresh the list, or take new seeds."""
        await _handle_message(message, self)

    async def refresh_members(self) -> None:
        """Ask once; without an answer the list stays as it is."""
        outcome = await client.call(
            self._control, queries.GetMembers(), REFRESH_S
        )
        if outcome.is_err():
            return
        found = msgspec.json.decode(outcome.unwrap())['addresses']
        addresses = tuple(dict.fromkeys([*found, *self._seeds]))
        self._control.put(client.ControlMembers(addresses))


@functools.singledispatch
async def _handle_message(message: Any, owner: DiscoveryTask) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
async def _(message: service.TimerFired, owner: DiscoveryTask) -> None:
    await owner.refresh_members()


@_handle_message.register
async def _(message: client.ControlMembers, owner: DiscoveryTask) -> None:
    owner._seeds = message.addresses
    owner._control.put(message)
