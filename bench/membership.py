"""Bytes and processor time that membership costs each process.

Runs real membership tasks and transports over loopback in one process.
"""

import argparse
import asyncio
import logging
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
MAX_BYTES_PER_S = 15_000
MAX_CORE_FRACTION = 0.012


class Cost(msgspec.Struct, frozen=True):
    """Cost of one member: bytes sent and received, fraction of a core."""

    bytes_per_s: float
    core_fraction: float


class Member:
    """One process of the simulated fleet."""

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
        """Open the inner address."""
        await self._transport.start()

    async def join(self, seeds: tuple[str, ...]) -> None:
        """Start to probe."""
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
            packing.get_size,
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
        """Stop to probe and close all connections."""
        await self._gossip.stop()
        await self._transport.stop()


async def measure(
    count: int, settle_s: float, window_s: float, windows: int
) -> list[Cost]:
    """Return the cost of a member in each window."""
    timers = service.TimerService(clock.SystemClock())
    await timers.start()
    members = [Member(number, timers) for number in range(count)]
    for member in members:
        await member.listen()
    seeds = tuple(member.address for member in members[:SEEDS])
    for member in members:
        await member.join(seeds)
        await asyncio.sleep(PERIOD_S / count)
    await asyncio.sleep(settle_s)
    costs = []
    for _ in range(windows):
        costs.append(await _measure_window(members, window_s))
    for member in members:
        await member.stop()
    await timers.stop()
    return costs


async def _measure_window(members: list[Member], window_s: float) -> Cost:
    moved = sum(member.bytes_moved for member in members)
    began, used = time.monotonic(), time.process_time()
    await asyncio.sleep(window_s)
    elapsed_s = time.monotonic() - began
    per_member = elapsed_s * len(members)
    moved = sum(member.bytes_moved for member in members) - moved
    return Cost(moved / per_member, (time.process_time() - used) / per_member)


def main() -> None:
    """Print a table of costs, with the slope per member."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--counts', default='10,50,100,200')
    parser.add_argument('--settle', type=float, default=20.0)
    parser.add_argument('--window', type=float, default=5.0)
    parser.add_argument('--windows', type=int, default=5)
    arguments = parser.parse_args()
    logging.disable(logging.WARNING)
    counts = [int(count) for count in arguments.counts.split(',')]
    medians = []
    for count in counts:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            costs = runner.run(
                measure(
                    count,
                    arguments.settle,
                    arguments.window,
                    arguments.windows,
                )
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
