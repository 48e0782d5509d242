"""Fake workers that execute a scheduler's orders in virtual time.

They use the scheduler's own types, so that tests and experiments run its
real decisions without processes or sockets.
"""

import collections
import enum
import functools
import math
import random

import msgspec

from fakes import lasting
from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import ledger_updates
from orioleshore.jobs import orders
from orioleshore.jobs import scheduler as scheduling
from orioleshore.jobs import specs
from orioleshore.jobs import tuning
from orioleshore.jobs import workers
from orioleshore.model import ids
from orioleshore.model import states

RunKey = tuple[ids.JobId, ids.TaskName, ids.Attempt]

EPOCH = ids.Epoch(7)
WALL = 1_800_000_000.0
LASTING_RUN_PROGRESS = 100
# Seconds that a host is unavailable during a move and during upkeep, as
# in the deployments.
MOVE_S = 1.5
UPKEEP_S = 2.0
# A worker gives up waiting for the answer to a heartbeat after this time.
LOST_ANSWER_S = 1.0
# Seconds from the start of a deadly task to the crash of its worker, and from
# the crash to the first heartbeat of the next worker, as in the deployments.
CRASH_DELAY_S = 0.01
RESTART_S = 3.3
# Ends that a heartbeat lists at most, as in the deployments.
MAX_LISTED_ENDS = 500

TaskKey = tuple[ids.JobId, ids.TaskName]

# Share of the heartbeats and of the answers that a lossy link loses.
LOSSY_SHARE = 0.3
# Delay after which a worker repeats a heartbeat whose connection was reset.
RESET_RETRY_S = 0.05


class Link(enum.Enum):
    """State of the path between a worker and the leader."""

    OPEN = 'open'
    # Neither heartbeats nor answers arrive.
    CUT = 'cut'
    # Heartbeats arrive, answers do not.
    ANSWERS_LOST = 'answers_lost'
    # Heartbeats arrive once the link is open again.
    HEARTBEATS_LATE = 'heartbeats_late'
    LOSSY = 'lossy'
    # Heartbeats arrive; the connection is reset before the answer.
    RESET = 'reset'


class _Run(msgspec.Struct):
    began_at: float
    ends_at: float
    how: states.RunEnd
    is_lasting: bool
    need: specs.Resources = specs.Resources()


class FakeWorker:
    """A host and its worker, which reports from ``up_at`` on."""

    def __init__(self, host: str, pool: str, size: specs.Resources) -> None:
        self.host = ids.HostId(host)
        self.pool = ids.PoolId(pool)
        self.size = size
        self.incarnation = 1
        self.sequence = 0
        self.up_at = 0.0
        self.next_heartbeat = 0.0
        self.state = states.WorkerState.READY
        self.labels = ('a', 'r1-1')
        # The worker always starts again under the name that it had.
        self.keeps_name = False
        self.is_silent = False
        self.link = Link.OPEN
        # Heartbeats that arrive when the link opens.
        self.late_heartbeats: list[calls.Heartbeat] = []
        # Part of the name, the same in lives that share it.
        self.name_number = 1
        self.is_failing = False
        # Running tasks make no progress and do not end.
        self.is_hanging = False
        self.running: dict[RunKey, _Run] = {}
        # End of the lease, None before the first one; all runs end with it.
        self.lease_end: float | None = None
        # Number of the last end before the lease expired.
        self.last_lapsed_number = 0
        self.ended: list[calls.EndReport] = []
        self.last_number = 0

    @property
    def name(self) -> ids.WorkerId:
        return ids.WorkerId(f'{self.host}-{self.name_number}')

    def get_free_resources(self) -> specs.Resources:
        """Return the capacity that no run uses."""
        free = self.size
        for run in self.running.values():
            free = workers.subtract_resources(free, run.need)
        return free

    def restart(
        self, pool: ids.PoolId, up_at: float, reuses_name: bool = False
    ) -> None:
        """Drop all runs and start a new incarnation at ``up_at``."""
        self.pool = pool
        self.incarnation += 1
        if not reuses_name and not self.keeps_name:
            self.name_number = self.incarnation
        self.sequence = 0
        self.up_at = up_at
        self.next_heartbeat = up_at
        self.running.clear()
        self.ended.clear()
        self.last_number = 0
        self.lease_end = None
        self.last_lapsed_number = 0

    def end_run(self, key: RunKey, how: states.RunEnd) -> None:
        """End a run and queue its report."""
        del self.running[key]
        self.last_number += 1
        self.ended.append(calls.EndReport(self.last_number, *key, how))

    def _get_progress(self, run: _Run, now: float) -> int:
        if self.is_hanging:
            return 0
        if run.is_lasting:
            return LASTING_RUN_PROGRESS
        return int(100 * (now - run.began_at) / (run.ends_at - run.began_at))

    def make_heartbeat(self, now: float) -> calls.Heartbeat:
        """Return the next heartbeat of the worker."""
        self.sequence += 1
        return calls.Heartbeat(
            self.name,
            ids.Incarnation(self.incarnation),
            self.sequence,
            self.pool,
            ids.AvailabilityZone('az-1'),
            self.host,
            self.state,
            self.size,
            self.labels,
            running=tuple(
                calls.RunReport(*key, '', self._get_progress(run, now))
                for key, run in self.running.items()
            ),
            ended=tuple(self.ended[:MAX_LISTED_ENDS]),
            has_more_ends=len(self.ended) >= MAX_LISTED_ENDS,
        )


