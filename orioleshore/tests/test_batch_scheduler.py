"""Decisions of the scheduler, driven with fake workers."""

import msgspec
import pytest

from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import specs
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.tests import builders


def get_state(fleet, number: int = 1, pool: str = 'red'):
    """Return the state of a job as reported to its caller."""
    path = f'/{pool}/{builders.build_job_id(number)}'
    return (
        fleet.call_scheduler(calls.GetJob('jobs.example', path)).unwrap().state
    )


def test_job_runs_its_steps_in_order():
    """Guards against a step that starts before the steps it depends on."""
    fleet = builders.build_fleet()
    job = builders.build_batch_job(
        builders.build_step(3), builders.build_step(2, after=(0,))
    )
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(0.3)
    running = [key[1] for w in fleet.workers.values() for key in w.running]
    assert sorted(running) == ['0.0.0', '0.0.1', '0.0.2']
    fleet.run(4.0)
    assert get_state(fleet) is states.BatchState.COMPLETED


def test_repeated_submission_creates_one_job():
    """Guards against a job that runs twice after a lost answer."""
    fleet = builders.build_fleet()
    for _ in range(3):
        assert fleet.call_scheduler(builders.build_submission()).is_ok()
    fleet.run(3.0)
    assert fleet.call_scheduler(builders.build_submission()).is_ok()
    fleet.run(1.0)
    started = [c for c in fleet.log if type(c).__name__ == 'TaskStarted']
    assert len(started) == 1


def test_job_fails_after_its_last_attempt():
    """Guards against a failing job that is retried without limit."""
    fleet = builders.build_fleet()
    for worker in fleet.workers.values():
        worker.is_failing = True
    fleet.call_scheduler(builders.build_submission())
    fleet.run(8.0)
    started = [c for c in fleet.log if type(c).__name__ == 'TaskStarted']
    assert get_state(fleet) is states.BatchState.FAILED
    assert len(started) == 2


def test_cancelled_job_stops_all_its_tasks():
    """Guards against tasks that keep running after their job is cancelled."""
    fleet = builders.build_fleet()
    job = builders.build_lasting_job(4)
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(1.0)
    assert fleet.count_running_tasks(builders.build_job_id()) == 4
    path = f'/red/{builders.build_job_id()}'
    fleet.call_scheduler(calls.CancelJob('jobs.example', path))
    fleet.run(1.0)
    assert fleet.count_running_tasks(builders.build_job_id()) == 0
    assert get_state(fleet) is states.BatchState.CANCELLED


def test_lost_worker_does_not_cause_two_runs():
    """Guards against a restart before the lease of a silent worker ends."""
    fleet = builders.build_fleet()
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_lasting_job(2))
    )
    fleet.run(1.0)
    silent = next(w for w in fleet.workers.values() if w.running)
    silent.is_silent = True
    lease_s = fleet.scheduler.limits.lease_ms / 1_000.0
    fleet.run(lease_s - 0.2)
    # Its lease expired by its own clock, so it stopped its runs.
    silent.running.clear()
    fleet.run(1.5)
    assert fleet.count_running_tasks(builders.build_job_id()) == 2


def test_new_leader_keeps_runs_that_workers_report():
    """Guards against tasks that restart after a change of leader."""
    fleet = builders.build_fleet()
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_lasting_job(4))
    )
    fleet.run(1.0)
    before = len(fleet.log)
    fleet.fail_over()
    fleet.run(6.0)
    changes = {type(change).__name__ for change in fleet.log[before:]}
    assert 'TaskStarted' not in changes
    assert fleet.count_running_tasks(builders.build_job_id()) == 4


def test_new_leader_accepts_heartbeat_with_run_of_cancelled_job():
    """Guards against a scheduler that fails on a run whose job has ended.

    The job is cancelled after a change of leader, before its worker has
    reported to the new leader.
    """
    fleet = builders.build_fleet()
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_lasting_job(2))
    )
    fleet.run(1.0)
    fleet.fail_over()
    path = f'/red/{builders.build_job_id()}'
    fleet.call_scheduler(calls.CancelJob('jobs.example', path))
    fleet.run(2.0)
    assert fleet.count_running_tasks(builders.build_job_id()) == 0


