"""One TCP connection that carries frames in both directions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from burdocklead.connection.frames import Frame, FrameBuffer, encode_frame
from burdocklead.exceptions import LinkError

FrameHandler = Callable[['FrameProtocol', Frame], None]
CloseHandler = Callable[['FrameProtocol', str], None]


class FrameProtocol(asyncio.Protocol):
    """Sends frames, one write per turn of the loop, and hands on received ones.

    Attributes:
        on_frame: Called with each frame.
        on_close: Called once with the reason when the connection ends.
        transport: The transport, None before and after the connection.
        last_received: Loop time of the last bytes received in s.
    """

    def __init__(self, on_frame: FrameHandler, on_close: CloseHandler) -> None:
        """Prepare a connection."""
        self.on_frame = on_frame
        self.on_close = on_close
        self.transport: asyncio.Transport | None = None
        self.last_received = float(0)
        self.buffer = FrameBuffer()
        self.outgoing: list[bytes] = []
        self.loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.last_received = self.loop.time()

    def data_received(self, chunk: bytes) -> None:
        """Hand on all frames of a chunk; end the link on a bad one."""
        self.last_received = self.loop.time()
        try:
            frames = self.buffer.feed(chunk)
        except LinkError as error:
            self.close(error.reason)
            return
        for frame in frames:
            self.on_frame(self, frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell that the connection ended."""
        self.close(str(error) if error else 'closed by peer')

    def send(self, frame: Frame) -> None:
        """Send a frame with the others of this turn of the loop.

        Raises:
            LinkError: If the connection is closed.
        """
        if self.transport is None:
            raise LinkError('connection is closed', step='send')
        if not self.outgoing:
            self.loop.call_soon(self.flush)
        self.outgoing.append(encode_frame(frame))

    def flush(self) -> None:
        """Write the frames of this turn."""
        chunk = b''.join(self.outgoing)
        self.outgoing.clear()
        if self.transport is not None and chunk:
            self.transport.write(chunk)

    def close(self, reason: str) -> None:
        """End the connection."""
        if self.transport is None:
            return
        self.flush()
        self.transport.close()
        self.transport = None
        self.on_close(self, reason)
