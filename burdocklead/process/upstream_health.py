"""Health checks of the local upstream, for admission and crash detection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from burdocklead.connection.answer_reader import RawAnswer
from burdocklead.process.daemon_components import DaemonComponents
from burdocklead.request.admission import paced_admission_for
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.pace_guard import PaceGuard
from burdocklead.request.pooled_upstream import PooledUpstreamClient

# A health check is answered within a few ms or not at all.
HEALTH_TIMEOUT_S = 0.1


@dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """Checks the local upstream and paces attempts by the load it reports.

    Attributes:
        components: Components of the daemon.
        client: Sends attempts and health checks.
    """

    components: DaemonComponents
    client: PooledUpstreamClient

    def start(self) -> None:
        """Install the client, paced admission and the health checks."""
        executor = self.components.executor
        executor.client = self.client
        executor.queue_factory = paced_admission_for
        executor.pace_guard = PaceGuard(
            self.client.pace, executor.gate, self.check_health
        )
        executor.access.warm_up.cold_time.trusts_heartbeats = False
        self.client.is_alive = self.is_alive

    async def check_health(self) -> RawAnswer | None:
        """Return the answer to a health check, None without one."""
        executor = self.components.executor
        deployment = self.components.directory.deployment()
        if executor.upstream is None or deployment is None:
            return None
        service = deployment.services.get(executor.service)
        if service is None:
            return None
        answer = await self.client.check_health(
            executor.upstream, service.health_path
        )
        if answer is not None:
            observe_cold_time(executor, self.client, answer)
        return answer

    async def is_alive(self) -> bool:
        """Return True if the upstream answers a health check in time."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                return await self.check_health() is not None
        except TimeoutError:
            return False


def observe_cold_time(
    executor: AttemptExecutor, client: PooledUpstreamClient, answer: RawAnswer
) -> None:
    """Record the cold time in the answer to a health check."""
    upstream = executor.upstream
    if upstream is None:
        return
    executor.access.warm_up.observe_check(
        client.dialect.read_cold_time(answer.headers),
        upstream.instance,
        asyncio.get_running_loop().time(),
    )
