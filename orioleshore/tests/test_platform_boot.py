"""Conversion of the platform's settings file to the project's settings."""

import gc
import pathlib

import pytest
from result import Ok

from fakes import platform_fleet
from orioleshore.jobs import tuning
from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.platform import boot
from orioleshore.platform import process
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.tests import builders
from orioleshore.tests import support


def read_deployment(folder: pathlib.Path, text: str):
    """Write a settings file and return the result of reading it."""
    path = folder / 'boot.toml'
    path.write_text(text, 'utf-8')
    return boot.read_deployment(str(path), states.Role.ENTRY)


@pytest.mark.parametrize(
    ('bound_ms', 'lease_ms'),
    [(6_000, tuning.SchedulerLimits().lease_ms), (2_000, 2_000)],
)
def test_lease_is_no_longer_than_workers_accept(tmp_path, bound_ms, lease_ms):
    """Guards against workers that end a lease before the leader does."""
    text = builders.build_boot_file(hold_max_ms=bound_ms)
    deployment = read_deployment(tmp_path, text).unwrap()
    assert deployment.limits.lease_ms == lease_ms


@pytest.mark.parametrize(
    ('role', 'folder', 'address'),
    [
        (states.Role.ENTRY, '/data/entry', '127.0.0.1:7060'),
        (states.Role.ENTRY, '', ''),
        (states.Role.CONTROL, '/data/control', ''),
    ],
)
def test_entry_process_knows_the_member_on_its_host(
    tmp_path, role, folder, address
):
    """Guards against an entry host that waits where there is no member."""
    path = tmp_path / 'boot.toml'
    listen = '[listen]\ncontrol = "127.0.0.1:7065"'
    text = builders.build_boot_file().replace('[listen]', listen)
    path.write_text(f'data_dir = "{folder}"\n{text}', 'utf-8')
    deployment = boot.read_deployment(str(path), role).unwrap()
    assert deployment.local_member_address == address


def test_unknown_fields_are_ignored(tmp_path):
    """Guards against a start that fails after an update of the platform."""
    text = builders.build_boot_file(something_new=7)
    assert read_deployment(tmp_path, text).is_ok()


@pytest.mark.parametrize('text', ['', 'ip = ', 'node_name = "edge-1"\n'])
def test_incomplete_file_is_refused(tmp_path, text):
    """Guards against a process that starts with missing settings."""
    failure = read_deployment(tmp_path, text).unwrap_err()
    assert failure.kind is errors.ErrorKind.INVALID_SETTINGS


class FailingTask(task.Task):
    """Fails when it handles its first message."""

    def __init__(self) -> None:
        super().__init__(mailbox.Mailbox('failing', 1))
        self.mailbox.put('anything')

    async def handle(self, message) -> None:
        raise OSError('no space left on device')


class DrainRecorder:
    """Records the limit of each drain."""

    def __init__(self) -> None:
        self.limits_s: list[float] = []

    async def drain(self, limit_s: float) -> None:
        self.limits_s.append(limit_s)


def test_failed_task_ends_the_process_without_a_drain(tmp_path):
    """Guards against a delayed restart of a member whose disk is full.

    The process waited 5 s to transfer the leadership, although the task that
    performs the transfer was the one that had failed. Seen on the Sakdina
    fleet after hosts had been added.
    """
    address = platform_fleet.PlatformFleet(tmp_path).get_address('entry-1')
    port = platform_fleet.find_free_ports(8)
    text = builders.build_boot_file(address, port, grace_s=6)
    deployment = read_deployment(tmp_path, text).unwrap()
    drain_recorder = DrainRecorder()

    def build(_):
        return Ok(process.RoleTasks([FailingTask()], drain_recorder))

    async def check():
        running = process.PlatformProcess('', states.Role.ENTRY, build)
        outcome = await running.run(deployment)
        assert outcome.unwrap_err().kind is errors.ErrorKind.INTERNAL

    support.run(check())
    assert not drain_recorder.limits_s


def test_started_process_collects_garbage(tmp_path):
    """Guards against memory that grows because the start turned this off."""
    address = platform_fleet.PlatformFleet(tmp_path).get_address('entry-1')
    port = platform_fleet.find_free_ports(8)
    text = builders.build_boot_file(address, port)
    deployment = read_deployment(tmp_path, text).unwrap()

    def build(_):
        return Ok(process.RoleTasks([FailingTask()]))

    gc.disable()
    try:
        running = process.PlatformProcess('', states.Role.ENTRY, build)
        support.run(running.run(deployment))
        assert gc.isenabled()
    finally:
        gc.enable()
        gc.unfreeze()
