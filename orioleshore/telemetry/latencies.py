"""Counters and histograms that are updated as events occur."""

import aioprometheus

from orioleshore.telemetry import metrics

# Upper bounds of the buckets in seconds, from one sync of a fast disk to the
# deadline of a caller.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Recorder:
    """Histograms and counters of one process.

    The values of each label come from a bounded set.
    """

    def __init__(self, node: str) -> None:
        self._registry = aioprometheus.collectors.Registry()
        labels = {'node': node}
        self._histograms = {
            name: aioprometheus.Histogram(
                metrics.PREFIX + name,
                text,
                const_labels=labels,
                registry=self._registry,
                buckets=BUCKETS_S,
            )
            for name, text in _HISTOGRAMS.items()
        }
        self._counters = {
            name: aioprometheus.Counter(
                metrics.PREFIX + name,
                text,
                const_labels=labels,
                registry=self._registry,
            )
            for name, text in _COUNTERS.items()
        }

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram; raises KeyError if unknown."""
        self._histograms[name].observe(labels, seconds)

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Increment a counter; raises KeyError if unknown."""
        self._counters[name].add(labels, by)

    def render(self) -> bytes:
        """Return all values in the text format."""
        content, _ = aioprometheus.render(self._registry, ['text/plain'])
        return content


_HISTOGRAMS = {
    'request_seconds': 'Time to answer a caller, by method and outcome',
    'commit_seconds': 'Time to commit a batch of scheduler decisions',
    'turn_seconds': 'Turns of the scheduler over their bound',
    'turn_processor_seconds': 'Processor time of these turns',
}

_COUNTERS = {
    'jobs_total': 'Jobs by decision: accepted or cancelled',
    'refusals_total': 'Refused requests by kind of error',
    'failed_calls_total': 'Calls that raised and were refused',
    'failed_ticks_total': 'Steps of the periodic work that raised',
    'starts_total': 'Ordered starts of tasks',
    'bounds_reached_total': 'Full answers, batches and turns of the leader',
    'lasting_task_holds_total': 'Reasons that held long-running tasks back',
    'starts_held_by_limit_total': 'Starts held by limits of organisations',
    'ends_total': 'Ended runs of tasks by outcome',
    'worker_losses_total': 'Lost workers with new runs, by what became known',
    'tasks_given_up_total': 'Tasks given up because they crash workers',
    'heartbeats_total': 'Heartbeats by result',
    'host_orders_total': 'Orders about hosts by kind',
    'host_answers_total': 'Answers of the platform by outcome',
    'elections_total': 'Times this member started to schedule as leader',
}
