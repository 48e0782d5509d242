"""Task that marks open claims of dead or departed entry hosts as unknown."""

import functools
from typing import Any

import msgspec
from result import Result

from orioleshore.consensus import client
from orioleshore.membership import events as membership_events
from orioleshore.model import announcements
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.timers import service

MAILBOX_CAPACITY = 256
TICK = ids.TimerId('claim-keeper-tick')
TICK_S = 1.0
# A claim in flight when its entry host died is committed within this time,
# so the claims are marked a second time after it.
MARK_REPEAT_DELAY_S = 10.0
MARKS_PER_HOST = 2

_GONE_STATES = frozenset({states.PeerState.DEAD, states.PeerState.LEFT})


class _GoneHost(msgspec.Struct):
    """An entry host that is dead or left; ``due_at`` is monotonic."""

    incarnation: ids.Incarnation
    due_at: float
    marks_left: int = MARKS_PER_HOST
    is_in_progress: bool = False


class GoneHosts:
    """Decides which hosts' claims to mark and when; times are monotonic."""

    def __init__(self) -> None:
        self._hosts: dict[ids.NodeId, _GoneHost] = {}

    def update_peer(self, peer: announcements.Peer, now: float) -> None:
        """Process the membership state of a peer."""
        if states.Role.ENTRY not in peer.roles:
            return
        if peer.state not in _GONE_STATES:
            self._hosts.pop(peer.node, None)
            return
        known = self._hosts.get(peer.node)
        if known is None or known.incarnation < peer.incarnation:
            self._hosts[peer.node] = _GoneHost(peer.incarnation, now)

    def start_due_marks(
        self, now: float
    ) -> list[tuple[ids.NodeId, ids.Incarnation]]:
        """Return the process incarnations whose claims to mark now."""
        due = []
        for node, gone_host in self._hosts.items():
            if (
                gone_host.marks_left
                and not gone_host.is_in_progress
                and now >= gone_host.due_at
            ):
                gone_host.is_in_progress = True
                due.append((node, gone_host.incarnation))
        return due

    def record_mark_result(
        self,
        node: ids.NodeId,
        incarnation: ids.Incarnation,
        is_committed: bool,
        now: float,
    ) -> None:
        """Record whether a mark was committed; a failed one is retried."""
        gone_host = self._hosts.get(node)
        if gone_host is None or gone_host.incarnation != incarnation:
            return
        gone_host.is_in_progress = False
        if is_committed:
            gone_host.marks_left -= 1
            gone_host.due_at = now + MARK_REPEAT_DELAY_S


class _MarkEnded(msgspec.Struct, frozen=True):
    node: ids.NodeId
    incarnation: ids.Incarnation
    outcome: Result[Any, errors.Failure]


class ClaimKeeper(task.Task):
    """Marks claims; runs on every control member, as marks are idempotent."""

    def __init__(
        self, control: mailbox.Mailbox, timers: service.TimerService
    ) -> None:
        super().__init__(mailbox.Mailbox('claim-keeper', MAILBOX_CAPACITY))
        self._control = control
        self._timers = timers
        self._gone_hosts = GoneHosts()

    async def open(self) -> None:
        """Start the periodic check."""
        self._timers.subscribe_every(self.mailbox, TICK, TICK_S)

    async def close(self) -> None:
        """Stop the periodic check."""
        self._timers.cancel(self.mailbox, TICK)

    async def handle(self, message: Any) -> None:
        """Handle a membership change, a timer or the outcome of a mark."""
        _handle_message(message, self)

    def _send_due_marks(self) -> None:
        now = self._timers.clock.get_monotonic()
        for node, incarnation in self._gone_hosts.start_due_marks(now):
            self._send_mark(node, incarnation)

    def _send_mark(
        self, node: ids.NodeId, incarnation: ids.Incarnation
    ) -> None:
        command = commands.MarkClaimsUnknown(
            time=self._timers.clock.get_wall(),
            entry_host=node,
            incarnation=incarnation,
        )
        answer: reply.Reply = reply.Reply()
        answer.add_callback(
            lambda outcome: self.mailbox.put(
                _MarkEnded(node, incarnation, outcome)
            )
        )
        outcome = self._control.put(client.Call(command, answer))
        if outcome.is_err():
            answer.resolve(outcome)


@functools.singledispatch
def _handle_message(message: Any, keeper: ClaimKeeper) -> None:
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: membership_events.PeersChanged, keeper: ClaimKeeper) -> None:
    now = keeper._timers.clock.get_monotonic()
    for peer in message.peers.values():
        keeper._gone_hosts.update_peer(peer, now)
    keeper._send_due_marks()


@_handle_message.register
def _(message: service.TimerFired, keeper: ClaimKeeper) -> None:
    keeper._send_due_marks()


@_handle_message.register
def _(message: _MarkEnded, keeper: ClaimKeeper) -> None:
    keeper._gone_hosts.record_mark_result(
        message.node,
        message.incarnation,
        message.outcome.is_ok(),
        keeper._timers.clock.get_monotonic(),
    )
