"""The two roles on the platform as real processes, tested over HTTP."""

import asyncio
import contextlib
import functools
import signal

import aiohttp

from fakes import platform_fleet
from orioleshore.tests import support

CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'r-1',
            'host': 'jobs.example',
            'path_prefix': '/red/',
            'timeout_ms': 3_000,
            'slo_ms': 3_600,
            'service': 'red',
            'max_attempts': 2,
            'stretch_factor': 1.6,
        }
    ],
    'services': [{'name': 'red', 'preconditions': True}],
    'limits': {},
}
JOB = {
    'spec': 'text',
    'steps': [
        {'replicas': 3, 'cpus': 500, 'mem_mb': 64, 'estimate_ms': 300},
        {'replicas': 2, 'cpus': 500, 'mem_mb': 64, 'after': [0]},
    ],
}
HOST = {'Host': 'jobs.example', 'Timeout-Ms': '3000'}
JOB_ID = '5c0e7a21d94b36f8'


@contextlib.asynccontextmanager
async def run_fleet(folder):
    """Yield a fleet, its one worker and an HTTP session."""
    fleet = platform_fleet.PlatformFleet(folder)
    cloud = fleet.cloud
    runner = platform_fleet.HttpWorker(fleet, 'i-1', 'red', 0.4)
    await cloud.start()
    fleet.start_all()
    runner_task = asyncio.create_task(runner.run())
    timeout = aiohttp.ClientTimeout(total=3.0)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await wait_until(
                functools.partial(is_listening, fleet, session),
                'the entry host listens',
            )
            yield fleet, runner, session
    finally:
        runner_task.cancel()
        await asyncio.gather(runner_task, return_exceptions=True)
        fleet.stop_all()
        await cloud.stop()


async def is_listening(fleet, session) -> bool:
    """Return whether the entry host answers, ready or not."""
    url = fleet.get_ready_url('entry-0')
    status, _ = await send_request(session, 'GET', url)
    return status != 0


async def send_request(session, method, url, **options):
    """Return status and body of a response; status 0 means no response."""
    try:
        async with session.request(method, url, **options) as response:
            return response.status, await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, b''


async def put_configuration(fleet, session, content, names=None):
    """Send a configuration to each node in turn until one accepts it."""

    async def is_accepted() -> bool:
        for name in names or fleet.control_names:
            url = f'{fleet.get_url(name)}/config'
            status, _ = await send_request(session, 'PUT', url, json=content)
            if status == 200:
                return True
        return False

    await wait_until(is_accepted, 'configuration is acknowledged')


async def wait_until(check, what):
    """Wait until an asynchronous check returns true."""
    for _ in range(200):
        if await check():
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f'timed out: {what}')


def make_state_check(fleet, session, state):
    """Return a check that the reported state of the job is ``state``."""
    url = f'{fleet.get_url("entry-0")}/red/{JOB_ID}'

    async def check() -> bool:
        status, body = await send_request(session, 'GET', url, headers=HOST)
        return status == 200 and state.encode() in body

    return check


def test_job_runs_end_to_end(tmp_path):
    """Guards against a job path that works only within one process."""

    async def serve():
        async with run_fleet(tmp_path) as (fleet, runner, session):
            await put_configuration(fleet, session, CONFIGURATION)
            url = f'{fleet.get_url("entry-0")}/red/{JOB_ID}'
            for _ in range(2):
                status, _ = await send_request(
                    session, 'POST', url, headers=HOST, json=JOB
                )
                assert status == 200
            check = make_state_check(fleet, session, 'completed')
            await wait_until(check, 'job is completed')
            assert sorted(runner.starts.values()) == [1] * 5
            status, text = await send_request(
                session, 'GET', fleet.get_metrics_url('entry-0')
            )
            assert status == 200
            assert b'orioleshore_request_seconds_bucket' in text
            missing = f'{fleet.get_url("entry-0")}/green/{JOB_ID}'
            status, _ = await send_request(
                session, 'GET', missing, headers=HOST
            )
            assert status == 404

    support.run(serve())


