"""Sizes and run times of job classes, learned from reports."""

import collections

from orioleshore.fleet import workers
from orioleshore.model import documents
from orioleshore.model import ids

# Attempts remembered for each class, and those needed before what was
# learned replaces what the document declares.
MAX_SAMPLES = 64
MIN_SAMPLES = 5
QUANTILE = 0.9
# Reports lag, so the peak of an attempt may be higher than was reported.
SIZE_MARGIN = 1.1
MIN_CORES = 0.1
MIN_MEMORY_GB = 0.1


class SampleHistory:
    """The newest samples of one quantity."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._quantile: float | None = None

    def add(self, sample: float) -> None:
        """Remember a sample, and forget the oldest when full."""
        self._samples.append(sample)
        self._quantile = None

    def get_quantile(self) -> float | None:
        """Return the quantile, None while there are too few samples."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        if self._quantile is None:
            ordered = sorted(self._samples)
            position = min(len(ordered) - 1, int(QUANTILE * len(ordered)))
            self._quantile = ordered[position]
        return self._quantile


class UsageEstimator:
    """Estimates by job class; ``enabled`` false keeps to the document."""

    def __init__(self, is_enabled: bool = True) -> None:
        self._is_enabled = is_enabled
        self._cores: dict[ids.JobClass, SampleHistory] = {}
        self._memory: dict[ids.JobClass, SampleHistory] = {}
        self._run_times: dict[ids.JobClass, SampleHistory] = {}

    def add_usage(
        self, job_class: ids.JobClass, cores: float, memory_gb: float
    ) -> None:
        """Take the peak usage of one attempt."""
        if cores > 0:
            self._cores.setdefault(job_class, SampleHistory()).add(cores)
        if memory_gb > 0:
            self._memory.setdefault(job_class, SampleHistory()).add(memory_gb)

    def add_run_time(self, job_class: ids.JobClass, run_s: float) -> None:
        """Take the run time of an attempt that succeeded from its start."""
        self._run_times.setdefault(job_class, SampleHistory()).add(run_s)

    def get_size(self, job: documents.Job) -> workers.Size:
        """Return the size to reserve for a job."""
        cores = self._get_estimate(self._cores, job.job_class)
        memory = self._get_estimate(self._memory, job.job_class)
        return workers.Size(
            job.cores
            if cores is None
            else max(MIN_CORES, cores * SIZE_MARGIN),
            job.memory_gb
            if memory is None
            else max(MIN_MEMORY_GB, memory * SIZE_MARGIN),
            job.accelerators,
        )

    def get_run_time(self, job: documents.Job) -> float:
        """Return the run time to expect of a job, in seconds."""
        learned = self._get_estimate(self._run_times, job.job_class)
        return job.run_time_s if learned is None else learned

    def _get_estimate(
        self,
        histories: dict[ids.JobClass, SampleHistory],
        job_class: ids.JobClass,
    ) -> float | None:
        history = histories.get(job_class)
        if history is None or not self._is_enabled:
            return None
        return history.get_quantile()
