"""HTTP requests and responses, independent of their connections."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

from burdocklead.connection.frames import Headers
from burdocklead.values import Body

ENCODING = 'latin-1'
NO_BODY_STATUSES = frozenset((204, 304))
FIRST_FINAL_STATUS = 200
# RFC 9110, section 15: a status outside of this range is invalid.
DEFINED_STATUSES = range(100, 600)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Headers in the order received.
        body: Complete body.
        arrived: Loop time in seconds at which reading it began.
    """

    method: str
    target: str
    headers: Headers
    body: Body
    arrived: float

    def find(self, name: str) -> str | None:
        """Return the first value of a header, None if it is missing."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Headers in order, without hop-by-hop headers.
        body: Complete body.
        close: True to close the connection after the response.
    """

    status: int
    headers: Headers = ()
    body: Body = b''
    close: bool = False


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first value of a header, None if it is missing."""
    wanted = name.lower()
    for key, text in headers:
        if key.lower() == wanted:
            return text
    return None


def encode_request(
    method: str, target: str, headers: Headers, body: Body
) -> bytes:
    """Return an encoded request with a Content-Length if one is needed."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(
    method: str, target: str, headers: Headers, body_bytes: int
) -> bytes:
    """Return the encoded head of a request with a body of a size."""
    lines = [f'{method} {target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers)
    if body_bytes or method in {'POST', 'PUT', 'PATCH'}:
        lines.append(f'Content-Length: {body_bytes}')
    return _encode_head(lines)


def encode_response(
    response: HttpResponse, *, close: bool, head_only: bool
) -> bytes:
    """Return an encoded response.

    Args:
        response: The response.
        close: True to add ``Connection: close``.
        head_only: True for the response to a HEAD request.
    """
    head = encode_response_head(response, close=close, head_only=head_only)
    if head_only or response.status in NO_BODY_STATUSES:
        return head
    return head + response.body


def encode_response_head(
    response: HttpResponse, *, close: bool, head_only: bool
) -> bytes:
    """Return the encoded head of a response.

    Args:
        response: The response.
        close: True to add ``Connection: close``.
        head_only: True for the response to a HEAD request.
    """
    phrase = _reason_phrase(response.status)
    lines = [f'HTTP/1.1 {response.status} {phrase}']
    lines.extend(f'{name}: {text}' for name, text in response.headers)
    if response.status not in NO_BODY_STATUSES and not head_only:
        lines.append(f'Content-Length: {len(response.body)}')
    if close:
        lines.append('Connection: close')
    return _encode_head(lines)


def _encode_head(lines: list[str]) -> bytes:
    text = '\r\n'.join(lines)
    return f'{text}\r\n\r\n'.encode(ENCODING, 'replace')


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
