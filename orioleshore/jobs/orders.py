"""Orders to the platform about hosts, one at a time for each host.

The platform accepts orders of one holder with one fencing token. A new
leader waits with a host until the lease of the one before is over, if
that one gave an order about it just now. An order without an answer may
have been carried out and is repeated.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import tuning
from orioleshore.model import ids
from orioleshore.model import states

MS_PER_S = 1_000.0
# Pause before the platform is asked again after a refusal or silence.
RETRY_S = 0.7
# Clocks of two hosts may differ by this much; the platform's may jump by
# seconds.
CLOCK_SLACK_S = 3.0
# The list of hosts is read this often while orders are under way or
# hosts are missing, and otherwise to find hosts that came or went.
LIST_BUSY_S = 1.0
LIST_IDLE_S = 5.0
# A list that was not answered by then is asked for again.
LIST_TIMEOUT_S = 2.0


class TakeDown(msgspec.Struct, frozen=True):
    """Asks the platform for the upkeep of a host."""

    wave: ids.WaveId
    host: ids.HostId
    epoch: ids.Epoch


class Move(msgspec.Struct, frozen=True):
    """Asks the platform to move a host to a pool."""

    host: ids.HostId
    pool: ids.PoolId
    epoch: ids.Epoch


class ListHosts(msgspec.Struct, frozen=True):
    """Asks the platform for the list of hosts."""

    asked_at: float


class AskApproval(msgspec.Struct, frozen=True):
    """Asks the policy service which workers may run a step."""

    job: ids.JobId
    occurrence: int
    step: int
    workers: tuple[ids.WorkerId, ...]


Order = TakeDown | Move | ListHosts | AskApproval


class OrderQueue:
    """Orders under way, and the newest list of hosts."""

    def __init__(
        self,
        limits: tuning.SchedulerLimits,
        epoch: ids.Epoch,
        record: Callable[[ids.HostId], None],
    ) -> None:
        self._limits = limits
        self._epoch = epoch
        # Notes an order in the log before it is given.
        self._record = record
        self._orders: list[Order] = []
        # Hosts about which the platform is being asked, with the time at
        # which the answer counts as lost.
        self._answer_due_at: dict[ids.HostId, float] = {}
        self._retry_at: dict[ids.HostId, float] = {}
        self._hosts: dict[ids.HostId, calls.HostInfo] = {}
        self._listed_at = -1.0e9
        self._list_asked_at = -1.0e9
        self._is_listing = False

    @property
    def hosts(self) -> dict[ids.HostId, calls.HostInfo]:
        """Return the hosts of the newest list."""
        return self._hosts

    @property
    def listed_at(self) -> float:
        """Return the monotonic time at which the list was asked for."""
        return self._listed_at

    def take_orders(self) -> list[Order]:
        """Return the orders since the last call."""
        orders, self._orders = self._orders, []
        return orders

    def add_order(self, order: Order) -> None:
        """Add an order that needs no lease of a host."""
        self._orders.append(order)

    def hold_ordered_hosts(
        self,
        ordered_at: dict[ids.HostId, ids.WallTime],
        now: float,
        wall_time: ids.WallTime,
    ) -> None:
        """Leave hosts alone that the leader before gave orders about.

        The wall times are those of another host, whose clock may differ.
        """
        lease_s = self._limits.host_lease_ms / MS_PER_S
        for host, at in ordered_at.items():
            if abs(wall_time - at) < lease_s + CLOCK_SLACK_S:
                self._retry_at[host] = now + lease_s

    def can_order(self, host: ids.HostId, now: float) -> bool:
        """Return whether no order for a host is under way or refused."""
        return now >= self._answer_due_at.get(
            host, 0.0
        ) and now >= self._retry_at.get(host, 0.0)

    def is_answer_pending(self, host: ids.HostId) -> bool:
        """Return whether the answer to an order is still open."""
        return host in self._answer_due_at

    def order_upkeep(
        self, wave: ids.WaveId, host: ids.HostId, now: float
    ) -> None:
        """Order the upkeep of a host."""
        self._begin_order(host, now)
        self._orders.append(TakeDown(wave, host, self._epoch))

    def order_move(
        self, host: ids.HostId, pool: ids.PoolId, now: float
    ) -> None:
        """Order the move of a host."""
        self._begin_order(host, now)
        self._orders.append(Move(host, pool, self._epoch))

    def record_answer(
        self,
        host: ids.HostId,
        outcome: states.HostOrderOutcome,
        now: float,
    ) -> None:
        """Learn that the answer to an order came."""
        self._answer_due_at.pop(host, None)
        if outcome is not states.HostOrderOutcome.ACCEPTED:
            self._retry_at[host] = now + RETRY_S

    def record_hosts(self, call: calls.NoteHosts) -> None:
        """Take a newer list of hosts."""
        self._is_listing = False
        if call.asked_at > self._listed_at:
            self._listed_at = call.asked_at
            self._hosts = {info.host: info for info in call.hosts}

    def request_list_when_due(self, now: float, is_busy: bool) -> None:
        """Ask for the list of hosts when the last one is old."""
        age_s = now - self._list_asked_at
        if self._is_listing and age_s < LIST_TIMEOUT_S:
            return
        if age_s < (LIST_BUSY_S if is_busy else LIST_IDLE_S):
            return
        self._list_asked_at = now
        self._is_listing = True
        self._orders.append(ListHosts(now))

    def _begin_order(self, host: ids.HostId, now: float) -> None:
        self._record(host)
        self._answer_due_at[host] = now + self._limits.host_call_ms / MS_PER_S
