"""Order of jobs when the demand of a queue exceeds its capacity."""

from bench import load
from bench import load_scenarios
from orioleshore.jobs import ledger
from orioleshore.jobs import ordering
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support

RUN_S = 1.0
# The demand is four times the capacity of the pool and the standby hosts.
OVERLOAD = load_scenarios.Scenario(
    pools={'red': 3, 'blue': 3},
    standby=2,
    cores=16,
    turns=load_scenarios.Turns(period_s=30.0, high=30.0, low=0.5),
    tasks=(2, 10),
    task_cores=(0.6, 2.0),
    run_s=0.9,
    objective_ms=4_600,
    lasting_tasks=2,
    length_s=20.0,
)
# Mean CPU time of a job, in seconds.
JOB_S = 6 * 1.3 * 0.9


def sort_by_rank(jobs, wall_time: float):
    """Return the jobs in the order in which they receive capacity."""
    return sorted(
        jobs,
        key=lambda job: ordering.get_rank(job, ids.WallTime(wall_time), RUN_S),
    )


def test_late_job_does_not_delay_job_that_can_meet_its_objective():
    """Guards against a backlog in which all jobs are slightly late."""
    chain = (builders.build_step(), builders.build_step(after=(0,)))
    older = builders.build_progress(1, 0.0, *chain)
    newer = builders.build_progress(2, 0.5, builders.build_step())
    assert sort_by_rank([newer, older], 0.5) == [older, newer]
    # Two steps take longer than the time left; one does not.
    assert sort_by_rank([older, newer], 2.9) == [newer, older]


def test_completed_steps_are_not_counted():
    """Guards against ranking a nearly completed job as late."""
    chain = (builders.build_step(), builders.build_step(after=(0,)))
    job = builders.build_progress(1, 0.0, *chain)
    assert job.steps_left == 2
    task = ids.TaskName('0.0.0')
    run = ledger.RunRecord(ledger.states.RunStage.DONE, ids.Attempt(1))
    job.groups[0, 0].waiting.remove(0)
    job.record_start(task, ids.WorkerId('worker-1'))
    job.record.tasks[task] = run
    job.record_end(task)
    assert job.steps_left == 1


def test_job_that_has_started_is_ended_first():
    """Guards against an overload in which all jobs start and none ends."""
    older, newer = (builders.build_progress(n, n / 10) for n in (1, 2))
    newer.record.tasks[ids.TaskName('0.0.0')] = ledger.RunRecord(
        ledger.states.RunStage.DONE, ids.Attempt(1)
    )
    assert sort_by_rank([older, newer], 0.5) == [newer, older]


def test_parallel_steps_count_as_one():
    """Guards against overestimating the longest chain of steps."""
    parallel = (builders.build_step(), builders.build_step())
    assert builders.build_progress(1, 0.0, *parallel).steps_left == 1


def test_overload_leaves_half_of_the_capacity_to_jobs_in_time():
    """Guards against an overload that makes nearly all jobs late.

    With the earliest due time first, only a fifth of the capacity went to
    jobs that were in time.
    """
    outcome = load.Experiment(OVERLOAD, 'product', support.SEED).run()
    hosts = 3 + 2
    capacity = hosts * OVERLOAD.cores * OVERLOAD.length_s / JOB_S
    assert outcome.submitted > 2 * capacity
    assert outcome.in_time >= 0.5 * capacity
