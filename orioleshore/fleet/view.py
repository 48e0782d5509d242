"""What the parts of the planner share: state, epoch and reports."""

from typing import Any

from orioleshore.fleet import events
from orioleshore.model import ids
from orioleshore.state import records


class Fleet:
    """The copy of the replicated state, and what hosts report."""

    def __init__(self, state: records.State, epoch: ids.Epoch) -> None:
        self.state = state
        self.epoch = epoch
        self.reported: dict[ids.HostId, events.ReportedState] = {}

    def observe(self, event: events.Event, now: float) -> None:
        """Keep what an event tells, before the parts see it."""
        if isinstance(event, events.HostReported):
            self.reported[event.host] = event.state

    def get_dump(self) -> dict[str, Any]:
        """Return the epoch and the reported states."""
        return {
            'epoch': self.epoch,
            'reported': {
                host: state.value
                for host, state in sorted(self.reported.items())
            },
        }
