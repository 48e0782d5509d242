"""Benchmark of encoding and decoding messages of the inner protocol."""

import argparse
from collections.abc import Callable
import statistics
import time
from typing import Any

from orioleshore.membership import packing
from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import codec
from orioleshore.protocol import messages

HEADER = messages.Header(
    ids.NodeId('entry-001'),
    ids.Incarnation(1_796_000_000_000),
    7,
    '10.0.0.1:7000',
)
REPEATS = 7


def make_samples() -> dict[str, Any]:
    """Return sample messages by a label with their type and size."""
    samples: dict[str, Any] = {
        'Vote': messages.Vote(5, 1_000, 5, 'a' * 32),
        'AppendReply': messages.AppendReply(5, True, 1_000, 9, 'a' * 32),
        'VersionReport': messages.VersionReport(7),
        'SlotRequest': messages.SlotRequest('10.0.0.9:8080', 4, 2),
        'SlotGrant': messages.SlotGrant('10.0.0.9:8080', 4, 2_000, 11),
        'Announce': messages.Announce(b'x' * 200),
    }
    for count in (1, 5, 12):
        rumours = (_make_rumour(),) * count
        samples[f'Probe of {count} rumours'] = messages.Probe(9, rumours)
    for size in (100, 4_096, 65_536):
        samples[f'Propose of {size} bytes'] = messages.Propose(b'x' * size)
        samples[f'ConfigDelta of {size} bytes'] = messages.ConfigDelta(
            1, 2, b'x' * size, False
        )
    samples['SnapshotChunk of 262144 bytes'] = messages.SnapshotChunk(
        5, 1_000, 5, 0, b'x' * 262_144, False
    )
    for count in (0, 1, 64):
        entries = (messages.Entry(1_000, 5, 1, b'x' * 500),) * count
        samples[f'Append of {count} entries'] = _make_append(entries)
    return samples


def _make_rumour() -> messages.Rumour:
    return packing.pack_peer(
        announcements.Peer(
            ids.NodeId('entry-001'),
            '10.0.0.1:7000',
            ids.Incarnation(1_796_000_000_000),
            ids.AvailabilityZone('az1'),
            (states.Role.ENTRY,),
        )
    )


def _make_append(entries: tuple[messages.Entry, ...]) -> messages.Append:
    return messages.Append(5, 999, 5, entries, 1_000, 9)


def measure_us(function: Callable[[], Any], count: int) -> list[float]:
    """Return the mean microseconds per call for each repeat."""
    times = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        for _ in range(count):
            function()
        times.append((time.perf_counter() - began) / count * 1e6)
    return times


def main() -> None:
    """Print a table with the median and range of the times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=2_000)
    arguments = parser.parse_args()
    print('| message | frame bytes | encode µs | decode µs |')
    print('|---|---|---|---|')
    for label, message in make_samples().items():
        data = codec.encode(HEADER, message)
        assert codec.decode(data).unwrap().message == message
        encode = measure_us(
            lambda message=message: codec.encode(HEADER, message),
            arguments.count,
        )
        decode = measure_us(
            lambda data=data: codec.decode(data), arguments.count
        )
        print(
            f'| {label} | {len(data)} | {_format_times(encode)} '
            f'| {_format_times(decode)} |',
            flush=True,
        )


def _format_times(times: list[float]) -> str:
    return (
        f'{statistics.median(times):.1f} '
        f'({min(times):.1f} to {max(times):.1f})'
    )


if __name__ == '__main__':
    main()
