"""One TCP connection that carries frames in both directions."""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from collections.abc import Callable
from typing import cast

from burdocklead.clock import HybridClock
from burdocklead.connection.frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameBuffer,
    Refusal,
)
from burdocklead.connection.large_frames import (
    FramePieces,
    LargeFrameIntake,
    encode_for_link,
)
from burdocklead.exceptions import LinkError
from burdocklead.memory.budget import MemoryBudget

BATCH_BYTES = 65536


class LinkEnd(enum.StrEnum):
    """Why a link ended."""

    closed = 'closed'
    failed = 'failed'
    silent = 'silent'
    idle = 'idle'
    stopping = 'stopping'
    replaced = 'replaced'
    bad_frame = 'bad-frame'
    unexpected_frame = 'unexpected-frame'
    unproven = 'unproven'
    wrong_peer = 'wrong-peer'
    too_many = 'too-many'


ABORTED_ENDS = frozenset((LinkEnd.silent, LinkEnd.bad_frame, LinkEnd.unproven))

FrameHandler = Callable[['FrameProtocol', Frame], None]
CloseHandler = Callable[['FrameProtocol', LinkEnd], None]


class FrameProtocol(asyncio.Protocol):
    """Sends frames in batches and passes received ones to a handler.

    While the transport's write buffer is full, frames are queued here, so
    that short urgent frames overtake long ones.

    Attributes:
        on_frame: Called with each received frame.
        on_close: Called once with the reason when the connection ends.
        clock: Timestamps sent frames and observes the time of received ones.
        transport: The transport, None before and after the connection.
        last_received: Loop time in seconds at which data was last received.
        buffer: Splits received data into frames.
        urgent: Queue of urgent frames.
        outgoing: Queue of all other frames.
        started: Large frame of which a part has been written, None if none.
        intake: Collects large frames.
        backlog_bytes: Bytes in both queues.
        paused: Whether the transport's write buffer is full.
        flush_scheduled: Whether the event loop will call ``flush``.
    """

    def __init__(
        self,
        on_frame: FrameHandler,
        on_close: CloseHandler,
        clock: HybridClock,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Initialize the protocol without a connection."""
        self.clock = clock
        self.on_frame = on_frame
        self.on_close = on_close
        self.transport: asyncio.Transport | None = None
        self.last_received = float(0)
        self.intake = LargeFrameIntake(
            budget or MemoryBudget(), self._send_refusal
        )
        self.buffer = FrameBuffer(max_frame_bytes, self.intake)
        self.urgent: deque[bytes | FramePieces] = deque()
        self.outgoing: deque[bytes | FramePieces] = deque()
        self.started: FramePieces | None = None
        self.backlog_bytes = 0
        self.paused = False
        self.flush_scheduled = False
        self.loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.last_received = self.loop.time()

    def data_received(self, chunk: bytes) -> None:
        """Handle the frames in a chunk; an invalid one ends the link."""
        self.last_received = self.loop.time()
        self._handle_received(chunk)
        while self.buffer.blocked and self.transport is not None:
            self._handle_received(b'')

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self.close(LinkEnd.failed if error else LinkEnd.closed)

    def pause_writing(self) -> None:
        """Stop writing because the transport's write buffer is full."""
        self.paused = True

    def resume_writing(self) -> None:
        """Write the queued frames."""
        self.paused = False
        self.flush()

    def send(self, frame: Frame, *, urgent: bool = False) -> None:
        """Queue a frame; all frames of one loop iteration are sent together.

        Raises:
            LinkError: If the connection is closed.
        """
        if self.transport is None:
            raise LinkError('connection is closed', step='send')
        encoded = encode_for_link(frame, self.clock.issue())
        if isinstance(encoded, FramePieces):
            self.backlog_bytes += encoded.size
        else:
            self.backlog_bytes += len(encoded)
        if urgent:
            self.urgent.append(encoded)
        else:
            self.outgoing.append(encoded)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write frames until the transport's write buffer is full."""
        self.flush_scheduled = False
        while self.backlog_bytes and not self.paused:
            if self.transport is None:
                return
            self.transport.write(self._next_batch())

    def unwritten_bytes(self) -> int:
        """Return the number of bytes not yet written to the socket."""
        if self.transport is None:
            return 0
        return self.backlog_bytes + self.transport.get_write_buffer_size()

    def close(self, end: LinkEnd) -> None:
        """Close the connection.

        A silent, invalid or unauthenticated one is aborted; any other is
        closed once the queued frames are written.
        """
        transport = self.transport
        if transport is None:
            return
        if end in ABORTED_ENDS:
            transport.abort()
        else:
            self.paused = False
            self.flush()
            transport.close()
        self.transport = None
        self.urgent.clear()
        self.outgoing.clear()
        self.started = None
        self.intake.drop()
        self.on_close(self, end)

    def _handle_received(self, chunk: bytes) -> None:
        try:
            frames = self.buffer.feed(chunk)
        except LinkError:
            self.close(LinkEnd.bad_frame)
            return
        self.clock.observe(self.buffer.latest)
        for frame in frames:
            if self.transport is None:
                return
            self.on_frame(self, frame)

    def _send_refusal(self, refusal: Refusal) -> None:
        """Refuse an attempt that was skipped."""
        if self.transport is not None:
            self.send(refusal)

    def _next_batch(self) -> bytes | memoryview:
        """Return the next bytes; a large frame is sent in batches of its own.

        Nothing is sent between its parts.
        """
        batch: list[bytes] = []
        size = 0
        while size < BATCH_BYTES and self.started is None:
            source = self.urgent or self.outgoing
            if not source:
                break
            encoded = source.popleft()
            if isinstance(encoded, FramePieces):
                self.started = encoded
            else:
                batch.append(encoded)
                size += len(encoded)
        if self.started is not None and not batch:
            return self._next_part(self.started)
        self.backlog_bytes -= size
        return b''.join(batch)

    def _next_part(self, pieces: FramePieces) -> memoryview:
        part = pieces.take(BATCH_BYTES)
        self.backlog_bytes -= len(part)
        if not pieces.size:
            self.started = None
        return part
