"""Fake policy service that handles one call at a time, in virtual time."""

import collections

import msgspec

from fakes import workers
from orioleshore.jobs import calls
from orioleshore.jobs import orders
from orioleshore.jobs import specs

# Calls that may wait; further ones are refused.
MAX_WAITING = 32


class _WaitingCall(msgspec.Struct):
    """A call in the line; its caller gives it up at ``until``."""

    order: orders.AskApproval
    until: float
    is_given_up: bool = False


class SlowPolicyFleet(workers.FakeFleet):
    """A fleet whose policy service takes ``call_s`` seconds for each call.

    The service also handles calls that were given up, and its answers to them
    are lost.
    """

    def __init__(
        self, configuration: specs.Configuration, call_s: float, seed: int
    ) -> None:
        super().__init__(configuration, seed=seed)
        self.call_s = call_s
        self.line: collections.deque[_WaitingCall] = collections.deque()
        self.busy_until = 0.0
        self.answered = 0
        self.given_up = 0
        self.refused = 0
        self.longest_line = 0

    def execute_order(self, order: orders.Order) -> None:
        """Let a call wait for its turn; carry out other orders at once."""
        if not isinstance(order, orders.AskApproval):
            super().execute_order(order)
            return
        if len(self.line) >= MAX_WAITING:
            self.refused += 1
            self._report_failure(order, is_busy=True)
            return
        if not self.line:
            self.busy_until = self.now + self.call_s
        self.line.append(_WaitingCall(order, self.now + order.timeout_s))
        self.longest_line = max(self.longest_line, len(self.line))

    def fill_line(self, order: orders.AskApproval) -> None:
        """Let calls of somebody else wait, as many as may."""
        for _ in range(MAX_WAITING):
            self.line.append(_WaitingCall(order, float('inf')))

    def advance_step(self) -> None:
        """Give up calls that wait for too long, and answer those in turn."""
        for call in list(self.line):
            if self.now >= call.until and not call.is_given_up:
                call.is_given_up = True
                self.given_up += 1
                self._report_failure(call.order)
        while self.line and self.now >= self.busy_until:
            call = self.line.popleft()
            self.busy_until += self.call_s
            if not call.is_given_up:
                self.answered += 1
                self.call_scheduler(self._approve_workers(call.order))
        super().advance_step()

    def _report_failure(
        self, order: orders.AskApproval, is_busy: bool = False
    ) -> None:
        self.call_scheduler(
            calls.NoteApprovals(
                order.job,
                order.occurrence,
                order.step,
                order.workers,
                False,
                is_busy=is_busy,
            )
        )
