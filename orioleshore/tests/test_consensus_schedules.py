"""Random schedules of faults against the Raft decision logic."""

import pytest

from orioleshore.model import states
from orioleshore.tests import consensus_simulation
from orioleshore.tests import support

STEPS = 4_000
SCHEDULES = 24
ROUNDS = 10
# By the rule of the platform, a long-running task runs again once 4 s and 3 s
# more were without a disturbance. It needs a leader that commits before that.
CALM_S = 4.0


def inject_random_fault(group: consensus_simulation.Group) -> None:
    """Inject one random fault, or make a random request or repair."""
    choice = group.random.random()
    node = group.random.choice(list(group.nodes.values()))
    if choice < 0.08:
        group.crash(node)
    elif choice < 0.14:
        lose_random_disk(group)
    elif choice < 0.20:
        group.pause(node, group.random.uniform(0.1, 3.0))
    elif choice < 0.28:
        inward = group.random.random() < 0.6
        group.isolate(node.name, inward, not inward)
    elif choice < 0.34:
        group.isolate(node.name, True, True)
    elif choice < 0.46:
        change_members(group, node.name)
    elif choice < 0.62:
        group.take_snapshot(node)
    elif choice < 0.68:
        group.loss_rate = group.random.choice((0.0, 0.05, 0.3))
    elif choice < 0.74:
        group.transfer_leadership(node)
    elif choice < 0.82:
        node.is_full = True
    else:
        group.heal()


def lose_random_disk(group: consensus_simulation.Group) -> None:
    """Lose the disk of one member if no other disk loss is unrepaired.

    Every member needs its listed disk, the voters have to be as many as they
    can be, and the latest membership change has to be committed.
    """
    leader = group.find_leader()
    if leader is None or leader.raft.members is None:
        return
    listed = leader.raft.members.members
    has_all_disks = all(
        group.nodes[member.name].disk.stamp == member.stamp
        for member in listed
    )
    voter_count = sum(member.voter for member in listed)
    is_whole = voter_count == len(listed) - (len(listed) % 2 == 0)
    last_change_index = leader.raft.log.find_last_members_index()
    if (
        not has_all_disks
        or not is_whole
        or len(listed) < 3
        or last_change_index > leader.raft.commit_index
    ):
        return
    victim = group.nodes[group.random.choice(listed).name]
    group.lose_disk(victim)
    group.start(victim)


def change_members(group: consensus_simulation.Group, name: str) -> None:
    """Request the leader to add or remove a member."""
    leader = group.find_leader()
    if leader is None or leader.raft.members is None:
        return
    listed = [member.name for member in leader.raft.members.members]
    if name not in listed:
        group.change_members(leader, name, None)
    elif len(listed) > 3:
        group.change_members(leader, None, name)


def run_schedule(seed: int) -> consensus_simulation.Group:
    """Run one random schedule with all checks; return the group."""
    group = consensus_simulation.Group(seed, 3 if seed % 3 else 5)
    for number in range(STEPS):
        group.step()
        if number % 7 == 0:
            target = group.find_leader()
            if target is not None:
                group.propose(target)
        if number % 31 == 0:
            group.read(group.random.choice(list(group.nodes.values())))
        if number % 60 == 0 and number > 200:
            inject_random_fault(group)
    group.check_final_state()
    return group


@pytest.mark.parametrize('number', range(SCHEDULES))
def test_random_schedule_keeps_acknowledged_changes(number):
    """Guards against lost changes, two leaders and diverging members."""
    group = run_schedule(support.SEED + number)
    assert len(group.acknowledged) > 20
    assert len(group.leaders) > 1
    assert any(
        node.raft.role is states.RaftRole.LEADER
        for node in group.nodes.values()
    )


@pytest.mark.parametrize('number', range(SCHEDULES))
def test_restarts_never_lead_to_two_leases(number):
    """Guards against a leader that is elected while another holds a lease.

    Members that restart together vote before the leases of their earlier
    processes end, unless one of the members was not restarted. The simulated
    group checks the leases at each election.
    """
    group = consensus_simulation.Group(support.SEED + number, 3 + number % 3)
    group.run_for(3.0)
    for _ in range(40):
        nodes = list(group.nodes.values())
        spared = group.random.sample(nodes, group.random.choice((0, 0, 1, 2)))
        for node in nodes:
            if node not in spared:
                group.crash(node)
        if group.random.random() < 0.5:
            group.run_for(group.random.uniform(0.0, 0.6))
        if group.random.random() < 0.3:
            group.isolate(group.random.choice(nodes).name, True, True)
        for node in nodes:
            if node.raft is None:
                group.start(node)
                group.run_for(group.random.uniform(0.0, 0.05))
        group.run_for(group.random.uniform(0.0, 0.8))
        if group.random.random() < 0.5:
            change_members(group, group.random.choice(nodes).name)
            group.run_for(0.05)
        group.heal()
    group.check_final_state()


def commit_when_calm(group: consensus_simulation.Group) -> bool:
    """Return whether a healed group commits a new command within CALM_S."""
    group.heal()
    until = group.now + CALM_S
    tokens = set()
    while group.now < until:
        leader = group.find_leader()
        if leader is not None:
            tokens.add(group.propose(leader))
        group.run_for(0.1)
        if tokens & group.acknowledged.keys():
            return True
    return False


def run_rounds(seed: int) -> consensus_simulation.Group:
    """Disturb a group and let it calm down, again and again."""
    group = consensus_simulation.Group(seed, 3 if seed % 3 else 5)
    group.run_for(3.0)
    for number in range(ROUNDS):
        for _ in range(group.random.randint(1, 6)):
            inject_random_fault(group)
            group.run_for(group.random.uniform(0.0, 1.5))
            leader = group.find_leader()
            if leader is not None:
                group.propose(leader)
        assert commit_when_calm(group), f'no commit after round {number}'
    group.check_final_state()
    return group


@pytest.mark.parametrize('number', range(SCHEDULES))
def test_group_commits_again_once_it_is_calm(number):
    """Guards against leases that lapse because no leader commits.

    No task runs without a lease, and each extension waits for a commit.
    """
    assert len(run_rounds(support.SEED + number).leaders) > 1
