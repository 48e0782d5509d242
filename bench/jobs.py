"""Benchmark of job decisions: placement time, urgent jobs, utilisation.

Placement times are real times of the planner and the state machine. The
other figures come from a simulation with fake workers in virtual time.
"""

import argparse
import collections
import math
import pathlib
import random
import statistics
import time

import msgspec
import yaml

from fakes import tasks as fake_tasks
from orioleshore.fleet import events
from orioleshore.fleet import job_core
from orioleshore.fleet import jobs
from orioleshore.fleet import learning
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.tests import builders
from orioleshore.tests import job_session
from orioleshore.tests import support

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ('document-association.yaml', 'document-sakdina.yaml')
SIZES = (12, 120, 1_200, 19_000)
URGENT_JOBS = 50
# In the simulations, jobs declare three times the cores that they use.
DECLARED_FACTOR = 3.0


class Simulation(job_session.JobSession):
    """A session without the invariant checks, which iterate over all jobs."""

    def __init__(self, document: documents.Document, enabled: bool) -> None:
        self._enabled = enabled
        super().__init__(document)

    def build_planner(self) -> jobs.JobPlanner:
        """Return a planner without usage history."""
        return jobs.JobPlanner(learning.UsageEstimator(self._enabled))

    def check_invariants(self) -> None:
        """Skip the invariant checks."""


def build_session(
    document: documents.Document, enabled: bool = True
) -> Simulation:
    """Return a session with usage estimation enabled or disabled."""
    session = Simulation(document, enabled)
    session.fake.default = fake_tasks.Work(600.0)
    return session


