"""Counts and logs entries of lists that could not be read."""

import collections
import enum
import logging

from orioleshore.telemetry import logs
from orioleshore.timers import clock

LOG = logging.getLogger(__name__)

# An entry that stays in a list is read again up to several times a second, so
# each one is logged once in this interval, and only the first ones are.
LOG_INTERVAL_S = 30.0
MAX_LINES_PER_INTERVAL = 20
MAX_KEY_LENGTH = 100
MAX_ERROR_LENGTH = 200


class EntryList(enum.Enum):
    """Lists whose entries may come from other writers; a metric's label."""

    RUMOURS = 'rumours'
    ADDRESSES = 'addresses'
    HOSTS = 'hosts'
    APPROVALS = 'approvals'
    RUNNING = 'running'
    FINISHED = 'finished'
    REPORTS = 'reports'


# Name of the event and of the key of its line, where these differ.
_EVENTS = {EntryList.RUMOURS: ('rumour_unreadable', 'subject')}
_DEFAULT_EVENT = ('entry_unreadable', 'entry')


class OddEntryLog:
    """Counts odd entries by list and logs each once in an interval."""

    def __init__(self) -> None:
        self._counts: collections.Counter[EntryList] = collections.Counter()
        self._interval_began_at = clock.read_monotonic()
        self._logged: set[tuple[EntryList, str]] = set()

    @property
    def counts(self) -> dict[EntryList, int]:
        """Return the number of odd entries by list."""
        return dict(self._counts)

    def report(
        self, entry_list: EntryList, key: str | None, error: object
    ) -> None:
        """Count one entry; its key is None if that is unreadable as well."""
        self._counts[entry_list] += 1
        now = clock.read_monotonic()
        if now - self._interval_began_at >= LOG_INTERVAL_S:
            self._interval_began_at = now
            self._logged.clear()
        text = '' if key is None else key[:MAX_KEY_LENGTH]
        logged = (entry_list, text)
        if logged in self._logged:
            return
        if len(self._logged) >= MAX_LINES_PER_INTERVAL:
            return
        self._logged.add(logged)
        event, name = _EVENTS.get(entry_list, _DEFAULT_EVENT)
        LOG.warning(
            logs.format_event(
                event,
                **{name: text or None},
                list=entry_list,
                error=str(error)[:MAX_ERROR_LENGTH],
                count=self._counts[entry_list],
            )
        )
