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
    """Combines the upstream table with the owner and holder of slots."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._table = upstreams.UpstreamTable()
        self._owner = slots.SlotOwner()
        self._holder = slots.SlotHolder()
        self._entry_host_count = 1

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
        """Return the total slots of the serving upstreams of a service."""
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

    def choose_upstream(
        self, usable: list[announcements.Upstream], now: float
    ) -> announcements.Upstream | None:
        """Return the least loaded upstream with a free slot, if any.

        Latency is not considered, because a failing upstream often answers
        fastest.
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
        return self._rng.choice(
            [
                upstream
                for upstream, load in zip(free, loads, strict=True)
                if load == least
            ]
        )

    def can_keep_alive(self, upstream: announcements.Upstream) -> bool:
        """Return whether the upstream's limit allows keep-alive.

        Single-use connections may occupy all slots at once; the remaining
        connections are shared evenly by the entry hosts.
        """
        spare = upstream.connections - upstream.slots
        in_flight = self._holder.get_in_flight(upstream.address)
        return in_flight <= spare // max(1, self._entry_host_count)

    def request_slots(
        self,
        usable: list[announcements.Upstream],
        queued: int,
        now: float,
    ) -> list[events.Action]:
        """Request slots for queued requests."""
        candidates = list(usable)
        self._rng.shuffle(candidates)
        return self._holder.request_slots(candidates, queued, now)

    def update_leases(
        self, needs: dict[ids.UpstreamId, int], now: float
    ) -> list[events.Action]:
        """Update held leases, and answer waiting slot requests."""
        actions = self._holder.update_leases(needs, now)
        for address in self._owner.get_upstreams_with_waiting():
            actions += self._grant_waiting(address, now)
        return actions

    def remove_expired(self, now: float) -> list[ids.UpstreamId]:
        """Remove upstreams that are gone, and return their addresses."""
        removed = self._table.remove_expired(now)
        for address in removed:
            self._owner.remove_upstream(address)
            self._holder.remove_upstream(address)
        return removed

    def _grant_waiting(
        self, address: ids.UpstreamId, now: float
    ) -> list[events.Action]:
        upstream = self._table.get(address)
        return (
            []
            if upstream is None
            else self._owner.grant_waiting(upstream, now)
        )

    def handle_slot_request(
        self, event: events.SlotsRequested, now: float
    ) -> list[events.Action]:
        """Answer an entry host's slot request."""
        upstream = self._table.get(event.upstream)
        if not self._table.is_serving(event.upstream, now):
            upstream = None
        return self._owner.handle_request(event, upstream, now)

    def handle_slot_return(
        self, event: events.SlotsReturned, now: float
    ) -> list[events.Action]:
        """Process returned slots, and answer waiting slot requests."""
        self._owner.handle_return(event)
        return self._grant_waiting(event.upstream, now)

    def set_peers(
        self, event: events.PeersChanged, now: float
    ) -> list[events.Action]:
        """Set the live entry hosts; owners of slots may change."""
        nodes = tuple(sorted({peer.node for peer in event.entry_hosts}))
        self._entry_host_count = len(nodes)
        self._owner.set_nodes(event.own_node, nodes, now)
        return self._holder.set_nodes(event.own_node, nodes, now)


def get_retry_candidates(
    usable: list[announcements.Upstream],
    failed: announcements.Upstream,
) -> list[announcements.Upstream]:
    """Return the upstreams for a retry after an attempt at ``failed``.

    Upstreams in other availability zones are preferred, then any other
    upstream; if there is none, all are returned.
    """
    others = [item for item in usable if item.address != failed.address]
    in_other_zones = [
        item
        for item in others
        if item.availability_zone != failed.availability_zone
    ]
    return in_other_zones or others or usable
