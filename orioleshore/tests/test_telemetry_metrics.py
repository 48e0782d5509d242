"""The tables of metrics, and metrics and dumps of running processes."""

import asyncio
import json
import pathlib
import re

import aiohttp
import pytest

from orioleshore.tasks import mailbox
from orioleshore.telemetry import collection
from orioleshore.telemetry import dumps
from orioleshore.telemetry import latencies
from orioleshore.telemetry import metrics
from orioleshore.telemetry import queries
from orioleshore.tests import support

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'metrics.md'
ROW = re.compile(r'^\| `(\w+)` \| (\w+) \| (.*) \| (.*) \|$', re.MULTILINE)
SAMPLE = re.compile(r'^(\w+)(?:\{(.*)\})? (\S+)$', re.MULTILINE)


def test_page_lists_exactly_the_metrics():
    """Guards against an outdated page of metrics."""
    rows = ROW.findall(PAGE.read_text('utf-8'))
    listed = {
        metrics.Metric(
            name,
            metrics.Kind(kind),
            tuple(re.findall(r'`(\w+)`', labels)),
            text,
        )
        for name, kind, labels, text in rows
    }
    assert listed == set(metrics.METRICS)


def test_names_follow_the_conventions():
    """Guards against names that monitoring tools misinterpret."""
    for metric in metrics.METRICS:
        is_total = metric.name.endswith('_total')
        assert is_total is (metric.kind is metrics.Kind.COUNTER)
        assert re.fullmatch(r'orioleshore_[a-z_]+', metric.name)
        assert not re.search(r'_(ms|kb|minutes)(_|$)', metric.name)


def test_unknown_metrics_and_labels_are_refused():
    """Guards against undocumented series."""
    snapshot = metrics.MetricsSnapshot('node-1')
    with pytest.raises(KeyError):
        snapshot.set('surprises', 1)
    with pytest.raises(KeyError):
        snapshot.set('membership_isolated', 1, peer='node-2')


def test_label_values_are_escaped():
    """Guards against a label value that breaks the text format."""
    snapshot = metrics.MetricsSnapshot('node-1')
    snapshot.set('fleet_wave_hosts', 1, wave='a"b\n', state='waiting')
    text = snapshot.render().decode()
    assert 'wave="a\\"b\\n"' in text


def test_task_without_answer_is_left_out(monkeypatch, caplog):
    """Guards against a scrape that waits forever for a stalled task."""
    monkeypatch.setattr(queries, 'ANSWER_TIMEOUT_S', 0.05)

    async def check():
        collector = collection.Collector('node-1')
        dumper = dumps.Dumper('node-1')
        box = mailbox.Mailbox('stuck', 8)
        collector.add_mailbox(box)
        collector.add_task(box, lambda answer: answer, lambda *_: None)
        dumper.add_task('stuck', box, lambda answer: answer)
        text = (await collector.collect()).decode()
        assert 'mailbox_messages{mailbox="stuck",node="node-1"} 0' in text
        assert 'no answer' in (await dumper.get_dump())['stuck']['error']

    support.run(check())
    assert caplog.text.count('event=metrics_incomplete') == 1


async def _get_text(url: str, token: str | None = None) -> str:
    headers = {'Authorization': f'Bearer {token}'} if token else {}
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.get(url) as response:
            return await response.text()


def _get_sample(text: str, name: str, **labels: str) -> float | None:
    for found, pairs, value in SAMPLE.findall(text):
        given = dict(re.findall(r'(\w+)="([^"]*)"', pairs))
        if found == metrics.PREFIX + name and labels.items() <= given.items():
            return float(value)
    return None


def test_processes_serve_metrics_and_dumps(tmp_path, capfd):
    """Guards against output that omits a task or contains secrets."""
    cluster = support.Cluster(tmp_path)

    async def check():
        try:
            await cluster.start(control=1, entry=1)
            await _check_processes()
        finally:
            await cluster.stop()

    async def _check_processes():
        control = cluster.get_url('control-1', 'health')
        entry = cluster.get_url('entry-1', 'health')
        for _ in range(100):
            text = await _get_text(f'{control}/metrics')
            if _get_sample(text, 'consensus_role', role='leader'):
                break
            await asyncio.sleep(0.1)
        assert _get_sample(text, 'consensus_syncs_total') > 0
        assert _get_sample(text, 'consensus_sync_seconds_total') > 0
        assert _get_sample(text, 'fleet_hosts', state='serving') == 0
        assert _get_sample(text, 'membership_peers', state='alive') == 1
        operators = cluster.get_url('control-1', 'operators')
        guarded = await _get_text(f'{operators}/metrics', support.TOKEN)
        assert _get_sample(guarded, 'consensus_term') >= 1
        callers = cluster.get_url('entry-1', 'callers')
        await _get_text(f'{callers}/nowhere')
        text = await _get_text(f'{entry}/metrics')
        assert _get_sample(text, 'routing_held_requests') == 0
        errors = re.findall(r'refused_requests_total{error="(\w+)"', text)
        assert len(errors) == 1
        name = 'refused_requests_total'
        assert _get_sample(text, name, error=errors[0]) == 1
        assert _get_sample(text, 'mailbox_messages', mailbox='routing') == 0
        assert _get_sample(text, 'transport_sent_bytes_total') > 0
        # Detects metrics that are declared but never set.
        assert text.count('# TYPE') == len(metrics.METRICS)
        first = await _get_text(f'{entry}/v1/dump', support.TOKEN)
        second = await _get_text(f'{entry}/v1/dump', support.TOKEN)
        assert list(json.loads(first)) == sorted(json.loads(second))
        expected = {'mailboxes', 'membership', 'routing', 'subscriber'}
        assert expected | {'transport'} <= json.loads(first).keys()
        dump = await _get_text(f'{control}/v1/dump', support.TOKEN)
        assert {'control', 'fleet', 'membership'} <= json.loads(dump).keys()
        assert support.TOKEN not in first + dump
        assert '"error"' not in first + dump
        cluster.processes['entry-1']._start_dump()
        await asyncio.sleep(0.3)

    support.run(check())
    lines = [
        line for line in capfd.readouterr().err.splitlines() if line[:1] == '{'
    ]
    assert json.loads(lines[0])['node'] == 'entry-1'


def test_operations_page_lists_exactly_the_recorded_metrics():
    """Guards against undocumented metrics."""
    page = pathlib.Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'
    rows = page.read_text('utf-8').splitlines()
    listed = {
        row.split('`')[1].removeprefix(metrics.PREFIX)
        for row in rows
        if row.startswith(f'| `{metrics.PREFIX}')
    }
    text = latencies.Recorder('node-1').render().decode()
    recorded = {
        line.split()[2].removeprefix(metrics.PREFIX)
        for line in text.splitlines()
        if line.startswith('# HELP ')
    }
    assert listed == recorded