def fill_workers(
    session: Simulation, prefix: str, count: int, **fields
) -> None:
    """Add identical jobs and let the planner place as many as fit."""
    session.add_jobs(
        *(
            builders.build_job(f'{prefix}-{number}', **fields)
            for number in range(count)
        )
    )
    for _ in range(4 + 2 * count // job_core.MAX_PLACEMENTS_PER_EVENT):
        session.handle_event(events.TimerFired())
        session.commit_proposals()
        session.deliver_calls()
        session.now += 0.001


def measure_placement(workers: int, full: bool, seed: int) -> dict:
    """Return statistics of placing single urgent jobs, in milliseconds."""
    team = documents.Team(ids.TeamId('members'), 1e9, 1e9)
    session = build_session(
        builders.build_document(hosts=workers, teams=(team,))
    )
    count = 2 * workers if full else int(1.9 * workers)
    fill_workers(session, 'task', count, cores=8.0, run_time_s=400.0)
    numbers = random.Random(seed)
    decided, applied = [], []
    for number in range(URGENT_JOBS):
        job = builders.build_job(
            f'urgent-{number}',
            urgent=True,
            cores=float(numbers.randint(1, 8)),
        )
        document = msgspec.structs.replace(
            session.state.document,
            jobs=(*session.state.document.jobs, job),
        )
        change = builders.build_change(
            document,
            session.state.document,
            session.state.version,
            1_000 + number,
            session.now,
        )
        started = time.perf_counter()
        apply_change(change, session)
        middle = time.perf_counter()
        session.handle_event(events.CommandApplied(change))
        ended = time.perf_counter()
        applied.append(1e3 * (middle - started))
        decided.append(1e3 * (ended - middle))
        session.commit_proposals()
        session.deliver_calls()
        session.deliver_reports()
        session.commit_proposals()
    started = time.perf_counter()
    session.now += 0.5
    session.handle_event(events.TimerFired())
    return {
        'workers': workers,
        'pool': 'full' if full else '95 % full',
        'running': len(session.planner._core.tasks),
        'decide_median_ms': statistics.median(decided),
        'decide_max_ms': max(decided),
        'apply_median_ms': statistics.median(applied),
        'tick_ms': 1e3 * (time.perf_counter() - started),
    }


def apply_change(change, session: Simulation) -> None:
    """Apply a change of the document without notifying the planner."""
    machine.apply_command(change, session.state).unwrap()


def print_placement(sizes: list[int], seed: int) -> None:
    """Print placement times and how they grow with the fleet."""
    for full in (False, True):
        rows = [measure_placement(size, full, seed) for size in sizes]
        for row in rows:
            print('placement', _format_row(row), flush=True)
        if len(rows) < 2:
            continue
        first, last = rows[0], rows[-1]
        slope = math.log(
            last['decide_median_ms'] / first['decide_median_ms']
        ) / math.log(last['workers'] / first['workers'])
        print(f'placement pool={last["pool"]} slope exponent={slope:.2f}')


def read_example(name: str) -> documents.Document:
    """Return an example document."""
    content = yaml.safe_load((ROOT / 'examples' / name).read_text('utf-8'))
    return msgspec.convert(content, documents.Document)


def build_large(workers: int, teams: int, pools: int) -> documents.Document:
    """Return a document of the target size, without services."""
    names = [f'pool-{number}' for number in range(pools)]
    share = workers // pools
    hosts: list[documents.Host] = []
    for position, pool in enumerate(names):
        count = share + (position < workers % pools)
        hosts += builders.build_hosts(count, pool)
    return documents.Document(
        pools=tuple(documents.Pool(ids.PoolId(name)) for name in names),
        hosts=tuple(hosts),
        teams=tuple(
            documents.Team(ids.TeamId(f'team-{number}'), 1e5, 1e6)
            for number in range(teams)
        ),
    )


def build_stream(
    document: documents.Document,
    session: Simulation,
    seed: int,
    per_worker: int,
    run_s: float,
) -> tuple[documents.Job, ...]:
    """Return jobs for all pools; the fake workers get their actual sizes."""
    numbers = random.Random(seed)
    by_pool = collections.Counter(host.pool for host in document.hosts)
    cores = document.hosts[0].cores
    added = []
    for pool, count in by_pool.items():
        for number in range(count * per_worker):
            true = cores / 4 * numbers.uniform(0.8, 1.0)
            name = f'{pool}-job-{number}'
            session.fake.works[name] = fake_tasks.Work(
                run_s * numbers.uniform(0.8, 1.2), true, 4.0
            )
            added.append(
                builders.build_job(
                    name,
                    pool=pool,
                    team=document.teams[number % len(document.teams)].name,
                    job_class=f'class-{number % 5}',
                    cores=DECLARED_FACTOR * cores / 4,
                    memory_gb=8.0,
                    run_time_s=run_s,
                    idempotent=number % 2 == 0,
                )
            )
    return tuple(added)


def simulate_jobs(
    label: str,
    document: documents.Document,
    enabled: bool,
    seed: int,
    step_s: float,
    steps: int,
    faults: bool,
    per_worker: int = 16,
) -> None:
    """Print the utilisation, waits of urgent jobs and double starts."""
    session = build_session(document, enabled)
    stream = build_stream(document, session, seed, per_worker, 30.0)
    once = {job.name for job in stream if not job.idempotent}
    session.add_jobs(*stream)
    numbers = random.Random(seed + 1)
    total = sum(host.cores for host in document.hosts)
    used: list[float] = []
    submitted_at: dict[str, float] = {}
    started_at: dict[str, float] = {}
    began = time.perf_counter()
    for step in range(steps):
        if step % 10 == 5:
            name = f'urgent-{step}'
            pool = numbers.choice(document.pools).name
            # Half of a worker, so that other tasks are preempted.
            cores = document.hosts[0].cores / 2
            session.fake.works[name] = fake_tasks.Work(5.0, cores)
            submitted_at[name] = session.now
            session.add_jobs(
                builders.build_job(
                    name,
                    pool=pool,
                    team=document.teams[0].name,
                    job_class='urgent',
                    cores=cores,
                    urgent=True,
                )
            )
        if faults and step % 40 == 20:
            session.fake.cut_off ^= {numbers.choice(document.hosts).name}
        if faults and step % 60 == 30:
            session.change_leader()
        session.advance(step_s)
        for name in submitted_at:
            if name not in started_at and session.fake.starts[name]:
                started_at[name] = session.now
        used.append(sum(run.work.cores for run in session.fake.runs.values()))
    waits = [started_at[name] - submitted_at[name] for name in started_at]
    half = used[len(used) // 2 :]
    row = {
        'document': label,
        'learned_sizes': enabled,
        'faults': faults,
        'workers': len(document.hosts),
        'utilisation': sum(half) / len(half) / total,
        'done': _count_jobs(session, states.JobState.DONE),
        'urgent_started': f'{len(started_at)}/{len(submitted_at)}',
        'urgent_wait_max_s': max(waits, default=0.0),
        'double_starts': sum(session.fake.starts[name] > 1 for name in once),
        'unknown': _count_jobs(session, states.JobState.UNKNOWN),
        'wall_s': time.perf_counter() - began,
    }
    print('simulation', _format_row(row), flush=True)


def _count_jobs(session: Simulation, state: states.JobState) -> int:
    return sum(job.state is state for job in session.state.jobs.values())


def _format_row(row: dict) -> str:
    return ' '.join(
        f'{name}={value:.3g}'
        if isinstance(value, float)
        else f'{name}={value}'
        for name, value in row.items()
    )


def print_renewals(workers: int) -> None:
    """Print the log volume of lease renewals at 4 tasks per worker."""
    attempts = 4 * workers
    holders = tuple(
        commands.LeaseHolder(ids.JobId(f'team-12-job-{number}'), 1)
        for number in range(job_core.MAX_RENEWALS_PER_COMMAND)
    )
    single, batch = (
        len(commands.encode_command(_build_renewal(part)))
        for part in (holders[:1], holders)
    )
    each = batch / len(holders)
    for lease_s in (60.0, 600.0):
        # A lease is renewed after three quarters of its duration.
        renewals = attempts / (0.75 * lease_s)
        row = {
            'workers': workers,
            'lease_s': lease_s,
            'renewals_per_s': renewals,
            'single_bytes_per_s': renewals * single,
            'batch_commands_per_s': renewals / len(holders),
            'batch_bytes_per_s': renewals * each,
            # One in ten attempts runs longer than 1.5 times the learned
            # quantile.
            'outliving_bytes_per_s': 0.1 * renewals * each,
        }
        print('renewal', _format_row(row))


def _build_renewal(
    holders: tuple[commands.LeaseHolder, ...],
) -> commands.RenewLeases:
    return commands.RenewLeases(
        time=builders.NOW,
        epoch=ids.Epoch(1),
        holders=holders,
        lease_until=ids.WallTime(builders.NOW + 60.0),
    )


def main() -> None:
    """Print one line for each measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=support.SEED)
    parser.add_argument('--sizes', type=int, nargs='+', default=SIZES)
    parser.add_argument('--large-workers', type=int, default=19_000)
    parser.add_argument('--teams', type=int, default=150)
    parser.add_argument('--pools', type=int, default=175)
    parser.add_argument(
        '--part',
        choices=('placement', 'renewals', 'examples', 'large', 'all'),
        default='all',
    )
    arguments = parser.parse_args()
    if arguments.part in ('placement', 'all'):
        print_placement(list(arguments.sizes), arguments.seed)
    if arguments.part in ('renewals', 'all'):
        print_renewals(arguments.large_workers)
    if arguments.part in ('examples', 'all'):
        for name in EXAMPLES:
            for enabled in (False, True):
                for faults in (False, True):
                    simulate_jobs(
                        name,
                        read_example(name),
                        enabled,
                        arguments.seed,
                        0.5,
                        400,
                        faults,
                    )
    if arguments.part in ('large', 'all'):
        large = build_large(
            arguments.large_workers, arguments.teams, arguments.pools
        )
        for enabled in (False, True):
            simulate_jobs(
                'large', large, enabled, arguments.seed, 2.0, 40, False, 5
            )


if __name__ == '__main__':
    main()
