"""Random faults around the scheduler: silence, losses, crashes, hand-overs.

The fake fleet fails a test by itself when a task runs twice at a time, or
again after its end was observed.
"""

import collections
import enum
import random

import msgspec
import pytest

from fakes import workers
from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import placement
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support

SEEDS = range(support.SEED, support.SEED + 20)
CUT_SEEDS = range(support.SEED, support.SEED + 20)
WAVE = ids.WaveId('1')
HOSTS = 8
FAULTS = 40
AT_ONCE = 2
# Crashed workers after which the platform allows to give up a task.
ALLOWED_CRASHES = 2
# Longest pause of a worker, more than a lease of 3 s.
MAX_SILENCE_S = 5.0
CUTS = 4
# Time after each cut in which all long-running tasks must run again: longer
# than the watch of the fake fleet allows after a change of leader.
QUIET_S = 12.0
# An election takes 0.6 to 0.9 s; a leader that was not told takes longer.
MAX_ELECTION_S = 1.5


class Schedule:
    """One seeded run: a fleet under load, and the faults injected into it."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = workers.FakeFleet(
            builders.build_configuration(), seed=seed
        )
        self.fleet.add_hosts(HOSTS, 'red')
        self.fleet.add_hosts(2, 'standby')
        self.fleet.run(4.5)
        # Workers that crashed while they ran a task, by task.
        self.crashes_under: collections.Counter[workers.TaskKey] = (
            collections.Counter()
        )
        self._silent_until: dict[ids.HostId, float] = {}
        self._old_heartbeats: collections.deque[calls.Heartbeat] = (
            collections.deque(maxlen=30)
        )
        self._next_job = 1

    def run(self) -> None:
        """Inject the faults one after the other, then let all jobs end."""
        fleet = self.fleet
        lasting = builders.build_lasting_job(4, max_unavailable=1)
        fleet.call_scheduler(builders.build_submission(1_000, lasting))
        hosts = tuple(list(fleet.workers)[:HOSTS])
        fleet.call_scheduler(calls.OpenWave(WAVE, hosts, 60.0, AT_ONCE))
        for _ in range(FAULTS):
            self._submit_job()
            self.random.choice(self._list_faults())()
            fleet.lost_answer_share = self.random.choice([0.0, 0.0, 0.3])
            self._advance(self.random.uniform(0.05, 1.5))
        fleet.lost_answer_share = 0.0
        self._advance(MAX_SILENCE_S)
        fleet.run(40.0)

    def _list_faults(self):
        return [
            self._silence_worker,
            self._silence_worker,
            self._crash_worker,
            self._repeat_old_heartbeat,
            self._lose_upkeep_answer,
            self.fleet.fail_over,
        ]

    def _advance(self, seconds: float) -> None:
        fleet = self.fleet
        end = fleet.now + seconds
        while fleet.now < end:
            fleet.run(0.05)
            for host, until in list(self._silent_until.items()):
                if fleet.now >= until:
                    fleet.workers[host].is_silent = False
                    del self._silent_until[host]
            assert fleet.max_hosts_down <= AT_ONCE

    def _submit_job(self) -> None:
        job = builders.build_batch_job(
            builders.build_step(6), builders.build_step(2, after=(0,))
        )
        self.fleet.call_scheduler(
            builders.build_submission(self._next_job, job)
        )
        self._next_job += 1

    def _pick_worker(self) -> workers.FakeWorker:
        running = [w for w in self.fleet.workers.values() if w.running]
        return self.random.choice(running or list(self.fleet.workers.values()))

    def _silence_worker(self) -> None:
        worker = self._pick_worker()
        worker.is_silent = True
        self._silent_until[worker.host] = self.fleet.now + self.random.uniform(
            0.2, MAX_SILENCE_S
        )

    def _crash_worker(self) -> None:
        worker = self._pick_worker()
        if self.fleet.now >= worker.up_at:
            self.crashes_under.update(key[:2] for key in worker.running)
            worker.restart(worker.pool, self.fleet.now + 0.5)

    def is_rightly_given_up(self, name: ids.JobId) -> bool:
        """Return whether the platform allows to give up a job.

        A task under which two workers have crashed may be given up, whatever
        the cause of the crashes.
        """
        record = self.fleet.scheduler.ledger.jobs[name]
        crashes = max(
            (n for key, n in self.crashes_under.items() if key[0] == name),
            default=0,
        )
        return (
            record.state is states.BatchState.FAILED
            and record.failure is states.FailureReason.CRASHES
            and crashes >= ALLOWED_CRASHES
        )

    def _repeat_old_heartbeat(self) -> None:
        """Let a heartbeat of an earlier state arrive late."""
        worker = self._pick_worker()
        if self.fleet.now < worker.up_at:
            return
        sequence = worker.sequence
        self._old_heartbeats.append(worker.make_heartbeat(self.fleet.now))
        # The sequence number is used again, so the call was never sent.
        worker.sequence = sequence
        late = self._old_heartbeats[0]
        self.fleet.call_scheduler(late)

    def _lose_upkeep_answer(self) -> None:
        self.fleet.lost_upkeep_answers += 1


class IncompleteListSchedule(Schedule):
    """The same run with hosts that stay and that the platform's list lacks."""

    def run(self) -> None:
        """Inject the faults, and check that the wave ends with all hosts."""
        super().run()
        assert self.is_wave_completed

    @property
    def is_wave_completed(self) -> bool:
        """Return whether the wave is reported as completed."""
        status = self.fleet.call_scheduler(calls.GetWave(WAVE))
        return status.unwrap().completed

    def _list_faults(self):
        return [*super()._list_faults(), self._hide_hosts, self._hide_hosts]

    def _hide_hosts(self) -> None:
        """Leave some hosts, or none, out of all lists from now on."""
        hosts = sorted(self.fleet.workers)
        count = self.random.randint(0, len(hosts))
        self.fleet.missing_hosts = set(self.random.sample(hosts, count))

    def _advance(self, seconds: float) -> None:
        super()._advance(seconds)
        assert not self.is_wave_completed or (
            self.fleet.hosts_done >= set(list(self.fleet.workers)[:HOSTS])
        )


