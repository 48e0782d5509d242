"""What a member with a full disk keeps for later, and what it goes on with."""

from collections.abc import Sequence

from orioleshore.consensus import events


def split_actions(
    actions: Sequence[events.Action],
) -> tuple[list[events.Action], list[events.Action]]:
    """Return the actions that wait for room, and those to perform now.

    Messages are in neither list: they may depend on what is not stored, and
    the protocol repeats them. Entries behind a snapshot are applied after it.
    """
    waiting: list[events.Action] = []
    ready: list[events.Action] = []
    has_snapshot = False
    for action in actions:
        if isinstance(action, events.Send):
            continue
        has_snapshot |= isinstance(action, events.InstallSnapshot)
        needs_room = isinstance(
            action, events.Persist | events.InstallSnapshot
        )
        if needs_room or (has_snapshot and isinstance(action, events.Apply)):
            waiting.append(action)
        else:
            ready.append(action)
    return waiting, ready


def merge_persists(actions: Sequence[events.Action]) -> list[events.Action]:
    """Merge writes that follow each other, so that one sync covers them."""
    merged: list[events.Action] = []
    for action in actions:
        previous = merged[-1] if merged else None
        if isinstance(action, events.Persist) and isinstance(
            previous, events.Persist
        ):
            merged[-1] = events.Persist(
                action.hard_state, (*previous.entries, *action.entries)
            )
        else:
            merged.append(action)
    return merged
