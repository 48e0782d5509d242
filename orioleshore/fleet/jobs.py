"""Decisions about jobs on workers, made by the leader.

The replicated state decides what is accepted, placed and ended. This
module follows it, and proposes what comes next. Nothing here walks all
workers or all jobs, except when leadership is gained.
"""

import functools
from typing import Any

import msgspec

from orioleshore.fleet import agenda
from orioleshore.fleet import blame
from orioleshore.fleet import calls
from orioleshore.fleet import events
from orioleshore.fleet import journal
from orioleshore.fleet import learning
from orioleshore.fleet import placement
from orioleshore.fleet import pressure
from orioleshore.fleet import quotas
from orioleshore.fleet import tasks
from orioleshore.fleet import workers
from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import job_commands
from orioleshore.state import records

# A proposal without an outcome is given up after this time.
PROPOSAL_LIMIT_S = 10.0
RESULT_REPEAT_S = 5.0
# Time in which reports confirm running tasks to a new leader, so that it
# need not repeat all their start calls.
CONFIRM_S = 10.0
# Reports of this time are read again by a new leader; it covers an election.
REPLAY_S = 120.0
# A worker that leaves a start call unanswered this long gets no more work.
START_LIMIT_S = 6.0
# A task without any report for this time does not get its lease renewed.
REPORT_SILENCE_S = 20.0
RENEW_RETRY_S = 5.0
# Attempts in one command, about 12 KB.
MAX_RENEWALS = 500
# Placements after one event, about 0.1 s of work; the rest waits for the
# next tick, so that heartbeats of the same process are not held up.
MAX_PLACEMENTS = 400
# Jobs of a pool without room that are passed over in one pass.
MAX_PASSED_OVER = 32
# Tasks that end within this time finish on a worker that drains.
DRAIN_FINISH_S = 30.0
# Preempted tasks that may be stopped have this long for a checkpoint; the
# whole preemption is given up after the second time.
CHECKPOINT_LIMIT_S = 1.5
PREEMPTION_LIMIT_S = 6.0
# Delay after a failed or refused attempt; it doubles with each failure.
RETRY_DELAY_S = 2.0
MAX_RETRY_DELAY_S = 60.0

_LEAVING_ORDER = {
    None: 0,
    events.CallKind.CHECKPOINT_TASK: 1,
    events.CallKind.STOP_TASK: 2,
}


class _Placing(msgspec.Struct, frozen=True):
    """A proposed placement, which holds room and quota."""

    attempt: ids.Attempt
    worker: ids.HostId
    team: ids.TeamId
    size: workers.Size


class _Claim(msgspec.Struct, frozen=True):
    """Room held for an urgent job while other tasks leave."""

    worker: ids.HostId
    size: workers.Size


