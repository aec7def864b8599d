"""The listener for links of entry daemons."""

from __future__ import annotations

import asyncio
from typing import Protocol

import logbook

from burdocklead.connection.frame_protocol import FrameProtocol
from burdocklead.connection.frames import (
    Attempt,
    AttemptResult,
    Cancel,
    Frame,
    Hello,
    Ping,
    Pong,
    Query,
    Verdict,
)
from burdocklead.exceptions import LinkError
from burdocklead.values import Address, LoadReport

log = logbook.Logger('link')


class AttemptHandler(Protocol):
    """What the listener needs from the daemon behind it."""

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt."""

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt."""

    def query(self, query: Query) -> Verdict:
        """Return what is known of an attempt and fence it if unseen."""

    def load(self) -> LoadReport:
        """Return the present load."""


class LinkServer:
    """Accepts links and runs the attempts that come over them.

    Attributes:
        protocols: Open connections.
        tasks: Attempts in progress.
    """

    def __init__(self, handler: AttemptHandler) -> None:
        """Prepare a listener in front of the handler."""
        self.handler = handler
        self.protocols: set[FrameProtocol] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> Address:
        """Listen and return the address with the port in use."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, address.host, address.port
        )
        port = self.server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    def stop_listening(self) -> None:
        """Take no new links; open ones stay."""
        if self.server is not None:
            self.server.close()

    def close(self) -> None:
        """Close all links."""
        self.stop_listening()
        for protocol in tuple(self.protocols):
            protocol.close('daemon stops')

    def _accept(self) -> FrameProtocol:
        protocol = FrameProtocol(self._receive, self._closed)
        self.protocols.add(protocol)
        return protocol

    def _closed(self, protocol: FrameProtocol, reason: str) -> None:
        self.protocols.discard(protocol)

    def _receive(self, protocol: FrameProtocol, frame: Frame) -> None:
        match frame:
            case Attempt():
                task = asyncio.create_task(self._run(protocol, frame))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            case Ping(number):
                protocol.send(Pong(number, self.handler.load()))
            case Query():
                protocol.send(self.handler.query(frame))
            case Cancel(attempt_id):
                self.handler.cancel(attempt_id)
            case Hello():
                log.debug('link opened', peer=frame.daemon_id)
            case _:
                protocol.close('unexpected frame')

    async def _run(self, protocol: FrameProtocol, attempt: Attempt) -> None:
        result = await self.handler.run(attempt)
        try:
            protocol.send(result)
        except LinkError:
            log.debug('result not sent', attempt=attempt.attempt_id)
