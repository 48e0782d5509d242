"""Differences between two configurations, entry by entry.

Works on plain data, in which an entry is a mapping with a name. Values of
secret fields are counted and never shown.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import json
from typing import Any

import msgspec

from orioleshore.model import findings

MAX_VALUE_LENGTH = 60
ABSENT = 'absent'
_MISSING = object()


class ChangeKind(enum.Enum):
    """What happens to an entry."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class Difference(msgspec.Struct, frozen=True):
    """One entry that differs; ``fields`` has a line for each changed field.

    ``entry`` is the section and the name, such as "hosts/freight-1".
    """

    kind: ChangeKind
    entry: str
    fields: tuple[str, ...] = ()


class Comparison(msgspec.Struct, frozen=True):
    """What sending a configuration would change.

    ``version`` is the one in force, None if it is not known. ``edits`` are
    those of a document.
    """

    version: int | None
    differences: tuple[Difference, ...]
    warnings: tuple[findings.Finding, ...] = ()
    edits: tuple[str, ...] = ()


def find_differences(
    old: Mapping[str, Any],
    new: Mapping[str, Any],
    secret_fields: frozenset[str] = frozenset(),
) -> Iterator[Difference]:
    """Yield the differences, with the sections in their order."""
    for section in list(dict.fromkeys([*old, *new])):
        before = old.get(section, _MISSING)
        after = new.get(section, _MISSING)
        if _is_list_of_entries(before) and _is_list_of_entries(after):
            yield from _compare_entries(
                section, _index(before), _index(after), secret_fields
            )
        elif before != after:
            fields = tuple(_compare_values('', before, after, secret_fields))
            yield Difference(ChangeKind.CHANGED, section, fields)


def _is_list_of_entries(value: Any) -> bool:
    """Return whether a section holds entries; an absent one counts."""
    return value in (_MISSING, None) or (
        isinstance(value, Sequence)
        and not isinstance(value, str)
        and all(isinstance(item, Mapping) for item in value)
    )


def _index(entries: Any) -> dict[str, Mapping]:
    """Return entries by name; a repeated name gets a number."""
    found: dict[str, Mapping] = {}
    for entry in () if entries in (_MISSING, None) else entries:
        name = key = str(entry.get('name', ''))
        number = 1
        while key in found:
            number += 1
            key = f'{name}#{number}'
        found[key] = entry
    return found


def _compare_entries(
    section: str,
    before: dict[str, Mapping],
    after: dict[str, Mapping],
    secret_fields: frozenset[str],
) -> Iterator[Difference]:
    for name in before:
        if name not in after:
            yield Difference(ChangeKind.REMOVED, f'{section}/{name}')
    for name, entry in after.items():
        if name not in before:
            yield Difference(ChangeKind.ADDED, f'{section}/{name}')
        elif before[name] != entry:
            fields = tuple(
                _compare_values('', before[name], entry, secret_fields)
            )
            yield Difference(ChangeKind.CHANGED, f'{section}/{name}', fields)


def _compare_values(
    path: str, before: Any, after: Any, secret_fields: frozenset[str]
) -> Iterator[str]:
    """Yield a line for each field below a path that differs."""
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for name in list(dict.fromkeys([*before, *after])):
            old = before.get(name, _MISSING)
            new = after.get(name, _MISSING)
            if old == new:
                continue
            inner = f'{path}.{name}' if path else str(name)
            if name in secret_fields:
                yield f'{inner}: {_count_changes(old, new)}'
            else:
                yield from _compare_values(inner, old, new, secret_fields)
        return
    text = ' -> '.join(
        _format(_mask(value, secret_fields)) for value in (before, after)
    )
    yield f'{path}: {text}' if path else text


def _count_changes(before: Any, after: Any) -> str:
    old, new = _make_set(before), _make_set(after)
    if old == new:
        return 'the same in another order'
    return f'{len(new - old)} added, {len(old - new)} removed'


def _mask(value: Any, secret_fields: frozenset[str]) -> Any:
    """Return plain data with the number of values in each secret field."""
    if isinstance(value, Mapping):
        return {
            name: f'{len(_make_set(inner))} hidden'
            if name in secret_fields
            else _mask(inner, secret_fields)
            for name, inner in value.items()
        }
    if isinstance(value, list | tuple):
        return [_mask(item, secret_fields) for item in value]
    return value


def _make_set(value: Any) -> set[str]:
    if not isinstance(value, list | tuple):
        return set() if value in (_MISSING, None) else {str(value)}
    return {str(item) for item in value}


def _format(value: Any) -> str:
    if value is _MISSING:
        return ABSENT
    text = json.dumps(value, sort_keys=True)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return f'{text[:MAX_VALUE_LENGTH]}...'
