"""Parser for HTTP requests that enforces the limits on clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import httptools

from burdocklead.connection.http_messages import (
    ENCODING,
    HttpRequest,
    HttpResponse,
)
from burdocklead.connection.request_memory import (
    HEADER_TIMEOUT,
    MemorySink,
    PartialRequest,
    RequestMemory,
)
from burdocklead.memory.budget import MemoryBudget

SEPARATOR_BYTES = 4  # Colon, space and CRLF of a header.
# A chunk of one byte takes five bytes of framing.
FRAMING_BYTES_PER_BODY_BYTE = 8
REQUEST_LINE_BYTES = 1024  # Method, version and line ends.
BAD_REQUEST = HttpResponse(400, close=True)
BODY_TOO_LARGE = HttpResponse(413, close=True)
HEADERS_TOO_LARGE = HttpResponse(431, close=True)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the clients of a server.

    Attributes:
        max_header_bytes: Maximum size of the target and the headers.
        max_body_bytes: Maximum size of a body.
        header_timeout_s: Maximum time in seconds for the headers, and
            between received parts of a body.
        idle_timeout_s: Time in seconds after which an idle connection is
            closed.
        max_connections: Maximum number of open connections.
        body_grace_s: Time in seconds for a body of any size.
        min_body_rate: Mean bytes/s of a body that takes longer.
    """

    max_header_bytes: int = 65536
    max_body_bytes: int = 67108864
    header_timeout_s: float = 5
    idle_timeout_s: float = 60
    max_connections: int = 10000
    body_grace_s: float = 30
    min_body_rate: float = 1000


class RequestSink(MemorySink, Protocol):
    """Receives the requests and errors of a reader."""

    def handle_request(self, request: HttpRequest, *, last: bool) -> None:
        """Process a complete request; none follows the last one."""


class RequestReader:
    """Parses a byte stream into requests; implements the parser's callbacks.

    Attributes:
        sink: Receives the requests and errors.
        limits: Returns the limits in force.
        partial: The request that is being read, None between requests.
        in_headers: True until the headers of that request are complete.
        completed: Number of complete requests.
        unfinished_bytes: Bytes received since the last complete request.
        parse_error: Error of the parser, empty if there was none.
        memory: Reserves memory for what has been received.
    """

    def __init__(
        self,
        sink: RequestSink,
        limits: Callable[[], ServerLimits],
        budget: MemoryBudget,
    ) -> None:
        """Initialize a reader; requires a running event loop."""
        self.sink = sink
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.partial: PartialRequest | None = None
        self.in_headers = True
        self.completed = 0
        self.unfinished_bytes = 0
        self.parse_error = ''
        self.memory = RequestMemory(sink, budget)

    def feed(self, data: bytes) -> None:
        """Parse received bytes, which may complete several requests."""
        completed = self.completed
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.parse_error = 'an upgrade was asked for'
            self.sink.refuse(BAD_REQUEST)
        except httptools.HttpParserError as error:
            self.parse_error = str(error)
            self.sink.refuse(BAD_REQUEST)
        if self.completed == completed:
            self.unfinished_bytes += len(data)
            self._limit_overhead()
            self.memory.hold_unfinished(self.partial)
        else:
            self.unfinished_bytes = 0

    def check_timeout(self, now: float, idle_s: float) -> None:
        """Reject a request that arrives too slowly.

        Args:
            now: Loop time in seconds.
            idle_s: Time in seconds since the last byte.
        """
        if self.partial is None:
            return
        idle_s = min(idle_s, now - self.partial.started_reading())
        if self.memory.check_body(self.partial, now, idle_s):
            return
        waited_s = now - self.partial.started if self.in_headers else idle_s
        too_slow = not self.in_headers and self._is_body_slow(now)
        if too_slow or waited_s > self.limits().header_timeout_s:
            self.sink.refuse(HEADER_TIMEOUT)

    def drop(self) -> None:
        """Drop the request that is being read."""
        if self.partial is not None:
            self.memory.drop(self.partial)
        self.partial = None

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.partial = PartialRequest(
            self.loop.time(), self.limits().max_body_bytes
        )
        self.in_headers = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        if self.partial is not None:
            self.partial.target += url
            self._count_header_bytes(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header to the request; trailers are counted and dropped."""
        if self.partial is None:
            return
        self._count_header_bytes(len(name) + len(text) + SEPARATOR_BYTES)
        if self.in_headers:
            pair = (name.decode(ENCODING), text.decode(ENCODING).strip())
            self.partial.headers.append(pair)

    def on_headers_complete(self) -> None:
        """Handle the Expect and Content-Length headers."""
        self.in_headers = False
        if self.partial is None:
            return
        partial = self.partial
        partial.body_started = self.loop.time()
        for name, text in partial.headers:
            lower_name = name.lower()
            if lower_name == 'expect':
                partial.expects_continue = True
            elif lower_name == 'content-length' and text.isdecimal():
                partial.length = int(text)
                self._check_body_size(partial.length)
        if self.partial is not None:
            self.memory.start_body(partial)

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        partial = self.partial
        if partial is None:
            return
        self._check_body_size(partial.body_bytes + len(chunk))
        if self.partial is partial:
            self.memory.add_chunk(partial, chunk)

    def on_message_complete(self) -> None:
        """Pass the complete request to the sink."""
        partial = self.partial
        self.partial = None
        self.completed += 1
        if partial is None:
            return
        body = self.memory.finish(partial)
        request = HttpRequest(
            self.parser.get_method().decode(ENCODING),
            partial.target.decode(ENCODING),
            tuple(partial.headers),
            body,
            partial.started,
        )
        self.sink.handle_request(
            request, last=not self.parser.should_keep_alive()
        )

    def _count_header_bytes(self, count: int) -> None:
        if self.partial is None:
            return
        self.partial.header_bytes += count
        if self.partial.header_bytes > self.limits().max_header_bytes:
            self.sink.refuse(HEADERS_TOO_LARGE)

    def _limit_overhead(self) -> None:
        """Limit the bytes of a request that its headers and body don't count.

        The parser reports neither an unfinished header nor the extension of a
        chunk nor empty lines between requests.
        """
        max_header_bytes = self.limits().max_header_bytes
        if self.partial is not None and self.in_headers:
            if self.unfinished_bytes > max_header_bytes:
                self.sink.refuse(HEADERS_TOO_LARGE)
            return
        body_bytes = self.partial.body_bytes if self.partial else 0
        framing_bytes = body_bytes * FRAMING_BYTES_PER_BODY_BYTE
        allowed_bytes = max_header_bytes + REQUEST_LINE_BYTES + framing_bytes
        if self.unfinished_bytes - body_bytes > allowed_bytes:
            self.parse_error = 'too many bytes outside of the body'
            self.sink.refuse(BAD_REQUEST)

    def _is_body_slow(self, now: float) -> bool:
        if self.partial is None:
            return False
        limits = self.limits()
        body_s = self.partial.body_bytes / limits.min_body_rate
        allowed_s = limits.body_grace_s + body_s
        return now - self.partial.body_started > allowed_s

    def _check_body_size(self, size: int) -> None:
        if size > self.limits().max_body_bytes:
            self.sink.refuse(BODY_TOO_LARGE)
