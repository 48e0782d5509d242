"""Failure detectors in a simulated network with seeded schedules."""

import pytest

from orioleshore.membership import events
from orioleshore.membership import packing
from orioleshore.membership import update_queue
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import codec
from orioleshore.protocol import messages
from orioleshore.tests import builders
from orioleshore.tests import membership_network
from orioleshore.tests import support

ALIVE = states.PeerState.ALIVE
DEAD = states.PeerState.DEAD
LEFT = states.PeerState.LEFT
SETTLE_S = 20.0


def _make_network(
    count: int, seed: int = 1, loss_rate: float = 0.0
) -> membership_network.MembershipNetwork:
    def make_detector(node: str, incarnation: int):
        seeds = ('node-0', 'node-1')
        return builders.build_detector(node, incarnation, seeds, seed)

    random = support.get_random(seed)
    network = membership_network.MembershipNetwork(
        make_detector, count, random, loss_rate
    )
    network.run(SETTLE_S)
    return network


def _get_detection_bound_s(count: int) -> float:
    """Return the time within which all members must detect a death.

    Each member probes all others in ``count`` periods of 1 s, and suspicion
    lasts 5 periods; the rest is for spreading the update.
    """
    return count + 5 + 10


@pytest.mark.parametrize('count', [3, 10, 50])
def test_members_find_each_other_through_seeds(count):
    """Guards against members that never discover each other."""
    network = _make_network(count)
    for node in network.detectors:
        assert len(network.get_peer_states(node)) == count - 1
        assert set(network.get_peer_states(node).values()) == {ALIVE}


@pytest.mark.parametrize('count', [3, 10, 50])
@pytest.mark.parametrize('seed', [1, 2])
def test_dead_member_is_detected_in_bounded_time(count, seed):
    """Guards against a killed process that stays in the member list."""
    network = _make_network(count, seed, loss_rate=0.05)
    network.stopped.add('node-2')
    network.run(_get_detection_bound_s(count))
    assert network.get_observed_states('node-2') == {DEAD}


@pytest.mark.parametrize('seed', range(1, 7))
def test_message_loss_declares_no_member_dead(seed):
    """Guards against live processes declared dead after message loss."""
    network = _make_network(12, seed, loss_rate=0.1)
    network.run(60)
    network.loss_rate = 0.0
    network.run(SETTLE_S)
    for node in network.detectors:
        assert network.get_observed_states(node) == {ALIVE}
    assert not network.death_declarations


@pytest.mark.parametrize('count', [3, 5, 12])
def test_isolated_member_declares_no_member_dead(count):
    """Guards against an isolated process that declares all others dead."""
    network = _make_network(count)
    network.isolate('node-1')
    network.run(60)
    assert [d for d in network.death_declarations if d[1] == 'node-1'] == []
    assert network.detectors['node-1'].is_isolated
    assert network.get_observed_states('node-1') == {DEAD}
    network.blocked_links.clear()
    network.run(40)
    assert [d for d in network.death_declarations if d[1] == 'node-1'] == []
    assert not network.detectors['node-1'].is_isolated
    assert network.get_observed_states('node-1') == {ALIVE}


@pytest.mark.parametrize('is_incoming', [True, False])
def test_member_reachable_in_one_direction_is_declared_dead(is_incoming):
    """Guards against a process that can only send, or only receive."""
    network = _make_network(8)
    for other in network.detectors.keys() - {'node-3'}:
        pair = (other, 'node-3') if is_incoming else ('node-3', other)
        network.blocked_links.add(pair)
    network.run(_get_detection_bound_s(8))
    assert network.get_observed_states('node-3') == {DEAD}
    assert [d for d in network.death_declarations if d[1] == 'node-3'] == []


def test_broken_path_is_detected_without_declaring_death():
    """Guards against declaring a member dead for one broken path."""
    network = _make_network(6)
    network.blocked_links.add(('node-4', 'node-2'))
    network.run(30)
    assert network.detectors['node-2'].broken_paths == {'node-4'}
    assert not network.death_declarations
    network.blocked_links.clear()
    network.run(30)
    assert not network.detectors['node-2'].broken_paths


def test_groups_rejoin_after_a_partition():
    """Guards against groups that stay apart after a partition has ended."""
    network = _make_network(12)
    nodes = sorted(network.detectors)
    network.partition(nodes[:4], nodes[4:])
    network.run(120)
    assert network.get_observed_states(nodes[0]) >= {DEAD}
    network.blocked_links.clear()
    network.run(60)
    for node in nodes:
        assert network.get_observed_states(node) == {ALIVE}


def test_paused_member_declares_no_member_dead_and_rejoins():
    """Guards against timers that expire in a pause and declare peers dead."""
    network = _make_network(8)
    network.paused.add('node-5')
    network.run(60)
    assert network.get_observed_states('node-5') == {DEAD}
    network.paused.clear()
    network.run(30)
    assert [d for d in network.death_declarations if d[1] == 'node-5'] == []
    assert network.get_observed_states('node-5') == {ALIVE}


def test_restarted_member_is_alive_for_all_others():
    """Guards against an earlier DEAD state that outlives a restart."""
    network = _make_network(8)
    network.stopped.add('node-3')
    network.run(30)
    network.restart('node-3')
    network.run(10)
    assert network.get_observed_states('node-3') == {ALIVE}
    assert len(network.get_peer_states('node-3')) == 7