def test_acknowledged_work_survives_loss_of_the_leader(tmp_path):
    """Guards against acknowledged work that exists only on the leader."""

    async def serve():
        async with run_fleet(tmp_path) as (fleet, runner, session):
            await put_configuration(fleet, session, CONFIGURATION)
            url = f'{fleet.get_url("entry-0")}/red/{JOB_ID}'
            status, _ = await send_request(
                session, 'POST', url, headers=HOST, json=JOB
            )
            assert status == 200
            leader = find_leader(fleet)
            fleet.kill(leader)
            check = make_state_check(fleet, session, 'completed')
            await wait_until(check, 'job is completed under a new leader')
            assert max(runner.starts.values()) == 1
            others = [n for n in fleet.control_names if n != leader]

            async def is_retained() -> bool:
                config = f'{fleet.get_url(others[0])}/config'
                status, body = await send_request(session, 'GET', config)
                return status == 200 and b'"version":3' in body.replace(
                    b' ', b''
                )

            await wait_until(is_retained, 'configuration is read back')

    support.run(serve())


def test_invalid_configuration_is_refused_and_not_in_force(tmp_path):
    """Guards against a refused document that takes effect in part."""

    async def serve():
        async with run_fleet(tmp_path) as (fleet, _, session):
            await put_configuration(fleet, session, CONFIGURATION)
            broken = CONFIGURATION | {'version': 9, 'services': []}
            url = f'{fleet.get_url("control-0")}/config'
            status, _ = await send_request(session, 'PUT', url, json=broken)
            assert status == 400

            async def is_unchanged() -> bool:
                status, body = await send_request(session, 'GET', url)
                return status == 200 and b'"version": 3' in body

            await wait_until(is_unchanged, 'old version is in force')

    support.run(serve())


def test_stopping_entry_host_serves_until_balancer_notices(tmp_path):
    """Guards against a stop that the balancer does not notice in time."""

    async def serve():
        async with run_fleet(tmp_path) as (fleet, _, session):
            await put_configuration(fleet, session, CONFIGURATION)
            ready = fleet.get_ready_url('entry-0')
            assert (await send_request(session, 'GET', ready))[0] == 200
            fleet.signal('entry-0', signal.SIGTERM)

            async def is_not_ready() -> bool:
                return (await send_request(session, 'GET', ready))[0] == 503

            await wait_until(is_not_ready, 'readiness check fails')
            url = f'{fleet.get_url("entry-0")}/red/'
            status, _ = await send_request(session, 'GET', url, headers=HOST)
            assert status == 200
            process = fleet.processes['entry-0']

            async def has_exited() -> bool:
                return process.poll() is not None

            await wait_until(has_exited, 'process has exited')
            assert process.returncode == 0

    support.run(serve())


def test_member_that_lost_its_disk_rejoins(tmp_path):
    """Guards against a member that founds a new group on an empty disk."""

    async def serve():
        async with run_fleet(tmp_path) as (fleet, _, session):
            await put_configuration(fleet, session, CONFIGURATION)
            lost_member = find_follower(fleet)
            fleet.kill(lost_member)
            for path in (tmp_path / f'data-{lost_member}').iterdir():
                path.unlink()
            fleet.start(lost_member, bootstrap=False)
            newer = CONFIGURATION | {'version': 4}
            await put_configuration(fleet, session, newer)

            async def has_newest_version() -> bool:
                url = f'{fleet.get_url(lost_member)}/config'
                status, body = await send_request(session, 'GET', url)
                return status == 200 and b'"version": 4' in body

            await wait_until(
                has_newest_version, 'replaced member serves reads'
            )
            others = [n for n in fleet.control_names if n != lost_member]
            leader = find_leader(fleet)
            others.remove(leader)

            async def is_voter() -> bool:
                lines = fleet.read_log(leader).splitlines()
                changes = [line for line in lines if 'members_ch' in line]
                # The member was removed, added as a learner, then promoted.
                return len(changes) >= 3 and changes[-1].endswith(
                    changes[0].partition(' voters=')[2]
                )

            await wait_until(is_voter, 'replaced member votes again')
            fleet.kill(others[0])
            await wait_until(
                has_newest_version, 'replaced member counts in the quorum'
            )
            # A change of the group must not restart the leader's scheduler:
            # a restart loses all workers and fails the pending calls.
            text = fleet.read_log(leader)
            assert text.count('event=scheduling_started') == 1

    support.run(serve())


