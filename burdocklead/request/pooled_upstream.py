"""Exchanges with the upstream beside this daemon over kept connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from burdocklead.connection.frames import Attempt
from burdocklead.connection.http_client import (
    Broken,
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
    """Carries attempts to an upstream in a dialect.

    Attributes:
        dialect: Headers of the upstream.
        pool: Kept connections for attempts.
        health_pool: The kept connection for health checks.
        pace: What the upstream tells of its pace.
        is_alive: Asks whether the upstream runs; until it is set, every
            connection that closes without an answer counts as a crash.
    """

    def __init__(self, dialect: UpstreamDialect, max_answer_bytes: int) -> None:
        """Start without connections."""
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
        """Return what came of one exchange; a cancelled one is cut."""
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
                self.observe(result)
                return self.dialect.read_answer(attempt, result)
            case NotConnected():
                return UpstreamRefused(RefusalCause.upstream_unreachable)
            case Broken(reason, answered, _):
                crashed = not answered and not await self.is_alive()
                return UpstreamLost(reason, crashed=crashed)

    async def check_health(
        self, upstream: Upstream, path: str
    ) -> RawAnswer | None:
        """Return the answer of the health page, None if none came."""
        host = (('Host', str(upstream.address)),)
        result = await self.health_pool.exchange(
            upstream.address,
            'GET',
            encode_request('GET', path, host, b''),
            bool,
        )
        if not isinstance(result, RawAnswer):
            return None
        self.observe(result)
        return result

    def observe(self, answer: RawAnswer) -> None:
        """Take note of the load that an answer tells."""
        load = self.dialect.read_load(answer.headers)
        if load is not None:
            self.pace.observe(load, asyncio.get_running_loop().time())
