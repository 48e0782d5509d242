"""Orders to the platform about hosts, one at a time for each host.

The platform accepts orders from one lease holder with one fencing token. If
the previous leader gave an order about a host recently, a new leader waits
until that lease has expired. An order without an answer may have been
carried out; it is repeated.
"""

from __future__ import annotations

from collections.abc import Callable
import itertools

import msgspec

from orioleshore.jobs import tuning
from orioleshore.model import ids
from orioleshore.model import states

MS_PER_S = 1_000.0
# An order must be sent within this share of the lease of its host, since a
# new leader may order the host after the lease. A process that was paused
# finds its orders expired.
SEND_SHARE = 0.5
# Orders about hosts without an answer at a time. The platform accepts 64 a
# second, and the task that sends them takes up 256.
MAX_PENDING_HOST_ORDERS = 64
# Delay before an order is repeated after a refusal or a missing answer.
RETRY_DELAY_S = 0.7
# Clocks of two hosts may differ by this much; the clocks of the platform may
# jump by seconds.
CLOCK_SLACK_S = 3.0
# Interval at which the list of hosts is requested while upkeep or moves are
# in progress, and otherwise, to detect added and removed hosts.
LIST_BUSY_S = 1.0
LIST_IDLE_S = 5.0
# Shortest time after which a call to the policy service is given up.
APPROVAL_TIMEOUT_S = 2.0
# An unanswered request for the list is repeated after this time.
LIST_TIMEOUT_S = 2.0


class TakeDown(msgspec.Struct, frozen=True):
    """Order to the platform to begin the upkeep of a host.

    It is not sent after ``expires_at``, a monotonic time.
    """

    wave: ids.WaveId
    host: ids.HostId
    epoch: ids.Epoch
    expires_at: float


class Move(msgspec.Struct, frozen=True):
    """Order to the platform to move a host to a pool.

    It is not sent after ``expires_at``, a monotonic time.
    """

    host: ids.HostId
    pool: ids.PoolId
    epoch: ids.Epoch
    expires_at: float


class ListHosts(msgspec.Struct, frozen=True):
    """Request to the platform for the list of hosts."""

    asked_at: float


class AskApproval(msgspec.Struct, frozen=True):
    """Request to the policy service for the workers that may run a step.

    The call is given up after ``timeout_s`` seconds.
    """

    job: ids.JobId
    occurrence: int
    step: int
    workers: tuple[ids.WorkerId, ...]
    timeout_s: float = APPROVAL_TIMEOUT_S


Order = TakeDown | Move | ListHosts | AskApproval


