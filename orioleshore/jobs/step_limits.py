"""Limits of long-running steps: how many of their tasks may be unavailable.

Answers upkeep of hosts that run tasks of steps with ``max_unavailable``.
"""

from __future__ import annotations

import logging
import typing

from orioleshore.jobs import alternatives
from orioleshore.jobs import progress
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)


class StepLimits:
    """Checks and prepares the loss of a worker; part of the upkeep."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        # The run that delays the upkeep of a host; logged once.
        self._blocking_runs: dict[ids.HostId, workers.RunKey] = {}

    def can_lose_worker(self, worker: workers.Worker) -> bool:
        """Return whether all steps keep enough tasks without a worker."""
        for key in worker.ordered:
            job = self._scheduler.jobs.get(key[0])
            if job is None:
                continue
            group = job.get_group(key[1])
            limit = group.step.max_unavailable
            if not limit:
                continue
            unavailable = self._count_unavailable(job, group, worker)
            if unavailable >= limit:
                self._log_blocked(worker, key, unavailable, limit)
                return False
        self._blocking_runs.pop(worker.host, None)
        return True

    def _log_blocked(
        self,
        worker: workers.Worker,
        key: workers.RunKey,
        unavailable: int,
        limit: int,
    ) -> None:
        if self._blocking_runs.get(worker.host) == key:
            return
        self._blocking_runs[worker.host] = key
        LOG.info(
            logs.format_event(
                'upkeep_held',
                host=worker.host,
                job=key[0],
                task=key[1],
                away=unavailable,
                limit=limit,
            )
        )

    def evict_one_task(self, worker: workers.Worker) -> None:
        """Evict one long-running task so that it restarts elsewhere.

        Tasks of one step that share the host are evicted one by one, each
        once another worker has room for it.
        """
        if worker.evicted:
            return
        for key in worker.ordered:
            job = self._scheduler.jobs.get(key[0])
            if job is None:
                continue
            group = job.get_group(key[1])
            limit = group.step.max_unavailable
            if not limit or self._count_unavailable(job, group, None) >= limit:
                continue
            if not alternatives.find_others_with_room(
                self._scheduler, worker, job, group
            ):
                continue
            worker.evicted.add(key)
            LOG.info(
                logs.format_event(
                    'task_evicted',
                    host=worker.host,
                    job=key[0],
                    task=key[1],
                    attempt=key[2],
                )
            )
            return

    def _count_unavailable(
        self,
        job: progress.JobProgress,
        group: progress.Group,
        worker: workers.Worker | None,
    ) -> int:
        """Return how many tasks of a step are unavailable besides one.

        The one is an available task that is to be stopped. If ``worker`` is
        given, all its other tasks count as unavailable as well.
        """
        available = 0 if worker else -1
        for task, name in job.running.items():
            holder = self._scheduler.workers.get(name)
            if holder is None or holder is worker:
                continue
            if job.get_group(task) is not group:
                continue
            run = job.record.tasks[task]
            key = (job.name, task, run.attempt)
            report = holder.reports.get(key)
            if report is None or report.progress < workers.READY_PERCENT:
                continue
            if key in holder.evicted:
                continue
            if not self._scheduler.orders.is_answer_pending(holder.host):
                available += 1
        return group.step.tasks - available - 1
