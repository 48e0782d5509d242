"""Random faults around the scheduler: silence, losses, crashes, hand-overs.

The fake fleet fails a test by itself when a task runs twice at a time, or
again after its end was observed.
"""

import collections
import random

import pytest

from fakes import workers
from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders
from orioleshore.tests import support

SEEDS = range(support.SEED, support.SEED + 20)
HOSTS = 8
FAULTS = 40
AT_ONCE = 2
# Longest pause of a worker, more than a lease of 3 s.
MAX_SILENCE_S = 5.0


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
        fleet.call_scheduler(
            calls.OpenWave(ids.WaveId('1'), hosts, 60.0, AT_ONCE)
        )
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
            worker.restart(worker.pool, self.fleet.now + 0.5)

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
    assert set(ended.values()) == {states.BatchState.COMPLETED}
    assert len(ended) == FAULTS
    assert fleet.count_running_tasks(lasting) == 4
    wave = fleet.call_scheduler(calls.GetWave(ids.WaveId('1'))).unwrap()
    assert wave.completed


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
