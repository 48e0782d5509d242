"""Benchmark of routing: lookup, latency, claims, memory, slot sharing.

Run with ``python -m bench.routing``; it stops all processes it started.
"""

import argparse
import asyncio
import os
import pathlib
import random
import statistics
import tempfile
import time
import uuid

import aiohttp

from bench import slot_policies
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.routing import table
from scripts import demo
from scripts import fleet

SEED = 20_261_204
ROUNDS = 7
LOOKUPS = 20_000
SCAN_LOOKUPS_BY_SIZE = {10: 2_000, 100: 500, 1_000: 50, 20_000: 4}
# Target size: one service for each of 175 pools.
SERVICES = 175
SIZES = (10, 100, 1_000, 20_000, 200_000)
CONCURRENCY = (1, 64, 512)
REQUESTS = 4_000
UPSTREAM_SLOTS = 1_024
CONNECTIONS = 1_000
QUEUED = 500


def print_line(text: str) -> None:
    """Print one line without buffering."""
    print(text, flush=True)


def format_range(values: list[float], scale: float = 1.0) -> str:
    """Return the median and the range of the values."""
    scaled = sorted(value * scale for value in values)
    middle = statistics.median(scaled)
    return f'{middle:.3f} ({scaled[0]:.3f} to {scaled[-1]:.3f})'


# Lookup.


def build_services(entries: int) -> tuple[documents.Service, ...]:
    """Return services with brands that are host names and path prefixes."""
    brands = entries // 2
    count = min(brands, SERVICES)
    return tuple(
        documents.Service(
            name=ids.ServiceId(f's{number}'),
            pool=ids.PoolId('p'),
            brands=tuple(
                name
                for brand in range(number, brands, count)
                for name in (f'brand-{brand}.example', f'/brand-{brand}')
            ),
            budget=documents.Budget(total=0.3),
        )
        for number in range(count)
    )


def find_by_scan(
    services: tuple[documents.Service, ...], host: str
) -> documents.Service | None:
    """Find a service by a linear scan over all brands."""
    for service in services:
        for brand in service.brands:
            if brand == host:
                return service
    return None


def time_lookups(find, keys: list) -> float:
    """Return the mean seconds of one lookup."""
    began = time.perf_counter()
    for key in keys:
        find(key)
    return (time.perf_counter() - began) / len(keys)


