"""Experiment that compares policies for jobs, hosts and waves.

Runs the real decisions with fake workers through a scenario in YAML and
prints one row for each policy and seed::

    python -m bench.load bench/scenarios/association.yaml --seeds 3

Time is virtual; no sockets are opened.
"""

import argparse
import collections
from collections.abc import Container
import heapq
import logging
import random
import statistics

import msgspec

from bench import load_scenarios
from fakes import workers
from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states

STEP_S = 0.05


class OpenJob(msgspec.Struct, frozen=True):
    """A job whose caller waits for its result."""

    began_at: float
    organisation: str


class Retry(msgspec.Struct, frozen=True, order=True):
    """A refused job and the time at which it is submitted again."""

    at: float
    name: ids.JobId
    call: calls.SubmitJob
    attempt: int


class Outcome(msgspec.Struct):
    """Results of an experiment; times in seconds."""

    submitted: int = 0
    refused: int = 0
    in_time: int = 0
    late: int = 0
    open: int = 0
    host_seconds: float = 0.0
    moves: int = 0
    lasting_share: float = 0.0
    wave_s: float | None = None
    delays: list[float] = []
    # Jobs submitted and in time by organisation.
    submitted_by: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    in_time_by: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )

    def get_share(self, names: Container[str]) -> float:
        """Return the share of jobs in time of some organisations."""
        submitted = sum(n for k, n in self.submitted_by.items() if k in names)
        in_time = sum(n for k, n in self.in_time_by.items() if k in names)
        return in_time / submitted if submitted else 1.0


