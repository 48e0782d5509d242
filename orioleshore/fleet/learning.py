"""Estimates of sizes and run times by job class, from past attempts."""

import collections

from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids

# Number of attempts kept for each class, and the number required before an
# estimate replaces the value in the document.
MAX_SAMPLES = 64
MIN_SAMPLES = 5
QUANTILE = 0.9
# Reports lag, so the peak usage of an attempt may exceed the reported one.
SIZE_MARGIN = 1.1
MIN_CORES = 0.1
MIN_MEMORY_GB = 0.1


class SampleHistory:
    """The newest samples of one quantity, and their quantile."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._quantile: float | None = None

    def add(self, sample: float) -> None:
        """Add a sample, and drop the oldest one if there are too many."""
        self._samples.append(sample)
        self._quantile = None

    def get_quantile(self) -> float | None:
        """Return the quantile, None if there are too few samples."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        if self._quantile is None:
            ordered = sorted(self._samples)
            position = min(len(ordered) - 1, int(QUANTILE * len(ordered)))
            self._quantile = ordered[position]
        return self._quantile


class UsageEstimator:
    """Estimates size and run time by job class.

    If ``is_enabled`` is false, the values of the document are used.
    """

    def __init__(self, is_enabled: bool = True) -> None:
        self._is_enabled = is_enabled
        self._cores: dict[ids.JobClass, SampleHistory] = {}
        self._memory_gb: dict[ids.JobClass, SampleHistory] = {}
        self._run_times: dict[ids.JobClass, SampleHistory] = {}

    def add_usage(
        self, job_class: ids.JobClass, cores: float, memory_gb: float
    ) -> None:
        """Record the peak usage of an attempt."""
        if cores > 0:
            self._cores.setdefault(job_class, SampleHistory()).add(cores)
        if memory_gb > 0:
            self._memory_gb.setdefault(job_class, SampleHistory()).add(
                memory_gb
            )

    def add_run_time(self, job_class: ids.JobClass, run_time_s: float) -> None:
        """Record the run time of a successful attempt without a checkpoint."""
        self._run_times.setdefault(job_class, SampleHistory()).add(run_time_s)

    def get_size(self, job: documents.Job) -> workers.Size:
        """Return the size to reserve for a job."""
        cores = self._get_estimate(self._cores, job.job_class)
        memory_gb = self._get_estimate(self._memory_gb, job.job_class)
        return workers.Size(
            job.cores
            if cores is None
            else max(MIN_CORES, cores * SIZE_MARGIN),
            job.memory_gb
            if memory_gb is None
            else max(MIN_MEMORY_GB, memory_gb * SIZE_MARGIN),
            job.accelerators,
        )

    def get_run_time(self, job: documents.Job) -> float:
        """Return the expected run time of a job, in seconds."""
        estimate = self._get_estimate(self._run_times, job.job_class)
        return job.run_time_s if estimate is None else estimate

    def _get_estimate(
        self,
        histories: dict[ids.JobClass, SampleHistory],
        job_class: ids.JobClass,
    ) -> float | None:
        history = histories.get(job_class)
        if history is None or not self._is_enabled:
            return None
        return history.get_quantile()
