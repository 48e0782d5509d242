"""Fake fleet that checks the limits of organisations at every start."""

from fakes import workers
from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import ids


class LimitedFleet(workers.FakeFleet):
    """Fake fleet in which a start above a limit raises AssertionError.

    It counts what its workers run, and asks the scheduler for nothing.
    """

    def __init__(
        self, configuration: specs.Configuration, seed: int = 1
    ) -> None:
        # Limits by organisation, and the owner and tasks of each job.
        self._limits: dict[ids.OrganisationId, specs.Resources] = {}
        self._owners: dict[ids.ApiKey, ids.OrganisationId] = {}
        self._jobs: dict[ids.JobId, tuple[ids.OrganisationId, specs.Job]] = {}
        super().__init__(configuration, seed=seed)

    def call_scheduler(self, call: calls.Call):
        """Send a call, and note the limits and owners that it sets."""
        outcome = super().call_scheduler(call)
        if outcome.is_err():
            return outcome
        if isinstance(call, calls.PutConfiguration):
            for organisation in call.configuration.organisations:
                self._limits[organisation.name] = organisation.limit
                for key in organisation.keys:
                    self._owners[key] = organisation.name
        if isinstance(call, calls.SubmitJob):
            name = ids.JobId(call.path.rpartition('/')[2])
            owner = self._owners[call.key]
            self._jobs.setdefault(name, (owner, call.job))
        return outcome

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
        limit = self._limits[owner]
        used = self.get_running(owner)
        assert not limit.cpu_millis or used.cpu_millis <= limit.cpu_millis, (
            f'{start.job}.{start.task} takes {owner} to {used} at {self.now}'
        )
