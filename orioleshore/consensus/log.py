"""The in-memory log of a member: the newest snapshot and later entries."""

from typing import Sequence

import msgspec

from orioleshore.consensus import events
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.protocol import messages

_MEMBERS_DECODER = decoding.make_msgpack_decoder(events.Members)


def encode_members(members: events.Members) -> bytes:
    """Return the data of a log entry that holds the member list."""
    return msgspec.msgpack.encode(members)


def decode_members(data: bytes) -> events.Members:
    """Return the member list of a log entry; raises DecodingError."""
    return _MEMBERS_DECODER.decode(data)


class Log:
    """Entries after the newest snapshot, in order of their index."""

    def __init__(
        self,
        snapshot: events.Snapshot | None,
        entries: Sequence[messages.Entry],
    ) -> None:
        self._snapshot = snapshot
        self._entries = list(entries)

    @property
    def snapshot(self) -> events.Snapshot | None:
        return self._snapshot

    @property
    def first_index(self) -> ids.LogIndex:
        return ids.LogIndex(self.snapshot_index + 1)

    @property
    def snapshot_index(self) -> ids.LogIndex:
        if self._snapshot is None:
            return ids.LogIndex(0)
        return self._snapshot.last_index

    @property
    def last_index(self) -> ids.LogIndex:
        return ids.LogIndex(self.snapshot_index + len(self._entries))

    @property
    def last_term(self) -> ids.Term:
        if self._entries:
            return self._entries[-1].term
        if self._snapshot is not None:
            return self._snapshot.last_term
        return ids.Term(0)

    @property
    def is_blank(self) -> bool:
        return self._snapshot is None and not self._entries

    def get_term(self, index: int) -> ids.Term | None:
        """Return the term of an entry, None if the log does not have it."""
        if index == 0:
            return ids.Term(0)
        if self._snapshot is not None and index == self.snapshot_index:
            return self._snapshot.last_term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def get_entries(self, first: int, last: int) -> tuple[messages.Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = max(0, first - self.first_index)
        end = max(0, last - self.first_index + 1)
        return tuple(self._entries[start:end])

    def append(self, entries: Sequence[messages.Entry]) -> None:
        """Append entries; they replace all from the first one's index on."""
        if not entries:
            return
        del self._entries[entries[0].index - self.first_index :]
        self._entries.extend(entries)

    def compact(self, snapshot: events.Snapshot) -> None:
        """Drop the entries that a snapshot of this log contains."""
        kept = self.get_entries(snapshot.last_index + 1, self.last_index)
        self._snapshot = snapshot
        self._entries = list(kept)

    def reset(self, snapshot: events.Snapshot) -> None:
        """Replace the whole log by a snapshot of another member."""
        self._snapshot = snapshot
        self._entries = []

    def find_members(self) -> events.Members | None:
        """Return the newest member list in the log."""
        for entry in reversed(self._entries):
            if entry.kind == events.EntryKind.MEMBERS:
                return decode_members(entry.data)
        if self._snapshot is not None:
            return self._snapshot.members
        return None

    def find_members_at(self, index: int) -> events.Members | None:
        """Return the member list in force at an index."""
        for entry in reversed(self._entries):
            if entry.index > index:
                continue
            if entry.kind == events.EntryKind.MEMBERS:
                return decode_members(entry.data)
        return self._snapshot.members if self._snapshot else None

    def find_previous_members(self) -> events.Members | None:
        """Return the member list that the newest one in the log replaced.

        None if the newest list is the first one or that of the snapshot.
        """
        index = self.find_last_members_index()
        return self.find_members_at(index - 1) if index else None

    def find_last_members_index(self) -> ids.LogIndex:
        """Return the index of the newest entry with a member list."""
        for entry in reversed(self._entries):
            if entry.kind == events.EntryKind.MEMBERS:
                return entry.index
        return ids.LogIndex(0)
