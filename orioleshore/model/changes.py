"""Differences between two versions of the document."""

import enum

import msgspec

from orioleshore.model import decoding
from orioleshore.model import documents


class Section(enum.Enum):
    """Parts of the document that can be sent separately."""

    POOLS = 'pools'
    SERVICES = 'services'
    HOSTS = 'hosts'
    TEAMS = 'teams'
    WAVES = 'waves'
    JOBS = 'jobs'
    POLICY = 'policy'


ITEM_TYPES = {
    Section.POOLS: documents.Pool,
    Section.SERVICES: documents.Service,
    Section.HOSTS: documents.Host,
    Section.TEAMS: documents.Team,
    Section.WAVES: documents.Wave,
    Section.JOBS: documents.Job,
    Section.POLICY: documents.Policy,
}
_ITEM_DECODERS = {
    section: decoding.make_json_decoder(item_type)
    for section, item_type in ITEM_TYPES.items()
}

POLICY_NAME = 'policy'


class Edit(msgspec.Struct, frozen=True, omit_defaults=True):
    """One item added, replaced or removed.

    ``value`` is the item encoded as JSON, absent when it is removed.
    """

    section: Section
    name: str
    value: bytes | None = None


Delta = tuple[Edit, ...]


def get_delta(
    old: documents.Document, new: documents.Document
) -> tuple[Edit, ...]:
    """Return the edits that turn one document into the other."""
    edits: list[Edit] = []
    for section in Section:
        before = get_items(old, section)
        after = get_items(new, section)
        edits += [Edit(section, name) for name in before if name not in after]
        edits += [
            Edit(section, name, encode_item(item))
            for name, item in after.items()
            if before.get(name) != item
        ]
    return tuple(edits)


def apply_delta(
    document: documents.Document, delta: tuple[Edit, ...]
) -> documents.Document:
    """Return the document with the edits applied."""
    changed: dict[str, object] = {}
    for section in {edit.section for edit in delta}:
        items = get_items(document, section)
        for edit in delta:
            if edit.section is section:
                _apply_edit(items, edit)
        changed[section.value] = _build_section(section, items)
    return msgspec.structs.replace(document, **changed)


def get_items(
    document: documents.Document, section: Section
) -> dict[str, object]:
    """Return the items of a section by name, in document order."""
    if section is Section.POLICY:
        return {POLICY_NAME: document.policy}
    return {item.name: item for item in getattr(document, section.value)}


def encode_item(item: msgspec.Struct) -> bytes:
    """Return one item of the document as JSON."""
    return msgspec.json.encode(item)


def decode_item(edit: Edit) -> msgspec.Struct:
    """Return the item that an edit sets; raises DecodingError."""
    return _ITEM_DECODERS[edit.section].decode(edit.value)


def select_sections(
    delta: tuple[Edit, ...], sections: frozenset[Section]
) -> tuple[Edit, ...]:
    """Return the edits of the given sections."""
    return tuple(edit for edit in delta if edit.section in sections)


def describe_edit(edit: Edit) -> str:
    """Return an edit as one line of readable text."""
    verb = 'remove' if edit.value is None else 'set'
    return f'{verb} {edit.section.value}/{edit.name}'


def _apply_edit(items: dict[str, object], edit: Edit) -> None:
    if edit.value is None:
        items.pop(edit.name, None)
        return
    items[edit.name] = decode_item(edit)


def _build_section(section: Section, items: dict[str, object]) -> object:
    if section is Section.POLICY:
        return items[POLICY_NAME]
    return tuple(items.values())
