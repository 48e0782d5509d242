"""Checks that the design page and the code agree."""

import pathlib
import re
import typing

import pytest

from orioleshore.consensus import events as consensus_events
from orioleshore.fleet import events as fleet_events
from orioleshore.membership import events as membership_events
from orioleshore.routing import events as routing_events
from orioleshore.state import commands

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGE = (ROOT / 'docs' / 'design.md').read_text('utf-8')
DECISION_MODULES = (
    'consensus/raft.py',
    'consensus/elections.py',
    'consensus/replication.py',
    'consensus/followers.py',
    'membership/detector.py',
    'routing/router.py',
    'routing/slots.py',
    'routing/queues.py',
    'fleet/planner.py',
    'fleet/waves.py',
    'fleet/moves.py',
    'fleet/jobs.py',
    'jobs/scheduler.py',
    'jobs/handlers.py',
    'jobs/reports.py',
    'jobs/ledger.py',
    'jobs/ledger_updates.py',
    'jobs/progress.py',
    'jobs/admission.py',
    'jobs/ordering.py',
    'jobs/fair_shares.py',
    'jobs/placement.py',
    'jobs/eligibility.py',
    'jobs/gangs.py',
    'jobs/approvals.py',
    'jobs/interference.py',
    'jobs/crash_attribution.py',
    'jobs/crash_limits.py',
    'jobs/probation.py',
    'jobs/holds.py',
    'jobs/limit_holds.py',
    'jobs/organisation_status.py',
    'jobs/organisations.py',
    'quotas/shares.py',
    'jobs/orders.py',
    'jobs/upkeep.py',
    'jobs/demand.py',
    'jobs/pools.py',
    'jobs/stalls.py',
    'model/findings.py',
    'findings/configuration_errors.py',
    'findings/configuration_warnings.py',
    'findings/organisation_warnings.py',
    'findings/document_warnings.py',
    'findings/availability_warnings.py',
    'findings/differences.py',
    'intake/budget.py',
    'state/machine.py',
    'state/feed.py',
)
FORBIDDEN = re.compile(
    r'^(?:import|from) (?:asyncio|aiohttp|aiomisc|thrift|time|socket)\b',
    re.MULTILINE,
)


@pytest.mark.parametrize(
    'listed',
    [
        consensus_events.Event,
        consensus_events.Action,
        membership_events.Event,
        membership_events.Action,
        routing_events.Event,
        routing_events.Action,
        fleet_events.Event,
        fleet_events.Action,
        commands.Command,
    ],
)
def test_page_lists_every_event_action_and_command(listed):
    """Guards against events, actions and commands missing on the page."""
    for item in typing.get_args(listed):
        assert re.search(rf'`{item.__name__}\b', PAGE), item.__name__


def test_page_lists_every_module():
    """Guards against modules that the page does not list."""
    package = ROOT / 'orioleshore'
    for path in package.glob('*/*.py'):
        if path.parent.name == 'tests' or path.name == '__init__.py':
            continue
        row = re.search(
            rf'^\| `orioleshore.{path.parent.name}` .*$', PAGE, re.M
        )
        assert f'`{path.stem}`' in row.group(0), path


@pytest.mark.parametrize('name', DECISION_MODULES)
def test_decisions_have_no_input_or_output(name):
    """Guards against decision modules that import I/O or clock modules."""
    text = (ROOT / 'orioleshore' / name).read_text('utf-8')
    assert not FORBIDDEN.search(text)
