"""Progress of a job and the tasks that may start, derived from its record.

Answers jobs of many tasks and many occurrences: an occurrence takes up state
from the time at which it is due until it is done, and the steps that may start
are known without a look at the others.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator

from orioleshore.jobs import ledger
from orioleshore.jobs import specs
from orioleshore.jobs import waiting
from orioleshore.model import ids
from orioleshore.model import states

MS_PER_S = 1_000.0
# Occurrences of a job that are due and not done, and take up state. Further
# ones wait for these; a job that falls so far behind lacks capacity anyway.
MAX_OPEN_OCCURRENCES = 64

# Tasks of a job that a new leader restores before other tasks of its process
# get a turn.
RESTORED_TASKS_PER_STEP = 1_000

GroupKey = tuple[int, int]


class Group:
    """The tasks of one step in one occurrence."""

    def __init__(
        self, occurrence: int, position: int, step: specs.Step
    ) -> None:
        self.occurrence = occurrence
        self.position = position
        self.step = step
        self.unfinished = step.tasks
        self.waiting = waiting.WaitingTasks(step.tasks)
        # Number of running tasks on each worker that runs any.
        self.running_by_worker: collections.Counter[ids.WorkerId] = (
            collections.Counter()
        )
        # Wall time since which tasks may start, None before.
        self.startable_since: ids.WallTime | None = None
        # Planned worker of each gang member, and the monotonic time at which
        # the plan expires.
        self.planned_workers: dict[int, ids.WorkerId] = {}
        self.plan_expires_at = 0.0
        self.plan_attempt = ids.Attempt(0)

    def can_use_worker(self, worker: ids.WorkerId) -> bool:
        """Return whether the step's limit per worker allows another task."""
        limit = self.step.max_per_worker
        return not limit or self.running_by_worker[worker] < limit

    def record_start(self, worker: ids.WorkerId) -> None:
        """Count a task that runs on a worker."""
        self.running_by_worker[worker] += 1

    def record_end(self, worker: ids.WorkerId) -> None:
        """Count a task that no longer runs on a worker."""
        self.running_by_worker[worker] -= 1
        if not self.running_by_worker[worker]:
            del self.running_by_worker[worker]

    def finish(self) -> None:
        """Record that no task is left to do."""
        self.unfinished = 0
        self.waiting.clear()


