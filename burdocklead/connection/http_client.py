"""HTTP/1.1 client with a pool of keep-alive connections to one upstream.

Requests are not pipelined. Data that belongs to no pending request is
discarded, and its connection is not reused.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from burdocklead.connection.frames import Headers
from burdocklead.connection.http_messages import (
    ENCODING,
    FIRST_FINAL_STATUS,
    NO_BODY_STATUSES,
    find_header,
)
from burdocklead.values import Address

CONNECT_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT_MS = 1500  # Loopback ACKs are immediate unless the VM pauses.
MAX_IDLE_S = 60.0
KEEP_ALIVE_MARGIN_S = 1.0  # An upstream may close slightly early.
KEEP_ALIVE_SHARE = 0.8

AnswerCheck = Callable[[Headers], bool]


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """A complete answer of an upstream.

    Attributes:
        status: HTTP status.
        headers: Headers in the order received.
        body: Complete body.
    """

    status: int
    headers: Headers
    body: bytes


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


ExchangeResult = RawAnswer | NotConnected | ConnectionBroken


@dataclass(slots=True)
class PartialAnswer:
    """An answer that is being received."""

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream.

    Attributes:
        reusable: True while the connection may carry another exchange.
        exchange_count: Number of exchanges that have ended.
        idle_since: Loop time in seconds at which the last exchange ended.
        idle_timeout_s: Idle time in seconds after which it is not reused.
    """

    def __init__(self, max_body_bytes: int) -> None:
        """Initialize a connection that is not open yet."""
        self.max_body_bytes = max_body_bytes
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.partial: PartialAnswer | None = None
        self.waiter: asyncio.Future[ExchangeResult] | None = None
        self.matches_request: AnswerCheck | None = None
        self.method = ''
        self.reusable = True
        self.exchange_count = 0
        self.idle_since = self.loop.time()
        self.idle_timeout_s = MAX_IDLE_S
        self.body_ends_at_close = False

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
        self.reusable = False
        if (
            self.body_ends_at_close
            and error is None
            and self.partial is not None
        ):
            self._finish_answer(self.partial)
            return
        reason = str(error) if error else 'closed by the upstream'
        self._fail_exchange(reason)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort if no exchange is pending."""
        if self.waiter is None or self.waiter.done():
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail_exchange('an upgrade nobody asked for')
        except httptools.HttpParserError as error:
            self._fail_exchange(f'no HTTP answer: {error}')

    def on_message_begin(self) -> None:
        """Start an answer; an unsolicited one prevents reuse."""
        if self.waiter is None or self.waiter.done():
            self.reusable = False
        self.partial = PartialAnswer()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header to the answer."""
        if self.partial is not None:
            pair = (name.decode(ENCODING), text.decode(ENCODING).strip())
            self.partial.headers.append(pair)

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is delimited."""
        partial = self.partial
        if partial is None:
            return
        partial.status = self.parser.get_status_code()
        has_length = find_header(partial.headers, 'content-length') is not None
        coding = find_header(partial.headers, 'transfer-encoding') or ''
        chunked = 'chunked' in coding.lower()
        final = partial.status >= FIRST_FINAL_STATUS
        has_body = final and partial.status not in NO_BODY_STATUSES
        self.body_ends_at_close = has_body and not has_length and not chunked
        if self.method == 'HEAD' and final:
            self.reusable = False
            self._finish_answer(partial)

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        if self.partial is None:
            return
        self.partial.body.append(chunk)
        self.partial.body_bytes += len(chunk)
        if self.partial.body_bytes > self.max_body_bytes:
            self._fail_exchange('the answer is too large')

    def on_message_complete(self) -> None:
        """Finish the answer; skip an interim (1xx) response."""
        partial = self.partial
        if partial is None:
            return
        if partial.status < FIRST_FINAL_STATUS:
            self.partial = None
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        self._finish_answer(partial)

    async def exchange(
        self, method: str, content: bytes, matches_request: AnswerCheck
    ) -> ExchangeResult:
        """Send one request and return the result.

        Cancelling this coroutine aborts the connection.

        Args:
            method: HTTP method of the request.
            content: The encoded request.
            matches_request: Returns True if an answer with these headers
                belongs to the request; other answers are ignored.
        """
        if self.transport is None:
            return ConnectionBroken(
                'closed before the request', False, self.exchange_count > 0
            )
        self.method = method
        self.matches_request = matches_request
        self.partial = None
        self.waiter = self.loop.create_future()
        self.transport.write(content)
        try:
            return await self.waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._end_exchange()

    def can_reuse(self, now: float) -> bool:
        """Return True if it is open, reusable and within its idle timeout."""
        if not self.reusable or self.transport is None:
            return False
        return now - self.idle_since < self.idle_timeout_s

    def abort(self) -> None:
        """Close the connection immediately."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def _end_exchange(self) -> None:
        self.waiter = None
        self.exchange_count += 1
        self.idle_since = self.loop.time()
        if self.transport and self.transport.get_write_buffer_size():
            # The upstream answered before the whole request was sent.
            self.reusable = False
        if not self.reusable:
            self.abort()

    def _finish_answer(self, partial: PartialAnswer) -> None:
        self.partial = None
        self.body_ends_at_close = False
        headers = tuple(partial.headers)
        waiter = self.waiter
        if waiter is None or waiter.done():
            self.reusable = False
            return
        if self.matches_request is not None and not self.matches_request(
            headers
        ):
            self.reusable = False
            if self.transport is None:
                self._fail_exchange(
                    'closed after the answer to another request'
                )
            return
        self._read_keep_alive_timeout(headers)
        waiter.set_result(
            RawAnswer(partial.status, headers, b''.join(partial.body))
        )

    def _read_keep_alive_timeout(self, headers: Headers) -> None:
        text = find_header(headers, 'keep-alive') or ''
        for part in text.split(','):
            name, _, number = part.strip().partition('=')
            if name.lower() == 'timeout' and number.isdigit():
                keep_alive_s = float(number)
                self.idle_timeout_s = min(
                    keep_alive_s * KEEP_ALIVE_SHARE,
                    keep_alive_s - KEEP_ALIVE_MARGIN_S,
                    MAX_IDLE_S,
                )

    def _fail_exchange(self, reason: str) -> None:
        """Fail the pending exchange and abort the connection."""
        waiter = self.waiter
        if waiter is not None and not waiter.done():
            answer_started = self.partial is not None
            waiter.set_result(
                ConnectionBroken(
                    reason, answer_started, self.exchange_count > 0
                )
            )
        self.abort()


