"""Authentication of operators."""

import base64
import binascii
import hashlib
import hmac
import pathlib
import secrets

from aiohttp import web

OPERATOR_KEY = web.RequestKey('operator', str)


class Authenticator:
    """Checks the tokens of operators.

    ``token_files`` maps operators to files with their tokens. The files are
    read at each request, so a replaced token is valid at once. Clients send
    "Authorization: Bearer <token>"; browsers send the token as the password
    of HTTP Basic authentication.
    """

    def __init__(self, token_files: dict[str, str]) -> None:
        self._token_files = token_files
        self._form_key = secrets.token_bytes(32)

    def find_operator(self, request: web.Request) -> str | None:
        """Return the operator of the token in the request, None if invalid."""
        token = _parse_token(request.headers.get('Authorization', ''))
        if not token:
            return None
        for operator, path in self._token_files.items():
            expected = _read_token(path)
            if expected and hmac.compare_digest(
                expected.encode(), token.encode('utf-8', 'replace')
            ):
                return operator
        return None

    def get_form_token(self, operator: str) -> str:
        """Return the token that protects a form from cross-site requests."""
        return hmac.new(
            self._form_key, operator.encode(), hashlib.sha256
        ).hexdigest()

    def is_form_token_valid(self, operator: str, token: str) -> bool:
        """Return whether the token of a form belongs to this operator."""
        # Texts with other characters than ASCII cannot be compared.
        return hmac.compare_digest(
            self.get_form_token(operator).encode(),
            token.encode('utf-8', 'replace'),
        )


def _parse_token(header: str) -> str:
    scheme, _, value = header.partition(' ')
    if scheme.lower() == 'bearer':
        return value.strip()
    if scheme.lower() != 'basic':
        return ''
    try:
        decoded = base64.b64decode(value, validate=True).decode()
    except (binascii.Error, UnicodeDecodeError):
        return ''
    return decoded.partition(':')[2]


def _read_token(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding='utf-8').strip()
    except OSError:
        return ''
