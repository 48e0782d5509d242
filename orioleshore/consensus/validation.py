"""Checks of messages between members before they change any state.

A message that passed the checksum of its connection may still come from a
faulty or newer program. Such a message is dropped; a member that failed on it
would fail again after each restart.
"""

import functools
from typing import Any

from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.protocol import messages

# Names of counters that are never negative.
_COUNTERS = (
    'term',
    'last_index',
    'last_term',
    'previous_index',
    'previous_term',
    'commit_index',
    'match_index',
    'round',
    'offset',
    'next_offset',
)
_ENTRY_KINDS = frozenset(kind.value for kind in events.EntryKind)


def find_problem(message: Any) -> str:
    """Return why a message of another member is malformed, '' if it is not."""
    for name in _COUNTERS:
        if getattr(message, name, 0) < 0:
            return f'{name} is negative'
    return _find_content_problem(message)


@functools.singledispatch
def _find_content_problem(message: Any) -> str:
    return ''


@_find_content_problem.register
def _(message: messages.SnapshotChunk) -> str:
    return _find_term_problem(message.term)


def _find_term_problem(term: ids.Term) -> str:
    # A member without a leader has term 0. It would take the sender for one
    # and hold no election while it hears from it.
    return '' if term > 0 else f'a leader with term {term}'


@_find_content_problem.register
def _(message: messages.Append) -> str:
    problem = _find_term_problem(message.term)
    if problem:
        return problem
    for index, entry in enumerate(message.entries, message.previous_index + 1):
        if entry.index != index:
            return f'entry {entry.index} stands in the place of {index}'
        if entry.kind not in _ENTRY_KINDS:
            return f'entry {index} has the unknown kind {entry.kind}'
        if not 0 < entry.term <= message.term:
            return f'entry {index} has the term {entry.term}'
        if entry.kind == events.EntryKind.MEMBERS:
            try:
                log.decode_members(entry.data)
            except decoding.DecodingError as error:
                return f'entry {index} has no member list: {error}'
    return ''
