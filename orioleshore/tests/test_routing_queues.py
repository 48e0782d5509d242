"""Admission, fairness, retries and health checks, in virtual time."""

import statistics

import pytest

from fakes import simulation
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.routing import events
from orioleshore.routing import health
from orioleshore.routing import queues
from orioleshore.routing import retries
from orioleshore.tests import builders

Outcome = events.AttemptOutcome
Priority = states.Priority


def build_fleet(upstreams: int = 2, **limits) -> simulation.SimulatedFleet:
    """Return one entry host that may grant slots of two services."""
    services = tuple(
        builders.build_service(name, limits=documents.Limits(**limits))
        for name in ('freight', 'calendar')
    )
    fleet = simulation.SimulatedFleet(services)
    fleet.add_host('entry-0')
    for number in range(upstreams):
        zone = ids.AvailabilityZone(f'az{number + 1}')
        for offset, service in enumerate(services):
            announced = builders.build_upstream(
                10 * offset + number, service.name, availability_zone=zone
            )
            fleet.add_upstream(announced)
    fleet.run(4.5)
    return fleet


def send_request(fleet, number: int, wait_s: float = 60.0, **fields) -> None:
    deadline = fleet.now + wait_s
    info = builders.build_request(number, deadline=deadline, **fields)
    fleet.send('entry-0', info)


def get_failure_kinds(fleet, numbers) -> list[errors.ErrorKind | None]:
    """Return the failure kind of each request, None for an answer."""
    kinds = []
    for number in numbers:
        (reply,) = fleet.replies[ids.RequestId(f'request-{number}')]
        is_refused = isinstance(reply, events.Refuse)
        kinds.append(reply.failure.kind if is_refused else None)
    return kinds


def get_dispatch_order(*infos) -> list[str]:
    queue = queues.AdmissionQueue()
    for info in infos:
        queue.push(info)
    return [queue.pop(0.0) for _ in infos]


def test_requests_are_ordered_by_priority_then_deadline():
    """Guards against urgent requests queued behind deferrable ones."""
    order = get_dispatch_order(
        builders.build_request(1, priority=Priority.DEFERRABLE, deadline=1.0),
        builders.build_request(2, deadline=30.0),
        builders.build_request(3, deadline=20.0),
        builders.build_request(4, priority=Priority.URGENT, deadline=90.0),
    )
    assert order == ['request-4', 'request-3', 'request-2', 'request-1']


def test_queue_is_fair_to_callers():
    """Guards against a caller whose many requests delay other callers."""
    infos = [builders.build_request(n, caller='many') for n in range(50)]
    infos += [builders.build_request(n, caller='few') for n in (90, 91)]
    order = get_dispatch_order(*infos)
    assert order.index('request-91') < 5


def test_deferrable_and_other_requests_have_separate_bounds():
    """Guards against queues without bound or full of deferrable requests."""
    fleet = build_fleet(upstreams=0, queue_length=5)
    for number in range(7):
        send_request(fleet, number, priority=Priority.DEFERRABLE)
    for number in range(10, 17):
        send_request(fleet, number)
    assert fleet.hosts['entry-0'].router.pending_count == 10
    refused_kinds = get_failure_kinds(fleet, (5, 6, 15, 16))
    assert refused_kinds == [errors.ErrorKind.OVERLOADED] * 4


def test_request_that_cannot_meet_its_deadline_is_refused_at_arrival():
    """Guards against callers that wait for a certain queue timeout."""
    fleet = build_fleet()
    for number in range(200):
        send_request(fleet, number)
    fleet.run(0.3)
    send_request(fleet, 900, wait_s=0.1)
    send_request(fleet, 901, wait_s=10.0)
    send_request(fleet, 902, wait_s=10.0, priority=Priority.DEFERRABLE)
    assert get_failure_kinds(fleet, (900,)) == [
        errors.ErrorKind.DEADLINE_UNREACHABLE
    ]
    fleet.run(3.0)
    assert get_failure_kinds(fleet, (901, 902)) == [None, None]


def measure_calendar_latency_s(fleet, burst: int) -> float:
    """Return the 99th percentile of calendar latencies during a burst."""
    began = {}
    for number in range(200):

        def call(number=number):
            began[f'request-{number}'] = fleet.now
            send_request(fleet, number, service=ids.ServiceId('calendar'))

        fleet.schedule(number * 0.01, call)
    for number in range(burst):
        fleet.schedule(0.5, lambda n=number: send_request(fleet, 10_000 + n))
    fleet.run(10.0)
    waits = [fleet.replied_at[r] - began[r] for r in began]
    return statistics.quantiles(waits, n=100)[98]


