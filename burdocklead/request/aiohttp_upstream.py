"""Upstream client that uses aiohttp."""

from __future__ import annotations

import aiohttp
from yarl import URL

from burdocklead.connection.frames import Attempt
from burdocklead.request.headers import (
    ATTEMPT_HEADER,
    ATTEMPT_NUMBER_HEADER,
    DEADLINE_HEADER,
    LENGTH_HEADER,
    NOT_RUN_HEADER,
    forwarded_headers,
)
from burdocklead.request.upstream_client import (
    AnswerTooLarge,
    Upstream,
    UpstreamAnswer,
    UpstreamLost,
    UpstreamRefused,
    UpstreamResult,
)
from burdocklead.values import RefusalCause

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 4.0
READ_CHUNK_BYTES = 262144
SKIPPED_AUTO_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)
NOT_MODIFIED = 304


class AiohttpUpstreamClient:
    """Sends attempts to an upstream over HTTP.

    Attributes:
        max_answer_bytes: Maximum size of an answer's body.
    """

    def __init__(self, max_answer_bytes: int) -> None:
        """Open the client session; needs a running event loop."""
        self.max_answer_bytes = max_answer_bytes
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=KEEP_ALIVE_S
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
        )
        # By default, aiohttp resends idempotent methods such as PUT and DELETE
        # if a reused connection fails, even if the route isn't idempotent.
        self.session._retry_connection = False  # noqa: SLF001, WPS437

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def exchange(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> UpstreamResult:
        """Send an attempt and return the result.

        Cancelling this coroutine aborts the request.
        """
        try:
            return await self._exchange(upstream, attempt, remaining_ms)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return UpstreamRefused(RefusalCause.upstream_unreachable)
        except (aiohttp.ClientError, OSError) as error:
            return UpstreamLost(type(error).__name__, crash_suspected=True)

    async def _exchange(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> UpstreamResult:
        headers = [
            *attempt.headers,
            (DEADLINE_HEADER, f'{remaining_ms:.0f}'),
            (ATTEMPT_HEADER, attempt.attempt_id),
            (ATTEMPT_NUMBER_HEADER, str(attempt.number)),
        ]
        async with self.session.request(
            attempt.method,
            URL(f'http://{upstream.address}{attempt.path}', encoded=True),
            headers=headers,
            data=attempt.body or None,
            allow_redirects=False,
        ) as response:
            body = await self._read_body(response)
            if NOT_RUN_HEADER in response.headers:
                return UpstreamRefused(RefusalCause.upstream_refused)
            if body is None:
                return AnswerTooLarge(response.status)
            return UpstreamAnswer(
                response.status, _headers_of(response, attempt), body
            )

    async def _read_body(
        self, response: aiohttp.ClientResponse
    ) -> bytes | None:
        body = bytearray()
        async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
            body.extend(chunk)
            if len(body) > self.max_answer_bytes:
                return None
        return bytes(body)


def _headers_of(
    response: aiohttp.ClientResponse, attempt: Attempt
) -> tuple[tuple[str, str], ...]:
    headers = forwarded_headers(response.headers.items())
    length = response.headers.get(LENGTH_HEADER)
    has_no_body = attempt.method == 'HEAD' or response.status == NOT_MODIFIED
    if has_no_body and length is not None:
        return (*headers, (LENGTH_HEADER, length))
    return headers
