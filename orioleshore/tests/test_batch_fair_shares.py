"""One organisation that floods the pools, and the limits of organisations."""

import functools
import pathlib

from hypothesis import given
from hypothesis import strategies
import msgspec

from bench import load
from bench import load_scenarios
from orioleshore.jobs import admission
from orioleshore.jobs import demand
from orioleshore.jobs import fair_shares
from orioleshore.jobs import ordering
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support

FLOOD_FILE = (
    pathlib.Path(load.__file__).parent / 'scenarios/organisation-flood.yaml'
)
# Differences below this are noise, as the users' page on the score says.
NOISE = 0.03
LARGE = ids.OrganisationId('large')
SMALL = ids.OrganisationId('small')
NAMES = [ids.OrganisationId(name) for name in 'abcd']
AMOUNTS = strategies.dictionaries(
    strategies.sampled_from(NAMES),
    strategies.integers(0, 1_000_000),
    min_size=1,
)
WEIGHTS = strategies.fixed_dictionaries(
    {name: strategies.floats(0.1, 100.0) for name in NAMES}
)


@functools.cache
def run_flood(has_flood: bool) -> load.Outcome:
    """Return the outcome of the scenario with or without its flood."""
    scenario = load_scenarios.read_scenario(str(FLOOD_FILE))
    if not has_flood:
        scenario = msgspec.structs.replace(scenario, flood=None)
    return load.Experiment(scenario, 'product', support.SEED).run()


def test_flood_of_one_organisation_costs_the_others_nothing():
    """Guards against jobs that wait behind the flood of another organisation.

    With the earliest due time first, the share of the others' jobs in time
    fell by 0.14.
    """
    scenario = load_scenarios.read_scenario(str(FLOOD_FILE))
    others = scenario.organisations.keys() - {scenario.flood.organisation}
    without = run_flood(False).get_share(others)
    assert run_flood(True).get_share(others) >= without - NOISE


def test_demand_without_a_flood_is_served_in_time():
    """Guards against shares that hold back organisations without need."""
    assert run_flood(False).in_time == run_flood(False).submitted


@given(AMOUNTS, WEIGHTS)
def test_flood_delays_others_only_up_to_its_share(work, weights):
    """Guards against expected waits that count all work of a flood."""
    for name, own_s in work.items():
        alone = fair_shares.get_clear_time_s({name: own_s}, weights, name, 2.0)
        time_s = fair_shares.get_clear_time_s(work, weights, name, 2.0)
        shares = fair_shares.get_shares({n: weights[n] for n in work})
        assert alone <= time_s <= alone / shares[name] * (1 + 1e-9)
        assert time_s <= sum(work.values()) / 2.0 * (1 + 1e-9)


@given(AMOUNTS, WEIGHTS)
def test_some_organisation_is_within_its_share(work, weights):
    """Guards against shares under which nobody goes before the others."""
    total = specs.Resources(int(sum(work.values())) + 1)
    above = fair_shares.find_above_share(
        fair_shares.get_shares({name: weights[name] for name in work}),
        lambda name: specs.Resources(int(work[name])),
        total,
    )
    assert above < work.keys()


def test_organisation_above_its_share_yields_for_a_bounded_time():
    """Guards against a flood before others, and against one that starves."""
    old, above, within, late = (
        builders.build_progress(number, accepted_at)
        for number, accepted_at in ((1, -0.7), (2, 1.0), (3, 1.5), (4, -2.0))
    )
    jobs = sorted(
        [late, above, within, old],
        key=lambda job: ordering.get_rank(
            job, ids.WallTime(1.0), 1.0, job in (old, above)
        ),
    )
    assert jobs == [old, within, above, late]


def build_fleet(cores: int = 0):
    """Return two hosts that have run some jobs, and LARGE's limit in cores."""
    fleet = builders.build_fleet(
        2,
        organisations=(
            builders.build_organisation(LARGE, cores),
            builders.build_organisation(SMALL),
        ),
    )
    step = builders.build_step(6)
    for number in range(8):
        fleet.call_scheduler(
            builders.build_submission(
                number + 1, builders.build_batch_job(step)
            )
        )
    fleet.run(8.0)
    return fleet


def submit(fleet, name: ids.OrganisationId, numbers: range):
    """Submit a job for each number; return the answers."""
    job = builders.build_batch_job(builders.build_step(6))
    key = f'key-of-{name}'
    return [
        fleet.call_scheduler(builders.build_submission(number, job, key=key))
        for number in numbers
    ]


def test_only_the_flooding_organisation_is_refused():
    """Guards against refusals of callers whose own backlog is small."""
    fleet = build_fleet()
    flood = submit(fleet, LARGE, range(100, 1_000))
    assert any(answer.is_err() for answer in flood)
    assert all(answer.is_ok() for answer in submit(fleet, SMALL, range(9)))


def test_job_that_its_own_limit_makes_late_is_refused_at_once():
    """Guards against a backlog behind a limit that waits in vain."""
    fleet = build_fleet(1)
    flood = submit(fleet, LARGE, range(100, 200))
    refused = [answer.unwrap_err() for answer in flood if answer.is_err()]
    assert refused
    assert all(failure.retry_after_s > 0 for failure in refused)


def test_work_that_a_limit_holds_back_calls_for_no_hosts():
    """Guards against hosts that are moved for tasks which may not start."""
    needed = {}
    for cores in (0, 4):
        fleet = build_fleet(cores)
        submit(fleet, LARGE, range(100, 200))
        # Longer than the arrivals count as a rate.
        fleet.run(demand.RATE_WINDOW_S + 0.2)
        needed[cores] = fleet.scheduler.pools.get_needed_hosts(
            ids.PoolId('red')
        )
    assert needed[4] <= 2 < needed[0]


def test_refused_callers_never_get_the_same_time():
    """Guards against callers that return together because they were many.

    All callers beyond the longest delay were told the same second.
    """
    slots = admission.RetrySlots()
    pool = ids.PoolId('red')
    times = [slots.reserve_slot(pool, LARGE, 10.0, 0.7) for _ in range(400)]
    assert max(times) <= 10.0 + admission.MAX_RETRY_AFTER_S
    rounds = 1 + 400 * 0.7 // admission.MAX_RETRY_AFTER_S
    assert max(map(times.count, times)) <= rounds
    # Other organisations have slots of their own.
    assert slots.reserve_slot(pool, SMALL, 10.0, 0.7) == 10.7
