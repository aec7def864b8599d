"""HTTP server of the callers' interface.

It has no routes of its own, and answers of the HTTP library to malformed
requests carry the outcome like all others.
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

from burdocklead.request.call import not_run
from burdocklead.request.call_response import response_of
from burdocklead.values import Address, RefusalCause

CallHandler = Callable[[web.BaseRequest], Awaitable[web.Response]]


LAST_ACCEPTS_S = 0.1


class CallerConnection(RequestHandler):
    """One connection of a caller."""

    __slots__ = ()

    def data_received(self, data: bytes) -> None:
        """Parse what came; a body that breaks midway ends its request.

        The library queues the error behind the request, whose handler would
        wait for the rest of the body for ever.
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
        """Answer a request that could not be parsed; nothing ran."""
        result = not_run(RefusalCause.bad_request, message or '')
        response = response_of(result, '')
        response.force_close()
        return response


class CallerServer(web.Server):
    """Makes connections that read a call whole before it is handled."""

    def __init__(self, handler: CallHandler, max_body_bytes: int) -> None:
        """Serve calls with a handler."""
        self.max_body_bytes = max_body_bytes
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
        """Return a request whose body is bounded."""
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
    """The listening socket of the callers' interface.

    Attributes:
        server: Makes the connections.
        runner: Serves them.
        listening: The socket.
        address: Address in use.
        tls: TLS of the connections, None for plain HTTP.
    """

    server: CallerServer
    runner: web.ServerRunner
    listening: socket.socket
    address: Address
    tls: SSLContext | None = None

    async def stop_accepting(self) -> None:
        """Take the connections that wait, then refuse new ones.

        Closing the socket at once would reset those that wait.
        """
        self.listening.listen(0)
        await asyncio.sleep(LAST_ACCEPTS_S)
        await self.close_listening()

    async def close_listening(self) -> None:
        """Take what waits in this moment and close the socket at once.

        On a busy VM a connection may wait although the loop has just run.
        """
        waiting = _accept_waiting(self.listening)
        for site in tuple(self.runner.sites):
            await site.stop()
        loop = asyncio.get_running_loop()
        for connection in waiting:
            await loop.connect_accepted_socket(
                self.server, connection, ssl=self.tls
            )


def _accept_waiting(listening: socket.socket) -> list[socket.socket]:
    """Return the connections that wait to be accepted."""
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = listening.accept()
        except BlockingIOError:
            return accepted
        connection.setblocking(False)
        accepted.append(connection)


async def start_caller_server(
    server: CallerServer,
    address: Address,
    tls: SSLContext | None,
    shutdown_s: float,
) -> CallerListener:
    """Serve callers and return the listener."""
    runner = web.ServerRunner(server, shutdown_timeout=shutdown_s)
    await runner.setup()
    listening = socket.create_server((address.host, address.port))
    listening.setblocking(False)
    await web.SockSite(runner, listening, ssl_context=tls).start()
    port = listening.getsockname()[1]
    return CallerListener(
        server, runner, listening, Address(address.host, port), tls
    )
