"""Table of the upstreams that announced themselves to any entry host."""

import msgspec

from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states

# An upstream that does not renew its announcement gets no new attempts after
# this time. A leaving upstream must get none after 3 s, which leaves 0.5 s
# for a renewal that is delayed on its way.
UPSTREAM_EXPIRY_S = 2.5
# The record of a withdrawn upstream is kept for this time, so that a late
# duplicate of a renewal does not restore the upstream.
WITHDRAWAL_MEMORY_S = 60.0


class _Entry(msgspec.Struct):
    announced: announcements.Upstream
    expires_at: float
    forget_at: float


class UpstreamTable:
    """Keeps the newest announcement of each upstream until it expires."""

    def __init__(self) -> None:
        self._entries: dict[ids.UpstreamId, _Entry] = {}
        self._by_service: dict[ids.ServiceId, set[ids.UpstreamId]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, address: ids.UpstreamId) -> announcements.Upstream | None:
        """Return the newest announcement of an upstream."""
        entry = self._entries.get(address)
        return None if entry is None else entry.announced

    def get_all(self) -> list[announcements.Upstream]:
        """Return all announcements by address."""
        return [self._entries[key].announced for key in sorted(self._entries)]

    def update(self, announced: announcements.Upstream, now: float) -> bool:
        """Store an announcement; return False when it is outdated."""
        known = self._entries.get(announced.address)
        if known is not None and not _is_newer(announced, known.announced):
            return False
        if known is not None:
            self._by_service[known.announced.service].discard(
                announced.address
            )
        self._entries[announced.address] = _Entry(
            announced, now + UPSTREAM_EXPIRY_S, now + WITHDRAWAL_MEMORY_S
        )
        self._by_service.setdefault(announced.service, set()).add(
            announced.address
        )
        return True

    def get_serving(
        self, service: ids.ServiceId, now: float
    ) -> list[announcements.Upstream]:
        """Return the upstreams that may get new attempts, by address."""
        return [
            self._entries[address].announced
            for address in sorted(self._by_service.get(service, ()))
            if self._is_serving(self._entries[address], now)
        ]

    def is_serving(self, address: ids.UpstreamId, now: float) -> bool:
        """Return whether an upstream may get new attempts."""
        entry = self._entries.get(address)
        return entry is not None and self._is_serving(entry, now)

    def remove_expired(self, now: float) -> list[ids.UpstreamId]:
        """Remove upstreams that are gone, and return their addresses."""
        removed = [
            address
            for address, entry in self._entries.items()
            if now >= entry.forget_at
        ]
        for address in removed:
            entry = self._entries.pop(address)
            self._by_service[entry.announced.service].discard(address)
        return removed

    def _is_serving(self, entry: _Entry, now: float) -> bool:
        return (
            entry.announced.state is states.UpstreamState.SERVING
            and now < entry.expires_at
        )


def _is_newer(
    announced: announcements.Upstream, known: announcements.Upstream
) -> bool:
    """Compare announcements; leaving is final within an incarnation."""
    if announced.incarnation != known.incarnation:
        return announced.incarnation > known.incarnation
    return known.state is not states.UpstreamState.LEAVING or (
        announced.state is states.UpstreamState.LEAVING
    )
