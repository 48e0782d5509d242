"""Task of a control member: log, data folder, state machine and feed."""

import functools
import logging
import random
from typing import Any

import msgspec
from result import Ok
from result import Result

from orioleshore import settings
from orioleshore.consensus import events
from orioleshore.consensus import member_calls
from orioleshore.consensus import member_messages
from orioleshore.consensus import member_status
from orioleshore.consensus import raft
from orioleshore.consensus import requests
from orioleshore.consensus import storage
from orioleshore.consensus import suspension
from orioleshore.consensus import validation
from orioleshore.consensus import writer
from orioleshore.jobs import calls as job_calls
from orioleshore.jobs import ledger
from orioleshore.membership import events as membership_events
from orioleshore.model import changes
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.protocol import transport
from orioleshore.state import answers
from orioleshore.state import commands
from orioleshore.state import feed
from orioleshore.state import fleet_metrics
from orioleshore.state import machine
from orioleshore.state import queries
from orioleshore.state import records
from orioleshore.tasks import mailbox
from orioleshore.tasks import reply
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 4_096
# Messages handled with one sync; bounds the time that one batch takes.
MAX_BATCH_MESSAGES = 256
MAX_PEER_ADDRESSES = 64
# Seconds between attempts to write while the disk is full.
WRITE_RETRY_S = 0.2
# Seconds until a snapshot that found no room on the disk is repeated.
SNAPSHOT_RETRY_S = 2.0

TICK = ids.TimerId('consensus-tick')


