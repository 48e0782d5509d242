"""Fake workers that run tasks under leases and count their calls."""

import collections
import dataclasses
from typing import Any

REPORT_S = 1.0


@dataclasses.dataclass
class Work:
    """Actual needs of a job, which may differ from the declared ones."""

    run_s: float = 1.0
    cores: float = 1.0
    memory_gb: float = 1.0


@dataclasses.dataclass
class Answer:
    """Answer to a call; ``ran`` is the header Orioleshore-Ran."""

    status: int = 200
    ran: str = ''
    error: str = ''


@dataclasses.dataclass
class Run:
    """One attempt on a worker."""

    job: str
    attempt: int
    worker: str
    started: float
    progress_s: float
    lease_until: float
    work: Work
    reported_at: float
    result: str | None = None


class FakeTasks:
    """Runs tasks on fake workers; ``advance`` sets the time.

    A repeated call gets its first answer and is executed only once. An
    attempt that was refused, stopped before its start or superseded by a
    later one never starts.
    """

    def __init__(self, default: Work | None = None) -> None:
        self.default = default or Work()
        self.works: dict[str, Work] = {}
        self.failing_workers: set[str] = set()
        self.failing_jobs: set[str] = set()
        # Workers that are unreachable. Their end reports wait until they are
        # reachable again; progress reports are dropped.
        self.cut_off: set[str] = set()
        # Number of starts without and with a checkpoint, by job.
        self.starts: collections.Counter[str] = collections.Counter()
        self.resumes: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self._epoch = 0
        self._answers: dict[str, Answer] = {}
        self._newest: dict[str, int] = {}
        self._barred: set[tuple[str, int]] = set()
        self._checkpoints: dict[tuple[str, int], float] = {}
        self._unsent: list[tuple[str, dict[str, Any]]] = []

    def call(
        self,
        call: str,
        kind: str,
        epoch: int,
        worker: str,
        job: str,
        attempt: int,
        parameters: dict[str, Any],
        now: float,
    ) -> Answer:
        """Execute a call about a task, unless it is stale or repeated."""
        if epoch < self._epoch:
            self.refused += 1
            return Answer(409, '', 'stale epoch')
        self._epoch = epoch
        if call in self._answers:
            return self._answers[call]
        self.calls[kind] += 1
        act = getattr(self, f'_{kind}')
        answer = act(worker, job, attempt, parameters, now)
        self._answers[call] = answer
        return answer

    def advance(self, now: float) -> list[dict[str, Any]]:
        """Advance all tasks to ``now`` and return the reports sent."""
        for run in list(self.runs.values()):
            self._advance_run(run, now)
        sent = [
            report for host, report in self._unsent if host not in self.cut_off
        ]
        self._unsent = [
            item for item in self._unsent if item[0] in self.cut_off
        ]
        return sent

    def get_live_runs(self, job: str) -> list[Run]:
        """Return the running attempts of a job."""
        return [run for run in self.runs.values() if run.job == job]

    def _start_task(self, worker, job, attempt, parameters, now) -> Answer:
        key = (job, attempt)
        stale = attempt <= self._newest.get(job, 0)
        if key in self._barred or stale or parameters['lease_until'] < now:
            return Answer(409, 'no', 'the attempt may not start')
        self._newest[job] = attempt
        progress_s = 0.0
        checkpoint = (job, parameters.get('checkpoint', 0))
        if checkpoint in self._checkpoints:
            progress_s = self._checkpoints[checkpoint]
            self.resumes[job] += 1
        else:
            self.starts[job] += 1
        self.runs[key] = Run(
            job,
            attempt,
            worker,
            now,
            progress_s,
            parameters['lease_until'],
            self.works.get(job, self.default),
            now,
        )
        return Answer()

    def _renew_task(self, worker, job, attempt, parameters, now) -> Answer:
        run = self.runs.get((job, attempt))
        if run is not None:
            run.lease_until = max(run.lease_until, parameters['lease_until'])
        return Answer()

    def _checkpoint_task(
        self, worker, job, attempt, parameters, now
    ) -> Answer:
        run = self.runs.get((job, attempt))
        if run is None:
            return self._bar_attempt(worker, job, attempt)
        self._checkpoints[job, attempt] = run.progress_s + now - run.started
        self._end_run(run, 'checkpointed')
        return Answer()

    def _stop_task(self, worker, job, attempt, parameters, now) -> Answer:
        run = self.runs.get((job, attempt))
        if run is None:
            return self._bar_attempt(worker, job, attempt)
        self._end_run(run, 'stopped')
        return Answer()

    def _throttle_task(self, worker, job, attempt, parameters, now) -> Answer:
        run = self.runs.get((job, attempt))
        if run is not None:
            limit = min(run.work.cores, parameters['cores'])
            run.work = dataclasses.replace(run.work, cores=limit)
        return Answer()

    def _bar_attempt(self, worker: str, job: str, attempt: int) -> Answer:
        key = (job, attempt)
        if attempt > self._newest.get(job, 0) and key not in self._barred:
            self._barred.add(key)
            self._queue_report(worker, job, attempt, 'not_started')
        return Answer()

    def _advance_run(self, run: Run, now: float) -> None:
        failing = (
            run.worker in self.failing_workers or run.job in self.failing_jobs
        )
        if run.progress_s + now - run.started >= run.work.run_s:
            self._end_run(run, 'failed' if failing else 'succeeded')
        elif now >= run.lease_until:
            self._end_run(run, 'stopped')
        elif now - run.reported_at >= REPORT_S:
            run.reported_at = now
            if run.worker not in self.cut_off:
                self._queue_report(
                    run.worker, run.job, run.attempt, None, run.work
                )

    def _end_run(self, run: Run, result: str) -> None:
        del self.runs[run.job, run.attempt]
        self._queue_report(run.worker, run.job, run.attempt, result, run.work)

    def _queue_report(self, worker, job, attempt, result, work=None) -> None:
        used = work or Work(0.0, 0.0, 0.0)
        report = {
            'job': job,
            'attempt': attempt,
            'worker': worker,
            'result': result,
            'cores_used': used.cores,
            'memory_used_gb': used.memory_gb,
        }
        self._unsent.append((worker, report))
