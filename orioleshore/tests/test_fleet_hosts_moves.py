"""Moves between pools and the buffer: loans, hysteresis and faults."""

import functools

import msgspec
import pytest

from fakes import fleet as fakes_fleet
from orioleshore.fleet import events
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import queries
from orioleshore.tests import builders
from orioleshore.tests import support

FREIGHT = ids.PoolId('freight')
SPARE = ids.PoolId('spare')


def build_fleet(policy=None, **behaviour) -> fakes_fleet.SimulatedFleet:
    document = documents.Document(
        pools=(documents.Pool(FREIGHT), documents.Pool(SPARE, spare=True)),
        services=(
            builders.build_service(),
            builders.build_service('spare', 0.5),
        ),
        hosts=builders.build_hosts(6) + builders.build_hosts(6, 'spare'),
        policy=policy or documents.Policy(),
    )
    fleet = fakes_fleet.SimulatedFleet(
        builders.build_state(document),
        builders.NOW,
        support.SEED,
        fakes_fleet.Behaviour(drain_s=10.0, reboot_s=30.0, **behaviour),
        check=fakes_fleet.RuleCheck(),
        tick_s=2.0,
    )
    fleet.start()
    return fleet


def report_demand(fleet, cores: float, duration: float) -> None:
    """Report a demand on the pool every 10 s."""
    for _ in range(int(duration / 10)):
        fleet.deliver_event(events.DemandReported(FREIGHT, cores))
        fleet.run(10.0)


def count_owned(fleet, pool: ids.PoolId = FREIGHT) -> int:
    return sum(r.pool == pool for r in fleet.state.hosts.values())


def count_moves(fleet) -> int:
    return sum(r.epoch - 1 for r in fleet.state.hosts.values())


def report_service_demand(fleet, node: str, requests: int) -> None:
    """Report the requests of one entry host, with 48 shared slots."""
    service = fleet.state.document.services[0].name
    demands = (queries.ServiceDemand(service, requests, 48),)
    fleet.deliver_event(
        events.ServiceDemandReported(ids.NodeId(node), demands)
    )


def test_demands_of_all_entry_hosts_are_added():
    """Guards against a demand that no entry host exceeds alone."""
    fleet = build_fleet(documents.Policy(buffer_cost=3.0))
    before = count_owned(fleet)
    for _ in range(60):
        report_service_demand(fleet, 'entry-1', 30)
        fleet.run(10.0)
    assert count_owned(fleet) == before
    for _ in range(60):
        report_service_demand(fleet, 'entry-1', 30)
        report_service_demand(fleet, 'entry-2', 30)
        fleet.run(10.0)
    assert count_owned(fleet) > before


def test_a_lasting_demand_borrows_and_returns_hosts():
    """Guards against loans that are never made or never end."""
    fleet = build_fleet(documents.Policy(buffer_cost=3.0))
    report_demand(fleet, 110.0, 400.0)
    assert count_owned(fleet) == 8
    assert fleet.state.hosts['spare-0'].state is states.HostState.SERVING
    report_demand(fleet, 20.0, 3_000.0)
    assert count_owned(fleet) == 6
    assert count_moves(fleet) == 4


def test_short_peaks_move_nothing():
    """Guards against a move for each peak of a few seconds."""
    fleet = build_fleet()
    for _ in range(20):
        report_demand(fleet, 400.0, 20.0)
        report_demand(fleet, 4.0, 60.0)
    assert count_moves(fleet) == 0


def test_a_loan_lasts_for_the_minimum_time():
    """Guards against hosts that move with every change of demand."""
    fleet = build_fleet(documents.Policy(3.0, minimum_stay_s=5_000.0))
    report_demand(fleet, 110.0, 400.0)
    report_demand(fleet, 20.0, 3_000.0)
    assert count_owned(fleet) == 8


def test_weights_select_rack_or_zone_for_the_buffer():
    """Guards against a policy that ignores the weights."""
    held = {}
    for name, policy in (
        ('buffer', documents.Policy(buffer_cost=3.0)),
        ('rollout', documents.Policy(rollout_time=3.0)),
    ):
        fleet = build_fleet(policy)
        report_demand(fleet, 90.0, 60.0)
        records = [
            record
            for _, record in fleet.decisions
            if record.decision == 'hold as buffer'
        ]
        assert all('cores' in record.facts['reason'] for record in records)
        held[name] = {record.facts['domain'] for record in records}
    assert all(domain.startswith('rack/') for domain in held['buffer'])
    assert all('zone' in domain for domain in held['rollout'])