class MemberTask(task.Task):
    """Owns the Raft member, its data folder and the replicated state."""

    def __init__(
        self,
        config: settings.Settings,
        address: str,
        sender: mailbox.Mailbox,
        timers: service.TimerService,
        files: storage.Storage,
        randomness: random.Random,
        started_at: float | None = None,
    ) -> None:
        """Create the task; ``started_at`` is the start of the process.

        It is monotonic, in seconds; without it, the process starts when the
        data folder is loaded.
        """
        super().__init__(mailbox.Mailbox('consensus', MAILBOX_CAPACITY))
        self._config = config
        self._address = address
        self._sender = sender
        self._timers = timers
        self._storage = files
        self._writer = writer.Writer(files, timers.clock)
        self._random = randomness
        self._started_at = started_at
        self._raft: raft.Raft | None = None
        self._state = records.State()
        self._applied_index = 0
        self._feed = feed.Feed()
        self._manager: mailbox.Mailbox | None = None
        self._jobs: mailbox.Mailbox | None = None
        # True once the fleet manager and the job scheduler were sent the state
        # of the current term.
        self._has_started_leader_tasks = False
        self._calls = member_calls.PendingCalls(sender)
        self._ready_reads: list[tuple[int, int]] = []
        self._peer_addresses: dict[ids.NodeId, str] = {}
        self._is_leader = False
        self._is_manager_behind = False
        self._peer_states: dict[ids.NodeId, states.PeerState] = {}
        # What waits for room on the disk, in order. While there is any, the
        # member takes no part in the group.
        self._unwritten: list[events.Action] = []
        self._write_retry_at = 0.0
        self._snapshot_retry_at = 0.0

    @property
    def failure(self) -> errors.Failure | None:
        return self._writer.failure

    def set_manager(self, manager: mailbox.Mailbox) -> None:
        """Set the mailbox of the fleet manager, which runs at the leader."""
        self._manager = manager

    def set_job_scheduler(self, jobs: mailbox.Mailbox) -> None:
        """Set the mailbox of the job scheduler, which runs at the leader."""
        self._jobs = jobs

    def load(self) -> Result[None, errors.Failure]:
        """Open the data folder; fails with an error kind of the storage."""
        outcome = self._storage.open()
        if outcome.is_err():
            return outcome
        loaded = outcome.unwrap()
        self._raft = raft.Raft(
            raft.Config(
                self._config.node,
                self._address,
                loaded.stamp,
                dict(self._config.control.initial_members),
                self._config.control.heartbeat_s,
                self._config.control.election_timeout_s,
            ),
            loaded.hard_state,
            loaded.log,
            self._random,
            self._get_now(),
            self._started_at,
        )
        snapshot = loaded.log.snapshot
        if snapshot is not None:
            try:
                state = records.decode_state(snapshot.data)
            except decoding.DecodingError as error:
                return member_calls.build_failure(
                    errors.ErrorKind.FORMAT_UNSUPPORTED,
                    f'the state of the snapshot is unreadable: {error}',
                )
            self._restore_snapshot(snapshot, state)
        LOG.info(
            logs.format_event(
                'folder_opened',
                folder=self._config.data_folder,
                term=loaded.hard_state.term,
                stamp=loaded.stamp,
                last_index=loaded.log.last_index,
                snapshot_index=loaded.log.snapshot_index,
            )
        )
        return Ok(None)

    async def open(self) -> None:
        """Start the tick timer; ``load`` must have been called."""
        self._timers.subscribe_every(
            self.mailbox, TICK, self._config.control.tick_s
        )

    async def close(self) -> None:
        """Release the data folder."""
        self._timers.cancel(self.mailbox, TICK)
        self._storage.close()

    async def handle(self, message: Any) -> None:
        """Handle all waiting messages, up to a limit, with one sync."""
        actions: list[events.Action] = []
        count = 0
        while message is not None:
            actions += _handle_message(message, self)
            count += 1
            if count >= MAX_BATCH_MESSAGES:
                break
            message = self.mailbox.get_nowait()
        while actions:
            actions = await self._perform_actions(actions)
        await self._write_waiting_when_due()
        if self._is_manager_behind and self._is_leader:
            self._start_leader_tasks()
        await self._take_snapshot_when_due()

    def _get_now(self) -> float:
        return self._timers.clock.get_monotonic()

    def _handle_event(self, event: events.Event) -> list[events.Action]:
        return self._raft.handle(event, self._get_now())

    async def _perform_actions(
        self, actions: list[events.Action]
    ) -> list[events.Action]:
        """Perform actions with one sync; return the resulting actions."""
        persists = [a for a in actions if isinstance(a, events.Persist)]
        has_snapshot = any(
            isinstance(action, events.InstallSnapshot) for action in actions
        )
        if not persists and not has_snapshot:
            for action in actions:
                _perform_action(action, self)
            return []
        if has_snapshot:
            return await self._perform_in_order(actions)
        rest = self._send_appends_early(actions, persists)
        try:
            await self._writer.write_persists(persists)
        except storage.DiskFullError as error:
            return self._suspend(rest, error)
        for action in rest:
            _perform_action(action, self)
        return self._confirm_persisted(persists)

    def _send_appends_early(
        self,
        actions: list[events.Action],
        persists: list[events.Persist],
    ) -> list[events.Action]:
        """Send appends before this member syncs the same entries.

        Returns the remaining actions. A leader counts its own entries only
        after the sync, so followers may store them earlier. A changed hard
        state must be synced first, so nothing is sent early then.
        """
        stored = self._storage.hard_state
        if any(persist.hard_state != stored for persist in persists):
            return actions
        rest = []
        for action in actions:
            if isinstance(action, events.Send) and isinstance(
                action.message, messages.Append
            ):
                _perform_action(action, self)
            else:
                rest.append(action)
        return rest

    async def _perform_in_order(
        self, actions: list[events.Action]
    ) -> list[events.Action]:
        following: list[events.Action] = []
        for position, action in enumerate(actions):
            try:
                following += await self._perform_stored_action(action)
            except storage.DiskFullError as error:
                return following + self._suspend(actions[position:], error)
        return following

    async def _perform_stored_action(
        self, action: events.Action
    ) -> list[events.Action]:
        """Perform an action, which may need a sync of its own."""
        if isinstance(action, events.Persist):
            await self._writer.write_persists([action])
            return self._confirm_persisted([action])
        if isinstance(action, events.InstallSnapshot):
            await self._install_snapshot(action.snapshot)
        else:
            _perform_action(action, self)
        return []

    # Full disk.

    def _suspend(
        self, actions: list[events.Action], error: storage.DiskFullError
    ) -> list[events.Action]:
        """Leave the group until the disk has room.

        ``actions`` are those that were not performed.
        """
        LOG.error(
            logs.format_event(
                'disk_full',
                error=error.failure.message,
                was_leader=self._is_leader,
                term=self._raft.term,
            )
        )
        self._write_retry_at = self._get_now() + WRITE_RETRY_S
        self._unwritten, ready = suspension.split_actions(actions)
        for action in ready:
            _perform_action(action, self)
        return self._handle_event(events.StorageBlocked())

    async def _write_waiting_when_due(self) -> None:
        """Write what waits for room; return to the group once all is."""
        if not self._unwritten or self._get_now() < self._write_retry_at:
            return
        waiting = suspension.merge_persists(self._unwritten)
        self._unwritten = []
        for position, action in enumerate(waiting):
            try:
                # A suspended member reacts to nothing, so there are no
                # resulting actions.
                await self._perform_stored_action(action)
            except storage.DiskFullError:
                self._unwritten = waiting[position:]
                self._write_retry_at = self._get_now() + WRITE_RETRY_S
                return
        self._handle_event(events.StorageResumed())
        LOG.info(logs.format_event('disk_has_room', term=self._raft.term))

    def _confirm_persisted(
        self, persists: list[events.Persist]
    ) -> list[events.Action]:
        entries = [e for persist in persists for e in persist.entries]
        if not entries:
            return []
        last = entries[-1]
        return self._handle_event(events.Persisted(last.index, last.term))

    async def _install_snapshot(self, snapshot: events.Snapshot) -> None:
        last = self._raft.log.last_index
        rest = self._raft.log.get_entries(snapshot.last_index + 1, last)
        # Decoded first: a state that cannot be read must not replace files.
        state = records.decode_state(snapshot.data)
        await self._writer.save_snapshot(snapshot, rest)
        self._restore_snapshot(snapshot, state)
        self._send_updates(
            self._feed.handle(feed.VersionCommitted(self._state))
        )

    def _restore_snapshot(
        self, snapshot: events.Snapshot, state: records.State
    ) -> None:
        self._state = state
        self._applied_index = snapshot.last_index
        LOG.info(
            logs.format_event(
                'snapshot_restored',
                index=snapshot.last_index,
                version=self._state.version,
            )
        )

    async def _take_snapshot_when_due(self) -> None:
        if not self._is_snapshot_due():
            return
        snapshot = events.Snapshot(
            ids.LogIndex(self._applied_index),
            self._raft.log.get_term(self._applied_index),
            self._raft.log.find_members_at(self._applied_index),
            records.encode_state(self._state),
        )
        rest = self._raft.log.get_entries(
            self._applied_index + 1, self._raft.log.last_index
        )
        try:
            await self._writer.save_snapshot(snapshot, rest)
        except storage.DiskFullError as error:
            # The log goes on in its segment until there is room.
            self._snapshot_retry_at = self._get_now() + SNAPSHOT_RETRY_S
            LOG.warning(
                logs.format_event(
                    'snapshot_postponed', error=error.failure.message
                )
            )
            return
        LOG.info(
            logs.format_event(
                'snapshot_taken',
                index=snapshot.last_index,
                bytes=len(snapshot.data),
            )
        )
        for action in self._handle_event(events.SnapshotTaken(snapshot)):
            _perform_action(action, self)

    def _is_snapshot_due(self) -> bool:
        """Return whether the log is long or large enough to be compacted."""
        if self._unwritten or self._get_now() < self._snapshot_retry_at:
            return False
        entry_count = self._applied_index - self._raft.log.snapshot_index
        limits = self._config.control
        return entry_count >= limits.snapshot_entries or (
            entry_count > 0
            and self._storage.segment_bytes >= limits.snapshot_bytes
        )

    # Calls from other processes.

    def _store_peer_address(self, header: messages.Header) -> None:
        self._peer_addresses.pop(header.sender, None)
        self._peer_addresses[header.sender] = header.reply_address
        if len(self._peer_addresses) > MAX_PEER_ADDRESSES:
            oldest = next(iter(self._peer_addresses))
            del self._peer_addresses[oldest]

    def _change_members(
        self, token: int, request: requests.ChangeMembers
    ) -> list[events.Action]:
        """Start a membership change, or confirm one that is in force.

        A caller that lost the answer repeats its request.
        """
        if self._is_leader and request.is_in_force(self._raft.members):
            self._answer_call(token, Ok(None))
            return []
        return self._handle_event(
            events.MembersChangeRequested(
                token, request.added_member, request.remove
            )
        )

    def _answer_call(
        self, token: int, outcome: Result[Any, errors.Failure]
    ) -> None:
        self._calls.answer(token, outcome, self._get_leader_address())

    def _answer_query(
        self, header: messages.Header, outcome: Result[bytes, errors.Failure]
    ) -> None:
        message = member_calls.pack_query_reply(
            outcome, self._get_leader_address()
        )
        self._calls.send_reply(header, message)

    def _get_leader_address(self) -> str:
        leader = self._raft.leader
        if leader is None:
            return ''
        if leader == self._config.node:
            return self._address
        if self._raft.members is None:
            return self._config.control.initial_members.get(leader, '')
        for member in self._raft.members.members:
            if member.name == leader:
                return member.address
        return ''

    def _add_subscriber(self, received: messages.Received) -> None:
        known = {section.value for section in changes.Section}
        sections = frozenset(
            changes.Section(name)
            for name in received.message.sections
            if name in known
        )
        self._send_updates(
            self._feed.handle(
                feed.Subscribed(
                    received.header.sender,
                    received.header.reply_address,
                    received.message.version,
                    sections,
                )
            )
        )

    def _send_updates(self, updates: list[feed.SendUpdate]) -> None:
        for update in updates:
            message = messages.ConfigDelta(
                update.from_version,
                update.to_version,
                msgspec.msgpack.encode(update.edits),
                update.full,
            )
            self._sender.put(transport.SendTo(update.address, message))

    # Effects of committed entries.

    def _apply_entries(self, entries: tuple[messages.Entry, ...]) -> None:
        for entry in entries:
            self._apply_entry(entry)
            self._applied_index = entry.index
        self._answer_ready_reads()

    def _apply_entry(self, entry: messages.Entry) -> None:
        outcome: Result[Any, errors.Failure] = Ok(None)
        if entry.kind == events.EntryKind.COMMAND:
            command = requests.decode(entry.data)
            version = self._state.version
            outcome = machine.apply_command(command, self._state)
            self._publish_command(command, version)
        token = self._calls.take_accepted(entry.index, entry.term)
        if token is not None:
            self._answer_call(token, outcome)

    def _publish_command(
        self, command: commands.Command, version: ids.Version
    ) -> None:
        if isinstance(command, commands.RecordProgress):
            return
        if self._is_leader and self._manager is not None:
            outcome = self._manager.put(
                member_messages.CommandApplied(command)
            )
            # A manager that missed a command needs the full state again.
            self._is_manager_behind |= outcome.is_err()
        if self._state.version == version:
            return
        LOG.info(
            logs.format_event(
                'version_applied',
                version=self._state.version,
                operation=command.operation_id,
                operator=command.operator,
            )
        )
        self._send_updates(
            self._feed.handle(feed.VersionCommitted(self._state))
        )

    def _answer_ready_reads(self) -> None:
        waiting = []
        for token, index in self._ready_reads:
            if index <= self._applied_index:
                self._answer_read(token)
            else:
                waiting.append((token, index))
        self._ready_reads = waiting

    def _answer_read(self, token: int) -> None:
        call = self._calls.get(token)
        if call is None:
            return
        if isinstance(call, member_calls.LocalCall):
            self._answer_call(token, Ok(None))
            return
        if isinstance(call.query, queries.Explain) and self._manager:
            # The answer includes explanations from the fleet manager.
            self._calls.remove(token)
            self._request_explanation(call)
            return
        if isinstance(call.query, queries.ReportDemand) and self._manager:
            # A report that the mailbox rejects is replaced by the next one.
            self._manager.put(member_messages.DemandReceived(call.query))
        content = self._get_query_answer(call.query)
        self._answer_call(token, Ok(msgspec.json.encode(content)))

    def _get_query_answer(self, query: queries.Query) -> dict[str, Any]:
        content = queries.answer_query(query, self._state)
        if isinstance(query, queries.GetMembers):
            members = self._raft.members.members if self._raft.members else ()
            return {'addresses': [item.address for item in members]}
        if isinstance(query, queries.GetStatus):
            content['group'] = self._describe_group()
        return content

    def _request_explanation(self, call: member_calls.RemoteCall) -> None:
        content = queries.answer_query(call.query, self._state)
        answer: reply.Reply = reply.Reply()
        answer.add_callback(
            lambda outcome: self._send_explanation(call, content, outcome)
        )
        outcome = self._manager.put(
            member_messages.ExplainRequested(call.query, answer)
        )
        if outcome.is_err():
            answer.resolve(outcome)

    def _send_explanation(
        self,
        call: member_calls.RemoteCall,
        content: dict[str, Any],
        outcome: Result[Any, errors.Failure],
    ) -> None:
        content['explanations'] = outcome.unwrap_or([])
        self._answer_query(call.header, Ok(msgspec.json.encode(content)))

    def _get_group_addresses(self) -> messages.GroupAddresses:
        members = self._raft.members.members if self._raft.members else ()
        return messages.GroupAddresses(
            self._raft.term,
            self._get_leader_address(),
            tuple(item.address for item in members),
        )

    def _describe_group(self) -> dict[str, Any]:
        return member_status.describe_group(
            self._raft, self._feed.versions, self._peer_states
        )

    def _update_peer_states(
        self, change: membership_events.PeersChanged
    ) -> None:
        self._peer_states = {
            node: peer.state for node, peer in change.peers.items()
        }
        for node, state in self._peer_states.items():
            if state is states.PeerState.LEFT:
                self._feed.handle(feed.NodeGone(node))

    def _change_role(self, action: events.RoleChanged) -> None:
        LOG.info(
            logs.format_event(
                'role_changed',
                role=action.role,
                term=action.term,
                leader=action.leader,
            )
        )
        is_leader = action.role is states.RaftRole.LEADER
        if self._is_leader and not is_leader:
            self._lose_leadership()
        self._is_leader = is_leader

    def _lose_leadership(self) -> None:
        """Answer accepted calls with ``CHANGE_UNKNOWN``; stop leader tasks.

        The entries of these calls may still be committed by a later leader.
        """
        for token in self._calls.take_all_accepted():
            self._answer_call(
                token,
                member_calls.build_failure(
                    errors.ErrorKind.CHANGE_UNKNOWN,
                    'the leader changed before the outcome was known',
                ),
            )
        self._has_started_leader_tasks = False
        for listener in (self._manager, self._jobs):
            if listener is not None:
                listener.put(member_messages.LeadershipLost())

    def _start_leader_tasks(self) -> None:
        """Send the state to the tasks that run at the leader.

        This happens once the first entry of the term is applied.
        """
        self._has_started_leader_tasks = True
        epoch = ids.Epoch(self._raft.term)
        if self._manager is not None:
            encoded_state = records.encode_state(
                msgspec.structs.replace(
                    self._state,
                    claims={},
                    released={},
                    ledger=ledger.Ledger(),
                )
            )
            self._manager.put(
                member_messages.LeadershipGained(epoch, encoded_state)
            )
        self._resend_ledger()

    def _resend_ledger(self) -> None:
        if self._jobs is None or not self._has_started_leader_tasks:
            return
        encoded_state = records.encode_state(
            records.State(ledger=self._state.ledger)
        )
        self._jobs.put(
            member_messages.LeadershipGained(
                ids.Epoch(self._raft.term), encoded_state
            )
        )

    def _forward_jobs_call(self, received: messages.Received) -> None:
        """Forward a call to the job scheduler, which runs at the leader."""
        header = received.header
        if self._jobs is None or not self._has_started_leader_tasks:
            leader = self._get_leader_address()
            if self._is_leader:
                # The leader's state is incomplete until the first entry of
                # its term is applied, so the caller has to retry.
                leader = ''
            self._calls.send_reply(
                header,
                messages.QueryReply(
                    errors.ErrorKind.NOT_LEADER.value, '', b'', leader
                ),
            )
            return
        try:
            call = job_calls.decode_call(received.message.parameters)
        except decoding.DecodingError as error:
            failure = member_calls.build_failure(
                errors.ErrorKind.PROTOCOL_ERROR, str(error)
            )
            self._answer_query(header, failure)
            return
        answer: reply.Reply = reply.Reply()
        answer.add_callback(
            lambda outcome: self._send_jobs_answer(header, outcome)
        )
        request = job_calls.CallRequest(call, answer, self._get_now())
        outcome = self._jobs.put(request)
        if outcome.is_err():
            answer.resolve(outcome)

    def _send_jobs_answer(
        self, header: messages.Header, outcome: Result[Any, errors.Failure]
    ) -> None:
        if outcome.is_ok():
            content = job_calls.encode_answer(outcome.unwrap())
            self._answer_query(header, Ok(content))
            return
        failure = outcome.unwrap_err()
        # The answer of a failed call holds the retry delay in seconds.
        self._calls.send_reply(
            header,
            messages.QueryReply(
                failure.kind.value,
                failure.message,
                job_calls.encode_answer(failure.retry_after_s),
                self._get_leader_address(),
            ),
        )

    def get_status(self) -> dict[str, Any]:
        """Return the local status of this member, which may be stale."""
        return {
            **member_status.describe_member(self._raft),
            'applied_index': self._applied_index,
            'version': self._state.version,
            'syncs': self._storage.sync_count,
            'is_disk_full': bool(self._unwritten),
        }

    def get_metrics(self) -> dict[str, Any]:
        """Return the status with the values that metrics export."""
        is_leader = self._raft.role is states.RaftRole.LEADER
        return {
            **self.get_status(),
            'pending_calls': len(self._calls),
            'sync_seconds': self._writer.sync_seconds,
            'fleet': fleet_metrics.compute_fleet_metrics(self._state)
            if is_leader
            else None,
        }

    def get_dump(self) -> dict[str, Any]:
        """Return all state that this member holds."""
        return {
            'consensus': self.get_status(),
            'group': self._describe_group(),
            'mailbox_length': len(self.mailbox),
            'pending_calls': len(self._calls),
            'state': queries.answer_query(queries.GetDump(), self._state),
        }