def test_old_heartbeat_renews_no_lease():
    """Guards against a delayed heartbeat that is handled as a new one."""
    fleet = builders.build_fleet(red=0)
    fleet.call_scheduler(builders.build_heartbeat(sequence=5))
    fleet.call_scheduler(builders.build_submission())
    answer = fleet.call_scheduler(
        builders.build_heartbeat(sequence=4)
    ).unwrap()
    assert answer.lease_ms == 0
    assert not answer.starts


def test_heartbeat_of_an_earlier_worker_of_the_host_renews_no_lease():
    """Guards against an ended worker that replaces its host's present one.

    A member that had been suspended forwarded an old heartbeat when it
    resumed. The host was then taken down for upkeep although it ran tasks,
    since the old worker ran none.
    """
    fleet = builders.build_fleet(red=0)
    host = ids.HostId('host-1')
    newer = builders.build_heartbeat(
        'worker-2', host=host, incarnation=ids.Incarnation(2)
    )
    fleet.call_scheduler(newer)
    older = builders.build_heartbeat('worker-1', sequence=9, host=host)
    fleet.call_scheduler(builders.build_submission())
    answer = fleet.call_scheduler(older).unwrap()
    assert answer.lease_ms == 0
    assert not answer.starts
    assert list(fleet.scheduler.workers) == ['worker-2']


def test_lost_start_order_is_repeated_as_a_new_attempt():
    """Guards against a task that never starts after a lost answer."""
    fleet = builders.build_fleet(red=0)
    fleet.call_scheduler(builders.build_submission())
    first = fleet.call_scheduler(builders.build_heartbeat(sequence=1)).unwrap()
    second = fleet.call_scheduler(
        builders.build_heartbeat(sequence=2)
    ).unwrap()
    assert [order.attempt for order in first.starts] == [1]
    assert [order.attempt for order in second.starts] == [2]


def test_suspect_worker_still_gets_long_running_tasks():
    """Guards against long-running tasks that no worker may run.

    After consecutive failures, a worker got no further task for as long as
    its long-running tasks ran.
    """
    fleet = builders.build_fleet(red=1)
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_lasting_job(2))
    )
    fleet.run(1.0)
    worker = next(iter(fleet.workers.values()))
    for number in range(3):
        fleet.call_scheduler(builders.build_submission(number + 10))
        worker.is_failing = True
        fleet.run(3.0)
        worker.is_failing = False
    fleet.call_scheduler(
        builders.build_submission(2, builders.build_lasting_job(2))
    )
    fleet.run(4.0)
    assert fleet.count_running_tasks(builders.build_job_id(2)) == 2


def test_pool_that_lost_its_hosts_gets_some_for_long_running_tasks():
    """Guards against a pool that stays without hosts for its tasks."""
    fleet = builders.build_fleet(red=2, standby=3)
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_lasting_job(4))
    )
    fleet.run(4.0)
    for worker in fleet.workers.values():
        if worker.pool == 'red':
            worker.is_silent = True
            worker.running.clear()
    fleet.run(10.0)
    assert fleet.count_running_tasks(builders.build_job_id()) == 4


def test_standby_hosts_serve_a_demand_peak_and_return():
    """Guards against a demand peak that only its own pool serves."""
    fleet = builders.build_fleet(red=2, blue=2, standby=6)
    fleet.run(4.0)
    for number in range(40):
        fleet.call_scheduler(
            builders.build_submission(
                number + 1,
                builders.build_batch_job(builders.build_step(6)),
            )
        )
    fleet.run(6.0)
    finished = sum(
        get_state(fleet, number + 1) is states.BatchState.COMPLETED
        for number in range(40)
    )
    # Two hosts alone complete 32 tasks in 0.6 s, 240 in 4.5 s at best.
    assert finished == 40
    fleet.run(8.0)
    off = sum(w.pool == 'standby' for w in fleet.workers.values())
    assert off == 6


