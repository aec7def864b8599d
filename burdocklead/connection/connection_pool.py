"""Pool of keep-alive connections to the upstream beside this daemon."""

from __future__ import annotations

import asyncio

from burdocklead.connection.answer_reader import AnswerLimits
from burdocklead.connection.http_client import (
    ExchangeResult,
    NotConnected,
    UpstreamConnection,
)
from burdocklead.connection.upstream_request import UpstreamRequest
from burdocklead.memory.budget import MemoryBudget
from burdocklead.values import Address

CONNECT_TIMEOUT_S = 1.0
MAX_REFUSED_IDS = 4096


class ConnectionPool:
    """Connections to one upstream.

    An upstream may write an earlier refusal once more. The ID of the request
    can't tell the copy from a new refusal if the same request is sent again,
    so a request that was refused before is only sent on a new connection.

    Attributes:
        limits: Limits on the answers.
        opened: Number of connections opened so far.
        idle: Idle connections, most recently used last.
        address: Upstream of the idle connections.
        refused_ids: IDs of the requests that the upstream refused.
        generation: Number of times that these IDs were dropped.
        budget: Memory for large answers.
    """

    def __init__(
        self, limits: AnswerLimits, budget: MemoryBudget | None = None
    ) -> None:
        """Initialize an empty pool."""
        self.budget = budget or MemoryBudget()
        self.limits = limits
        self.opened = 0
        self.idle: list[UpstreamConnection] = []
        self.address: Address | None = None
        self.refused_ids: set[str] = set()
        self.generation = 0

    async def exchange(
        self, address: Address, request: UpstreamRequest
    ) -> ExchangeResult:
        """Send one request over an idle or new connection."""
        generation = self.generation
        connection = self._take_idle(address, request.answer_id)
        if connection is None:
            try:
                connection = await self._open(address)
            except (OSError, TimeoutError) as error:
                return NotConnected(str(error) or 'no connection in time')
        result = await connection.exchange(request)
        is_current = address == self.address and generation == self.generation
        if connection.is_reusable() and is_current:
            self.idle.append(connection)
        else:
            connection.abort()
        return result

    def record_refusal(self, answer_id: str) -> None:
        """Remember a request that the upstream refused.

        Once too many are remembered, all are dropped together with the
        connections that may still carry copies of the refusals.
        """
        if len(self.refused_ids) >= MAX_REFUSED_IDS:
            self.close()
            self.refused_ids.clear()
            self.generation += 1
        self.refused_ids.add(answer_id)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    def _take_idle(
        self, address: Address, answer_id: str
    ) -> UpstreamConnection | None:
        if address != self.address:
            self.close()
            self.address = address
        if answer_id in self.refused_ids:
            return None
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle.pop()
            if connection.can_reuse(now):
                return connection
            connection.abort()
        return None

    async def _open(self, address: Address) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(self.limits, self.budget),
                address.host,
                address.port,
            )
        self.opened += 1
        return connection
