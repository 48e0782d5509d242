"""Longest turns of the job scheduler under large loads, decisions alone.

    python -m bench.turns --workers 3000 --tasks 100000

One job of many small tasks is handed in, and fake workers run it for some
seconds of virtual time. Prints how long the calls and ticks of the scheduler
took, and how long a new leader takes to read and restore a state in which all
tasks were started. Nothing is sent or committed.
"""

import argparse
import collections
import logging
import time

from fakes import workers as fake_workers
from orioleshore.jobs import ledger
from orioleshore.jobs import scheduler as scheduling
from orioleshore.jobs import specs
from orioleshore.jobs import tuning
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import records
from orioleshore.tests import builders

CORES = 64
NEED = specs.Resources(50, 32)
RUN_S = 4.0
MS_PER_S = 1_000.0


class MeasuringScheduler(scheduling.Scheduler):
    """A scheduler that notes how long its turns take, in seconds."""

    turns: dict[str, list[float]] = collections.defaultdict(list)

    def handle(self, call, now, wall_time):
        """Handle a call and note the time that it takes."""
        started_at = time.perf_counter()
        answer = super().handle(call, now, wall_time)
        self.turns[type(call).__name__].append(
            time.perf_counter() - started_at
        )
        return answer

    def tick(self, now, wall_time, paused=frozenset()):
        """Advance the periodic work and note the time that it takes."""
        started_at = time.perf_counter()
        super().tick(now, wall_time, paused)
        self.turns['tick'].append(time.perf_counter() - started_at)


class LoadedFleet(fake_workers.FakeFleet):
    """A fleet without the checks of tests, whose time grows with the runs."""

    def __init__(self, count: int) -> None:
        super().__init__(builders.build_configuration())
        self.scheduler = MeasuringScheduler(
            self.scheduler.ledger,
            fake_workers.EPOCH,
            tuning.SchedulerLimits(),
            '',
            self.now,
        )
        self.watch.check = lambda fleet: None
        self.add_hosts(count, 'red', CORES)

    def check_single_runs(self) -> None:
        """Do nothing."""


def measure_turns(workers: int, tasks: int) -> None:
    """Print how long the turns take while a large job runs."""
    fleet = LoadedFleet(workers)
    fleet.run(2.0)
    step = builders.build_step(tasks, need=NEED)
    job = builders.build_batch_job(step)
    fleet.call_scheduler(builders.build_submission(1, job))
    fleet.run(RUN_S)
    print(f'{len(fleet.starts)} starts in {RUN_S} s of virtual time')
    print('turn | count | mean ms | longest ms')
    for name, turns in MeasuringScheduler.turns.items():
        mean_ms = sum(turns) / len(turns) * MS_PER_S
        longest_ms = max(turns) * MS_PER_S
        print(f'{name} | {len(turns)} | {mean_ms:.2f} | {longest_ms:.1f}')


def measure_restart(tasks: int) -> None:
    """Print how long a new leader takes for a job whose tasks are done."""
    job = builders.build_batch_job(builders.build_step(tasks, need=NEED))
    runs = {
        specs.make_task_name(0, 0, index): ledger.RunRecord(
            states.RunStage.DONE,
            ids.Attempt(1),
            worker=ids.WorkerId(f'worker-{index % 100}'),
            host=ids.HostId(f'host-{index % 100}'),
        )
        for index in range(tasks)
    }
    state = records.State()
    state.ledger.jobs[builders.build_job_id()] = ledger.JobRecord(
        job, 'jobs.example', '/red/', 'red', 0, 2, 3_600, 0.0, tasks=runs
    )
    times = [time.perf_counter()]
    encoded = records.encode_state(state)
    times.append(time.perf_counter())
    decoded = records.decode_state(encoded)
    times.append(time.perf_counter())
    scheduling.Scheduler(
        decoded.ledger, ids.Epoch(1), tuning.SchedulerLimits(), '', 0.0
    )
    times.append(time.perf_counter())
    steps = zip(
        ('encode', 'decode', 'restore'), times, times[1:], strict=False
    )
    print(f'{len(encoded)} bytes of state')
    for name, began, ended in steps:
        print(f'{name} | {(ended - began) * MS_PER_S:.0f} ms')


def main() -> None:
    """Measure one load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, default=5)
    parser.add_argument('--tasks', type=int, default=100_000)
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    measure_turns(arguments.workers, arguments.tasks)
    measure_restart(arguments.tasks)


if __name__ == '__main__':
    main()
