"""Task of a control member: log, data folder, state machine and feed."""

import logging
import random
from typing import Any

from result import Ok
from result import Result

from orioleshore import settings
from orioleshore.consensus import events
from orioleshore.consensus import leader_tasks
from orioleshore.consensus import member_calls
from orioleshore.consensus import member_core
from orioleshore.consensus import member_handlers
from orioleshore.consensus import persistence
from orioleshore.consensus import raft
from orioleshore.consensus import storage
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.state import records
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.telemetry import logs
from orioleshore.timers import service

LOG = logging.getLogger(__name__)

MAILBOX_CAPACITY = 4_096
# Messages handled with one sync; bounds the time that one batch takes.
MAX_BATCH_MESSAGES = 256

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
        self._timers = timers
        self._random = randomness
        self._started_at = started_at
        self._core = member_core.MemberCore(
            config, address, self.mailbox, sender, timers, files
        )

    @property
    def failure(self) -> errors.Failure | None:
        return self._core.writer.failure

    def set_manager(self, manager: mailbox.Mailbox) -> None:
        """Set the mailbox of the fleet manager, which runs at the leader."""
        self._core.manager = manager

    def set_job_scheduler(self, jobs: mailbox.Mailbox) -> None:
        """Set the mailbox of the job scheduler, which runs at the leader."""
        self._core.jobs = jobs

    def load(self) -> Result[None, errors.Failure]:
        """Open the data folder; fails with an error kind of the storage."""
        outcome = self._core.storage.open()
        if outcome.is_err():
            return outcome
        loaded = outcome.unwrap()
        self._core.raft = raft.Raft(
            raft.Config(
                self._core.config.node,
                self._core.address,
                loaded.stamp,
                dict(self._core.config.control.initial_members),
                self._core.config.control.heartbeat_s,
                self._core.config.control.election_timeout_s,
            ),
            loaded.hard_state,
            loaded.log,
            self._random,
            self._core.get_now(),
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
            persistence.restore_snapshot(self._core, snapshot, state)
        LOG.info(
            logs.format_event(
                'folder_opened',
                folder=self._core.config.data_folder,
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
            self.mailbox, TICK, self._core.config.control.tick_s
        )

    async def close(self) -> None:
        """Release the data folder."""
        self._timers.cancel(self.mailbox, TICK)
        self._core.storage.close()

    async def handle(self, message: Any) -> None:
        """Handle all waiting messages, up to a limit, with one sync."""
        core = self._core
        actions: list[events.Action] = []
        count = 0
        while message is not None:
            actions += member_handlers.handle_message(message, core)
            count += 1
            if count >= MAX_BATCH_MESSAGES:
                break
            message = self.mailbox.get_nowait()
        while actions:
            actions = await persistence.perform_actions(core, actions)
        await persistence.write_waiting_when_due(core)
        if core.is_manager_behind and core.has_started_leader_tasks:
            leader_tasks.start_leader_tasks(core)
        await persistence.take_snapshot_when_due(core)

    def get_status(self) -> dict[str, Any]:
        """Return the local status of this member, which may be stale."""
        return self._core.get_status()

    def get_metrics(self) -> dict[str, Any]:
        """Return the status with the values that metrics export."""
        return self._core.get_metrics()

    def get_dump(self) -> dict[str, Any]:
        """Return all state that this member holds."""
        return self._core.get_dump()