@functools.singledispatch
def _handle_message(message: Any, member: MemberTask) -> list[events.Action]:
    """Handle a message of the mailbox and return the resulting actions."""
    raise TypeError(f'unknown message {type(message).__name__}')


@_handle_message.register
def _(message: service.TimerFired, member: MemberTask) -> list[events.Action]:
    return member._handle_event(events.Tick())


@_handle_message.register
def _(message: messages.Received, member: MemberTask) -> list[events.Action]:
    return _handle_remote_message(message.message, member, message)


@_handle_message.register
def _(
    message: member_messages.GetMemberStatus, member: MemberTask
) -> list[events.Action]:
    message.answer.resolve(Ok(member.get_status()))
    return []


@_handle_message.register
def _(
    message: member_messages.GetGroupAddresses, member: MemberTask
) -> list[events.Action]:
    message.answer.resolve(Ok(member._get_group_addresses()))
    return []


@_handle_message.register
def _(
    message: member_messages.GetMemberMetrics, member: MemberTask
) -> list[events.Action]:
    message.answer.resolve(Ok(member.get_metrics()))
    return []


@_handle_message.register
def _(
    message: member_messages.GetMemberDump, member: MemberTask
) -> list[events.Action]:
    message.answer.resolve(Ok(member.get_dump()))
    return []


