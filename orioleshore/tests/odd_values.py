"""Odd values for fuzzing: other types, sizes, numbers and nesting.

The environment variable ``ORIOLESHORE_FUZZ_EXAMPLES`` sets the number of
examples of each test.
"""

import json
import os
from typing import Any

from hypothesis import HealthCheck
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import msgspec

from orioleshore.tests import builders

EXAMPLES = int(os.environ.get('ORIOLESHORE_FUZZ_EXAMPLES', '150'))
FUZZ = hypothesis_settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
# Stands for a value that no encoder writes, nested so deeply or no UTF-8.
DEEP_MARK = 'deep-mark'
BYTES_MARK = 'bytes-mark'
DEEP_JSON = b'[' * 5_000 + b']' * 5_000
DEEP_MSGPACK = b'\x91' * 5_000 + b'\xc0'
VALUES = [
    None,
    True,
    0,
    -1,
    1.5,
    -0.0,
    1e308,
    2**31,
    2**63 - 1,
    2**64,
    10**400,
    '',
    'abc',
    '²',
    'x' * 5_000,
    '\u0000',
    '\ud800',
    '0.0.0',
    f'{builders.build_job_id()}.abc',
    f'{builders.build_job_id()}.-1.0.0',
    f'{builders.build_job_id()}.0.0.0\n',
    f'{builders.build_job_id()}.0.0.' + '9' * 30,
    '127.0.0.1:70000',
    '127.0.0.1:-1',
    '[::1%..]:80',
    [],
    {},
    [[]],
    [[1, 2, 3, 4, 5]],
    DEEP_MARK,
    BYTES_MARK,
]
# Deep nesting has a larger share, since each reader once failed on it.
_WEIGHTED_VALUES = [*VALUES, *[DEEP_MARK] * 5]
ODD_VALUES = strategies.sampled_from(_WEIGHTED_VALUES)
# MessagePack has no larger numbers and no other texts.
MSGPACK_VALUES = strategies.sampled_from(
    [
        value
        for value in _WEIGHTED_VALUES
        if value not in (2**64, 10**400, '\ud800')
    ]
)


def list_places(value: Any, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values inside a JSON value."""
    places = [path] if path else []
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        places += list_places(item, (*path, key))
    return places


def replace_value(value: Any, path: tuple, replacement: Any) -> Any:
    """Return a copy of a JSON value with the value at a path replaced."""
    if not path:
        return replacement
    copied = value.copy()
    copied[path[0]] = replace_value(value[path[0]], path[1:], replacement)
    return copied


@strategies.composite
def draw_odd(draw, values, odd_values=ODD_VALUES) -> Any:
    """Draw one of some values with one to three odd values in it.

    A place may also be missing, or have a further one beside it.
    """
    value = draw(strategies.sampled_from(values))
    for _ in range(draw(strategies.integers(1, 3))):
        places = list_places(value)
        if not places:
            break
        path = draw(strategies.sampled_from(places))
        odd = draw(odd_values)
        change = draw(strategies.sampled_from(['replace', 'remove', 'add']))
        if change == 'replace':
            value = replace_value(value, path, odd)
            continue
        parent = value
        for key in path[:-1]:
            parent = parent[key]
        parent = parent.copy()
        if change == 'remove':
            del parent[path[-1]]
        elif isinstance(parent, dict):
            parent['further'] = odd
        else:
            parent.append(odd)
        value = replace_value(value, path[:-1], parent)
    return value


def encode_json(value: Any) -> bytes:
    """Return a value as JSON, with the marks replaced."""
    data = json.dumps(value).encode()
    data = data.replace(json.dumps(DEEP_MARK).encode(), DEEP_JSON)
    return data.replace(BYTES_MARK.encode(), b'\xff\xfe')


def encode_msgpack(value: Any) -> bytes:
    """Return a value as MessagePack, with the marks replaced."""
    data = msgspec.msgpack.encode(value)
    mark = msgspec.msgpack.encode(DEEP_MARK)
    data = data.replace(mark, DEEP_MSGPACK)
    return data.replace(BYTES_MARK.encode(), b'\xff' * len(BYTES_MARK))
