"""Replaced members, lost folders and full disks, in a simulated group."""

import statistics

import pytest

from orioleshore.consensus import events
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.tests import builders
from orioleshore.tests import consensus_simulation
from orioleshore.tests import support

SEEDS = range(support.SEED, support.SEED + 12)
# A replaced member stops counting as lost this long after its successor has
# started; the smallest value on the users' sheets.
CATCH_UP_S = 4.0
# Defaults of core.Config.
HEARTBEAT_S = 0.15
ELECTION_TIMEOUT_S = 0.9
# Longest that the clocks of two members differ over an election timeout.
LEASE_MARGIN_S = 0.02
# Time that a process needs until it takes part in its group.
LOADING_S = 0.4
# Time for two elections after all members have room again.
RETURN_S = 4.0


def start_group(seed: int, size: int = 3) -> consensus_simulation.Group:
    """Return a group that has committed some commands."""
    group = consensus_simulation.Group(seed, size)
    group.run_for(3.0)
    commit_commands(group, 5)
    return group


def commit_commands(group: consensus_simulation.Group, count: int) -> None:
    """Commit commands one after the other; fail if one takes too long."""
    for _ in range(count):
        token = None
        for _ in range(40):
            leader = group.find_leader()
            if leader is not None:
                token = group.propose(leader)
            group.run_for(0.1)
            if token in group.acknowledged:
                break
        assert token in group.acknowledged, 'a change stays unanswered'


def get_voters(group: consensus_simulation.Group) -> set[str]:
    """Return the names of the voters as the leader lists them."""
    members = group.find_leader().raft.members.members
    return {member.name for member in members if member.voter}


def replace_member(group: consensus_simulation.Group, gone: str) -> None:
    """Lose a member for good, and let the spare one ask to join."""
    spare = list(group.nodes)[-1]
    group.remove_for_good(group.nodes[gone])
    group.run_for(1.0)
    for _ in range(int(CATCH_UP_S / 0.3)):
        leader = group.find_leader()
        if leader is not None and leader.raft.members is not None:
            listed = [m.name for m in leader.raft.members.members]
            if spare not in listed:
                group.change_members(leader, spare, None)
        group.run_for(0.3)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('is_leader', [True, False])
def test_replaced_member_leaves_an_odd_number_of_voters(seed, is_leader):
    """Guards against four voters, of which one is gone for good.

    Seen as LOST 250 to 307 after `replace_core` and a lost disk: two of four
    voters cannot elect a leader.
    """
    group = start_group(seed)
    leader = group.find_leader().name
    gone = leader if is_leader else min(get_voters(group) - {leader})
    replace_member(group, gone)
    assert get_voters(group) == set(group.nodes) - {gone}
    victim = group.nodes[min(get_voters(group))]
    group.lose_disk(victim)
    group.start(victim)
    group.run_for(CATCH_UP_S)
    commit_commands(group, 3)
    group.check_final_state()


@pytest.mark.parametrize('seed', SEEDS)
def test_voter_that_returns_stays_a_spare(seed):
    """Guards against a fourth voter when a replaced member comes back."""
    group = start_group(seed)
    silent = min(get_voters(group) - {group.find_leader().name})
    group.isolate(silent, True, True)
    spare = list(group.nodes)[-1]
    group.change_members(group.find_leader(), spare, None)
    group.run_for(CATCH_UP_S)
    assert get_voters(group) == set(group.nodes) - {silent}
    group.check_final_state()
    assert len(get_voters(group)) == 3


@pytest.mark.parametrize('seed', SEEDS)
def test_group_without_spare_keeps_a_silent_voter(seed):
    """Guards against a group that shrinks while a member is only cut off."""
    group = start_group(seed)
    silent = min(get_voters(group) - {group.find_leader().name})
    group.isolate(silent, True, True)
    group.run_for(10.0)
    assert silent in get_voters(group)
    commit_commands(group, 2)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('size', [3, 5])