class JobPlanner:
    """Works on the planner's copy of the replicated state."""

    def __init__(self, learner: learning.Learner | None = None) -> None:
        self._learner = learner or learning.Learner()
        self._replayed: ids.Epoch | None = None
        self._reset()

    def _reset(self) -> None:
        self._state = records.State()
        self._epoch: ids.Epoch | None = None
        self._version = ids.Version(0)
        self._jobs: dict[ids.JobId, documents.Job] = {}
        self._hosts: dict[ids.HostId, documents.Host] = {}
        self._table = workers.WorkerTable()
        self._ledger = quotas.Ledger()
        self._blame = blame.Blame()
        self._pressure = pressure.Pressure()
        self._agenda = agenda.Agenda()
        self._queues: dict[ids.PoolId, placement.JobQueue] = {}
        self._tasks: dict[ids.JobId, tasks.Task] = {}
        self._team_tasks: dict[ids.TeamId, dict[ids.JobId, None]] = {}
        self._placing: dict[ids.JobId, _Placing] = {}
        self._claims: dict[ids.JobId, _Claim] = {}
        self._claimed: dict[ids.HostId, dict[ids.JobId, None]] = {}
        # Workers on which preemption for an urgent job did not succeed.
        self._unyielding: dict[ids.JobId, frozenset[ids.HostId]] = {}
        self._delayed: set[ids.JobId] = set()
        self._postponed: set[ids.PoolId] = set()
        self._placements_left = MAX_PLACEMENTS
        self._results: dict[ids.JobId, commands.RecordTaskResult] = {}
        self._calls = calls.Calls(self._agenda)
        self._renewals: list[commands.LeaseHolder] = []
        self._journal = journal.Journal()
        self._actions: list[events.Action] = []

    def handle(
        self,
        event: events.Event,
        state: records.State,
        epoch: ids.Epoch | None,
        now: ids.WallTime,
    ) -> list[events.Action]:
        """Return the actions that follow; ``now`` is a wall time in s.

        ``state`` has the event's command applied already.
        """
        if epoch is None:
            if self._epoch is not None:
                self._reset()
            return []
        self._state = state
        self._epoch = epoch
        self._placements_left = MAX_PLACEMENTS
        _handle(event, self, now)
        actions, self._actions = self._actions, []
        return actions + self._journal.take()

    def get_dump(self) -> dict[str, Any]:
        """Return what the planner holds besides the replicated state."""
        return {
            'running': len(self._tasks),
            'placing': len(self._placing),
            'preempting': sorted(self._claims),
            'waiting': {
                pool: len(queue)
                for pool, queue in sorted(self._queues.items())
            },
            'open_calls': len(self._calls),
            'agenda': len(self._agenda),
        }

    def count_tasks(self, worker: ids.HostId) -> int:
        """Return how many tasks may run on a worker."""
        found = self._table.get(worker)
        return 0 if found is None else len(found.tasks)

    # Following the replicated state.

    def _gain(self, now: float) -> None:
        state, epoch = self._state, self._epoch
        self._reset()
        self._state, self._epoch = state, epoch
        self._version = state.version
        self._jobs = {job.name: job for job in state.document.jobs}
        self._hosts = {host.name: host for host in state.document.hosts}
        self._ledger.set_quotas(state.document.teams)
        for name in self._hosts:
            self._follow_host(name, now)
        self._learn_from_attempts(now)
        for name in state.jobs:
            self._follow_job(name, now)
        # Reports that came between two leaders were not acted on.
        # Once in an epoch: a manager that fell behind also gains again, and
        # more reports would set it back further.
        if self._replayed != epoch:
            self._replayed = epoch
            self._actions.append(events.ReplayReports(REPLAY_S))
        for pool in self._queues:
            self._place(pool, now)

    def _learn_from_attempts(self, now: float) -> None:
        ended = [
            (attempt.ended, name, attempt)
            for name, record in self._state.jobs.items()
            for attempt in record.attempts
            if attempt.result is not None
        ]
        for _, name, attempt in sorted(ended, key=lambda item: item[:2]):
            self._judge(name, attempt.worker, attempt.result, now)

    def _follow_document(self, now: float) -> None:
        state = self._state
        if state.version == self._version:
            return
        missed = state.version - self._version
        deltas = state.deltas[-missed:]
        if len(deltas) < missed:
            self._gain(now)
            return
        self._version = state.version
        for delta in deltas:
            self._follow_edits(delta.edits, now)

    def _follow_edits(
        self, edits: tuple[changes.Edit, ...], now: float
    ) -> None:
        touched = {edit.section for edit in edits}
        if changes.Section.TEAMS in touched:
            self._ledger.set_quotas(self._state.document.teams)
            for team in self._state.document.teams:
                self._unpark(team.name, now)
        for edit in edits:
            if edit.section is changes.Section.HOSTS:
                _take_edit(self._hosts, edit, documents.Host)
                self._follow_host(ids.HostId(edit.name), now)
        pools = set()
        for edit in edits:
            if edit.section is changes.Section.JOBS:
                pools |= self._follow_job_edit(edit, now)
        if changes.Section.HOSTS in touched:
            pools |= set(self._queues)
        for pool in sorted(pools):
            self._place(pool, now)

    def _follow_job_edit(
        self, edit: changes.Edit, now: float
    ) -> set[ids.PoolId]:
        name = ids.JobId(edit.name)
        before = self._jobs.get(name)
        if before is not None:
            self._unqueue(before)
        _take_edit(self._jobs, edit, documents.Job)
        if name not in self._jobs:
            self._forget(name, now)
        self._follow_job(name, now)
        after = self._jobs.get(name)
        return {job.pool for job in (before, after) if job is not None}

    def _forget(self, name: ids.JobId, now: float) -> None:
        self._journal.record_job(
            name,
            'cancelled',
            {'running': name in self._tasks},
            'the document does not name the job any more',
        )
        self._drop_claim(name)
        self._blame.forget_job(name)
        self._unyielding.pop(name, None)
        self._journal.forget('job', name)

    def _follow_host(self, name: ids.HostId, now: float) -> None:
        record = self._state.hosts.get(name)
        host = self._hosts.get(name)
        before = self._table.get(name)
        if record is None or host is None:
            if before is not None:
                self._table.follow(
                    name, before.pool, before.total, before.epoch, None
                )
            return
        old_state = None if before is None else before.state
        worker = self._table.follow(
            name,
            record.pool,
            workers.Size(host.cores, host.memory_gb, host.accelerators),
            record.epoch,
            record.state,
        )
        if record.state is states.HostState.DRAINING:
            self._agenda.add(now, agenda.Duty.CHECK_DRAIN, name)
            self._check_drain(worker, now)
        if (
            record.state is states.HostState.SERVING
            and old_state is states.HostState.PROVING
        ):
            self._blame.clear_worker(name)
            self._table.set_health(name, suspended=False, probation=False)

    def _follow_job(self, name: ids.JobId, now: float) -> None:
        """Compare the record of a job with what is known, and catch up."""
        record = self._state.jobs.get(name)
        attempt = job_commands.get_running_attempt(record)
        task = self._tasks.get(name)
        if task is not None and (
            attempt is None or attempt.number != task.attempt
        ):
            self._end_task(task, record, now)
        if attempt is not None and name not in self._tasks:
            self._begin_task(name, record, attempt, now)
        placing = self._placing.get(name)
        if placing is not None and (
            record is None or record.placed >= placing.attempt
        ):
            self._undo_placing(name)
        if record is None:
            return
        if record.state is states.JobState.WAITING:
            self._queue(name, now)
        elif name in self._jobs:
            self._unqueue(self._jobs[name])
        if record.state is states.JobState.CANCELLED:
            self._ask(self._tasks[name], events.CallKind.STOP_TASK, now)
        if record.state in _HELD_STATES:
            self._journal.record_held(name, record)

    # Tasks.

    def _begin_task(
        self,
        name: ids.JobId,
        record: records.JobRecord,
        attempt: records.AttemptRecord,
        now: float,
    ) -> None:
        placing = self._placing.get(name)
        fresh = placing is not None and placing.attempt == attempt.number
        self._undo_placing(name)
        self._drop_claim(name)
        task = self._build_task(name, record, attempt)
        self._tasks[name] = task
        # A host that left the document holds no room any more.
        if self._table.get(task.worker) is not None:
            self._table.reserve(task.worker, name, task.size, not task.urgent)
        self._ledger.charge(task.team, task.size)
        self._team_tasks.setdefault(task.team, {})[name] = None
        self._await_renewal(task, now)
        self._await_lease_end(task)
        call = self._build_call(
            events.CallKind.START_TASK,
            task,
            {
                'cores': task.size.cores,
                'memory_gb': task.size.memory_gb,
                'accelerators': task.size.accelerators,
                'job_class': task.job_class,
                'lease_until': task.lease_until,
                'checkpoint': record.checkpoint,
            },
        )
        if fresh:
            self._send(call, task, now)
            return
        self._calls.open(call, task, now + CONFIRM_S)

    def _build_task(
        self,
        name: ids.JobId,
        record: records.JobRecord,
        attempt: records.AttemptRecord,
    ) -> tasks.Task:
        job = self._jobs.get(name)
        run_time_s = 0.0 if job is None else self._learner.get_run_time(job)
        return tasks.Task(
            job=name,
            attempt=attempt.number,
            worker=attempt.worker,
            pool=record.pool,
            team=ids.TeamId('') if job is None else job.team,
            job_class=ids.JobClass('') if job is None else job.job_class,
            size=workers.Size(
                attempt.cores, attempt.memory_gb, attempt.accelerators
            ),
            started=attempt.started,
            lease_until=attempt.lease_until,
            idempotent=record.idempotent,
            urgent=job is not None and job.urgent,
            run_time_s=run_time_s,
            resumed=record.checkpoint > 0,
        )

    def _end_task(
        self,
        task: tasks.Task,
        record: records.JobRecord | None,
        now: float,
    ) -> None:
        del self._tasks[task.job]
        del self._team_tasks[task.team][task.job]
        self._results.pop(task.job, None)
        self._calls.close_all(task)
        self._table.release(task.worker, task.job)
        self._ledger.refund(task.team, task.size)
        self._learner.note_usage(
            task.job_class, task.peak_cores, task.peak_memory_gb
        )
        result = _get_result(record, task.attempt)
        if result is states.TaskResult.SUCCEEDED and not task.resumed:
            self._learner.note_run_time(task.job_class, now - task.started)
        if result is states.TaskResult.LOST:
            self._table.set_reachable(task.worker, False)
        self._judge(task.job, task.worker, result, now)
        self._journal.record_job(
            task.job,
            f'attempt {task.attempt} ended: '
            + ('removed' if result is None else result.value),
            {'worker': task.worker},
            'as reported or after the end of the lease',
        )
        if task.job not in self._jobs:
            self._journal.forget('job', task.job)
        self._unpark(task.team, now)
        self._serve_claims(task.worker, now)

    def _judge(
        self,
        job: ids.JobId,
        worker: ids.HostId,
        result: states.TaskResult | None,
        now: float,
    ) -> None:
        verdicts: list[blame.Verdict] = []
        if result is states.TaskResult.SUCCEEDED:
            verdicts = self._blame.note_success(job, worker)
        elif result is states.TaskResult.FAILED:
            verdicts = self._blame.note_failure(job, worker)
        for verdict in verdicts:
            _follow_verdict(verdict, self, now)

    # Calls to the platform.

    def _build_call(
        self,
        kind: events.CallKind,
        task: tasks.Task,
        parameters: dict[str, Any],
        number: int = 0,
    ) -> events.CallPlatform:
        worker = self._table.get(task.worker)
        host_epoch = ids.Epoch(0) if worker is None else worker.epoch
        return tasks.build_call(
            kind, task, self._epoch, host_epoch, parameters, number
        )

    def _send(
        self, call: events.CallPlatform, task: tasks.Task, now: float
    ) -> None:
        if self._calls.open(call, task, now + calls.REPEAT_S):
            self._actions.append(call)

    def _ask(
        self, task: tasks.Task, kind: events.CallKind, now: float
    ) -> None:
        """Ask a task to leave; a stronger request replaces a weaker one."""
        if _LEAVING_ORDER[kind] <= _LEAVING_ORDER[task.leaving]:
            return
        task.leaving = kind
        # A task that leaves must not be started by a repeated call.
        if kind is events.CallKind.STOP_TASK:
            self._calls.close_start(task)
        if self._table.get(task.worker) is not None:
            self._table.reserve(task.worker, task.job, task.size, False)
        self._send(self._build_call(kind, task, {}), task, now)

    def _repeat_call(self, name: ids.CallId, now: float) -> None:
        call = self._calls.get(name)
        if call is None:
            return
        if self._calls.repeat(name, now) is not None:
            self._actions.append(call)
        task = self._tasks[call.job]
        silent = now - max(task.started, task.heard) >= START_LIMIT_S
        if call.kind is events.CallKind.START_TASK and silent:
            self._close_worker(task.worker)

    def _close_worker(self, worker: ids.HostId) -> None:
        if self._table.set_reachable(worker, False):
            self._journal.record(
                'host',
                worker,
                'gets no new tasks',
                {'limit_s': START_LIMIT_S},
                'a worker that does not answer is passed over',
                'any report or answer from the worker',
            )

    def _hear(self, task: tasks.Task, now: float) -> None:
        task.heard = now
        if self._table.set_reachable(task.worker, True):
            self._reopen(task.worker, now)

    def _reopen(self, worker: ids.HostId, now: float) -> None:
        self._journal.forget('host', worker)
        self._place(self._table.get(worker).pool, now)

    def _confirm(self, task: tasks.Task, now: float) -> None:
        task.confirmed = True
        self._calls.close_start(task)
        self._hear(task, now)

    # Results.

    def _take_report(self, event: events.TaskReported, now: float) -> None:
        if self._table.set_reachable(event.worker, True):
            self._reopen(event.worker, now)
        task = self._tasks.get(event.job)
        if task is None or task.attempt != event.attempt:
            self._take_late_report(event, now)
            return
        self._confirm(task, now)
        task.cores_used = event.cores_used
        task.peak_cores = max(task.peak_cores, event.cores_used)
        task.peak_memory_gb = max(task.peak_memory_gb, event.memory_used_gb)
        if event.result is not None:
            self._propose_result(event, now)

    def _take_late_report(
        self, event: events.TaskReported, now: float
    ) -> None:
        record = self._state.jobs.get(event.job)
        if event.result is None or event.result is states.TaskResult.LOST:
            return
        if not job_commands.is_late_result(record, event.attempt):
            return
        if event.job in self._placing:
            return
        self._journal.record_job(
            event.job,
            f'attempt {event.attempt} has a late result: {event.result.value}',
            {'worker': event.worker},
            'a reported result replaces the conclusion from its lease',
        )
        self._propose_result(event, now)

    def _propose_result(self, event: events.TaskReported, now: float) -> None:
        proposed = self._results.get(event.job)
        # A report goes before the conclusion that the attempt is lost.
        if proposed is not None and proposed.reported:
            return
        command = commands.RecordTaskResult(
            time=ids.WallTime(now),
            job=event.job,
            attempt=event.attempt,
            result=event.result,
            reason=event.reason,
            epoch=self._epoch,
            reported=True,
        )
        self._propose_command(command, now)

    def _propose_command(
        self, command: commands.RecordTaskResult, now: float
    ) -> None:
        self._results[command.job] = command
        self._actions.append(events.Propose(command))
        self._agenda.add(
            now + RESULT_REPEAT_S,
            agenda.Duty.REPEAT_RESULT,
            command.job,
            command.attempt,
        )

    def _repeat_result(self, entry: agenda.Entry, now: float) -> None:
        command = self._results.get(ids.JobId(entry.subject))
        if command is None or command.attempt != entry.attempt:
            return
        del self._results[command.job]
        task = self._tasks.get(command.job)
        record = self._state.jobs.get(command.job)
        if (
            task is not None and task.attempt == command.attempt
        ) or job_commands.is_late_result(record, command.attempt):
            # State time does not go back, so the old time stays valid.
            self._propose_command(command, now)

    # Leases.

    def _renew_lease(self, entry: agenda.Entry, now: float) -> None:
        task = self._tasks.get(ids.JobId(entry.subject))
        if task is None or task.attempt != entry.attempt:
            return
        if now >= task.lease_until or now < task.renew_at:
            return
        if now - max(task.heard, task.started) > REPORT_SILENCE_S:
            self._agenda.add(
                now + RENEW_RETRY_S,
                agenda.Duty.RENEW_LEASE,
                task.job,
                task.attempt,
            )
            return
        self._renewals.append(commands.LeaseHolder(task.job, task.attempt))
        self._agenda.add(
            now + RENEW_RETRY_S,
            agenda.Duty.RENEW_LEASE,
            task.job,
            task.attempt,
        )

    def _await_renewal(self, task: tasks.Task, now: float) -> None:
        task.renew_at = tasks.get_renewal_time(task, now)
        self._agenda.add(
            task.renew_at, agenda.Duty.RENEW_LEASE, task.job, task.attempt
        )

    def _flush_renewals(self, now: float) -> None:
        groups: dict[float, list[commands.LeaseHolder]] = {}
        for holder in self._renewals:
            run_time_s = self._tasks[holder.job].run_time_s
            groups.setdefault(
                tasks.get_renewed_lease_s(run_time_s), []
            ).append(holder)
        self._renewals = []
        for lease_s, holders in groups.items():
            for start in range(0, len(holders), MAX_RENEWALS):
                command = commands.RenewLeases(
                    time=ids.WallTime(now),
                    epoch=self._epoch,
                    holders=tuple(holders[start : start + MAX_RENEWALS]),
                    lease_until=ids.WallTime(now + lease_s),
                )
                self._actions.append(events.Propose(command))

    def _follow_renewal(
        self, command: commands.RenewLeases, now: float
    ) -> None:
        for holder in command.holders:
            task = self._tasks.get(holder.job)
            if task is None or task.attempt != holder.attempt:
                continue
            if command.lease_until <= task.lease_until:
                continue
            task.lease_until = command.lease_until
            self._await_renewal(task, now)
            call = self._build_call(
                events.CallKind.RENEW_TASK,
                task,
                {'lease_until': task.lease_until},
                int(task.lease_until),
            )
            self._send(call, task, now)

    def _await_lease_end(self, task: tasks.Task) -> None:
        self._agenda.add(
            task.lease_until + job_commands.LEASE_GRACE_S,
            agenda.Duty.END_LEASE,
            task.job,
            task.attempt,
        )

    def _end_lease(self, entry: agenda.Entry, now: float) -> None:
        task = self._tasks.get(ids.JobId(entry.subject))
        if task is None or task.attempt != entry.attempt:
            return
        if now < task.lease_until + job_commands.LEASE_GRACE_S:
            self._await_lease_end(task)
            return
        if task.job in self._results:
            return
        self._propose_command(
            commands.RecordTaskResult(
                time=ids.WallTime(now),
                job=task.job,
                attempt=task.attempt,
                result=states.TaskResult.LOST,
                reason=f'no result from {task.worker} within its lease',
                epoch=self._epoch,
            ),
            now,
        )

    # Waiting jobs.

    def _queue(self, name: ids.JobId, now: float) -> None:
        job = self._jobs.get(name)
        if job is None or name in self._placing or name in self._claims:
            return
        queue = self._queues.setdefault(job.pool, placement.JobQueue())
        if name in queue or name in self._delayed:
            return
        delay_s = self._get_retry_delay(name)
        if delay_s:
            self._delayed.add(name)
            self._agenda.add(now + delay_s, agenda.Duty.END_DELAY, name)
            return
        self._enter_queue(queue, job, now)

    def _get_retry_delay(self, name: ids.JobId) -> float:
        failures = len(self._blame.get_failed_workers(name))
        attempts = self._state.jobs[name].attempts
        refused = states.TaskResult.NOT_STARTED
        if attempts and attempts[-1].result is refused:
            failures += 1
        if not failures:
            return 0.0
        return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2.0 ** (failures - 1))

    def _enter_queue(
        self,
        queue: placement.JobQueue,
        job: documents.Job,
        now: float,
    ) -> None:
        run_time_s = self._learner.get_run_time(job)
        if job.deadline is not None:
            ahead_s = queue.committed_core_s / max(
                1.0, self._table.get_capacity(job.pool).cores
            )
            if now + ahead_s + run_time_s > job.deadline:
                self._journal.record_deadline_miss(job, ahead_s, run_time_s)
            else:
                self._agenda.add(
                    job.deadline - run_time_s,
                    agenda.Duty.CHECK_DEADLINE,
                    job.name,
                )
        queue.push(job, self._learner.get_size(job).cores * run_time_s)

    def _unqueue(self, job: documents.Job) -> None:
        queue = self._queues.get(job.pool)
        if queue is not None:
            queue.remove(job.name)
        self._delayed.discard(job.name)
        self._journal.forget('deadline', job.name)

    def _unpark(self, team: ids.TeamId, now: float) -> None:
        for pool, queue in self._queues.items():
            if queue.unpark(team):
                self._place_later(pool, now)

    # Placement.

    def _place(self, pool: ids.PoolId, now: float) -> None:
        """Place waiting jobs of a pool, in order, within bounds."""
        queue = self._queues.get(pool)
        if queue is None:
            return
        passed_over: list[documents.Job] = []
        too_large: list[workers.Size] = []
        while self._placements_left and len(passed_over) < MAX_PASSED_OVER:
            job = queue.pop(self._ledger)
            if job is None:
                break
            if self._place_job(queue, job, too_large, now):
                self._placements_left -= 1
            elif job.name in queue:
                passed_over.append(job)
        for job in passed_over:
            queue.put_back(job.name)
        if not self._placements_left:
            self._place_later(pool, now)

    def _place_later(self, pool: ids.PoolId, now: float) -> None:
        if pool in self._postponed:
            return
        self._postponed.add(pool)
        self._agenda.add(now, agenda.Duty.PLACE, pool)

    def _place_job(
        self,
        queue: placement.JobQueue,
        job: documents.Job,
        too_large: list[workers.Size],
        now: float,
    ) -> bool:
        """Return whether the job is placed, or leaves the queue."""
        size = self._learner.get_size(job)
        if not self._table.is_possible(job.pool, size):
            return self._refuse_size(queue, job, size, now)
        # Quota that tasks gave back for an urgent job is kept for it.
        if self._ledger.is_exceeded_by(job.team, size) or (
            queue.holds_urgent(job.team) and not job.urgent
        ):
            queue.park(job.name)
            self._journal.record_quota(
                job, size, self._ledger.get_quota(job.team)
            )
            if job.urgent:
                self._reclaim_quota(job, size, now)
            return True
        if not job.urgent and any(known.fits(size) for known in too_large):
            self._journal.record_no_room(job, size)
            return False
        avoided = self._blame.get_failed_workers(job.name)
        if avoided and not self._table.is_possible(job.pool, size, avoided):
            # It failed on every worker that is large enough.
            avoided = frozenset()
        worker = self._table.find_free(
            job.pool, size, avoided, proven=not job.idempotent
        )
        if worker is not None:
            queue.remove(job.name)
            self._propose_placement(job, worker, size, now)
            return True
        if job.urgent and self._preempt(job, size, avoided, now):
            queue.remove(job.name)
            return True
        if not avoided:
            too_large.append(size)
        self._journal.record_no_room(job, size)
        return False

    def _refuse_size(
        self,
        queue: placement.JobQueue,
        job: documents.Job,
        size: workers.Size,
        now: float,
    ) -> bool:
        queue.remove(job.name)
        reason = (
            f'fits no worker of pool {job.pool}: {size.cores:g} cores, '
            f'{size.memory_gb:g} GB, {size.accelerators} accelerators'
        )
        self._actions.append(
            events.Propose(
                commands.QuarantineJob(
                    time=ids.WallTime(now), job=job.name, reason=reason
                )
            )
        )
        self._retry_later(job.name, now)
        return True

    def _retry_later(self, name: ids.JobId, now: float) -> None:
        """Look at a job again, in case the proposal has no outcome."""
        self._delayed.add(name)
        self._agenda.add(now + PROPOSAL_LIMIT_S, agenda.Duty.END_DELAY, name)

    def _propose_placement(
        self,
        job: documents.Job,
        worker: ids.HostId,
        size: workers.Size,
        now: float,
    ) -> None:
        attempt = job_commands.get_next_attempt(self._state.jobs[job.name])
        self._placing[job.name] = _Placing(attempt, worker, job.team, size)
        self._table.reserve(worker, job.name, size, False)
        self._ledger.charge(job.team, size)
        self._agenda.add(
            now + PROPOSAL_LIMIT_S,
            agenda.Duty.END_PROPOSAL,
            job.name,
            attempt,
        )
        lease_s = tasks.get_lease_s(self._learner.get_run_time(job))
        self._actions.append(
            events.Propose(
                commands.PlaceTask(
                    time=ids.WallTime(now),
                    job=job.name,
                    attempt=attempt,
                    worker=worker,
                    epoch=self._epoch,
                    lease_until=ids.WallTime(now + lease_s),
                    cores=size.cores,
                    memory_gb=size.memory_gb,
                    accelerators=size.accelerators,
                )
            )
        )
        self._journal.record_job(
            job.name,
            f'attempt {attempt} placed on {worker}',
            {
                'cores': round(size.cores, 2),
                'memory_gb': round(size.memory_gb, 2),
                'share': round(self._ledger.get_share(job.team), 3),
            },
            'urgent work first, then deadlines, then the smallest share',
        )

    def _undo_placing(self, name: ids.JobId) -> None:
        placing = self._placing.pop(name, None)
        if placing is None:
            return
        self._table.release(placing.worker, name)
        self._ledger.refund(placing.team, placing.size)

    def _give_up_placing(
        self, name: ids.JobId, attempt: ids.Attempt, now: float
    ) -> None:
        placing = self._placing.get(name)
        if placing is None or placing.attempt != attempt:
            return
        self._undo_placing(name)
        self._follow_job(name, now)
        if name in self._jobs:
            self._place_later(self._jobs[name].pool, now)

    # Preemption.

    def _preempt(
        self,
        job: documents.Job,
        size: workers.Size,
        avoided: frozenset[ids.HostId],
        now: float,
    ) -> bool:
        avoided |= self._unyielding.get(job.name, frozenset())
        name = self._table.find_reclaimable(job.pool, size, avoided)
        if name is None:
            return False
        worker = self._table.get(name)
        candidates = [
            self._tasks[other]
            for other, held in worker.tasks.items()
            if held.preemptible
        ]
        victims = placement.select_victims(
            candidates, size.minus(worker.room), now
        )
        if not victims:
            return False
        self._claims[job.name] = _Claim(name, size)
        self._claimed.setdefault(name, {})[job.name] = None
        self._table.reserve(name, job.name, size, False)
        self._agenda.add(
            now + PREEMPTION_LIMIT_S, agenda.Duty.END_PREEMPTION, job.name
        )
        self._evict(victims, job, now)
        self._journal.record_job(
            job.name,
            f'waits for room on {name}',
            {'tasks_leaving': len(victims)},
            'no free room, so other tasks are checkpointed',
        )
        return True

    def _evict(
        self, victims: list[tasks.Task], job: documents.Job, now: float
    ) -> None:
        for victim in victims:
            self._ask(victim, events.CallKind.CHECKPOINT_TASK, now)
            self._agenda.add(
                now + CHECKPOINT_LIMIT_S,
                agenda.Duty.END_CHECKPOINT,
                victim.job,
                victim.attempt,
            )
            self._journal.record_job(
                victim.job,
                f'attempt {victim.attempt} gives way',
                {'to': job.name, 'worker': victim.worker},
                'urgent work starts at once; the cheapest tasks leave',
            )

    def _end_checkpoint(self, entry: agenda.Entry, now: float) -> None:
        """Stop a task that has not reached a checkpoint, if it may be."""
        task = self._tasks.get(ids.JobId(entry.subject))
        if task is None or task.attempt != entry.attempt:
            return
        if not self._calls.is_answered(task, events.CallKind.CHECKPOINT_TASK):
            # The worker does not answer, so urgent work tries another one.
            self._close_worker(task.worker)
            for name in list(self._claimed.get(task.worker, ())):
                self._end_preemption(name, now)
            return
        if task.idempotent:
            self._ask(task, events.CallKind.STOP_TASK, now)

    def _reclaim_quota(
        self, job: documents.Job, size: workers.Size, now: float
    ) -> None:
        """Let other tasks of the team give way to its urgent job."""
        candidates = [
            self._tasks[name]
            for name in self._team_tasks.get(job.team, ())
            if not self._tasks[name].urgent
        ]
        leaving = workers.Size()
        for task in candidates:
            if task.leaving is not None:
                leaving = leaving.plus(task.size)
        missing = self._ledger.get_excess(job.team, size).minus(leaving)
        staying = [task for task in candidates if task.leaving is None]
        victims = placement.select_victims(staying, missing, now)
        self._evict(victims, job, now)

    def _drop_claim(self, name: ids.JobId) -> None:
        claim = self._claims.pop(name, None)
        if claim is None:
            return
        self._claimed[claim.worker].pop(name)
        if not self._claimed[claim.worker]:
            del self._claimed[claim.worker]
        self._table.release(claim.worker, name)

    def _serve_claims(self, worker_name: ids.HostId, now: float) -> None:
        for name in list(self._claimed.get(worker_name, ())):
            worker = self._table.get(worker_name)
            if not workers.Size().fits(worker.room):
                return
            claim = self._claims[name]
            job = self._jobs[name]
            self._drop_claim(name)
            if not worker.is_open or self._ledger.is_exceeded_by(
                job.team, claim.size
            ):
                self._queue(name, now)
                self._place_later(job.pool, now)
                continue
            self._propose_placement(job, worker_name, claim.size, now)

    def _end_preemption(self, name: ids.JobId, now: float) -> None:
        claim = self._claims.get(name)
        if claim is None:
            return
        self._drop_claim(name)
        known = self._unyielding.get(name, frozenset())
        self._unyielding[name] = known | {claim.worker}
        self._queue(name, now)
        self._place(self._jobs[name].pool, now)

    # Workers.

    def _check_drain(self, worker: workers.Worker, now: float) -> None:
        """Checkpoint the tasks of a draining worker that would run long."""
        if worker.state is not states.HostState.DRAINING:
            return
        waits = False
        for name in list(worker.tasks):
            task = self._tasks.get(name)
            if task is None:
                continue
            if 0 < task.expected_end - now <= DRAIN_FINISH_S:
                waits = True
                continue
            self._ask(task, events.CallKind.CHECKPOINT_TASK, now)
            self._journal.record_job(
                name,
                f'attempt {task.attempt} is checkpointed',
                {'worker': worker.name},
                'its worker drains and the task would run on for long',
            )
        if waits:
            self._agenda.add(
                now + DRAIN_FINISH_S, agenda.Duty.CHECK_DRAIN, worker.name
            )

    def _take_host_report(
        self, event: events.HostReported, now: float
    ) -> None:
        up = event.state is events.ReportedState.UP
        changed = self._table.set_reachable(event.host, up)
        worker = self._table.get(event.host)
        if worker is None:
            return
        if changed and up:
            self._reopen(event.host, now)
        running = [
            self._tasks[name] for name in worker.tasks if name in self._tasks
        ]
        usage = workers.Size(event.cores_used, event.memory_used_gb)
        step = self._pressure.get_step(worker, usage, running, now)
        if step is not None:
            _follow_step(step, self, now)

    def _try_worker(self, name: ids.HostId, now: float) -> None:
        if not self._blame.is_suspended(name):
            return
        worker = self._table.get(name)
        if worker is None:
            return
        self._blame.begin_probation(name)
        self._table.set_health(name, suspended=False, probation=True)
        self._journal.record(
            'host',
            name,
            'gets one task on probation',
            {},
            'the suspension has ended',
            'one success reinstates the worker',
        )
        self._place(worker.pool, now)