class ConnectionPool:
    """Pool of keep-alive connections to the upstream beside this daemon.

    Attributes:
        max_body_bytes: Maximum size of an answer body.
        opened: Number of connections opened so far.
        idle: Idle connections, most recently used last.
        address: Upstream of the idle connections.
    """

    def __init__(self, max_body_bytes: int) -> None:
        """Initialize an empty pool."""
        self.max_body_bytes = max_body_bytes
        self.opened = 0
        self.idle: list[UpstreamConnection] = []
        self.address: Address | None = None

    async def exchange(
        self,
        address: Address,
        method: str,
        content: bytes,
        matches_request: AnswerCheck,
    ) -> ExchangeResult:
        """Send one request over an idle or new connection."""
        connection = self._take_idle(address)
        if connection is None:
            try:
                connection = await self._open(address)
            except (OSError, TimeoutError) as error:
                return NotConnected(str(error) or 'no connection in time')
        result = await connection.exchange(method, content, matches_request)
        if connection.reusable and address == self.address:
            self.idle.append(connection)
        else:
            connection.abort()
        return result

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    def _take_idle(self, address: Address) -> UpstreamConnection | None:
        if address != self.address:
            self.close()
            self.address = address
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle.pop()
            if connection.can_reuse(now):
                return connection
            connection.abort()
        return None

    async def _open(self, address: Address) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(self.max_body_bytes),
                address.host,
                address.port,
            )
        self.opened += 1
        return connection
