"""Commands that check and compare files before they are sent."""

import http.server
import json
import random
import threading

import aiohttp
from cleo.testers.application_tester import ApplicationTester
import pytest
from result import Ok
import yaml

from orioleshore.cli import application
from orioleshore.cli import files
from orioleshore.frontends import submission
from orioleshore.model import decoding
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.platform import checking
from orioleshore.platform import configuration_body
from orioleshore.platform import control_server
from orioleshore.state import machine
from orioleshore.state import records
from orioleshore.tests import builders
from orioleshore.tests import finding_builders as build
from orioleshore.tests import odd_values
from orioleshore.tests import support

PLATFORM = '--format platform'


@pytest.fixture
def tester():
    return ApplicationTester(application.create_application())


def test_report_matches_the_golden_file(tester, tmp_path):
    """Guards against findings without place, reason or remedy."""
    path = build.write_faulty_body(tmp_path / 'faulty.json')
    assert tester.execute(f'validate {PLATFORM} {path}') == errors.EXIT_INVALID
    text = tester.io.fetch_error()
    path = build.write_doubtful_body(tmp_path / 'doubtful.json')
    assert tester.execute(f'validate {PLATFORM} {path}') == 0
    text += tester.io.fetch_output()
    older = build.write_body(tmp_path / 'older.json', version=9)
    assert tester.execute(f'diff {PLATFORM} {path} --against {older}') == 0
    text += tester.io.fetch_output()
    assert build.SECRET_KEY not in text
    support.compare_golden('validate-platform.txt', text)


@pytest.mark.parametrize(
    ('options', 'exit_code'), [('', 0), ('--strict', errors.EXIT_REFUSED)]
)
def test_warnings_fail_only_a_strict_check(
    tester, tmp_path, options, exit_code
):
    """Guards against pipelines that stop for, or never see, warnings."""
    path = build.write_doubtful_body(tmp_path / 'doubtful.json')
    command = f'validate {PLATFORM} {path} {options} --json'
    assert tester.execute(command) == exit_code
    report = json.loads(tester.io.fetch_output())
    assert report['valid']
    assert {item['severity'] for item in report['findings']} == {'warning'}


def test_errors_as_json_exit_with_2(tester, tmp_path):
    """Guards against a report of errors that looks like a success."""
    path = build.write_faulty_body(tmp_path / 'faulty.json')
    command = f'validate {PLATFORM} {path} --json'
    assert tester.execute(command) == errors.EXIT_INVALID
    report = json.loads(tester.io.fetch_output())
    assert not report['valid']
    assert report['findings'][0]['place'] == '$.routes[0].service'


def test_unknown_form_exits_with_2(tester, tmp_path):
    """Guards against a file that is checked in a form that was not meant."""
    path = build.write_body(tmp_path / 'body.json')
    command = f'validate --format yaml {path}'
    assert tester.execute(command) == errors.EXIT_INVALID


def test_documents_are_compared_entry_by_entry(tester, tmp_path):
    """Guards against a change of a field that is not shown."""
    paths = []
    for hosts in (2, 3):
        paths.append(tmp_path / f'{hosts}.yaml')
        build.write_document(paths[-1], build.build_document(hosts))
    command = f'diff {paths[1]} --against {paths[0]} --json'
    assert tester.execute(command) == 0
    found = json.loads(tester.io.fetch_output())
    assert found['edits'] == ['set hosts/freight-2']
    assert [item['entry'] for item in found['differences']] == [
        'hosts/freight-2'
    ]


@pytest.fixture
def serve_json():
    """Return a function that serves one answer and returns the URL."""
    servers = []

    def serve(status, content):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                assert self.path == '/config'
                self.send_response(status)
                self.end_headers()
                self.wfile.write(json.dumps(content).encode())

            def log_message(self, *_):
                pass

        server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
        servers.append(server)
        threading.Thread(target=server.serve_forever).start()
        return f'http://127.0.0.1:{server.server_port}'

    yield serve
    for server in servers:
        server.shutdown()
        server.server_close()


def test_configuration_is_compared_with_the_one_in_force(
    tester, tmp_path, serve_json
):
    """Guards against a comparison that needs a token of another interface."""
    path = build.write_body(tmp_path / 'new.json', version=8)
    url = serve_json(200, builders.build_configuration_body(version=7))
    command = f'diff {PLATFORM} {path} --url {url}'
    assert tester.execute(command) == 0
    text = tester.io.fetch_output()
    assert text == 'version 7 is in force\nchanged version\n  7 -> 8\n'


