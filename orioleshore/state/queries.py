"""Read-only queries of the replicated state."""

import enum
import functools
from typing import Any

import msgspec

from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import budgets
from orioleshore.state import records


class _Query(msgspec.Struct, frozen=True, tag=True):
    """Base of all queries; the tag is the class name."""


class GetDocument(_Query, frozen=True):
    """Get the document and its version."""


class GetStatus(_Query, frozen=True):
    """Get a summary of the fleet and the control group."""


class GetDump(_Query, frozen=True):
    """Get the whole replicated state, without recorded answers."""


class SubjectKind(enum.Enum):
    """Kinds of items that can be explained."""

    HOST = 'host'
    POOL = 'pool'
    JOB = 'job'
    WAVE = 'wave'
    REQUEST = 'request'


class Explain(_Query, frozen=True):
    """Get the records that explain the state of an item."""

    kind: SubjectKind
    name: str


class ServiceDemand(msgspec.Struct, frozen=True):
    """Demand for one service at one entry host.

    ``requests`` is the number of requests that the host holds, ``slots``
    the number of slots that all entry hosts share.
    """

    service: ids.ServiceId
    requests: int
    slots: int


class ReportDemand(_Query, frozen=True):
    """Report the demand for services at one node to the leader."""

    node: ids.NodeId
    demands: tuple[ServiceDemand, ...]


class GetMembers(_Query, frozen=True):
    """Get the addresses of the control members."""


Query = GetDocument | GetStatus | GetDump | Explain | ReportDemand | GetMembers

_DECODER = decoding.make_msgpack_decoder(Query)


def encode_query(query: Query) -> bytes:
    """Return the encoded query, as it is sent to a control member."""
    return msgspec.msgpack.encode(query)


def decode_query(data: bytes) -> Query:
    """Return the decoded query.

    Raises DecodingError for an unknown query.
    """
    return _DECODER.decode(data)


@functools.singledispatch
def answer_query(query: Any, state: records.State) -> dict[str, Any]:
    """Return the answer as data that can be encoded as JSON."""
    raise TypeError(f'unknown query {type(query).__name__}')


@answer_query.register
def _(query: GetDocument, state: records.State) -> dict[str, Any]:
    return {
        'version': state.version,
        'document': msgspec.to_builtins(state.document),
    }


@answer_query.register
def _(query: GetStatus, state: records.State) -> dict[str, Any]:
    return {
        'version': state.version,
        'time': state.time,
        'hosts': _count_host_states(state),
        'services': [
            _get_service_status(s, state) for s in _sort_services(state)
        ],
        'waves': {
            name: get_wave_status(wave) for name, wave in state.waves.items()
        },
        'jobs': _count_job_states(state),
        'permissions': {
            name: msgspec.to_builtins(permission)
            for name, permission in state.permissions.items()
            if permission.until > state.time
        },
        'claims': len(state.claims),
    }


@answer_query.register
def _(query: GetDump, state: records.State) -> dict[str, Any]:
    # Claims hold answers with callers' data, so a dump only counts them.
    dump = {
        field: msgspec.to_builtins(getattr(state, field))
        for field in state.__struct_fields__
        if field not in ('claims', 'released')
    }
    dump['claims'] = _count_claim_states(state)
    dump['released'] = len(state.released)
    return dump


@answer_query.register
def _(query: Explain, state: records.State) -> dict[str, Any]:
    return _EXPLAINERS[query.kind](query.name, state)


@answer_query.register
def _(query: ReportDemand, state: records.State) -> dict[str, Any]:
    # The fleet manager processes the report; the state does not change.
    return {}


@answer_query.register
def _(query: GetMembers, state: records.State) -> dict[str, Any]:
    # The consensus member adds the addresses, which are not in the state.
    return {}


def get_wave_status(wave: records.WaveRecord) -> dict[str, Any]:
    """Return the progress of a wave, with the number of hosts by state."""
    counts = {state.value: 0 for state in states.WaveHostState}
    for host in wave.hosts.values():
        counts[host.state.value] += 1
    return {
        'state': wave.state.value,
        'started': wave.started,
        'hosts': counts,
        'paused': dict(sorted(wave.paused.items())),
    }


def _sort_services(state: records.State) -> list:
    return sorted(state.document.services, key=lambda service: service.name)


def _get_service_status(service, state: records.State) -> dict[str, Any]:
    losses = [
        loss
        for loss in budgets.get_losses(state, service.pool)
        if loss.service == service.name
    ]
    return {
        'service': service.name,
        'pool': service.pool,
        'losses': [
            {
                'scope': loss.scope,
                'cores_down': loss.down,
                'cores_allowed': loss.allowed,
                'exceeded': loss.is_exceeded,
            }
            for loss in losses
        ],
    }


def _count_host_states(state: records.State) -> dict[str, int]:
    counts = {value.value: 0 for value in states.HostState}
    for host in state.hosts.values():
        counts[host.state.value] += 1
    return counts


def _count_job_states(state: records.State) -> dict[str, int]:
    counts = {value.value: 0 for value in states.JobState}
    for job in state.jobs.values():
        counts[job.state.value] += 1
    return counts


def _count_claim_states(state: records.State) -> dict[str, int]:
    counts = {value.value: 0 for value in states.ClaimState}
    for claim in state.claims.values():
        counts[claim.state.value] += 1
    return counts


def _explain_host(name: str, state: records.State) -> dict[str, Any]:
    record = state.hosts.get(ids.HostId(name))
    return {
        'host': name,
        'record': msgspec.to_builtins(record),
        'permissions': [
            msgspec.to_builtins(permission)
            for permission in state.permissions.values()
            if permission.host == name
        ],
        'waves': {
            wave_name: msgspec.to_builtins(wave.hosts[name])
            for wave_name, wave in state.waves.items()
            if name in wave.hosts
        },
    }


def _explain_pool(name: str, state: records.State) -> dict[str, Any]:
    return {
        'pool': name,
        'hosts': {
            host: msgspec.to_builtins(record)
            for host, record in sorted(state.hosts.items())
            if record.pool == name
        },
        'losses': [
            msgspec.to_builtins(loss)
            for loss in budgets.get_losses(state, ids.PoolId(name))
        ],
    }


def _explain_job(name: str, state: records.State) -> dict[str, Any]:
    record = state.jobs.get(ids.JobId(name))
    return {'job': name, 'record': msgspec.to_builtins(record)}


def _explain_wave(name: str, state: records.State) -> dict[str, Any]:
    wave = state.waves.get(ids.WaveId(name))
    return {'wave': name, 'record': msgspec.to_builtins(wave)}


def _explain_request(name: str, state: records.State) -> dict[str, Any]:
    found = [
        {
            'key': key,
            'state': claim.state.value,
            'entry_host': claim.entry_host,
            'request': claim.request,
            'status': claim.status,
            'answer_kept': claim.kept,
        }
        for key, claim in state.claims.items()
        if name in (key, claim.request)
    ]
    return {'request': name, 'claims': found}


_EXPLAINERS = {
    SubjectKind.HOST: _explain_host,
    SubjectKind.POOL: _explain_pool,
    SubjectKind.JOB: _explain_job,
    SubjectKind.WAVE: _explain_wave,
    SubjectKind.REQUEST: _explain_request,
}
