"""Requests that are not idempotent run at most once, over real sockets."""

import asyncio

import aiohttp
import msgspec
import pytest

from fakes import upstream as fake_upstream
from orioleshore.membership import events as membership_events
from orioleshore.model import announcements
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import claim_commands
from orioleshore.state import claim_keeper
from orioleshore.state import machine
from orioleshore.tests import builders
from orioleshore.tests import support

Behaviour = fake_upstream.Behaviour


def run_entry(hosts: int = 2, **settings):
    limits = documents.Limits(attempt_timeout_s=2.0, default_deadline_s=3.0)
    service = builders.build_service(limits=limits)
    document = builders.build_document(services=(service,))
    return support.run_entry(document, hosts, **settings)


def get_only_claim(fleet):
    (record,) = fleet.control.state.claims.values()
    return record


def test_concurrent_duplicates_run_once():
    """Guards against two entry hosts that both run the same request."""

    async def check():
        async with run_entry() as (fleet, session):
            fakes = [await fleet.add_upstream() for _ in range(2)]
            for fake in fakes:
                fake.delay_s = 0.1
            key = support.get_key(fleet.hosts[0])
            answers = await asyncio.gather(
                *(
                    support.send(session, fleet.hosts[number % 2], key=key)
                    for number in range(12)
                )
            )
            assert {answer[0] for answer in answers} == {200}
            assert len({answer[2] for answer in answers}) == 1
            assert sum(sum(fake.runs.values()) for fake in fakes) == 1

    support.run(check())


def test_duplicate_through_another_entry_host_gets_recorded_answer():
    """Guards against a second run for a caller that lost its answer."""

    async def check():
        async with run_entry() as (fleet, session):
            fake = await fleet.add_upstream()
            key = support.get_key(fleet.hosts[0])
            first = await support.send(session, fleet.hosts[0], key=key)
            duplicate = await support.send(session, fleet.hosts[1], key=key)
            other = await support.send(
                session, fleet.hosts[1], key=key, data=b'other'
            )
            assert first[2] == duplicate[2]
            assert other[1]['Orioleshore-Error'] == 'key_reused'
            assert sum(fake.runs.values()) == 1

    support.run(check())


def test_death_of_entry_host_makes_outcome_unknown():
    """Guards against a second run of a request whose entry host died."""

    async def check():
        async with run_entry(body_timeout_s=0.1) as (fleet, session):
            fake = await fleet.add_upstream()
            fake.behaviour = Behaviour.HANG
            key = support.get_key(fleet.hosts[0])
            lost = fleet.hosts[0]
            first = asyncio.create_task(support.send(session, lost, key=key))
            await support.wait_until(lambda: fake.running, 'the run')
            await fleet.kill_host(lost)
            duplicate = asyncio.create_task(
                support.send(session, fleet.hosts[0], key=key)
            )
            await asyncio.sleep(0.1)
            await report_host_death(fleet, lost)
            _, headers, _ = await duplicate
            assert headers['Orioleshore-Error'] == 'outcome_unknown'
            assert headers['Orioleshore-Ran'] == 'unknown'
            assert sum(fake.runs.values()) == 1
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)

    support.run(check())


async def report_host_death(fleet, host):
    """Report an entry host as dead to the claim keeper."""
    keeper = claim_keeper.ClaimKeeper(fleet.control.mailbox, fleet.timers)
    await keeper.start()
    peer = announcements.Peer(
        host.name,
        host.name,
        ids.Incarnation(1),
        ids.AvailabilityZone('az1'),
        (states.Role.ENTRY,),
        states.PeerState.DEAD,
    )
    keeper.mailbox.put(membership_events.PeersChanged(peer, {peer.node: peer}))
    await support.wait_until(
        lambda: get_only_claim(fleet).state is states.ClaimState.UNKNOWN,
        'the mark',
    )
    await keeper.stop()


@pytest.mark.parametrize(
    ('age_s', 'error', 'ran'),
    [
        (86_400.0, 'key_expired', 'unknown'),
        (-400.0, 'key_invalid', 'no'),
    ],
)
def test_keys_outside_their_validity_are_refused(age_s, error, ran):
    """Guards against a second run of a request whose record has expired."""

    async def check():
        async with run_entry(1) as (fleet, session):
            fake = await fleet.add_upstream()
            host = fleet.hosts[0]
            key = support.get_key(host, age_s=age_s)
            _, headers, _ = await support.send(session, host, key=key)
            assert headers['Orioleshore-Error'] == error
            assert headers['Orioleshore-Ran'] == ran
            assert not fake.runs

    support.run(check())