def find_follower(fleet) -> str:
    """Return a member that is not the leader."""
    leader = find_leader(fleet)
    return next(name for name in fleet.control_names if name != leader)


def find_leader(fleet) -> str:
    """Return the member whose log says that its scheduler is running."""
    for name in fleet.control_names:
        lines = fleet.read_log(name).splitlines()
        marks = [line for line in lines if 'event=scheduling_st' in line]
        is_up = fleet.processes[name].poll() is None
        if is_up and marks and 'event=scheduling_started' in marks[-1]:
            return name
    raise AssertionError('no member is the leader')


def test_member_that_is_stopped_while_it_starts_can_start_again(tmp_path):
    """Guards against a stop during the imports that damages the folder.

    Soak seed 7105: on a busy machine a member was stopped 4 s after its start
    and had not installed its signal handler. Nothing may be lost by that.
    """

    async def serve():
        async with run_fleet(tmp_path) as (fleet, _, session):
            await put_configuration(fleet, session, CONFIGURATION)
            fleet.kill('control-0')
            fleet.start('control-0', bootstrap=False)
            fleet.signal('control-0', signal.SIGTERM)
            process = fleet.processes['control-0']
            code = await asyncio.to_thread(process.wait, 10)
            assert code in (0, -signal.SIGTERM)
            assert not fleet.has_started('control-0') or code == 0
            fleet.start('control-0', bootstrap=False)
            content = CONFIGURATION | {'version': 4}
            await put_configuration(
                fleet, session, content, names=['control-0']
            )

    support.run(serve())


def test_group_is_found_through_seeds_that_are_no_members(tmp_path):
    """Guards against a restart after which nobody knows the members.

    The seeds were exchanged for control processes without a disk, and all
    processes restarted. On gumclear-hq, day trouble-3, no request was served
    from then on.
    """

    async def serve():
        async with run_fleet(tmp_path) as (fleet, _, session):
            await put_configuration(fleet, session, CONFIGURATION)
            names = (*fleet.control_names, 'control-3', 'entry-0')
            fleet.diskless_names = {'control-3'}
            fleet.seed_names = ['control-3']
            for name in names:
                if name in fleet.processes:
                    fleet.kill(name)
            for name in names:
                fleet.start(name, bootstrap=False)
            url = f'{fleet.get_url("entry-0")}/red/{JOB_ID}'

            async def is_accepted() -> bool:
                status, _ = await send_request(
                    session, 'POST', url, json=JOB, headers=HOST
                )
                return status == 200

            await wait_until(is_accepted, 'a job is accepted')
            await wait_until(
                make_state_check(fleet, session, 'completed'),
                'the job is completed',
            )

    support.run(serve())