@_handle_message.register
def _(
    message: member_messages.SubmitCommand, member: MemberTask
) -> list[events.Action]:
    token = member._calls.add(member_calls.LocalCall(message.answer))
    if message.command is None:
        return member._handle_event(events.ReadRequested(token))
    try:
        data = requests.encode(message.command)
    except (OverflowError, ValueError) as error:
        data = member_calls.build_failure(
            errors.ErrorKind.INVALID_REQUEST, str(error)
        )
    if data.is_err():
        member._answer_call(token, data)
        return []
    return member._handle_event(events.ProposeRequested(token, data.unwrap()))


@_handle_message.register
def _(
    message: member_messages.TransferLeadership, member: MemberTask
) -> list[events.Action]:
    message.answer.resolve(Ok(member._is_leader))
    return member._handle_event(events.LeadershipTransferRequested())


@_handle_message.register
def _(
    message: member_messages.ResendState, member: MemberTask
) -> list[events.Action]:
    member._resend_ledger()
    return []


@_handle_message.register
def _(
    message: membership_events.PeersChanged, member: MemberTask
) -> list[events.Action]:
    member._update_peer_states(message)
    return []


@functools.singledispatch
def _handle_remote_message(
    message: Any, member: MemberTask, received: messages.Received
) -> list[events.Action]:
    """Handle a message of another process; the default is a Raft message."""
    problem = validation.find_problem(message)
    if problem:
        LOG.warning(
            logs.format_event(
                'peer_message_malformed',
                sender=received.header.sender,
                kind=type(message).__name__,
                problem=problem,
            )
        )
        return []
    member._store_peer_address(received.header)
    return member._handle_event(
        events.MessageReceived(received.header.sender, message)
    )


