"""Fake fleet that checks the limits of organisations at every start."""

import msgspec

from fakes import workers
from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import ids


class _LateAnswer(msgspec.Struct):
    """An answer on its way; it is lost if its worker restarts meanwhile."""

    worker: workers.FakeWorker
    incarnation: int
    answer: calls.HeartbeatAnswer
    sent_at: float
    due_at: float


class LimitedFleet(workers.FakeFleet):
    """Fake fleet in which a start above a limit raises AssertionError.

    It counts what its workers run, and asks the scheduler for nothing. An
    order that arrives late may use a limit that was in force when it was sent.
    """

    def __init__(
        self, configuration: specs.Configuration, seed: int = 1
    ) -> None:
        # Limits by organisation, and the owner and tasks of each job.
        self._limits: dict[ids.OrganisationId, specs.Resources] = {}
        self._owners: dict[ids.ApiKey, ids.OrganisationId] = {}
        self._jobs: dict[ids.JobId, tuple[ids.OrganisationId, specs.Job]] = {}
        # Earlier limits, each with the time at which it was replaced.
        self._replaced: list[
            tuple[float, ids.OrganisationId, specs.Resources]
        ] = []
        # Share of the answers that are late, and answers on their way.
        self.late_answer_share = 0.0
        self._late_answers: list[_LateAnswer] = []
        self._sent_at = 0.0
        super().__init__(configuration, seed=seed)

    def call_scheduler(self, call: calls.Call):
        """Send a call, and note the limits and owners that it sets."""
        outcome = super().call_scheduler(call)
        if outcome.is_err():
            return outcome
        if isinstance(call, calls.PutConfiguration):
            for organisation in call.configuration.organisations:
                self._set_limit(organisation)
                for key in organisation.keys:
                    self._owners[key] = organisation.name
        if isinstance(call, calls.SubmitJob):
            name = ids.JobId(call.path.rpartition('/')[2])
            owner = self._owners[call.key]
            self._jobs.setdefault(name, (owner, call.job))
        return outcome

    def _set_limit(self, organisation: specs.Organisation) -> None:
        old = self._limits.get(organisation.name)
        if old is not None:
            self._replaced.append((self.now, organisation.name, old))
        self._limits[organisation.name] = organisation.limit

    def deliver_answer(
        self,
        worker: workers.FakeWorker,
        answer: calls.HeartbeatAnswer,
        sent_at: float,
    ) -> None:
        """Apply an answer, now or late."""
        if self.random.random() >= self.late_answer_share:
            self._sent_at = sent_at
            super().deliver_answer(worker, answer, sent_at)
            return
        due_at = self.now + self.random.uniform(0.1, workers.LOST_ANSWER_S)
        self._late_answers.append(
            _LateAnswer(worker, worker.incarnation, answer, sent_at, due_at)
        )

    def _use_link(self, worker: workers.FakeWorker) -> None:
        # A worker has one heartbeat without an answer at a time.
        is_waiting = any(
            late.worker is worker and late.incarnation == worker.incarnation
            for late in self._late_answers
        )
        if not is_waiting:
            super()._use_link(worker)

    def advance_step(self) -> None:
        """Deliver late answers, then process what is due."""
        waiting, self._late_answers = self._late_answers, []
        for late in waiting:
            if late.worker.incarnation != late.incarnation:
                continue
            if self.now < late.due_at:
                self._late_answers.append(late)
                continue
            self._sent_at = late.sent_at
            super().deliver_answer(late.worker, late.answer, late.sent_at)
        super().advance_step()

    def get_running(self, owner: ids.OrganisationId) -> specs.Resources:
        """Return what the tasks of an organisation need that run."""
        total = specs.Resources()
        for worker in self.workers.values():
            for name, task, _ in worker.running:
                if self._jobs[name][0] == owner:
                    total = total.plus(self._get_need(name, task))
        return total

    def _get_need(
        self, name: ids.JobId, task: ids.TaskName
    ) -> specs.Resources:
        _, position, _ = specs.parse_task_name(task)
        return self._jobs[name][1].steps[position].need

    def _start_run(
        self, worker: workers.FakeWorker, start: calls.StartOrder
    ) -> None:
        super()._start_run(worker, start)
        owner, _ = self._jobs[start.job]
        limits = [self._limits[owner].cpu_millis]
        limits += [
            limit.cpu_millis
            for replaced_at, name, limit in self._replaced
            if name == owner and replaced_at >= self._sent_at
        ]
        used = self.get_running(owner)
        assert 0 in limits or used.cpu_millis <= max(limits), (
            f'{start.job}.{start.task} takes {owner} to {used} at {self.now}'
        )
