"""Simulation of a job planner with a fake platform and a manual clock."""

import collections

import msgspec

from fakes import tasks as fake_tasks
from orioleshore.fleet import events
from orioleshore.fleet import jobs
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import job_commands
from orioleshore.state import machine
from orioleshore.tests import builders


class JobSession:
    """Runs the job planner with a state machine and fake workers.

    Proposals, calls and reports between them can be delayed, lost or
    repeated. The invariants are checked after every event.
    """

    def __init__(self, document: documents.Document) -> None:
        self.state = builders.build_state(document)
        self.now = builders.NOW
        self.epoch = ids.Epoch(1)
        self.fake = fake_tasks.FakeTasks()
        self.planner = self.build_planner()
        self.proposals: collections.deque = collections.deque()
        self.calls: collections.deque = collections.deque()
        self.reports: list[events.TaskReported] = []
        self.records: list[tuple[float, events.RecordDecision]] = []
        # Kinds of calls whose answers are lost.
        self.lost_answers: set[events.CallKind] = set()
        self._is_replay_requested = False
        self._change_count = 1
        self.handle_event(events.LeadershipGained(self.epoch, self.state))

    def build_planner(self) -> jobs.JobPlanner:
        """Return the planner of a new leader."""
        return jobs.JobPlanner()

    def handle_event(self, event: events.Event) -> None:
        """Let the planner handle an event, and check the invariants."""
        self._collect_actions(event)
        self.check_invariants()

    def _collect_actions(self, event: events.Event) -> None:
        actions = self.planner.handle(
            event, self.state, self.epoch, ids.WallTime(self.now)
        )
        for action in actions:
            if isinstance(action, events.Propose):
                self.proposals.append(action.command)
            elif isinstance(action, events.CallPlatform):
                self.calls.append(action)
            elif isinstance(action, events.ReplayReports):
                self._is_replay_requested = True
            else:
                self.records.append((self.now - builders.NOW, action))

    def apply_command(self, command: commands.Command) -> None:
        """Apply a command, and deliver its outcome to the planner."""
        command = msgspec.structs.replace(
            command, time=max(command.time, self.now)
        )
        outcome = machine.apply_command(command, self.state)
        if outcome.is_ok():
            self.handle_event(events.CommandApplied(command))
            return
        reason = outcome.unwrap_err().message
        self.handle_event(events.CommandRefused(command, reason))

    def commit_proposals(self) -> None:
        """Commit all proposals."""
        for _ in range(len(self.proposals)):
            self.apply_command(self.proposals.popleft())

    def deliver_calls(self) -> None:
        """Deliver pending calls to the platform, and return its answers."""
        for _ in range(len(self.calls)):
            call = self.calls.popleft()
            if call.host in self.fake.cut_off:
                continue
            answer = self.fake.call(
                call.call,
                call.kind.value,
                call.epoch,
                call.host,
                call.job,
                call.attempt,
                call.parameters,
                self.now,
            )
            if call.kind in self.lost_answers:
                continue
            ran = states.Ran.NO if answer.ran else states.Ran.UNKNOWN
            self.handle_event(
                events.PlatformAnswered(
                    call.call, answer.status < 300, answer.error, ran
                )
            )

    def miss_reports(self) -> None:
        """Collect reports of the platform without a leader to handle them."""
        self.reports += [
            msgspec.convert(report, events.TaskReported)
            for report in self.fake.advance(self.now)
        ]

    def deliver_reports(self) -> None:
        """Deliver the reports of the fake workers."""
        replayed, self._is_replay_requested = self._is_replay_requested, False
        if replayed:
            for report in list(self.reports):
                self.handle_event(report)
        for report in self.fake.advance(self.now):
            event = msgspec.convert(report, events.TaskReported)
            self.reports.append(event)
            self.handle_event(event)

    def advance(self, step_s: float = 0.5) -> None:
        """Advance the clock, and deliver everything that is pending."""
        self.now += step_s
        self.handle_event(events.TimerFired())
        self.commit_proposals()
        self.deliver_calls()
        self.deliver_reports()
        self.commit_proposals()

    def run_for(self, seconds: float) -> None:
        """Advance the clock in steps of 0.5 s."""
        for _ in range(int(seconds / 0.5)):
            self.advance()

    def change_document(self, **fields) -> None:
        """Change the document."""
        self._change_count += 1
        document = msgspec.structs.replace(self.state.document, **fields)
        self.apply_command(
            builders.build_change(
                document,
                self.state.document,
                self.state.version,
                self._change_count,
                self.now,
            )
        )

    def add_jobs(self, *added: documents.Job) -> None:
        """Add jobs to the document."""
        self.change_document(jobs=(*self.state.document.jobs, *added))

    def remove_jobs(self, *names: str) -> None:
        """Remove jobs from the document."""
        kept = tuple(
            job for job in self.state.document.jobs if job.name not in names
        )
        self.change_document(jobs=kept)

    def set_host_state(self, host: str, state: states.HostState) -> None:
        """Change the state of a host, with a permission for a drain."""
        epoch = self.state.hosts[ids.HostId(host)].epoch
        if state is states.HostState.DRAINING:
            self.apply_command(
                commands.GrantPermission(
                    time=ids.WallTime(self.now),
                    permission=ids.PermissionId(f'test/{host}'),
                    host=ids.HostId(host),
                    host_epoch=epoch,
                    purpose=states.Purpose.MAINTENANCE,
                    epoch=self.epoch,
                    until=ids.WallTime(self.now + 900.0),
                )
            )
        self.apply_command(
            commands.SetHostState(
                time=ids.WallTime(self.now),
                host=ids.HostId(host),
                host_epoch=epoch,
                state=state,
            )
        )

    def change_leader(self) -> None:
        """Replace the planner; pending proposals and calls remain."""
        self.epoch = ids.Epoch(self.epoch + 1)
        self.planner = self.build_planner()
        self.handle_event(events.LeadershipGained(self.epoch, self.state))

    def get_state(self, job: str) -> states.JobState:
        """Return the state of a job."""
        return self.state.jobs[ids.JobId(job)].state

    def get_decisions(self, subject: str) -> list[str]:
        """Return the decisions recorded about a subject."""
        return [
            record.decision
            for _, record in self.records
            if record.subject == subject
        ]

    def check_invariants(self) -> None:
        """Check the invariants of jobs."""
        for job in self.state.document.jobs:
            record = self.state.jobs[job.name]
            assert len(record.attempts) <= job_commands.MAX_ATTEMPTS_KEPT
            assert len(self.fake.get_live_runs(job.name)) <= 1, job.name
            if not job.idempotent:
                assert self.fake.starts[job.name] <= 1, job.name
            if record.state is states.JobState.WAITING:
                assert self._is_pending(job), f'{job.name} is lost'
        self._check_reservations()

    def _is_pending(self, job: documents.Job) -> bool:
        planner = self.planner
        queue = planner._core.queues.get(job.pool, ())
        return any(
            job.name in place
            for place in (
                queue,
                planner._core.delayed_jobs,
                planner._core.pending_placements,
                planner._core.claims,
            )
        )

    def _check_reservations(self) -> None:
        planner = self.planner
        held = collections.Counter(planner._core.tasks.keys())
        held.update(planner._core.pending_placements.keys())
        assert all(count == 1 for count in held.values()), held
        held.update(planner._core.claims.keys())
        for worker in planner._core.worker_table._workers.values():
            cores = sum(r.size.cores for r in worker.tasks.values())
            assert abs(cores - worker.used.cores) < 1e-6
            assert set(worker.tasks) <= set(held), worker
        used = planner._core.ledger.get_total_used().cores
        charged = [t.size.cores for t in planner._core.tasks.values()]
        charged += [
            p.size.cores for p in planner._core.pending_placements.values()
        ]
        assert abs(used - sum(charged)) < 1e-6
