"""What a daemon asks the health page of its upstream for."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from burdocklead.connection.http_client import RawAnswer
from burdocklead.process.daemon_parts import DaemonParts
from burdocklead.request.admission import paced_admission_for
from burdocklead.request.pace_guard import PaceGuard
from burdocklead.request.pooled_upstream import PooledUpstreamClient

ALIVE_LIMIT_S = 0.1  # A health page answers within some ms, or not at all.


@dataclass(frozen=True, slots=True)
class UpstreamWatch:
    """Lets attempts go to the upstream at moments that suit it.

    Attributes:
        parts: The daemon.
        client: Carries attempts and questions for the health page.
    """

    parts: DaemonParts
    client: PooledUpstreamClient

    def start(self) -> None:
        """Let the daemon use the client from now on."""
        executor = self.parts.executor
        executor.client = self.client
        executor.queue_factory = paced_admission_for
        executor.pace_guard = PaceGuard(
            self.client.pace, executor.gate, self.check_health
        )
        self.client.is_alive = self.is_alive

    async def check_health(self) -> RawAnswer | None:
        """Return the answer of the health page, None if none came."""
        executor = self.parts.executor
        deployment = self.parts.directory.deployment()
        if executor.upstream is None or deployment is None:
            return None
        service = deployment.services.get(executor.service)
        if service is None:
            return None
        return await self.client.check_health(
            executor.upstream, service.health_path
        )

    async def is_alive(self) -> bool:
        """Return True if the upstream answers its health page."""
        try:
            async with asyncio.timeout(ALIVE_LIMIT_S):
                return await self.check_health() is not None
        except TimeoutError:
            return False
