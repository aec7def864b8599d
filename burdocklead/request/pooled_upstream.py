"""Exchanges with the upstream beside this daemon over kept connections."""

from __future__ import annotations

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
from burdocklead.values import RefusalCause


class PooledUpstreamClient:
    """Carries attempts to an upstream in a dialect.

    Attributes:
        dialect: Headers of the upstream.
        pool: Kept connections.
    """

    def __init__(self, dialect: UpstreamDialect, max_answer_bytes: int) -> None:
        """Start without connections."""
        self.dialect = dialect
        self.pool = ConnectionPool(max_answer_bytes)

    async def close(self) -> None:
        """Close all connections."""
        self.pool.close()

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
                return self.dialect.read_answer(attempt, result)
            case NotConnected():
                return UpstreamRefused(RefusalCause.upstream_unreachable)
            case Broken(reason, answered, _):
                return UpstreamLost(reason, crashed=not answered)