@_handle_remote_message.register
def _(
    message: messages.Propose,
    member: MemberTask,
    received: messages.Received,
) -> list[events.Action]:
    try:
        request = requests.check(message.command)
    except decoding.DecodingError as error:
        failure = member_calls.build_failure(
            errors.ErrorKind.PROTOCOL_ERROR, str(error)
        )
        member._calls.send_reply(received.header, answers.pack_reply(failure))
        return []
    token = member._calls.add(member_calls.RemoteCall(received.header))
    if isinstance(request, requests.ChangeMembers):
        return member._change_members(token, request)
    return member._handle_event(
        events.ProposeRequested(token, message.command)
    )


@_handle_remote_message.register
def _(
    message: messages.Query,
    member: MemberTask,
    received: messages.Received,
) -> list[events.Action]:
    if message.subject == job_calls.SUBJECT:
        member._forward_jobs_call(received)
        return []
    try:
        query = queries.decode_query(message.parameters)
    except decoding.DecodingError as error:
        failure = member_calls.build_failure(
            errors.ErrorKind.PROTOCOL_ERROR, str(error)
        )
        member._answer_query(received.header, failure)
        return []
    token = member._calls.add(member_calls.RemoteCall(received.header, query))
    return member._handle_event(events.ReadRequested(token))