def test_long_answer_is_not_kept():
    """Guards against a truncated answer that is replayed as complete."""

    async def check():
        async with run_entry(1) as (fleet, session):
            fake = await fleet.add_upstream()
            fake.body = b'x' * 70_000
            host = fleet.hosts[0]
            key = support.get_key(host)
            first = await support.send(session, host, key=key)
            status, headers, _ = await support.send(session, host, key=key)
            assert first[2] == fake.body
            assert (status, headers['Orioleshore-Ran']) == (410, 'yes')
            assert sum(fake.runs.values()) == 1

    support.run(check())


def test_claim_that_commits_late_releases_its_key():
    """Guards against a run after "not run", and a key that stays claimed."""

    async def check():
        async with run_entry() as (fleet, session):
            fake = await fleet.add_upstream()
            fleet.control.is_cut_off = True
            key = support.get_key(fleet.hosts[0])
            _, headers, _ = await support.send(
                session, fleet.hosts[0], key=key
            )
            assert headers['Orioleshore-Error'] == 'claim_unavailable'
            assert headers['Orioleshore-Ran'] == 'no'
            assert 'Retry-After' in headers
            assert not fake.runs
            fleet.control.late_commands.reverse()
            fleet.control.commit_late_commands()
            status, _, _ = await support.send(session, fleet.hosts[1], key=key)
            assert (status, sum(fake.runs.values())) == (200, 1)

    support.run(check())


def test_outcome_is_recorded_after_caller_disconnects():
    """Guards against a claim without outcome when the caller is gone."""

    async def check():
        async with run_entry() as (fleet, session):
            fake = await fleet.add_upstream()
            fake.delay_s = 0.3
            key = support.get_key(fleet.hosts[0])
            with pytest.raises(TimeoutError):
                await support.send(
                    session,
                    fleet.hosts[0],
                    key=key,
                    timeout=aiohttp.ClientTimeout(total=0.1),
                )
            status, _, body = await support.send(
                session, fleet.hosts[1], key=key
            )
            assert (status, sum(fake.runs.values())) == (200, 1)

    support.run(check())


def test_caller_that_disconnects_while_queued_releases_its_key():
    """Guards against running queued requests whose callers are gone."""

    async def check():
        async with run_entry(1) as (fleet, session):
            host = fleet.hosts[0]
            with pytest.raises(TimeoutError):
                await support.send(
                    session,
                    host,
                    timeout=aiohttp.ClientTimeout(total=0.1),
                )
            await support.wait_until(
                lambda: fleet.control.state.released, 'the release', 1.0
            )
            record = get_only_claim(fleet)
            assert record.state is states.ClaimState.NOT_RUN

    support.run(check())


def test_late_duplicate_of_a_claim_does_not_reclaim_the_key():
    """Guards against a key claimed by a request reported as "not run"."""
    state = build_state_with_claim()
    not_run = builders.build_outcome(outcome=states.ClaimState.NOT_RUN)
    machine.apply_command(not_run, state).unwrap()
    failure = machine.apply_command(builders.build_claim(), state).unwrap_err()
    assert failure.kind is errors.ErrorKind.CLAIM_UNAVAILABLE
    other = builders.build_claim(request=ids.RequestId('request-2'))
    assert machine.apply_command(other, state).unwrap().granted


def test_recorded_answer_is_final():
    """Guards against a late "unknown" that hides a recorded answer."""
    state = build_state_with_claim()
    answered = builders.build_outcome(body=b'answer')
    machine.apply_command(answered, state).unwrap()
    for outcome in (states.ClaimState.UNKNOWN, states.ClaimState.NOT_RUN):
        late = msgspec.structs.replace(answered, outcome=outcome)
        machine.apply_command(late, state).unwrap()
    (record,) = state.claims.values()
    assert record.state is states.ClaimState.ANSWERED
    assert record.body == b'answer'


def test_recorded_answers_are_bounded():
    """Guards against a day's answers that exhaust control's memory."""
    state = builders.build_state()
    size = 60_000
    count = claim_commands.MAX_KEPT_BYTES // size + 10
    for number in range(count):
        names = {
            'key': ids.IdempotencyKey(f'key-{number}'),
            'request': ids.RequestId(f'request-{number}'),
        }
        machine.apply_command(builders.build_claim(**names), state).unwrap()
        outcome = builders.build_outcome(body=b'x' * size, **names)
        machine.apply_command(outcome, state).unwrap()
    bodies = [len(record.body) for record in state.claims.values()]
    assert sum(bodies) == state.kept_bytes <= claim_commands.MAX_KEPT_BYTES
    assert len(state.claims) == count
    duplicate = builders.build_claim(
        key=ids.IdempotencyKey('key-0'), request=ids.RequestId('copy')
    )
    answer = machine.apply_command(duplicate, state).unwrap()
    assert (answer.granted, answer.record.kept) == (False, False)


def build_state_with_claim():
    state = builders.build_state()
    answer = machine.apply_command(builders.build_claim(), state).unwrap()
    assert answer.granted
    return state
