"""Requests of operators to change the group of control members."""

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.consensus import requests
from orioleshore.model import addresses
from orioleshore.model import checks
from orioleshore.model import decoding
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids


class _Change(msgspec.Struct, frozen=True):
    """Body of the request; ``add`` or ``remove`` is required."""

    add: documents.Name | None = None
    address: str = ''
    remove: documents.Name | None = None


def parse_change(text: str) -> Result[requests.ChangeMembers, errors.Failure]:
    """Return the change that a request body describes.

    Fails with ``INVALID_REQUEST``.
    """
    try:
        content = decoding.decode_plain_json(text)
    except decoding.DecodingError as error:
        return _make_error([f'$: expected JSON ({error})'])
    outcome = checks.convert(content, _Change)
    if outcome.is_err():
        return _make_error(outcome.unwrap_err())
    change = outcome.unwrap()
    problems = _find_problems(change)
    if problems:
        return _make_error(problems)
    return Ok(
        requests.ChangeMembers(
            change.add and ids.NodeId(change.add),
            change.address,
            change.remove and ids.NodeId(change.remove),
        )
    )


def _find_problems(change: _Change) -> list[str]:
    if change.add is None:
        if change.remove is None:
            return ['$: expected at least one of: add, remove']
        return []
    try:
        addresses.parse_address(change.address)
    except ValueError as error:
        return [f'$.address: expected "IP address:port" ({error})']
    return []


def _make_error(problems: list[str]) -> Err[errors.Failure]:
    return Err(
        errors.Failure(
            errors.ErrorKind.INVALID_REQUEST,
            'the change of the group is not valid',
            tuple(problems),
        )
    )
