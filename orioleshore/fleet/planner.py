"""Decisions about the fleet, made by the leader.

The planner keeps a copy of the replicated state and dispatches each event
to its subplanners in turn, which implement ``Subplanner``.
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
    """Decides on one concern, from the state after each command."""

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Reset the soft state, and plan from the replicated records."""

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""

    def get_dump(self) -> dict[str, Any]:
        """Return the soft state for diagnosis."""


class JobSubplanner:
    """Adapts ``JobPlanner`` to the interface of subplanners."""

    def __init__(self) -> None:
        self._jobs = jobs.JobPlanner()

    def start(self, fleet: view.Fleet, now: float) -> list[events.Action]:
        """Reset the soft state, and resume the recorded tasks."""
        gained = events.LeadershipGained(fleet.epoch, fleet.state)
        return self._jobs.handle(gained, fleet.state, fleet.epoch, now)

    def handle(
        self, event: events.Event, fleet: view.Fleet, now: float
    ) -> list[events.Action]:
        """Return the actions that follow from an event."""
        return self._jobs.handle(event, fleet.state, fleet.epoch, now)

    def get_dump(self) -> dict[str, Any]:
        """Return the soft state for diagnosis."""
        return self._jobs.get_dump()


class Planner:
    """Makes the decisions of the leader on a copy of the state."""

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
        """Return the resulting actions; ``now`` is a wall time in s."""
        return _handle_event(event, self, now)

    def get_dump(self) -> dict[str, Any]:
        """Return the soft state for diagnosis."""
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
            # Every member refuses the command in the same way.
            reason = outcome.unwrap_err().message
            return self._dispatch_event(
                events.CommandRefused(event.command, reason), now
            )
        return self._dispatch_event(event, now)


def build_subplanners() -> dict[str, Subplanner]:
    """Return the subplanners in the order in which they handle events."""
    # The host monitor skips hosts that the subplanners before it claimed.
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
    """Dispatch events that need no handling here to every subplanner."""
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
