"""All short sequences of faults around a wave of upkeep.

Each sequence is played on the real decisions with fake workers. Set
ORIOLESHORE_EXPLORATION_DEPTH to a larger number for a longer search.
"""

import itertools
import os

import pytest

from fakes import workers
from orioleshore.jobs import calls
from orioleshore.model import ids
from orioleshore.tests import builders
from orioleshore.tests import support

DEPTH = int(os.environ.get('ORIOLESHORE_EXPLORATION_DEPTH', '3'))
HOSTS = 3
# Time between two faults: an order that is repeated after a lost answer goes
# out within it, and the upkeep of 2 s does not end.
FAULT_INTERVAL_S = 0.8
STEP_S = 0.1
# Upkeep of the hosts one after the other, with a lease and a host lease for
# each fault, during which nothing is ordered.
WAVE_S = 30.0


def pass_time(fleet: workers.FakeFleet) -> None:
    """Inject no fault."""


def lose_answer(fleet: workers.FakeFleet) -> None:
    """Lose the platform's next answer to an upkeep order."""
    fleet.lost_upkeep_answers += 1


def change_leader(fleet: workers.FakeFleet) -> None:
    """Replace the scheduler by one restored from the log."""
    fleet.fail_over()


def crash_worker(fleet: workers.FakeFleet) -> None:
    """Let the worker of the first host that is up start again."""
    for worker in fleet.workers.values():
        if fleet.now >= worker.up_at:
            worker.restart(worker.pool, fleet.now + 0.3)
            return


def silence_worker(fleet: workers.FakeFleet) -> None:
    """Let the first worker that reports be silent, or report again."""
    for worker in fleet.workers.values():
        worker.is_silent = not worker.is_silent
        return


def hide_hosts(fleet: workers.FakeFleet) -> None:
    """Leave all hosts out of the platform's lists, or list them again."""
    is_hidden = bool(fleet.missing_hosts)
    fleet.missing_hosts = set() if is_hidden else set(fleet.workers)


def withdraw_host(fleet: workers.FakeFleet) -> None:
    """Remove the last host for good, unless it is gone already."""
    host = list(fleet.workers)[-1]
    if host not in fleet.withdrawn_hosts:
        fleet.withdraw_host(host)


FAULTS = (
    pass_time,
    lose_answer,
    change_leader,
    crash_worker,
    silence_worker,
    hide_hosts,
    withdraw_host,
)


@pytest.mark.parametrize('first', FAULTS)
def test_wave_keeps_its_limit_under_every_sequence_of_faults(first):
    """Guards against one host too many down, and against a stuck wave."""
    for following in itertools.product(FAULTS, repeat=DEPTH - 1):
        play(first, *following)


def play(*faults) -> None:
    """Play one sequence of faults from the opening of a wave on."""
    names = [fault.__name__ for fault in faults]
    fleet = workers.FakeFleet(
        builders.build_configuration(), seed=support.SEED
    )
    fleet.add_hosts(HOSTS, 'red')
    fleet.run(1.0, STEP_S)
    lasting = builders.build_lasting_job(2, max_unavailable=1)
    fleet.call_scheduler(builders.build_submission(job=lasting))
    fleet.run(0.5, STEP_S)
    wave = ids.WaveId('1')
    fleet.call_scheduler(calls.OpenWave(wave, tuple(fleet.workers), 60.0, 1))
    for fault in faults:
        fault(fleet)
        fleet.run(FAULT_INTERVAL_S, STEP_S)
        assert fleet.max_hosts_down <= 1, names
    for worker in fleet.workers.values():
        worker.is_silent = False
    fleet.run(WAVE_S, STEP_S)
    assert fleet.max_hosts_down <= 1, names
    assert fleet.hosts_done | fleet.withdrawn_hosts == set(fleet.workers), (
        names
    )
    status = fleet.call_scheduler(calls.GetWave(wave)).unwrap()
    assert status.completed, names
    assert fleet.count_running_tasks(builders.build_job_id()) == 2, names
