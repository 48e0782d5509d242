"""What a control member tells about itself and its group."""

from collections.abc import Mapping
from typing import Any

from orioleshore.consensus import raft
from orioleshore.model import ids
from orioleshore.model import states


def describe_member(member: raft.Raft) -> dict[str, Any]:
    """Return the role and the log of a member, which may be stale."""
    return {
        'role': member.role.value,
        'term': member.term,
        'leader': member.leader,
        'commit_index': member.commit_index,
        'snapshot_index': member.log.snapshot_index,
        'last_index': member.log.last_index,
        'stamp': member.stamp,
        'is_listed': member.is_listed,
        'may_found': member.can_bootstrap,
    }


def describe_group(
    member: raft.Raft,
    versions: Mapping[ids.NodeId, ids.Version],
    peer_states: Mapping[ids.NodeId, states.PeerState],
) -> dict[str, Any]:
    """Return the members of the group as one of them sees them.

    ``versions`` are the versions of the document in force by process,
    ``peer_states`` what the failure detector says about the processes.
    """
    matches = member.get_match_indexes()
    listed = member.members.members if member.members else ()
    return {
        'leader': member.leader,
        'term': member.term,
        'commit_index': member.commit_index,
        'members': {
            item.name: {
                'address': item.address,
                'voter': item.voter,
                'stamp': item.stamp,
                'match_index': matches.get(item.name),
            }
            for item in listed
        },
        'versions_in_force': dict(sorted(versions.items())),
        'peer_states': {
            node: state.value for node, state in sorted(peer_states.items())
        },
    }