def test_the_document_moves_a_host_and_a_wave_follows_it():
    """Guards against a wave that waits for a host in its former pool."""
    fleet = build_fleet()
    old = fleet.state.document
    pools = (FREIGHT, SPARE)
    wave = documents.Wave(ids.WaveId('kernel'), pools)
    host = msgspec.structs.replace(old.hosts[-1], pool=FREIGHT)
    new = msgspec.structs.replace(
        old, hosts=(*old.hosts[:-1], host), waves=(wave,)
    )
    fleet.commit_command(builders.build_change(new, old, 1, 2, fleet.now))
    done = functools.partial(fleet.is_finished, 'kernel')
    assert fleet.run_until(done, 10_000.0)
    fleet.run(300.0)
    assert fleet.state.hosts[host.name].pool == FREIGHT
    assert set(fleet.reboots.values()) == {1}
    assert len(fleet.reboots) == 12


def change_leader(fleet) -> None:
    fleet.elect_leader()


def fail_moving_host(fleet) -> None:
    fleet.fail_host(ids.HostId('spare-0'))
    fleet.schedule(60.0, lambda: fleet.repair_host(ids.HostId('spare-0')))


def silence_platform(fleet) -> None:
    fleet.behaviour.is_silent = True
    fleet.schedule(100.0, lambda: setattr(fleet.behaviour, 'is_silent', False))


def lose_answers(fleet) -> None:
    fleet.behaviour.lost_answer_fraction = 0.7


def repeat_and_delay_reports(fleet) -> None:
    fleet.behaviour.repeated_report_fraction = 0.5
    fleet.behaviour.late_report_fraction = 0.5


def fail_rack(fleet) -> None:
    for number in (0, 3):
        fleet.fail_host(ids.HostId(f'freight-{number}'))


@pytest.mark.parametrize('step', ('draining', 'proving', 'serving'))
@pytest.mark.parametrize(
    'fault',
    (
        change_leader,
        fail_moving_host,
        silence_platform,
        lose_answers,
        repeat_and_delay_reports,
        fail_rack,
    ),
    ids=lambda fault: fault.__name__,
)
def test_a_fault_in_a_move(fault, step):
    """Guards against a host that a fault leaves between two pools."""
    fleet = build_fleet(documents.Policy(buffer_cost=3.0))
    is_reached = {
        'draining': lambda r: r.state is states.HostState.DRAINING,
        'proving': lambda r: r.state is states.HostState.PROVING,
        'serving': lambda r: r.pool == FREIGHT and not r.arriving,
    }[step]
    for _ in range(400):
        if is_reached(fleet.state.hosts['spare-0']):
            break
        fleet.deliver_event(events.DemandReported(FREIGHT, 110.0))
        fleet.run(1.0)
    assert is_reached(fleet.state.hosts['spare-0'])
    for _ in range(2):
        fault(fleet)
        report_demand(fleet, 110.0, 40.0)
    report_demand(fleet, 110.0, 900.0)
    assert count_owned(fleet) >= 8
    for record in fleet.state.hosts.values():
        assert record.state in (
            states.HostState.SERVING,
            states.HostState.DOWN,
        )
    assert not fleet.state.permissions
    assert fleet.stale_calls == 0


def test_a_drain_that_never_ends_returns_the_host():
    """Guards against a move that keeps a host out of service forever."""
    fleet = build_fleet(
        documents.Policy(3.0), stuck_hosts={ids.HostId('spare-0')}
    )
    report_demand(fleet, 110.0, 200.0)
    assert fleet.state.hosts['spare-0'].state is states.HostState.DRAINING
    report_demand(fleet, 0.0, 1_000.0)
    assert fleet.state.hosts['spare-0'].state is states.HostState.SERVING
    assert fleet.reported['spare-0'] is events.ReportedState.UP
    assert not fleet.state.permissions
