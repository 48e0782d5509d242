"""Faults at each step of a request, in virtual time.

The invariants compare what ran at the upstreams, and how often, with the
reply that each caller received.
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
DEATH_DETECTION_S = 8.0
PARTITION_S = 5.0
LIMITS = documents.Limits(attempt_timeout_s=3.0)


def crash_entry(fleet) -> None:
    fleet.hosts['entry-0'].is_dead = True
    fleet.schedule(DEATH_DETECTION_S, lambda: report_entry_death(fleet))


def report_entry_death(fleet) -> None:
    fleet.publish_live_peers()
    mark = commands.MarkClaimsUnknown(
        time=builders.NOW,
        entry_host=ids.NodeId('entry-0'),
        incarnation=ids.Incarnation(1),
    )
    machine.apply_command(mark, fleet.state).unwrap()


def crash_upstream(fleet) -> None:
    upstreams = list(fleet.upstreams.values())
    running = [fake for fake in upstreams if fake.running]
    (running or upstreams)[0].is_crashed = True


def set_upstream_fields(**fields):
    """Return a fault that sets fields of all simulated upstreams."""

    def set_fields(fleet) -> None:
        for fake in fleet.upstreams.values():
            for name, value in fields.items():
                setattr(fake, name, value)

    return set_fields


def cut_off_entry(fleet) -> None:
    host = fleet.hosts['entry-0']
    host.is_cut_off = True
    fleet.schedule(PARTITION_S, lambda: setattr(host, 'is_cut_off', False))


def send_event_to_entry(event):
    """Return a fault that sends an event to the first entry host."""

    def send_event(fleet) -> None:
        fleet.schedule(
            0.0, lambda: fleet.handle(fleet.hosts['entry-0'], event)
        )

    return send_event


FAULTS = {
    'entry crash': crash_entry,
    'upstream crash': crash_upstream,
    'hang': set_upstream_fields(duration_s=100.0),
    'reset': set_upstream_fields(outcome=events.AttemptOutcome.FAILED),
    'slow': set_upstream_fields(duration_s=1.0),
    'late answer': set_upstream_fields(duration_s=3.1),
    'mismatched answer': set_upstream_fields(
        outcome=events.AttemptOutcome.MISMATCHED
    ),
    'truncated answer': set_upstream_fields(
        outcome=events.AttemptOutcome.TRUNCATED
    ),
    'refusal': set_upstream_fields(
        outcome=events.AttemptOutcome.FAILED, status=503
    ),
    'partition from control': cut_off_entry,
    'caller gone': send_event_to_entry(
        events.CallerGone(ids.RequestId('request-1'))
    ),
    'stop': send_event_to_entry(events.StopRequested()),
    'configuration change': send_event_to_entry(
        events.ConfigurationChanged(ids.Version(2), ())
    ),
}


def build_fleet() -> simulation.SimulatedFleet:
    service = builders.build_service(limits=LIMITS)
    fleet = simulation.SimulatedFleet((service,))
    for number in range(2):
        fleet.add_host(f'entry-{number}')
        fleet.add_upstream(builders.build_upstream(number))
    fleet.publish_live_peers()
    fleet.run(4.5)
    return fleet


def send_request(fleet, name: str, number: int, is_idempotent: bool) -> None:
    key = None if is_idempotent else ids.IdempotencyKey('key')
    info = builders.build_request(
        number,
        deadline=fleet.now + 8.0,
        is_idempotent=is_idempotent,
        key=key,
        issued=builders.NOW,
    )
    fleet.send(name, info)


def inject_faults(fleet, step: str, *faults) -> None:
    """Apply faults once, when the first request reaches a step."""

    def handle_step(reached, request) -> None:
        if reached == step and request == 'request-1':
            fleet.on_step = lambda *_: None
            for fault in faults:
                fault(fleet)

    fleet.on_step = handle_step


def run_case(
    step: str, is_idempotent: bool, *faults
) -> simulation.SimulatedFleet:
    """Send a request that meets faults, and two duplicates of it."""
    fleet = build_fleet()
    inject_faults(fleet, step, *faults)
    send_request(fleet, 'entry-0', 1, is_idempotent)
    fleet.schedule(
        0.02, lambda: send_request(fleet, 'entry-1', 2, is_idempotent)
    )
    fleet.schedule(
        6.0, lambda: send_request(fleet, 'entry-1', 3, is_idempotent)
    )
    fleet.run(25.0)
    return fleet


def assert_invariants(fleet, is_idempotent: bool) -> None:
    for request in fleet.infos:
        assert len(fleet.replies[request]) <= 1
        for reply in fleet.replies[request]:
            assert_outcome_is_correct(fleet, request, reply)
    total = sum(fleet.get_runs(request) for request in fleet.infos)
    if not is_idempotent:
        assert total <= 1
    for record in fleet.state.claims.values():
        assert record.state is not states.ClaimState.CLAIMED
    for number in (2, 3):
        # The second entry host stays alive, so it must reply.
        assert fleet.replies[ids.RequestId(f'request-{number}')]
    for host in fleet.hosts.values():
        if not host.is_dead:
            assert (
                host.router.pending_count,
                host.router.in_flight_count,
            ) == (0, 0)


def assert_outcome_is_correct(fleet, request, reply) -> None:
    own_runs = fleet.get_runs(request)
    if isinstance(reply, events.Refuse):
        ran = reply.failure.answer.ran
        assert ran is not states.Ran.NO or own_runs == 0
    elif isinstance(reply, events.Replay):
        assert sum(fleet.get_runs(other) for other in fleet.infos) == 1
    else:
        assert own_runs >= 1


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STEPS)
def test_single_fault_keeps_invariants(step, fault):
    """Guards against a second run, a false "not run" and a lost request."""
    for is_idempotent in (False, True):
        fleet = run_case(step, is_idempotent, FAULTS[fault])
        assert_invariants(fleet, is_idempotent)


@pytest.mark.parametrize('step', ('claimed', 'sent', 'answered'))
def test_pairs_of_faults_keep_invariants(step):
    """Guards against failures that only two faults together cause."""
    for first, second in itertools.combinations(FAULTS.values(), 2):
        fleet = run_case(step, False, first, second)
        assert_invariants(fleet, False)
