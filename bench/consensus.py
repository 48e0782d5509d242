"""Benchmark of the replicated log and its state.

Run with ``python -m bench.consensus``.
"""

import argparse
import asyncio
import gc
import pathlib
import random
import statistics
import tempfile
import time
import tracemalloc

import msgspec

from bench import group
from orioleshore.consensus import member
from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.state import operations
from orioleshore.state import records
from orioleshore.state import subscriber
from orioleshore.tasks import mailbox
from orioleshore.timers import clock
from orioleshore.timers import service

POOLS = 175
HOST_COUNTS = (1_000, 5_000, 10_000, 19_000)
SUBSCRIBERS = 9


def print_row(name: str, values: list[float], unit: str) -> None:
    """Print the median, minimum, maximum and count of the values."""
    print(
        f'{name:<52} {statistics.median(values):>10.2f} {min(values):>10.2f}'
        f' {max(values):>10.2f} {len(values):>6} {unit}',
        flush=True,
    )


def make_claim(randomness: random.Random, number: int) -> commands.Command:
    """Return a claim command as an entry host sends it."""
    now = ids.WallTime(time.time())
    token = f'{randomness.getrandbits(64):016x}'
    return commands.ClaimRequest(
        time=now,
        key=ids.IdempotencyKey(f'{int(now)}-{token}'),
        issued=now,
        digest=randomness.randbytes(32),
        request=ids.RequestId(f'request-{number}'),
        entry_host=ids.NodeId('entry-1'),
        incarnation=ids.Incarnation(1),
    )


def make_change(
    randomness: random.Random, version: int, document: documents.Document
) -> commands.ChangeDocument:
    """Return a command that adds the document's items at a version."""
    now = ids.WallTime(time.time())
    token = f'{randomness.getrandbits(64):016x}'
    return commands.ChangeDocument(
        time=now,
        operation_id=operations.generate_operation_id(now, token),
        operator='bench',
        base_version=ids.Version(version),
        edits=changes.get_delta(documents.Document(), document),
    )


def make_document(hosts: int, pools: int = POOLS) -> documents.Document:
    """Return a document with hosts spread over pools, racks and zones."""
    names = [f'pool-{number}' for number in range(pools)]
    return documents.Document(
        pools=tuple(documents.Pool(ids.PoolId(name)) for name in names),
        services=tuple(
            documents.Service(
                name=ids.ServiceId(name),
                pool=ids.PoolId(name),
                brands=(f'{name}.example', f'/{name}'),
                budget=documents.Budget(total=0.2),
            )
            for name in names
        ),
        hosts=tuple(
            documents.Host(
                name=ids.HostId(f'host-{number}'),
                pool=ids.PoolId(names[number % pools]),
                rack=ids.RackId(f'az{number % 17}-r{number // 68}'),
                availability_zone=ids.AvailabilityZone(f'az{number % 17}'),
            )
            for number in range(hosts)
        ),
    )


async def run_calls(
    running: group.Group, randomness, count: int, in_flight: int
) -> tuple[float, list[float]]:
    """Return commands per second and each latency in milliseconds."""
    numbers = iter(range(count))
    latencies: list[float] = []

    async def send_claims() -> None:
        for number in numbers:
            latency = await running.call(make_claim(randomness, number))
            latencies.append(latency * 1_000)

    start = time.monotonic()
    await asyncio.gather(*(send_claims() for _ in range(in_flight)))
    return count / (time.monotonic() - start), latencies


async def measure_rate(folder: pathlib.Path, seed: int, repeats: int) -> None:
    """Measure commands per second, with and without batched syncs."""
    for limit, label in (
        (member.MAX_BATCH_MESSAGES, 'grouped'),
        (1, 'one by one'),
    ):
        for in_flight in (1, 64):
            rates, latencies = [], []
            for repeat in range(repeats):
                path = folder / f'rate-{limit}-{in_flight}-{repeat}'
                running = group.Group(path, seed + repeat)
                usual, member.MAX_BATCH_MESSAGES = (
                    member.MAX_BATCH_MESSAGES,
                    limit,
                )
                try:
                    await running.start()
                    count = 300 if in_flight == 1 else 3_000
                    rate, found = await run_calls(
                        running, random.Random(seed), count, in_flight
                    )
                finally:
                    member.MAX_BATCH_MESSAGES = usual
                    await running.stop()
                rates.append(rate)
                latencies += found
            name = f'commands, {in_flight} in flight, {label}'
            print_row(name, rates, '/s')
            print_row(f'  latency of {name}', latencies, 'ms')
            high = statistics.quantiles(latencies, n=100)[98]
            print_row('  99th percentile', [high], 'ms')