class LeaderLoss(enum.Enum):
    """When a leader is lost around a cut of workers."""

    NEVER = 'never'
    DURING = 'during'
    AFTER = 'after'
    TWICE = 'twice'


class Rebirth(enum.Enum):
    """How workers crash behind a cut and start again."""

    NONE = 'none'
    SAME_NAME = 'same_name'
    NEW_NAME = 'new_name'


class CutSchedule:
    """One seeded run: workers with long-running tasks that are cut off.

    The fake fleet fails the test when such a task could start and does not.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        needs_approval = self.random.random() < 0.3
        configuration = builders.build_configuration()
        queues = tuple(
            msgspec.structs.replace(queue, needs_approval=needs_approval)
            for queue in configuration.queues
        )
        self.fleet = workers.FakeFleet(
            builders.build_configuration(queues=queues), seed=seed
        )
        self.fleet.add_hosts(self.random.randint(2, HOSTS), 'red', cores=4)
        self.fleet.add_hosts(self.random.randint(0, 2), 'standby', cores=4)
        for number, worker in enumerate(self.fleet.workers.values()):
            kind = self.random.choice('ab')
            worker.labels = (kind, f'r1-{1 + number % 2}')
        self.fleet.run(4.5)
        self.cuts: list[str] = []
        self._next_job = 1

    def run(self) -> None:
        """Cut workers off, again and again, beside other work."""
        fleet = self.fleet
        for number in range(self.random.randint(1, 3)):
            fleet.call_scheduler(
                builders.build_submission(
                    1_000 + number, self._build_lasting_job()
                )
            )
        fleet.run(3.0)
        for number in range(CUTS):
            if self.random.random() < 0.4:
                self._open_wave(number)
            fleet.lost_moves = self.random.choice([0, 0, 1])
            self._cut_workers()
            self._fail_lasting_tasks()
            fleet.run(QUIET_S)

    def _open_wave(self, number: int) -> None:
        hosts = self.random.sample(
            sorted(self.fleet.workers),
            self.random.randint(1, len(self.fleet.workers)),
        )
        self.fleet.call_scheduler(
            calls.OpenWave(
                ids.WaveId(str(number)),
                tuple(hosts),
                self.random.choice([5.0, 30.0]),
                self.random.randint(1, AT_ONCE),
            )
        )

    def _fail_lasting_tasks(self) -> None:
        """Let some long-running tasks fail, as they may at any time."""
        for worker in self.fleet.workers.values():
            for key, run in list(worker.running.items()):
                if run.is_lasting and self.random.random() < 0.2:
                    worker.end_run(key, states.RunEnd.FAILED)

    def _build_lasting_job(self) -> specs.Job:
        return builders.build_lasting_job(
            self.random.randint(1, 4),
            need=specs.Resources(self.random.choice([500, 1_500, 3_000]), 512),
            max_per_worker=self.random.choice([0, 0, 1, 2]),
            max_unavailable=self.random.choice([0, 1]),
            data_rack=self.random.choice(['', '', 'r1-1', 'r1-2']),
            required_label=self.random.choice(['', '', '', 'a']),
        )

    def _cut_workers(self) -> None:
        fleet = self.fleet
        link = self.random.choice(
            [item for item in workers.Link if item is not workers.Link.OPEN]
        )
        loss = self.random.choice(list(LeaderLoss))
        rebirth = self.random.choice(list(Rebirth))
        present = [
            worker
            for worker in fleet.workers.values()
            if fleet.now >= worker.up_at and worker.pool == 'red'
        ]
        if not present:
            return
        cut = self.random.sample(present, self.random.randint(1, len(present)))
        duration = self.random.choice([0.5, 2.0, 3.2, 5.0, 9.0])
        self.cuts.append(
            f'{fleet.now:.2f}: {link} {loss} {rebirth} {duration} s '
            f'{[w.host for w in cut]}'
        )
        for worker in cut:
            worker.link = link
        lost_at = self.random.uniform(0.0, duration)
        self._work(lost_at)
        if loss in (LeaderLoss.DURING, LeaderLoss.TWICE):
            fleet.fail_over(self.random.uniform(0.0, MAX_ELECTION_S))
        self._restart_workers(cut, rebirth)
        self._work(duration - lost_at)
        for worker in cut:
            worker.link = workers.Link.OPEN
        if loss in (LeaderLoss.AFTER, LeaderLoss.TWICE):
            self._work(self.random.choice([0.0, 0.05, 0.3]))
            fleet.fail_over(self.random.uniform(0.0, MAX_ELECTION_S))

    def _restart_workers(
        self, cut: list[workers.FakeWorker], rebirth: Rebirth
    ) -> None:
        if rebirth is Rebirth.NONE:
            return
        for worker in cut:
            if self.random.random() < 0.7:
                worker.restart(
                    worker.pool,
                    self.fleet.now + self.random.uniform(0.1, 2.0),
                    reuses_name=rebirth is Rebirth.SAME_NAME,
                )

    def _work(self, seconds: float) -> None:
        """Advance the time, with a short job now and then."""
        fleet = self.fleet
        end = fleet.now + seconds
        while fleet.now < end:
            if fleet.has_leader and self.random.random() < 0.5:
                job = builders.build_batch_job(builders.build_step(3))
                fleet.call_scheduler(
                    builders.build_submission(self._next_job, job)
                )
                self._next_job += 1
            fleet.run(min(0.5, max(0.05, end - fleet.now)))


@pytest.mark.parametrize('seed', SEEDS)
def test_wave_takes_down_each_host_that_the_list_may_lack(seed):
    """Guards against a wave that ends without a host, and against its limit.

    Lists lack hosts that stay, beside crashes, lost answers and new leaders.
    """
    IncompleteListSchedule(seed).run()


@pytest.mark.parametrize('seed', CUT_SEEDS)
def test_lasting_tasks_run_again_after_each_kind_of_cut(seed):
    """Guards against a long-running task that stays away after a cut.

    Workers are cut off both ways, one way, with loss and with resets; they
    crash behind the cut; the leader is lost meanwhile or right after.
    """
    CutSchedule(seed).run()


def test_watch_reports_a_lasting_task_that_is_held_back():
    """Guards against a watch over long-running tasks that sees nothing."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(2, 'red')
    fleet.run(8.0)
    for worker in fleet.scheduler.workers.values():
        worker.is_cordoned = True
    fleet.call_scheduler(
        builders.build_submission(1, builders.build_lasting_job(1))
    )
    fleet.run(5.9)
    with pytest.raises(AssertionError, match='could start and has not run'):
        fleet.run(0.3)