def test_leaving_member_is_marked_left_and_never_dead():
    """Guards against a planned stop that is reported as a failure."""
    network = _make_network(12)
    detector = network.detectors['node-4']
    for action in detector.handle(events.LeaveRequested(), network.now):
        network._perform_action('node-4', action)
    network.run(0.2)
    network.stopped.add('node-4')
    network.run(6)
    assert network.get_observed_states('node-4') == {LEFT}
    assert not network.death_declarations


def test_highest_version_reaches_all_members():
    """Guards against a restarted entry host that keeps to an old version."""
    network = _make_network(20)
    event = events.VersionChanged(7)
    network.detectors['node-9'].handle(event, network.now)
    network.run(10)
    for node in network.detectors.keys() - {'node-9'}:
        peers = network.detectors[node].peers.values()
        assert max(peer.version for peer in peers) == 7


@pytest.mark.parametrize('seed', range(1, 9))
def test_members_converge_after_random_faults(seed):
    """Guards against peer states that never converge after mixed faults."""
    random = support.get_random(seed)
    count = random.randint(3, 30)
    network = _make_network(count, seed)
    nodes = sorted(network.detectors)
    for _ in range(12):
        node = random.choice(nodes)
        fault = random.randrange(6)
        if fault == 0:
            network.isolate(node)
        elif fault == 1:
            network.blocked_links.add((node, random.choice(nodes)))
        elif fault == 2:
            network.paused ^= {node}
        elif fault == 3:
            network.stopped.add(node)
        elif fault == 4:
            network.restart(node)
        else:
            network.loss_rate = random.choice([0.0, 0.1, 0.3])
        network.run(random.uniform(0.0, 10.0))
    network.loss_rate = 0.0
    network.blocked_links.clear()
    network.paused.clear()
    for node in sorted(network.stopped)[1:]:
        network.restart(node)
    # Peers that are seen as dead are probed one per period until they rejoin.
    network.run(2 * _get_detection_bound_s(count))
    for node in network.detectors.keys() - network.stopped:
        assert network.get_observed_states(node) == {ALIVE}
    for node in network.stopped:
        assert ALIVE not in network.get_observed_states(node)


def test_messages_stay_within_the_piggyback_limit():
    """Guards against messages that grow with the number of members."""
    network = _make_network(50)
    network.isolate('node-7')
    network.run(20)
    header = messages.Header('node-1', 1, 0, '')
    empty_size = len(codec.encode(header, messages.Probe(1, ())))
    for action in network.sent:
        probe = messages.Probe(1, packing.pack_peers(action.updates))
        size = len(codec.encode(header, probe)) - empty_size
        assert size <= update_queue.MAX_PIGGYBACK_BYTES


def test_updates_are_retransmitted_a_bounded_number_of_times():
    """Guards against updates that are retransmitted forever."""
    queue = update_queue.UpdateQueue(packing.get_update_size)
    peers = {f'node-{n}': builders.build_peer(f'node-{n}') for n in range(60)}
    for node in peers:
        queue.add(node)
    transmissions = 0
    while len(queue):
        transmissions += len(queue.collect_updates((), peers, ()))
    assert transmissions == 60 * update_queue.get_retransmission_limit(60)


def test_second_process_with_the_same_name_is_reported():
    """Guards against an unreported second process with the same name."""
    detector = builders.build_detector('node-1', 5)
    other = builders.build_peer('node-1', address='other', incarnation=6)
    event = events.ProbeReceived('node-2', 'node-2', 1, (other,))
    conflict = events.NameConflictFound('other')
    assert conflict in detector.handle(event, 1_000.0)
    assert detector.own_peer.incarnation == 7
    earlier = builders.build_peer('node-1', address='other', incarnation=4)
    event = events.ProbeReceived('node-2', 'node-2', 2, (earlier,))
    assert conflict not in detector.handle(event, 1_000.0)


def test_acknowledgements_name_the_process_that_probed():
    """Guards against an acknowledgement that a later process takes as its own.

    Each process numbers its probes from 1.
    """
    detector = builders.build_detector()
    probe = events.ProbeReceived('node-2', 'node-2', 1, (), ids.Incarnation(4))
    [ack] = detector.handle(probe, 1_000.0)
    assert ack.recipient == 4
    request = events.IndirectProbeRequested(
        'node-3', 'node-3', 9, 'node-4', 'node-4', (), ids.Incarnation(6)
    )
    [relayed] = detector.handle(request, 1_000.0)
    answer = events.ProbeAnswered('node-4', 'node-4', relayed.sequence, ())
    [ack] = detector.handle(answer, 1_000.0)
    assert (ack.sequence, ack.recipient) == (9, 6)


def test_unreadable_rumours_are_skipped_and_logged(caplog):
    """Guards against unknown states or kinds, and excessive incarnations."""
    good = builders.build_peer(address='127.0.0.1:7001')
    readable = packing.pack_peer(good)
    unknown_state = messages.Rumour(1, 'node-2', 1, 'resting', readable.data)
    unknown_kind = messages.Rumour(9, 'node-3', 1, 'alive', b'')
    undecodable = messages.Rumour(1, 'node-4', 1, 'alive', b'\xff')
    out_of_range = messages.Rumour(
        1, 'node-1', 2**63 - 1, 'dead', readable.data
    )
    peers = packing.unpack_peers(
        (unknown_state, unknown_kind, undecodable, out_of_range, readable)
    )
    assert peers == (good,)
    # An unknown kind is not an error; the other skipped rumours are logged.
    lines = [record.getMessage() for record in caplog.records]
    assert [line.split()[1] for line in lines] == [
        'subject=node-2',
        'subject=node-4',
        'subject=node-1',
    ]
