"""Model of a leader that answers heartbeats more slowly than they come.

    python -m bench.heartbeats --workers 3000

The leader handles all queued heartbeats, then commits, then answers, as
``jobs.task`` does. A worker gives up on an answer after a second and sends
its next heartbeat. Prints the share of the heartbeats that are answered in
time in the second half, and of the workers whose lease has ended, by the time
that one heartbeat takes. No code of the product runs.
"""

import argparse
import enum
import heapq
import random

INTERVAL_S = 1.5
TIMEOUT_S = 1.0
LEASE_S = 3.0
# All workers report within this time, as after a restart of all members.
BURST_S = 0.3
DURATION_S = 30.0
# Longest handling without a commit, where it is bounded.
BATCH_S = 0.05
# A heartbeat older than this is left out where that is done; its worker would
# give up before the answer. Leaving one out costs this share of handling it.
MAX_AGE_S = 0.8
SKIP_COST = 0.05


class Discipline(enum.Enum):
    """Which heartbeats are handled, and how many before a commit."""

    ALL = 'all, in one batch'
    BOUNDED = 'all, bounded batches'
    FRESH = 'fresh ones, bounded batches'


class Event(enum.IntEnum):
    """What happens next in the model."""

    SEND = 0
    GIVE_UP = 1
    HANDLED = 2
    COMMITTED = 3


class Model:
    """One run of the model; ``cost_s`` is the time that a heartbeat takes."""

    def __init__(
        self,
        workers: int,
        cost_s: float,
        commit_s: float,
        discipline: Discipline,
    ) -> None:
        self._cost_s = cost_s
        self._commit_s = commit_s
        self._discipline = discipline
        self._events: list[tuple[float, int, Event, int, int]] = []
        self._count = 0
        # Newest heartbeat of each worker without an answer, 0 for none.
        self._open = [0] * workers
        self._lease_end = [0.0] * workers
        self._queue: list[tuple[int, int, float]] = []
        self._handling: list[tuple[int, int, float]] = []
        self._handled: list[tuple[int, int, float]] = []
        self._committing: list[tuple[int, int, float]] = []
        self._sent = 0
        self._in_time = 0
        rng = random.Random(1)
        for worker in range(workers):
            self._add(rng.uniform(0.0, BURST_S), Event.SEND, worker)

    def run(self) -> tuple[float, float]:
        """Return the shares of timely answers and of ended leases."""
        steps = {
            Event.SEND: self._send,
            Event.GIVE_UP: self._give_up,
            Event.HANDLED: self._finish_batch,
            Event.COMMITTED: self._answer,
        }
        while self._events[0][0] <= DURATION_S:
            now, _, event, worker, number = heapq.heappop(self._events)
            steps[event](now, worker, number)
        ended = sum(end < DURATION_S for end in self._lease_end)
        return self._in_time / self._sent, ended / len(self._lease_end)

    def _add(
        self, at: float, event: Event, worker: int = 0, number: int = 0
    ) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, event, worker, number))

    def _send(self, now: float, worker: int, _: int) -> None:
        self._open[worker] = self._count
        self._sent += now > DURATION_S / 2
        self._queue.append((worker, self._count, now))
        self._add(now + TIMEOUT_S, Event.GIVE_UP, worker, self._count)
        self._start_batch(now)

    def _give_up(self, now: float, worker: int, number: int) -> None:
        if self._open[worker] == number:
            self._add(now, Event.SEND, worker)

    def _start_batch(self, now: float) -> None:
        if self._handling or not self._queue:
            return
        size = len(self._queue)
        if self._discipline is not Discipline.ALL:
            size = min(size, int(BATCH_S / self._cost_s))
        batch, self._queue = self._queue[:size], self._queue[size:]
        cost_s = 0.0
        for item in batch:
            is_old = (
                self._discipline is Discipline.FRESH
                and now - item[2] > MAX_AGE_S
            )
            cost_s += self._cost_s * (SKIP_COST if is_old else 1.0)
            if not is_old:
                self._handled.append(item)
        self._handling = batch
        self._add(now + cost_s, Event.HANDLED)

    def _finish_batch(self, now: float, *_: int) -> None:
        self._handling = []
        self._commit(now)
        self._start_batch(now)

    def _commit(self, now: float) -> None:
        if self._committing or not self._handled:
            return
        self._committing, self._handled = self._handled, []
        self._add(now + self._commit_s, Event.COMMITTED)

    def _answer(self, now: float, *_: int) -> None:
        for worker, number, sent_at in self._committing:
            if self._open[worker] != number:
                continue
            self._open[worker] = 0
            self._in_time += sent_at > DURATION_S / 2
            self._lease_end[worker] = sent_at + LEASE_S
            self._add(max(now, sent_at + INTERVAL_S), Event.SEND, worker)
        self._committing = []
        if not self._handling:
            self._commit(now)


def main() -> None:
    """Print one row for each handling cost and discipline."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, default=3_000)
    parser.add_argument('--commit-ms', type=float, default=250.0)
    arguments = parser.parse_args()
    print('cost us | discipline | answered in time | leases ended')
    for cost_us in (200, 300, 360, 400, 450, 500, 700):
        for discipline in Discipline:
            in_time, ended = Model(
                arguments.workers,
                cost_us / 1e6,
                arguments.commit_ms / 1e3,
                discipline,
            ).run()
            print(
                f'{cost_us} | {discipline.value} | {in_time:.2f} | {ended:.2f}'
            )


if __name__ == '__main__':
    main()