@pytest.mark.parametrize('seed', SEEDS)
def test_accepted_jobs_run_once_under_random_faults(seed):
    """Guards against work that is lost or run twice around faults.

    Workers are silent for less and for more than a lease, answers are lost,
    old heartbeats arrive late, workers crash, leaders change.
    """
    schedule = Schedule(seed)
    schedule.run()
    fleet = schedule.fleet
    records = fleet.scheduler.ledger.jobs
    lasting = builders.build_job_id(1_000)
    ended = {name: r.state for name, r in records.items() if name != lasting}
    failed = [
        name
        for name, state in ended.items()
        if state is not states.BatchState.COMPLETED
    ]
    assert all(map(schedule.is_rightly_given_up, failed))
    assert len(ended) == FAULTS
    if not schedule.is_rightly_given_up(lasting):
        assert fleet.count_running_tasks(lasting) == 4
    wave = fleet.call_scheduler(calls.GetWave(ids.WaveId('1'))).unwrap()
    assert wave.completed


@pytest.mark.parametrize(
    'link', [workers.Link.ANSWERS_LOST, workers.Link.RESET]
)
def test_worker_that_gets_no_answers_does_not_keep_lasting_tasks(link):
    """Guards against starts that go again and again to an unreachable worker.

    Its heartbeats arrive and show that the last start order was lost; the
    task has to go to the other worker then.
    """
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(1, 'red')
    fleet.run(1.0)
    lasting = builders.build_lasting_job(2)
    fleet.call_scheduler(builders.build_submission(1, lasting))
    fleet.run(0.5)
    fleet.add_hosts(1, 'red')
    fleet.run(1.0)
    unreachable, other = fleet.workers.values()
    assert len(unreachable.running) == 2
    unreachable.link = link
    # The lease of 3 s and the time that the rule of the platform allows.
    fleet.run(9.0)
    assert len(other.running) == 2


