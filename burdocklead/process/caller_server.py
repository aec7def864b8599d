"""HTTP server of the callers' interface.

It has no routes of its own, and answers of the HTTP library to malformed
requests carry the outcome like all others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from ssl import SSLContext

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from burdocklead.process.admin_http import port_of
from burdocklead.request.call import not_run
from burdocklead.request.call_response import response_of
from burdocklead.values import Address, RefusalCause

CallHandler = Callable[[web.BaseRequest], Awaitable[web.Response]]


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


async def start_caller_server(
    server: CallerServer,
    address: Address,
    tls: SSLContext | None,
    shutdown_s: float,
) -> tuple[web.ServerRunner, Address]:
    """Serve callers and return the runner and the address in use."""
    runner = web.ServerRunner(server, shutdown_timeout=shutdown_s)
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port, ssl_context=tls)
    await site.start()
    return runner, Address(address.host, port_of(runner.addresses))
