"""Which runs stand still and should be started elsewhere.

Answers workers that report and look healthy while what they run makes no
progress: such a run would be waited for without end.
"""

from __future__ import annotations

import logging
import typing

from orioleshore.jobs import workers
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# Time without progress after which a run is stopped. The slowest workers
# seen take 8 times as long, at which a task of 10 s still gains a percent
# in less.
STALL_TIMEOUT_S = 1.6
# A lasting task that is not at work for this long starts elsewhere; its
# start takes up to a second.
LONG_RUNNING_STALL_TIMEOUT_S = 2.5


def find_stalled_runs(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> list[workers.RunKey]:
    """Return the runs of a worker that make no progress.

    Called with each heartbeat; the progress before is kept with the
    worker.
    """
    seen = {}
    stalled = []
    for key, report in worker.reports.items():
        if key not in worker.ordered or not _must_progress(scheduler, key):
            continue
        before = worker.progress.get(key)
        is_same = before is not None and before[0] == report.progress
        since = before[1] if is_same else scheduler.now
        seen[key] = (report.progress, since)
        is_long_running = scheduler.is_long_running_run(key)
        if is_long_running and report.progress >= workers.READY_PERCENT:
            continue
        limit_s = (
            LONG_RUNNING_STALL_TIMEOUT_S
            if is_long_running
            else STALL_TIMEOUT_S
        )
        if scheduler.now - since >= limit_s and key not in worker.evicted:
            stalled.append(key)
    worker.progress = seen
    for key in stalled:
        LOG.warning(
            logs.format_event(
                'run_stalled',
                job=key[0],
                task=key[1],
                attempt=key[2],
                worker=worker.name,
                progress=seen[key][0],
                unchanged_s=scheduler.now - seen[key][1],
            )
        )
    return stalled


def _must_progress(
    scheduler: scheduling.Scheduler, key: workers.RunKey
) -> bool:
    """Return whether a run must make progress at its worker.

    Members of a gang wait for the others, and filling tasks are paused.
    """
    job = scheduler.jobs.get(key[0])
    if job is None:
        return False
    step = job.get_step(key[1])
    return not step.is_gang and not step.is_filler
