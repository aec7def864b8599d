"""The listener of a control replica over pynng."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pynng

from burdocklead.connection.control_messages import (
    ControlReply,
    ControlRequest,
    Failure,
    message_encoder,
    request_decoder,
)
from burdocklead.exceptions import BurdockleadError, QuorumError
from burdocklead.values import Address

CONCURRENT_REQUESTS = 256

RequestHandler = Callable[[ControlRequest], Awaitable[ControlReply]]


class ControlServer:
    """Answers requests of daemons and replicas.

    Attributes:
        bad_messages: Messages that could not be decoded.
    """

    def __init__(self, handler: RequestHandler) -> None:
        """Prepare a server that answers with the handler."""
        self.handler = handler
        self.bad_messages = 0
        self.socket = pynng.Rep0()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, address: Address) -> Address:
        """Listen and return the address with the port in use."""
        listener = self.socket.listen(f'tcp://{address}')
        for _ in range(CONCURRENT_REQUESTS):
            self.tasks.append(asyncio.create_task(self._serve()))
        port = str(listener.local_address).rpartition(':')[2]
        return Address(address.host, int(port))

    def close(self) -> None:
        """Stop answering."""
        for task in self.tasks:
            task.cancel()
        self.socket.close()

    async def _serve(self) -> None:
        with self.socket.new_context() as context:
            while True:
                payload = await context.arecv()
                reply = await self._reply_to(payload)
                await context.asend(message_encoder.encode(reply))

    async def _reply_to(self, payload: bytes) -> ControlReply:
        try:
            message = request_decoder.decode(payload)
        except msgspec.DecodeError as error:
            self.bad_messages += 1
            return Failure('decode', str(error))
        try:
            return await self.handler(message)
        except BurdockleadError as error:
            return Failure(
                error.step, error.reason, isinstance(error, QuorumError)
            )