_HELD_STATES = frozenset(
    {states.JobState.UNKNOWN, states.JobState.QUARANTINED}
)


def _take_edit(items: dict, edit: changes.Edit, item_type: type) -> None:
    if edit.value is None:
        items.pop(edit.name, None)
        return
    items[edit.name] = msgspec.json.decode(edit.value, type=item_type)


def _get_result(
    record: records.JobRecord | None, number: ids.Attempt
) -> states.TaskResult | None:
    if record is None:
        return None
    for attempt in reversed(record.attempts):
        if attempt.number == number:
            return attempt.result
    return None


@functools.singledispatch
def _handle(event: Any, planner: JobPlanner, now: float) -> None:
    """Events about other matters change nothing here."""


@_handle.register
def _(event: events.LeadershipGained, planner: JobPlanner, now: float) -> None:
    planner._gain(now)


@_handle.register
def _(event: events.CommandApplied, planner: JobPlanner, now: float) -> None:
    _follow(event.command, planner, now)


@_handle.register
def _(event: events.CommandRefused, planner: JobPlanner, now: float) -> None:
    command = event.command
    if not isinstance(command, commands.PlaceTask):
        return
    # A refused proposal of an earlier leader says nothing about this one.
    if command.epoch == planner._epoch:
        planner._give_up_placing(command.job, command.attempt, now)


