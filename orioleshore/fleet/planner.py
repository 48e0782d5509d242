"""Decisions about the fleet, made by the leader.

The planner keeps a copy of the replicated state and gives each event to
its parts in turn. A part has the methods of ``Part``.
"""

import functools
from typing import Any
from typing import Protocol

from orioleshore.fleet import capacity
from orioleshore.fleet import events
from orioleshore.fleet import jobs
from orioleshore.fleet import moves
from orioleshore.fleet import view
from orioleshore.fleet import waves
from orioleshore.model import ids


class Part(Protocol):
    """Decides on one concern; sees the state after each command."""

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Begin to lead: forget all soft state, plan from the records."""

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""

    def get_dump(self) -> dict[str, Any]:
        """Return the soft state for people."""


class JobPart:
    """Places jobs on workers, as a part of the planner."""

    def __init__(self) -> None:
        self._jobs = jobs.JobPlanner()

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Begin to lead with the tasks that the records show."""
        gained = events.LeadershipGained(fleet.epoch, fleet.state)
        return self._jobs.handle(gained, fleet.state, fleet.epoch, now)

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        return self._jobs.handle(event, fleet.state, fleet.epoch, now)

    def get_dump(self) -> dict[str, Any]:
        """Return the soft state for people."""
        return self._jobs.get_dump()


class Planner:
    """Works on a copy of the replicated state."""

    def __init__(
        self,
        timings: view.Timings | None = None,
        parts: dict[str, Part] | None = None,
    ) -> None:
        self._fleet: view.Fleet | None = None
        self._timings = timings or view.Timings()
        self._parts = parts or get_parts()

    @property
    def leads(self) -> bool:
        return self._fleet is not None

    def handle(
        self, event: events.Event, now: ids.WallTime
    ) -> list[events.Action]:
        """Return the actions that follow; ``now`` is a wall time in s."""
        return _handle(event, self, now)

    def get_dump(self) -> dict[str, Any]:
        """Return what the planner holds besides the replicated state."""
        if self._fleet is None:
            return {'leads': False}
        return {
            'leads': True,
            **self._fleet.get_dump(),
            **{name: part.get_dump() for name, part in self._parts.items()},
        }

    def _start_leading(
        self, event: events.LeadershipGained, now: float
    ) -> list[events.Action]:
        self._fleet = view.Fleet(event.state, event.epoch, self._timings, now)
        actions: list[events.Action] = []
        for part in self._parts.values():
            actions += part.start(self._fleet, now)
        return actions

    def _stop_leading(self) -> list[events.Action]:
        self._fleet = None
        return []

    def _pass_on(self, event: events.Event, now: float) -> list[events.Action]:
        if self._fleet is None:
            return []
        self._fleet.observe(event, now)
        actions: list[events.Action] = []
        for part in self._parts.values():
            actions += part.handle(event, self._fleet, now)
        return actions

    def _apply(
        self, event: events.CommandApplied, now: float
    ) -> list[events.Action]:
        if self._fleet is None:
            return []
        outcome = self._fleet.apply(event.command)
        if outcome.is_err():
            # The state machine refused it here as at every member.
            reason = outcome.unwrap_err().message
            return self._pass_on(
                events.CommandRefused(event.command, reason), now
            )
        return self._pass_on(event, now)


def get_parts() -> dict[str, Part]:
    """Return the parts in the order in which they see each event."""
    # The watch of hosts comes after the parts whose claims it respects.
    return {
        'waves': waves.WavePlanner(),
        'moves': moves.MovePlanner(),
        'hosts': capacity.HostWatch(),
        'jobs': JobPart(),
    }


@functools.singledispatch
def _handle(event: Any, planner: Planner, now: float) -> list[events.Action]:
    """Events without a rule of their own go to every part."""
    return planner._pass_on(event, now)


@_handle.register
def _(
    event: events.LeadershipGained, planner: Planner, now: float
) -> list[events.Action]:
    return planner._start_leading(event, now)


@_handle.register
def _(
    event: events.LeadershipLost, planner: Planner, now: float
) -> list[events.Action]:
    return planner._stop_leading()


@_handle.register
def _(
    event: events.CommandApplied, planner: Planner, now: float
) -> list[events.Action]:
    return planner._apply(event, now)