class OrderQueue:
    """Orders to send and those without an answer."""

    def __init__(
        self,
        limits: tuning.SchedulerLimits,
        epoch: ids.Epoch,
        record: Callable[[ids.HostId], None],
    ) -> None:
        self._limits = limits
        self._epoch = epoch
        # Records an order in the log before it is sent.
        self._record = record
        self._orders: list[Order] = []
        # Hosts with an unanswered order, and the time at which its answer
        # counts as lost; the oldest order first.
        self._answer_due_at: dict[ids.HostId, float] = {}
        self._retry_at: dict[ids.HostId, float] = {}
        # Hosts whose last order was refused, and those with an earlier order
        # that may have been carried out although it was not confirmed.
        self._refused: set[ids.HostId] = set()
        self._uncertain: set[ids.HostId] = set()
        self._list_requested_at = -1.0e9
        self._is_listing = False

    @property
    def answer_timeout_s(self) -> float:
        """Return the longest time from an order to its answer in seconds."""
        limits = self._limits
        sent_ms = SEND_SHARE * limits.host_lease_ms
        return (sent_ms + limits.host_call_ms) / MS_PER_S

    def take_orders(self) -> list[Order]:
        """Return the queued orders and empty the queue."""
        orders, self._orders = self._orders, []
        return orders

    def add_order(self, order: Order) -> None:
        """Queue an order that needs no lease of a host."""
        self._orders.append(order)

    def hold_ordered_hosts(
        self,
        ordered_at: dict[ids.HostId, ids.WallTime],
        now: float,
        wall_time: ids.WallTime,
    ) -> None:
        """Give no orders about hosts that the previous leader ordered.

        ``ordered_at`` holds the wall times of another host, whose clock may
        differ. The hosts are held until that leader's lease has expired.
        """
        lease_s = self._limits.host_lease_ms / MS_PER_S
        for host, at in ordered_at.items():
            if abs(wall_time - at) < lease_s + CLOCK_SLACK_S:
                self._retry_at[host] = now + lease_s

    def can_order(self, host: ids.HostId, now: float) -> bool:
        """Return whether a host has no pending order and no retry delay.

        False for all hosts while too many orders have no answer.
        """
        return (
            now >= self._answer_due_at.get(host, 0.0)
            and now >= self._retry_at.get(host, 0.0)
            and self.has_room(now)
        )

    def has_room(self, now: float) -> bool:
        """Return whether few enough orders about hosts have no answer."""
        if len(self._answer_due_at) < MAX_PENDING_HOST_ORDERS:
            return True
        lost = itertools.takewhile(
            lambda due: due <= now, self._answer_due_at.values()
        )
        pending = len(self._answer_due_at) - sum(1 for _ in lost)
        return pending < MAX_PENDING_HOST_ORDERS

    def is_answer_pending(self, host: ids.HostId) -> bool:
        """Return whether an order about a host has not been answered."""
        return host in self._answer_due_at

    def is_refused(self, host: ids.HostId) -> bool:
        """Return whether the last order about a host had no effect."""
        return host in self._refused

    def order_upkeep(
        self, wave: ids.WaveId, host: ids.HostId, now: float
    ) -> None:
        """Queue an order for the upkeep of a host."""
        self._begin_order(host, now)
        expires_at = self._get_expiry(now)
        self._orders.append(TakeDown(wave, host, self._epoch, expires_at))

    def order_move(
        self, host: ids.HostId, pool: ids.PoolId, now: float
    ) -> None:
        """Queue an order to move a host to a pool."""
        self._begin_order(host, now)
        expires_at = self._get_expiry(now)
        self._orders.append(Move(host, pool, self._epoch, expires_at))

    def record_answer(
        self,
        host: ids.HostId,
        outcome: states.HostOrderOutcome,
        now: float,
    ) -> None:
        """Record the answer to an order about a host."""
        self._answer_due_at.pop(host, None)
        if outcome is states.HostOrderOutcome.UNKNOWN:
            self._uncertain.add(host)
        if outcome is states.HostOrderOutcome.ACCEPTED:
            self._uncertain.discard(host)
        is_refused = outcome is states.HostOrderOutcome.REFUSED
        if is_refused and host not in self._uncertain:
            self._refused.add(host)
        if outcome is not states.HostOrderOutcome.ACCEPTED:
            self._retry_at[host] = now + RETRY_DELAY_S

    def end_listing(self) -> None:
        """Record that the list of hosts was received."""
        self._is_listing = False

    def request_list_when_due(self, now: float, is_busy: bool) -> None:
        """Queue a request for the list of hosts if the last one is old."""
        age_s = now - self._list_requested_at
        if self._is_listing and age_s < LIST_TIMEOUT_S:
            return
        if age_s < (LIST_BUSY_S if is_busy else LIST_IDLE_S):
            return
        self._list_requested_at = now
        self._is_listing = True
        self._orders.append(ListHosts(now))

    def _get_expiry(self, now: float) -> float:
        return now + SEND_SHARE * self._limits.host_lease_ms / MS_PER_S

    def _begin_order(self, host: ids.HostId, now: float) -> None:
        self._record(host)
        self._refused.discard(host)
        if self._answer_due_at.pop(host, None) is not None:
            self._uncertain.add(host)
        self._answer_due_at[host] = now + self._limits.host_call_ms / MS_PER_S