@_handle.register
def _(event: events.TaskReported, planner: JobPlanner, now: float) -> None:
    planner._take_report(event, now)


@_handle.register
def _(event: events.HostReported, planner: JobPlanner, now: float) -> None:
    planner._take_host_report(event, now)


@_handle.register
def _(event: events.PlatformAnswered, planner: JobPlanner, now: float) -> None:
    call = planner._calls.get(event.call)
    if call is None:
        return
    task = planner._tasks[call.job]
    starts = call.kind is events.CallKind.START_TASK
    if event.accepted:
        planner._calls.close(event.call)
        if starts:
            planner._confirm(task, now)
        return
    if starts and event.ran is states.Ran.NO:
        planner._propose_result(
            events.TaskReported(
                task.job,
                task.attempt,
                task.worker,
                states.TaskResult.NOT_STARTED,
                reason=event.reason,
            ),
            now,
        )


@_handle.register
def _(event: events.TimerFired, planner: JobPlanner, now: float) -> None:
    planner._calls.start_tick()
    for entry in planner._agenda.take_due(now):
        _DUTIES[entry.duty](planner, entry, now)
    planner._flush_renewals(now)


def _end_delay(planner: JobPlanner, entry: agenda.Entry, now: float) -> None:
    name = ids.JobId(entry.subject)
    job = planner._jobs.get(name)
    if name not in planner._delayed or job is None:
        return
    planner._delayed.discard(name)
    record = planner._state.jobs.get(name)
    if record is None or record.state is not states.JobState.WAITING:
        return
    queue = planner._queues.setdefault(job.pool, placement.JobQueue())
    planner._enter_queue(queue, job, now)
    planner._place(job.pool, now)


