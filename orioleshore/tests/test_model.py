"""Deltas between documents, and inconsistencies within one."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec

from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.tests import builders

host_numbers = strategies.sets(strategies.integers(0, 8), max_size=6)


def _build_document(hosts: set[int], cores: int) -> documents.Document:
    return documents.Document(
        pools=(documents.Pool(ids.PoolId('freight')),),
        hosts=tuple(
            builders.build_host(f'freight-{number}', cores=float(cores))
            for number in sorted(hosts)
        ),
    )


@settings(derandomize=True, max_examples=200)
@given(
    host_numbers,
    host_numbers,
    strategies.integers(1, 3),
    strategies.integers(1, 3),
)
def test_applied_delta_gives_the_new_document(before, after, old, new):
    """Guards against deltas that drop, keep or change an item wrongly."""
    first = _build_document(before, old)
    second = _build_document(after, new)
    delta = changes.get_delta(first, second)
    result = changes.apply_delta(first, delta)
    assert {h.name: h for h in result.hosts} == {
        h.name: h for h in second.hosts
    }
    assert changes.get_delta(second, result) == ()


def test_all_inconsistencies_are_reported():
    """Guards against unknown references and duplicates that go unreported."""
    document = msgspec.structs.replace(
        builders.build_document(),
        hosts=(
            builders.build_host(pool='nowhere'),
            builders.build_host(pool='freight'),
        ),
        services=(
            builders.build_service('freight'),
            builders.build_service(
                'quotes', pool=ids.PoolId('freight'), brands=('/freight',)
            ),
        ),
    )
    problems = '\n'.join(documents.find_inconsistencies(document))
    assert "$.hosts[0].pool: no pool is named 'nowhere'" in problems
    assert '$.hosts[1].name' in problems
    assert "'/freight' belongs to service 'freight'" in problems