class Experiment:
    """One run of a scenario under one policy."""

    def __init__(
        self, scenario: load_scenarios.Scenario, policy: str, seed: int
    ) -> None:
        self._scenario = scenario
        self._random = random.Random(seed)
        self._sources = {
            name: random.Random(f'{seed} {name}')
            for name in scenario.organisations or ('',)
        }
        self._fleet = workers.FakeFleet(
            _make_configuration(scenario), seed=seed
        )
        for pool, count in scenario.pools.items():
            self._fleet.add_hosts(count, pool, scenario.cores)
        self._fleet.add_hosts(scenario.standby, 'standby', scenario.cores)
        self._fleet.mean_run_s = scenario.run_s
        self._number = 0
        self._open_jobs: dict[ids.JobId, OpenJob] = {}
        # Refused jobs with the times at which they are submitted again.
        self._retries: list[Retry] = []
        self._outcome = Outcome()
        _POLICIES[policy](self._fleet)

    def run(self) -> Outcome:
        """Run the scenario, then 20 s more for accepted jobs to end."""
        self._fleet.run(5.0)
        self._submit_lasting_jobs()
        self._fleet.run(2.0)
        self._break_hosts()
        began = self._fleet.now
        opened = self._open_wave()
        lasting = []
        while self._fleet.now < began + self._scenario.length_s:
            self._submit_due_jobs(self._fleet.now - began)
            self._advance_step()
            lasting.append(self._get_lasting_share())
            self._record_wave_end(opened)
        for _ in range(int(20.0 / STEP_S)):
            self._advance_step()
            self._record_wave_end(opened)
        self._outcome.open = len(self._open_jobs)
        self._outcome.lasting_share = statistics.fmean(lasting)
        self._outcome.moves = sum(
            isinstance(change, _HOST_ORDER) for change in self._fleet.log
        )
        return self._outcome

    def _advance_step(self) -> None:
        fleet = self._fleet
        fleet.now += STEP_S
        fleet.advance_step()
        self._outcome.host_seconds += STEP_S * sum(
            worker.pool != 'standby' for worker in fleet.workers.values()
        )
        while self._retries and self._retries[0].at <= fleet.now:
            retry = heapq.heappop(self._retries)
            self._send_submission(retry.name, retry.call, retry.attempt)
        for name, job in list(self._open_jobs.items()):
            record = fleet.scheduler.ledger.jobs.get(name)
            if record is None or not record.is_ended:
                continue
            del self._open_jobs[name]
            self._record_end(record.state, job)

    def _record_end(self, state: states.BatchState, job: OpenJob) -> None:
        delay_s = self._fleet.now - job.began_at
        self._outcome.delays.append(delay_s)
        objective_s = self._scenario.objective_ms / 1_000.0
        if state is states.BatchState.COMPLETED and delay_s <= objective_s:
            self._outcome.in_time += 1
            self._outcome.in_time_by[job.organisation] += 1
        else:
            self._outcome.late += 1

    def _submit_due_jobs(self, elapsed_s: float) -> None:
        turns = self._scenario.turns
        pools = list(self._scenario.pools)
        active = pools[int(elapsed_s / turns.period_s) % len(pools)]
        for pool in pools:
            rate = turns.high if pool == active else turns.low
            for name, share in self._get_demand(elapsed_s).items():
                self._submit_jobs_of(name, pool, rate * share)

    def _get_demand(self, elapsed_s: float) -> dict[str, float]:
        """Return the demand of each organisation, relative to the usual."""
        weights = self._scenario.organisations or {'': 1.0}
        total = sum(weights.values())
        demand = {name: weight / total for name, weight in weights.items()}
        flood = self._scenario.flood
        if flood and flood.at_s <= elapsed_s < flood.at_s + flood.for_s:
            demand[flood.organisation] *= flood.factor
        return demand

    def _submit_jobs_of(
        self, organisation: str, pool: str, rate: float
    ) -> None:
        # One source of random numbers for each organisation, so that the
        # jobs of the others are the same with and without a flood.
        source = self._sources[organisation]
        whole, rest = divmod(rate * STEP_S, 1.0)
        for _ in range(int(whole) + (source.random() < rest)):
            self._submit_job(pool, self._make_job(source), organisation)

    def _make_job(self, source: random.Random) -> specs.Job:
        low, high = self._scenario.tasks
        cores = source.uniform(*self._scenario.task_cores)
        step = specs.Step(
            source.randint(low, high),
            specs.Resources(int(1_000 * cores), 1_024),
            int(1_000 * self._scenario.run_s),
        )
        return specs.Job('', (step,))

    def _submit_job(
        self, pool: str, job: specs.Job, organisation: str = ''
    ) -> ids.JobId:
        self._number += 1
        name = ids.JobId(f'{self._number:016x}')
        self._outcome.submitted += 1
        self._outcome.submitted_by[organisation] += 1
        key = ids.ApiKey(f'key-{organisation}' if organisation else '')
        call = calls.SubmitJob('jobs.example', f'/{pool}/{name}', job, key)
        self._open_jobs[name] = OpenJob(self._fleet.now, organisation)
        self._send_submission(name, call)
        return name

    def _send_submission(
        self, name: ids.JobId, call: calls.SubmitJob, attempt: int = 1
    ) -> None:
        answer = self._fleet.call_scheduler(call)
        if answer.is_ok():
            return
        self._outcome.refused += 1
        if attempt > self._scenario.retries:
            del self._open_jobs[name]
            return
        retry_at = self._fleet.now + answer.unwrap_err().retry_after_s
        heapq.heappush(self._retries, Retry(retry_at, name, call, attempt + 1))

    def _submit_lasting_jobs(self) -> None:
        step = specs.Step(
            self._scenario.lasting_tasks,
            specs.Resources(1_500, 1_024),
            is_long_running=True,
            max_unavailable=1,
        )
        self._lasting = []
        for pool in self._scenario.pools:
            name = self._submit_job(pool, specs.Job('', (step,)))
            self._open_jobs.pop(name, None)
            self._outcome.submitted -= 1
            self._outcome.submitted_by[''] -= 1
            self._lasting.append(name)

    def _get_lasting_share(self) -> float:
        wanted = self._scenario.lasting_tasks * len(self._lasting)
        running = sum(
            self._fleet.count_running_tasks(n) for n in self._lasting
        )
        return running / wanted if wanted else 1.0

    def _break_hosts(self) -> None:
        hosts = sorted(self._fleet.workers)
        for host in self._random.sample(hosts, self._scenario.greys):
            self._fleet.workers[host].is_failing = True

    def _open_wave(self) -> float:
        hosts = sorted(self._fleet.workers)
        chosen = self._random.sample(hosts, self._scenario.wave_hosts)
        if chosen:
            self._fleet.call_scheduler(
                calls.OpenWave(
                    ids.WaveId('1'),
                    tuple(chosen),
                    self._scenario.length_s,
                    self._scenario.wave_at_once,
                )
            )
        return self._fleet.now

    def _record_wave_end(self, opened: float) -> None:
        if self._outcome.wave_s is not None or not self._scenario.wave_hosts:
            return
        wave = self._fleet.call_scheduler(
            calls.GetWave(ids.WaveId('1'))
        ).unwrap()
        if wave.completed:
            self._outcome.wave_s = self._fleet.now - opened