def test_runs_from_before_a_cut_do_not_prove_that_orders_arrive():
    """Guards against lost orders that are forgiven for what runs already.

    The worker lists its earlier runs until their lease ends.
    """
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(1, 'red')
    fleet.run(1.0)
    lasting = builders.build_lasting_job(2)
    fleet.call_scheduler(builders.build_submission(1, lasting))
    fleet.run(0.5)
    (worker,) = fleet.workers.values()
    worker.link = workers.Link.RESET
    fleet.call_scheduler(builders.build_submission(2, lasting))
    fleet.run(2.0)
    assert len(worker.running) == 2
    (known,) = fleet.scheduler.workers.values()
    assert known.lost_orders > 2
    # The first order, its repetition, and one after each pause.
    record = fleet.scheduler.ledger.jobs[builders.build_job_id(2)]
    attempts = [run.attempt for run in record.tasks.values()]
    assert max(attempts) <= len(placement.LOST_ORDER_PAUSES_S) + 1


def test_late_heartbeat_of_an_earlier_life_ends_no_run():
    """Guards against runs that a new leader gives up while they run.

    A partition delayed a heartbeat of the worker's earlier life; it is the
    first one that a new leader gets under the name of the worker.
    """
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(1, 'red')
    fleet.run(1.0)
    (worker,) = fleet.workers.values()
    late = worker.make_heartbeat(fleet.now)
    worker.restart(worker.pool, fleet.now + 0.5, reuses_name=True)
    fleet.run(1.0)
    fleet.call_scheduler(
        builders.build_submission(1, builders.build_lasting_job(2))
    )
    fleet.run(0.5)
    began = set(worker.running)
    assert len(began) == 2
    fleet.fail_over()
    fleet.call_scheduler(late)
    fleet.run(5.0)
    assert set(worker.running) == began


def test_worker_that_reports_after_a_late_exit_gets_tasks():
    """Guards against a worker that drains for ever after an old announcement.

    The exit was announced by an earlier life, under the name that the worker
    still has, and arrived after the worker had started again.
    """
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(1, 'red')
    fleet.run(8.0)
    (worker,) = fleet.workers.values()
    fleet.call_scheduler(calls.LeaveWorker(worker.name))
    fleet.call_scheduler(
        builders.build_submission(1, builders.build_lasting_job(2))
    )
    fleet.run(6.0)
    assert len(worker.running) == 2


