"""Which host is taken down next for the upkeep that operators asked for.

Answers a wave over many hosts of loaded pools: a host gets no new work
for a moment before it goes down, so that little work is thrown away, and
lasting tasks lose no more of their step than it may miss.
"""

from __future__ import annotations

import logging
import typing

import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import progress
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# A host goes down with what still runs after this time without new work;
# two mean run times of the deployments' short tasks.
CORDON_TIMEOUT_S = 2.0
# Share of a wave's time after which hosts are taken without that wait.
CORDON_WAIT_SHARE = 0.7


class _Cordon(msgspec.Struct):
    worker: ids.WorkerId
    since: float


class Upkeep:
    """Chooses hosts for upkeep; part of the scheduler's state."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        self._cordons: dict[ids.HostId, _Cordon] = {}
        # When the upkeep of a host was confirmed to this leader.
        self._confirmed_at: dict[ids.HostId, float] = {}
        # The run for which the upkeep of a host waits, logged once.
        self._blocking_runs: dict[ids.HostId, workers.RunKey] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether a wave is not completed."""
        return any(
            not upkeep.is_finished
            for wave in self._scheduler.ledger.waves.values()
            for upkeep in wave.hosts.values()
        )

    def is_host_due(self, host: ids.HostId) -> bool:
        """Return whether a host waits for its upkeep or is in it."""
        return any(
            host in wave.hosts and not wave.hosts[host].is_finished
            for wave in self._scheduler.ledger.waves.values()
        )

    def advance(self) -> None:
        """Take the next hosts down where that is allowed."""
        for name, wave in self._scheduler.ledger.waves.items():
            self._finish_returned_hosts(name, wave)
            if not wave.is_completed:
                self._advance_wave(name, wave)

    def record_outcome(self, call: calls.NoteUpkeep) -> None:
        """Learn what the platform said about the upkeep of a host."""
        scheduler = self._scheduler
        scheduler.orders.record_answer(call.host, call.outcome, scheduler.now)
        wave = scheduler.ledger.waves.get(call.wave)
        if wave is None or call.host not in wave.hosts:
            return
        LOG.info(
            logs.format_event(
                'upkeep_answered',
                wave=call.wave,
                host=call.host,
                outcome=call.outcome,
                detail=call.detail,
            )
        )
        if call.outcome is states.HostOrderOutcome.ACCEPTED:
            self._record_start(call, wave)
        if call.outcome is states.HostOrderOutcome.GONE:
            scheduler.record_change(
                ledger.UpkeepFinished(call.wave, call.host)
            )
        if call.outcome is states.HostOrderOutcome.REFUSED:
            scheduler.record_change(
                ledger.UpkeepWithdrawn(call.wave, call.host)
            )
            self._uncordon_host(call.host)

    def _record_start(
        self, call: calls.NoteUpkeep, wave: ledger.WaveRecord
    ) -> None:
        scheduler = self._scheduler
        upkeep = wave.hosts[call.host]
        if not upkeep.is_started:
            scheduler.record_change(ledger.UpkeepBegun(call.wave, call.host))
        self._confirmed_at[call.host] = scheduler.now
        self._cordons.pop(call.host, None)
        worker = scheduler.workers.get(upkeep.worker)
        if worker is not None and worker.host == call.host:
            scheduler.drop_worker(worker, 'upkeep')

    def _finish_returned_hosts(
        self, name: ids.WaveId, wave: ledger.WaveRecord
    ) -> None:
        scheduler = self._scheduler
        present = {
            worker.host: worker.name for worker in scheduler.workers.values()
        }
        for host, upkeep in wave.hosts.items():
            if not upkeep.is_started or upkeep.is_finished:
                continue
            confirmed_at = self._confirmed_at.setdefault(host, scheduler.now)
            is_new = present.get(host, upkeep.worker) != upkeep.worker
            if is_new or self._is_listed_as_up(host, confirmed_at):
                scheduler.record_change(ledger.UpkeepFinished(name, host))

    def _is_listed_as_up(self, host: ids.HostId, confirmed_at: float) -> bool:
        orders = self._scheduler.orders
        if orders.listed_at <= confirmed_at:
            return False
        info = orders.hosts.get(host)
        return info is None or info.state is states.PlatformHostState.UP

    def _advance_wave(self, name: ids.WaveId, wave: ledger.WaveRecord) -> None:
        self._resend_unanswered_orders(name, wave)
        down = sum(
            upkeep.is_ordered and not upkeep.is_finished
            for upkeep in wave.hosts.values()
        )
        limit = max(1, wave.at_once)
        waiting = [
            host
            for host, upkeep in wave.hosts.items()
            if not upkeep.is_ordered
            and not upkeep.is_started
            and self._scheduler.orders.can_order(host, self._scheduler.now)
        ]
        for host in self._find_idle_standby_hosts(name, waiting):
            if down < limit:
                down += 1
                self._order_upkeep(name, host, ids.WorkerId(''))
        for worker in self._sort_workers(waiting):
            if down >= limit:
                break
            down += 1
            self._cordon_worker(worker)
            if not self._is_within_limits(worker):
                self._evict_one_task(worker)
            elif self._is_ready_to_stop(worker, wave):
                self._order_upkeep(name, worker.host, worker.name)

    def _find_idle_standby_hosts(
        self, name: ids.WaveId, waiting: list[ids.HostId]
    ) -> list[ids.HostId]:
        """Return hosts of standby pools; nothing runs on those.

        Hosts that the platform does not list any more need no upkeep.
        """
        scheduler = self._scheduler
        if scheduler.orders.listed_at < scheduler.leader_since:
            return []
        idle = []
        for host in waiting:
            info = scheduler.orders.hosts.get(host)
            if info is None:
                scheduler.record_change(ledger.UpkeepFinished(name, host))
            elif (
                info.state is states.PlatformHostState.UP
                and scheduler.is_standby(info.pool)
                and not self._has_worker(host)
            ):
                idle.append(host)
        return idle

    def _has_worker(self, host: ids.HostId) -> bool:
        return any(
            worker.host == host for worker in self._scheduler.workers.values()
        )

    def _sort_workers(self, waiting: list[ids.HostId]) -> list[workers.Worker]:
        """Return cordoned hosts first, then those with the least work."""
        waiting_hosts = set(waiting)
        found = [
            worker
            for worker in self._scheduler.workers.values()
            if worker.host in waiting_hosts
            and worker.state is states.WorkerState.READY
        ]
        return sorted(
            found,
            key=lambda worker: (
                worker.host not in self._cordons,
                len(worker.ordered),
                worker.host,
            ),
        )

    def _resend_unanswered_orders(
        self, name: ids.WaveId, wave: ledger.WaveRecord
    ) -> None:
        """Ask again where the answer or the leader before was lost."""
        scheduler = self._scheduler
        for host, upkeep in wave.hosts.items():
            if not upkeep.is_ordered or upkeep.is_started:
                continue
            if scheduler.orders.can_order(host, scheduler.now):
                scheduler.orders.order_upkeep(name, host, scheduler.now)

    def _cordon_worker(self, worker: workers.Worker) -> None:
        cordon = self._cordons.get(worker.host)
        if cordon is not None and cordon.worker == worker.name:
            return
        worker.is_cordoned = True
        self._cordons[worker.host] = _Cordon(worker.name, self._scheduler.now)

    def _uncordon_host(self, host: ids.HostId) -> None:
        cordon = self._cordons.pop(host, None)
        worker = cordon and self._scheduler.workers.get(cordon.worker)
        if worker:
            worker.is_cordoned = False

    def _is_ready_to_stop(
        self, worker: workers.Worker, wave: ledger.WaveRecord
    ) -> bool:
        """Return whether taking the host down throws little away."""
        scheduler = self._scheduler
        span_s = wave.due_at - wave.opened_at
        if scheduler.wall_time > wave.opened_at + CORDON_WAIT_SHARE * span_s:
            return True
        if (
            scheduler.now
            >= self._cordons[worker.host].since + CORDON_TIMEOUT_S
        ):
            return True
        return scheduler.has_only_long_running_tasks(worker)

    def _is_within_limits(self, worker: workers.Worker) -> bool:
        """Return whether each lasting step can miss what runs here."""
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

    def _evict_one_task(self, worker: workers.Worker) -> None:
        """Stop one lasting task so that it runs elsewhere.

        A step whose tasks share this host loses them one by one.
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
        """Count tasks of a step that are away besides one at work.

        All tasks on ``worker``, if given, count as away but that one.
        """
        available = 0 if worker else -1
        for task, name in job.running.items():
            holder = self._scheduler.workers.get(name)
            if holder is None or holder is worker:
                continue
            if job.get_group(task) is not group:
                continue
            run = job.record.tasks[task]
            key = (job.job, task, run.attempt)
            report = holder.reports.get(key)
            if report is None or report.progress < workers.READY_PERCENT:
                continue
            if key in holder.evicted:
                continue
            if not self._scheduler.orders.is_answer_pending(holder.host):
                available += 1
        return group.step.tasks - available - 1

    def _order_upkeep(
        self, name: ids.WaveId, host: ids.HostId, worker: ids.WorkerId
    ) -> None:
        scheduler = self._scheduler
        scheduler.record_change(ledger.UpkeepOrdered(name, host, worker))
        scheduler.orders.order_upkeep(name, host, scheduler.now)
        LOG.info(
            logs.format_event(
                'upkeep_ordered', wave=name, host=host, worker=worker
            )
        )
