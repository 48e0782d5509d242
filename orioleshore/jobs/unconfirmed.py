"""Runs according to the log whose worker has not reported to this leader."""

from collections.abc import Callable
from collections.abc import Iterator

from orioleshore.jobs import ledger
from orioleshore.jobs import specs
from orioleshore.jobs import workers
from orioleshore.model import ids

# Returns the record of a run if it is its task's newest attempt.
RunFinder = Callable[[workers.RunKey], ledger.RunRecord | None]


class UnconfirmedRuns:
    """The runs by worker, and the hosts of these workers."""

    def __init__(self, find_run: RunFinder) -> None:
        self._find_run = find_run
        self._runs: dict[
            ids.WorkerId, dict[workers.RunKey, specs.Resources]
        ] = {}
        # As far as the log names them.
        self._workers_by_host: dict[ids.HostId, ids.WorkerId] = {}

    def add(
        self,
        key: workers.RunKey,
        run: ledger.RunRecord,
        need: specs.Resources,
    ) -> None:
        """Add a run that reserves ``need`` on its worker."""
        self._runs.setdefault(run.worker, {})[key] = need
        if run.host:
            self._workers_by_host[run.host] = run.worker

    def has_newer_incarnation(
        self, worker: ids.WorkerId, incarnation: ids.Incarnation
    ) -> bool:
        """Return whether the log names a newer life of an unheard worker."""
        runs = map(self._find_run, self._runs.get(worker, ()))
        return any(
            run is not None and run.incarnation > incarnation for run in runs
        )

    def take_older(
        self,
        worker: ids.WorkerId,
        host: ids.HostId,
        incarnation: ids.Incarnation,
    ) -> Iterator[tuple[ids.WorkerId, list[workers.RunKey]]]:
        """Remove and yield the runs that a worker's first report ends.

        These are runs of its older incarnations and of an earlier worker of
        its host.
        """
        previous = self._workers_by_host.get(host, worker)
        for name in dict.fromkeys((previous, worker)):
            runs = self._runs.get(name, {})
            found = {key: self._find_run(key) for key in runs}
            older = [
                key
                for key, run in found.items()
                if run is not None and run.incarnation < incarnation
            ]
            for key in older:
                del runs[key]
            yield name, older

    def take_confirmed(
        self, worker: ids.WorkerId, incarnation: ids.Incarnation
    ) -> Iterator[tuple[workers.RunKey, ledger.RunRecord, specs.Resources]]:
        """Remove and yield the runs of the incarnation that reports."""
        runs = self._runs.get(worker, {})
        for key, need in list(runs.items()):
            run = self._find_run(key)
            # If its job has ended since, the heartbeat answer stops the run.
            if run is None or run.incarnation == incarnation:
                del runs[key]
            if run is not None and run.incarnation == incarnation:
                yield key, run, need

    def take_all(
        self,
    ) -> Iterator[tuple[ids.WorkerId, tuple[workers.RunKey, ...]]]:
        """Remove and yield the runs worker by worker."""
        while self._runs:
            worker, runs = self._runs.popitem()
            yield worker, tuple(runs)
        self._workers_by_host = {}
