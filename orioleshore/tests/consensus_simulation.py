"""A simulated Raft group: its network, disks and clocks are deterministic."""

import heapq
import itertools
import random
from typing import Any

import msgspec

from orioleshore.consensus import events
from orioleshore.consensus import log
from orioleshore.consensus import raft
from orioleshore.consensus import suspension
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages

TICK_S = 0.05
SYNC_DURATION_RANGE_S = (0.0005, 0.02)
# Small, so that leaders change during snapshot transfers.
CHUNK_BYTES = 600
# Largest difference between the rates of two clocks, as a fraction.
MAX_CLOCK_DRIFT = 0.02


class Disk(msgspec.Struct):
    """The synced data of a member."""

    stamp: str
    hard_state: events.HardState = events.HardState()
    snapshot: events.Snapshot | None = None
    entries: list[messages.Entry] = []

    def write(self, persist: events.Persist) -> None:
        """Store entries; they replace those from the first index on."""
        self.hard_state = persist.hard_state
        stored = log.Log(self.snapshot, self.entries)
        stored.append(persist.entries)
        self.entries = list(
            stored.get_entries(stored.first_index, stored.last_index)
        )

    def save_snapshot(
        self, snapshot: events.Snapshot, rest: tuple[messages.Entry, ...]
    ) -> None:
        """Replace snapshot and entries atomically."""
        self.snapshot = snapshot
        self.entries = list(rest)


class Node:
    """One member with its disk, its clock and its mailbox.

    ``unsynced`` holds the writes of the sync in progress, None between syncs.
    ``unwritten`` holds what waits for room while the disk is full.
    """

    def __init__(
        self, name: str, initial_members: dict[str, str], clock_rate: float
    ):
        self.name = ids.NodeId(name)
        self.initial_members = initial_members
        self.clock_rate = clock_rate
        self.generation = 0
        # Time of the group's clock at which the last process ended.
        self.stopped_at: float | None = None
        self.disk = Disk(f'{name}-0')
        self.raft: raft.Raft | None = None
        self.mailbox: list[events.Event] = []
        self.unsynced: list[events.Persist] | None = None
        self.unwritten: list[events.Action] = []
        self.is_full = False
        self.is_gone = False
        self.paused_until = 0.0
        self.applied: list[bytes] = []
        self.applied_index = 0


