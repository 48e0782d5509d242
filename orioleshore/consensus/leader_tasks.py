"""Messages to the tasks that run at the leader."""

from typing import Any

import msgspec
from result import Ok
from result import Result

from orioleshore.consensus import member_calls
from orioleshore.consensus import member_core
from orioleshore.consensus import member_messages
from orioleshore.jobs import calls as job_calls
from orioleshore.jobs import ledger
from orioleshore.jobs import ledger_copies
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.protocol import messages
from orioleshore.state import records
from orioleshore.tasks import reply


def start_leader_tasks(core: member_core.MemberCore) -> None:
    """Send the state to the tasks that run at the leader.

    This happens once the first entry of the term is applied.
    """
    core.has_started_leader_tasks = True
    epoch = ids.Epoch(core.raft.term)
    if core.manager is not None:
        encoded_state = records.encode_state(
            msgspec.structs.replace(
                core.state,
                claims={},
                released={},
                ledger=ledger.Ledger(),
            )
        )
        outcome = core.manager.put(
            member_messages.LeadershipGained(epoch, encoded_state)
        )
        core.is_manager_behind = outcome.is_err()
    resend_ledger(core)


def resend_ledger(core: member_core.MemberCore) -> None:
    """Send the jobs to the job scheduler once leader tasks may start."""
    if core.jobs is None or not core.has_started_leader_tasks:
        return
    core.jobs.put(
        member_messages.SchedulingGained(
            ids.Epoch(core.raft.term),
            ledger_copies.copy_ledger(core.state.ledger),
        )
    )


def forward_jobs_call(
    core: member_core.MemberCore, received: messages.Received
) -> None:
    """Forward a call to the job scheduler, which runs at the leader."""
    header = received.header
    if core.jobs is None or not core.has_started_leader_tasks:
        leader = core.get_leader_address()
        if core.is_leader:
            # The leader's state is incomplete until the first entry of
            # its term is applied, so the caller has to retry.
            leader = ''
        core.calls.send_reply(
            header,
            messages.QueryReply(
                errors.ErrorKind.NOT_LEADER.value, '', b'', leader
            ),
        )
        return
    try:
        call = job_calls.decode_call(received.message.parameters)
    except decoding.DecodingError as error:
        failure = member_calls.build_failure(
            errors.ErrorKind.PROTOCOL_ERROR, str(error)
        )
        core.answer_query(header, failure)
        return
    answer: reply.Reply = reply.Reply()
    answer.add_callback(
        lambda outcome: _send_jobs_answer(core, header, outcome)
    )
    request = job_calls.CallRequest(call, answer, core.get_now())
    outcome = core.jobs.put(request)
    if outcome.is_err():
        answer.resolve(outcome)


def _send_jobs_answer(
    core: member_core.MemberCore,
    header: messages.Header,
    outcome: Result[Any, errors.Failure],
) -> None:
    if outcome.is_ok():
        content = job_calls.encode_answer(outcome.unwrap())
        core.answer_query(header, Ok(content))
        return
    failure = outcome.unwrap_err()
    # The answer of a failed call holds the retry delay in seconds.
    core.calls.send_reply(
        header,
        messages.QueryReply(
            failure.kind.value,
            failure.message,
            job_calls.encode_answer(failure.retry_after_s),
            core.get_leader_address(),
        ),
    )