@_handle_remote_message.register
def _(
    message: messages.Subscribe,
    member: MemberTask,
    received: messages.Received,
) -> list[events.Action]:
    member._add_subscriber(received)
    return []


@_handle_remote_message.register
def _(
    message: messages.VersionReport,
    member: MemberTask,
    received: messages.Received,
) -> list[events.Action]:
    member._feed.handle(
        feed.VersionReported(received.header.sender, message.version)
    )
    return []


@functools.singledispatch
def _perform_action(action: Any, member: MemberTask) -> None:
    """Perform an action that needs no sync."""
    raise TypeError(f'unknown action {type(action).__name__}')


@_perform_action.register
def _(action: events.Persist, member: MemberTask) -> None:
    """Do nothing: the entries were written before."""


@_perform_action.register
def _(action: events.Send, member: MemberTask) -> None:
    # A joining member has no member list yet, and the list of a lagging one is
    # out of date, so replies use the address that the sender gave.
    address = action.address or member._peer_addresses.get(action.to)
    if address:
        member._sender.put(transport.SendTo(address, action.message))


@_perform_action.register
def _(action: events.Apply, member: MemberTask) -> None:
    member._apply_entries(action.entries)
    # The first entry of a term is a barrier or member list. Later membership
    # changes in the same term find the leader tasks started.
    if (member._is_leader and not member._has_started_leader_tasks) and any(
        entry.kind != events.EntryKind.COMMAND
        and entry.term == member._raft.term
        for entry in action.entries
    ):
        member._start_leader_tasks()


@_perform_action.register
def _(action: events.Accepted, member: MemberTask) -> None:
    member._calls.accept(action.token, action.index, action.term)


@_perform_action.register
def _(action: events.ReadReady, member: MemberTask) -> None:
    member._ready_reads.append((action.token, action.index))
    member._answer_ready_reads()


@_perform_action.register
def _(action: events.Refuse, member: MemberTask) -> None:
    member._answer_call(
        action.token,
        member_calls.build_failure(action.kind, action.message),
    )


@_perform_action.register
def _(action: events.RoleChanged, member: MemberTask) -> None:
    member._change_role(action)


@_perform_action.register
def _(action: events.MembersChanged, member: MemberTask) -> None:
    LOG.info(
        logs.format_event(
            'members_changed',
            members=[m.name for m in action.members.members],
            voters=[m.name for m in action.members.members if m.voter],
        )
    )


@_perform_action.register
def _(action: events.StampMismatch, member: MemberTask) -> None:
    LOG.warning(
        logs.format_event(
            'member_with_other_files', member=action.name, stamp=action.stamp
        )
    )