class JobProgress:
    """Scheduling state of a job that has not ended.

    ``groups`` holds the steps of the occurrences that are open: those that are
    due and not done, and the next one.
    """

    def __init__(
        self,
        name: ids.JobId,
        record: ledger.JobRecord,
        restores_runs: bool = True,
    ) -> None:
        self.name = name
        self.record = record
        self.is_long_running = record.job.is_long_running
        self.due_at = record.accepted_at + record.objective_ms / MS_PER_S
        self.running: dict[ids.TaskName, ids.WorkerId] = {}
        # Suspect tasks that were started a moment ago, the monotonic time up
        # to which news of the last worker of one is awaited, and whether one
        # of them has run on without harm.
        self.probation: set[ids.TaskName] = set()
        self.news_due_at = 0.0
        self.has_passed_probation = False
        self.groups: dict[GroupKey, Group] = {}
        # Open groups whose earlier steps are done and that have not finished.
        self._startable: dict[GroupKey, Group] = {}
        # The next occurrence to open, and the length of the longest chain of
        # steps that remain in each open one.
        self._next_occurrence = 0
        self._steps_left: dict[int, int] = {}
        self._longest_chain = 0
        self._all_steps = specs.count_longest_chain(
            record.job.steps, [False] * len(record.job.steps)
        )
        if restores_runs:
            collections.deque(self.restore_runs(), maxlen=0)

    @property
    def steps_left(self) -> int:
        """Return the longest chain of steps that remains in an occurrence."""
        return self._longest_chain

    def get_group(self, name: ids.TaskName) -> Group:
        """Return the group of a task; a finished one if it is not open."""
        occurrence, position, _ = specs.parse_task_name(name)
        group = self.groups.get((occurrence, position))
        if group is None:
            group = Group(
                occurrence, position, self.record.job.steps[position]
            )
            group.finish()
        return group

    def get_step(self, name: ids.TaskName) -> specs.Step:
        """Return the step of a task."""
        _, position, _ = specs.parse_task_name(name)
        return self.record.job.steps[position]

    def find_startable_groups(self, wall_time: ids.WallTime) -> list[Group]:
        """Return the groups that have waiting tasks and may start them.

        ``wall_time`` is in seconds; an occurrence starts at its due time.
        """
        has_times = self.record.job.occurrences > 0
        if has_times:
            self._open_due_occurrences(wall_time)
        found = []
        for group in self._startable.values():
            if not group.waiting:
                continue
            # The next occurrence is open before it is due.
            if has_times and wall_time < self.get_due_time(group.occurrence):
                continue
            if group.startable_since is None:
                group.startable_since = wall_time
            found.append(group)
        return found

    def get_due_time(self, occurrence: int) -> ids.WallTime:
        """Return the earliest wall time at which an occurrence may start."""
        spec = self.record.job
        if not spec.occurrences:
            return ids.WallTime(0.0)
        due_ms = spec.first_due_ms + occurrence * spec.interval_ms
        return ids.WallTime(due_ms / MS_PER_S)

    def record_start(self, name: ids.TaskName, worker: ids.WorkerId) -> None:
        """Record that a task, already removed from the waiting ones, runs."""
        self.running[name] = worker
        self.get_group(name).record_start(worker)

    def record_end(self, name: ids.TaskName) -> None:
        """Record that the newest attempt of a task ended."""
        worker = self.running.pop(name, None)
        self.probation.discard(name)
        if worker is None:
            return
        group = self.get_group(name)
        group.record_end(worker)
        run = self.record.tasks.get(name)
        if run is None:
            return
        if run.stage is states.RunStage.DONE:
            self._count_done(group)
            return
        _, _, index = specs.parse_task_name(name)
        group.waiting.append(index)

    def reclaim_task(
        self, name: ids.TaskName, attempt: ids.Attempt, worker: ids.WorkerId
    ) -> bool:
        """Let a task no longer wait if its last run, given up, may count.

        Returns whether it was the run of this attempt on this worker.
        """
        run = self.record.tasks[name]
        group = self.get_group(name)
        _, _, index = specs.parse_task_name(name)
        if (
            run.stage is not states.RunStage.WAITING
            or run.attempt != attempt
            or run.worker != worker
            or group.step.is_gang
            or group.step.is_long_running
            or index not in group.waiting
        ):
            return False
        group.waiting.remove(index)
        return True

    def _count_done(self, group: Group) -> None:
        if group.step.is_gang:
            group.finish()
        elif group.unfinished:
            group.unfinished -= 1
        key = (group.occurrence, group.position)
        if not group.unfinished and key in self.groups:
            self._update_occurrence(group.occurrence)

    def _open_due_occurrences(self, wall_time: ids.WallTime) -> None:
        """Open the occurrences that are due, and the one after them.

        The hosts that alone could run the next occurrence are kept for it.
        """
        while self._can_open_next(wall_time):
            self._add_groups(self._next_occurrence)
            self._update_occurrence(self._next_occurrence)
            self._next_occurrence += 1
            self._update_longest_chain()

    def _can_open_next(self, wall_time: ids.WallTime) -> bool:
        number = self._next_occurrence
        if number >= self.record.job.occurrence_count:
            return False
        if len(self._steps_left) >= MAX_OPEN_OCCURRENCES:
            return False
        return not number or wall_time >= self.get_due_time(number - 1)

    def _add_groups(self, occurrence: int) -> None:
        for position, step in enumerate(self.record.job.steps):
            key = (occurrence, position)
            self.groups[key] = Group(occurrence, position, step)

    def _update_occurrence(self, occurrence: int) -> None:
        """Note which steps of an occurrence may start; close it if done."""
        groups = list(self._iterate_groups(occurrence))
        if not any(group.unfinished for group in groups):
            self._close_occurrence(occurrence)
            self._update_longest_chain()
            return
        self._steps_left[occurrence] = specs.count_longest_chain(
            self.record.job.steps, [not group.unfinished for group in groups]
        )
        self._update_longest_chain()
        for group in groups:
            key = (occurrence, group.position)
            if group.unfinished and not any(
                groups[earlier].unfinished for earlier in group.step.after
            ):
                self._startable[key] = group
            else:
                self._startable.pop(key, None)

    def _update_longest_chain(self) -> None:
        if self._next_occurrence < self.record.job.occurrence_count:
            self._longest_chain = self._all_steps
        else:
            self._longest_chain = max(self._steps_left.values(), default=0)

    def _close_occurrence(self, occurrence: int) -> None:
        self._steps_left.pop(occurrence, None)
        for position in range(len(self.record.job.steps)):
            self._startable.pop((occurrence, position), None)
            self.groups.pop((occurrence, position), None)

    def _iterate_groups(self, occurrence: int) -> Iterator[Group]:
        for position in range(len(self.record.job.steps)):
            yield self.groups[occurrence, position]

    def restore_runs(self) -> Iterator[None]:
        """Restore the open occurrences from the records of the tasks.

        Yields after every RESTORED_TASKS_PER_STEP of them.
        """
        for occurrence in self._find_begun_occurrences():
            self._add_groups(occurrence)
        for number, (name, run) in enumerate(self.record.tasks.items(), 1):
            occurrence, position, index = specs.parse_task_name(name)
            group = self.groups.get((occurrence, position))
            if group is not None:
                self._restore_run(group, index, name, run)
            if number % RESTORED_TASKS_PER_STEP == 0:
                yield
        for occurrence in dict.fromkeys(key[0] for key in self.groups):
            self._update_occurrence(occurrence)
        self._open_due_occurrences(ids.WallTime(0.0))

    def _find_begun_occurrences(self) -> list[int]:
        """Return the occurrences up to the last begun one that are not done.

        Sets the next occurrence to open.
        """
        if not self.record.tasks:
            return []
        if not self.record.job.occurrences:
            self._next_occurrence = 1
            return [0]
        tasks = sum(step.tasks for step in self.record.job.steps)
        done: collections.Counter[int] = collections.Counter()
        for name, run in self.record.tasks.items():
            occurrence, _, _ = specs.parse_task_name(name)
            done[occurrence] += run.stage is states.RunStage.DONE
        self._next_occurrence = max(done) + 1
        return [n for n in range(self._next_occurrence) if done[n] < tasks]

    def _restore_run(
        self,
        group: Group,
        index: int,
        name: ids.TaskName,
        run: ledger.RunRecord,
    ) -> None:
        if run.stage is states.RunStage.WAITING:
            group.waiting.defer(index)
            return
        group.waiting.remove(index)
        if run.stage is states.RunStage.DONE:
            group.unfinished -= 1
            return
        self.running[name] = run.worker
        group.record_start(run.worker)
