"""Runners: they report by heartbeats and run what the answers order."""

import asyncio
import dataclasses
import time

import aiohttp

from review.standins import record

SERVICE = 'red'
# Longest wait for the answer to a heartbeat; later ones are dropped.
ANSWER_S = 1.0
HEARTBEAT_S = 1.5
END_DELAY_S = 0.05
HOLD_MAX_S = 6.0
# Time that a stop takes; less than `stop_timeout_ms`.
STOP_S = 0.3
START_UP_S = 0.3
FAIL_S = 0.1


@dataclasses.dataclass
class Run:
    """One run of a task."""

    task: str
    attempt: int
    step: dict
    saved: str
    started_at: float
    ends_at: float | None
    is_stopping: bool = False
    how: str = 'done'

    def get_percent(self, now: float) -> int:
        """Return the progress; a lasting task is at work at 100."""
        if self.step.get('long_running'):
            return 100 if now >= self.started_at + START_UP_S else 0
        if self.ends_at is None:
            return 0
        span = max(0.001, self.ends_at - self.started_at)
        return max(0, min(99, int(100 * (now - self.started_at) / span)))


class World:
    """All runs, the jobs that clients have sent, and the rule on TWICE."""

    def __init__(self, log: record.Record) -> None:
        self.record = log
        # Bodies of the submitted jobs by id.
        self.jobs: dict[str, dict] = {}
        self.runners: list[Runner] = []
        # Names of done tasks whose end was taken note of.
        self.done: set[str] = set()
        # Times at which the runs of a job began and ended.
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []

    def get_step(self, task: str) -> dict:
        """Return the step of a task as its client sent it."""
        job, _, position, _ = task.split('.')
        return self.jobs[job]['steps'][int(position)]

    def get_work_s(self, task: str) -> float:
        """Return how long a task works; the client's text says it."""
        job = task.partition('.')[0]
        return float(self.jobs[job]['spec'].partition(' ')[2])

    def get_live_runs(self, task: str) -> list[str]:
        """Return the runners that are up and run a task."""
        return [
            f'{runner.ident} run {run.attempt}'
            for runner in self.runners
            if runner.is_up
            for run in runner.running.values()
            if run.task == task
        ]

    def get_job_runs(self, job: str) -> int:
        """Return how many runs a job has."""
        return sum(
            run.task.startswith(f'{job}.')
            for runner in self.runners
            if runner.is_up
            for run in runner.running.values()
        )

    def note_start(self, runner: 'Runner', run: Run) -> None:
        """Record a start and check the rule TWICE."""
        others = self.get_live_runs(run.task)
        self.starts.append(
            (self.record.elapsed_s, run.task, run.attempt, runner.ident)
        )
        self.record.add(
            f'run {run.task} {run.attempt} starts on {runner.ident}'
            f' with saved={run.saved!r}'
        )
        if others:
            self.record.add_problem(
                f'TWICE {run.task} starts as run {run.attempt} on'
                f' {runner.ident} while it runs as {others}'
            )
        if run.task in self.done:
            self.record.add_problem(
                f'TWICE {run.task} starts again after its end was noted'
            )

    def note_end(self, runner: 'Runner', run: Run, how: str) -> None:
        """Record the end of a run."""
        self.ends.append(
            (
                self.record.elapsed_s,
                run.task,
                run.attempt,
                runner.ident,
                how,
            )
        )
        self.record.add(
            f'run {run.task} {run.attempt} ends {how} on {runner.ident}'
        )


