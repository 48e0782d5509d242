"""Policies for sharing an upstream's slots, compared in virtual time."""

import functools

from fakes import simulation
from orioleshore.model import announcements
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.routing import events
from orioleshore.routing import slots

HOSTS = 10
UPSTREAMS = 6
SLOTS = 8
DURATION_S = 0.05
# Additive increase and multiplicative decrease of the feedback policy.
INCREASE = 0.1
DECREASE = 0.5


class FixedShares(slots.SlotHolder):
    """Every entry host has an equal fixed share of each upstream's slots."""

    def __init__(self, number: int) -> None:
        super().__init__()
        self._number = number
        self._running: dict[ids.UpstreamId, int] = {}

    def get_in_flight(self, upstream: ids.UpstreamId) -> int:
        """Return the number of attempts of this entry host."""
        return self._running.get(upstream, 0)

    def get_free(self, upstream: ids.UpstreamId, now: float) -> int:
        """Return how many attempts may start now."""
        return self.get_share(upstream) - self.get_in_flight(upstream)

    def get_share(self, upstream: ids.UpstreamId) -> int:
        """Return the own share; the remainder rotates by upstream."""
        part, rest = divmod(SLOTS, HOSTS)
        number = int(upstream.split('.')[3].partition(':')[0])
        return part + ((self._number + number * rest) % HOSTS < rest)

    def use_slot(self, upstream: ids.UpstreamId, now: float) -> None:
        """Use a slot."""
        self._running[upstream] = self.get_in_flight(upstream) + 1

    def release_slot(self, upstream: ids.UpstreamId, now: float) -> list:
        """Release the slot of an attempt."""
        self._running[upstream] -= 1
        return []

    def request_slots(self, upstreams: list, queued: int, now: float) -> list:
        """Request nothing: shares are fixed."""
        return []

    def update_leases(self, queued: dict, now: float) -> list:
        """Renew nothing: there are no leases."""
        return []


class Feedback(FixedShares):
    """Every entry host adapts its window to refusals (AIMD)."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self._windows: dict[ids.UpstreamId, float] = {}

    def get_share(self, upstream: ids.UpstreamId) -> int:
        """Return the window in attempts, at least one."""
        return int(self._windows.get(upstream, 1.0))

    def adapt_window(self, upstream: ids.UpstreamId, is_refused: bool) -> None:
        """Halve the window after a refusal, otherwise enlarge it."""
        window = self._windows.get(upstream, 1.0)
        window = window * DECREASE if is_refused else window + INCREASE
        self._windows[upstream] = max(1.0, min(window, SLOTS))


class _FeedbackFleet(simulation.SimulatedFleet):
    """Fleet that reports the end of attempts to the feedback policy."""

    def handle(self, host: simulation.SimulatedHost, event) -> None:
        holder = host.router._supply._holder
        if isinstance(event, events.AttemptEnded) and isinstance(
            holder, Feedback
        ):
            refused = event.outcome is events.AttemptOutcome.REFUSED
            holder.adapt_window(event.upstream, refused)
        super().handle(host, event)


POLICIES = {
    'fixed shares': FixedShares,
    'leased credits': None,
    'feedback': Feedback,
}


def build_fleet(policy: str, seed: int) -> simulation.SimulatedFleet:
    """Return a fleet under a policy, ready to send requests."""
    service = documents.Service(
        name=ids.ServiceId('freight'),
        pool=ids.PoolId('freight'),
        brands=('/freight',),
        budget=documents.Budget(total=0.34),
        limits=documents.Limits(queue_length=2_000),
    )
    fleet = _FeedbackFleet((service,), seed)
    for number in range(HOSTS):
        host = fleet.add_host(f'entry-{number}')
        if POLICIES[policy] is not None:
            host.router._supply._holder = POLICIES[policy](number)
    for number in range(UPSTREAMS):
        address = ids.UpstreamId(f'127.0.1.{number}:80')
        announced = announcements.Upstream(
            service.name,
            address,
            ids.AvailabilityZone('az1'),
            SLOTS,
            64,
            ids.Incarnation(1),
        )
        fleet.add_upstream(announced).duration_s = DURATION_S
    fleet.publish_live_peers()
    fleet.run(slots.LEASE_S + slots.JOIN_PROPAGATION_S + 0.1)
    return fleet


def send(fleet: simulation.SimulatedFleet, name: str, number: int) -> None:
    """Send one idempotent request with a deadline in 60 s."""
    info = events.RequestInfo(
        ids.RequestId(f'request-{number}'),
        ids.ServiceId('freight'),
        ids.CallerId('shop'),
        events.states.Priority.NORMAL,
        fleet.now + 60.0,
        True,
        None,
        None,
        b'',
    )
    fleet.send(name, info)


def measure(policy: str, load: str, seed: int) -> dict[str, float]:
    """Return the results of a policy for 1,920 requests.

    The values are fractions, and the time of the last answer in seconds.
    """
    fleet = build_fleet(policy, seed)
    began = fleet.now
    for number in range(1_920):
        name = 'entry-0'
        if load == 'even':
            name = f'entry-{number % HOSTS}'
        elif load == 'moving':
            # The balancer prefers another entry host every 0.2 s.
            name = f'entry-{number // 192}'
        delay_s = number / 960 if load == 'moving' else 0.0
        fleet.schedule(delay_s, functools.partial(send, fleet, name, number))
    fleet.run(30.0)
    fakes = fleet.upstreams.values()
    last_s = max(fleet.replied_at.values()) - began
    attempts = sum(f.refused + sum(f.runs.values()) for f in fakes)
    replies = [
        action for actions in fleet.replies.values() for action in actions
    ]
    failed = sum(isinstance(action, events.Refuse) for action in replies)
    return {
        'slot time used': sum(f.busy_s for f in fakes)
        / (UPSTREAMS * SLOTS * last_s),
        'attempts refused': sum(f.refused for f in fakes) / attempts,
        'requests failed': failed / 1_920,
        'last answer s': last_s,
    }
