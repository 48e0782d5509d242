"""Reads of a control member, answered once their index is applied."""

from typing import Any

import msgspec
from result import Ok
from result import Result

from orioleshore.consensus import member_calls
from orioleshore.consensus import member_core
from orioleshore.consensus import member_messages
from orioleshore.model import errors
from orioleshore.state import queries
from orioleshore.tasks import reply


def answer_ready_reads(core: member_core.MemberCore) -> None:
    """Answer the confirmed reads whose index is applied."""
    waiting = []
    for token, index in core.ready_reads:
        if index <= core.applied_index:
            _answer_read(core, token)
        else:
            waiting.append((token, index))
    core.ready_reads = waiting


def _answer_read(core: member_core.MemberCore, token: int) -> None:
    call = core.calls.get(token)
    if call is None:
        return
    if isinstance(call, member_calls.LocalCall):
        core.answer_call(token, Ok(None))
        return
    # An empty mailbox is false, so it is compared with None.
    has_manager = core.manager is not None
    if isinstance(call.query, queries.Explain) and has_manager:
        # The answer includes explanations from the fleet manager.
        core.calls.remove(token)
        _request_explanation(core, call)
        return
    if isinstance(call.query, queries.ReportDemand) and has_manager:
        # A report that the mailbox rejects is replaced by the next one.
        core.manager.put(member_messages.DemandReceived(call.query))
    content = _get_query_answer(core, call.query)
    core.answer_call(token, Ok(msgspec.json.encode(content)))


def _get_query_answer(
    core: member_core.MemberCore, query: queries.Query
) -> dict[str, Any]:
    content = queries.answer_query(query, core.state)
    if isinstance(query, queries.GetMembers):
        members = core.raft.members.members if core.raft.members else ()
        return {'addresses': [item.address for item in members]}
    if isinstance(query, queries.GetStatus):
        content['group'] = core.describe_group()
    return content


def _request_explanation(
    core: member_core.MemberCore, call: member_calls.RemoteCall
) -> None:
    content = queries.answer_query(call.query, core.state)
    answer: reply.Reply = reply.Reply()
    answer.add_callback(
        lambda outcome: _send_explanation(core, call, content, outcome)
    )
    outcome = core.manager.put(
        member_messages.ExplainRequested(call.query, answer)
    )
    if outcome.is_err():
        answer.resolve(outcome)


def _send_explanation(
    core: member_core.MemberCore,
    call: member_calls.RemoteCall,
    content: dict[str, Any],
    outcome: Result[Any, errors.Failure],
) -> None:
    content['explanations'] = outcome.unwrap_or([])
    core.answer_query(call.header, Ok(msgspec.json.encode(content)))