class Group:
    """Runs members on a random schedule and checks Raft's guarantees."""

    def __init__(self, seed: int, size: int = 3, spare: int = 1) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self._heap: list[tuple[float, int, Any]] = []
        self._sequence = itertools.count()
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        names = [f'm{number}' for number in range(size)]
        initial_members = {ids.NodeId(name): f'{name}:1' for name in names}
        self.nodes = {
            name: self._build_node(name, initial_members) for name in names
        }
        for number in range(size, size + spare):
            name = f'm{number}'
            self.nodes[name] = self._build_node(name, {})
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, int, bytes]] = {}
        self.tokens: dict[tuple[int, int], int] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.acknowledged_index = 0
        self.min_read_index: dict[int, int] = {}
        self.answered_read_count = 0
        self.mismatch_count = 0
        self.next_token = itertools.count(1)
        for node in self.nodes.values():
            self.start(node)

    def _build_node(self, name: str, initial_members: dict[str, str]) -> Node:
        clock_rate = (
            1.0 + self.random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2
        )
        return Node(name, initial_members, clock_rate)

    # Faults.

    def start(self, node: Node, loading_s: float | None = None) -> None:
        """Start a member with the state on its disk.

        ``loading_s`` is how long its process has been loading, by default a
        random part of the time since the last one ended.
        """
        node.generation += 1
        node.mailbox = []
        node.unsynced = None
        node.unwritten = []
        node.applied, node.applied_index = [], 0
        if node.disk.snapshot is not None:
            self._restore_snapshot(node, node.disk.snapshot)
        node.raft = raft.Raft(
            raft.Config(
                node.name,
                f'{node.name}:1',
                node.disk.stamp,
                node.initial_members,
                chunk_bytes=CHUNK_BYTES,
            ),
            node.disk.hard_state,
            log.Log(node.disk.snapshot, node.disk.entries),
            random.Random(self.random.random()),
            self.now * node.clock_rate,
            self._draw_process_start(node, loading_s) * node.clock_rate,
        )
        self._schedule(self.random.random() * TICK_S, self._fire_tick, node)

    def _draw_process_start(
        self, node: Node, loading_s: float | None
    ) -> float:
        """Return when the process started that is now ready to take part."""
        if loading_s is not None:
            return self.now - loading_s
        if node.stopped_at is None:
            return self.now
        return self.random.uniform(node.stopped_at, self.now)

    def crash(self, node: Node) -> None:
        """Stop a member; a random part of its unsynced writes is lost."""
        for persist in node.unsynced or ():
            if self.random.random() < 0.5:
                break
            node.disk.write(persist)
        node.unsynced = None
        node.raft = None
        node.stopped_at = self.now
        node.generation += 1

    def lose_disk(self, node: Node) -> None:
        """Stop a member and give it an empty disk with a new stamp."""
        self.crash(node)
        node.disk = Disk(f'{node.name}-{node.generation}')

    def remove_for_good(self, node: Node) -> None:
        """Stop a member that never starts again."""
        self.crash(node)
        node.is_gone = True

    def pause(self, node: Node, seconds: float) -> None:
        """Pause a member for some time."""
        node.paused_until = self.now + seconds
        self._schedule(seconds + 0.0001, self._process_mailbox, node)

    def isolate(self, name: str, inward: bool, outward: bool) -> None:
        """Block one or both directions between a member and all others."""
        for other in self.nodes:
            if inward:
                self.blocked_links.add((other, name))
            if outward:
                self.blocked_links.add((name, other))

    def heal(self) -> None:
        """Repair the network, end pauses and start stopped members."""
        self.blocked_links.clear()
        self.loss_rate = 0.0
        for node in self.nodes.values():
            node.paused_until = min(node.paused_until, self.now)
            node.is_full = False
            if node.raft is None and not node.is_gone:
                self.start(node)

    # Requests.

    def find_leader(self) -> Node | None:
        """Return the leader of the highest term, if any."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.raft and node.raft.role is states.RaftRole.LEADER
        ]
        return max(leaders, key=lambda node: node.raft.term, default=None)

    def propose(self, node: Node) -> int:
        """Request a member to commit a command; return the token."""
        token = next(self.next_token)
        data = f'command-{token}'.encode()
        self.deliver(node, events.ProposeRequested(token, data))
        return token

    def read(self, node: Node) -> None:
        """Request a linearizable read from a member."""
        token = next(self.next_token)
        self.min_read_index[token] = self.acknowledged_index
        self.deliver(node, events.ReadRequested(token))

    def change_members(
        self, node: Node, add: str | None, remove: str | None
    ) -> None:
        """Request a membership change from a member."""
        added = None
        if add is not None:
            stamp = self.nodes[add].disk.stamp
            added = events.Member(ids.NodeId(add), f'{add}:1', stamp, False)
        token = next(self.next_token)
        self.deliver(node, events.MembersChangeRequested(token, added, remove))

    def transfer_leadership(self, node: Node) -> None:
        """Request a leadership transfer from a member."""
        self.deliver(node, events.LeadershipTransferRequested())

    def take_snapshot(self, node: Node) -> None:
        """Compact the log of a member up to its applied index."""
        if node.raft is None or node.unsynced is not None or node.is_full:
            return
        index = node.applied_index
        if index <= node.raft.log.snapshot_index:
            return
        snapshot = events.Snapshot(
            ids.LogIndex(index),
            node.raft.log.get_term(index),
            node.raft.log.find_members_at(index),
            msgspec.msgpack.encode(node.applied),
        )
        rest = node.raft.log.get_entries(index + 1, node.raft.log.last_index)
        node.disk.save_snapshot(snapshot, rest)
        self.deliver(node, events.SnapshotTaken(snapshot))

    # Execution.

    def run_for(self, seconds: float) -> None:
        """Run all events of the next seconds."""
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.step()
        self.now = until

    def step(self) -> None:
        """Run the next event; if none is left, heal the group first."""
        if not self._heap:
            self.heal()
        due, _, (function, node, generation, argument) = heapq.heappop(
            self._heap
        )
        self.now = max(self.now, due)
        if (
            node.generation != generation
            and function != self._deliver_unless_blocked
        ):
            return
        if argument is None:
            function(node)
        else:
            function(node, argument)

    def _schedule(
        self, delay: float, function, node: Node, argument: Any = None
    ) -> None:
        item = (function, node, node.generation, argument)
        heapq.heappush(
            self._heap, (self.now + delay, next(self._sequence), item)
        )

    def _fire_tick(self, node: Node) -> None:
        if node.raft is None:
            return
        self._schedule(TICK_S, self._fire_tick, node)
        self._write_waiting(node)
        # As with the real timer service, at most one tick waits in a mailbox.
        if not any(isinstance(e, events.Tick) for e in node.mailbox):
            self.deliver(node, events.Tick())

    def _deliver_unless_blocked(
        self, node: Node, event: events.MessageReceived
    ) -> None:
        if (event.sender, node.name) not in self.blocked_links:
            self.deliver(node, event)

    def deliver(self, node: Node, event: events.Event) -> None:
        """Put an event into the mailbox of a member."""
        if node.raft is None:
            return
        node.mailbox.append(event)
        self._process_mailbox(node)

    def _process_mailbox(self, node: Node) -> None:
        """Handle all waiting events with one sync, as the real task does."""
        if node.raft is None or node.unsynced is not None:
            return
        if node.paused_until > self.now:
            return
        batch, node.mailbox = node.mailbox, []
        actions: list[events.Action] = []
        for event in batch:
            actions += self._handle_event(node, event)
        self._perform_actions(node, actions)

    def _handle_event(
        self, node: Node, event: events.Event
    ) -> list[events.Action]:
        before = node.raft.commit_index
        actions = node.raft.handle(event, self.now * node.clock_rate)
        assert node.raft.commit_index >= before, 'commit index went back'
        return actions

    def _perform_actions(
        self, node: Node, actions: list[events.Action]
    ) -> None:
        persists = [a for a in actions if isinstance(a, events.Persist)]
        has_snapshot = any(
            isinstance(a, events.InstallSnapshot) for a in actions
        )
        if not persists and not has_snapshot:
            self._perform_in_order(node, actions)
            return
        changed = any(p.hard_state != node.disk.hard_state for p in persists)
        rest = []
        for action in actions:
            early = isinstance(action, events.Send) and isinstance(
                action.message, messages.Append
            )
            if early and not changed and not has_snapshot:
                self._send_message(node, action)
            else:
                rest.append(action)
        node.unsynced = [] if has_snapshot else persists
        self._schedule(
            self.random.uniform(*SYNC_DURATION_RANGE_S),
            self._finish_sync,
            node,
            rest,
        )

    def _suspend(self, node: Node, actions: list[events.Action]) -> None:
        node.unwritten, ready = suspension.split_actions(actions)
        self._perform_in_order(node, ready)
        following = self._handle_event(node, events.StorageBlocked())
        self._perform_in_order(node, following)

    def _write_waiting(self, node: Node) -> None:
        if not node.unwritten or node.is_full:
            return
        waiting, node.unwritten = node.unwritten, []
        for action in suspension.merge_persists(waiting):
            if isinstance(action, events.Persist):
                node.disk.write(action)
                self._confirm_persisted(node, [action])
            else:
                self._perform_in_order(node, [action])
        self._handle_event(node, events.StorageResumed())

    def _confirm_persisted(
        self, node: Node, actions: list[events.Action]
    ) -> list[events.Action]:
        entries = [
            entry
            for action in actions
            if isinstance(action, events.Persist)
            for entry in action.entries
        ]
        if not entries:
            return []
        last = entries[-1]
        return self._handle_event(
            node, events.Persisted(last.index, last.term)
        )

    def _finish_sync(self, node: Node, actions: list[events.Action]) -> None:
        node.unsynced = None
        if node.is_full:
            self._suspend(node, actions)
            self._process_mailbox(node)
            return
        for action in actions:
            if isinstance(action, events.Persist):
                node.disk.write(action)
        self._perform_in_order(node, actions)
        self._perform_actions(node, self._confirm_persisted(node, actions))
        self._process_mailbox(node)

    def _install_snapshot(self, node: Node, snapshot: events.Snapshot) -> None:
        last = node.raft.log.last_index
        rest = node.raft.log.get_entries(snapshot.last_index + 1, last)
        node.disk.save_snapshot(snapshot, rest)
        assert snapshot.last_index > node.applied_index, 'state went back'
        self._restore_snapshot(node, snapshot)

    def _restore_snapshot(self, node: Node, snapshot: events.Snapshot) -> None:
        node.applied = msgspec.msgpack.decode(snapshot.data, type=list[bytes])
        node.applied_index = snapshot.last_index

    def _perform_in_order(
        self, node: Node, actions: list[events.Action]
    ) -> None:
        for action in actions:
            if isinstance(action, events.Send):
                self._send_message(node, action)
            elif isinstance(action, events.InstallSnapshot):
                self._install_snapshot(node, action.snapshot)
            elif isinstance(action, events.Apply):
                self._apply_entries(node, action.entries)
            elif isinstance(action, events.Accepted):
                self.tokens[(action.index, action.term)] = action.token
            elif isinstance(action, events.ReadReady):
                self.answered_read_count += 1
                min_index = self.min_read_index[action.token]
                assert action.index >= min_index, 'a read misses a change'
            elif isinstance(action, events.StampMismatch):
                self.mismatch_count += 1
            elif isinstance(action, events.RoleChanged):
                self._check_new_leader(node, action)

    def _send_message(self, node: Node, action: events.Send) -> None:
        target = self.nodes.get(action.to)
        if target is None or self.random.random() < self.loss_rate:
            return
        event = events.MessageReceived(node.name, action.message)
        for _ in range(2 if self.random.random() < self.loss_rate / 4 else 1):
            slow = self.random.random() < self.loss_rate
            delay = self.random.uniform(0.0005, 0.6 if slow else 0.005)
            self._schedule(delay, self._deliver_unless_blocked, target, event)

    # Checks.

    def _apply_entries(
        self, node: Node, entries: tuple[messages.Entry, ...]
    ) -> None:
        for entry in entries:
            assert entry.index == node.applied_index + 1, 'not in sequence'
            node.applied_index = entry.index
            content = (entry.term, entry.kind, entry.data)
            known = self.committed.setdefault(entry.index, content)
            assert known == content, f'two entries at {entry.index}'
            leads = node.raft.role is states.RaftRole.LEADER
            if entry.kind != events.EntryKind.COMMAND:
                continue
            node.applied.append(entry.data)
            token = self.tokens.get((entry.index, entry.term))
            if leads and node.raft.term == entry.term and token is not None:
                self.acknowledged[token] = entry.data
                self.acknowledged_index = max(
                    self.acknowledged_index, entry.index
                )

    def _check_new_leader(
        self, node: Node, action: events.RoleChanged
    ) -> None:
        if action.role is not states.RaftRole.LEADER:
            return
        known = self.leaders.setdefault(action.term, node.name)
        assert known == node.name, f'two leaders in term {action.term}'
        self._check_leader_log(node)
        for other in self.nodes.values():
            if other is node or other.raft is None:
                continue
            if other.raft.role is states.RaftRole.LEADER:
                lease_end = other.raft.lease_until / other.clock_rate
                assert lease_end <= self.now, (
                    f'{other.name} leads until {lease_end}, {node.name} '
                    f'is elected at {self.now}'
                )

    def _check_leader_log(self, node: Node) -> None:
        """Check that a new leader has all committed entries."""
        entries = node.raft.log
        for index, (term, _, _) in self.committed.items():
            if index > entries.snapshot_index:
                assert entries.get_term(index) == term, (
                    f'leader {node.name} lacks committed entry {index}'
                )

    def check_final_state(self) -> None:
        """Check that a healed group is available and has lost nothing."""
        self.heal()
        self.run_for(8.0)
        # The old leader refuses requests in its mailbox, so find the new one.
        leader = self.find_leader()
        assert leader is not None, 'no leader after the network healed'
        token = self.propose(leader)
        self.run_for(4.0)
        assert token in self.acknowledged, 'a healed group commits nothing'
        leader = self.find_leader()
        listed = leader.raft.members.members
        for member in listed:
            node = self.nodes[member.name]
            if node.is_gone:
                assert not member.voter, f'{node.name} is gone and votes'
                continue
            assert node.applied == leader.applied, f'{node.name} differs'
            assert member.stamp == node.disk.stamp
        voters = [member.name for member in listed if member.voter]
        alive = [m for m in listed if not self.nodes[m.name].is_gone]
        odd_count = len(alive) - (len(alive) % 2 == 0)
        assert len(voters) == odd_count, f'{voters} of {len(alive)} vote'
        missing = set(self.acknowledged.values()) - set(leader.applied)
        assert not missing, f'acknowledged and lost: {sorted(missing)[:5]}'
