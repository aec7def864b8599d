"""HTTP/1.1 server edge: pipelined requests run at the same time.

The answers of one connection are written in the order of its requests. A
client that closes its connection cancels what it asked for.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import cast

import httptools
import logbook

from burdocklead.connection.http_messages import (
    ENCODING,
    HttpRequest,
    HttpResponse,
    encode_response,
)
from burdocklead.values import Address

MS_PER_S = 1000
SWEEP_INTERVAL_S = 0.25
MAX_PIPELINED = 64  # Requests of one connection that may wait for answers.
LINGER_S = 1.0  # A client on the same VM closes within milliseconds.
LISTEN_BACKLOG = 1024  # A full accept queue delays a client by seconds.
BAD_REQUEST = HttpResponse(400, close=True)
HEADER_TIMEOUT = HttpResponse(408, close=True)
BODY_TOO_LARGE = HttpResponse(413, close=True)
HEADERS_TOO_LARGE = HttpResponse(431, close=True)
INTERNAL_ERROR = HttpResponse(500)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
log = logbook.Logger('http-server')

RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the clients of a server.

    Attributes:
        max_header_bytes: Bytes of request line and headers.
        max_body_bytes: Bytes of a body.
        header_timeout_s: Time for the headers, and between parts of a body.
        idle_timeout_s: Time for which a connection may stay unused.
    """

    max_header_bytes: int = 65536
    max_body_bytes: int = 67108864
    header_timeout_s: float = 5
    idle_timeout_s: float = 60


@dataclass(slots=True, eq=False)
class Exchange:
    """One request and its answer.

    Attributes:
        method: HTTP method, empty if the request was never read whole.
        response: The answer, None while it is made.
        task: Makes the answer, None if it needed no handler.
        last: True if the client asked to close after it.
    """

    method: str = ''
    response: HttpResponse | None = None
    task: asyncio.Task[None] | None = None
    last: bool = False


@dataclass(slots=True)
class PartialRequest:
    """A request that is being read."""

    started: float
    target: bytearray = field(default_factory=bytearray)
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    header_bytes: int = 0
    unparsed_bytes: int = 0
    body_bytes: int = 0


