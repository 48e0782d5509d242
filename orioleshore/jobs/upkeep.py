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
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

MS_PER_S = 1_000.0
# A host goes down with what still runs after this time without new work;
# two mean run times of the deployments' short tasks.
CORDON_S = 2.0
# Share of a wave's time after which hosts are taken without that wait.
HURRY_SHARE = 0.7
# Pause before the platform is asked again after a refusal or silence.
RETRY_S = 0.7
# A percentage at which a lasting task is at work.
AT_WORK = 100


class TakeDown(msgspec.Struct, frozen=True):
    """Asks the platform for the upkeep of a host."""

    wave: ids.WaveId
    host: ids.HostId
    epoch: ids.Epoch


class _Cordon(msgspec.Struct):
    worker: ids.WorkerId
    since: float


class Upkeep:
    """Chooses hosts for upkeep; part of the scheduler's state."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        self._cordons: dict[ids.HostId, _Cordon] = {}
        # Hosts about which the platform is being asked, with when the
        # answer counts as lost.
        self._asked: dict[ids.HostId, float] = {}
        self._retry_at: dict[ids.HostId, float] = {}
        self._actions: list[TakeDown] = []

    def take_actions(self) -> list[TakeDown]:
        """Return the orders to the platform since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def advance(self) -> None:
        """Take the next hosts down where that is allowed."""
        scheduler = self._scheduler
        lease_s = scheduler.limits.host_lease_ms / MS_PER_S
        if scheduler.now < scheduler.gained_at + lease_s:
            # The leader before may have used its lease of a host just now.
            return
        for name, wave in scheduler.book.waves.items():
            self._find_returned(name, wave)
            if not wave.is_completed:
                self._advance_wave(name, wave)

    def note_outcome(self, call: calls.NoteUpkeep) -> None:
        """Learn what the platform said about the upkeep of a host."""
        scheduler = self._scheduler
        self._asked.pop(call.host, None)
        wave = scheduler.book.waves.get(call.wave)
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
        if call.outcome is states.UpkeepOutcome.BEGUN:
            self._begin(call, wave)
            return
        self._retry_at[call.host] = scheduler.now + RETRY_S
        if call.outcome is states.UpkeepOutcome.GONE:
            scheduler.record(ledger.UpkeepFinished(call.wave, call.host))
        if call.outcome is states.UpkeepOutcome.REFUSED:
            scheduler.record(ledger.UpkeepWithdrawn(call.wave, call.host))
            self._release(call.host)

    def _begin(self, call: calls.NoteUpkeep, wave: ledger.WaveRecord) -> None:
        scheduler = self._scheduler
        upkeep = wave.hosts[call.host]
        if not upkeep.begun:
            scheduler.record(ledger.UpkeepBegun(call.wave, call.host))
        self._cordons.pop(call.host, None)
        worker = scheduler.workers.get(upkeep.worker)
        if worker is not None and worker.host == call.host:
            scheduler.drop_worker(worker, 'upkeep')

    def _find_returned(
        self, name: ids.WaveId, wave: ledger.WaveRecord
    ) -> None:
        for worker in self._scheduler.workers.values():
            upkeep = wave.hosts.get(worker.host)
            if upkeep is None or not upkeep.begun or upkeep.back:
                continue
            if worker.name != upkeep.worker:
                self._scheduler.record(
                    ledger.UpkeepFinished(name, worker.host)
                )

    def _advance_wave(self, name: ids.WaveId, wave: ledger.WaveRecord) -> None:
        self._repeat_lost(name, wave)
        down = sum(u.ordered and not u.back for u in wave.hosts.values())
        by_host = {
            worker.host: worker
            for worker in self._scheduler.workers.values()
            if worker.state is states.WorkerState.READY
        }
        waiting = [
            by_host[host]
            for host, upkeep in wave.hosts.items()
            if not upkeep.ordered
            and not upkeep.begun
            and host in by_host
            and self._may_ask(host)
        ]
        for worker in self._rank(waiting):
            if down >= max(1, wave.at_once):
                break
            if not self._keeps_steps(worker):
                self._release(worker.host)
                continue
            down += 1
            self._cordon(worker)
            if self._is_quiet(worker, wave):
                self._order(name, worker)

    def _rank(self, waiting: list[workers.Worker]) -> list[workers.Worker]:
        """Return cordoned hosts first, then those with the least work."""
        return sorted(
            waiting,
            key=lambda worker: (
                worker.host not in self._cordons,
                len(worker.ordered),
                worker.host,
            ),
        )

    def _repeat_lost(self, name: ids.WaveId, wave: ledger.WaveRecord) -> None:
        """Ask again where the answer or the leader before was lost."""
        scheduler = self._scheduler
        for host, upkeep in wave.hosts.items():
            if not upkeep.ordered or upkeep.begun:
                continue
            lost_at = self._asked.get(host, 0.0)
            if scheduler.now >= lost_at and self._may_ask(host):
                self._ask(name, host)

    def _may_ask(self, host: ids.HostId) -> bool:
        return self._scheduler.now >= self._retry_at.get(host, 0.0)

    def _cordon(self, worker: workers.Worker) -> None:
        if worker.host in self._cordons:
            return
        worker.is_cordoned = True
        self._cordons[worker.host] = _Cordon(worker.name, self._scheduler.now)

    def _release(self, host: ids.HostId) -> None:
        cordon = self._cordons.pop(host, None)
        worker = cordon and self._scheduler.workers.get(cordon.worker)
        if worker:
            worker.is_cordoned = False

    def _is_quiet(
        self, worker: workers.Worker, wave: ledger.WaveRecord
    ) -> bool:
        """Return whether taking the host down throws little away."""
        scheduler = self._scheduler
        span_s = wave.due_at - wave.opened_at
        if scheduler.wall > wave.opened_at + HURRY_SHARE * span_s:
            return True
        since = self._cordons[worker.host].since
        if scheduler.now >= since + CORDON_S:
            return True
        return all(
            self._is_lasting(key) for key in (*worker.ordered, *worker.listed)
        )

    def _is_lasting(self, key: workers.RunKey) -> bool:
        job = self._scheduler.jobs.get(key[0])
        return job is not None and job.get_step(key[1]).is_lasting

    def _keeps_steps(self, worker: workers.Worker) -> bool:
        """Return whether each lasting step can miss what runs here."""
        for key in worker.ordered:
            job = self._scheduler.jobs.get(key[0])
            if job is None:
                continue
            group = job.get_group(key[1])
            limit = group.step.max_away
            if not limit:
                continue
            if self._count_away(job, group, worker) >= limit:
                return False
        return True

    def _count_away(self, job, group, worker: workers.Worker) -> int:
        """Count tasks of a step that are not at work without this host."""
        at_work = 0
        own = group.workers[worker.name]
        for task, name in job.running.items():
            holder = self._scheduler.workers.get(name)
            if holder is None or name == worker.name:
                continue
            if job.get_group(task) is not group:
                continue
            run = job.record.tasks[task]
            report = holder.reports.get((job.job, task, run.attempt))
            if report is None or report.progress < AT_WORK:
                continue
            if not self._is_going_down(holder):
                at_work += 1
        return group.step.tasks - at_work - min(own, 1)

    def _is_going_down(self, worker: workers.Worker) -> bool:
        return worker.host in self._asked

    def _order(self, name: ids.WaveId, worker: workers.Worker) -> None:
        self._scheduler.record(
            ledger.UpkeepOrdered(name, worker.host, worker.name)
        )
        self._ask(name, worker.host)

    def _ask(self, name: ids.WaveId, host: ids.HostId) -> None:
        scheduler = self._scheduler
        # Asked again only when the call before has certainly timed out.
        self._asked[host] = (
            scheduler.now + scheduler.limits.host_call_ms / MS_PER_S
        )
        self._actions.append(TakeDown(name, host, scheduler.epoch))
        LOG.info(logs.format_event('upkeep_ordered', wave=name, host=host))
