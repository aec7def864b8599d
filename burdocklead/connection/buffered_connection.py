"""Connection of a client that may read more slowly than it is answered."""

from __future__ import annotations

import asyncio
from typing import cast


class BufferedConnection(asyncio.Protocol):
    """Bounds the responses that are buffered for a client.

    Attributes:
        transport: Transport of the connection, None while it is not open.
        write_paused: True while no requests are read because the client does
            not read the responses.
        unsent_bytes: Size of the unsent responses at the last check.
        unsent_since: Loop time in s since which it has not changed.
    """

    def __init__(self) -> None:
        """Initialize a connection that is not open yet."""
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.write_paused = False
        self.unsent_bytes = 0
        self.unsent_since = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def may_read(self) -> bool:
        """Return True if the connection accepts more requests."""
        return True

    def pause_writing(self) -> None:
        """Stop reading requests until the client has read responses."""
        self.write_paused = True
        self.pause_reading()

    def pause_reading(self) -> None:
        """Leave what the client sends unread."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read requests again."""
        self.write_paused = False
        self.resume_reading()

    def resume_reading(self) -> None:
        """Read requests again unless too many are pending or unread."""
        if self.transport and self.may_read() and not self.write_paused:
            self.transport.resume_reading()

    def abort_if_stalled(self, now: float, limit_s: float) -> None:
        """Close the connection if the client has read nothing for a time.

        Args:
            now: Loop time in s.
            limit_s: The time in s.
        """
        if self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if not unsent_bytes or unsent_bytes != self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.unsent_since = now
        elif now - self.unsent_since > limit_s:
            self.abort()

    def close(self) -> None:
        """Close the connection after flushing buffered data."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately and drop buffered data."""
        if self.transport is not None:
            self.transport.abort()