class HttpConnection(asyncio.Protocol):
    """One connection of a client.

    Attributes:
        server: The server that it belongs to.
        exchanges: Requests whose answers are not written, oldest first.
        partial: The request that is being read, None between requests.
        last_activity: Loop time of the last byte in either direction in s.
        stopped: True if no more requests are read.
        completed: Requests read whole.
    """

    def __init__(self, server: HttpServer) -> None:
        """Prepare a connection of a server."""
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[Exchange] = deque()
        self.partial: PartialRequest | None = None
        self.last_activity = self.loop.time()
        self.stopped = False
        self.in_headers = True
        self.completed = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel what the client asked for."""
        self.transport = None
        self.server.connections.discard(self)
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        self.last_activity = self.loop.time()
        if self.stopped:
            return
        completed = self.completed
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self.stopped:
                self.server.count_bad_request(str(error))
                self._refuse(BAD_REQUEST)
        if self.completed == completed:
            self._count_unparsed(len(data))

    def on_message_begin(self) -> None:
        """Start to read a request."""
        self.partial = PartialRequest(self.loop.time())
        self.in_headers = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        if self.partial is not None:
            self.partial.target += url
            self._count_header_bytes(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        if self.partial is not None:
            pair = (name.decode(ENCODING), text.decode(ENCODING).strip())
            self.partial.headers.append(pair)
            self._count_header_bytes(len(name) + len(text) + 4)

    def on_headers_complete(self) -> None:
        """Look at what the headers announce."""
        self.in_headers = False
        if self.partial is None or self.transport is None:
            return
        for name, text in self.partial.headers:
            lowered = name.lower()
            if lowered == 'expect' and not self.exchanges:
                self.transport.write(CONTINUE)
            elif lowered == 'content-length' and text.isdigit():
                self._check_body_size(int(text))

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if self.partial is None:
            return
        self.partial.body.append(chunk)
        self.partial.body_bytes += len(chunk)
        self._check_body_size(self.partial.body_bytes)

    def on_message_complete(self) -> None:
        """Run a whole request; its answer waits for those before it."""
        partial, self.partial = self.partial, None
        self.completed += 1
        if partial is None or self.stopped:
            return
        request = HttpRequest(
            self.parser.get_method().decode(ENCODING),
            partial.target.decode(ENCODING),
            tuple(partial.headers),
            b''.join(partial.body),
            partial.started,
        )
        exchange = Exchange(
            request.method, last=not self.parser.should_keep_alive()
        )
        self.exchanges.append(exchange)
        if exchange.last:
            self.stopped = True
        exchange.task = self.loop.create_task(self._run(request, exchange))
        if len(self.exchanges) >= MAX_PIPELINED and self.transport:
            self.transport.pause_reading()

    def check_times(self, now: float) -> None:
        """Close a connection that takes too long or is idle."""
        limits = self.server.limits
        quiet_s = now - self.last_activity
        if self.partial is not None:
            began = self.partial.started if self.in_headers else now - quiet_s
            if now - began > limits.header_timeout_s:
                self._refuse(HEADER_TIMEOUT)
        elif not self.exchanges and quiet_s > limits.idle_timeout_s:
            self.close()

    def close_when_idle(self) -> None:
        """Close now if no request waits for an answer or is being read."""
        if not self.exchanges and self.partial is None and not self.stopped:
            self.close()

    def close(self) -> None:
        """Close the connection once all is written."""
        if self.transport is not None:
            self.transport.close()

    async def _run(self, request: HttpRequest, exchange: Exchange) -> None:
        try:
            response = await self.server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception('request failed', target=request.target)
            response = INTERNAL_ERROR
        exchange.response = response
        self._write_ready()

    def _refuse(self, response: HttpResponse) -> None:
        """Answer a request that can't be read and close."""
        if self.stopped:
            return
        self.stopped = True
        self.partial = None
        self.exchanges.append(Exchange(response=response))
        self._write_ready()

    def _write_ready(self) -> None:
        """Write the answers that are next in order."""
        while self.exchanges and self.transport is not None:
            exchange = self.exchanges[0]
            if exchange.response is None:
                break
            self.exchanges.popleft()
            closes = exchange.response.close or exchange.last
            if self.server.draining and not self.exchanges:
                closes = closes or self.partial is None
            self._write(exchange, closes=closes)
            if closes:
                self._cancel_rest()
                self._close_after_answer()
                return
        if self.transport and len(self.exchanges) < MAX_PIPELINED:
            self.transport.resume_reading()

    def _write(self, exchange: Exchange, *, closes: bool) -> None:
        if self.transport is None or exchange.response is None:
            return
        self.last_activity = self.loop.time()
        self.transport.write(
            encode_response(
                exchange.response,
                close=closes,
                head_only=exchange.method == 'HEAD',
            )
        )

    def _close_after_answer(self) -> None:
        """End the answers, and close once the client has closed too.

        Closing at once would reset the connection if bytes of the client
        are unread, and the client could lose the answer.
        """
        if self.transport is not None:
            self.transport.write_eof()
            self.loop.call_later(LINGER_S, self.close)

    def _cancel_rest(self) -> None:
        self.stopped = True
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()

    def _count_header_bytes(self, count: int) -> None:
        if self.partial is None:
            return
        self.partial.header_bytes += count
        if self.partial.header_bytes > self.server.limits.max_header_bytes:
            self._refuse(HEADERS_TOO_LARGE)

    def _count_unparsed(self, count: int) -> None:
        """Count bytes of a header that the parser holds back until it ends."""
        if self.partial is None or not self.in_headers:
            return
        self.partial.unparsed_bytes += count
        if self.partial.unparsed_bytes > self.server.limits.max_header_bytes:
            self._refuse(HEADERS_TOO_LARGE)

    def _check_body_size(self, size: int) -> None:
        if size > self.server.limits.max_body_bytes:
            self._refuse(BODY_TOO_LARGE)


class HttpServer:
    """Accepts connections of clients and answers their requests.

    Attributes:
        handler: Makes the answer to a request.
        limits: Limits on clients; may be replaced at any time.
        connections: Open connections.
        draining: True if connections close after their last answer.
        bad_requests: Requests that could not be read.
    """

    def __init__(self, handler: RequestHandler) -> None:
        """Prepare a server; nothing listens yet."""
        self.handler = handler
        self.limits = ServerLimits()
        self.connections: set[HttpConnection] = set()
        self.draining = False
        self.bad_requests = 0
        self.listener: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, address: Address) -> Address:
        """Listen and return the address with the port in use."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: HttpConnection(self),
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self.sweeper = loop.create_task(self._sweep_forever())
        port = self.listener.sockets[0].getsockname()[1]
        return Address(address.host, port)

    def start_draining(self) -> None:
        """Close each connection once its requests are answered."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections on which nothing is asked."""
        for connection in tuple(self.connections):
            connection.close_when_idle()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self.listener is not None:
            self.listener.close()

    def is_working(self) -> bool:
        """Return True while a request is read or waits for its answer."""
        return any(one.exchanges or one.partial for one in self.connections)

    async def close(self) -> None:
        """Close all connections."""
        self.stop_listening()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for connection in tuple(self.connections):
            connection.close()

    def count_bad_request(self, reason: str) -> None:
        """Count a request that could not be read."""
        self.bad_requests += 1
        log.debug('bad request', reason=reason)

    async def _sweep_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            for connection in tuple(self.connections):
                connection.check_times(now)
