"""HTTP/1.1 client edge: kept connections to one upstream at a time.

A connection carries one exchange at a time. Whatever an upstream sends that
belongs to no request ends the connection and reaches nobody.
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
TCP_USER_TIMEOUT_MS = 1500  # Loopback acknowledges at once; a pause may not.
MAX_IDLE_S = 60.0
KEEP_ALIVE_MARGIN_S = 1.0  # An upstream may close a little early.
KEEP_ALIVE_SHARE = 0.8

AnswerCheck = Callable[[Headers], bool]


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """A whole answer of an upstream.

    Attributes:
        status: HTTP status.
        headers: Headers in order.
        body: Whole body.
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
    """The connection ended before a whole answer.

    Attributes:
        reason: What was seen, in a few words.
        answered: True if a part of an answer came.
        reused: True if the connection had carried an exchange before.
    """

    reason: str
    answered: bool
    reused: bool


ExchangeResult = RawAnswer | NotConnected | ConnectionBroken


@dataclass(slots=True)
class PartialAnswer:
    """An answer that is being read."""

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream.

    Attributes:
        reusable: True while another exchange may follow.
        exchange_count: Exchanges done.
        idle_since: Loop time of the end of the last exchange in s.
        idle_timeout_s: Time for which the upstream keeps it open.
    """

    def __init__(self, max_body_bytes: int) -> None:
        """Prepare a connection."""
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
        """Keep the transport and let the kernel find silent peers."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange that waits."""
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
        """Parse what came."""
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
        """Start to read an answer, or find one that nobody asked for."""
        if self.waiter is None or self.waiter.done():
            self.reusable = False
        self.partial = PartialAnswer()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        if self.partial is not None:
            pair = (name.decode(ENCODING), text.decode(ENCODING).strip())
            self.partial.headers.append(pair)

    def on_headers_complete(self) -> None:
        """Look at how the answer ends."""
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
        """Take a part of the body."""
        if self.partial is None:
            return
        self.partial.body.append(chunk)
        self.partial.body_bytes += len(chunk)
        if self.partial.body_bytes > self.max_body_bytes:
            self._fail_exchange('the answer is too large')

    def on_message_complete(self) -> None:
        """End the exchange if the answer belongs to it."""
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
        """Return what came of one request; a cancelled one is cut.

        Args:
            method: HTTP method of the request.
            content: The whole request.
            matches_request: Returns True if an answer with these headers belongs
                to the request; others are passed over.
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
        """Return True if the upstream still keeps the connection."""
        if not self.reusable or self.transport is None:
            return False
        return now - self.idle_since < self.idle_timeout_s

    def abort(self) -> None:
        """Cut the connection."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def _end_exchange(self) -> None:
        self.waiter = None
        self.exchange_count += 1
        self.idle_since = self.loop.time()
        if self.transport and self.transport.get_write_buffer_size():
            # The upstream answered early; the rest of the body is due.
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
        """End the exchange that waits, and cut the connection."""
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
    """Connections to the upstream beside this daemon.

    Attributes:
        max_body_bytes: Largest body of an answer.
        opened: Connections opened so far.
        idle: Connections without an exchange, the latest used last.
        address: Upstream that the idle connections lead to.
    """

    def __init__(self, max_body_bytes: int) -> None:
        """Start without connections."""
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
        """Return what came of one request over a kept or new connection."""
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
