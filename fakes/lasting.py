"""Watch over long-running tasks: each runs whenever a worker could run it.

Judges what the fake workers run, not what the scheduler believes.
"""

from __future__ import annotations

import typing

from orioleshore.jobs import specs
from orioleshore.jobs import workers as job_workers
from orioleshore.model import ids
from orioleshore.model import states

if typing.TYPE_CHECKING:
    from fakes import workers

# A task may be without a run for this long. The rule of the platform: 6 s
# since its last run, 3 s of them with room for it.
MAX_IDLE_S = 6.0
ROOM_S = 3.0
# The rule holds once these 3 s and the 4 s before were calm. Only a change of
# leader counts as a disturbance here; cuts of other workers do not.
CALM_S = 7.0

TaskKey = tuple[ids.JobId, ids.TaskName]


class LastingWatch:
    """Collects the long-running tasks that could start and did not."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self._idle_since: dict[TaskKey, float] = {}
        self._room_since: dict[TaskKey, float] = {}
        self._heard_since: dict[ids.WorkerId, float] = {}

    def check(self, fleet: workers.FakeFleet) -> None:
        """Check all long-running tasks at the present time of a fleet."""
        heard = self._update_heard_workers(fleet)
        running = {
            key[:2]
            for worker in fleet.workers.values()
            for key in worker.running
        }
        waiting = {
            key: step
            for key, step in _list_lasting_tasks(fleet).items()
            if key not in running
        }
        for times in (self._idle_since, self._room_since):
            for key in times.keys() - waiting.keys():
                del times[key]
        for key, step in waiting.items():
            self._idle_since.setdefault(key, fleet.now)
            if not any(_could_start(key, step, w) for w in heard):
                self._room_since.pop(key, None)
                continue
            self._room_since.setdefault(key, fleet.now)
            self._judge(key, fleet)

    def _judge(self, key: TaskKey, fleet: workers.FakeFleet) -> None:
        is_late = (
            fleet.now >= self._idle_since[key] + MAX_IDLE_S
            and fleet.now >= self._room_since[key] + ROOM_S
            and fleet.now >= fleet.leader_since + CALM_S
        )
        if is_late and not any(key[1] in text for text in self.problems):
            idle_s = fleet.now - self._idle_since[key]
            job = fleet.scheduler.jobs.get(key[0])
            self.problems.append(
                f'{fleet.now:.2f} s: {key[0]}.{key[1]} could start and has '
                f'not run for {idle_s:.2f} s; record '
                f'{job and job.record.tasks.get(key[1])}'
            )

    def _update_heard_workers(
        self, fleet: workers.FakeFleet
    ) -> list[workers.FakeWorker]:
        """Return the workers that have been in contact for long enough."""
        now = fleet.now
        present = {
            worker.name: worker
            for worker in fleet.workers.values()
            if fleet.is_in_contact(worker)
            and worker.state is states.WorkerState.READY
        }
        for name in self._heard_since.keys() - present.keys():
            del self._heard_since[name]
        for name in present:
            self._heard_since.setdefault(name, now)
        return [
            worker
            for name, worker in present.items()
            if now >= self._heard_since[name] + ROOM_S
        ]


def _list_lasting_tasks(
    fleet: workers.FakeFleet,
) -> dict[TaskKey, tuple[ids.PoolId, specs.Step]]:
    """Return the long-running tasks that are to run, by the log."""
    return {
        (name, specs.make_task_name(0, position, index)): (record.pool, step)
        for name, record in fleet.scheduler.ledger.jobs.items()
        if not record.is_ended
        for position, step in enumerate(record.job.steps)
        if step.is_long_running
        for index in range(step.tasks)
    }


def _could_start(
    key: TaskKey,
    target: tuple[ids.PoolId, specs.Step],
    worker: workers.FakeWorker,
) -> bool:
    """Return whether pool, label, limit and room allow a task on a worker."""
    pool, step = target
    if worker.pool != pool:
        return False
    if step.required_label and step.required_label not in worker.labels:
        return False
    prefix = key[1].rpartition('.')[0] + '.'
    beside = sum(
        name == key[0] and task.startswith(prefix)
        for name, task, _ in worker.running
    )
    if step.max_per_worker and beside >= step.max_per_worker:
        return False
    need = job_workers.get_reserved_resources(step)
    return job_workers.fits_into(need, worker.get_free_resources())
