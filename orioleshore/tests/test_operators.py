"""The operators' interface: access control and content of its pages."""

import asyncio
import re

import aiohttp
import msgspec

from orioleshore.tests import builders
from orioleshore.tests import support

HEADERS = {'Authorization': f'Bearer {support.TOKEN}'}
MARKUP = '<script>alert(1)</script>'
WRONG_TOKENS = (
    {},
    {'Authorization': 'Bearer wrong'},
    {'Authorization': 'Basic !!!'},
    {'Authorization': 'Basic YWxpY2U6d3Jvbmc='},
)


class OperatorsInterface:
    """One control member, and a client of its operators' interface."""

    def __init__(self, folder) -> None:
        self.cluster = support.Cluster(folder)
        self.client: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        self.client = aiohttp.ClientSession()
        await self.cluster.start(1, 0)
        for _ in range(100):
            status, _ = await self.send_request('GET', '/v1/status')
            if status == 200:
                break
            await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *details) -> None:
        await self.client.close()
        await self.cluster.stop()

    async def send_request(self, method, path, headers=None, **options):
        url = self.cluster.get_url('control-1', 'operators') + path
        async with self.client.request(
            method,
            url,
            headers=HEADERS if headers is None else headers,
            **options,
        ) as response:
            return response.status, await response.text()

    async def submit_document(self, base, number, document):
        content = {
            'base_version': base,
            'operation_id': builders.build_operation_id(
                number, support.get_wall_time()
            ),
            'document': msgspec.to_builtins(document),
        }
        return await self.send_request('POST', '/v1/document', json=content)


def test_unknown_tokens_are_refused(tmp_path):
    """Guards against pages and calls that need no operator's token."""

    async def check_responses():
        async with OperatorsInterface(tmp_path) as interface:
            for headers in WRONG_TOKENS:
                for path in ('/', '/v1/document', '/v1/dump', '/edit/jobs'):
                    status, _ = await interface.send_request(
                        'GET', path, headers
                    )
                    assert status == 401, (path, headers)

    support.run(check_responses())


def test_pages_escape_operator_input(tmp_path):
    """Guards against scripts in a document that run in a browser."""

    async def check_responses():
        document = builders.build_document(
            services=(builders.build_service(brands=(MARKUP,)),)
        )
        async with OperatorsInterface(tmp_path) as interface:
            status, _ = await interface.submit_document(0, 1, document)
            assert status == 200
            _, page = await interface.send_request(
                'GET', '/edit/services?name=freight'
            )
            assert 'alert(1)' in page
            assert MARKUP not in page
            _, page = await interface.send_request(
                'GET', f'/edit/services?name={MARKUP}'
            )
            assert MARKUP not in page

    support.run(check_responses())


def test_form_based_on_an_old_version_is_refused(tmp_path):
    """Guards against a form that overwrites a later change."""

    async def check_responses():
        async with OperatorsInterface(tmp_path) as interface:
            await interface.submit_document(0, 1, builders.build_document())
            _, page = await interface.send_request('GET', '/edit/pools')
            form = dict(re.findall(r'name="(\w+)" value="([^"]*)"', page))
            form |= {'item.name': 'calendar', 'action': 'set'}
            document = builders.build_document(hosts=3)
            status, _ = await interface.submit_document(1, 2, document)
            assert status == 200
            status, page = await interface.send_request(
                'POST', '/edit/pools', data=form
            )
            assert status == 409
            assert 'version_conflict' in page

    support.run(check_responses())


def test_changes_record_their_operator(tmp_path):
    """Guards against changes that cannot be traced to an operator."""

    async def check_responses():
        async with OperatorsInterface(tmp_path) as interface:
            await interface.submit_document(0, 1, builders.build_document())
            _, text = await interface.send_request('GET', '/v1/state')
            state = msgspec.json.decode(text)
            assert [d['operator'] for d in state['deltas']] == ['alice']

    support.run(check_responses())


def test_dump_contains_no_token(tmp_path):
    """Guards against secrets in dumps that operators share."""

    async def check_responses():
        async with OperatorsInterface(tmp_path) as interface:
            _, text = await interface.send_request('GET', '/v1/dump')
            assert support.TOKEN not in text
            assert list(msgspec.json.decode(text)) == sorted(
                msgspec.json.decode(text)
            )

    support.run(check_responses())
