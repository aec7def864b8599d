"""Authorization of changes over HTTP by the operator token."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from burdocklead.exceptions import SettingsError
from burdocklead.process.json_responses import json_response

BEARER = 'Bearer '
MIN_TOKEN_CHARACTERS = 16
UNAUTHORIZED = 401
READ_METHODS = frozenset(('GET', 'HEAD'))


@dataclass(frozen=True, slots=True)
class OperatorCredentials:
    """Operator token, which authorizes requests that change state.

    Attributes:
        token: The operator token; if empty, every request is authorized.
    """

    token: str

    def allows(self, authorization: str) -> bool:
        """Return True if the header has the token, in constant time."""
        if not self.token:
            return True
        presented = authorization.removeprefix(BEARER)
        return hmac.compare_digest(_digest(presented), _digest(self.token))

    def header(self) -> dict[str, str]:
        """Return the header with the token, no header without a token."""
        return {'Authorization': f'{BEARER}{self.token}'} if self.token else {}


def load_operator_credentials(path: Path | None) -> OperatorCredentials:
    """Load the token from a file; without a file, no token is required.

    Raises:
        SettingsError: If the file can't be read or the token is too short.
    """
    if path is None:
        return OperatorCredentials('')
    step = 'operator token'
    try:
        token = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step=step, peer=str(path)) from error
    if len(token) < MIN_TOKEN_CHARACTERS:
        reason = f'must hold at least {MIN_TOKEN_CHARACTERS} characters'
        raise SettingsError(reason, step=step, peer=str(path))
    return OperatorCredentials(token)


def require_token(credentials: OperatorCredentials) -> Middleware:
    """Return a middleware that rejects changes without the token."""

    @web.middleware
    async def check(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        authorization = request.headers.get('Authorization', '')
        reading = request.method in READ_METHODS
        if reading or credentials.allows(authorization):
            return await handler(request)
        content = {
            'error': 'the operator token is missing or wrong',
            'step': 'authorize',
            'peer': request.remote or '',
        }
        return json_response(content, UNAUTHORIZED)

    return check


def _digest(text: str) -> bytes:
    return hashlib.sha256(text.encode(errors='replace')).digest()
