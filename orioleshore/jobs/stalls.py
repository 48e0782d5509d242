"""Detection of stalled runs, which are restarted on another worker.

Answers workers that send heartbeats and look healthy while their runs make
no progress: without detection, such a run would never end.
"""

from __future__ import annotations

import logging
import typing

from orioleshore.jobs import workers
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# A run without progress for this long is stopped. The slowest workers take 8
# times as long as others; even there, a task of 10 s gains one percent in less
# time than this.
STALL_TIMEOUT_S = 1.6
# A long-running task that is not ready after this time is restarted
# elsewhere; its start takes up to a second.
LONG_RUNNING_STALL_TIMEOUT_S = 2.5


def find_stalled_runs(
    scheduler: scheduling.Scheduler, worker: workers.Worker
) -> list[workers.RunKey]:
    """Return the stalled runs of a worker; called for each heartbeat.

    The last progress of each run is stored in ``worker.progress``.
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
    """Return whether a run is expected to make progress at all times.

    Gang members may wait for each other, and filler tasks may be paused.
    """
    job = scheduler.jobs.get(key[0])
    if job is None:
        return False
    step = job.get_step(key[1])
    return not step.is_gang and not step.is_filler
