"""HTTP/1.1 client connection to an upstream.

Requests are not pipelined. Data that belongs to no pending request is
discarded, and its connection is not reused.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, replace
from typing import cast

from burdocklead.connection.answer_reader import (
    AnswerLimits,
    AnswerReader,
    RawAnswer,
)
from burdocklead.connection.frames import Headers
from burdocklead.connection.http_messages import find_header
from burdocklead.connection.upstream_request import UpstreamRequest
from burdocklead.memory.budget import MemoryBudget

TCP_USER_TIMEOUT_MS = 1500  # Loopback ACKs are immediate unless the VM pauses.
KEEP_ALIVE_MARGIN_S = 1.0  # An upstream may close slightly early.
KEEP_ALIVE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class OversizedAnswer:
    """The body of the answer exceeds the size limit.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection could be opened; nothing was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """The connection failed before a complete answer was received.

    Attributes:
        reason: Short description of the failure.
        answered: True if part of an answer was received.
        reused: True if the connection had carried an earlier exchange.
    """

    reason: str
    answered: bool
    reused: bool


ExchangeResult = RawAnswer | OversizedAnswer | NotConnected | ConnectionBroken


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream.

    Attributes:
        reader: Parses the answers.
        exchange_count: Number of exchanges that have ended.
        idle_since: Loop time in seconds at which the last exchange ended.
        idle_timeout_s: Idle time in seconds after which it is not reused.
    """

    def __init__(
        self, limits: AnswerLimits, budget: MemoryBudget | None = None
    ) -> None:
        """Initialize a connection that is not open yet."""
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.reader = AnswerReader(self, limits, budget)
        self.waiter: asyncio.Future[ExchangeResult] | None = None
        self.exchange_count = 0
        self.idle_since = self.loop.time()
        self.idle_timeout_s = limits.max_idle_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP_USER_TIMEOUT."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Complete or fail the pending exchange."""
        self.transport = None
        self.reader.end(error)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort if no exchange is pending."""
        if self.waiter is None or self.waiter.done():
            self.abort()
            return
        self.reader.feed(data)

    def finish(self, answer: RawAnswer) -> None:
        """Return the answer from the pending exchange."""
        self._read_keep_alive_timeout(answer.headers)
        self._set_result(answer)

    def reject_body(self, status: int) -> None:
        """End the pending exchange with an answer that is too large."""
        self._set_result(OversizedAnswer(status))
        self.abort()

    def fail(self, reason: str, *, answered: bool) -> None:
        """Fail the pending exchange and abort the connection."""
        self._set_result(
            ConnectionBroken(reason, answered, self.exchange_count > 0)
        )
        self.abort()

    def pause_body(self) -> None:
        """Leave the rest of a body unread."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_body(self) -> None:
        """Read the rest of a body."""
        if self.transport is not None:
            self.transport.resume_reading()

    async def exchange(self, request: UpstreamRequest) -> ExchangeResult:
        """Send one request and return the result.

        Cancelling this coroutine aborts the connection.
        """
        if self.transport is None:
            return ConnectionBroken(
                'closed before the request', False, self.exchange_count > 0
            )
        self.reader.start(request, is_first=not self.exchange_count)
        self.waiter = self.loop.create_future()
        self.transport.write(request.content)
        if request.body:
            self.transport.write(request.body)
        try:
            return await self.waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._end_exchange()

    def is_reusable(self) -> bool:
        """Return True if it is open and may carry another exchange."""
        return self.reader.clean and self.transport is not None

    def can_reuse(self, now: float) -> bool:
        """Return True if it is reusable and within its idle timeout."""
        return (
            self.is_reusable() and now - self.idle_since < self.idle_timeout_s
        )

    def abort(self) -> None:
        """Close the connection immediately."""
        self.reader.clean = False
        if self.transport is not None:
            self.transport.abort()

    def _end_exchange(self) -> None:
        self.waiter = None
        self.reader.drop()
        if self.reader.request.body:
            # The connection may be idle for long; it must not keep the body.
            self.reader.request = replace(self.reader.request, body=b'')
        self.exchange_count += 1
        self.idle_since = self.loop.time()
        unsent = self.transport and self.transport.get_write_buffer_size()
        # With unsent bytes, the upstream answered before it had the request.
        if unsent or not self.is_reusable():
            self.abort()

    def _read_keep_alive_timeout(self, headers: Headers) -> None:
        text = find_header(headers, 'keep-alive') or ''
        for part in text.split(','):
            name, _, number = part.strip().partition('=')
            if name.lower() == 'timeout' and number.isdecimal():
                keep_alive_s = float(number)
                self.idle_timeout_s = min(
                    keep_alive_s * KEEP_ALIVE_SHARE,
                    keep_alive_s - KEEP_ALIVE_MARGIN_S,
                    self.limits.max_idle_s,
                )

    def _set_result(self, result: ExchangeResult) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(result)