def _check_deadline(
    planner: JobPlanner, entry: agenda.Entry, now: float
) -> None:
    job = planner._jobs.get(ids.JobId(entry.subject))
    queue = None if job is None else planner._queues.get(job.pool)
    if queue is not None and job.name in queue:
        planner._journal.record_deadline_miss(
            job, 0.0, planner._learner.get_run_time(job)
        )


def _check_drain(planner: JobPlanner, entry: agenda.Entry, now: float) -> None:
    worker = planner._table.get(ids.HostId(entry.subject))
    if worker is not None:
        planner._check_drain(worker, now)


def _place_postponed(
    planner: JobPlanner, entry: agenda.Entry, now: float
) -> None:
    planner._postponed.discard(entry.subject)
    planner._place(entry.subject, now)


_DUTIES = {
    agenda.Duty.REPEAT_CALL: lambda planner, entry, now: planner._repeat_call(
        entry.subject, now
    ),
    agenda.Duty.RENEW_LEASE: lambda planner, entry, now: planner._renew_lease(
        entry, now
    ),
    agenda.Duty.END_LEASE: lambda planner, entry, now: planner._end_lease(
        entry, now
    ),
    agenda.Duty.REPEAT_RESULT: lambda planner, entry, now: (
        planner._repeat_result(entry, now)
    ),
    agenda.Duty.END_PROPOSAL: lambda planner, entry, now: (
        planner._give_up_placing(entry.subject, entry.attempt, now)
    ),
    agenda.Duty.END_PREEMPTION: lambda planner, entry, now: (
        planner._end_preemption(entry.subject, now)
    ),
    agenda.Duty.END_CHECKPOINT: lambda planner, entry, now: (
        planner._end_checkpoint(entry, now)
    ),
    agenda.Duty.END_DELAY: _end_delay,
    agenda.Duty.CHECK_DEADLINE: _check_deadline,
    agenda.Duty.CHECK_DRAIN: _check_drain,
    agenda.Duty.TRY_WORKER: lambda planner, entry, now: planner._try_worker(
        entry.subject, now
    ),
    agenda.Duty.PLACE: _place_postponed,
}


