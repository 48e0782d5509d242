"""Keys and status of organisations with real processes, over HTTP."""

import json
import signal

from orioleshore.cli import output
from orioleshore.tests import builders
from orioleshore.tests import support
from orioleshore.tests import test_platform_processes as processes

KEY = 'pqk8bdk9eevyxq2yyaza'
OTHER_KEY = 'x6pwawxdmdejk7f92bqu'
ENTRIES = ('entry-0', 'entry-1')


def _build_configuration(version: int, *keys: str) -> dict:
    tenant = builders.build_tenant_body(api_keys=list(keys))
    return processes.CONFIGURATION | {'version': version, 'tenants': [tenant]}


def test_keys_hold_on_every_entry_host_and_appear_nowhere(tmp_path):
    """Guards against entry hosts that serve a revoked key, and leaked keys."""

    async def serve():
        async with processes.run_fleet(tmp_path) as (fleet, _, session):
            fleet.start('entry-1')

            async def send(entry: str, method: str, key: str) -> int:
                url = f'{fleet.get_url(entry)}/red/{processes.JOB_ID}'
                status, _ = await processes.send_request(
                    session,
                    method,
                    url,
                    headers=processes.HOST
                    | {'Authorization': f'Bearer {key}'},
                    json=processes.JOB if method == 'POST' else None,
                )
                return status

            async def is_listening() -> bool:
                return await send('entry-1', 'GET', KEY) != 0

            await processes.put_configuration(
                fleet, session, _build_configuration(3, KEY, OTHER_KEY)
            )
            await processes.wait_until(is_listening, 'entry-1 listens')
            assert await send('entry-0', 'POST', 'unknown') == 401
            for entry in ENTRIES:
                assert await send(entry, 'POST', KEY) == 200
            await _check_status(fleet, session)
            await processes.put_configuration(
                fleet, session, _build_configuration(4, OTHER_KEY)
            )
            for entry in ENTRIES:
                for method in ('POST', 'GET', 'DELETE'):
                    assert await send(entry, method, KEY) == 401
                assert await send(entry, 'GET', OTHER_KEY) == 200
            fleet.kill(processes.find_leader(fleet))

            async def is_served() -> bool:
                return await send('entry-1', 'GET', OTHER_KEY) == 200

            await processes.wait_until(is_served, 'a new leader serves')
            for entry in ENTRIES:
                assert await send(entry, 'GET', KEY) == 401
            leader = processes.find_leader(fleet)
            fleet.signal(leader, signal.SIGUSR1)

            async def is_dumped() -> bool:
                return '"organisations": [{' in fleet.read_log(leader)

            await processes.wait_until(is_dumped, 'the leader dumps its state')
            for name in (*fleet.control_names, *ENTRIES):
                text = fleet.read_log(name)
                assert KEY not in text
                assert OTHER_KEY not in text

    support.run(serve())


async def _check_status(fleet, session) -> None:
    """Check that each control process shows usage, and the leader metrics."""
    for name in fleet.control_names:
        status, body = await processes.send_request(
            session, 'GET', f'{fleet.get_url(name)}/v1/status'
        )
        assert status == 200
        assert output.format_status(json.loads(body)).startswith('north: ')
        assert KEY.encode() not in body
    status, text = await processes.send_request(
        session,
        'GET',
        fleet.get_metrics_url(processes.find_leader(fleet)),
    )
    assert status == 200
    assert b'orioleshore_organisation_limit{' in text
    assert KEY.encode() not in text
