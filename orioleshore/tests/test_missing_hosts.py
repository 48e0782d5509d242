"""Hosts that the platform's list lacks, although they stay.

The list is read page by page, so a host that moves, or that stays while rows
before it come or go, may be in no page, and that in several lists in a row.
"""

import pytest

from fakes import workers
from orioleshore.jobs import admission
from orioleshore.jobs import calls
from orioleshore.jobs import known_hosts
from orioleshore.jobs import orders
from orioleshore.jobs import organisations
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders

WAVE = ids.WaveId('1')
STANDBY = ids.PoolId('standby')
# Some lists, which are requested once a second during a wave.
SEVERAL_LISTS_S = 6.0


def open_wave(fleet: workers.FakeFleet, *hosts: ids.HostId) -> None:
    """Open a wave over some hosts, one at a time."""
    fleet.call_scheduler(calls.OpenWave(WAVE, hosts, 60.0, 1))


def is_completed(fleet: workers.FakeFleet) -> bool:
    """Return whether the wave is reported as completed."""
    return fleet.call_scheduler(calls.GetWave(WAVE)).unwrap().completed


def run_until_down(fleet: workers.FakeFleet) -> ids.HostId:
    """Run until the first host is down for its upkeep; return the host."""
    while not fleet.hosts_done:
        fleet.run(0.05)
    (host,) = fleet.hosts_done
    return host


@pytest.mark.parametrize('is_new_leader', [False, True])
@pytest.mark.parametrize('pool', ['standby', 'red'])
def test_missing_host_gets_its_upkeep_before_its_wave_is_completed(
    pool, is_new_leader
):
    """Guards against a wave that is completed without a host that stays.

    The host has no worker: it is switched off, or its worker has ended.
    """
    fleet = builders.build_fleet(red=2)
    fleet.add_hosts(1, pool)
    host = list(fleet.workers)[-1]
    fleet.run(6.0)
    fleet.missing_hosts = {host}
    if pool == 'red':
        fleet.workers[host].restart(ids.PoolId(pool), fleet.now + 12.0)
    fleet.run(SEVERAL_LISTS_S)
    open_wave(fleet, host)
    if is_new_leader:
        fleet.fail_over()
    for _ in range(200):
        fleet.run(0.1)
        assert not is_completed(fleet) or host in fleet.hosts_done
    assert is_completed(fleet)


def test_host_that_moves_while_the_list_is_read_gets_its_upkeep():
    """Guards against a wave that is completed without a host that moves.

    Its worker has ended with the move, and no page of the list has it.
    """
    fleet = builders.build_fleet(red=3)
    fleet.run(6.0)
    host = next(iter(fleet.workers))
    fleet.execute_order(
        orders.Move(host, STANDBY, fleet.scheduler.epoch, fleet.now + 1.0)
    )
    fleet.missing_hosts = {host}
    open_wave(fleet, host)
    for _ in range(120):
        fleet.run(0.1)
        assert not is_completed(fleet) or host in fleet.hosts_done
    assert is_completed(fleet)


@pytest.mark.parametrize('pool', ['standby', 'red'])
@pytest.mark.parametrize('is_new_leader', [False, True])
def test_missing_host_in_upkeep_keeps_its_place_under_the_limit(
    pool, is_new_leader
):
    """Guards against one host too many down for upkeep.

    A host that is down and missing in the list counted as finished.
    """
    fleet = builders.build_fleet(red=2)
    fleet.add_hosts(4, pool)
    hosts = list(fleet.workers)[2:]
    fleet.run(6.0)
    fleet.missing_hosts = set(hosts)
    open_wave(fleet, *hosts)
    if is_new_leader:
        run_until_down(fleet)
        fleet.fail_over()
    fleet.run(40.0)
    assert fleet.max_hosts_down == 1
    assert fleet.hosts_done == set(hosts)
    assert is_completed(fleet)


def test_host_missing_in_one_list_keeps_its_place_under_the_limit():
    """Guards against a single list that ends an upkeep in progress."""
    fleet = builders.build_fleet(red=2, standby=3)
    hosts = list(fleet.workers)[2:]
    fleet.run(6.0)
    open_wave(fleet, *hosts)
    host = run_until_down(fleet)
    fleet.missing_hosts = {host}
    fleet.run(1.2)
    fleet.missing_hosts.clear()
    fleet.run(20.0)
    assert fleet.max_hosts_down == 1
    assert fleet.hosts_done == set(hosts)
    assert is_completed(fleet)


@pytest.mark.parametrize('pool', ['standby', 'red'])
@pytest.mark.parametrize('is_new_leader', [False, True])
def test_wave_ends_without_a_waiting_host_that_is_withdrawn(
    pool, is_new_leader
):
    """Guards against a wave that waits for a host that is gone for good."""
    fleet = builders.build_fleet(red=3)
    fleet.add_hosts(2, pool)
    gone, other = list(fleet.workers)[3:]
    fleet.run(6.0)
    fleet.withdraw_host(gone)
    open_wave(fleet, gone, other)
    if is_new_leader:
        fleet.fail_over()
    fleet.run(12.0)
    assert fleet.hosts_done == {other}
    assert is_completed(fleet)


@pytest.mark.parametrize('pool', ['standby', 'red'])
@pytest.mark.parametrize('is_new_leader', [False, True])
def test_wave_ends_without_a_host_that_is_withdrawn_during_its_upkeep(
    pool, is_new_leader
):
    """Guards against a place under the limit that is never free again."""
    fleet = builders.build_fleet(red=3)
    fleet.add_hosts(2, pool)
    hosts = list(fleet.workers)[3:]
    fleet.run(6.0)
    open_wave(fleet, *hosts)
    fleet.withdraw_host(run_until_down(fleet))
    if is_new_leader:
        fleet.fail_over()
    fleet.run(12.0)
    assert fleet.hosts_done == set(hosts)
    assert is_completed(fleet)


