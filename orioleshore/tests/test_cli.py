"""Exit codes and output of the command line."""

import json
import pathlib

from cleo.testers.application_tester import ApplicationTester
import pytest

from orioleshore.cli import application
from orioleshore.cli import output
from orioleshore.model import errors

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / 'examples'


@pytest.fixture
def tester():
    return ApplicationTester(application.create_application())


@pytest.mark.parametrize('name', ['association', 'sakdina'])
def test_example_documents_are_valid(tester, name):
    """Guards against example documents that the program refuses."""
    path = EXAMPLES / f'document-{name}.yaml'
    assert tester.execute(f'validate {path} --json') == 0
    counts = json.loads(tester.io.fetch_output())['items']
    assert counts['hosts'] == 30
    assert counts['services'] == 5


def test_wrong_document_exits_with_2(tester, tmp_path):
    """Guards against accepting part of an invalid document."""
    path = tmp_path / 'document.yaml'
    path.write_text('pools: [{name: UPPER}]\nhosts: 3\n', 'utf-8')
    assert tester.execute(f'validate {path}') == errors.EXIT_INVALID
    message = tester.io.fetch_error()
    assert '$.pools[0].name' in message
    assert '$.hosts' in message


def test_wrong_settings_exit_with_2(tester, tmp_path):
    """Guards against starting a process with invalid settings."""
    path = tmp_path / 'settings.yaml'
    path.write_text('node: 7\nroles: []\n', 'utf-8')
    assert tester.execute(f'run {path}') == errors.EXIT_INVALID
    message = tester.io.fetch_error()
    assert '$.node' in message
    assert str(path) in message


def test_missing_address_exits_with_2(tester, monkeypatch):
    """Guards against a default address that belongs to another system."""
    monkeypatch.delenv('ORIOLESHORE_URL', raising=False)
    assert tester.execute('status') == errors.EXIT_INVALID


def test_unreachable_system_exits_with_3(tester, tmp_path):
    """Guards against reporting an unreachable system as a refusal."""
    token = tmp_path / 'token'
    token.write_text('token', 'utf-8')
    arguments = f'--url http://127.0.0.1:9 --token-file {token}'
    assert tester.execute(f'show {arguments}') == errors.EXIT_UNREACHABLE


def test_every_error_kind_has_an_answer():
    """Guards against an error kind without status and exit code."""
    assert set(errors.ANSWERS) == set(errors.ErrorKind)


def test_status_lists_processes_that_lag():
    """Guards against a status that hides a process with an old version."""
    status = {
        'version': 7,
        'group': {
            'leader': 'control-1',
            'term': 3,
            'members': {},
            'versions_in_force': {'entry-1': 7, 'entry-2': 5},
            'peer_states': {'entry-1': 'alive', 'entry-2': 'dead'},
        },
        'hosts': {'serving': 6, 'down': 0},
        'jobs': {'waiting': 0},
        'services': [],
        'waves': {},
    }
    text = output.format_status(status)
    assert 'entry-2: version 5, 2 behind: dead or cut off' in text
    assert 'entry-1: version 7\n' in text
