"""Upkeep (maintenance) waves: which host is taken down next.

Answers a wave over many hosts of loaded pools. A host is cordoned for a
short time before it goes down, so that little work is lost, and each
long-running step keeps all but ``max_unavailable`` of its tasks.
"""

from __future__ import annotations

import logging
import typing

import msgspec

from orioleshore.jobs import alternatives
from orioleshore.jobs import calls
from orioleshore.jobs import eligibility
from orioleshore.jobs import ledger
from orioleshore.jobs import progress
from orioleshore.jobs import step_limits
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

# A cordoned host goes down after this time even if tasks still run; twice the
# mean run time of the deployments' short tasks.
CORDON_TIMEOUT_S = 2.0
# Hosts are cordoned before they go down only in this first share of the time
# of a wave.
CORDON_WAIT_SHARE = 0.7
# A cordoned host is used again for a long-running task that has waited for
# this long and has room nowhere else.
CORDON_YIELD_S = 2.0
# A worker that is first heard sooner after the confirmed start of an upkeep
# was started before it. Less than the shortest upkeep of the platform, 2 s.
MIN_UPKEEP_S = 1.5
# A missing host may be back after this many times the platform's time for an
# upkeep; the clocks of the two may differ.
UPKEEP_MARGIN = 1.25

# Stands for the worker of a host that is switched off.
_NO_WORKER = workers.WorkerKey(ids.WorkerId(''), ids.UNKNOWN_INCARNATION)


class _Cordon(msgspec.Struct):
    worker: workers.WorkerKey
    since: float


