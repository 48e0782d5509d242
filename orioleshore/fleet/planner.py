"""Decisions about the fleet, made by the leader.

The planner keeps a copy of the replicated state and gives each event to
its parts in turn. A part has the methods of ``Part``.
"""

import functools
from typing import Any
from typing import Protocol

from orioleshore.fleet import events
from orioleshore.fleet import host_monitor
from orioleshore.fleet import jobs
from orioleshore.fleet import moves
from orioleshore.fleet import view
from orioleshore.fleet import waves
from orioleshore.model import ids


class Subplanner(Protocol):
    """Decides on one concern; sees the state after each command."""

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Begin to lead: forget all soft state, plan from the records."""

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""

    def get_dump(self) -> dict[str, Any]:
        """Return the soft state for people."""


class JobSubplanner:
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
        subplanners: dict[str, Subplanner] | None = None,
    ) -> None:
        self._fleet: view.Fleet | None = None
        self._timings = timings or view.Timings()
        self._subplanners = subplanners or build_subplanners()

    @property
    def is_leader(self) -> bool:
        return self._fleet is not None

    def handle(
        self, event: events.Event, now: ids.WallTime
    ) -> list[events.Action]:
        """Return the actions that follow; ``now`` is a wall time in s."""
        return _handle_event(event, self, now)

    def get_dump(self) -> dict[str, Any]:
        """Return what the planner holds besides the replicated state."""
        if self._fleet is None:
            return {'leads': False}
        return {
            'leads': True,
            **self._fleet.get_dump(),
            **{
                name: subplanner.get_dump()
                for name, subplanner in self._subplanners.items()
            },
        }

    def _start_leading(
        self, event: events.LeadershipGained, now: float
    ) -> list[events.Action]:
        self._fleet = view.Fleet(event.state, event.epoch, self._timings, now)
        actions: list[events.Action] = []
        for subplanner in self._subplanners.values():
            actions += subplanner.start(self._fleet, now)
        return actions

    def _stop_leading(self) -> list[events.Action]:
        self._fleet = None
        return []

    def _dispatch_event(
        self, event: events.Event, now: float
    ) -> list[events.Action]:
        if self._fleet is None:
            return []
        self._fleet.update_from_event(event, now)
        actions: list[events.Action] = []
        for subplanner in self._subplanners.values():
            actions += subplanner.handle(event, self._fleet, now)
        return actions

    def _apply_command(
        self, event: events.CommandApplied, now: float
    ) -> list[events.Action]:
        if self._fleet is None:
            return []
        outcome = self._fleet.apply_command(event.command)
        if outcome.is_err():
            # The state machine refused it here as at every member.
            reason = outcome.unwrap_err().message
            return self._dispatch_event(
                events.CommandRefused(event.command, reason), now
            )
        return self._dispatch_event(event, now)


def build_subplanners() -> dict[str, Subplanner]:
    """Return the parts in the order in which they see each event."""
    # The watch of hosts comes after the parts whose claims it respects.
    return {
        'waves': waves.WavePlanner(),
        'moves': moves.MovePlanner(),
        'hosts': host_monitor.HostMonitor(),
        'jobs': JobSubplanner(),
    }


@functools.singledispatch
def _handle_event(
    event: Any, planner: Planner, now: float
) -> list[events.Action]:
    """Events without a rule of their own go to every part."""
    return planner._dispatch_event(event, now)


@_handle_event.register
def _(
    event: events.LeadershipGained, planner: Planner, now: float
) -> list[events.Action]:
    return planner._start_leading(event, now)


@_handle_event.register
def _(
    event: events.LeadershipLost, planner: Planner, now: float
) -> list[events.Action]:
    return planner._stop_leading()


@_handle_event.register
def _(
    event: events.CommandApplied, planner: Planner, now: float
) -> list[events.Action]:
    return planner._apply_command(event, now)