@functools.singledispatch
def _follow(command: Any, planner: JobPlanner, now: float) -> None:
    """Commands about other matters change nothing here."""


@_follow.register
def _(
    command: commands.ChangeDocument, planner: JobPlanner, now: float
) -> None:
    planner._follow_document(now)


@_follow.register(commands.SetHostState)
@_follow.register(commands.MoveHost)
def _(command: Any, planner: JobPlanner, now: float) -> None:
    planner._follow_host(command.host, now)
    worker = planner._table.get(command.host)
    if worker is not None and worker.is_open:
        planner._place(worker.pool, now)


@_follow.register(commands.PlaceTask)
@_follow.register(commands.QuarantineJob)
def _(command: Any, planner: JobPlanner, now: float) -> None:
    # Neither gives room back, so no other job can be placed now.
    planner._delayed.discard(command.job)
    planner._follow_job(command.job, now)


@_follow.register(commands.RecordTaskResult)
def _(command: Any, planner: JobPlanner, now: float) -> None:
    task = planner._tasks.get(command.job)
    planner._delayed.discard(command.job)
    planner._follow_job(command.job, now)
    job = planner._jobs.get(command.job)
    pools = {task.pool} if task is not None else set()
    if job is not None:
        pools.add(job.pool)
    for pool in sorted(pools):
        planner._place(pool, now)


