"""Upstream client that uses pooled keep-alive connections and a dialect."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from burdocklead.connection.frames import Attempt
from burdocklead.connection.http_client import (
    ConnectionBroken,
    ConnectionPool,
    NotConnected,
    RawAnswer,
)
from burdocklead.connection.http_messages import encode_request
from burdocklead.request.dialect import UpstreamDialect
from burdocklead.request.upstream_client import (
    Upstream,
    UpstreamLost,
    UpstreamRefused,
    UpstreamResult,
)
from burdocklead.request.upstream_load import PaceView
from burdocklead.values import RefusalCause


async def _assume_dead() -> bool:
    return False


class PooledUpstreamClient:
    """Sends attempts to an upstream in its header dialect.

    Attributes:
        dialect: Header dialect of the upstream.
        pool: Connections for attempts.
        health_pool: Connections for health checks.
        pace: Pace that the upstream reports.
        is_alive: Checks whether the upstream is running. Until it is set,
            every connection that closes without an answer counts as a crash.
    """

    def __init__(self, dialect: UpstreamDialect, max_answer_bytes: int) -> None:
        """Initialize the client without connections."""
        self.dialect = dialect
        self.pool = ConnectionPool(max_answer_bytes)
        self.health_pool = ConnectionPool(max_answer_bytes)
        self.pace = PaceView()
        self.is_alive: Callable[[], Awaitable[bool]] = _assume_dead

    async def close(self) -> None:
        """Close all connections."""
        self.pool.close()
        self.health_pool.close()

    async def exchange(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> UpstreamResult:
        """Send an attempt and return the result.

        Cancelling this coroutine aborts the request.
        """
        content = encode_request(
            attempt.method,
            attempt.path,
            self.dialect.request_headers(upstream, attempt, remaining_ms),
            attempt.body,
        )
        result = await self.pool.exchange(
            upstream.address,
            attempt.method,
            content,
            self.dialect.answer_check(attempt),
        )
        match result:
            case RawAnswer():
                self.observe_load(result)
                return self.dialect.read_answer(attempt, result)
            case NotConnected():
                return UpstreamRefused(RefusalCause.upstream_unreachable)
            case ConnectionBroken(reason, answered, _):
                crash_suspected = not answered and not await self.is_alive()
                return UpstreamLost(reason, crash_suspected=crash_suspected)

    async def check_health(
        self, upstream: Upstream, path: str
    ) -> RawAnswer | None:
        """Return the answer to a health check, None if there is none."""
        host = (('Host', str(upstream.address)),)
        result = await self.health_pool.exchange(
            upstream.address,
            'GET',
            encode_request('GET', path, host, b''),
            bool,
        )
        if not isinstance(result, RawAnswer):
            return None
        self.observe_load(result)
        return result

    def observe_load(self, answer: RawAnswer) -> None:
        """Record the load that an answer reports, if any."""
        load = self.dialect.read_load(answer.headers)
        if load is not None:
            self.pace.observe(load, asyncio.get_running_loop().time())
