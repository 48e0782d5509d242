"""Benchmark of the memory of a leader and an entry host by fleet size.

Applies a document with the given number of hosts through the operators'
interface of a real process and reads /proc.
"""

import argparse
import json
import pathlib
import tempfile
import time
import urllib.request

from bench import processes
from scripts import demo
from scripts import fleet

APPLY_TIMEOUT_S = 60.0
SETTLE_S = 5.0
POOLS = 175
ZONES = 17
RACK_SIZE = 40


def build_document(hosts: int, pools: int) -> dict:
    """Return a document whose hosts are spread over pools and zones."""
    names = [f'pool-{number}' for number in range(pools)]
    return {
        'pools': [{'name': name} for name in names],
        'services': [
            {
                'name': f'service-{name}',
                'pool': name,
                'brands': [f'/{name}'],
                'budget': {'total': 0.1, 'rack': 0.5},
            }
            for name in names
        ],
        'hosts': [
            {
                'name': f'host-{number}',
                'pool': names[number % pools],
                'rack': f'rack-{number // RACK_SIZE}',
                'availability_zone': f'az-{number % ZONES}',
            }
            for number in range(hosts)
        ],
    }


def apply_document(running: fleet.Fleet, document: dict) -> float:
    """Apply a document and return the response time in seconds."""
    body = json.dumps(
        {
            'base_version': 0,
            'operation_id': demo.generate_key(),
            'document': document,
        }
    ).encode()
    request = urllib.request.Request(
        f'{running.operators["control-1"]}/v1/document',
        data=body,
        headers={'Authorization': f'Bearer {fleet.TOKEN}'},
    )
    began = time.monotonic()
    with urllib.request.urlopen(request, timeout=APPLY_TIMEOUT_S) as answer:
        answer.read()
    return time.monotonic() - began


def measure(hosts: int, pools: int, seconds: float) -> dict[str, float]:
    """Return memory in MB and CPU use in percent of the idle processes."""
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(pathlib.Path(folder))
        running.prepare(control=1, entry=1)
        try:
            for name in ('control-1', 'entry-1'):
                running.start_node(name)
            time.sleep(SETTLE_S)
            apply_s = apply_document(running, build_document(hosts, pools))
            time.sleep(SETTLE_S)
            row = {'apply_s': apply_s}
            for name, process in running.processes.items():
                row[f'{name} rss_mb'] = processes.read_rss_mb(process.pid)
            began = {
                name: processes.read_cpu_s(process.pid)
                for name, process in running.processes.items()
            }
            time.sleep(seconds)
            for name, process in running.processes.items():
                used = processes.read_cpu_s(process.pid) - began[name]
                row[f'{name} cpu_percent'] = used / seconds * 100
        finally:
            running.stop()
    return row


def main() -> None:
    """Print one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='1000,5000,10000,19000')
    parser.add_argument('--pools', type=int, default=POOLS)
    parser.add_argument('--seconds', type=float, default=5.0)
    arguments = parser.parse_args()
    for size in arguments.sizes.split(','):
        row = measure(int(size), arguments.pools, arguments.seconds)
        figures = ', '.join(f'{key} {row[key]:.2f}' for key in row)
        print(f'{size} hosts: {figures}', flush=True)


if __name__ == '__main__':
    main()
