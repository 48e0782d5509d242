"""Random faults around the limits of organisations.

The fake fleet counts what its workers run, and fails a test at a start that
exceeds a limit.
"""

import random

import pytest

from fakes import limited
from fakes import workers
from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support

SEEDS = range(support.SEED, support.SEED + 20)
FAULTS = 40
# With runs of this mean time, more than the limits let run at a time.
JOBS_PER_FAULT = 4
MEAN_RUN_S = 1.5
HOSTS = 5
NAMES = ('north', 'south')
MIN_CORES = 6
MAX_CORES = 30
# Longest pause of a worker, more than a lease of 3 s.
MAX_SILENCE_S = 5.0
# Without faults, a task starts at least this often while jobs are unfinished:
# a run, its report, and a plan for the next gang.
MAX_PAUSE_S = 5.0
LINKS = (
    workers.Link.CUT,
    workers.Link.ANSWERS_LOST,
    workers.Link.LOSSY,
    workers.Link.RESET,
)


class Schedule:
    """One seeded run: jobs of two organisations, and faults beside them."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self._version = 1
        self.fleet = limited.LimitedFleet(
            builders.build_shared_configuration(north=20, south=10), seed
        )
        self.fleet.add_hosts(HOSTS, 'red')
        self.fleet.add_hosts(HOSTS, 'blue')
        self.fleet.add_hosts(2, 'standby')
        self.fleet.mean_run_s = MEAN_RUN_S
        self.fleet.run(4.5)
        self._next_job = 1
        self._troubled_until: dict[ids.HostId, float] = {}

    def run(self) -> None:
        """Inject the faults one after the other, then let all jobs end."""
        fleet = self.fleet
        for _ in range(FAULTS):
            for _ in range(JOBS_PER_FAULT):
                self._submit_job()
            # Faults at the same moment meet before any heartbeat.
            for _ in range(self.random.randint(1, 4)):
                self.random.choice(self._list_faults())()
            fleet.lost_answer_share = self.random.choice([0.0, 0.0, 0.3])
            fleet.late_answer_share = self.random.choice([0.0, 0.3])
            self._advance(self.random.uniform(0.05, 1.2))
        fleet.lost_answer_share = fleet.late_answer_share = 0.0
        self._advance(MAX_SILENCE_S)
        self._drain()

    def _drain(self) -> None:
        """Run until all jobs have ended; some task starts all the time.

        With a low limit, gangs run one after the other.
        """
        fleet = self.fleet
        while fleet.scheduler.jobs:
            started = len(fleet.starts)
            fleet.run(MAX_PAUSE_S)
            has_started = len(fleet.starts) > started
            assert has_started or not fleet.scheduler.jobs, list(
                fleet.scheduler.jobs
            )
        fleet.run(MAX_PAUSE_S)

    def _list_faults(self):
        return [
            self._trouble_worker,
            self._trouble_worker,
            self._crash_worker,
            self._fail_over,
            self._change_limits,
            self._cancel_job,
            self._cancel_job,
        ]

    def _advance(self, seconds: float) -> None:
        fleet = self.fleet
        end = fleet.now + seconds
        while fleet.now < end:
            fleet.run(0.05)
            for host, until in list(self._troubled_until.items()):
                if fleet.now >= until:
                    fleet.workers[host].is_silent = False
                    fleet.workers[host].link = workers.Link.OPEN
                    del self._troubled_until[host]

    def _submit_job(self) -> None:
        shape = self.random.choice(
            [
                builders.build_step(6),
                builders.build_step(3, need=specs.Resources(2_000, 256)),
                builders.build_step(4, is_gang=True),
                builders.build_step(2, is_filler=True),
            ]
        )
        self.fleet.call_scheduler(
            builders.build_submission(
                self._next_job,
                builders.build_batch_job(shape),
                self.random.choice(('red', 'blue')),
                f'key-of-{self.random.choice(NAMES)}',
            )
        )
        self._next_job += 1

    def _pick_worker(self) -> workers.FakeWorker:
        running = [w for w in self.fleet.workers.values() if w.running]
        return self.random.choice(running or list(self.fleet.workers.values()))

    def _pick_running_job(self) -> int:
        running = {
            int(name, 16)
            for worker in self.fleet.workers.values()
            for name, _, _ in worker.running
        }
        return self.random.choice(sorted(running) or [1])

    def _trouble_worker(self) -> None:
        worker = self._pick_worker()
        if self.random.random() < 0.4:
            worker.is_silent = True
        else:
            worker.link = self.random.choice(LINKS)
        self._troubled_until[worker.host] = (
            self.fleet.now + self.random.uniform(0.2, MAX_SILENCE_S)
        )

    def _crash_worker(self) -> None:
        worker = self._pick_worker()
        if self.fleet.now >= worker.up_at:
            worker.restart(
                worker.pool,
                self.fleet.now + 0.5,
                reuses_name=self.random.random() < 0.5,
            )

    def _fail_over(self) -> None:
        self.fleet.fail_over(self.random.uniform(0.0, 1.5))

    def _change_limits(self) -> None:
        if not self.fleet.has_leader:
            return
        self._version += 1
        cores = {
            name: self.random.randint(MIN_CORES, MAX_CORES) for name in NAMES
        }
        self.fleet.call_scheduler(
            calls.PutConfiguration(
                builders.build_shared_configuration(self._version, **cores)
            )
        )

    def _cancel_job(self) -> None:
        number = self.random.choice(
            [self.random.randint(1, self._next_job), self._pick_running_job()]
        )
        path = f'/red/{builders.build_job_id(number)}'
        self.fleet.call_scheduler(
            calls.CancelJob('jobs.example', path, ids.ApiKey('key-of-north'))
        )


@pytest.mark.parametrize('seed', SEEDS)
def test_no_start_exceeds_a_limit_under_random_faults(seed):
    # Guards against usage that a new leader, a lost answer or a restarted
    # worker leaves too low, and against usage that stays too high for good.
    schedule = Schedule(seed)
    schedule.run()
    scheduler = schedule.fleet.scheduler
    assert len(schedule.fleet.starts) > 100
    for name in NAMES:
        used = scheduler.usage.get_used(ids.OrganisationId(name))
        assert used == specs.Resources(), f'{name} still uses {used}'
