"""Modules and files that a process on the platform loads at its start.

After a power loss all processes start at the same time on small hosts, and
callers wait until the slowest required process serves.
"""

import os
import pathlib
import socket
import subprocess
import sys
import threading
import tomllib

import aiohttp
import pytest

from orioleshore.platform import precedence

ROOT = pathlib.Path(__file__).parents[2]
# Folder with the libraries of the test environment.
LIBRARIES = str(pathlib.Path(aiohttp.__file__).parents[1])


def read_roles():
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return deploy['roles']


def list_loaded_modules(code, env):
    """Run code in a process like the platform's; return loaded modules."""
    script = f'{code}\nimport sys\nprint(*sys.modules)'
    done = subprocess.run(
        [sys.executable, '-S', '-c', script],
        env={'PYTHONPATH': LIBRARIES, 'PATH': os.environ['PATH'], **env},
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return set(done.stdout.split())


def test_entry_role_does_not_import_other_roles():
    """Guards against imports that delay the start of entry hosts."""
    loaded = list_loaded_modules('import orioleshore.platform.entry_role', {})
    assert 'orioleshore.platform.entry_role' in loaded
    assert not loaded & {
        'yaml',
        'cleo',
        'orioleshore.consensus.member',
        'orioleshore.consensus.storage',
        'orioleshore.jobs.scheduler',
        'orioleshore.platform.control_role',
    }


@pytest.mark.parametrize('role', ['entry', 'control'])
def test_role_starts_without_site_packages(role):
    """Guards against a start that loads packages installed on the host."""
    words = read_roles()[role]['run'].split()
    assert words[:4] == ['python3', '-S', '-m', 'orioleshore.platform']
    loaded = list_loaded_modules(
        f'import orioleshore.platform.{role}_role', {}
    )
    assert 'site' not in loaded
    assert 'yaml' not in loaded


@pytest.mark.parametrize('role', ['entry', 'control'])
def test_role_reads_no_certificates(role):
    """Guards against 66 ms and 5 MB spent on unused certificates."""
    env = read_roles()[role]['env']
    code = (
        'import aiohttp.connector as connector\n'
        'context = connector._SSL_CONTEXT_VERIFIED\n'
        'assert context.cert_store_stats()["x509"] == 0\n'
    )
    assert 'aiohttp.connector' in list_loaded_modules(code, env)


def test_member_loads_before_the_entry_process_of_its_host(monkeypatch):
    """Guards against callers that wait for a leader a quarter second longer.

    Both processes share the processor after a loss of power.
    """
    monkeypatch.setattr(precedence, 'MEMBER_WAIT_S', 30.0)
    with socket.create_server(('127.0.0.1', 0)) as server:
        port = server.getsockname()[1]
    waiting = threading.Thread(
        target=precedence.wait_for_member, args=(f'127.0.0.1:{port}',)
    )
    waiting.start()
    waiting.join(0.2)
    assert waiting.is_alive()
    with socket.create_server(('127.0.0.1', port)):
        waiting.join(10.0)
        assert not waiting.is_alive()


def test_entry_process_starts_without_the_member_of_its_host(monkeypatch):
    """Guards against an entry host that stays down with its member."""
    monkeypatch.setattr(precedence, 'MEMBER_WAIT_S', 0.1)
    with socket.create_server(('127.0.0.1', 0)) as server:
        port = server.getsockname()[1]
    precedence.wait_for_member(f'127.0.0.1:{port}')


def test_little_is_loaded_before_the_entry_process_waits():
    """Guards against a wait that comes too late to leave the processor."""
    loaded = list_loaded_modules('import orioleshore.platform.__main__', {})
    assert not loaded & {'aiohttp', 'aiomisc', 'uvloop', 'thrift'}
