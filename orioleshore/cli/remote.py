"""Requests of the command line to the operators' interface."""

import asyncio
import pathlib
from typing import Any

import aiohttp
import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.model import decoding
from orioleshore.model import errors

CALL_TIMEOUT_S = 15.0


class Remote(msgspec.Struct, frozen=True):
    """Base URL of an operators' interface and the token, empty for none."""

    url: str
    token: str = ''


def read_token(path: str) -> Result[str, errors.Failure]:
    """Read a token from a file."""
    try:
        return Ok(pathlib.Path(path).read_text(encoding='utf-8').strip())
    except OSError as error:
        return Err(
            errors.Failure(
                errors.ErrorKind.INVALID_SETTINGS,
                f'token file {path!r} cannot be read: {error.strerror}',
            )
        )


def send_request(
    remote: Remote, method: str, path: str, body: str | None = None
) -> Result[Any, errors.Failure]:
    """Send a request and return the decoded answer."""
    return asyncio.run(_send_request(remote, method, path, body))


async def _send_request(
    remote: Remote, method: str, path: str, body: str | None
) -> Result[Any, errors.Failure]:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    headers = {}
    if remote.token:
        headers['Authorization'] = f'Bearer {remote.token}'
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                remote.url.rstrip('/') + path,
                data=body.encode() if body is not None else None,
                headers=headers,
            ) as response,
        ):
            content = decoding.decode_plain_json(await response.read())
            return _read_answer(response.status, content)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        kind = errors.ErrorKind.PEER_UNREACHABLE
        if method == 'POST':
            kind = errors.ErrorKind.CHANGE_UNKNOWN
        return Err(
            errors.Failure(
                kind, f'no answer from {remote.url}: {error or "timeout"}'
            )
        )


def _read_answer(status: int, content: Any) -> Result[Any, errors.Failure]:
    if status < 300:
        return Ok(content)
    try:
        kind = errors.ErrorKind(content['error'])
    except (KeyError, TypeError, ValueError):
        return Err(
            errors.Failure(
                errors.ErrorKind.PROTOCOL_ERROR, f'answer with status {status}'
            )
        )
    message = content.get('message', f'answer with status {status}')
    details = tuple(content.get('details', ()))
    return Err(errors.Failure(kind, message, details))
