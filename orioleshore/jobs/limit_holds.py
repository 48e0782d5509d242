"""Which jobs wait because their organisation has reached its limit.

Answers the question why a job does not start although workers have room. The
log says it for each job that waits long, and the metrics for all of them.
"""

from __future__ import annotations

import collections
import logging
import typing

import msgspec

from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import progress
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# A job counts as held for this long after a start was last held back. Workers
# with room report at least each 1.5 s.
HOLD_S = 2.0
# A hold is logged once it takes this long, and again after REPEAT_S. One
# organisation above its limit may have hundreds of jobs that wait.
LONG_HOLD_S = 1.0
REPEAT_S = 10.0
MAX_LINES_PER_TICK = 8


class _Hold(msgspec.Struct):
    """A job whose tasks are held back; all times are monotonic."""

    organisation: ids.OrganisationId
    need: specs.Resources
    since: float
    last_at: float
    log_due_at: float


class LimitHolds:
    """Jobs that a limit holds back; part of the scheduler's state."""

    def __init__(self) -> None:
        self._holds: dict[ids.JobId, _Hold] = {}
        self._counted = 0

    def note(
        self, job: progress.JobProgress, need: specs.Resources, now: float
    ) -> None:
        """Record that a start was held back on a worker with room."""
        self._counted += 1
        hold = self._holds.get(job.name)
        if hold is None:
            self._holds[job.name] = _Hold(
                job.record.organisation, need, now, now, now + LONG_HOLD_S
            )
            return
        hold.need = need
        hold.last_at = now

    def count_jobs(self) -> collections.Counter[ids.OrganisationId]:
        """Return how many jobs of each organisation are held."""
        return collections.Counter(
            hold.organisation for hold in self._holds.values()
        )

    def take_count(self) -> int:
        """Return the starts held back since the last call."""
        counted, self._counted = self._counted, 0
        return counted

    def update(self, scheduler: scheduling.Scheduler) -> None:
        """Forget holds that have ended, and log the long ones."""
        now = scheduler.now
        lines = 0
        for name, hold in list(self._holds.items()):
            if now > hold.last_at + HOLD_S or name not in scheduler.jobs:
                del self._holds[name]
            elif now >= hold.log_due_at and lines < MAX_LINES_PER_TICK:
                lines += 1
                hold.log_due_at = now + REPEAT_S
                _log_hold(scheduler, name, hold)


def _log_hold(
    scheduler: scheduling.Scheduler, name: ids.JobId, hold: _Hold
) -> None:
    used = scheduler.usage.get_used(hold.organisation)
    limit = scheduler.directory.get_limit(hold.organisation)
    LOG.info(
        logs.format_event(
            'job_held_by_limit',
            job=name,
            organisation=hold.organisation,
            held_s=scheduler.now - hold.since,
            need_cpu=hold.need.cpu_millis,
            need_memory_mb=hold.need.memory_mb,
            need_accelerators=hold.need.accelerators,
            used_cpu=used.cpu_millis,
            used_memory_mb=used.memory_mb,
            used_accelerators=used.accelerators,
            limit_cpu=limit.cpu_millis,
            limit_memory_mb=limit.memory_mb,
            limit_accelerators=limit.accelerators,
            version=scheduler.ledger.configuration.version,
        )
    )