def _make_configuration(
    scenario: load_scenarios.Scenario,
) -> specs.Configuration:
    queues = tuple(
        specs.Queue(
            ids.QueueId(f'queue-{pool}'),
            'jobs.example',
            f'/{pool}/',
            ids.PoolId(pool),
            max_attempts=3,
            stretch=0.0,
            objective_ms=scenario.objective_ms,
        )
        for pool in scenario.pools
    )
    organisations = tuple(
        specs.Organisation(
            ids.OrganisationId(name),
            (ids.ApiKey(f'key-{name}'),),
            weight,
            specs.Resources(1_000 * scenario.limit_cores),
        )
        for name, weight in scenario.organisations.items()
    )
    pools = [specs.Pool(ids.PoolId(pool), True) for pool in scenario.pools]
    pools.append(specs.Pool(ids.PoolId('standby'), True, True))
    return specs.Configuration(
        ids.Version(1), queues, tuple(pools), b'{}', organisations
    )


def _keep_decisions(fleet: workers.FakeFleet) -> None:
    """Keep the decisions of the scheduler unchanged."""


def _fix_pools(fleet: workers.FakeFleet) -> None:
    """Never move a host."""
    fleet.scheduler.pools.advance = lambda: None


def _accept_all_jobs(fleet: workers.FakeFleet) -> None:
    """Disable refusals because of the backlog."""
    fleet.scheduler.run_times.get_mean = lambda pool: None


_HOST_ORDER = workers.ledger.HostOrdered
_POLICIES = {
    'product': _keep_decisions,
    'fixed-pools': _fix_pools,
    'accept-all': _accept_all_jobs,
}


def format_row(policy: str, seed: int, outcome: Outcome) -> str:
    """Return one row of the table."""
    delays = sorted(outcome.delays) or [0.0]
    p95 = delays[int(0.95 * (len(delays) - 1))]
    wave = '-' if outcome.wave_s is None else f'{outcome.wave_s:.1f}'
    return (
        f'{policy:12} {seed:4} {outcome.submitted:6} {outcome.refused:7} '
        f'{outcome.in_time:7} {outcome.late:5} {outcome.open:5} '
        f'{statistics.median(delays):6.2f} {p95:6.2f} '
        f'{outcome.host_seconds:8.0f} {outcome.moves:6} '
        f'{outcome.lasting_share:7.3f} {wave:>6}'
    )


def format_organisations(
    scenario: load_scenarios.Scenario, outcome: Outcome
) -> str:
    """Return the shares of jobs in time, the flooding one apart."""
    hot = scenario.flood.organisation if scenario.flood else ''
    others = scenario.organisations.keys() - {hot}
    worst = min(outcome.get_share({name}) for name in scenario.organisations)
    return (
        f'    in time: flooding {outcome.get_share({hot}):.3f}, '
        f'others {outcome.get_share(others):.3f}, worst {worst:.3f}'
    )


def main() -> None:
    """Run a scenario under each policy and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('scenario')
    parser.add_argument('--seeds', type=int, default=2)
    parser.add_argument('--policy', choices=sorted(_POLICIES), action='append')
    arguments = parser.parse_args()
    # Suppress the log lines of the scheduler; only the table is printed.
    logging.getLogger().addHandler(logging.NullHandler())
    scenario = load_scenarios.read_scenario(arguments.scenario)
    print(
        'policy       seed handed refused in_time  late  open '
        'p50 s  p95 s host_s   orders lasting wave_s'
    )
    totals: collections.Counter[str] = collections.Counter()
    for policy in arguments.policy or sorted(_POLICIES):
        for seed in range(1, arguments.seeds + 1):
            outcome = Experiment(scenario, policy, seed).run()
            totals[policy] += outcome.in_time
            print(format_row(policy, seed, outcome), flush=True)
            if scenario.organisations:
                print(format_organisations(scenario, outcome), flush=True)
    for policy, in_time in sorted(totals.items()):
        print(f'{policy}: {in_time} jobs in time')


if __name__ == '__main__':
    main()
