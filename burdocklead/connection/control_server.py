"""Server for control requests to a replica, over pynng."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import msgspec
import pynng

from burdocklead.connection.control_client import MAX_MESSAGE_BYTES
from burdocklead.connection.control_messages import (
    ControlReply,
    ControlRequest,
    Failure,
    message_encoder,
    request_decoder,
)
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.connection.sealing import (
    OpenedRequest,
    open_request,
    seal_reply,
)
from burdocklead.decoding import decode_outside
from burdocklead.exceptions import (
    BurdockleadError,
    ControlError,
    QuorumError,
)
from burdocklead.log_events import CONTROL_FAILED
from burdocklead.metrics import CONTROL_BAD, CONTROL_UNPROVED, MetricSet
from burdocklead.values import Address

CONCURRENT_REQUESTS = 256
CLOSE_LIMIT_S = 1.0

RequestHandler = Callable[[ControlRequest], Awaitable[ControlReply]]


class ControlServer:
    """Answers requests that are sealed with the cluster key."""

    def __init__(
        self,
        handler: RequestHandler,
        credentials: PeerCredentials,
        metrics: MetricSet,
    ) -> None:
        """Initialize the server with its handler."""
        self.handler = handler
        self.credentials = credentials
        self.metrics = metrics
        tls = credentials.tls
        self.scheme = 'tls+tcp' if tls else 'tcp'
        self.socket = pynng.Rep0(
            recv_max_size=MAX_MESSAGE_BYTES,
            tls_config=tls.control_server_config() if tls else None,
        )
        self.closing = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, address: Address) -> Address:
        """Listen and return the address with the actual port."""
        listener = self.socket.listen(f'{self.scheme}://{address}')
        for _ in range(CONCURRENT_REQUESTS):
            self.tasks.append(asyncio.create_task(self._serve()))
        port = str(listener.local_address).rpartition(':')[2]
        return Address(address.host, int(port))

    async def close(self) -> None:
        """Stop answering; replies that aren't sent yet are dropped."""
        self.closing = True
        for task in self.tasks:
            task.cancel()
        # A task that receives a message while it is cancelled may go on; then
        # ``closing`` ends its loop.
        await asyncio.wait(self.tasks, timeout=CLOSE_LIMIT_S)
        self.socket.close()

    async def _serve(self) -> None:
        with self.socket.new_context() as context:
            while not self.closing:
                message = await context.arecv_msg()
                try:
                    request = open_request(self.credentials.key, message.bytes)
                except ControlError:
                    self.metrics.count(CONTROL_UNPROVED)
                    message.pipe.close()
                    continue
                await self._answer(context, request)

    async def _answer(
        self, context: pynng.Context, request: OpenedRequest
    ) -> None:
        reply = await self._reply_to(request.payload)
        payload = message_encoder.encode(reply)
        content = seal_reply(self.credentials.key, request.nonce, payload)
        with contextlib.suppress(pynng.NNGException):
            await context.asend(content)

    async def _reply_to(self, payload: bytes) -> ControlReply:
        try:
            message = decode_outside(request_decoder.decode, payload)
        except msgspec.DecodeError as error:
            self.metrics.count(CONTROL_BAD)
            return Failure('decode', str(error))
        try:
            return await self.handler(message)
        except BurdockleadError as error:
            return Failure(
                error.step, error.reason, isinstance(error, QuorumError)
            )
        except Exception as error:
            # One request must not end a task that serves all later ones.
            CONTROL_FAILED.write(
                operation=type(message).__name__, exc_info=True
            )
            return Failure('handle', type(error).__name__)
