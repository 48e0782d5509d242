"""Real processes on loopback with real files, killed and restarted."""

import json
import pathlib
import re
import shutil
import subprocess
import sys
import time
import uuid

from cleo.testers.command_tester import CommandTester
import pytest
import yaml

from orioleshore.cli import application
from orioleshore.cli import remote
from orioleshore.model import errors
from orioleshore.state import operations
from scripts import fleet

SNAPSHOT_ENTRIES = 40
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class RunningFleet:
    """A running fleet with helpers for operator calls and faults."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.fleet = fleet.Fleet(folder)
        self.fleet.prepare(control=3, entry=1)
        for name in self.fleet.operators:
            self.edit_settings(name, snapshot_entries=SNAPSHOT_ENTRIES)
        self.fleet.start_platform()
        for name in self.fleet.health:
            self.fleet.start_node(name)
        self.acknowledged: dict[str, int] = {}

    def edit_settings(self, name: str, **control) -> None:
        """Change settings of a control member before it starts."""
        path = self.fleet.folder / f'{name}.yaml'
        content = yaml.safe_load(path.read_text('utf-8'))
        content['control'] |= control
        path.write_text(yaml.safe_dump(content), 'utf-8')

    def call_member(self, name: str, method: str, path: str, body=None):
        """Call the operators' API of one member."""
        text = None if body is None else json.dumps(body)
        target = remote.Remote(self.fleet.operators[name], fleet.TOKEN)
        return remote.send_request(target, method, path, text)

    def call_any_member(self, method: str, path: str, body=None):
        """Call the members in turn until one gives a definite answer."""
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            for name in self.fleet.operators:
                if name not in self.fleet.processes:
                    continue
                answer = self.call_member(name, method, path, body)
                failure = answer.err()
                if failure is None or not failure.answer.may_resend:
                    return answer
            assert time.monotonic() < deadline, answer
            time.sleep(POLL_INTERVAL_S)

    def get_version(self) -> int:
        return self.call_any_member('GET', '/v1/document').unwrap()['version']

    def get_group(self) -> dict:
        return self.call_any_member('GET', '/v1/members').unwrap()

    def change_document(self, base_version: int, operation_id: str):
        """Send a change that differs from that of the previous version."""
        team = {'name': 'members', 'cores': 10.0 + base_version % 7}
        document = {
            'pools': [{'name': 'freight'}],
            'teams': [{**team, 'memory_gb': 10.0}],
        }
        body = {
            'base_version': base_version,
            'operation_id': operation_id,
            'document': document,
        }
        return self.call_any_member('POST', '/v1/document', body)

    def change_document_repeatedly(
        self, count: int, faults: dict = ()
    ) -> None:
        """Make sequential changes; inject faults before the given numbers."""
        version = self.get_version()
        for number in range(count):
            if number in faults:
                faults[number]()
            operation = generate_operation_id()
            answer = self.change_document(version, operation).unwrap()
            assert answer['version'] == version + 1
            version = answer['version']
            self.acknowledged[operation] = version

    def check_acknowledged_changes(self) -> None:
        """Check that resent changes get their original answer."""
        known_changes = list(self.acknowledged.items())
        for operation, version in (*known_changes[:3], *known_changes[-20:]):
            assert self.change_document(version - 1, operation).unwrap() == {
                'version': version
            }
        assert self.get_version() >= max(self.acknowledged.values())

    def wait_for(self, check, expectation: str) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while not check():
            assert time.monotonic() < deadline, (
                f'{expectation}: {self.get_group()}'
            )
            time.sleep(POLL_INTERVAL_S)

    def wait_until_caught_up(self, count: int = 3) -> None:
        """Wait until all members have all entries.

        All are voters, but for one if their number is even.
        """
        voter_count = count - (count % 2 == 0)

        def have_all_caught_up() -> bool:
            group = self.get_group()
            members = group['members']
            voters = [m for m in members.values() if m['voter']]
            return (len(members), len(voters)) == (count, voter_count) and all(
                member['match_index'] >= group['commit_index']
                for name, member in members.items()
                if name != group['leader']
            )

        self.wait_for(
            have_all_caught_up, f'{voter_count} voters, and all caught up'
        )

    def restart(self, name: str) -> None:
        self.fleet.kill(name)
        self.fleet.start_node(name)

    def restart_with_empty_folder(self, name: str) -> str:
        """Restart a member with an empty folder; return its old stamp."""
        stamp = self.get_group()['members'][name]['stamp']
        self.fleet.kill(name)
        shutil.rmtree(self.fleet.folder / name)
        self.fleet.start_node(name)
        return stamp

    def read_log(self, name: str) -> str:
        return (self.fleet.folder / f'{name}.log').read_text('utf-8')


def generate_operation_id() -> str:
    return operations.generate_operation_id(time.time(), uuid.uuid4().hex)


@pytest.fixture(scope='module')
def running(tmp_path_factory):
    group = RunningFleet(tmp_path_factory.mktemp('fleet'))
    try:
        yield group
    finally:
        group.fleet.stop()


def test_acknowledged_changes_survive_killed_leader(running):
    """Guards against changes lost or applied twice at a leader change."""
    running.wait_until_caught_up()
    leader = running.get_group()['leader']
    running.change_document_repeatedly(
        30, {15: lambda: running.fleet.kill(leader)}
    )
    running.check_acknowledged_changes()
    assert running.get_group()['leader'] != leader
    running.fleet.start_node(leader)
    running.wait_until_caught_up()