def test_worker_that_reports_its_exit_gets_no_tasks():
    """Guards against tasks for a worker that drains and says so."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(1, 'red')
    fleet.run(1.0)
    (worker,) = fleet.workers.values()
    worker.state = states.WorkerState.DRAINING
    fleet.run(0.5)
    fleet.call_scheduler(calls.LeaveWorker(worker.name))
    fleet.call_scheduler(builders.build_submission())
    fleet.run(4.0)
    assert not fleet.starts


def build_leaving_worker() -> tuple[workers.FakeFleet, workers.FakeWorker]:
    """Return two workers, of which one runs tasks and drains."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(2, 'red')
    fleet.run(4.5)
    fleet.mean_run_s = 30.0
    job = builders.build_batch_job(builders.build_step(6))
    fleet.call_scheduler(builders.build_submission(1, job))
    fleet.run(0.5)
    worker = max(fleet.workers.values(), key=lambda item: len(item.running))
    assert worker.running
    worker.state = states.WorkerState.DRAINING
    fleet.run(2.0)
    return fleet, worker


def test_tasks_of_a_worker_whose_exit_is_unacknowledged_run_once():
    """Guards against tasks that run twice while a worker leaves.

    Without an acknowledgement it goes on for some seconds. Its tasks started
    elsewhere after one second, in which its lease went on.
    """
    fleet, worker = build_leaving_worker()
    left = set(worker.running)
    worker.link = workers.Link.ANSWERS_LOST
    fleet.call_scheduler(calls.LeaveWorker(worker.name))
    # The fleet raises if a task runs twice at a time.
    fleet.run(3.0)
    worker.is_silent = True
    worker.running.clear()
    fleet.run(fleet.scheduler.max_lease_s + 0.5)
    tasks = fleet.scheduler.ledger.jobs[builders.build_job_id(1)].tasks
    assert all(tasks[key[1]].worker != worker.name for key in left)


def test_tasks_of_a_worker_that_has_left_run_again_after_its_lease():
    """Guards against tasks that wait longer than the lease of their worker."""
    fleet, worker = build_leaving_worker()
    left = set(worker.running)
    fleet.call_scheduler(calls.LeaveWorker(worker.name))
    worker.is_silent = True
    worker.running.clear()
    fleet.run(fleet.scheduler.max_lease_s + 0.2)
    tasks = fleet.scheduler.ledger.jobs[builders.build_job_id(1)].tasks
    assert all(tasks[key[1]].worker != worker.name for key in left)


def test_late_exit_of_an_earlier_life_ends_no_run():
    """Guards against runs that are given up for an announcement of others.

    The message names no life. The worker that has the name now reports less
    often than the time after which its runs were given up.
    """
    fleet, worker = build_leaving_worker()
    began = len(fleet.starts)
    fleet.run(worker.next_heartbeat - fleet.now + 0.1)
    fleet.call_scheduler(calls.LeaveWorker(worker.name))
    fleet.run(5.0)
    assert len(fleet.starts) == began


@pytest.mark.parametrize('silence_s', [0.5, 1.5, 2.5])
def test_silence_shorter_than_a_lease_restarts_nothing(silence_s):
    """Guards against work that restarts because its worker was only slow."""
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(3, 'red')
    fleet.run(4.5)
    fleet.mean_run_s = 10.0
    job = builders.build_batch_job(builders.build_step(6))
    fleet.call_scheduler(builders.build_submission(1, job))
    fleet.call_scheduler(
        builders.build_submission(2, builders.build_lasting_job(3))
    )
    fleet.run(1.0)
    began = len(fleet.log)
    silent = next(w for w in fleet.workers.values() if w.running)
    silent.is_silent = True
    fleet.run(silence_s)
    silent.is_silent = False
    fleet.run(2.0)
    changes = fleet.log[began:]
    assert not any(isinstance(c, ledger.TaskStarted) for c in changes)
    assert not any(isinstance(c, ledger.TaskEnded) for c in changes)


def test_result_of_a_run_that_was_given_up_counts():
    """Guards against work that runs again although its result has come.

    The worker was silent for longer than its lease, but the run had ended
    before; no other worker has room to start the task again.
    """
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(1, 'red')
    fleet.run(1.0)
    fleet.call_scheduler(builders.build_submission())
    fleet.run(0.2)
    (silent,) = fleet.workers.values()
    assert silent.running
    silent.is_silent = True
    fleet.run(fleet.scheduler.max_lease_s + 0.5)
    assert not fleet.scheduler.workers
    silent.is_silent = False
    fleet.run(0.2)
    record = fleet.scheduler.ledger.jobs[builders.build_job_id()]
    assert record.state is states.BatchState.COMPLETED
    assert len(fleet.starts) == 1
