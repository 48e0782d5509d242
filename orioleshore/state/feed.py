"""Decides which configuration updates a control member sends."""

import functools
from typing import Any

import msgspec

from orioleshore.model import changes
from orioleshore.model import ids
from orioleshore.state import records


class Subscribed(msgspec.Struct, frozen=True):
    """A process subscribed to all versions after ``version``."""

    node: ids.NodeId
    address: str
    version: ids.Version
    sections: frozenset[changes.Section]


class VersionCommitted(msgspec.Struct, frozen=True):
    """A new version was committed to the log."""

    state: records.State


class VersionReported(msgspec.Struct, frozen=True):
    """A process reported the version that it has in force."""

    node: ids.NodeId
    version: ids.Version


class NodeGone(msgspec.Struct, frozen=True):
    """A process left the group or died."""

    node: ids.NodeId


Event = Subscribed | VersionCommitted | VersionReported | NodeGone


class SendUpdate(msgspec.Struct, frozen=True):
    """Send edits to a subscriber.

    If ``full`` is set, the edits replace its whole configuration.
    """

    node: ids.NodeId
    address: str
    from_version: ids.Version
    to_version: ids.Version
    edits: tuple[changes.Edit, ...]
    full: bool


class _Subscriber(msgspec.Struct):
    address: str
    sections: frozenset[changes.Section]
    version: ids.Version


class Feed:
    """Tracks the versions of subscribers and builds their updates."""

    def __init__(self) -> None:
        self._state = records.State()
        self._subscribers: dict[ids.NodeId, _Subscriber] = {}

    @property
    def versions(self) -> dict[ids.NodeId, ids.Version]:
        return {
            node: subscriber.version
            for node, subscriber in self._subscribers.items()
        }

    def handle(self, event: Event) -> list[SendUpdate]:
        """Return the updates that follow from an event."""
        return _handle_event(event, self)

    def _add_subscriber(self, event: Subscribed) -> list[SendUpdate]:
        self._subscribers[event.node] = _Subscriber(
            event.address, event.sections, event.version
        )
        return self._build_updates(event.node)

    def _update_state(self, event: VersionCommitted) -> list[SendUpdate]:
        self._state = event.state
        updates: list[SendUpdate] = []
        for node in self._subscribers:
            updates += self._build_updates(node)
        return updates

    def _record_version(self, event: VersionReported) -> list[SendUpdate]:
        subscriber = self._subscribers.get(event.node)
        if subscriber is not None:
            subscriber.version = max(subscriber.version, event.version)
        return []

    def _remove_subscriber(self, event: NodeGone) -> list[SendUpdate]:
        self._subscribers.pop(event.node, None)
        return []

    def _build_updates(self, node: ids.NodeId) -> list[SendUpdate]:
        subscriber = self._subscribers[node]
        if subscriber.version >= self._state.version:
            return []
        edits = get_edits_since(self._state, subscriber.version)
        full = edits is None
        if full:
            edits = get_all_items(self._state)
        return [
            SendUpdate(
                node,
                subscriber.address,
                subscriber.version,
                self._state.version,
                changes.select_sections(edits, subscriber.sections),
                full,
            )
        ]


def get_edits_since(
    state: records.State, version: ids.Version
) -> tuple[changes.Edit, ...] | None:
    """Return the edits after a version, None if some are not kept.

    Of several edits of an item, only the newest is returned.
    """
    deltas = [delta for delta in state.deltas if delta.version > version]
    if len(deltas) != state.version - version:
        return None
    latest: dict[tuple[changes.Section, str], changes.Edit] = {}
    for delta in deltas:
        for edit in delta.edits:
            latest[(edit.section, edit.name)] = edit
    return tuple(latest.values())


def get_all_items(state: records.State) -> tuple[changes.Edit, ...]:
    """Return every item of the document as an edit."""
    return tuple(
        changes.Edit(section, name, changes.encode_item(item))
        for section in changes.Section
        for name, item in changes.get_items(state.document, section).items()
    )


@functools.singledispatch
def _handle_event(event: Any, feed: Feed) -> list[SendUpdate]:
    raise TypeError(f'unknown event {type(event).__name__}')


@_handle_event.register
def _(event: Subscribed, feed: Feed) -> list[SendUpdate]:
    return feed._add_subscriber(event)


@_handle_event.register
def _(event: VersionCommitted, feed: Feed) -> list[SendUpdate]:
    return feed._update_state(event)


@_handle_event.register
def _(event: VersionReported, feed: Feed) -> list[SendUpdate]:
    return feed._record_version(event)


@_handle_event.register
def _(event: NodeGone, feed: Feed) -> list[SendUpdate]:
    return feed._remove_subscriber(event)
