"""Which job gets room first when a queue asks for more than there is."""

from bench import load
from orioleshore.jobs import ledger
from orioleshore.jobs import ordering
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support

RUN_S = 1.0
# A queue that asks four times what its pool and the standby hosts hold.
FLOOD = load.Scenario(
    pools={'red': 3, 'blue': 3},
    standby=2,
    cores=16,
    turns=load.Turns(period_s=30.0, high=30.0, low=0.5),
    tasks=(2, 10),
    task_cores=(0.6, 2.0),
    run_s=0.9,
    objective_ms=4_600,
    lasting_tasks=2,
    length_s=20.0,
)
# Mean processor time of its jobs, in seconds.
JOB_S = 6 * 1.3 * 0.9


def build_progress(
    number: int, accepted_at: float, *steps: specs.Step, priority: int = 0
) -> progress.JobProgress:
    """Return a job whose objective is 4 s."""
    name = builders.build_job_id(number)
    record = ledger.JobRecord(
        builders.build_batch_job(*steps),
        'jobs.example',
        '/red/',
        ids.PoolId('red'),
        priority,
        2,
        4_000,
        ids.WallTime(accepted_at),
    )
    return progress.JobProgress(name, record)


def sort_by_rank(jobs, wall_time: float):
    """Return the jobs in the order in which they get room."""
    return sorted(
        jobs,
        key=lambda job: ordering.get_rank(job, ids.WallTime(wall_time), RUN_S),
    )


def test_job_that_will_be_late_does_not_delay_one_that_can_be_in_time():
    """Guards against a backlog in which all jobs are late by a little."""
    chain = (builders.build_step(), builders.build_step(after=(0,)))
    older = build_progress(1, 0.0, *chain)
    newer = build_progress(2, 0.5, builders.build_step())
    assert sort_by_rank([newer, older], 0.5) == [older, newer]
    # Two steps take longer than the second that is left; one does not.
    assert sort_by_rank([older, newer], 2.9) == [newer, older]


def test_steps_that_are_done_do_not_count():
    """Guards against a job that is given up just before its end."""
    chain = (builders.build_step(), builders.build_step(after=(0,)))
    job = build_progress(1, 0.0, *chain)
    assert job.steps_left == 2
    task = ids.TaskName('0.0.0')
    run = ledger.RunRecord(ledger.states.RunStage.DONE, ids.Attempt(1))
    job.groups[0, 0].waiting.remove(0)
    job.record_start(task, ids.WorkerId('worker-1'))
    job.record.tasks[task] = run
    job.record_end(task)
    assert job.steps_left == 1


def test_steps_beside_each_other_count_once():
    """Guards against a chain that is taken for longer than it is."""
    beside = (builders.build_step(), builders.build_step())
    assert build_progress(1, 0.0, *beside).steps_left == 1


def test_flood_leaves_half_of_the_room_to_jobs_in_time():
    """Guards against a flood that makes nearly all jobs late.

    With the earliest due time first, a fifth of the room went to jobs in
    time.
    """
    outcome = load.Experiment(FLOOD, 'product', support.SEED).run()
    hosts = 3 + 2
    room = hosts * FLOOD.cores * FLOOD.length_s / JOB_S
    assert outcome.handed_in > 2 * room
    assert outcome.in_time >= 0.5 * room