def test_missing_host_in_upkeep_is_asked_about_once_for_each_list():
    """Guards against orders that use up the rate that the platform accepts."""
    fleet = builders.build_fleet(red=2, standby=1)
    host = list(fleet.workers)[-1]
    fleet.run(6.0)
    open_wave(fleet, host)
    run_until_down(fleet)
    fleet.missing_hosts = {host}
    before = len(fleet.host_orders)
    fleet.run(10.0)
    assert is_completed(fleet)
    assert len(fleet.host_orders) - before <= 4


def test_listed_hosts_are_ordered_once():
    """Guards against further orders where the list lacks no host."""
    fleet = builders.build_fleet(red=4, standby=2)
    fleet.run(6.0)
    open_wave(fleet, *fleet.workers)
    fleet.run(50.0)
    assert is_completed(fleet)
    upkeeps = [o for o in fleet.host_orders if isinstance(o, orders.TakeDown)]
    assert len(upkeeps) == len(fleet.workers)


def test_job_that_fits_only_a_missing_host_is_accepted():
    """Guards against a refusal of what a host that stays could run."""
    fleet = builders.build_fleet(red=1)
    fleet.add_hosts(1, 'standby', cores=64)
    host = list(fleet.workers)[-1]
    fleet.run(6.0)
    fleet.missing_hosts = {host}
    fleet.run(SEVERAL_LISTS_S)
    step = builders.build_step(need=specs.Resources(48_000, 512))
    job = builders.build_batch_job(step)
    assert fleet.call_scheduler(builders.build_submission(job=job)).is_ok()
    fleet.run(8.0)
    assert [start[1] for start in fleet.starts] == [host]


def test_job_that_fits_only_a_withdrawn_host_is_refused():
    """Guards against jobs that are accepted and never run.

    The answer to the order to move the host shows that it is gone.
    """
    fleet = builders.build_fleet(red=1)
    fleet.add_hosts(1, 'standby', cores=64)
    host = list(fleet.workers)[-1]
    fleet.run(6.0)
    fleet.withdraw_host(host)
    fleet.run(SEVERAL_LISTS_S)
    step = builders.build_step(need=specs.Resources(48_000, 512))
    job = builders.build_batch_job(step)
    assert fleet.call_scheduler(builders.build_submission(1, job)).is_ok()
    fleet.run(2.0)
    assert fleet.call_scheduler(builders.build_submission(2, job)).is_err()


def test_pool_gets_a_standby_host_that_the_list_lacks():
    """Guards against tasks that wait beside a host that could run them."""
    fleet = builders.build_fleet(red=1, standby=1)
    host = list(fleet.workers)[-1]
    fleet.run(6.0)
    fleet.missing_hosts = {host}
    fleet.run(SEVERAL_LISTS_S)
    job = builders.build_lasting_job(30)
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(8.0)
    assert fleet.workers[host].pool == 'red'
    assert fleet.count_running_tasks(builders.build_job_id()) == 30


def test_missing_standby_hosts_count_as_capacity_for_admission():
    """Guards against jobs that are refused since a list lacks some hosts."""
    fleet = builders.build_fleet(red=1, standby=3)
    fleet.run(6.0)
    job = builders.build_batch_job(builders.build_step(200))
    fleet.call_scheduler(builders.build_submission(job=job))
    pool = ids.PoolId('red')
    before = get_expected_wait_s(fleet, pool)
    for number in range(3):
        fleet.call_scheduler(build_list(fleet.now + number))
    after = get_expected_wait_s(fleet, pool)
    assert after == before > 0.0


def get_expected_wait_s(fleet, pool: ids.PoolId) -> float:
    """Return the wait of callers without an organisation, in seconds."""
    return admission.get_expected_wait_s(
        fleet.scheduler, pool, organisations.NO_ORGANISATION, 1.0, 30.0
    )


def build_list(asked_at: float, *names: str, **fields) -> calls.NoteHosts:
    """Return a list of hosts of the standby pool that are up."""
    rows = tuple(
        calls.HostInfo(ids.HostId(name), STANDBY, states.PlatformHostState.UP)
        for name in names
    )
    return calls.NoteHosts(asked_at, rows, **fields)


def test_host_that_no_list_shows_any_more_is_forgotten():
    """Guards against withdrawn hosts that count as capacity for good."""
    known = known_hosts.KnownHosts()
    known.record_list(build_list(0.0, 'm-1', 'm-2', 'm-3'))
    odd = (ids.HostId('m-3'),)
    known.record_list(build_list(59.0, 'm-1', unreadable=odd))
    assert set(known.rows) == {'m-1', 'm-2', 'm-3'}
    known.record_list(build_list(61.0, 'm-1'))
    assert set(known.rows) == {'m-1', 'm-3'}


def test_row_of_a_missing_host_is_not_taken_for_its_present_state():
    """Guards against an earlier row that is used as if it were listed."""
    known = known_hosts.KnownHosts()
    host = ids.HostId('m-1')
    assert not known.is_missing(host)
    known.record_list(build_list(1.0, 'm-1'))
    assert known.is_up(host) and not known.is_missing(host)
    known.record_list(build_list(2.0))
    assert not known.is_up(host) and known.is_missing(host)
    assert known.rows[host].pool == STANDBY
    known.record_list(build_list(1.5, 'm-1'))
    assert known.is_missing(host)
    known.record_list(build_list(3.0, is_complete=False))
    assert not known.is_missing(host)