class Upkeep:
    """Advances upkeep waves; part of the scheduler's state."""

    def __init__(self, scheduler: scheduling.Scheduler) -> None:
        self._scheduler = scheduler
        self._cordons: dict[ids.HostId, _Cordon] = {}
        # Monotonic time at which this leader received the confirmation that
        # the upkeep of a host began.
        self._confirmed_at: dict[ids.HostId, float] = {}
        # Monotonic time of the last order for the upkeep of a missing host
        # that had begun before; see _check_missing_host.
        self._checked_at: dict[ids.HostId, float] = {}
        # Hosts whose upkeep was ordered before without an answer, so that it
        # may have begun even if the repeated order is refused.
        self._repeated: set[ids.HostId] = set()
        self._step_limits = step_limits.StepLimits(scheduler)

    @property
    def is_busy(self) -> bool:
        """Return whether a host of any wave is not back yet."""
        return any(
            not upkeep.is_finished
            for wave in self._scheduler.ledger.waves.values()
            for upkeep in wave.hosts.values()
        )

    def is_host_due(self, host: ids.HostId) -> bool:
        """Return whether the upkeep of a host is planned or in progress."""
        return any(
            host in wave.hosts and not wave.hosts[host].is_finished
            for wave in self._scheduler.ledger.waves.values()
        )

    def cordon_ordered_host(self, worker: workers.Worker) -> None:
        """Cordon a new worker whose host an unanswered order may take down."""
        for wave in self._scheduler.ledger.waves.values():
            upkeep = wave.hosts.get(worker.host)
            if upkeep is not None and upkeep.is_unanswered:
                self._cordon_worker(worker)

    def advance(self) -> None:
        """Record hosts that are back and take down the next ones."""
        for host in list(self._cordons):
            if not self.is_host_due(host):
                self._uncordon_host(host)
        for name, wave in self._scheduler.ledger.waves.items():
            self._finish_returned_hosts(name, wave)
            if not wave.is_completed:
                self._advance_wave(name, wave)

    def record_outcome(self, call: calls.NoteUpkeep) -> None:
        """Record the platform's answer to an upkeep order."""
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
            scheduler.known_hosts.forget(call.host)
            scheduler.record_change(
                ledger.UpkeepFinished(call.wave, call.host)
            )
        if call.outcome is states.HostOrderOutcome.REFUSED:
            self._withdraw_order(call, wave.hosts[call.host])

    def _withdraw_order(
        self, call: calls.NoteUpkeep, upkeep: ledger.UpkeepRecord
    ) -> None:
        """Free the place of a refused host among those that are down.

        The platform refuses a host that is down for this very upkeep as
        busy, so a repeated order keeps its place and is repeated again.
        """
        if upkeep.is_started or call.host in self._repeated:
            return
        self._scheduler.record_change(
            ledger.UpkeepWithdrawn(call.wave, call.host)
        )
        self._uncordon_host(call.host)

    def _record_start(
        self, call: calls.NoteUpkeep, wave: ledger.WaveRecord
    ) -> None:
        scheduler = self._scheduler
        upkeep = wave.hosts[call.host]
        if upkeep.is_started:
            self._finish_checked_host(call, upkeep)
            return
        scheduler.record_change(ledger.UpkeepBegun(call.wave, call.host))
        self._confirmed_at[call.host] = scheduler.now
        self._repeated.discard(call.host)
        self._uncordon_host(call.host)
        # A later incarnation may run tasks: the platform also confirms an
        # order that it has carried out before.
        worker = scheduler.find_worker(
            workers.WorkerKey(upkeep.worker, upkeep.incarnation)
        )
        if worker is not None and worker.host == call.host:
            scheduler.drop_worker(worker, states.WorkerExit.UPKEEP)

    def _finish_checked_host(
        self, call: calls.NoteUpkeep, upkeep: ledger.UpkeepRecord
    ) -> None:
        """Record that a missing host is back after its upkeep.

        The platform has confirmed once more that the upkeep is done, asked
        later than it can have lasted.
        """
        is_late = self._checked_at.get(call.host, 0.0) >= self._get_end(
            call.host
        )
        if is_late and not upkeep.is_finished:
            self._scheduler.record_change(
                ledger.UpkeepFinished(call.wave, call.host)
            )

    def _get_end(self, host: ids.HostId) -> float:
        """Return when the upkeep of a host has ended, a monotonic time."""
        begun_at = self._confirmed_at.get(host, self._scheduler.now)
        return begun_at + UPKEEP_MARGIN * self._scheduler.limits.upkeep_s

    def _finish_returned_hosts(
        self, name: ids.WaveId, wave: ledger.WaveRecord
    ) -> None:
        scheduler = self._scheduler
        present = {
            worker.host: worker for worker in scheduler.workers.values()
        }
        for host, upkeep in wave.hosts.items():
            if not upkeep.is_started or upkeep.is_finished:
                continue
            confirmed_at = self._confirmed_at.setdefault(host, scheduler.now)
            worker = present.get(host)
            is_back = (
                worker is not None
                and not _is_ended_by(upkeep, worker)
                and worker.found_at >= confirmed_at + MIN_UPKEEP_S
            )
            known = scheduler.known_hosts
            is_list_newer = known.listed_at > confirmed_at
            if is_back or (is_list_newer and known.is_up(host)):
                scheduler.record_change(ledger.UpkeepFinished(name, host))
            elif is_list_newer and (
                worker is None or scheduler.now >= self._get_end(host)
            ):
                self._check_missing_host(name, host)

    def _check_missing_host(self, name: ids.WaveId, host: ids.HostId) -> None:
        """Ask once for each list about a host in upkeep that it lacks.

        The repeated order has no effect. The answer tells whether the host
        still exists, and whether its upkeep is done.
        """
        scheduler = self._scheduler
        listed_at = scheduler.known_hosts.listed_at
        if (
            not scheduler.known_hosts.is_missing(host)
            or self._checked_at.get(host, 0.0) >= listed_at
            or not scheduler.has_complete_view
            or not scheduler.orders.can_order(host, scheduler.now)
        ):
            return
        self._checked_at[host] = scheduler.now
        scheduler.orders.order_upkeep(name, host, scheduler.now)
        LOG.info(
            logs.format_event(
                'upkeep_checked',
                wave=name,
                host=host,
                list_age_s=scheduler.now - listed_at,
            )
        )

    def _advance_wave(self, name: ids.WaveId, wave: ledger.WaveRecord) -> None:
        self._resend_unanswered_orders(name, wave)
        down = sum(
            (upkeep.is_ordered or upkeep.is_started) and not upkeep.is_finished
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
        for host in self._find_hosts_without_worker(waiting):
            if down < limit:
                down += 1
                self._order_upkeep(name, host, _NO_WORKER)
        waiting_jobs = self._find_waiting_jobs()
        only_workers = self._find_only_workers(wave)
        for worker in self._sort_workers(waiting):
            if down >= limit:
                break
            is_needed = worker.name in only_workers or self._is_needed(
                worker, waiting_jobs
            )
            if is_needed:
                self._uncordon_host(worker.host)
                continue
            if not self._can_cordon(worker, wave):
                continue
            down += 1
            self._cordon_worker(worker)
            if not self._step_limits.can_lose_worker(worker):
                self._step_limits.evict_one_task(worker)
            elif self._is_ready_to_stop(worker, wave):
                self._order_upkeep(name, worker.host, worker.key)

    def _find_hosts_without_worker(
        self, waiting: list[ids.HostId]
    ) -> list[ids.HostId]:
        """Return waiting hosts that run no tasks and can be ordered.

        These are hosts that are up in a standby pool, and hosts that the
        newest list lacks: whether one of them still exists is known only by
        the answer to its order. A worker that this leader has not heard of
        may run tasks on the latter until its lease has ended.
        """
        scheduler = self._scheduler
        known = scheduler.known_hosts
        if known.listed_at < scheduler.leader_since:
            return []
        present = scheduler.get_hosts_with_worker()
        return [
            host
            for host in waiting
            if host not in present
            and (
                known.is_up(host)
                and scheduler.is_standby(known.rows[host].pool)
                or known.is_missing(host)
                and scheduler.has_complete_view
            )
        ]

    def _sort_workers(self, waiting: list[ids.HostId]) -> list[workers.Worker]:
        """Return the workers of hosts, cordoned and least loaded first."""
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
                self._scheduler.job_table.has_long_running_task(worker),
                len(worker.ordered),
                worker.host,
            ),
        )

    def _resend_unanswered_orders(
        self, name: ids.WaveId, wave: ledger.WaveRecord
    ) -> None:
        """Resend orders whose answer was lost, also of the last leader."""
        scheduler = self._scheduler
        for host, upkeep in wave.hosts.items():
            if not upkeep.is_unanswered:
                continue
            if scheduler.orders.can_order(host, scheduler.now):
                self._repeated.add(host)
                scheduler.orders.order_upkeep(name, host, scheduler.now)

    def _can_cordon(
        self, worker: workers.Worker, wave: ledger.WaveRecord
    ) -> bool:
        """Return whether a pool keeps enough hosts when one is cordoned.

        At most half of the hosts of a pool are cordoned at a time, so that it
        goes on starting tasks until others have arrived in their place.
        """
        if worker.host in self._cordons or self._is_late(wave):
            return True
        members = self._scheduler.get_pool_workers(worker.pool)
        cordoned = sum(member.is_cordoned for member in members)
        return cordoned < max(1, len(members) // 2)

    def _is_needed(
        self, worker: workers.Worker, waiting: list[progress.JobProgress]
    ) -> bool:
        """Return whether a long-running task has room on this worker only.

        Without it the host could not go down either if the step of the task
        may miss no further one. ``waiting`` holds the jobs that have waited
        for CORDON_YIELD_S.
        """
        return any(
            group.step.is_long_running
            and self._is_only_room(worker, job, group)
            for job in waiting
            if job.record.pool == worker.pool
            for group in job.find_startable_groups(self._scheduler.wall_time)
        )

    def _find_waiting_jobs(self) -> list[progress.JobProgress]:
        scheduler = self._scheduler
        names = scheduler.waits.find_jobs(CORDON_YIELD_S, scheduler.now)
        return [
            scheduler.jobs[name] for name in names if name in scheduler.jobs
        ]

    def _find_only_workers(self, wave: ledger.WaveRecord) -> set[ids.WorkerId]:
        """Return the workers that alone could run a step that waits.

        A long-running task of another step may keep the host from going down,
        so that a short task would wait for as long as the host is cordoned.
        Once the wave is late, the host goes down all the same.
        """
        if self._is_late(wave):
            return set()
        scheduler = self._scheduler
        latest = scheduler.wall_time - CORDON_YIELD_S
        found = set()
        for job in scheduler.jobs.values():
            for group in job.find_startable_groups(scheduler.wall_time):
                if group.startable_since > latest:
                    continue
                worker = alternatives.find_only_worker(scheduler, job, group)
                if worker is not None and workers.fits_into(
                    workers.get_reserved_resources(group.step),
                    worker.get_free_resources(),
                ):
                    found.add(worker.name)
        return found

    def _is_only_room(
        self,
        worker: workers.Worker,
        job: progress.JobProgress,
        group: progress.Group,
    ) -> bool:
        scheduler = self._scheduler
        need = workers.get_reserved_resources(group.step)
        if not group.can_use_worker(worker.name):
            return False
        if not workers.fits_into(need, worker.get_free_resources()):
            return False
        return eligibility.may_become_allowed(
            scheduler, worker, job, group
        ) and not alternatives.find_others_with_room(
            scheduler, worker, job, group
        )

    def _is_late(self, wave: ledger.WaveRecord) -> bool:
        """Return whether a wave has used most of its time."""
        span_s = wave.due_at - wave.opened_at
        late_at = wave.opened_at + CORDON_WAIT_SHARE * span_s
        return self._scheduler.wall_time > late_at

    def _cordon_worker(self, worker: workers.Worker) -> None:
        cordon = self._cordons.get(worker.host)
        if cordon is not None and cordon.worker == worker.key:
            return
        worker.is_cordoned = True
        self._cordons[worker.host] = _Cordon(worker.key, self._scheduler.now)

    def _uncordon_host(self, host: ids.HostId) -> None:
        cordon = self._cordons.pop(host, None)
        worker = cordon and self._scheduler.find_worker(cordon.worker)
        if worker:
            worker.is_cordoned = False

    def _is_ready_to_stop(
        self, worker: workers.Worker, wave: ledger.WaveRecord
    ) -> bool:
        """Return whether a cordoned host may go down with what it runs."""
        scheduler = self._scheduler
        if self._is_late(wave):
            return True
        if (
            scheduler.now
            >= self._cordons[worker.host].since + CORDON_TIMEOUT_S
        ):
            return True
        return scheduler.job_table.has_only_long_running_tasks(worker)

    def _order_upkeep(
        self, name: ids.WaveId, host: ids.HostId, worker: workers.WorkerKey
    ) -> None:
        scheduler = self._scheduler
        scheduler.record_change(
            ledger.UpkeepOrdered(name, host, worker.name, worker.incarnation)
        )
        scheduler.orders.order_upkeep(name, host, scheduler.now)
        LOG.info(
            logs.format_event(
                'upkeep_ordered',
                wave=name,
                host=host,
                worker=worker.name,
                incarnation=worker.incarnation,
                is_missing=scheduler.known_hosts.is_missing(host),
            )
        )


def _is_ended_by(upkeep: ledger.UpkeepRecord, worker: workers.Worker) -> bool:
    """Return whether a worker is the one that an upkeep ends.

    Leaders of earlier builds recorded no incarnation.
    """
    known = (ids.UNKNOWN_INCARNATION, worker.incarnation)
    return worker.name == upkeep.worker and upkeep.incarnation in known
