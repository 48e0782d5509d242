"""Benchmark of waves, moves and the buffer against simple policies.

Time is simulated; only the cost of decisions is real processor time. All
random numbers derive from the seed.
"""

import argparse
import math
import pathlib
import random
import statistics
import time

import msgspec
import yaml

from fakes import fleet as fakes_fleet
from orioleshore.fleet import events
from orioleshore.fleet import planner
from orioleshore.fleet import view
from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.state import operations
from orioleshore.state import records

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
START = ids.WallTime(1_800_000_000.0)
WAVE = ids.WaveId('kernel')
SIZES = (12, 120, 1_200, 19_000)
HOSTS_PER_POOL = 109
ZONES = 17
REPORT_S = 10.0
DAY_S = 86_400.0
WEEKS_S = 35 * DAY_S
HEADROOM = 0.2
# Timeouts for simulations without heartbeats of unchanged hosts, in which
# missing reports are no sign of a failure.
QUIET = view.Timings(suspect_s=1e9, silent_s=1e9)


def read_example(name: str) -> documents.Document:
    """Return an example document."""
    path = EXAMPLES / f'document-{name}.yaml'
    content = yaml.safe_load(path.read_text('utf-8'))
    return msgspec.convert(content, documents.Document)


def build_fleet_document(hosts: int) -> documents.Document:
    """Return pools of about 109 hosts, 4 to a rack, in 17 zones."""
    count = math.ceil(hosts / HOSTS_PER_POOL)
    names = [ids.PoolId(f'pool-{number}') for number in range(count)]
    return documents.Document(
        pools=tuple(documents.Pool(name) for name in names),
        services=tuple(
            documents.Service(
                ids.ServiceId(name),
                name,
                (f'/{name}',),
                documents.Budget(0.1 if hosts > 100 else 0.34, 0.5, 0.5),
            )
            for name in names
        ),
        hosts=tuple(
            _build_host(number, names[number % count], number // count)
            for number in range(hosts)
        ),
    )


def _build_host(
    number: int, pool: ids.PoolId, position: int
) -> documents.Host:
    zone = position % ZONES
    return documents.Host(
        name=ids.HostId(f'host-{number}'),
        pool=pool,
        rack=ids.RackId(f'az{zone}-{pool}-r{position // ZONES // 4}'),
        availability_zone=ids.AvailabilityZone(f'az{zone}'),
        cores=64.0,
    )


def build_change(
    old: documents.Document, new: documents.Document, version: int
) -> commands.ChangeDocument:
    """Return the command that changes ``old`` into ``new``."""
    return commands.ChangeDocument(
        time=START,
        operation_id=operations.generate_operation_id(
            START, f'bench-{version:08d}'
        ),
        operator='bench',
        base_version=ids.Version(version),
        edits=changes.get_delta(old, new),
    )


def build_state(document: documents.Document) -> records.State:
    """Return a state that holds the document."""
    state = records.State()
    change = build_change(documents.Document(), document, 0)
    machine.apply_command(change, state).unwrap()
    return state


class TimedPlanner(planner.Planner):
    """Planner that records the processor time of each event in seconds."""

    def __init__(self, timings: view.Timings) -> None:
        super().__init__(timings)
        self.costs: list[float] = []

    def handle(
        self, event: events.Event, now: ids.WallTime
    ) -> list[events.Action]:
        """Handle an event and record its cost."""
        begin = time.process_time()
        actions = super().handle(event, now)
        self.costs.append(time.process_time() - begin)
        return actions


def start_wave(
    document: documents.Document, seed: int, behaviour: fakes_fleet.Behaviour
) -> tuple[fakes_fleet.SimulatedFleet, fakes_fleet.RuleCheck, float]:
    """Start a wave over all pools.

    Returns the fleet, the rule check and the processor seconds of the
    planning.
    """
    check = fakes_fleet.RuleCheck(raises=False)
    state = build_state(document)
    check.watch_fixed_pools(state)
    timings = view.Timings() if behaviour.heartbeat_s else QUIET
    fleet = fakes_fleet.SimulatedFleet(
        state, START, seed, behaviour, timings, check
    )
    fleet.start()
    fleet.leader = TimedPlanner(timings)
    image = records.decode_state(records.encode_state(state))
    fleet.deliver_event(events.LeadershipGained(ids.Epoch(1), image))
    pools = tuple(pool.name for pool in document.pools)
    wave = documents.Wave(WAVE, pools)
    new = msgspec.structs.replace(document, waves=(wave,))
    begin = time.process_time()
    fleet.commit_command(build_change(document, new, 1))
    return fleet, check, time.process_time() - begin


def fail_racks(fleet: fakes_fleet.SimulatedFleet, seed: int) -> int:
    """Fail one rack in 40, at least one, for 15 minutes.

    Returns the number of racks.
    """
    rng = random.Random(seed)
    hosts = fleet.state.document.hosts
    racks = sorted({host.rack for host in hosts})
    chosen = set(rng.sample(racks, max(1, len(racks) // 40)))
    for rack in sorted(chosen):
        delay = rng.uniform(30.0, 600.0)
        for host in (host.name for host in hosts if host.rack == rack):
            fleet.schedule(delay, lambda name=host: fleet.fail_host(name))
            fleet.schedule(
                delay + 900.0, lambda name=host: fleet.repair_host(name)
            )
    return len(chosen)


def measure_rollout(name: str, document: documents.Document, seed: int):
    """Run a wave with failing racks and compare it with a baseline.

    The baseline maintains one host at a time.
    """
    heartbeat = 10.0 if len(document.hosts) < 1_000 else None
    behaviour = fakes_fleet.Behaviour(heartbeat_s=heartbeat)
    fleet, check, plan = start_wave(document, seed, behaviour)
    racks = fail_racks(fleet, seed)
    done = fleet.run_until(lambda: fleet.is_finished(WAVE), 2 * DAY_S)
    took = fleet.now - START
    step = behaviour.drain_s + behaviour.reboot_s + QUIET.proving_s
    single = step * len(document.hosts)
    costs = sorted(fleet.leader.costs)
    print(
        f'{name}: wave finished={done} hosts={len(document.hosts)} '
        f'racks_failed={racks} rollout_s={took:.0f} '
        f'one_at_a_time_s={single:.0f} ratio={took / single:.3f} '
        f'grants={check.grants} breaches={check.violations} '
        f'plan_cpu_s={plan:.3f}'
    )
    print(
        f'{name}: events={len(costs)} '
        f'mean_ms={statistics.fmean(costs) * 1e3:.3f} '
        f'p99_ms={costs[int(0.99 * len(costs))] * 1e3:.3f} '
        f'max_ms={costs[-1] * 1e3:.1f} '
        f'over_5_ms={sum(cost > 0.005 for cost in costs)}'
    )


def get_demand(
    rng: random.Random, position: int, pools: int, step: int, cores: float
) -> float:
    """Return the demand of a pool in cores.

    The mean is a third of the pool. Pools in turn have peaks of 20 s at
    five times the mean and busy hours at about three times the mean;
    otherwise demand falls to as little as a twentieth of the mean.
    """
    mean = cores / 3
    hour = int(step * REPORT_S // 3_600)
    if hour % pools == position:
        return mean * rng.uniform(3.0, 3.4)
    if step // 2 % (2 * pools) == position:
        return 5 * mean
    return mean * rng.uniform(0.05, 1.0)


def measure_moves(name: str, document: documents.Document, seed: int):
    """Compare moves with a policy without hysteresis.

    Also compares the held buffer with a fixed headroom.
    """
    rng = random.Random(seed)
    check = fakes_fleet.RuleCheck(raises=False)
    fleet = fakes_fleet.SimulatedFleet(
        build_state(document), START, seed, check=check, tick_s=5.0
    )
    fleet.start()
    spares = {pool.name for pool in document.pools if pool.spare}
    pools = [p.name for p in document.pools if p.name not in spares]
    cores = {
        pool: sum(h.cores for h in document.hosts if h.pool == pool)
        for pool in (*pools, *spares)
    }
    size = document.hosts[0].cores
    spare_hosts = sum(h.pool in spares for h in document.hosts)
    plain = dict.fromkeys(pools, 0)
    plain_moves = 0
    held: list[float] = []
    for step in range(int(12 * 3_600 / REPORT_S)):
        for position, pool in enumerate(pools):
            demand = get_demand(rng, position, len(pools), step, cores[pool])
            fleet.deliver_event(events.DemandReported(pool, demand))
            wanted = math.ceil((demand / 0.85 - cores[pool]) / size)
            others = sum(plain.values()) - plain[pool]
            lent = max(0, min(wanted, spare_hosts - others))
            plain_moves += abs(lent - plain[pool])
            plain[pool] = lent
        fleet.run(REPORT_S)
        holds = fleet.leader.get_dump()['moves']['held']
        held.append(len(holds) * size)
    moves = sum(record.epoch - 1 for record in fleet.state.hosts.values())
    fixed = HEADROOM * sum(cores.values())
    buffer = statistics.fmean(held)
    print(
        f'{name}: moves={moves} without_hysteresis={plain_moves} '
        f'ratio={moves / max(1, plain_moves):.4f} buffer_cores={buffer:.1f} '
        f'fixed_headroom_cores={fixed:.1f} ratio={buffer / fixed:.3f} '
        f'breaches={check.violations}'
    )


def measure_slope(seed: int) -> None:
    """Print the cost of an event and of a grant at each size."""
    means = []
    for hosts in SIZES:
        document = build_fleet_document(hosts)
        behaviour = fakes_fleet.Behaviour(heartbeat_s=None)
        fleet, _, plan = start_wave(document, seed, behaviour)
        fleet.leader.costs.clear()
        fleet.run(60.0)
        costs = fleet.leader.costs
        grant = measure_grant(document)
        means.append(statistics.fmean(costs))
        print(
            f'hosts={hosts} pools={len(document.pools)} events={len(costs)} '
            f'mean_us={means[-1] * 1e6:.1f} grant_us={grant * 1e6:.1f} '
            f'plan_cpu_s={plan:.4f}'
        )
    slope = math.log(means[-1] / means[0]) / math.log(SIZES[-1] / SIZES[0])
    print(f'slope of the mean cost: hosts^{slope:.3f}')


def measure_grant(document: documents.Document) -> float:
    """Return the mean processor seconds of a grant in the state machine."""
    state = build_state(document)
    # Build the index in advance; it is computed once per document.
    budgets.get_index(state)
    chosen = document.hosts[:1_000]
    begin = time.process_time()
    for host in chosen:
        grant = commands.GrantPermission(
            time=START,
            permission=ids.PermissionId(host.name),
            host=host.name,
            host_epoch=ids.Epoch(1),
            purpose=states.Purpose.MAINTENANCE,
            epoch=ids.Epoch(1),
            until=ids.WallTime(START + 900.0),
        )
        machine.apply_command(grant, state)
    return (time.process_time() - begin) / len(chosen)


def print_five_weeks(name: str, document: documents.Document) -> None:
    """Print whether maintenance of every host fits into 5 weeks.

    Assumes that each step takes its full time limit, the worst case for a
    host that returns.
    """
    limits = view.Timings()
    step = limits.drain_s + limits.reboot_s + limits.proving_s
    longest = 0.0
    never = []
    for service in document.services:
        hosts = [h for h in document.hosts if h.pool == service.pool]
        size = max(host.cores for host in hosts)
        total = sum(host.cores for host in hosts)
        at_once = int(service.budget.total * total / size * (1 + 1e-9))
        if at_once == 0:
            never.append(service.name)
            continue
        longest = max(longest, math.ceil(len(hosts) / at_once) * step)
    least = 1 / min(
        sum(h.pool == s.pool for h in document.hosts)
        for s in document.services
    )
    print(
        f'{name}: worst pool takes {longest / 3_600:.1f} h of '
        f'{WEEKS_S / 3_600:.0f} h, services that never fit: {len(never)}; '
        f'least total budget of the smallest pool {least:.4f}; one host of '
        f'the fleet at a time takes '
        f'{len(document.hosts) * step / WEEKS_S:.2f} times 5 weeks'
    )


def main() -> None:
    """Run the selected parts and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=20_261_204)
    parser.add_argument(
        '--part',
        choices=('rollout', 'moves', 'slope', 'weeks', 'target', 'all'),
        default='all',
        help='target is the wave over 19,000 hosts, about a minute',
    )
    arguments = parser.parse_args()
    part, seed = arguments.part, arguments.seed
    for name in ('association', 'sakdina'):
        document = read_example(name)
        if part in ('rollout', 'all'):
            measure_rollout(name, document, seed)
        if part in ('moves', 'all'):
            measure_moves(name, document, seed)
        if part in ('weeks', 'all'):
            print_five_weeks(name, document)
    target = build_fleet_document(SIZES[-1])
    if part in ('weeks', 'all'):
        print_five_weeks('target', target)
    if part in ('slope', 'all'):
        measure_slope(seed)
    if part in ('target', 'all'):
        measure_rollout('target', target, seed)


if __name__ == '__main__':
    main()
