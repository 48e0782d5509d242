"""Periodic work of the scheduler, in steps that can be paused."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Set

from orioleshore.model import states


class TickError(Exception):
    """A step of the periodic work failed; the cause is chained."""

    def __init__(self, step: states.TickStep) -> None:
        super().__init__(f'step {step.value} failed')
        self.step = step


def run_steps(
    steps: Mapping[states.TickStep, Callable[[], None]],
    paused: Set[states.TickStep],
) -> None:
    """Run the steps that are not paused, in their order.

    Raises TickError if a step fails.
    """
    for step, run in steps.items():
        if step in paused:
            continue
        try:
            run()
        except Exception as error:
            raise TickError(step) from error
