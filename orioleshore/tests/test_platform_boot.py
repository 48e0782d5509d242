"""The platform's settings file, read into the project's settings."""

import pathlib

import pytest

from orioleshore.jobs import tuning
from orioleshore.model import errors
from orioleshore.model import states
from orioleshore.platform import boot
from orioleshore.tests import builders


def read(folder: pathlib.Path, text: str):
    """Return what a process reads from a settings file."""
    path = folder / 'boot.toml'
    path.write_text(text, 'utf-8')
    return boot.read_deployment(str(path), states.Role.ENTRY)


@pytest.mark.parametrize(
    ('bound_ms', 'lease_ms'),
    [(6_000, tuning.Tuning().lease_ms), (2_000, 2_000)],
)
def test_lease_is_no_longer_than_workers_accept(tmp_path, bound_ms, lease_ms):
    """Guards against leases that the leader takes for longer than they are."""
    text = builders.build_boot_file(hold_max_ms=bound_ms)
    deployment = read(tmp_path, text).unwrap()
    assert deployment.limits.lease_ms == lease_ms


def test_fields_that_are_not_known_are_ignored(tmp_path):
    """Guards against a start that fails because of a newer platform."""
    text = builders.build_boot_file(something_new=7)
    assert read(tmp_path, text).is_ok()


@pytest.mark.parametrize('text', ['', 'ip = ', 'node_name = "edge-1"\n'])
def test_file_that_lacks_what_is_needed_is_refused(tmp_path, text):
    """Guards against a process that starts with half of its settings."""
    failure = read(tmp_path, text).unwrap_err()
    assert failure.kind is errors.ErrorKind.INVALID_SETTINGS