@pytest.mark.parametrize('at_once', [1, 3])
def test_wave_keeps_long_running_steps_within_their_limit(at_once):
    """Guards against upkeep that makes too many tasks unavailable.

    Two hosts with tasks of one step evicted one each at the same time.
    """
    fleet = builders.build_fleet(red=5)
    job = builders.build_lasting_job(4, max_unavailable=1)
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(4.0)
    hosts = tuple(fleet.workers)
    fleet.call_scheduler(calls.OpenWave(ids.WaveId('1'), hosts, 60.0, at_once))
    name = builders.build_job_id()
    fewest = 4
    for _ in range(1_200):
        fleet.run(0.05)
        fewest = min(fewest, fleet.count_running_tasks(name))
    wave = fleet.call_scheduler(calls.GetWave(ids.WaveId('1'))).unwrap()
    assert wave.completed
    assert fewest >= 3


def test_refused_upkeep_can_be_ordered_again():
    """Guards against a scheduler that ends when the platform refuses upkeep.

    Recording the refusal failed, and each new leader failed in the same way.
    """
    fleet = builders.build_fleet(red=2)
    scheduler = fleet.scheduler
    wave, host = ids.WaveId('1'), next(iter(fleet.workers))
    fleet.call_scheduler(calls.OpenWave(wave, (host,), 60.0, 1))
    scheduler.record_change(
        ledger.UpkeepOrdered(wave, host, ids.WorkerId('worker-1'))
    )
    record = scheduler.ledger.waves[wave].hosts[host]
    assert record.is_ordered
    fleet.call_scheduler(
        calls.NoteUpkeep(wave, host, states.HostOrderOutcome.REFUSED, 'busy')
    )
    assert not record.is_ordered
    assert not record.is_started


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_repeated_order_that_is_refused_keeps_its_host_counted(lost):
    """Guards against one host too many down for upkeep.

    An order is carried out and its answer lost. The host is down when the
    order is repeated, so the platform refuses it as busy.
    """
    fleet = builders.build_fleet(red=6)
    fleet.run(2.0)
    hosts = tuple(fleet.workers)
    fleet.lost_upkeep_answers = lost
    fleet.call_scheduler(calls.OpenWave(ids.WaveId('1'), hosts, 60.0, 1))
    fleet.run(45.0)
    assert fleet.max_hosts_down == 1
    assert fleet.hosts_done == set(hosts)


def test_late_refusal_of_a_repeated_order_keeps_the_host_counted():
    """Guards against one host too many down for upkeep.

    The first order is confirmed after it was repeated. The platform refuses
    the repeated one, since the host is down.
    """
    fleet = builders.build_fleet(red=4)
    fleet.run(2.0)
    first, *others = fleet.workers
    wave = ids.WaveId('1')
    fleet.call_scheduler(calls.OpenWave(wave, tuple(fleet.workers), 60.0, 1))
    scheduler = fleet.scheduler
    scheduler.record_change(
        ledger.UpkeepOrdered(wave, first, ids.WorkerId('worker-before'))
    )
    fleet.call_scheduler(
        calls.NoteUpkeep(wave, first, states.HostOrderOutcome.ACCEPTED)
    )
    fleet.call_scheduler(
        calls.NoteUpkeep(wave, first, states.HostOrderOutcome.REFUSED, 'busy')
    )
    scheduler.tick(fleet.now, fleet.wall)
    record = scheduler.ledger.waves[wave].hosts
    assert record[first].is_started and not record[first].is_finished
    assert not any(record[host].is_ordered for host in others)


def test_worker_that_joins_before_its_upkeep_does_not_end_it():
    """Guards against a host that counts as back while it is down.

    Its worker crashes after the order, and the next one reports before the
    platform carries the order out.
    """
    fleet = builders.build_fleet(red=2)
    fleet.run(2.0)
    wave, host = ids.WaveId('1'), next(iter(fleet.workers))
    fleet.call_scheduler(calls.OpenWave(wave, (host,), 60.0, 1))
    scheduler = fleet.scheduler
    scheduler.record_change(
        ledger.UpkeepOrdered(wave, host, ids.WorkerId('worker-before'))
    )
    accepted = states.HostOrderOutcome.ACCEPTED
    fleet.call_scheduler(calls.NoteUpkeep(wave, host, accepted))
    fleet.call_scheduler(fleet.workers[host].make_heartbeat(fleet.now))
    scheduler.upkeep.advance()
    assert not scheduler.ledger.waves[wave].hosts[host].is_finished