async def measure_election(
    folder: pathlib.Path, seed: int, repeats: int
) -> None:
    """Measure the time until a new leader and until its first answer."""
    running = group.Group(folder / 'election', seed)
    randomness = random.Random(seed)
    await running.start()
    elected, answered = [], []
    for repeat in range(repeats):
        await running.call(make_claim(randomness, repeat))
        stopped = running.leader
        start = time.monotonic()
        await running.stop_node(stopped)
        await running.wait_for(lambda: running.leader is not None)
        elected.append(time.monotonic() - start)
        await running.call(make_claim(randomness, repeat))
        answered.append(time.monotonic() - start)
        await running.start_node(stopped)
        await running.wait_for(lambda s=stopped: has_caught_up(running, s))
    await running.stop()
    print_row('new leader after the leader stops', elected, 's')
    print_row('first answer after the leader stops', answered, 's')


def has_caught_up(running: group.Group, node: group.ControlNode) -> bool:
    """Return whether a member has applied all committed entries."""
    leader = running.leader
    if leader is None:
        return False
    commit_index = leader.status['commit_index']
    return node.status['applied_index'] >= commit_index


async def measure_catch_up(
    folder: pathlib.Path, seed: int, count: int, repeats: int
) -> None:
    """Measure the time in which a member catches up missed commands."""
    times = []
    randomness = random.Random(seed)
    for repeat in range(repeats):
        running = group.Group(folder / f'away-{count}-{repeat}', seed)
        await running.start()
        node = next(s for s in running.nodes if not s.is_leader)
        await running.stop_node(node)
        await run_calls(running, randomness, count, 128)
        start = time.monotonic()
        await running.start_node(node)
        await running.wait_for(lambda r=running, s=node: has_caught_up(r, s))
        times.append(time.monotonic() - start)
        await running.stop()
    print_row(f'catch up after {count} commands', times, 's')


def measure_state(repeats: int) -> None:
    """Measure memory, snapshot size and times of the state."""
    for hosts in HOST_COUNTS:
        document = make_document(hosts)
        command = make_change(random.Random(1), 0, document)
        encoded = commands.encode_command(command)
        del document, command
        gc.collect()
        tracemalloc.start()
        state = records.State()
        machine.apply_command(commands.decode_command(encoded), state).unwrap()
        gc.collect()
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        data = records.encode_state(state)
        print_row(f'{hosts} hosts: memory of the state', [memory / 1e6], 'MB')
        print_row(f'{hosts} hosts: snapshot', [len(data) / 1e6], 'MB')
        times = []
        for _ in range(repeats):
            start = time.perf_counter()
            records.encode_state(state)
            times.append((time.perf_counter() - start) * 1_000)
        print_row(f'{hosts} hosts: encode a snapshot', times, 'ms')
        times = [measure_change(state, 100 + n) for n in range(repeats)]
        print_row(f'{hosts} hosts: apply a change of one service', times, 'ms')


def measure_change(state: records.State, seed: int) -> float:
    """Return the milliseconds to apply a small change of the document.

    Raises RuntimeError if the change was not applied.
    """
    version = state.version
    service = msgspec.structs.replace(
        state.document.services[0], slots=version + 1
    )
    command = make_change(
        random.Random(seed), version, documents.Document(services=(service,))
    )
    start = time.perf_counter()
    machine.apply_command(command, state).unwrap()
    elapsed_ms = (time.perf_counter() - start) * 1_000
    # A repeated operation id returns the stored answer and changes nothing.
    if state.version != version + 1:
        raise RuntimeError('the measured change was not applied')
    return elapsed_ms


