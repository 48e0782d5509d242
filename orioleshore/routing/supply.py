"""Upstreams and slots that an entry host can use."""

import random
from typing import Any

from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.routing import events
from orioleshore.routing import health
from orioleshore.routing import slots
from orioleshore.routing import upstreams


class Supply:
    """Joins the upstream table with both sides of the sharing of slots."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._table = upstreams.UpstreamTable()
        self._owner = slots.SlotOwner()
        self._holder = slots.SlotHolder()
        self._entry_hosts = 1

    @property
    def table(self) -> upstreams.UpstreamTable:
        return self._table

    @property
    def holder(self) -> slots.SlotHolder:
        return self._holder

    def get_dump(self, now: float) -> dict[str, Any]:
        """Return the upstreams and the slots that are held and owned."""
        return {
            'upstreams': {
                upstream.address: {
                    'service': upstream.service,
                    'state': upstream.state.value,
                    'incarnation': upstream.incarnation,
                    'serving': self._table.is_serving(upstream.address, now),
                }
                for upstream in self._table.get_all()
            },
            'slots_held': self._holder.get_dump(),
            'slots_owned': self._owner.get_dump(now),
        }

    def count_slots(self, service: ids.ServiceId, now: float) -> int:
        """Return the slots of all upstreams that serve."""
        return sum(
            upstream.slots
            for upstream in self._table.get_serving(service, now)
        )

    def get_usable(
        self,
        service: ids.ServiceId,
        tracker: health.HealthTracker,
        now: float,
    ) -> list[announcements.Upstream]:
        """Return the upstreams that may get new attempts."""
        return [
            upstream
            for upstream in self._table.get_serving(service, now)
            if not tracker.is_ejected(upstream.address, now)
        ]

    def choose(
        self, usable: list[announcements.Upstream], now: float
    ) -> announcements.Upstream | None:
        """Return one with a free slot, and the fewest slots in use.

        Speed has no say, because one that fails is often the fastest.
        """
        free = [
            upstream
            for upstream in usable
            if self._holder.get_free(upstream.address, now)
        ]
        if not free:
            return None
        loads = [
            self._holder.get_in_flight(upstream.address) / upstream.slots
            for upstream in free
        ]
        least = min(loads)
        return self._random.choice(
            [
                upstream
                for upstream, load in zip(free, loads, strict=True)
                if load == least
            ]
        )

    def may_keep(self, upstream: announcements.Upstream) -> bool:
        """Return whether a kept connection fits the upstream's bound.

        All slots may be in use on single-use connections at once; the rest
        of the connections is shared evenly.
        """
        spare = upstream.connections - upstream.slots
        in_flight = self._holder.get_in_flight(upstream.address)
        return in_flight <= spare // max(1, self._entry_hosts)

    def want(
        self,
        usable: list[announcements.Upstream],
        queued: int,
        now: float,
    ) -> list[events.Action]:
        """Ask for slots for queued requests."""
        candidates = list(usable)
        self._random.shuffle(candidates)
        return self._holder.want(candidates, queued, now)

    def check(
        self, needs: dict[ids.UpstreamId, int], now: float
    ) -> list[events.Action]:
        """Renew leases, and serve the requests that wait for slots."""
        actions = self._holder.check(needs, now)
        for address in self._owner.get_owned():
            actions += self._grant_waiting(address, now)
        return actions

    def remove_expired(self, now: float) -> list[ids.UpstreamId]:
        """Forget upstreams that are gone, and return their addresses."""
        gone = self._table.remove_expired(now)
        for address in gone:
            self._owner.remove(address)
            self._holder.remove(address)
        return gone

    def _grant_waiting(
        self, address: ids.UpstreamId, now: float
    ) -> list[events.Action]:
        upstream = self._table.get(address)
        return [] if upstream is None else self._owner.grant(upstream, now)

    def request_slots(
        self, event: events.SlotsRequested, now: float
    ) -> list[events.Action]:
        """Answer an entry host that asks for slots."""
        upstream = self._table.get(event.upstream)
        if not self._table.is_serving(event.upstream, now):
            upstream = None
        return self._owner.request(event, upstream, now)

    def take_back_slots(
        self, event: events.SlotsReturned, now: float
    ) -> list[events.Action]:
        """Take slots back, and lease them to those that wait."""
        self._owner.take_back(event)
        return self._grant_waiting(event.upstream, now)

    def change_peers(
        self, event: events.PeersChanged, now: float
    ) -> list[events.Action]:
        """Take the live entry hosts; owners of slots may change."""
        nodes = tuple(sorted({peer.node for peer in event.entry_hosts}))
        self._entry_hosts = len(nodes)
        self._owner.set_nodes(event.own, nodes, now)
        return self._holder.set_nodes(event.own, nodes, now)


def get_others(
    usable: list[announcements.Upstream],
    failed: announcements.Upstream,
) -> list[announcements.Upstream]:
    """Return those away from a failed attempt, as far as there are any."""
    others = [item for item in usable if item.address != failed.address]
    elsewhere = [
        item
        for item in others
        if item.availability_zone != failed.availability_zone
    ]
    return elsewhere or others or usable