def measure_lookup() -> None:
    """Compare the hash table with a scan; each round measures every size."""
    source = random.Random(SEED)
    tables, hosts, paths, scans = {}, {}, {}, {}
    for size in SIZES:
        services = build_services(size)
        tables[size] = (table.RouteTable(services), services)
        picks = [source.randrange(size // 2) for _ in range(LOOKUPS)]
        hosts[size] = [f'brand-{pick}.example' for pick in picks]
        paths[size] = [f'/brand-{pick}/a/b' for pick in picks]
    by_host = {size: [] for size in SIZES}
    by_path = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size in SIZES:
            routes, services = tables[size]
            by_host[size].append(
                time_lookups(
                    lambda key, r=routes: r.find_service(key, '/'), hosts[size]
                )
            )
            by_path[size].append(
                time_lookups(
                    lambda key, r=routes: r.find_service('a', key), paths[size]
                )
            )
            count = SCAN_LOOKUPS_BY_SIZE.get(size)
            if count:
                scans.setdefault(size, []).append(
                    time_lookups(
                        lambda key, s=services: find_by_scan(s, key),
                        hosts[size][:count],
                    )
                )
    for size in SIZES:
        found = format_range(scans[size], 1e6) if size in scans else 'not run'
        print_line(
            f'lookup entries={size} '
            f'host_us={format_range(by_host[size], 1e6)} '
            f'path_us={format_range(by_path[size], 1e6)} scan_us={found}'
        )
    for name, times in (('host', by_host), ('path', by_path)):
        ratio = statistics.median(times[200_000]) / statistics.median(
            times[100]
        )
        print_line(
            f'lookup {name} 200000 against 100: {ratio:.2f} (limit 1.50)'
        )


def measure_policies() -> None:
    """Compare three policies of sharing slots."""
    for load in ('one host', 'even', 'moving'):
        for policy in slot_policies.POLICIES:
            runs = [
                slot_policies.measure(policy, load, seed) for seed in range(3)
            ]
            parts = [
                f'{name.replace(" ", "_")}='
                + format_range([run[name] for run in runs]).replace(' ', '_')
                for name in runs[0]
            ]
            print_line(
                f'slots load="{load}" policy="{policy}" {" ".join(parts)}'
            )


# Real processes.


def get_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    ticks = sum(int(value) for value in fields.split()[11:13])
    return ticks / os.sysconf('SC_CLK_TCK')


def get_memory_kb(pid: int) -> int:
    """Return the resident memory of a process in kB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    raise ValueError(f'process {pid} has no resident memory')


async def send_requests(
    session: aiohttp.ClientSession,
    url: str,
    concurrency: int,
    count: int,
    once: bool = False,
) -> list[float]:
    """Send requests from concurrent callers; return latencies in seconds.

    With ``once`` each request is a POST with an idempotency key.
    """
    times: list[float] = []

    async def call_repeatedly(repeats: int) -> None:
        for _ in range(repeats):
            headers = {}
            if once:
                token = uuid.uuid4().hex
                headers['Idempotency-Key'] = f'{int(time.time())}-{token}'
            began = time.perf_counter()
            async with session.request(
                'POST' if once else 'GET', url, headers=headers
            ) as response:
                await response.read()
                if response.status != 200:
                    raise RuntimeError(f'status {response.status}: {url}')
            times.append(time.perf_counter() - began)

    repeats = max(1, count // concurrency)
    await asyncio.gather(
        *(call_repeatedly(repeats) for _ in range(concurrency))
    )
    return times


def format_times(times: list[float]) -> str:
    """Return the median and the 99th percentile in milliseconds."""
    parts = statistics.quantiles(times, n=100)
    return f'p50_ms={parts[49] * 1e3:.2f} p99_ms={parts[98] * 1e3:.2f}'


async def measure_latency(running, session, direct: str) -> None:
    """Compare requests through an entry host with direct ones."""
    entry = f'{running.callers["entry-1"]}/freight/quote'
    pid = running.processes['entry-1'].pid
    for concurrency in CONCURRENCY:
        count = max(500, REQUESTS if concurrency > 1 else 500)
        for turn in range(3):
            direct_times = await send_requests(
                session, direct, concurrency, count
            )
            cpu_s = get_cpu_s(pid)
            began = time.perf_counter()
            through = await send_requests(session, entry, concurrency, count)
            wall_s = time.perf_counter() - began
            cpu_s = get_cpu_s(pid) - cpu_s
            print_line(
                f'latency callers={concurrency} turn={turn} '
                f'direct: {format_times(direct_times)} '
                f'entry: {format_times(through)} '
                f'entry_per_s={len(through) / wall_s:.0f} '
                f'entry_per_core_s={len(through) / max(cpu_s, 0.01):.0f}'
            )


async def measure_claims(running, session) -> None:
    """Compare requests with and without a claim."""
    entry = f'{running.callers["entry-1"]}/freight/quote'
    for concurrency in (1, 16, 64, 256):
        count = 200 if concurrency == 1 else 1_500
        for turn in range(2):
            plain = await send_requests(session, entry, concurrency, count)
            began = time.perf_counter()
            claimed = await send_requests(
                session, entry, concurrency, count, True
            )
            rate = len(claimed) / (time.perf_counter() - began)
            print_line(
                f'claims callers={concurrency} turn={turn} '
                f'without: {format_times(plain)} '
                f'with: {format_times(claimed)} claims_per_s={rate:.0f}'
            )


async def measure_memory(running, session) -> None:
    """Measure the memory of idle connections and of queued requests."""
    pid = running.processes['entry-2'].pid
    host, port = running.callers['entry-2'].removeprefix('http://').split(':')
    before = get_memory_kb(pid)
    writers = []
    for _ in range(CONNECTIONS):
        _, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
    await asyncio.sleep(0.5)
    idle = get_memory_kb(pid)
    print_line(f'memory connection_kb={(idle - before) / CONNECTIONS:.1f}')
    # No upstream serves this service, so its requests stay queued.
    head = b'GET /calendar/q HTTP/1.1\r\nHost: a\r\n\r\n'
    for writer in writers[:QUEUED]:
        writer.write(head)
    await asyncio.sleep(1.0)
    queued = get_memory_kb(pid)
    print_line(f'memory queued_request_kb={(queued - idle) / QUEUED:.1f}')
    for writer in writers:
        writer.close()


async def measure_processes(running: fleet.Fleet) -> None:
    """Measure requests through a running fleet."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=30.0)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        steps = demo.Demo(running, session)
        await steps.apply_document()
        (address,) = fleet.reserve_addresses(1)
        arguments = ['--service', 'freight', '--address', address]
        arguments += ['--slots', str(UPSTREAM_SLOTS)]
        for url in running.upstreams.values():
            arguments += ['--announce', url]
        running._start_process('upstream', '-m', 'fakes.upstream', *arguments)
        await demo.wait_until('an upstream', steps._is_served)
        direct = f'http://{address}/freight/quote'
        await measure_latency(running, session, direct)
        await measure_claims(running, session)
        await measure_memory(running, session)


def main() -> None:
    """Run the selected measurements, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('parts', nargs='*')
    parts = parser.parse_args().parts or ['lookup', 'slots', 'processes']
    if 'lookup' in parts:
        measure_lookup()
    if 'slots' in parts:
        measure_policies()
    if 'processes' not in parts:
        return
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(pathlib.Path(folder))
        running.prepare(control=3, entry=2)
        try:
            running.start_platform()
            for name in (*running.operators, *running.callers):
                running.start_node(name)
            asyncio.run(measure_processes(running))
        finally:
            running.stop()


if __name__ == '__main__':
    main()
