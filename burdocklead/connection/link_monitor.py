"""Keepalive of links: pings, silence detection and idle timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from burdocklead.connection.frame_protocol import FrameProtocol, LinkEnd
from burdocklead.connection.frames import Ping
from burdocklead.metrics import LINK_PINGS, MetricSet

PING_INTERVAL_S = 0.2
SILENCE_LIMIT_S = 0.5  # Covers two pings and one retransmission.
PING_LINGER_S = 1.0


@dataclass(frozen=True, slots=True)
class LinkMonitor:
    """Pings a link while it is in use and shortly after.

    A link that stays silent is closed, and so is an idle one.

    Attributes:
        protocol: The connection.
        activity: Set whenever something is sent.
        has_pending: Returns True while a reply is pending.
        idle_limit: Seconds after which an unused link is closed.
        metrics: Counts the pings.
    """

    protocol: FrameProtocol
    activity: asyncio.Event
    has_pending: Callable[[], bool]
    idle_limit: float
    metrics: MetricSet

    async def run(self) -> None:
        """Monitor the link until it is closed."""
        loop = asyncio.get_running_loop()
        while self.protocol.transport is not None:
            await self._watch_while_used()
            try:
                async with asyncio.timeout(self.idle_limit):
                    await self.activity.wait()
            except TimeoutError:
                self.protocol.close(LinkEnd.idle)
            self.protocol.last_received = loop.time()

    async def _watch_while_used(self) -> None:
        loop = asyncio.get_running_loop()
        used_at = loop.time()
        unwritten = 0
        while self.protocol.transport is not None:
            now = loop.time()
            if self.has_pending() or self.activity.is_set():
                self.activity.clear()
                used_at = now
            if now - used_at > PING_LINGER_S:
                return
            earlier, unwritten = unwritten, self.protocol.unwritten_bytes()
            if unwritten < earlier:
                self.protocol.last_received = now
            self._check_silence(now - self.protocol.last_received)
            await asyncio.sleep(PING_INTERVAL_S)

    def _check_silence(self, silence: float) -> None:
        if silence > SILENCE_LIMIT_S:
            self.protocol.close(LinkEnd.silent)
        elif silence >= PING_INTERVAL_S:
            self.metrics.count(LINK_PINGS)
            self.protocol.send(Ping(0), urgent=True)
