"""Converts answers of the platform about hosts and of the policy service.

The field names of these bodies are used here only. Lists are decoded row by
row, since their entries may come from other writers.
"""

from typing import Annotated

import msgspec

from orioleshore.jobs import calls
from orioleshore.jobs import specs
from orioleshore.model import decoding
from orioleshore.model import ids
from orioleshore.model import json_rows
from orioleshore.model import states

_MAX_NUMBER = 2**63 - 1
_Size = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]
# The token of the next page, which goes into a query parameter.
_Token = Annotated[str, msgspec.Meta(max_length=4_096)] | _Size | None


class _Capacity(msgspec.Struct, frozen=True):
    cpus: _Size = 0
    mem_mb: _Size = 0
    gpus: _Size = 0


class _Machine(msgspec.Struct):
    machine: _Name
    pool: str
    state: states.PlatformHostState
    capacity: _Capacity = _Capacity()


class _Page(msgspec.Struct):
    machines: tuple[_Machine, ...]
    next_token: _Token = None


# A worker and its ticket.
_Approval = tuple[_Name, str]


class _Approvals(msgspec.Struct):
    approved: tuple[_Approval, ...] = ()
    validity_ms: _Size = 0


class _Refusal(msgspec.Struct):
    # Why the order was refused: fence, busy or wave.
    reason: str = ''


class HostPage(msgspec.Struct, frozen=True):
    """One page of the list of hosts, with the rows that are odd."""

    hosts: tuple[calls.HostInfo, ...]
    odd: tuple[json_rows.OddRow, ...]
    next_token: str | int | None


class Approvals(msgspec.Struct, frozen=True):
    """Pairs of an approved worker and its ticket, and the odd rows."""

    approved: tuple[tuple[ids.WorkerId, str], ...]
    odd: tuple[json_rows.OddRow, ...]
    validity_ms: int


_PAGE_DECODER = decoding.make_json_decoder(_Page)
_APPROVALS_DECODER = decoding.make_json_decoder(_Approvals)
_REFUSAL_DECODER = decoding.make_json_decoder(_Refusal)
_TOKEN_DECODER = decoding.make_json_decoder(_Token)
_VALIDITY_DECODER = decoding.make_json_decoder(_Size)
_MACHINE_ROWS = json_rows.RowDecoder(
    _Machine, json_rows.make_member_reader('machine')
)
_APPROVAL_ROWS = json_rows.RowDecoder(_Approval, json_rows.make_item_reader(0))


def decode_page(body: bytes) -> HostPage:
    """Return a page of the list of hosts.

    Raises DecodingError if the list or the next token cannot be found in it.
    """
    try:
        page = _PAGE_DECODER.decode(body)
        rows = json_rows.Rows(page.machines, ())
        token = page.next_token
    except decoding.DecodingError:
        members = json_rows.split_object(body)
        rows = _MACHINE_ROWS.decode(members.get('machines', b''))
        token = _TOKEN_DECODER.decode(members.get('next_token', b'null'))
    hosts = tuple(_make_host(row) for row in rows.rows)
    return HostPage(hosts, rows.odd, token)


def decode_approvals(body: bytes) -> Approvals:
    """Return the approved workers; raises DecodingError without a list."""
    try:
        content = _APPROVALS_DECODER.decode(body)
        return Approvals(content.approved, (), content.validity_ms)
    except decoding.DecodingError:
        members = json_rows.split_object(body)
        rows = _APPROVAL_ROWS.decode(members.get('approved', b'[]'))
        validity = _VALIDITY_DECODER.decode(members.get('validity_ms', b'0'))
        return Approvals(rows.rows, rows.odd, validity)


def decode_reason(body: bytes) -> str:
    """Return why an order was refused, empty if the body does not say."""
    try:
        return _REFUSAL_DECODER.decode(body).reason
    except decoding.DecodingError:
        return ''


def _make_host(row: _Machine) -> calls.HostInfo:
    return calls.HostInfo(
        ids.HostId(row.machine),
        ids.PoolId(row.pool),
        row.state,
        specs.Resources(
            row.capacity.cpus, row.capacity.mem_mb, row.capacity.gpus
        ),
    )