def test_system_without_a_configuration_is_reported(
    tester, tmp_path, serve_json
):
    """Guards against a traceback for an answer without message."""
    path = build.write_body(tmp_path / 'new.json')
    url = serve_json(503, {'error': 'not_ready', 'reason': 'none yet'})
    command = f'diff {PLATFORM} {path} --url {url}'
    assert tester.execute(command) == errors.EXIT_UNREACHABLE
    assert 'not_ready' in tester.io.fetch_error()


def mutate(rng, value):
    """Return plain data with one member replaced, removed or doubled."""
    if isinstance(value, list) and value and rng.random() < 0.8:
        position = rng.randrange(len(value))
        if rng.random() < 0.2:
            return [*value, value[position]]
        changed = list(value)
        changed[position] = mutate(rng, value[position])
        return changed
    if isinstance(value, dict) and value and rng.random() < 0.9:
        name = rng.choice(sorted(value))
        rest = {key: item for key, item in value.items() if key != name}
        if rng.random() < 0.2:
            return rest
        return {**rest, name: mutate(rng, value[name])}
    return rng.choice(['', 'red', 'b', 0, -1, 1, 2**63, 0.5, None, [], {}])


def is_accepted(body):
    """Return whether the platform's operator gets no refusal."""
    try:
        configuration_body.decode_configuration(body)
    except decoding.DecodingError:
        return False
    return True


def test_errors_agree_with_the_receiver_of_configurations():
    """Guards against a check that passes what is refused, or the reverse."""
    rng = random.Random(support.SEED)
    counts = {True: 0, False: 0}
    for _ in range(1_000):
        content = build.build_doubtful_body()
        for _ in range(rng.randint(0, 3)):
            content = mutate(rng, content)
        body = json.dumps(content).encode()
        body = body[: len(body) - (rng.random() < 0.05)]
        accepted = is_accepted(body)
        report = files.check(files.PlatformFile(body))
        assert report.is_valid == accepted, body
        counts[accepted] += 1
    assert min(counts.values()) > 100


def test_size_limit_agrees_with_the_control_server():
    """Guards against a file that is valid, but too large to be sent."""

    class Forwarder:
        async def forward(self, call, timeout_s):
            return Ok(None)

    async def put(session, url, body):
        async with session.put(f'{url}/config', data=body) as response:
            return response.status

    async def check():
        server = control_server.ControlServer('127.0.0.1:0', Forwarder())
        await server.start()
        async with aiohttp.ClientSession() as session:
            for excess, status in ((0, 200), (1, 413)):
                size = checking.MAX_BODY_BYTES + excess
                body = json.dumps(build.build_doubtful_body()).encode()
                body = body.ljust(size)
                url = f'http://{server.address}'
                assert await put(session, url, body) == status
                report = files.check(files.PlatformFile(body))
                assert report.is_valid == (status == 200)
        await server.stop()

    support.run(check())


def test_odd_bodies_agree_with_the_receiver_of_configurations():
    """Guards against a check that ends with an error of a library."""
    for value in odd_values.VALUES:
        body = odd_values.encode_json(build.build_doubtful_body(limits=value))
        report = files.check(files.PlatformFile(body))
        assert report.is_valid == is_accepted(body)


def test_errors_agree_with_the_receiver_of_documents():
    """Guards against a check that passes what is refused, or the reverse."""
    rng = random.Random(support.SEED)
    counts = {True: 0, False: 0}
    for _ in range(300):
        content = build.build_plain_document()
        for _ in range(rng.randint(0, 2)):
            content = mutate(rng, content)
        text = yaml.safe_dump(content)
        request = {
            'base_version': 0,
            'operation_id': builders.build_operation_id(),
            'document': yaml.safe_load(text),
        }
        checked = submission.check_request(request)
        accepted = checked.is_ok()
        if accepted:
            command = submission.make_command(
                checked.unwrap(), documents.Document(), 'alice', builders.NOW
            )
            accepted = machine.apply_command(
                command, records.State(time=builders.NOW)
            ).is_ok()
        report = files.check(files.DocumentFile(text.encode()))
        assert report.is_valid == accepted, text
        counts[accepted] += 1
    assert min(counts.values()) > 30
