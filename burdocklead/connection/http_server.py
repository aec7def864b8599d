"""HTTP/1.1 server that runs pipelined requests concurrently.

Responses are written in the order of the requests of a connection. If the
client closes the connection, its pending requests are cancelled.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from operator import attrgetter

from burdocklead.connection.buffered_connection import BufferedConnection
from burdocklead.connection.http_messages import (
    NO_BODY_STATUSES,
    HttpRequest,
    HttpResponse,
    encode_response,
    encode_response_head,
)
from burdocklead.connection.listen_socket import (
    accept_last,
    open_listen_socket,
)
from burdocklead.connection.request_memory import NO_MEMORY
from burdocklead.connection.request_reader import RequestReader, ServerLimits
from burdocklead.connection.response_memory import ResponseMemory
from burdocklead.log_events import REQUEST_FAILED, REQUEST_REFUSED
from burdocklead.memory.budget import SMALL_BYTES, MemoryBudget, Shed
from burdocklead.memory.process_limits import PortLimits
from burdocklead.memory.shed_log import record_shed
from burdocklead.values import Address

SWEEP_INTERVAL_S = 0.25
MAX_PIPELINED = 64  # Maximum number of pending requests per connection.
LINGER_S = 1.0  # A client on the same VM closes within milliseconds.
# The event loop polls for received bytes in the first iteration and has passed
# them to the connections by the end of the second.
ITERATIONS_TO_READ = 2
CALL_BYTES = 4096  # Objects of a call besides its text.
ANY_PORT = PortLimits()
INTERNAL_ERROR = HttpResponse(500)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclass(slots=True, eq=False)
class Exchange:
    """A request and its response.

    Attributes:
        method: HTTP method, empty if the request could not be read.
        response: The response, None while the handler runs.
        task: Runs the handler, None for a response without a handler.
        last: True if the client asked to close the connection afterwards.
        held_bytes: Bytes reserved for it, without large bodies.
    """

    method: str = ''
    response: HttpResponse | None = None
    task: asyncio.Task[None] | None = None
    last: bool = False
    held_bytes: int = 0

    def ends_connection(self) -> bool:
        """Return True if the connection closes after the response."""
        return self.last or bool(self.response and self.response.close)


class HttpConnection(BufferedConnection):
    """One connection of a client.

    Attributes:
        server: The server that accepted it.
        reader: Parses the requests that the client sends.
        exchanges: Requests whose responses are not written, oldest first.
        last_activity: Loop time in seconds of the last byte of a request or
            of a response.
        stopped: True if no more requests are read.
        memory: Memory of the connection and of unread responses.
    """

    def __init__(self, server: HttpServer) -> None:
        """Initialize a connection that is not open yet."""
        super().__init__()
        self.server = server
        self.budget = server.budget
        self.reader = RequestReader(self, lambda: server.limits, self.budget)
        self.exchanges: deque[Exchange] = deque()
        self.last_activity = self.loop.time()
        self.stopped = False
        self.memory = ResponseMemory(self.budget)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        super().connection_made(transport)
        if self.memory.open():
            self.server.add_connection(self)
        else:
            record_shed(self.budget, Shed.connection)
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the pending requests."""
        self.transport = None
        self.server.connections.discard(self)
        self.reader.drop()
        self._cancel_pending()
        self.memory.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if not self.stopped:
            self.reader.feed(data)
        if self.is_working():
            self.last_activity = self.loop.time()

    def handle_request(self, request: HttpRequest, *, last: bool) -> None:
        """Start the handler of a complete request."""
        if self.stopped:
            return
        last = last or self.server.draining
        size = CALL_BYTES + self.reader.memory.completed_bytes
        if not self.budget.try_add_call(size):
            record_shed(self.budget, Shed.small)
            self.refuse(NO_MEMORY)
            return
        exchange = Exchange(request.method, last=last, held_bytes=size)
        self.exchanges.append(exchange)
        self.stopped = last
        exchange.task = self.loop.create_task(self._run(request, exchange))
        if len(self.exchanges) >= MAX_PIPELINED and self.transport:
            self.transport.pause_reading()

    def refuse(self, response: HttpResponse) -> None:
        """Reject a request that can't be read, and close the connection."""
        if self.stopped:
            return
        self.server.count_refused(response.status, self.reader.parse_error)
        self.stopped = True
        self.reader.drop()
        self.exchanges.append(Exchange(response=response))
        self._write_ready()

    def send_continue(self) -> None:
        """Send ``100 Continue`` unless earlier responses are pending."""
        if self.transport is not None and not self.exchanges:
            self.transport.write(CONTINUE)

    def check_timeouts(self, now: float) -> None:
        """Apply the timeouts for headers, bodies and idle connections."""
        idle_s = now - self.last_activity
        self.reader.check_timeout(now, idle_s)
        idle_timeout_s = self.server.limits.idle_timeout_s
        if idle_s > idle_timeout_s:
            self.close_if_idle()
        self.abort_if_stalled(now, idle_timeout_s)
        if self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        self.memory.hold_unsent(unsent_bytes)
        if self.memory.is_too_slow(now, unsent_bytes, self.unsent_since):
            record_shed(self.budget, Shed.slow_reader)
            self.abort()

    def may_read(self) -> bool:
        """Return True unless too many requests are pending."""
        if self.reader.memory.waiting is not None:
            return False
        return len(self.exchanges) < MAX_PIPELINED

    def is_working(self) -> bool:
        """Return True while a request is being read or is pending."""
        return bool(self.exchanges) or self.reader.partial is not None

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or pending."""
        if not self.is_working() and not self.stopped:
            self.close()

    async def _run(self, request: HttpRequest, exchange: Exchange) -> None:
        try:
            response = await self.server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception:
            REQUEST_FAILED.write(target=request.target, exc_info=True)
            response = INTERNAL_ERROR
        if len(response.body) <= SMALL_BYTES:
            exchange.held_bytes += len(response.body)
            self.budget.add_call(len(response.body))
        exchange.response = response
        self._write_ready()

    def _write_ready(self) -> None:
        """Write the responses that are next in order."""
        while self.transport and self.exchanges and self.exchanges[0].response:
            exchange = self.exchanges.popleft()
            closes = exchange.ends_connection()
            self._write(exchange, closes=closes)
            self.budget.free_call(exchange.held_bytes)
            if closes:
                self._cancel_pending()
                self._lingering_close()
                return
        if self.reader.memory.waiting is not None and not self.exchanges:
            self.reader.memory.resume_deferred()
        self.resume_reading()

    def _write(self, exchange: Exchange, *, closes: bool) -> None:
        if self.transport is None or exchange.response is None:
            return
        self.last_activity = self.loop.time()
        response = exchange.response
        head_only = exchange.method == 'HEAD'
        if len(response.body) <= SMALL_BYTES:
            self.transport.write(
                encode_response(response, close=closes, head_only=head_only)
            )
            return
        self.transport.write(
            encode_response_head(response, close=closes, head_only=head_only)
        )
        if not head_only and response.status not in NO_BODY_STATUSES:
            # Without a copy, the body keeps its reservation until it is sent.
            self.transport.write(response.body)
            self.memory.record_large(len(response.body), self.last_activity)

    def _lingering_close(self) -> None:
        """Send EOF, and close once the client has closed or LINGER_S passed.

        An immediate close would reset the connection if received bytes are
        unread, and the client could lose the response.
        """
        self.stopped = True
        if self.transport is not None:
            # What the client still sends of a body that was left unread.
            self.transport.resume_reading()
            self.transport.write_eof()
            self.loop.call_later(LINGER_S, self.close)

    def _cancel_pending(self) -> None:
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
            self.budget.free_call(exchange.held_bytes)
        self.exchanges.clear()


class HttpServer:
    """Accepts client connections and answers their requests.

    Attributes:
        handler: Returns the response to a request.
        listen_socket: Socket that accepts connections, None if there is none.
        limits: Limits on clients; may be replaced at any time.
        connections: Open connections.
        draining: True if connections take no request behind a pending one
            and close after their last response.
        bad_requests: Number of requests that could not be read.
        shed_connections: Number of connections closed because too many were
            open.
        budget: Memory of the process for all connections.
        ports: Limits on the number of connections.
    """

    def __init__(
        self,
        handler: RequestHandler,
        budget: MemoryBudget | None = None,
        ports: PortLimits = ANY_PORT,
    ) -> None:
        """Initialize a server that does not listen yet."""
        self.budget = budget or MemoryBudget()
        self.ports = ports
        self.handler = handler
        self.limits = ServerLimits()
        self.connections: set[HttpConnection] = set()
        self.draining = False
        self.bad_requests = 0
        self.shed_connections = 0
        self.listen_socket: socket.socket | None = None
        self.listener: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, address: Address) -> Address:
        """Start to listen and return the address with the actual port."""
        loop = asyncio.get_running_loop()
        self.listen_socket = open_listen_socket(address, self.ports.backlog)
        self.listener = await loop.create_server(
            self._create_connection,
            sock=self.listen_socket,
            backlog=self.ports.backlog,
        )
        self.sweeper = loop.create_task(self._sweep_forever())
        port = self.listen_socket.getsockname()[1]
        return Address(address.host, port)

    def _create_connection(self) -> HttpConnection:
        return HttpConnection(self)

    def add_connection(self, connection: HttpConnection) -> None:
        """Register a connection; close the longest idle one above the limit.

        The new connection is closed if no other one is idle.
        """
        self.connections.add(connection)
        most = min(self.limits.max_connections, self.ports.max_connections)
        if len(self.connections) <= most:
            return
        idle = (one for one in self.connections if not one.is_working())
        self.shed_connections += 1
        longest_idle = min(
            idle, key=attrgetter('last_activity'), default=connection
        )
        longest_idle.abort()

    def start_draining(self) -> None:
        """Make each connection close once its pending requests are answered.

        A connection without one takes one more request.
        """
        self.draining = True
        for connection in self.connections:
            _finish_pending(connection)

    async def drain(self) -> None:
        """Stop accepting connections, and close open ones once idle.

        A client whose connection is refused can use another daemon
        immediately. With a shorter accept queue, it would wait for seconds.
        """
        self.start_draining()
        known = tuple(self.connections)
        await self.stop_listening()
        for _ in range(ITERATIONS_TO_READ):
            await asyncio.sleep(0)
        for connection in known:
            connection.close_if_idle()

    async def stop_listening(self) -> None:
        """Accept the pending connections and refuse new ones."""
        if self.listen_socket is None or self.listener is None:
            return
        pending = accept_last(self.listen_socket)
        self.listen_socket = None
        self.listener.close()
        loop = asyncio.get_running_loop()
        for connection in pending:
            await loop.connect_accepted_socket(
                self._create_connection, connection
            )

    def is_working(self) -> bool:
        """Return True while a request is being read or is pending."""
        return any(one.is_working() for one in self.connections)

    async def close(self) -> None:
        """Close all connections."""
        await self.stop_listening()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for connection in tuple(self.connections):
            connection.close()

    def count_refused(self, status: int, reason: str) -> None:
        """Count and log a request that could not be read."""
        self.bad_requests += 1
        REQUEST_REFUSED.write(status=status, cause=reason)

    async def _sweep_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            for connection in tuple(self.connections):
                connection.check_timeouts(now)


def _finish_pending(connection: HttpConnection) -> None:
    """Read no more requests if any are pending, and close after them.

    The client may send again what it has pipelined behind them.
    """
    if connection.exchanges and not connection.stopped:
        connection.exchanges[-1].last = True
        connection.stopped = True
        connection.reader.drop()
