"""Handlers of claims, which let a request run at most once."""

import msgspec
from result import Ok

from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.state import commands
from orioleshore.state import records
from orioleshore.state import registry

# Claims are kept for this time after their key was issued.
CLAIM_RETENTION_S = 86_400.0
# Limit on the total size of the recorded answers. The oldest are dropped
# first; their claims are kept, so that their requests do not run again.
MAX_KEPT_BYTES = 16_777_216

_FINAL_STATES = frozenset(
    {states.ClaimState.ANSWERED, states.ClaimState.NOT_RUN}
)


class ClaimAnswer(msgspec.Struct, frozen=True):
    """Result of a claim: whether it is granted, and the recorded claim."""

    granted: bool
    record: records.ClaimRecord


@registry.apply.register
def _(
    command: commands.ClaimRequest, state: records.State
) -> registry.CommandResult:
    if command.request in state.released:
        return registry.refuse(
            errors.ErrorKind.CLAIM_UNAVAILABLE,
            'the request was reported as not run before its claim',
        )
    _remove_expired_claims(state)
    if command.issued <= state.time - CLAIM_RETENTION_S:
        return registry.refuse(
            errors.ErrorKind.KEY_EXPIRED,
            f'the key is older than {CLAIM_RETENTION_S:.0f} s, so it is not '
            'known whether the request ran',
        )
    known = state.claims.get(command.key)
    if known is not None and known.state is not states.ClaimState.NOT_RUN:
        if known.digest != command.digest:
            return registry.refuse(
                errors.ErrorKind.KEY_REUSED,
                'the key belongs to a different request',
            )
        granted = known.request == command.request
        return Ok(ClaimAnswer(granted, known))
    record = records.ClaimRecord(
        command.digest,
        command.request,
        command.entry_host,
        command.incarnation,
        command.issued,
        states.ClaimState.CLAIMED,
    )
    state.claims[command.key] = record
    return Ok(ClaimAnswer(True, record))


def _remove_expired_claims(state: records.State) -> None:
    """Remove expired claims, relying on insertion order.

    Claims are inserted almost in the order of their issue times.
    """
    cutoff = state.time - CLAIM_RETENTION_S
    while state.claims:
        key = next(iter(state.claims))
        # A key may have been issued by a clock ahead of the leader's. The
        # keys behind it are removed once it has expired.
        if state.claims[key].issued > cutoff:
            break
        del state.claims[key]
        _remove_kept_answer(key, state)
    while state.released:
        request = next(iter(state.released))
        if state.released[request] > cutoff:
            break
        del state.released[request]


@registry.apply.register
def _(
    command: commands.RecordOutcome, state: records.State
) -> registry.CommandResult:
    known = state.claims.get(command.key)
    if command.outcome is states.ClaimState.NOT_RUN:
        # A claim of this request that is committed later must not get the key.
        state.released[command.request] = state.time
    if known is None or known.request != command.request:
        return Ok(None)
    if known.state in _FINAL_STATES:
        return Ok(None)
    state.claims[command.key] = msgspec.structs.replace(
        known,
        state=command.outcome,
        status=command.status,
        headers=command.headers,
        body=command.body,
        kept=command.kept,
    )
    if command.kept:
        _add_kept_answer(command.key, state)
    return Ok(None)


def _add_kept_answer(key: ids.IdempotencyKey, state: records.State) -> None:
    record = state.claims[key]
    size = len(record.body)
    size += sum(len(name) + len(value) for name, value in record.headers)
    _remove_kept_answer(key, state)
    state.kept_answers[key] = size
    state.kept_bytes += size
    while state.kept_bytes > MAX_KEPT_BYTES:
        oldest = next(iter(state.kept_answers))
        _remove_kept_answer(oldest, state)
        state.claims[oldest] = msgspec.structs.replace(
            state.claims[oldest], headers=(), body=b'', kept=False
        )


def _remove_kept_answer(key: ids.IdempotencyKey, state: records.State) -> None:
    state.kept_bytes -= state.kept_answers.pop(key, 0)


@registry.apply.register
def _(
    command: commands.MarkClaimsUnknown, state: records.State
) -> registry.CommandResult:
    marked = 0
    for key, record in state.claims.items():
        if (
            record.entry_host == command.entry_host
            and record.incarnation <= command.incarnation
            and record.state is states.ClaimState.CLAIMED
        ):
            state.claims[key] = msgspec.structs.replace(
                record, state=states.ClaimState.UNKNOWN
            )
            marked += 1
    return Ok(marked)