async def measure_in_force(
    folder: pathlib.Path, seed: int, hosts: int, repeats: int
) -> None:
    """Measure from the answer to a change until all entries apply it."""
    running = group.Group(folder / f'force-{hosts}', seed)
    await running.start()
    entries = [Entry(running, number) for number in range(SUBSCRIBERS)]
    for entry in entries:
        await entry.start()
    randomness = random.Random(seed)
    times = []
    for version in range(repeats + 1):
        document = make_document(hosts)
        if version:
            service = msgspec.structs.replace(
                document.services[0], slots=version + 1
            )
            document = documents.Document(services=(service,))
        await running.call(make_change(randomness, version, document))
        start = time.monotonic()
        await asyncio.gather(
            *(entry.wait_for(version + 1) for entry in entries)
        )
        if version:
            times.append((time.monotonic() - start) * 1_000)
    for entry in entries:
        await entry.stop()
    await running.stop()
    print_row(f'{hosts} hosts: answer to in force, {SUBSCRIBERS}', times, 'ms')


class Entry:
    """Tasks with which an entry host subscribes to the document."""

    def __init__(self, running: group.Group, number: int) -> None:
        self._timers = service.TimerService(clock.SystemClock())
        self._link = transport.Transport(
            ids.NodeId(f'entry-{number}'), '127.0.0.1:0', ids.Incarnation(1)
        )
        self._versions = mailbox.Mailbox(f'versions-{number}', 1_024)
        self._subscriber = subscriber.Subscriber(
            frozenset({changes.Section.SERVICES, changes.Section.POLICY}),
            tuple(node.address for node in running.nodes),
            self._link.mailbox,
            self._timers,
            (self._versions,),
        )
        self._link.register(self._subscriber.mailbox, messages.ConfigDelta)

    async def start(self) -> None:
        """Start the tasks and subscribe."""
        await self._timers.start()
        await self._link.start()
        await self._subscriber.start()

    async def wait_for(self, version: int) -> None:
        """Wait until a version is in force."""
        change = await self._versions.get()
        while change.version < version:
            change = await self._versions.get()

    async def stop(self) -> None:
        """Stop the tasks."""
        await self._subscriber.stop()
        await self._link.stop()
        await self._timers.stop()


async def measure(options: argparse.Namespace) -> None:
    """Run the selected sections."""
    repeats = options.repeats
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        folder = pathlib.Path(name)
        print(f'seed {options.seed}, files under {folder.parent}')
        columns = ('median', 'min', 'max', 'count')
        print(f'{"":<52} {"{:>10} {:>10} {:>10} {:>6}".format(*columns)}')
        if 'rate' in options.sections:
            await measure_rate(folder, options.seed, repeats)
        if 'election' in options.sections:
            await measure_election(folder, options.seed, 2 * repeats)
        if 'catch-up' in options.sections:
            await measure_catch_up(folder, options.seed, 500, repeats)
            await measure_catch_up(folder, options.seed, 50_000, 3)
        if 'state' in options.sections:
            measure_state(repeats)
        if 'in-force' in options.sections:
            await measure_in_force(folder, options.seed, 1_000, 10 * repeats)
            await measure_in_force(folder, options.seed, 19_000, 10 * repeats)


SECTIONS = ('rate', 'election', 'catch-up', 'state', 'in-force')


def main() -> None:
    """Parse the options and run the benchmark."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.consensus',
        description='Measure the replicated log: rate and latency of '
        'commands, elections, catch-up, size of the state, and the time '
        'from the answer to a change until it is in force. Three members '
        'share one process and one event loop, on loopback and real files.',
    )
    parser.add_argument('--seed', type=int, default=20_261_204)
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--folder', help='where the files go; default: /tmp')
    parser.add_argument(
        'sections', nargs='*', default=SECTIONS, help=', '.join(SECTIONS)
    )
    asyncio.run(measure(parser.parse_args()))


if __name__ == '__main__':
    main()