def test_full_disks_in_turn_leave_the_group_available(seed, size):
    """Guards against members that stay out after their disk has room.

    Seen on mesz-sched, seed 77, with the disks full one after the other:
    changes stayed unanswered to the end of the day.
    """
    group = start_group(seed, size)
    for name in list(group.nodes)[:size]:
        node = group.nodes[name]
        node.is_full = True
        commit_commands(group, 4)
        assert group.find_leader() is not node
        node.is_full = False
        group.run_for(0.2)
    group.run_for(RETURN_S)
    commit_commands(group, 3)
    assert not any(node.unwritten for node in group.nodes.values())
    group.check_final_state()


@pytest.mark.parametrize('seed', SEEDS)
def test_group_returns_after_all_disks_were_full(seed):
    """Guards against a group that elects nobody once there is room."""
    group = start_group(seed)
    for node in group.nodes.values():
        node.is_full = True
    group.propose(group.find_leader())
    group.run_for(5.0)
    leader = group.find_leader()
    assert (
        leader is None or leader.raft.commit_index <= group.acknowledged_index
    )
    for node in group.nodes.values():
        node.is_full = False
    group.run_for(RETURN_S)
    commit_commands(group, 3)
    group.check_final_state()


def test_leader_with_full_disk_releases_its_followers():
    """Guards against an election timeout without a leader."""
    leader = builders.build_leader()
    actions = leader.handle(events.StorageBlocked(), 110.2)
    sent = [a for a in actions if isinstance(a, events.Send)]
    assert {action.to for action in sent} == {'m1', 'm2'}
    assert all(isinstance(a.message, messages.Release) for a in sent)
    assert leader.role is states.RaftRole.FOLLOWER


def test_member_with_full_disk_neither_votes_nor_acknowledges():
    """Guards against a vote or a copy that a restart forgets."""
    member = builders.build_raft('m1')
    member.handle(events.StorageBlocked(), 110.0)
    for message in (
        messages.PreVote(2, 9, 1, 'm0-0'),
        messages.Vote(2, 9, 1, 'm0-0'),
        messages.Append(1, 1, 1, (), 1, 1),
    ):
        assert not member.handle(events.MessageReceived('m0', message), 110.0)
    assert not member.handle(events.Tick(), 120.0)
    member.handle(events.StorageResumed(), 120.0)
    vote = messages.Vote(2, 9, 1, 'm0-0')
    actions = member.handle(events.MessageReceived('m0', vote), 120.0)
    replies = [a.message for a in actions if isinstance(a, events.Send)]
    assert [reply.granted for reply in replies] == [True]


def restart_all_members(
    group: consensus_simulation.Group, lost_count: int
) -> float:
    """Restart all members but some; return the seconds until one leads."""
    for node in group.nodes.values():
        group.crash(node)
    group.run_for(0.5)
    for node in list(group.nodes.values())[lost_count:]:
        group.start(node, LOADING_S)
        group.run_for(0.02)
    started_at = group.now
    while group.find_leader() is None and group.now < started_at + 5.0:
        group.run_for(0.01)
    return group.now - started_at


@pytest.mark.parametrize('size', [3, 5])
def test_group_has_a_leader_at_once_after_all_members_restart(size):
    """Guards against callers that wait for leases that nobody can hold."""
    waits = [restart_all_members(start_group(seed, size), 0) for seed in SEEDS]
    assert max(waits) < 2 * HEARTBEAT_S


@pytest.mark.parametrize('size', [3, 5])
def test_group_without_one_member_waits_for_its_lease_only(size):
    """Guards against a wait for the loading of the processes on top.

    The member that is missing may still hold a lease, which ends while the
    processes of the others load and wait.
    """
    waits = [restart_all_members(start_group(seed, size), 1) for seed in SEEDS]
    remaining_s = ELECTION_TIMEOUT_S - LOADING_S
    assert statistics.median(waits) < remaining_s + 2 * HEARTBEAT_S
    # The members restart one after the other within 0.1 s.
    assert min(waits) > remaining_s - 0.1 - LEASE_MARGIN_S