def test_stopped_member_catches_up_from_snapshot(running):
    """Guards against a member that cannot catch up with a compacted log.

    Resent changes get their original answer after snapshots and restarts.
    """
    running.wait_until_caught_up()
    group = running.get_group()
    stopped_member = next(
        name for name in group['members'] if name != group['leader']
    )
    running.fleet.kill(stopped_member)
    running.change_document_repeatedly(210)
    running.fleet.start_node(stopped_member)
    running.wait_until_caught_up()
    assert 'snapshot_restored' in running.read_log(stopped_member)
    running.check_acknowledged_changes()
    for name in list(running.fleet.operators):
        running.restart(name)
    running.check_acknowledged_changes()


def test_second_change_with_same_base_version_is_refused(running):
    """Guards against a change that silently overwrites another one."""
    version = running.get_version()
    first = running.change_document(version, generate_operation_id())
    second = running.change_document(version, generate_operation_id())
    assert first.unwrap() == {'version': version + 1}
    failure = second.unwrap_err()
    assert failure.kind is errors.ErrorKind.VERSION_CONFLICT
    assert failure.details[0].startswith(f'version {version + 1} by alice')


def test_acknowledged_changes_survive_two_successive_disk_losses(running):
    """Guards against losing changes that only a replaced disk could hold."""
    running.wait_until_caught_up()
    for name in ('control-2', 'control-3'):
        stamp = running.restart_with_empty_folder(name)
        running.change_document_repeatedly(10)
        running.wait_for(
            lambda name=name, stamp=stamp: (
                running.get_group()['members'][name]['stamp'] != stamp
            ),
            'the member has a new stamp',
        )
        running.wait_until_caught_up()
    running.check_acknowledged_changes()


def test_operator_adds_and_removes_member(running):
    """Guards against a new member that cannot join a running group."""
    running.wait_until_caught_up()
    running.change_document_repeatedly(3)
    fleet_ = running.fleet
    inner, operators = fleet.reserve_addresses(2)
    settings = yaml.safe_load(
        (fleet_.folder / 'control-1.yaml').read_text('utf-8')
    )
    settings['node'] = 'control-4'
    settings['data_folder'] = str(fleet_.folder / 'control-4')
    settings['addresses'] = {'inner': inner, 'operators': operators}
    settings['control']['initial_members'] = {}
    (fleet_.folder / 'control-4.yaml').write_text(
        yaml.safe_dump(settings), 'utf-8'
    )
    fleet_.start_node('control-4')
    options = f'--url {fleet_.operators["control-1"]} '
    options += f'--token-file {fleet_.token_file} --json'

    def run(command: str, *arguments: str) -> tuple[int, str]:
        tester = CommandTester(application.create_application().find(command))
        code = tester.execute(' '.join((*arguments, options)))
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    assert run('member add', 'control-4', inner)[0] == 0
    running.wait_until_caught_up(4)
    assert run('member add', 'control-4', inner)[0] == 0
    code, text = run('member add', 'control-2', inner)
    assert (code, 'is a member already' in text) == (1, True)
    assert run('member remove', 'control-2')[0] == 0
    fleet_.kill('control-2')
    running.wait_until_caught_up(3)
    replaced = run('member replace', 'control-4', 'control-2', inner)
    assert replaced[0] == 0
    fleet_.kill('control-4')
    listed = json.loads(run('member list')[1])['members']
    assert {n for n, m in listed.items() if m['voter']} == {
        'control-1',
        'control-3',
    }
    running.check_acknowledged_changes()


def test_entry_host_never_applies_older_version(running):
    """Guards against a return to an older version after a leader change."""
    leader = running.get_group()['leader']
    running.change_document_repeatedly(
        10, {5: lambda: running.restart(leader)}
    )
    version = running.get_version()

    def read_versions() -> list[int]:
        log = running.read_log('entry-1')
        found = re.findall(r'event=version_in_force.* version=(\d+)', log)
        return [int(number) for number in found]

    running.wait_for(lambda: read_versions()[-1] == version, 'in force')
    assert read_versions() == sorted(set(read_versions()))


FAIL_SYNCS = """
import sys
from orioleshore.cli import application
from orioleshore.consensus import files
synced = []
def sync(self, descriptor):
    synced.append(descriptor)
    if len(synced) > 7:
        print('sync', len(synced), flush=True)
        raise OSError(5, 'Input/output error')
files.FileOperations.sync = sync
application.main()
"""


def test_failed_sync_stops_process(tmp_path):
    """Guards against a member that continues after a failed sync."""
    single = fleet.Fleet(tmp_path)
    single.prepare(control=1, entry=0)
    path = str(tmp_path / 'control-1.yaml')
    process = subprocess.run(
        [sys.executable, '-c', FAIL_SYNCS, 'run', path],
        cwd=fleet.ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert process.returncode == errors.EXIT_STORAGE
    assert 'storage_failed' in process.stdout + process.stderr
    assert 'Input/output error' in process.stdout + process.stderr
    # Log lines go to standard output as well.
    other_lines = [
        line
        for line in process.stdout.splitlines()
        if not line.startswith('time=')
    ]
    assert other_lines == ['sync 8']
