"""Explanations of complete waves over the example documents."""

import pathlib

import msgspec
import pytest
import yaml

from fakes import fleet as fakes_fleet
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def read_example(name: str) -> documents.Document:
    """Return an example document with a wave over all of its pools."""
    path = EXAMPLES / f'document-{name}.yaml'
    content = yaml.safe_load(path.read_text('utf-8'))
    document = msgspec.convert(content, documents.Document)
    wave = documents.Wave(
        ids.WaveId('kernel'), tuple(pool.name for pool in document.pools)
    )
    return msgspec.structs.replace(document, waves=(wave,))


def format_explanations(fleet: fakes_fleet.SimulatedFleet) -> str:
    """Return one line for each explanation."""
    lines = []
    for time, record in fleet.decisions:
        facts = ' '.join(f'{k}={v}' for k, v in record.facts.items())
        lines.append(
            f'{time - builders.NOW:7.1f} {record.subject_kind} '
            f'{record.subject}: {record.decision} ({facts}); {record.rule}'
        )
    return '\n'.join(lines) + '\n'


@pytest.mark.parametrize('rack', (None, 'az1-r1'), ids=('calm', 'rack'))
@pytest.mark.parametrize('name', ('association', 'sakdina'))
def test_a_whole_wave_is_explained(name, rack):
    """Guards against changes of decisions or their explanations."""
    state = builders.build_state(read_example(name))
    fleet = fakes_fleet.SimulatedFleet(
        state, builders.NOW, support.SEED, check=fakes_fleet.RuleCheck()
    )
    fleet.start()
    fleet.run(100.0)
    for host in state.document.hosts:
        if host.rack == rack:
            fleet.fail_host(host.name)
            fleet.schedule(
                900.0, lambda host=host.name: fleet.repair_host(host)
            )
    assert fleet.run_until(lambda: fleet.is_finished('kernel'), 20_000.0)
    support.compare_golden(
        f'wave_{name}_{rack or "calm"}.txt', format_explanations(fleet)
    )
