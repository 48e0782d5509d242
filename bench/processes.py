"""Benchmark of the memory, CPU and messages of idle processes.

Starts control members and entry hosts as separate processes on loopback,
waits until they are idle, and reads /proc and the dump of each process.
"""

import argparse
import json
import os
import pathlib
import statistics
import tempfile
import time
import urllib.request

from scripts import fleet

CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
SETTLE_S = 6.0


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text('utf-8')
    values = fields.rpartition(')')[2].split()
    return (int(values[11]) + int(values[12])) / CLOCK_TICKS


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1_024
    raise ValueError(f'process {pid} has no VmRSS')


def read_counters(running: fleet.Fleet, name: str) -> dict[str, int]:
    """Return the transport counters of a process."""
    request = urllib.request.Request(
        f'{running.health[name]}/v1/dump',
        headers={'Authorization': f'Bearer {fleet.TOKEN}'},
    )
    with urllib.request.urlopen(request, timeout=5.0) as response:
        return json.load(response)['transport']


def measure(control: int, entry: int, seconds: float) -> list[dict]:
    """Return one row for each role, with medians over its processes."""
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(pathlib.Path(folder))
        running.prepare(control, entry)
        try:
            for name in (*running.operators, *running.callers):
                running.start_node(name)
            time.sleep(SETTLE_S)
            samples = _collect_samples(running, seconds)
        finally:
            running.stop()
    return [
        _summarise_role(role, control, entry, samples)
        for role in ('control', 'entry')
    ]


def _collect_samples(running: fleet.Fleet, seconds: float) -> dict[str, dict]:
    before = {
        name: (read_cpu_s(process.pid), read_counters(running, name))
        for name, process in running.processes.items()
    }
    time.sleep(seconds)
    samples = {}
    for name, process in running.processes.items():
        cpu_s, counters = before[name]
        after = read_counters(running, name)
        samples[name] = {
            'cpu_percent': (read_cpu_s(process.pid) - cpu_s) / seconds * 100,
            'rss_mb': read_rss_mb(process.pid),
            'bytes_s': sum(
                after[key] - counters[key]
                for key in ('received_bytes', 'sent_bytes')
            )
            / seconds,
            'messages_s': sum(
                after[key] - counters[key]
                for key in ('received_messages', 'sent_messages')
            )
            / seconds,
        }
    return samples


def _summarise_role(
    role: str, control: int, entry: int, samples: dict[str, dict]
) -> dict:
    rows = [
        sample for name, sample in samples.items() if name.startswith(role)
    ]
    summary = {'role': role, 'control': control, 'entry': entry}
    for key in rows[0]:
        values = [row[key] for row in rows]
        summary[key] = statistics.median(values)
        summary[f'{key}_max'] = max(values)
    return summary


def main() -> None:
    """Print a table with one row for each role and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument(
        '--sizes',
        default='3x2,3x5,5x8,5x11',
        help='control members x entry hosts, separated by commas',
    )
    arguments = parser.parse_args()
    columns = ('cpu_percent', 'rss_mb', 'bytes_s', 'messages_s')
    print(
        'role     control entry  '
        + '  '.join(f'{column:>12} {"max":>8}' for column in columns)
    )
    for size in arguments.sizes.split(','):
        control, _, entry = size.partition('x')
        for row in measure(int(control), int(entry), arguments.seconds):
            print(
                f'{row["role"]:<8} {row["control"]:>7} {row["entry"]:>5}  '
                + '  '.join(
                    f'{row[column]:>12.2f} {row[f"{column}_max"]:>8.2f}'
                    for column in columns
                ),
                flush=True,
            )


if __name__ == '__main__':
    main()
