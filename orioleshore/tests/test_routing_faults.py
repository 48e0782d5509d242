"""Every step of a request against every fault, in virtual time.

The invariants are checked at the upstreams: what ran, how often, and what
each caller was told.
"""

import itertools

import pytest

from fakes import simulation
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.routing import events
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.tests import builders

STEPS = (
    'received',
    'queued',
    'claimed',
    'connected',
    'sent',
    'partly answered',
    'answered',
    'recorded',
    'delivered',
)
# Membership declares a process dead after this time.
DEATH_S = 8.0
PARTITION_S = 5.0
LIMITS = documents.Limits(attempt_timeout_s=3.0)


def crash_entry(fleet) -> None:
    fleet.hosts['entry-0'].is_dead = True
    fleet.at(DEATH_S, lambda: bury_entry(fleet))


def bury_entry(fleet) -> None:
    fleet.spread_peers()
    mark = commands.MarkClaimsUnknown(
        time=builders.NOW,
        entry_host=ids.NodeId('entry-0'),
        incarnation=ids.Incarnation(1),
    )
    machine.apply_command(mark, fleet.state).unwrap()


def crash_upstream(fleet) -> None:
    fakes = list(fleet.upstreams.values())
    running = [fake for fake in fakes if fake.running]
    (running or fakes)[0].is_crashed = True


def make_upstreams(**fields):
    """Return a fault that changes how all upstreams behave."""

    def change(fleet) -> None:
        for fake in fleet.upstreams.values():
            for name, value in fields.items():
                setattr(fake, name, value)

    return change


def cut_off(fleet) -> None:
    host = fleet.hosts['entry-0']
    host.is_cut_off = True
    fleet.at(PARTITION_S, lambda: setattr(host, 'is_cut_off', False))


def tell_entry(event):
    """Return a fault that is an event at the first entry host."""

    def tell(fleet) -> None:
        fleet.at(0.0, lambda: fleet.handle(fleet.hosts['entry-0'], event))

    return tell


FAULTS = {
    'entry crash': crash_entry,
    'upstream crash': crash_upstream,
    'hang': make_upstreams(duration_s=100.0),
    'reset': make_upstreams(outcome=events.AttemptOutcome.FAILED),
    'slow': make_upstreams(duration_s=1.0),
    'late answer': make_upstreams(duration_s=3.1),
    'crossed answer': make_upstreams(outcome=events.AttemptOutcome.MISMATCHED),
    'cut answer': make_upstreams(outcome=events.AttemptOutcome.TRUNCATED),
    'refusal': make_upstreams(
        outcome=events.AttemptOutcome.FAILED, status=503
    ),
    'partition from control': cut_off,
    'caller gone': tell_entry(events.CallerGone(ids.RequestId('request-1'))),
    'stop': tell_entry(events.StopRequested()),
    'configuration change': tell_entry(
        events.ConfigurationChanged(ids.Version(2), ())
    ),
}


def build_fleet() -> simulation.SimulatedFleet:
    service = builders.build_service(limits=LIMITS)
    fleet = simulation.SimulatedFleet((service,))
    for number in range(2):
        fleet.add_host(f'entry-{number}')
        fleet.add_upstream(builders.build_upstream(number))
    fleet.spread_peers()
    fleet.run(4.5)
    return fleet


def send(fleet, name: str, number: int, idempotent: bool) -> None:
    key = None if idempotent else ids.IdempotencyKey('key')
    info = builders.build_request(
        number,
        deadline=fleet.now + 8.0,
        idempotent=idempotent,
        key=key,
        issued=builders.NOW,
    )
    fleet.send(name, info)


def inject(fleet, step: str, *faults) -> None:
    """Apply faults once, when the first request reaches a step."""

    def watch(reached, request) -> None:
        if reached == step and request == 'request-1':
            fleet.on_step = lambda *_: None
            for fault in faults:
                fault(fleet)

    fleet.on_step = watch


def run_case(
    step: str, idempotent: bool, *faults
) -> simulation.SimulatedFleet:
    """Run a request into faults, and send copies through both hosts."""
    fleet = build_fleet()
    inject(fleet, step, *faults)
    send(fleet, 'entry-0', 1, idempotent)
    fleet.at(0.02, lambda: send(fleet, 'entry-1', 2, idempotent))
    fleet.at(6.0, lambda: send(fleet, 'entry-1', 3, idempotent))
    fleet.run(25.0)
    return fleet


def assert_invariants(fleet, idempotent: bool) -> None:
    for request in fleet.infos:
        assert len(fleet.told[request]) <= 1
        for told in fleet.told[request]:
            assert_honest(fleet, request, told)
    total = sum(fleet.get_runs(request) for request in fleet.infos)
    if not idempotent:
        assert total <= 1
    for record in fleet.state.claims.values():
        assert record.state is not states.ClaimState.CLAIMED
    for number in (2, 3):
        # The second entry host lives, so it owes an answer.
        assert fleet.told[ids.RequestId(f'request-{number}')]
    for host in fleet.hosts.values():
        if not host.is_dead:
            assert (host.router.held, host.router.in_flight) == (0, 0)


def assert_honest(fleet, request, told) -> None:
    own_runs = fleet.get_runs(request)
    if isinstance(told, events.Refuse):
        ran = told.failure.answer.ran
        assert ran is not states.Ran.NO or own_runs == 0
    elif isinstance(told, events.Replay):
        assert sum(fleet.get_runs(other) for other in fleet.infos) == 1
    else:
        assert own_runs >= 1


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STEPS)
def test_one_fault(step, fault):
    """Guards against a second run, a wrong "not run" and a lost request."""
    for idempotent in (False, True):
        fleet = run_case(step, idempotent, FAULTS[fault])
        assert_invariants(fleet, idempotent)


@pytest.mark.parametrize('step', ('claimed', 'sent', 'answered'))
def test_two_faults(step):
    """Guards against pairs of faults that no single one shows."""
    for first, second in itertools.combinations(FAULTS.values(), 2):
        fleet = run_case(step, False, first, second)
        assert_invariants(fleet, False)
