"""A runner of the platform that gets its orders in answers to heartbeats.

It guards its capacity. What a task does is told by its `spec`, a JSON text:
`ms` of work (0: it lasts until it is stopped), `spread` (how much longer it
takes at most, different for each task), `size` (members of its gang), `saves`
(it saves its progress).
"""

import asyncio
import dataclasses
import json
import time
import zlib

import aiohttp

from lab import record

HOLD_MAX_S = 6.0
STOP_S = 0.1
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 0.5
RESTORE_S = 0.25
# Members of a gang notice after this time that another one has ended.
NEWS_S = 0.05
ANSWER_LIMIT_S = 1.0
ANSWER_LIMIT_BYTES = 4 * 1_048_576
MAX_LISTED_ENDS = 500
AFTER_END_S = 0.05
READY_AFTER_S = 0.3


@dataclasses.dataclass
class Run:
    """One run of a task."""

    task: str
    attempt: int
    content: dict
    need: tuple[int, int, int]
    saved: str
    started_at: float
    timer: asyncio.TimerHandle | None = None
    is_stopping: bool = False
    # When the work began; a member of a gang waits for the others.
    began_at: float | None = None


class Gangs:
    """The members of gangs that are present, over all runners."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, int, str], dict] = {}

    def join(self, runner: 'Runner', run: Run) -> None:
        """Add a member; the work begins once all are present.

        All members of one run of a gang carry the same checkpoint.
        """
        present = self._members.setdefault(_get_gang(run), {})
        present[run.task] = (runner, run)
        if len(present) == run.content['size']:
            for other, member in present.values():
                other.begin_work(member)

    def leave(self, run: Run, how: str) -> None:
        """Remove a member that has ended; break the others or end them."""
        present = self._members.get(_get_gang(run), {})
        present.pop(run.task, None)
        if how == 'alone':
            return
        others = list(present.values())
        for other, member in others:
            if member.began_at is None:
                continue
            if how == 'done':
                other.end_run(member, 'done')
                continue
            asyncio.get_running_loop().call_later(
                NEWS_S, other.end_run, member, 'broken'
            )


def _get_gang(run: Run) -> tuple[str, int, str]:
    return run.task.rpartition('.')[0], run.attempt, run.saved


class Runner:
    """One life of a machine."""

    def __init__(
        self,
        name: str,
        service: str,
        controls: list[str],
        log: record.Record,
        needs: dict[str, tuple[int, int, int]],
        capacity: tuple[int, int, int] = (64_000, 262_144, 0),
        zone: str = 'zone-a',
        rack: str = 'r1-1',
        kind: str = 'a',
        heartbeat_s: float = 1.5,
        gangs: Gangs | None = None,
    ) -> None:
        """Create the runner; ``needs`` holds what a task of a job takes.

        Its keys are ID.STEP.
        """
        self.name = name
        self._service = service
        self._controls = controls
        self._log = log
        self._needs = needs
        self._capacity = capacity
        self._zone = zone
        self._labels = [kind, rack]
        self._heartbeat_s = heartbeat_s
        self._gangs = gangs or Gangs()
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._token = 0
        self._lease_end = 0.0
        self._number = zlib.crc32(name.encode())
        self._next_node = self._number % len(controls)
        self._url = ''
        self._ends: list[list] = []
        self._end_count = 0
        self._known: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._due_at = 0.0
        self._session: aiohttp.ClientSession | None = None
        self._loop_task: asyncio.Task | None = None
        self.runs: dict[str, Run] = {}
        self.state = 'ready'
        self.is_up = False
        # Overall history for the check: [task, attempt, from, to, how].
        self.history: list[list] = []
        # Task, attempt and checkpoint of each start.
        self.starts: list[tuple[str, int, str]] = []
        self.observed = 0
        self.observed_at: dict[int, float] = {}
        # Number of the end of each run: (task, attempt) to N.
        self.end_numbers: dict[tuple[str, int], int] = {}
        # Whether all that it starts fails, though its state is `ready`.
        self.fails_all = False
        # Whether answers, also that to DELETE, are lost on their way.
        self.are_answers_lost = False
        self.answered_at = 0.0
        # When the lease had ended, also with nothing running.
        self.lapsed_at: list[float] = []
        self.largest_answer = 0
        self.too_large_answers = 0

    # Life.

    def start(self) -> None:
        """Start the process."""
        self.is_up = True
        self._session = aiohttp.ClientSession()
        self._loop_task = asyncio.create_task(self._beat_forever())
        self._log.add(self.name, 'up', born=self._born)

    async def crash(self) -> None:
        """End at once, without a word."""
        self._log.add(self.name, 'crashed', runs=len(self.runs))
        await self._end_life('crashed')

    async def leave(self, wait_s: float) -> None:
        """Announce the exit and end.

        Without an acknowledgement it ends all the same after ``wait_s``.
        """
        self._log.add(self.name, 'delete_sent', runs=len(self.runs))
        node = self._url or self._get_node()
        limit = aiohttp.ClientTimeout(total=wait_s)
        sent_at = self._log.get_now()
        try:
            async with self._session.delete(
                f'http://{node}/instances/{self.name}', timeout=limit
            ) as answer:
                await answer.read()
                if self.are_answers_lost:
                    await asyncio.sleep(
                        max(0.0, sent_at + wait_s - self._log.get_now())
                    )
                    self._log.add(self.name, 'delete_unanswered')
                else:
                    self._log.add(
                        self.name, 'delete_answered', status=answer.status
                    )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            await asyncio.sleep(
                max(0.0, sent_at + wait_s - self._log.get_now())
            )
            self._log.add(
                self.name, 'delete_unanswered', error=type(error).__name__
            )
        self._log.add(self.name, 'exits', runs=len(self.runs))
        await self._end_life('exited')

    async def _end_life(self, how: str) -> None:
        self.is_up = False
        for run in list(self.runs.values()):
            self._finish(run, how)
        if self._loop_task is not None:
            self._loop_task.cancel()
            await asyncio.gather(self._loop_task, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def stop(self) -> None:
        """End without a record, when the case is over."""
        if self.is_up:
            await self._end_life('case over')

    def get_row(self) -> dict:
        """Return the machine's row in the platform's list."""
        cpus, memory, accelerators = self._capacity
        return {
            'machine': f'm-{self.name}',
            'pool': self._service,
            'state': 'up' if self.is_up else 'down',
            'zone': self._zone,
            'labels': self._labels,
            'capacity': {
                'cpus': cpus,
                'mem_mb': memory,
                'gpus': accelerators,
            },
            'id': self.name,
        }

    # Heartbeats.

    def _get_node(self) -> str:
        return self._controls[self._next_node % len(self._controls)]

    async def _beat_forever(self) -> None:
        while self.is_up:
            wait_s = self._due_at - time.monotonic()
            if wait_s > 0:
                try:
                    async with asyncio.timeout(wait_s):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                self._wake.clear()
                if self._due_at > time.monotonic():
                    continue
            await self._beat()

    def _beat_soon(self, delay_s: float) -> None:
        due_at = time.monotonic() + delay_s
        if due_at < self._due_at:
            self._due_at = due_at
            self._wake.set()

    async def _beat(self) -> None:
        self._sequence += 1
        sequence = self._sequence
        sent_at = time.monotonic()
        self._due_at = sent_at + self._heartbeat_s
        self._check_lease()
        body = self._make_body()
        node = self._url or self._get_node()
        limit = aiohttp.ClientTimeout(total=ANSWER_LIMIT_S)
        try:
            async with self._session.put(
                f'http://{node}/instances/{self.name}',
                json=body,
                timeout=limit,
            ) as answer:
                content = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._fail_beat(sequence, type(error).__name__)
            return
        self.largest_answer = max(self.largest_answer, len(content))
        if self.are_answers_lost:
            # Nothing arrives, so the runner waits for its whole time limit.
            waited_s = time.monotonic() - sent_at
            await asyncio.sleep(max(0.0, ANSWER_LIMIT_S - waited_s))
            self._fail_beat(sequence, 'no answer')
        elif status != 200:
            self._fail_beat(sequence, f'status {status}')
        elif len(content) > ANSWER_LIMIT_BYTES:
            self.too_large_answers += 1
            self._fail_beat(sequence, f'answer of {len(content)} bytes')
        elif time.monotonic() - sent_at > ANSWER_LIMIT_S:
            self._fail_beat(sequence, 'late answer')
        else:
            self.answered_at = self._log.get_now()
            self._take_answer(sequence, json.loads(content), sent_at, body)

    def _fail_beat(self, sequence: int, why: str) -> None:
        self._log.add(
            self.name, 'beat_failed', sequence=sequence, why=repr(why)
        )
        self._url = ''
        self._next_node += 1
        self._due_at = time.monotonic() + 0.1

    def _make_body(self) -> dict:
        ends = self._ends[:MAX_LISTED_ENDS]
        if len(self._ends) > MAX_LISTED_ENDS:
            self._log.add(
                self.name,
                'ends_cut',
                listed=len(ends),
                kept_back=len(self._ends) - len(ends),
            )
        cpus, memory, accelerators = self._capacity
        body = {
            'service': self._service,
            'address': f'127.0.0.1:{10_000 + self._number % 20_000}',
            'zone': self._zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'machine': f'm-{self.name}',
            'capacity': {
                'cpus': cpus,
                'mem_mb': memory,
                'gpus': accelerators,
            },
            'labels': self._labels,
            'born': self._born,
            'timestamp_ms': int(time.monotonic() * 1_000),
            'sequence': self._sequence,
            'running': [
                [run.task, run.attempt, run.saved, self._get_percent(run), 0]
                for run in self.runs.values()
            ],
            'finished': ends,
        }
        if self.state == 'draining':
            body['remaining_ms'] = 1_000
        return body

    def _get_percent(self, run: Run) -> int:
        if run.began_at is None:
            return 0
        worked_s = time.monotonic() - run.began_at
        if not run.content['ms']:
            return 100 if worked_s >= READY_AFTER_S else 10
        return min(99, int(100 * worked_s * 1_000 / run.content['ms']))

    # Orders.

    def _take_answer(
        self, sequence: int, answer: dict, sent_at: float, body: dict
    ) -> None:
        self._url = answer.get('heartbeat_url') or self._url
        if 'retry_ms' in answer:
            self._due_at = time.monotonic() + answer['retry_ms'] / 1_000
        token = answer.get('fencing_token', 0)
        if token < self._token:
            return
        self._token = token
        observed = answer.get('observed', 0)
        if observed > self.observed:
            for number in range(self.observed + 1, observed + 1):
                self.observed_at[number] = self._log.get_now()
            self.observed = observed
            self._log.add(
                self.name,
                'observed',
                sequence=sequence,
                number=observed,
                listed=len(body['finished']),
                kept_back=len(self._ends) - len(body['finished']),
            )
            self._ends = [end for end in self._ends if end[0] > observed]
            if self._ends:
                self._beat_soon(AFTER_END_S)
        if 'hold_ms' not in answer:
            return
        hold_s = min(answer['hold_ms'] / 1_000, HOLD_MAX_S)
        self._lease_end = max(self._lease_end, sent_at + hold_s)
        asyncio.get_running_loop().call_at(
            self._lease_end + 0.001, self._check_lease
        )
        for task, attempt in answer.get('stop', ()):
            self._stop(task, attempt)
        for order in answer.get('start', ()):
            self._start(*order[:4])

    def _stop(self, task: str, attempt: int) -> None:
        run = self.runs.get(task)
        self._known[task] = max(self._known.get(task, 0), attempt)
        if run is None or run.attempt != attempt or run.is_stopping:
            return
        run.is_stopping = True
        self._log.add(self.name, 'stop', task=task, run=attempt)
        asyncio.get_running_loop().call_later(
            STOP_S, self.end_run, run, 'stopped'
        )

    def _start(self, task: str, attempt: int, spec: str, saved: str) -> None:
        job, _, step, _ = task.split('.')
        need = self._needs[f'{job}.{step}']
        if task in self.runs and self.runs[task].attempt == attempt:
            return
        is_known = attempt <= self._known.get(task, 0)
        if is_known or task in self.runs or not self._fits(need):
            self._log.add(self.name, 'refused', task=task, run=attempt)
            self._add_end(task, attempt, 'refused', saved)
            return
        now = time.monotonic()
        run = Run(task, attempt, json.loads(spec), need, saved, now)
        self.runs[task] = run
        self._known[task] = attempt
        entry = [task, attempt, self._log.get_now(), None, 'running']
        self.history.append(entry)
        self.starts.append((task, attempt, saved))
        self._log.add(
            self.name, 'start', task=task, run=attempt, saved=saved or '-'
        )
        loop = asyncio.get_running_loop()
        if run.content.get('size'):
            run.timer = loop.call_later(
                GANG_TIMEOUT_S, self.end_run, run, 'alone'
            )
            self._gangs.join(self, run)
        else:
            self.begin_work(run)

    def _fits(self, need: tuple[int, int, int]) -> bool:
        used = [run.need for run in self.runs.values()]
        return all(
            sum(item[kind] for item in used) + need[kind] <= limit
            for kind, limit in enumerate(self._capacity)
        )

    def begin_work(self, run: Run) -> None:
        """Let a run work; members of a gang wait for each other first."""
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        run.began_at = time.monotonic()
        content = run.content
        loop = asyncio.get_running_loop()
        if self.fails_all:
            run.timer = loop.call_later(0.2, self.end_run, run, 'failed')
        elif content['ms']:
            work_s = content['ms'] / 1_000
            if run.saved:
                done_s = int(run.saved[:8], 16) / 1_000
                work_s = RESTORE_S + max(0.0, work_s - done_s)
            spread = content.get('spread', 0)
            if spread:
                # Run times of the tasks differ, evenly over the spread.
                index = int(run.task.rpartition('.')[2])
                work_s += spread / 1_000 * (index * 7_919 % 1_000) / 1_000
            run.timer = loop.call_later(work_s, self.end_run, run, 'done')

    # Ends.

    def _check_lease(self) -> None:
        if not self.is_up or time.monotonic() < self._lease_end:
            return
        if self._lease_end:
            self.lapsed_at.append(self._log.get_now())
        if self.runs:
            for run in list(self.runs.values()):
                self.end_run(run, 'lapsed')

    def end_run(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run or not self.is_up:
            return
        if time.monotonic() >= self._lease_end:
            how = 'lapsed'
        if run.is_stopping and how != 'lapsed':
            how = 'stopped'
        saved = run.saved
        if run.began_at is not None and how != 'done':
            saved = self._make_checkpoint(run)
        self._finish(run, how)
        self._add_end(run.task, run.attempt, how, saved)
        if run.content.get('size'):
            self._gangs.leave(run, how)

    def _make_checkpoint(self, run: Run) -> str:
        """Return the last checkpoint, as the example on the wire looks."""
        worked_s = time.monotonic() - run.began_at
        steps = int(worked_s / CHECKPOINT_S)
        if not steps or not run.content.get('saves'):
            return run.saved
        before = int(run.saved[:8], 16) if run.saved else 0
        done_ms = before + int(steps * CHECKPOINT_S * 1_000)
        return f'{done_ms:08x}{run.task[4:12]}'

    def _finish(self, run: Run, how: str) -> None:
        if run.timer is not None:
            run.timer.cancel()
        del self.runs[run.task]
        for entry in reversed(self.history):
            if entry[:2] == [run.task, run.attempt] and entry[3] is None:
                entry[3:] = [self._log.get_now(), how]
                break
        self._log.add(self.name, how, task=run.task, run=run.attempt)
        if how in ('crashed', 'exited') and run.content.get('size'):
            self._gangs.leave(run, how)

    def _add_end(self, task: str, attempt: int, how: str, saved: str) -> None:
        self._end_count += 1
        self.end_numbers[task, attempt] = self._end_count
        self._ends.append([self._end_count, task, attempt, how, saved])
        self._beat_soon(AFTER_END_S)
