"""State that the modules of a control member's task share."""

from typing import Any

import msgspec
from result import Result

from orioleshore import settings
from orioleshore.consensus import events
from orioleshore.consensus import member_calls
from orioleshore.consensus import member_status
from orioleshore.consensus import raft
from orioleshore.consensus import storage
from orioleshore.consensus import writer
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.state import feed
from orioleshore.state import fleet_metrics
from orioleshore.state import queries
from orioleshore.state import records
from orioleshore.tasks import mailbox
from orioleshore.timers import service

MAX_PEER_ADDRESSES = 64


class MemberCore:
    """The Raft member, the replicated state, and the calls that wait.

    One ``MemberTask`` owns it; the modules with its handlers, actions, reads
    and writes operate on it.
    """

    def __init__(
        self,
        config: settings.Settings,
        address: str,
        inbox: mailbox.Mailbox,
        sender: mailbox.Mailbox,
        timers: service.TimerService,
        files: storage.Storage,
    ) -> None:
        self.config = config
        self.address = address
        self.inbox = inbox
        self.sender = sender
        self.clock = timers.clock
        self.storage = files
        self.writer = writer.Writer(files, timers.clock)
        self.raft: raft.Raft | None = None
        self.state = records.State()
        self.applied_index = 0
        self.feed = feed.Feed()
        self.manager: mailbox.Mailbox | None = None
        self.jobs: mailbox.Mailbox | None = None
        # True once the fleet manager and the job scheduler were sent the state
        # of the current term.
        self.has_started_leader_tasks = False
        self.calls = member_calls.PendingCalls(sender)
        self.ready_reads: list[tuple[int, int]] = []
        self.peer_addresses: dict[ids.NodeId, str] = {}
        self.is_leader = False
        self.is_manager_behind = False
        self.peer_states: dict[ids.NodeId, states.PeerState] = {}
        # What waits for room on the disk, in order. While there is any, the
        # member takes no part in the group.
        self.unwritten: list[events.Action] = []
        self.write_retry_at = 0.0
        self.snapshot_retry_at = 0.0

    def get_now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.get_monotonic()

    def handle_event(self, event: events.Event) -> list[events.Action]:
        """Pass an event to the Raft member and return its actions."""
        return self.raft.handle(event, self.get_now())

    def answer_call(
        self, token: int, outcome: Result[Any, errors.Failure]
    ) -> None:
        """Answer a call that waits under a token."""
        self.calls.answer(token, outcome, self.get_leader_address())

    def answer_query(
        self, header: messages.Header, outcome: Result[bytes, errors.Failure]
    ) -> None:
        """Answer a query that waits under no token."""
        message = member_calls.pack_query_reply(
            outcome, self.get_leader_address()
        )
        self.calls.send_reply(header, message)

    def get_leader_address(self) -> str:
        """Return the inner address of the leader, empty if not known."""
        leader = self.raft.leader
        if leader is None:
            return ''
        if leader == self.config.node:
            return self.address
        if self.raft.members is None:
            return self.config.control.initial_members.get(leader, '')
        for member in self.raft.members.members:
            if member.name == leader:
                return member.address
        return ''

    def send_updates(self, updates: list[feed.SendUpdate]) -> None:
        """Send changes of the document to subscribers."""
        for update in updates:
            message = messages.ConfigDelta(
                update.from_version,
                update.to_version,
                msgspec.msgpack.encode(update.edits),
                update.full,
            )
            self.sender.put(transport.SendTo(update.address, message))

    def store_peer_address(self, header: messages.Header) -> None:
        """Remember where a sender is reached; forget the oldest one."""
        self.peer_addresses.pop(header.sender, None)
        self.peer_addresses[header.sender] = header.reply_address
        if len(self.peer_addresses) > MAX_PEER_ADDRESSES:
            oldest = next(iter(self.peer_addresses))
            del self.peer_addresses[oldest]

    def get_group_addresses(self) -> messages.GroupAddresses:
        """Return the addresses of the group as this member knows them."""
        members = self.raft.members.members if self.raft.members else ()
        return messages.GroupAddresses(
            self.raft.term,
            self.get_leader_address(),
            tuple(item.address for item in members),
        )

    def describe_group(self) -> dict[str, Any]:
        """Return the members of the group as this member sees them."""
        return member_status.describe_group(
            self.raft, self.feed.versions, self.peer_states
        )

    def get_status(self) -> dict[str, Any]:
        """Return the local status of this member, which may be stale."""
        return {
            **member_status.describe_member(self.raft),
            'applied_index': self.applied_index,
            'version': self.state.version,
            'syncs': self.storage.sync_count,
            'is_disk_full': bool(self.unwritten),
        }

    def get_metrics(self) -> dict[str, Any]:
        """Return the status with the values that metrics export."""
        is_leader = self.raft.role is states.RaftRole.LEADER
        return {
            **self.get_status(),
            'pending_calls': len(self.calls),
            'sync_seconds': self.writer.sync_seconds,
            'fleet': fleet_metrics.compute_fleet_metrics(self.state)
            if is_leader
            else None,
        }

    def get_dump(self) -> dict[str, Any]:
        """Return all state that this member holds."""
        return {
            'consensus': self.get_status(),
            'group': self.describe_group(),
            'mailbox_length': len(self.inbox),
            'pending_calls': len(self.calls),
            'state': queries.answer_query(queries.GetDump(), self.state),
        }
