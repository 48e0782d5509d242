"""Benchmark of the network and processor cost of membership.

Runs real membership tasks and transports over loopback, with a group of
members in each operating system process.
"""

import argparse
import asyncio
import logging
import multiprocessing
from multiprocessing import connection
import random
import statistics
import time

import msgspec
import uvloop

from orioleshore.membership import detector
from orioleshore.membership import gossip
from orioleshore.membership import packing
from orioleshore.model import announcements
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.timers import clock
from orioleshore.timers import service

PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.3
SEEDS = 3
# Members per operating system process; 200 would overload one.
GROUP_SIZE = 25
MAX_BYTES_PER_S = 15_000
MAX_CORE_FRACTION = 0.012


class Cost(msgspec.Struct, frozen=True):
    """Cost of one member: bytes sent and received, and cores used."""

    bytes_per_s: float
    core_fraction: float


class Plan(msgspec.Struct, frozen=True):
    """Durations of a measurement in seconds, and number of windows."""

    settle_s: float
    window_s: float
    windows: int


class Member:
    """A membership member with its own transport."""

    def __init__(self, number: int, timers: service.TimerService) -> None:
        self._number = number
        self._timers = timers
        node = ids.NodeId(f'entry-{number:03d}')
        self._transport = transport.Transport(
            node, '127.0.0.1:0', ids.Incarnation(time.time_ns() // 1_000_000)
        )
        self._node = node
        self._gossip: gossip.Gossip | None = None

    @property
    def address(self) -> str:
        return self._transport.address

    @property
    def bytes_moved(self) -> int:
        counters = self._transport.counters
        return counters['sent_bytes'] + counters['received_bytes']

    async def listen(self) -> None:
        """Start the transport, which listens for peers."""
        await self._transport.start()

    async def join(self, seeds: tuple[str, ...]) -> None:
        """Start probing."""
        own = announcements.Peer(
            self._node,
            self.address,
            ids.Incarnation(time.time_ns() // 1_000_000),
            ids.AvailabilityZone(f'az{self._number % 3 + 1}'),
            (states.Role.ENTRY,),
        )
        decisions = detector.Detector(
            own,
            seeds,
            PERIOD_S,
            PROBE_TIMEOUT_S,
            packing.get_update_size,
            random.Random(self._number),
        )
        self._gossip = gossip.Gossip(
            decisions, self._transport.mailbox, self._timers, (), PERIOD_S
        )
        self._transport.register(
            self._gossip.mailbox,
            messages.Probe,
            messages.ProbeAck,
            messages.IndirectProbe,
        )
        await self._gossip.start()

    async def stop(self) -> None:
        """Stop probing and close all connections."""
        await self._gossip.stop()
        await self._transport.stop()


async def measure(
    first: int, count: int, plan: Plan, pipe: connection.Connection
) -> list[Cost]:
    """Return the cost per member in each window.

    The first group sends its seed addresses to the parent, which passes
    them to all groups.
    """
    timers = service.TimerService(clock.SystemClock())
    await timers.start()
    members = [Member(first + number, timers) for number in range(count)]
    for member in members:
        await member.listen()
    if first == 0:
        pipe.send(tuple(member.address for member in members[:SEEDS]))
    seeds = await asyncio.to_thread(pipe.recv)
    for member in members:
        await member.join(seeds)
        await asyncio.sleep(PERIOD_S / count)
    await asyncio.sleep(plan.settle_s)
    costs = [
        await _measure_window(members, plan.window_s)
        for _ in range(plan.windows)
    ]
    # Keep running until all groups have finished measuring.
    pipe.send(costs)
    await asyncio.to_thread(pipe.recv)
    for member in members:
        await member.stop()
    await timers.stop()
    return costs


def run_group(
    first: int, count: int, plan: Plan, pipe: connection.Connection
) -> None:
    """Run a group of members in this process."""
    logging.disable(logging.WARNING)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(first, count, plan, pipe))


def run_groups(count: int, plan: Plan) -> list[Cost]:
    """Return the mean cost of a member in each window."""
    context = multiprocessing.get_context('spawn')
    groups = []
    for first in range(0, count, GROUP_SIZE):
        pipe, other = context.Pipe()
        size = min(GROUP_SIZE, count - first)
        process = context.Process(
            target=run_group, args=(first, size, plan, other)
        )
        process.start()
        groups.append((size, process, pipe))
    seeds = groups[0][2].recv()
    for _, _, pipe in groups:
        pipe.send(seeds)
    results = [(size, pipe.recv()) for size, _, pipe in groups]
    for _, process, pipe in groups:
        pipe.send(None)
        process.join()
    return [
        Cost(
            sum(size * costs[i].bytes_per_s for size, costs in results)
            / count,
            sum(size * costs[i].core_fraction for size, costs in results)
            / count,
        )
        for i in range(plan.windows)
    ]


async def _measure_window(members: list[Member], window_s: float) -> Cost:
    moved = sum(member.bytes_moved for member in members)
    began, used = time.monotonic(), time.process_time()
    await asyncio.sleep(window_s)
    elapsed_s = time.monotonic() - began
    per_member = elapsed_s * len(members)
    moved = sum(member.bytes_moved for member in members) - moved
    return Cost(moved / per_member, (time.process_time() - used) / per_member)


def main() -> None:
    """Print the costs by number of members and the slope per member."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--counts', default='10,50,100,200')
    parser.add_argument('--settle', type=float, default=20.0)
    parser.add_argument('--window', type=float, default=5.0)
    parser.add_argument('--windows', type=int, default=5)
    arguments = parser.parse_args()
    counts = [int(count) for count in arguments.counts.split(',')]
    medians = []
    for count in counts:
        costs = run_groups(
            count,
            Plan(arguments.settle, arguments.window, arguments.windows),
        )
        medians.append(_print_costs(count, costs))
    if len(counts) > 1:
        _print_slope(counts, medians)


def _print_costs(count: int, costs: list[Cost]) -> Cost:
    rates = [cost.bytes_per_s for cost in costs]
    cores = [100 * cost.core_fraction for cost in costs]
    print(
        f'{count} members: {statistics.median(rates):.0f} bytes/s '
        f'({min(rates):.0f} to {max(rates):.0f}), '
        f'{statistics.median(cores):.3f} % of a core '
        f'({min(cores):.3f} to {max(cores):.3f})',
        flush=True,
    )
    return Cost(statistics.median(rates), statistics.median(cores) / 100)


def _print_slope(counts: list[int], medians: list[Cost]) -> None:
    rate = statistics.linear_regression(
        counts, [cost.bytes_per_s for cost in medians]
    )
    core = statistics.linear_regression(
        counts, [100 * cost.core_fraction for cost in medians]
    )
    print(
        f'slope: {rate.slope:.2f} bytes/s and {core.slope:.5f} % of a core '
        'per further member'
    )
    within = all(
        cost.bytes_per_s <= MAX_BYTES_PER_S
        and cost.core_fraction <= MAX_CORE_FRACTION
        for cost in medians
    )
    print(f'within the limits of a node: {"yes" if within else "no"}')


if __name__ == '__main__':
    main()
