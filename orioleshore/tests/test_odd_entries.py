"""Entries of other writers among good ones: dropped, and the others hold.

Each process that reads a list must survive an entry that is nested deeply or
has numbers, texts or addresses out of range, and must follow the others.
"""

import pytest

from orioleshore.membership import packing
from orioleshore.tests import builders


@pytest.mark.parametrize('depth', [100, 1_100, 5_000, 100_000])
def test_rumour_with_deep_nesting_is_skipped(depth):
    """Guards against one rumour that ends one process after the other.

    Fields may be added at the end, so what follows the known ones is skipped.
    """
    good = builders.build_peer('node-2')
    rumours = (
        builders.build_nested_rumour('node-1', depth),
        packing.pack_peer(good),
    )
    assert packing.unpack_peers(rumours)[-1] == good
