"""Load experiments: scenario files are valid, and policies differ."""

import pathlib

import msgspec
import pytest

from bench import load
from bench import load_scenarios
from orioleshore.tests import support

ROOT = pathlib.Path(load.__file__).parent / 'scenarios'

# One pool at a time has three times the demand that its hosts can serve.
SHIFTING_DEMAND = load_scenarios.Scenario(
    pools={'red': 2, 'blue': 2},
    standby=6,
    cores=16,
    turns=load_scenarios.Turns(period_s=6.0, high=16.0, low=0.2),
    tasks=(4, 8),
    task_cores=(1.0, 1.5),
    run_s=0.8,
    objective_ms=4_600,
    lasting_tasks=2,
    length_s=12.0,
)


@pytest.mark.parametrize('path', sorted(ROOT.glob('*.yaml')))
def test_scenarios_can_be_read(path):
    """Guards against scenario files that the tool can no longer read."""
    assert load_scenarios.read_scenario(str(path)).length_s > 0


def test_misspelt_scenario_is_refused(tmp_path):
    """Guards against a misspelt setting that is silently ignored."""
    text = (ROOT / 'association.yaml').read_text('utf-8')
    path = tmp_path / 'wrong.yaml'
    path.write_text(text + 'hosts: 3\n', 'utf-8')
    with pytest.raises(msgspec.ValidationError):
        load_scenarios.read_scenario(str(path))


def test_moving_hosts_with_demand_completes_more_jobs_in_time():
    """Guards against a demand peak that only its own pool serves."""
    outcomes = {
        policy: load.Experiment(SHIFTING_DEMAND, policy, support.SEED).run()
        for policy in ('product', 'fixed-pools')
    }
    product, fixed = outcomes['product'], outcomes['fixed-pools']
    assert product.submitted == fixed.submitted
    assert product.in_time >= 0.9 * product.submitted
    assert fixed.in_time <= 0.7 * fixed.submitted