@_follow.register
def _(command: commands.RenewLeases, planner: JobPlanner, now: float) -> None:
    planner._follow_renewal(command, now)


@functools.singledispatch
def _follow_verdict(verdict: Any, planner: JobPlanner, now: float) -> None:
    raise TypeError(f'unknown verdict {type(verdict).__name__}')


@_follow_verdict.register
def _(verdict: blame.SuspendWorker, planner: JobPlanner, now: float) -> None:
    planner._table.set_health(verdict.worker, suspended=True, probation=False)
    planner._agenda.add(
        now + verdict.suspended_s, agenda.Duty.TRY_WORKER, verdict.worker
    )
    planner._journal.record(
        'host',
        verdict.worker,
        'gets no more work',
        {'jobs': list(verdict.jobs), 'suspended_s': verdict.suspended_s},
        'it failed different jobs in a row',
        'the end of the suspension, or maintenance of the host',
    )


@_follow_verdict.register
def _(verdict: blame.ReinstateWorker, planner: JobPlanner, now: float) -> None:
    planner._table.set_health(verdict.worker, suspended=False, probation=False)
    planner._journal.record(
        'host',
        verdict.worker,
        'takes work again',
        {},
        'a job succeeded on it, or the jobs that it failed are at fault',
    )


@_follow_verdict.register
def _(verdict: blame.BlameJob, planner: JobPlanner, now: float) -> None:
    record = planner._state.jobs.get(verdict.job)
    if record is None or record.state is not states.JobState.WAITING:
        return
    job = planner._jobs.get(verdict.job)
    if job is not None:
        planner._unqueue(job)
    planner._actions.append(
        events.Propose(
            commands.QuarantineJob(
                time=ids.WallTime(now),
                job=verdict.job,
                reason='failed on workers that run other work: '
                + ', '.join(verdict.workers),
            )
        )
    )
    planner._retry_later(verdict.job, now)