class Runner:
    """One runner; ``crash`` and ``start`` end and begin a life of it."""

    def __init__(
        self,
        world: World,
        ident: str,
        machine: str,
        service: str,
        rack: str,
        control_addresses: list[str],
        cpus: int = 16_000,
    ) -> None:
        self.world = world
        self.ident = ident
        self.machine = machine
        self.service = service
        self.is_up = False
        # Fails all that it starts, with good heartbeats.
        self.is_faulty = False
        self.running: dict[tuple[str, int], Run] = {}
        self.sequence = 0
        self.born = 0
        self.labels = ['a', rack]
        self._cpus = cpus
        self._addresses = control_addresses
        self._position = 0
        self.leader = ''
        self._finished: list[list] = []
        self._number = 0
        self._fence = 0
        self._lease_end = 0.0
        # Highest run of each task that was stopped or has ended here.
        self._highest: dict[str, int] = {}
        self._woken = asyncio.Event()
        self._task: asyncio.Task | None = None
        world.runners.append(self)

    def start(self) -> None:
        """Begin a life that knows nothing of before."""
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.running = {}
        self._finished = []
        self._number = 0
        self._fence = 0
        self._lease_end = 0.0
        self._highest = {}
        self.leader = ''
        self.is_up = True
        self.world.record.add(f'runner {self.ident} is up, born {self.born}')
        self._task = asyncio.create_task(self._report_forever())

    async def crash(self) -> None:
        """End this life without a word."""
        self.is_up = False
        runs = [f'{r.task} {r.attempt}' for r in self.running.values()]
        self.world.record.add(f'runner {self.ident} crashes with {runs}')
        lost, self.running = list(self.running.values()), {}
        for run in lost:
            self.world.note_end(self, run, 'lost')
        await self.close()

    async def close(self) -> None:
        """Stop reporting."""
        self.is_up = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def wake(self) -> None:
        """Report soon, since a run has ended."""
        self._woken.set()

    def make_body(self) -> dict:
        """Return the body of a heartbeat."""
        now = time.monotonic()
        return {
            'service': self.service,
            'address': '127.0.0.1:9',
            'zone': 'kozep-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {'cpus': self._cpus, 'mem_mb': 65_536, 'gpus': 0},
            'labels': self.labels,
            'timestamp_ms': int(now * 1_000),
            'sequence': self.sequence,
            'born': self.born,
            'machine': self.machine,
            'running': [
                [
                    run.task,
                    run.attempt,
                    run.saved,
                    run.get_percent(now),
                    run.step.get('cpus', 0),
                ]
                for run in self.running.values()
            ],
            'finished': self._finished[:500],
        }

    async def _report_forever(self) -> None:
        timeout = aiohttp.ClientTimeout(total=ANSWER_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._end_due_runs()
                delay_s = await self._report(session)
                await self._wait(delay_s)

    async def _wait(self, delay_s: float) -> None:
        """Wait for the next heartbeat, or until a run ends."""
        due = time.monotonic() + delay_s
        while time.monotonic() < due and not self._woken.is_set():
            await asyncio.sleep(0.01)
            self._end_due_runs()
        if self._woken.is_set():
            self._woken.clear()
            await asyncio.sleep(END_DELAY_S)

    async def _report(self, session: aiohttp.ClientSession) -> float:
        self.sequence += 1
        sent_at = time.monotonic()
        address = self.leader or self._addresses[self._position]
        url = f'http://{address}/instances/{self.ident}'
        try:
            async with session.put(url, json=self.make_body()) as response:
                answer = await response.json()
                is_good = response.status // 100 == 2
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            is_good = False
        if not is_good or time.monotonic() - sent_at > ANSWER_S:
            self.leader = ''
            self._position = (self._position + 1) % len(self._addresses)
            return END_DELAY_S
        self.leader = answer.get('heartbeat_url') or self.leader
        self._apply(answer, sent_at)
        retry_ms = answer.get('retry_ms')
        return HEARTBEAT_S if retry_ms is None else retry_ms / 1_000.0

    def _apply(self, answer: dict, sent_at: float) -> None:
        fence = answer.get('fencing_token', 0)
        if fence < self._fence:
            return
        self._fence = fence
        has_lapsed = time.monotonic() >= self._lease_end
        hold_ms = answer.get('hold_ms')
        if hold_ms is not None:
            held_s = min(hold_ms / 1_000.0, HOLD_MAX_S)
            self._lease_end = max(self._lease_end, sent_at + held_s)
        self._forget_ends(answer.get('observed', 0), has_lapsed)
        for task, attempt in answer.get('stop', ()):
            self._stop(task, attempt)
        if hold_ms is None:
            return
        for task, attempt, spec, saved, *_ in answer.get('start', ()):
            self._start(task, attempt, spec, saved)

    def _forget_ends(self, observed: int, has_lapsed: bool) -> None:
        # An end does not count as noted if the lease lapsed before.
        for number, task, _, how, _ in self._finished:
            if number <= observed and how == 'done' and not has_lapsed:
                self.world.done.add(task)
        self._finished = [row for row in self._finished if row[0] > observed]

    def _stop(self, task: str, attempt: int) -> None:
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        run = self.running.get((task, attempt))
        if run is None or run.is_stopping:
            return
        self.world.record.add(f'run {task} {attempt} is told to stop')
        run.is_stopping = True
        run.how = 'stopped'
        run.ends_at = time.monotonic() + STOP_S

    def _start(self, task: str, attempt: int, spec: str, saved: str) -> None:
        world = self.world
        job = task.partition('.')[0]
        if job not in world.jobs or world.jobs[job]['spec'] != spec:
            world.record.add_problem(f'UNASKED {task} with text {spec!r}')
            return
        step = world.get_step(task)
        now = time.monotonic()
        run = Run(task, attempt, step, saved, now, None)
        reason = self._find_refusal(run)
        if reason:
            world.record.add(f'run {task} {attempt} is refused: {reason}')
            self._list_end(run, 'refused')
            return
        world.note_start(self, run)
        self.running[task, attempt] = run
        if self.is_faulty:
            run.how = 'failed'
            run.ends_at = now + FAIL_S
        elif not step.get('long_running'):
            run.ends_at = now + world.get_work_s(task)

    def _find_refusal(self, run: Run) -> str:
        if run.attempt <= self._highest.get(run.task, 0):
            return 'not a higher run'
        used = sum(r.step.get('cpus', 0) for r in self.running.values())
        if used + run.step.get('cpus', 0) > self._cpus:
            return 'no room'
        return ''

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        for key, run in list(self.running.items()):
            if now >= self._lease_end:
                run.how = 'lapsed'
            elif run.ends_at is None or now < run.ends_at:
                continue
            del self.running[key]
            self.world.note_end(self, run, run.how)
            self._list_end(run, run.how)

    def _list_end(self, run: Run, how: str) -> None:
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.attempt
        )
        self._number += 1
        self._finished.append(
            [self._number, run.task, run.attempt, how, run.saved]
        )
        self.wake()
