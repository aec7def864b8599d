"""HTTP server for callers.

It has no routes. Error responses to malformed requests carry an outcome, like
all other responses.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from ssl import SSLContext

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from burdocklead.connection.listen_socket import (
    accept_last,
    open_listen_socket,
)
from burdocklead.request.call import not_run
from burdocklead.request.call_response import response_of
from burdocklead.values import Address, RefusalCause

RequestCallback = Callable[[web.BaseRequest], Awaitable[web.Response]]

LAST_ACCEPT_DELAY_S = 0.1
EXCERPT_SEPARATOR = '\n'  # aiohttp appends an excerpt of the headers.


class CallerConnection(RequestHandler):
    """Connection of a caller."""

    __slots__ = ()

    def data_received(self, data: bytes) -> None:
        """Parse received data; a malformed body fails its request.

        aiohttp queues the parse error behind the request, whose handler would
        otherwise wait forever for the rest of the body.
        """
        super().data_received(data)
        request = self._current_request
        if request is None or request.content.is_eof():
            return
        if any(
            not isinstance(message, RawRequestMessage)
            for message, _ in self._messages
        ):
            error = web.RequestPayloadError('the body is malformed')
            request.content.set_exception(error)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that could not be parsed."""
        reason = message or ''
        server = self._manager
        if isinstance(server, CallerServer) and server.hides_headers():
            reason = reason.partition(EXCERPT_SEPARATOR)[0]
        result = not_run(RefusalCause.bad_request, reason)
        response = response_of(result, '')
        response.force_close()
        return response


class CallerServer(web.Server):
    """Creates caller connections and limits the size of request bodies."""

    def __init__(
        self,
        handler: RequestCallback,
        max_body_bytes: int,
        hides_headers: Callable[[], bool],
    ) -> None:
        """Create a server that passes each call to a handler.

        Args:
            handler: Handles the calls.
            max_body_bytes: Size of the largest body in bytes.
            hides_headers: Returns True if headers may hold secrets, which an
                error message must not show.
        """
        self.max_body_bytes = max_body_bytes
        self.hides_headers = hides_headers
        super().__init__(
            handler,
            request_factory=self.make_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
        )

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Return a request whose body is limited to ``max_body_bytes``."""
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self.max_body_bytes,
        )


@dataclass(frozen=True, slots=True)
class CallerListener:
    """Listening socket for callers.

    Attributes:
        server: Creates the connections.
        runner: Runs the server.
        listen_socket: The socket.
        address: Listen address with the actual port.
        tls: TLS context of the connections, None for plain HTTP.
    """

    server: CallerServer
    runner: web.ServerRunner
    listen_socket: socket.socket
    address: Address
    tls: SSLContext | None = None

    async def stop_accepting(self) -> None:
        """Accept the pending connections, then refuse new ones.

        Closing the socket immediately would reset pending connections.
        """
        self.listen_socket.listen(0)
        await asyncio.sleep(LAST_ACCEPT_DELAY_S)
        await self.close_listen_socket()

    async def close_listen_socket(self) -> None:
        """Accept the connections pending now and close the socket.

        On a busy VM, connections may be pending even though the event loop
        has just run.
        """
        pending = accept_last(self.listen_socket)
        for site in tuple(self.runner.sites):
            await site.stop()
        loop = asyncio.get_running_loop()
        for connection in pending:
            await loop.connect_accepted_socket(
                self.server, connection, ssl=self.tls
            )


async def start_caller_server(
    server: CallerServer,
    address: Address,
    tls: SSLContext | None,
    shutdown_s: float,
) -> CallerListener:
    """Start a server and return its listener."""
    runner = web.ServerRunner(server, shutdown_timeout=shutdown_s)
    await runner.setup()
    listen_socket = open_listen_socket(address)
    await web.SockSite(runner, listen_socket, ssl_context=tls).start()
    port = listen_socket.getsockname()[1]
    return CallerListener(
        server, runner, listen_socket, Address(address.host, port), tls
    )