def test_processes_follow_the_good_entries_beside_odd_ones(tmp_path):
    """Guards against odd entries that end processes or hide the others.

    The platform lists odd hosts among good ones, and other writers send
    heartbeats, rows of running tasks and messages that cannot be read.
    """
    idle = {'name': 'idle', 'preconditions': True, 'standby': True}
    services = [*CONFIGURATION['services'], idle]
    good = {'machine': 'm-idle', 'pool': 'idle', 'state': 'up'}
    odd = {'machine': 'm-odd', 'pool': 'idle', 'state': 'up'}

    async def serve():
        async with run_fleet(tmp_path) as (fleet, runner, session):
            cloud = fleet.cloud
            cloud.machines = [good]
            cloud.odd_rows = list(platform_fleet.ODD_MACHINE_ROWS)
            runner.odd_runs = platform_fleet.ODD_RUNS
            fleet.diskless_names = {'control-3'}
            fleet.start('control-3', bootstrap=False)
            names = [*fleet.control_names, 'control-3']
            writer = platform_fleet.ForeignWriter(fleet, names)
            writer_task = asyncio.create_task(writer.run())
            await put_configuration(
                fleet, session, CONFIGURATION | {'services': services}
            )
            wave = {
                'wave': 1,
                'machines': ['m-odd', 'm-idle'],
                'duration_s': 20,
                'cap': 2,
            }
            control = fleet.get_url('control-3')

            async def is_wave_opened() -> bool:
                status, _ = await send_request(
                    session, 'POST', f'{control}/wave-start', json=wave
                )
                return status == 200

            async def is_wave_completed() -> bool:
                _, body = await send_request(
                    session, 'GET', f'{control}/wave-get/1'
                )
                return b'completed' in body

            async def is_job_accepted() -> bool:
                status, _ = await send_request(
                    session,
                    'POST',
                    f'{fleet.get_url("entry-0")}/red/{JOB_ID}',
                    headers=HOST,
                    json=JOB,
                )
                return status == 200

            async def is_good_host_done() -> bool:
                return 'm-idle' in cloud.upkeeps

            await wait_until(is_wave_opened, 'wave is opened')
            await wait_until(is_job_accepted, 'job is accepted')
            await wait_until(
                make_state_check(fleet, session, 'completed'),
                'job is completed',
            )
            assert sorted(runner.starts.values()) == [1] * 5
            await wait_until(is_good_host_done, 'upkeep of the good host')
            reads = cloud.reads

            async def is_list_read_again() -> bool:
                return cloud.reads >= reads + 3

            await wait_until(is_list_read_again, 'hosts are listed again')
            assert 'm-odd' not in cloud.upkeeps
            assert not await is_wave_completed()
            cloud.odd_rows = []
            cloud.machines = [good, odd]
            await wait_until(is_wave_completed, 'wave is completed')
            assert 'm-odd' in cloud.upkeeps
            assert writer.refused > len(names)
            assert not writer_task.done()
            writer_task.cancel()
            await asyncio.gather(writer_task, return_exceptions=True)
            await check_odd_entries_are_counted(fleet, session)
            for name, process in fleet.processes.items():
                assert process.poll() is None, name
                text = fleet.read_log(name)
                assert 'event=task_failed' not in text, name
                assert 'event=background_task_failed' not in text, name
                assert 'event=loop_exception' not in text, name

    support.run(serve())


def test_processes_complete_a_wave_only_with_the_hosts_that_stay(tmp_path):
    """Guards against a wave that is completed without a host that stays.

    One host is in no page of several lists, another one no longer exists.
    """
    idle = {'name': 'idle', 'preconditions': True, 'standby': True}
    services = [*CONFIGURATION['services'], idle]
    names = ['m-stays', 'm-gone']

    async def serve():
        async with run_fleet(tmp_path) as (fleet, _, session):
            cloud = fleet.cloud
            cloud.machines = [
                {'machine': name, 'pool': 'idle', 'state': 'up'}
                for name in names
            ]
            cloud.missing = {'m-stays'}
            cloud.withdrawn = {'m-gone'}
            await put_configuration(
                fleet, session, CONFIGURATION | {'services': services}
            )
            wave = {'wave': 1, 'machines': names, 'duration_s': 20, 'cap': 1}
            control = fleet.get_url('control-0')

            async def is_wave_opened() -> bool:
                status, _ = await send_request(
                    session, 'POST', f'{control}/wave-start', json=wave
                )
                return status == 200

            async def is_wave_completed() -> bool:
                _, body = await send_request(
                    session, 'GET', f'{control}/wave-get/1'
                )
                is_completed = b'completed' in body
                assert not is_completed or 'm-stays' in cloud.upkeeps
                return is_completed

            await wait_until(is_wave_opened, 'wave is opened')
            await wait_until(is_wave_completed, 'wave is completed')
            assert set(cloud.upkeeps) == {'m-stays'}

    support.run(serve())


async def check_odd_entries_are_counted(fleet, session):
    """Check metric and log of the odd hosts and runs at the leader."""
    leader = find_leader(fleet)
    _, body = await send_request(session, 'GET', fleet.get_metrics_url(leader))
    counts = {
        line.split('list="')[1].split('"')[0]: float(line.split()[-1])
        for line in body.decode().splitlines()
        if line.startswith('orioleshore_odd_entries_total')
    }
    assert counts['hosts'] >= len(platform_fleet.ODD_MACHINE_ROWS)
    assert counts['addresses'] >= len(platform_fleet.ODD_ADDRESSES)
    text = fleet.read_log(leader)
    assert 'event=entry_unreadable entry=m-odd list=hosts' in text
    logs = ''.join(fleet.read_log(name) for name in fleet.control_names)
    assert 'list=running' in logs