class FakeFleet:
    """A scheduler with fake workers and a fake platform for their hosts.

    ``mean_run_s`` is the mean run time of a task in seconds. A task that
    runs twice at a time, or again after its end was observed, raises
    AssertionError. So does a long-running task that could start and does not.
    """

    def __init__(
        self,
        configuration: specs.Configuration,
        limits: tuning.SchedulerLimits | None = None,
        seed: int = 1,
    ) -> None:
        self.now = 1_000.0
        self.random = random.Random(seed)
        self.workers: dict[ids.HostId, FakeWorker] = {}
        self.scheduler = scheduling.Scheduler(
            ledger.Ledger(),
            EPOCH,
            limits or tuning.SchedulerLimits(),
            '',
            self.now,
        )
        self.log: list[ledger.Change] = []
        self.watch = lasting.LastingWatch()
        # Without a leader, no heartbeat is answered.
        self.leader_since = self.now
        self.mean_run_s = 0.6
        # Number of answers to upkeep orders that are lost from now on.
        self.lost_upkeep_answers = 0
        # Moves that are neither carried out nor answered from now on.
        self.lost_moves = 0
        # Share of the answers to heartbeats that are lost.
        self.lost_answer_share = 0.0
        # Tasks whose successful end was observed.
        self.done_tasks: set[tuple[ids.JobId, ids.TaskName]] = set()
        # Most hosts that were down for upkeep at a time.
        self.max_hosts_down = 0
        self._upkeep_ends: dict[ids.HostId, float] = {}
        # Each wave takes a host down once, so later ones take it down again.
        self._upkeeps_done: set[tuple[ids.WaveId, ids.HostId]] = set()
        self.hosts_done: set[ids.HostId] = set()
        # Tasks that crash each worker that starts them, the seconds from the
        # start to the crash, and the seconds until the worker is back.
        self.deadly_tasks: set[TaskKey] = set()
        self.crash_delay_s = CRASH_DELAY_S
        self.restart_s = RESTART_S
        # The leader is lost as well at each of these crashes.
        self.loses_leader_at_crash = False
        # Workers that each deadly task has crashed.
        self.crashes: collections.Counter[TaskKey] = collections.Counter()
        # Runs of other jobs that were lost in these crashes.
        self.lost_bystanders = 0
        # Hosts whose rows in the platform's list cannot be read, and whether
        # there is a row that does not even say of which host it is.
        self.unreadable_hosts: set[ids.HostId] = set()
        self.has_nameless_row = False
        # Hosts that stay and are in no list, as while they move between pages.
        self.missing_hosts: set[ids.HostId] = set()
        # Hosts that the platform no longer has.
        self.withdrawn_hosts: set[ids.HostId] = set()
        # Orders to the platform about hosts, including those without effect.
        self.host_orders: list[orders.Order] = []
        # Workers that the policy service never approves.
        self.unapproved: set[ids.WorkerId] = set()
        self.starts: list[tuple[float, ids.HostId, calls.StartOrder]] = []
        # How long the leader says that its answers take.
        self.answer_delay_s = 0.0
        # Standby hosts are off, so their workers send no reports.
        self.standby = {
            pool.name for pool in configuration.pools if pool.is_standby
        }
        self.call_scheduler(calls.PutConfiguration(configuration))

    @property
    def wall(self) -> ids.WallTime:
        return ids.WallTime(WALL + self.now)

    def call_scheduler(self, call: calls.Call):
        """Send a call to the scheduler and return its outcome."""
        outcome = self.scheduler.handle(call, self.now, self.wall)
        self._commit_changes()
        return outcome

    def fail_over(self, election_s: float = 0.0) -> None:
        """Replace the scheduler by one restored from the log.

        It leads after ``election_s`` seconds.
        """
        self._commit_changes()
        self.leader_since = self.now + election_s
        job_ledger = ledger.Ledger()
        for change in self.log:
            ledger_updates.apply_change(change, job_ledger)
        self.scheduler = scheduling.Scheduler(
            job_ledger,
            ids.Epoch(self.scheduler.epoch + 1),
            self.scheduler.limits,
            '',
            self.leader_since,
        )

    @property
    def has_leader(self) -> bool:
        """Return whether a scheduler answers."""
        return self.now >= self.leader_since

    def is_in_contact(self, worker: FakeWorker) -> bool:
        """Return whether a worker is up and its link open."""
        return (
            worker.pool not in self.standby
            and self.now >= worker.up_at
            and worker.link is Link.OPEN
            and not worker.is_silent
            and not self.lost_answer_share
        )

    def add_hosts(self, count: int, pool: str, cores: int = 16) -> None:
        """Add hosts to a pool."""
        for _ in range(count):
            host = f'host-{len(self.workers)}'
            size = specs.Resources(1_000 * cores, 4_096 * cores)
            worker = FakeWorker(host, pool, size)
            worker.next_heartbeat = self.now + self.random.random() * 0.1
            self.workers[worker.host] = worker

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        """Advance the virtual time in steps of ``step_s`` seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += step_s
            self.advance_step()

    def advance_step(self) -> None:
        """Process due runs, heartbeats and orders at the current time."""
        for worker in self.workers.values():
            if worker.pool in self.standby or self.now < worker.up_at:
                continue
            if self._crash_by_task(worker):
                continue
            self._end_due_runs(worker)
            if not worker.is_silent and self.now >= worker.next_heartbeat:
                self._use_link(worker)
        if self.has_leader:
            self.scheduler.tick(self.now, self.wall)
            self._commit_changes()
            for order in self.scheduler.orders.take_orders():
                self.execute_order(order)
        self.check_single_runs()
        self.watch.check(self)
        assert not self.watch.problems, self.watch.problems

    def _use_link(self, worker: FakeWorker) -> None:
        """Send a heartbeat over a link that may lose it."""
        is_lossy = worker.link is Link.LOSSY
        is_lost = worker.link is Link.CUT or (
            is_lossy and self.random.random() < LOSSY_SHARE
        )
        if worker.link is Link.HEARTBEATS_LATE:
            is_lost = True
            worker.late_heartbeats.append(worker.make_heartbeat(self.now))
        if is_lost or not self.has_leader:
            worker.next_heartbeat = self.now + LOST_ANSWER_S
            return
        if worker.link is Link.OPEN:
            late, worker.late_heartbeats = worker.late_heartbeats, []
            for heartbeat in late:
                self.call_scheduler(heartbeat)
        self.send_heartbeat(worker)

    def _is_answer_lost(self, worker: FakeWorker) -> bool:
        if worker.link in (Link.ANSWERS_LOST, Link.RESET):
            return True
        share = LOSSY_SHARE if worker.link is Link.LOSSY else 0.0
        return self.random.random() < max(share, self.lost_answer_share)

    def send_heartbeat(self, worker: FakeWorker) -> None:
        """Send a heartbeat and apply the starts and stops in the answer."""
        answer = self.call_scheduler(worker.make_heartbeat(self.now)).unwrap()
        self.scheduler.pace.note_answer(
            len(answer.starts), self.answer_delay_s, self.now
        )
        if self._is_answer_lost(worker):
            # The worker sends its next heartbeat after it gave up waiting.
            is_reset = worker.link is Link.RESET
            delay_s = RESET_RETRY_S if is_reset else LOST_ANSWER_S
            worker.next_heartbeat = self.now + delay_s
            return
        self.deliver_answer(worker, answer, self.now)

    def deliver_answer(
        self,
        worker: FakeWorker,
        answer: calls.HeartbeatAnswer,
        sent_at: float,
    ) -> None:
        """Apply the answer to the heartbeat that was sent at ``sent_at``."""
        self._take_observed_ends(worker, answer.observed)
        if answer.lease_ms:
            lease_end = sent_at + answer.lease_ms / 1_000.0
            worker.lease_end = max(worker.lease_end or 0.0, lease_end)
        for stop in answer.stops:
            key = (stop.job, stop.task, stop.attempt)
            if key in worker.running:
                worker.end_run(key, states.RunEnd.STOPPED)
        for start in answer.starts:
            self._start_run(worker, start)
        retry_s = (answer.retry_ms or 1_500) / 1_000.0
        worker.next_heartbeat = self.now + retry_s

    def _take_observed_ends(self, worker: FakeWorker, observed: int) -> None:
        for end in worker.ended:
            # A run whose lease expired before its end was observed may have
            # been started again.
            is_counted = worker.last_lapsed_number < end.number <= observed
            if is_counted and end.how is states.RunEnd.DONE:
                self.done_tasks.add((end.job, end.task))
        worker.ended = [end for end in worker.ended if end.number > observed]

    def execute_order(self, order: orders.Order) -> None:
        """Execute an order as the platform does."""
        if isinstance(order, orders.ListHosts):
            self.call_scheduler(self._list_hosts(order))
            return
        if isinstance(order, orders.AskApproval):
            self.call_scheduler(self._approve_workers(order))
            return
        self.host_orders.append(order)
        if isinstance(order, orders.Move) and self.lost_moves:
            self.lost_moves -= 1
            return
        is_gone = (
            order.host not in self.workers
            or order.host in self.withdrawn_hosts
        )
        execute = _refuse_unknown_host if is_gone else _execute_order
        execute(order, self)

    def withdraw_host(self, host: ids.HostId) -> None:
        """Remove a host from the platform for good, with all it runs."""
        self.withdrawn_hosts.add(host)
        self.workers[host].restart(self.workers[host].pool, math.inf)
        self._upkeep_ends.pop(host, None)

    def execute_move(self, order: orders.Move) -> None:
        """Move a host to a pool."""
        self.workers[order.host].restart(order.pool, self.now + MOVE_S)
        accepted = states.HostOrderOutcome.ACCEPTED
        self.call_scheduler(calls.NoteMove(order.host, order.pool, accepted))

    def execute_upkeep(self, order: orders.TakeDown) -> None:
        """Take a host down; a host that is not up is refused as busy."""
        worker = self.workers[order.host]
        outcome, detail = states.HostOrderOutcome.ACCEPTED, ''
        if self.now < worker.up_at:
            outcome, detail = states.HostOrderOutcome.REFUSED, 'busy'
        elif (order.wave, order.host) not in self._upkeeps_done:
            self._upkeeps_done.add((order.wave, order.host))
            self.hosts_done.add(order.host)
            worker.restart(worker.pool, self.now + UPKEEP_S)
            self._upkeep_ends[order.host] = worker.up_at
        down = sum(self.now < end for end in self._upkeep_ends.values())
        self.max_hosts_down = max(self.max_hosts_down, down)
        if self.lost_upkeep_answers:
            self.lost_upkeep_answers -= 1
            outcome, detail = states.HostOrderOutcome.UNKNOWN, 'timeout'
        self.call_scheduler(
            calls.NoteUpkeep(order.wave, order.host, outcome, detail)
        )

    def check_single_runs(self) -> None:
        """Check that no task runs on two workers."""
        seen: dict[tuple[ids.JobId, ids.TaskName], ids.HostId] = {}
        for worker in self.workers.values():
            for job, task, _ in worker.running:
                other = seen.setdefault((job, task), worker.host)
                assert other == worker.host, f'{job}.{task} runs twice'

    def count_running_tasks(self, job_id: ids.JobId) -> int:
        """Return the number of running tasks of a job."""
        return sum(
            key[0] == job_id
            for worker in self.workers.values()
            for key in worker.running
        )

    def _commit_changes(self) -> None:
        self.log += self.scheduler.take_changes()

    def _start_run(self, worker: FakeWorker, start: calls.StartOrder) -> None:
        key = (start.job, start.task, start.attempt)
        assert key[:2] not in self.done_tasks, f'{key} was done before'
        self.starts.append((self.now, worker.host, start))
        # The job may have ended while the order was on its way.
        _, position, _ = specs.parse_task_name(start.task)
        step = self.scheduler.ledger.jobs[start.job].job.steps[position]
        run_s = self.mean_run_s * self.random.uniform(0.5, 1.5)
        how = states.RunEnd.DONE
        if worker.is_failing:
            run_s, how = 0.05, states.RunEnd.FAILED
        elif step.is_long_running:
            run_s = float('inf')
        worker.running[key] = _Run(
            self.now,
            self.now + run_s,
            how,
            step.is_long_running,
            workers.get_reserved_resources(step),
        )

    def _crash_by_task(self, worker: FakeWorker) -> bool:
        """Crash a worker that runs a deadly task; return whether it does."""
        for key, run in worker.running.items():
            is_due = self.now >= run.began_at + self.crash_delay_s
            if key[:2] in self.deadly_tasks and is_due:
                self.crashes[key[:2]] += 1
                self.lost_bystanders += sum(
                    other[0] != key[0] for other in worker.running
                )
                lost = list(worker.running)
                worker.restart(worker.pool, self.now + self.restart_s)
                self._break_gangs(lost)
                if self.loses_leader_at_crash:
                    self.fail_over()
                return True
        return False

    def _break_gangs(self, lost: list[RunKey]) -> None:
        """End the other members of gangs of which a member was lost."""
        broken = set()
        for key in lost:
            job = self.scheduler.jobs.get(key[0])
            if job is not None and job.get_step(key[1]).is_gang:
                broken.add(key[0])
        for worker in self.workers.values():
            for key in list(worker.running):
                if key[0] in broken:
                    worker.end_run(key, states.RunEnd.BROKEN)

    def _end_due_runs(self, worker: FakeWorker) -> None:
        if worker.lease_end is not None and self.now >= worker.lease_end:
            for key in list(worker.running):
                worker.end_run(key, states.RunEnd.LAPSED)
            worker.last_lapsed_number = worker.last_number
        for key, run in list(worker.running.items()):
            if self.now >= run.ends_at and not worker.is_hanging:
                worker.end_run(key, run.how)
                # Workers report at most 50 ms after a run ends.
                worker.next_heartbeat = min(
                    worker.next_heartbeat, self.now + 0.05
                )

    def _approve_workers(
        self, order: orders.AskApproval
    ) -> calls.NoteApprovals:
        approved = tuple(
            (name, f'ticket-{name}')
            for name in order.workers
            if name not in self.unapproved
        )
        return calls.NoteApprovals(
            order.job,
            order.occurrence,
            order.step,
            order.workers,
            True,
            approved,
            3_000,
        )

    def _list_hosts(self, order: orders.ListHosts) -> calls.NoteHosts:
        unlisted = (
            self.unreadable_hosts | self.missing_hosts | self.withdrawn_hosts
        )
        return calls.NoteHosts(
            order.asked_at,
            tuple(
                calls.HostInfo(
                    worker.host,
                    worker.pool,
                    states.PlatformHostState.UP
                    if self.now >= worker.up_at
                    else states.PlatformHostState.MOVING,
                    worker.size,
                )
                for worker in self.workers.values()
                if worker.host not in unlisted
            ),
            () if self.has_nameless_row else tuple(self.unreadable_hosts),
            not self.has_nameless_row,
        )


@functools.singledispatch
def _execute_order(order: orders.Order, fleet: FakeFleet) -> None:
    raise TypeError(f'unknown order {type(order).__name__}')


@_execute_order.register
def _(order: orders.TakeDown, fleet: FakeFleet) -> None:
    fleet.execute_upkeep(order)


@_execute_order.register
def _(order: orders.Move, fleet: FakeFleet) -> None:
    fleet.execute_move(order)


@functools.singledispatch
def _refuse_unknown_host(order: orders.Order, fleet: FakeFleet) -> None:
    raise TypeError(f'unknown order {type(order).__name__}')


@_refuse_unknown_host.register
def _(order: orders.TakeDown, fleet: FakeFleet) -> None:
    gone = states.HostOrderOutcome.GONE
    fleet.call_scheduler(calls.NoteUpkeep(order.wave, order.host, gone))


@_refuse_unknown_host.register
def _(order: orders.Move, fleet: FakeFleet) -> None:
    gone = states.HostOrderOutcome.GONE
    fleet.call_scheduler(calls.NoteMove(order.host, order.pool, gone))
