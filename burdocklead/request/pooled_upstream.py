"""Upstream client that uses pooled keep-alive connections and a dialect."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from burdocklead.connection.answer_reader import (
    AnswerLimits,
    RawAnswer,
)
from burdocklead.connection.connection_pool import ConnectionPool
from burdocklead.connection.frames import Attempt
from burdocklead.connection.http_client import (
    ConnectionBroken,
    NotConnected,
    OversizedAnswer,
)
from burdocklead.connection.http_messages import (
    encode_request,
    encode_request_head,
)
from burdocklead.connection.upstream_request import UpstreamRequest
from burdocklead.memory.budget import SMALL_BYTES, MemoryBudget
from burdocklead.request.dialect import UpstreamDialect
from burdocklead.request.upstream_client import (
    AnswerTooLarge,
    Upstream,
    UpstreamLost,
    UpstreamRefused,
    UpstreamResult,
)
from burdocklead.request.upstream_load import PaceView
from burdocklead.settings import DaemonSettings
from burdocklead.values import RefusalCause

MAX_HEALTH_ANSWER_BYTES = 65536


async def _assume_dead() -> bool:
    return False


def answer_limits(settings: DaemonSettings) -> AnswerLimits:
    """Return the limits on the answers of the upstream."""
    return AnswerLimits(
        max_body_bytes=settings.max_answer_bytes,
        max_head_bytes=settings.max_answer_head_bytes,
        max_header_lines=settings.max_answer_header_lines,
        max_skipped=settings.max_skipped_answers,
        head_timeout_s=settings.answer_head_timeout,
        min_body_rate=settings.min_answer_rate,
        max_idle_s=settings.upstream_keep_alive,
    )


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

    def __init__(
        self,
        dialect: UpstreamDialect,
        limits: AnswerLimits,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Initialize the client without connections."""
        self.dialect = dialect
        self.pool = ConnectionPool(limits, budget)
        self.health_pool = ConnectionPool(
            replace(limits, max_body_bytes=MAX_HEALTH_ANSWER_BYTES)
        )
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
        result = await self.pool.exchange(
            upstream.address,
            self._create_request(upstream, attempt, remaining_ms),
        )
        match result:
            case RawAnswer():
                self.observe_load(result)
                return self._read_answer(attempt, result)
            case OversizedAnswer(status):
                return AnswerTooLarge(status)
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
            UpstreamRequest('GET', encode_request('GET', path, host, b'')),
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

    def _create_request(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> UpstreamRequest:
        """Encode a request; a large body is not copied behind the head."""
        content = encode_request_head(
            attempt.method,
            attempt.path,
            self.dialect.request_headers(upstream, attempt, remaining_ms),
            len(attempt.body),
        )
        large = len(attempt.body) > SMALL_BYTES
        return UpstreamRequest(
            attempt.method,
            content if large else content + attempt.body,
            self.dialect.answer_id(attempt),
            self.dialect.read_answer_id,
            attempt.body if large else b'',
        )

    def _read_answer(
        self, attempt: Attempt, answer: RawAnswer
    ) -> UpstreamResult:
        result = self.dialect.read_answer(attempt, answer)
        if isinstance(result, UpstreamRefused):
            self.pool.record_refusal(self.dialect.answer_id(attempt))
        return result
