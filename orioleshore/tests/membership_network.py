"""A simulated network and clock for failure detectors."""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import random
from typing import Any

from orioleshore.membership import events as membership_events
from orioleshore.model import states


class MembershipNetwork:
    """Runs failure detectors over a simulated network and clock.

    Faults are set between calls of ``run``. Messages between the (sender,
    receiver) pairs of ``blocked_links`` are lost, as is each message with
    probability ``loss_rate``. ``paused`` members handle their events only
    once they resume; events of ``stopped`` members are lost.
    """

    def __init__(
        self,
        make_detector: Callable,
        count: int,
        generator: random.Random,
        loss_rate: float = 0.0,
        max_delay_s: float = 0.02,
    ) -> None:
        self.now = 1_000.0
        self.blocked_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.stopped: set[str] = set()
        self.loss_rate = loss_rate
        self.detectors: dict[str, Any] = {}
        self.death_declarations: list[tuple[float, str, str]] = []
        self.sent: list[Any] = []
        self._make_detector = make_detector
        self._max_delay_s = max_delay_s
        self._random = generator
        self._event_queue: list[tuple[float, int, str, Any]] = []
        self._event_numbers = itertools.count()
        self._timers: dict[str, int] = {}
        self._periods: dict[str, int] = {}
        self._highest_incarnations: dict[tuple[str, str], int] = {}
        self._incarnations = itertools.count(1)
        for number in range(count):
            self.restart(f'node-{number}')

    def restart(self, node: str) -> None:
        """Start a member, with a higher incarnation than before."""
        self.stopped.discard(node)
        self.detectors[node] = self._make_detector(
            node, next(self._incarnations)
        )
        for key in [
            key for key in self._highest_incarnations if key[0] == node
        ]:
            del self._highest_incarnations[key]
        self._periods[node] = next(self._event_numbers)
        self._push_period(node, self._random.random())

    def partition(self, *sides: Iterable[str]) -> None:
        """Block both directions between groups of members."""
        groups = [set(side) for side in sides]
        for one, other in itertools.permutations(groups, 2):
            self.blocked_links |= set(itertools.product(one, other))

    def isolate(self, node: str) -> None:
        """Block the links between a member and all others."""
        self.partition([node], self.detectors.keys() - {node})

    def run(self, seconds: float) -> None:
        """Advance the clock, and handle all events that become due."""
        end = self.now + seconds
        while self._event_queue and self._event_queue[0][0] <= end:
            self.now, _, node, event = heapq.heappop(self._event_queue)
            self._deliver_event(node, event)
        self.now = end

    def get_peer_states(self, observer: str) -> dict[str, states.PeerState]:
        """Return the states of the other members as one member sees them."""
        peers = self.detectors[observer].peers
        return {node: peer.state for node, peer in peers.items()}

    def get_observed_states(self, node: str) -> set:
        """Return the states that the running members see for one of them."""
        return {
            self.get_peer_states(observer).get(node)
            for observer in self.detectors.keys() - self.stopped - {node}
        }

    def _deliver_event(self, node: str, event: Any) -> None:
        if node in self.paused:
            self._push_event(0.05, node, event)
            return
        if node in self.stopped:
            return
        if isinstance(event, tuple):
            number, event = event
            if number not in (self._timers.get(node), self._periods[node]):
                return
        if isinstance(event, membership_events.ProbeDue):
            self._push_period(node, 1.0)
        for action in self.detectors[node].handle(event, self.now):
            self._perform_action(node, action)
        self._check_incarnations(node)

    def _push_period(self, node: str, delay_s: float) -> None:
        event = membership_events.ProbeDue()
        self._push_event(delay_s, node, (self._periods[node], event))

    def _perform_action(self, node: str, action: Any) -> None:
        if isinstance(action, membership_events.SetTimer):
            self._timers[node] = next(self._event_numbers)
            timeout = membership_events.ProbeTimedOut()
            self._push_event(
                action.delay_s, node, (self._timers[node], timeout)
            )
        elif isinstance(action, membership_events.PeerStateChanged):
            if action.peer.state is states.PeerState.DEAD:
                self.death_declarations.append(
                    (self.now, node, action.peer.node)
                )
        elif hasattr(action, 'address'):
            self.sent.append(action)
            self._send_message(node, action)

    def _send_message(self, node: str, action: Any) -> None:
        receiver = action.address
        is_lost = self._random.random() < self.loss_rate
        if (
            is_lost
            or (node, receiver) in self.blocked_links
            or receiver in self.stopped
        ):
            return
        delay_s = self._random.uniform(0.001, self._max_delay_s)
        self._push_event(
            delay_s, receiver, make_membership_event(node, action)
        )

    def _check_incarnations(self, node: str) -> None:
        for peer in self.detectors[node].peers.values():
            key = (node, peer.node)
            assert peer.incarnation >= self._highest_incarnations.get(
                key, 0
            ), f'{node} returned to an older incarnation of {peer.node}'
            self._highest_incarnations[key] = peer.incarnation

    def _push_event(self, delay_s: float, node: str, event: Any) -> None:
        entry = (self.now + delay_s, next(self._event_numbers), node, event)
        heapq.heappush(self._event_queue, entry)


def make_membership_event(sender: str, action: Any) -> Any:
    """Return the event that an action of the sender causes at the receiver."""
    if isinstance(action, membership_events.SendProbe):
        return membership_events.ProbeReceived(
            sender, sender, action.sequence, action.updates
        )
    if isinstance(action, membership_events.SendAck):
        return membership_events.ProbeAnswered(
            sender, action.subject, action.sequence, action.updates
        )
    return membership_events.IndirectProbeRequested(
        sender,
        sender,
        action.sequence,
        action.subject,
        action.subject_address,
        action.updates,
    )