def test_wave_is_not_completed_before_each_host_had_its_upkeep():
    """Guards against a wave that is reported as completed too early."""
    fleet = builders.build_fleet(red=3)
    fleet.run(4.0)
    hosts = tuple(fleet.workers)
    fleet.call_scheduler(calls.OpenWave(ids.WaveId('1'), hosts, 60.0, 1))
    fleet.run(1.0)
    assert (
        not fleet.call_scheduler(calls.GetWave(ids.WaveId('1')))
        .unwrap()
        .completed
    )
    fleet.run(30.0)
    assert (
        fleet.call_scheduler(calls.GetWave(ids.WaveId('1'))).unwrap().completed
    )


def test_host_that_was_added_after_the_last_list_gets_its_upkeep():
    """Guards against a wave that is completed without a host of it.

    The list that the leader had read before the wave did not have the host.
    """
    fleet = builders.build_fleet(red=2)
    fleet.run(0.5)
    fleet.add_hosts(1, 'standby')
    host = list(fleet.workers)[-1]
    fleet.call_scheduler(calls.OpenWave(ids.WaveId('1'), (host,), 60.0, 1))
    fleet.run(10.0)
    assert fleet.hosts_done == {host}


def test_wave_is_completed_when_its_last_host_is_back():
    """Guards against a completed wave of which a host is still down."""
    fleet = builders.build_fleet(red=2)
    fleet.run(4.0)
    wave = ids.WaveId('1')
    hosts = tuple(fleet.workers)
    fleet.call_scheduler(calls.OpenWave(wave, hosts, 60.0, 1))
    while not fleet.call_scheduler(calls.GetWave(wave)).unwrap().completed:
        fleet.run(0.05)
    assert fleet.hosts_done == set(hosts)
    assert all(fleet.now >= w.up_at for w in fleet.workers.values())


def test_older_configuration_changes_nothing():
    """Guards against a configuration that reverts to an older version."""
    fleet = builders.build_fleet()
    newer = builders.build_configuration(9, source=b'nine')
    older = builders.build_configuration(5, source=b'five')
    same = builders.build_configuration(9, source=b'other')
    for configuration in (newer, older, same):
        outcome = fleet.call_scheduler(calls.PutConfiguration(configuration))
        assert outcome.is_ok()
    held = fleet.call_scheduler(calls.GetConfiguration()).unwrap()
    assert held.source == b'nine'


@pytest.mark.parametrize(
    ('call', 'kind'),
    [
        (
            calls.GetJob('jobs.example', '/red/00000000000000ff'),
            errors.ErrorKind.JOB_UNKNOWN,
        ),
        (
            calls.GetJob('jobs.example', '/green/'),
            errors.ErrorKind.NOT_FOUND,
        ),
        (
            calls.SubmitJob(
                'jobs.example', '/red/short', builders.build_batch_job()
            ),
            errors.ErrorKind.INVALID_REQUEST,
        ),
        (calls.GetWave(ids.WaveId('9')), errors.ErrorKind.NOT_FOUND),
    ],
)
def test_calls_with_unknown_names_are_refused(call, kind):
    """Guards against a success for a name that does not exist."""
    outcome = builders.build_fleet().call_scheduler(call)
    assert outcome.unwrap_err().kind is kind


def test_members_of_a_gang_start_together_or_not_at_all():
    """Guards against members that occupy capacity and wait for others."""
    fleet = builders.build_fleet(red=3)
    need = specs.Resources(9_000, 1_024)
    gang = builders.build_step(3, is_gang=True, need=need)
    filler = builders.build_step(1, need=need)
    fleet.run(1.0)
    fleet.call_scheduler(
        builders.build_submission(9, builders.build_batch_job(filler))
    )
    fleet.run(0.3)
    fleet.call_scheduler(
        builders.build_submission(1, builders.build_batch_job(gang))
    )
    fleet.run(4.0)
    started = [
        (time, order)
        for time, _, order in fleet.starts
        if order.job == builders.build_job_id(1)
    ]
    times = [time for time, _ in started]
    assert len(started) == 3
    assert {order.attempt for _, order in started} == {1}
    gang_s = fleet.scheduler.limits.gang_ms / 1_000.0
    assert max(times) - min(times) < gang_s
    assert get_state(fleet) is states.BatchState.COMPLETED


