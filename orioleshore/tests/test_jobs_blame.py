"""Attribution of failures to workers or jobs, from sequences of results."""

import pytest

from orioleshore.fleet import fault_attribution

SUSPENDED = fault_attribution.SuspendWorker(
    'w3', ('a', 'b', 'c'), fault_attribution.SUSPENSION_S
)


def collect_findings(results):
    """Return all findings; a result is "+job@worker" or "-job@worker"."""
    attribution = fault_attribution.FaultAttribution()
    findings = []
    for result in results.split():
        job, worker = result[1:].split('@')
        succeeded = result[0] == '+'
        record_result = (
            attribution.record_success
            if succeeded
            else attribution.record_failure
        )
        findings += record_result(job, worker)
    return findings


@pytest.mark.parametrize(
    ('results', 'expected'),
    [
        # Failures on a worker without a success do not count against a job.
        ('-a@w1 -a@w2 -a@w3', []),
        (
            '-a@w1 -a@w2 -a@w3 +x@w1 +x@w2 +x@w3',
            [fault_attribution.JobAtFault('a', ('w1', 'w2', 'w3'))],
        ),
        ('-a@w3 -b@w3 -c@w3', [SUSPENDED]),
        ('-a@w3 -b@w3 +x@w3 -c@w3', []),
        ('-a@w3 -a@w3 -a@w3 -b@w3', []),
        # The suspended worker does not count against the job.
        ('+x@w1 +x@w2 -a@w1 -a@w3 -b@w3 -c@w3 -a@w2', [SUSPENDED]),
        (
            '+x@w1 +x@w2 +x@w4 -a@w1 -a@w3 -b@w3 -c@w3 -a@w2 -a@w4',
            [SUSPENDED, fault_attribution.JobAtFault('a', ('w1', 'w2', 'w4'))]
            + [fault_attribution.ReinstateWorker('w3')],
        ),
        # A job that failed on two other workers does not count against the
        # third one.
        ('-a@w1 -a@w2 -a@w3 -b@w3 -c@w3', []),
        # Failures of tasks placed before the suspension are ignored.
        ('-a@w3 -b@w3 -c@w3 -d@w3 -e@w3', [SUSPENDED]),
    ],
)
def test_failures_are_attributed_to_worker_or_job(results, expected):
    assert collect_findings(results) == expected