def test_burst_of_one_service_does_not_delay_another():
    """Guards against queues or slots that services share."""
    alone = measure_calendar_latency_s(build_fleet(), 0)
    beside = measure_calendar_latency_s(build_fleet(), 1_600)
    assert beside < 1.1 * alone


def test_retry_goes_to_another_availability_zone():
    """Guards against a retry at the upstream that just failed."""
    fleet = build_fleet()
    bad, good = fleet.upstreams.values(), []
    bad = [f for f in bad if f.announced.service == 'freight']
    bad, good = bad
    bad.outcome = Outcome.FAILED
    for number in range(20):
        fleet.schedule(0.1 * number, lambda n=number: send_request(fleet, n))
    fleet.run(5.0)
    assert get_failure_kinds(fleet, range(20)) == [None] * 20
    assert max(bad.runs.values()) == 1
    assert sum(bad.runs.values()) <= health.EJECT_AFTER_FAILURES + 3


def test_retries_stay_within_their_budget():
    """Guards against retries that multiply the load of a failing service."""
    fleet = build_fleet()
    for fake in fleet.upstreams.values():
        fake.outcome = Outcome.FAILED
    for number in range(500):
        fleet.schedule(0.01 * number, lambda n=number: send_request(fleet, n))
    fleet.run(70.0)
    attempts = sum(sum(f.runs.values()) for f in fleet.upstreams.values())
    first = 500
    allowed = first * (1 + retries.BUDGET_RATIO) + retries.START_BUDGET
    assert attempts <= allowed
    kinds = set(get_failure_kinds(fleet, range(500)))
    assert kinds == {errors.ErrorKind.UPSTREAM_FAILED}


def test_caller_never_receives_not_run_after_an_uncertain_attempt():
    """Guards against a last attempt that hides a possible earlier run."""
    fleet = build_fleet()
    first, second = [
        f for f in fleet.upstreams.values() if f.announced.service == 'freight'
    ]
    for fake in (first, second):
        fake.outcome = Outcome.FAILED
    send_request(fleet, 1)
    fleet.run(0.049)
    ran = first if first.running else second
    other = second if ran is first else first
    other.is_crashed = True
    fleet.run(1.0)
    fleet.run(60.0)
    (reply,) = fleet.replies[ids.RequestId('request-1')]
    assert reply.failure.answer.ran is states.Ran.UNKNOWN


@pytest.mark.parametrize(
    ('outcome', 'status', 'duration_s'),
    [
        (Outcome.FAILED, 0, 0.001),
        (Outcome.ANSWERED, 500, 0.001),
        (Outcome.ANSWERED, 200, 2.0),
    ],
)
def test_bad_upstream_receives_little_traffic(outcome, status, duration_s):
    """Guards against a preference for an upstream that fails fast."""
    fleet = build_fleet(upstreams=4)
    bad = next(iter(fleet.upstreams.values()))
    # Enough answers for the mean that decides which ones are slow.
    for number in range(100):
        fleet.schedule(
            0.01 * number, lambda n=number: send_request(fleet, 5_000 + n)
        )
    fleet.run(1.5)
    bad.runs.clear()
    bad.outcome = outcome
    bad.status = status
    bad.duration_s = duration_s
    for number in range(2_000):
        fleet.schedule(0.005 * number, lambda n=number: send_request(fleet, n))
    fleet.run(15.0)
    share = sum(bad.runs.values()) / 2_000
    # An even share is a quarter.
    assert share < 0.05


def test_at_most_half_of_the_upstreams_are_ejected():
    """Guards against a common fault that ejects the whole service."""
    tracker = health.HealthTracker()
    names = [ids.UpstreamId(f'127.0.0.1:{n}') for n in range(5)]
    for name in names * 10:
        ended = events.AttemptEnded(
            ids.RequestId('r'), name, Outcome.FAILED, 0, 0.01
        )
        tracker.record_attempt(ended, len(names), 0.0)
    assert sum(tracker.is_ejected(name, 0.5) for name in names) == 2


def test_ejection_time_doubles_up_to_its_maximum():
    """Guards against a bad upstream that is retried every second."""
    tracker = health.HealthTracker()
    name = ids.UpstreamId('127.0.0.1:1')
    ended = events.AttemptEnded(
        ids.RequestId('r'), name, Outcome.FAILED, 0, 0.01
    )
    now, times = 0.0, []
    for _ in range(20):
        while not tracker.record_attempt(ended, 2, now):
            continue
        began = now
        while tracker.is_ejected(name, now):
            now += 0.5
        times.append(now - began)
    assert times[:4] == [1.0, 2.0, 4.0, 8.0]
    assert max(times) == health.MAX_EJECTION_S