def test_gang_larger_than_its_pool_reserves_no_capacity():
    """Guards against a gang that can never start but blocks its pool."""
    fleet = builders.build_fleet(red=1)
    gang = builders.build_step(
        3, is_gang=True, need=specs.Resources(9_000, 1_024)
    )
    fleet.call_scheduler(
        builders.build_submission(1, builders.build_batch_job(gang))
    )
    fleet.run(1.0)
    fleet.call_scheduler(builders.build_submission(2))
    fleet.run(3.0)
    assert get_state(fleet, 2) is states.BatchState.COMPLETED
    assert get_state(fleet, 1) is states.BatchState.QUEUED


def test_step_with_a_policy_starts_only_with_a_ticket():
    """Guards against starts on workers that the policy did not approve."""
    fleet = builders.build_fleet(red=3)
    fleet.run(0.5)
    configuration = builders.build_configuration(2)
    queues = tuple(
        msgspec.structs.replace(queue, needs_approval=True)
        for queue in configuration.queues
    )
    fleet.call_scheduler(
        calls.PutConfiguration(builders.build_configuration(2, queues=queues))
    )
    names = [worker.name for worker in fleet.workers.values()]
    fleet.unapproved = set(names[1:])
    job = builders.build_batch_job(builders.build_step(4))
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(3.0)
    assert get_state(fleet) is states.BatchState.COMPLETED
    assert {order.ticket for _, _, order in fleet.starts} == {
        f'ticket-{names[0]}'
    }


def test_step_waits_briefly_for_the_rack_of_its_data():
    """Guards against slow runs on another rack while its own is free."""
    fleet = builders.build_fleet(red=2)
    near, far = fleet.workers.values()
    near.labels = ('a', 'r1-1')
    far.labels = ('a', 'r1-2')
    fleet.run(0.5)
    step = builders.build_step(10, data_rack='r1-1')
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_batch_job(step))
    )
    fleet.run(0.2)
    assert {host for _, host, _ in fleet.starts} == {near.host}


def test_stalled_runs_restart_elsewhere():
    """Guards against jobs that wait for a worker that hangs."""
    fleet = builders.build_fleet(red=2)
    hanging = next(iter(fleet.workers.values()))
    hanging.is_hanging = True
    for number in range(1, 5):
        job = builders.build_batch_job(builders.build_step(4))
        fleet.call_scheduler(builders.build_submission(number, job))
    fleet.run(8.0)
    for number in range(1, 5):
        assert get_state(fleet, number) is states.BatchState.COMPLETED
    # The worker is tried again with one task at a time.
    assert len(hanging.running) <= 1


def test_failed_task_is_retried_on_another_worker():
    """Guards against a faulty worker that uses up all attempts of a job."""
    fleet = builders.build_fleet(red=0)
    fleet.call_scheduler(builders.build_heartbeat('worker-1', 1))
    fleet.call_scheduler(builders.build_heartbeat('worker-2', 1))
    fleet.call_scheduler(builders.build_submission())
    fleet.call_scheduler(builders.build_heartbeat('worker-1', 2))
    key = (builders.build_job_id(), ids.TaskName('0.0.0'), ids.Attempt(1))
    end = calls.EndReport(1, *key, states.RunEnd.FAILED)
    beat = builders.build_heartbeat('worker-1', 3, ended=(end,))
    assert not fleet.call_scheduler(beat).unwrap().starts
    other = fleet.call_scheduler(
        builders.build_heartbeat('worker-2', 2)
    ).unwrap()
    assert [order.attempt for order in other.starts] == [2]


def test_slow_runs_are_not_stalled():
    """Guards against stopping runs on a worker that is only slow."""
    fleet = builders.build_fleet(red=1)
    fleet.mean_run_s = 8.0
    fleet.call_scheduler(builders.build_submission())
    fleet.run(14.0)
    assert len(fleet.starts) == 1
    assert get_state(fleet) is states.BatchState.COMPLETED