@functools.singledispatch
def _follow_step(step: Any, planner: JobPlanner, now: float) -> None:
    raise TypeError(f'unknown step {type(step).__name__}')


@_follow_step.register
def _(step: pressure.Throttle, planner: JobPlanner, now: float) -> None:
    call = planner._build_call(
        events.CallKind.THROTTLE_TASK,
        step.task,
        {'cores': step.cores},
        int(now),
    )
    planner._send(call, step.task, now)
    planner._journal.record_job(
        step.task.job,
        f'attempt {step.task.attempt} is limited to {step.cores:g} cores',
        {'worker': step.task.worker},
        'its worker uses more than it has',
    )


@_follow_step.register
def _(step: pressure.Evict, planner: JobPlanner, now: float) -> None:
    planner._ask(step.task, step.kind, now)
    planner._journal.record_job(
        step.task.job,
        f'attempt {step.task.attempt}: {step.kind.value}',
        {'worker': step.task.worker},
        'its worker uses more than it has; the cheapest task leaves',
    )


@_follow_step.register
def _(step: pressure.KeepAll, planner: JobPlanner, now: float) -> None:
    planner._journal.record(
        'host',
        step.worker,
        'keeps its tasks although it is overfull',
        {},
        'none of its tasks may be stopped without harm',
        'the end of a task',
    )
