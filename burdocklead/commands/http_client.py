"""HTTP client of the operator CLI for admin addresses."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

import aiohttp
import msgspec

from burdocklead.exceptions import (
    BadAnswerError,
    BurdockleadError,
    LostAnswerError,
    RefusedError,
    UnreachableError,
)
from burdocklead.values import Address

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
JSON_TYPE = 'application/json'
OK = 200
UNAVAILABLE = 503

BodyT = TypeVar('BodyT')


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: str
    step: str = ''
    peer: str = ''


@dataclass(frozen=True, slots=True)
class Request:
    """HTTP request of a subcommand.

    Attributes:
        step: Name of the subcommand, for error messages.
        method: HTTP method.
        path: Path with its query string.
        body: Complete body.
        headers: Request headers, such as the operator token.
    """

    step: str
    method: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Peer:
    """A process with an admin address.

    Attributes:
        name: Name of the process.
        address: Its admin address.
        authority: CA file for TLS, None for plain HTTP.
    """

    name: str
    address: Address
    authority: Path | None = None

    def url(self, path: str) -> str:
        """Return the URL of a path."""
        scheme = 'http' if self.authority is None else 'https'
        return f'{scheme}://{self.address}{path}'

    def connector(self) -> aiohttp.TCPConnector:
        """Return a connector that trusts the CA file."""
        if self.authority is None:
            return aiohttp.TCPConnector()
        context = ssl.create_default_context(cafile=self.authority)
        return aiohttp.TCPConnector(ssl=context)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response of a process.

    Attributes:
        peer: Name of the process.
        step: Step of the request.
        status: HTTP status code.
        content_type: Media type of the body, without parameters.
        body: Complete body.
    """

    peer: str
    step: str
    status: int
    content_type: str
    body: bytes

    def decode(self, kind: type[BodyT]) -> BodyT:
        """Decode the JSON body.

        Raises:
            BadAnswerError: If the body is not JSON or has another type.
        """
        if self.content_type != JSON_TYPE:
            reason = f'content type is {self.content_type} instead of JSON'
            raise BadAnswerError(reason, step=self.step, peer=self.peer)
        try:
            return msgspec.json.decode(self.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            reason = f'invalid response body: {error}'
            raise BadAnswerError(
                reason, step=self.step, peer=self.peer
            ) from None

    def failure(self) -> BurdockleadError:
        """Return the error for a response that is not a success."""
        try:
            error_body = self.decode(ErrorBody)
        except BadAnswerError as error:
            reason = f'status {self.status}; {error.reason}'
            return BadAnswerError(reason, step=self.step, peer=self.peer)
        kind = LostAnswerError if self.status == UNAVAILABLE else RefusedError
        return kind(error_body.error, step=self.step, peer=self.peer)


async def send_request(
    peer: Peer, request: Request, limit_s: float
) -> HttpResponse:
    """Send a request and return the response.

    Raises:
        UnreachableError: If the connection failed.
        LostAnswerError: If the request was sent and no complete response
            arrived.
    """
    timeout = aiohttp.ClientTimeout(
        total=limit_s, sock_connect=min(CONNECT_TIMEOUT_S, limit_s)
    )
    try:
        async with aiohttp.ClientSession(
            connector=peer.connector(), timeout=timeout
        ) as session:
            return await _send(session, peer, request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise UnreachableError(
            f'no connection to {peer.address}',
            step=request.step,
            peer=peer.name,
        ) from None
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        reason = str(error) or f'no response within {limit_s:g} s'
        raise LostAnswerError(
            reason, step=request.step, peer=peer.name
        ) from None


async def _send(
    session: aiohttp.ClientSession, peer: Peer, request: Request
) -> HttpResponse:
    async with session.request(
        request.method,
        peer.url(request.path),
        data=request.body,
        headers=request.headers,
        allow_redirects=False,
    ) as response:
        body = await _read_bounded(response.content)
        return HttpResponse(
            peer.name,
            request.step,
            response.status,
            response.content_type,
            body,
        )


async def _read_bounded(stream: aiohttp.StreamReader) -> bytes:
    body = bytearray()
    async for chunk in stream.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError('the response is too large')
    return bytes(body)