def test_occurrences_start_at_their_due_times():
    """Guards against an occurrence that starts early or never."""
    fleet = builders.build_fleet()
    fleet.run(0.5)
    first_s = 2.0
    job = msgspec.structs.replace(
        builders.build_batch_job(),
        occurrences=3,
        first_due_ms=int((fleet.wall + first_s) * 1_000),
        interval_ms=1_500,
    )
    began = fleet.now
    fleet.call_scheduler(builders.build_submission(job=job))
    fleet.run(9.0)
    times = [time - began for time, _, _ in fleet.starts]
    assert len(times) == 3
    for number, time in enumerate(times):
        due_s = first_s + 1.5 * number
        assert due_s - 0.01 <= time <= due_s + 0.3
    assert get_state(fleet) is states.BatchState.COMPLETED


def test_checkpoint_is_passed_to_the_next_attempt():
    """Guards against repeating work that was saved."""
    fleet = builders.build_fleet(red=0)
    step = builders.build_step(saves_progress=True)
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_batch_job(step))
    )
    fleet.call_scheduler(builders.build_heartbeat(sequence=1))
    key = (builders.build_job_id(), ids.TaskName('0.0.0'), ids.Attempt(1))
    end = calls.EndReport(1, *key, states.RunEnd.STOPPED, 'saved-41')
    beat = builders.build_heartbeat(sequence=2, ended=(end,))
    (again,) = fleet.call_scheduler(beat).unwrap().starts
    assert again.attempt == 2
    assert again.checkpoint == 'saved-41'


def test_label_decides_which_worker_runs_a_step():
    """Guards against a start on a worker without the label."""
    fleet = builders.build_fleet(red=2)
    first, second = fleet.workers.values()
    first.labels = ('a', 'r1-1')
    second.labels = ('b', 'r1-1')
    step = builders.build_step(4, required_label='b')
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_batch_job(step))
    )
    fleet.run(3.0)
    assert {host for _, host, _ in fleet.starts} == {second.host}


def test_filler_tasks_are_paused_beside_a_slow_serving_task():
    """Guards against fillers that keep a tail latency above its target."""
    fleet = builders.build_fleet(red=0)
    serving = builders.build_lasting_job(1, tail_target_ms=100)
    filler = builders.build_batch_job(builders.build_step(is_filler=True))
    fleet.call_scheduler(builders.build_submission(1, serving))
    fleet.call_scheduler(builders.build_submission(2, filler))
    fleet.call_scheduler(builders.build_heartbeat(sequence=1))
    keys = [
        (builders.build_job_id(number), ids.TaskName('0.0.0'), ids.Attempt(1))
        for number in (1, 2)
    ]

    def send_report(sequence: int, tail_ms: float):
        running = (
            calls.RunReport(*keys[0], '', 100, tail_ms),
            calls.RunReport(*keys[1], '', 0, 1.0),
        )
        beat = builders.build_heartbeat(sequence=sequence, running=running)
        return fleet.call_scheduler(beat).unwrap().rates

    assert [order.percent for order in send_report(2, 95.0)] == [0]
    assert not send_report(3, 95.0)
    assert [order.percent for order in send_report(4, 20.0)] == [10]


def test_long_running_tasks_move_off_a_draining_worker():
    """Guards against long-running tasks that end with their worker."""
    fleet = builders.build_fleet(red=3)
    fleet.call_scheduler(
        builders.build_submission(job=builders.build_lasting_job(2))
    )
    fleet.run(1.0)
    draining = next(w for w in fleet.workers.values() if w.running)
    draining.state = states.WorkerState.DRAINING
    fleet.run(2.0)
    assert not draining.running
    assert fleet.count_running_tasks(builders.build_job_id()) == 2


def test_new_leader_holds_only_hosts_with_a_recent_order():
    """Guards against orders of two leaders about a host within one lease.

    Holding all hosts instead would block moves in a demand peak.
    """
    fleet = builders.build_fleet(red=2, blue=2, standby=2)
    fleet.run(1.0)
    host, other = (
        w.host for w in fleet.workers.values() if w.pool == 'standby'
    )
    fleet.scheduler.orders.order_move(host, ids.PoolId('red'), fleet.now)
    fleet.fail_over()
    fleet.scheduler.tick(fleet.now, fleet.wall)
    orders = fleet.scheduler.orders
    lease_s = fleet.scheduler.limits.host_lease_ms / 1_000.0
    assert orders.can_order(other, fleet.now)
    assert not orders.can_order(host, fleet.now + lease_s - 0.1)
    assert orders.can_order(host, fleet.now + lease_s + 0.1)
