"""The link of an entry daemon to the daemon beside an upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from burdocklead.connection.frame_protocol import FrameProtocol
from burdocklead.connection.frames import (
    Answer,
    Attempt,
    AttemptResult,
    Cancel,
    Frame,
    Hello,
    Lost,
    Ping,
    Pong,
    Query,
    Refusal,
    Verdict,
)
from burdocklead.exceptions import LinkError
from burdocklead.values import Address, LoadReport

CONNECT_TIMEOUT_S = 1.0
QUERY_TIMEOUT_S = 1.0
PING_INTERVAL_S = 0.25
SILENCE_LIMIT_S = 0.75

LoadHandler = Callable[[str, LoadReport], None]


class PeerLink:
    """Carries attempts to one daemon and their results back.

    Attributes:
        daemon_id: Daemon at the other end.
        address: Its link address.
        late_results: Results of attempts that nobody waits for.
    """

    def __init__(
        self, own: Hello, daemon_id: str, address: Address, on_load: LoadHandler
    ) -> None:
        """Prepare a link; it connects with the first attempt."""
        self.own = own
        self.daemon_id = daemon_id
        self.address = address
        self.on_load = on_load
        self.late_results = 0
        self.protocol: FrameProtocol | None = None
        self.connecting = asyncio.Lock()
        self.attempts: dict[str, asyncio.Future[AttemptResult]] = {}
        self.queries: dict[str, asyncio.Future[Verdict]] = {}
        self.keeper: asyncio.Task[None] | None = None
        self.loop = asyncio.get_running_loop()

    async def run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt.

        Raises:
            LinkError: If the link failed; the step is ``connect`` if the
                attempt was never sent, else the outcome is open.
        """
        protocol = await self.connect()
        waiter: asyncio.Future[AttemptResult] = self.loop.create_future()
        self.attempts[attempt.attempt_id] = waiter
        try:
            protocol.send(attempt)
            return await waiter
        finally:
            self.attempts.pop(attempt.attempt_id, None)

    async def query(self, query: Query) -> Verdict:
        """Return what the daemon knows of an attempt.

        Raises:
            LinkError: If no verdict came in time.
        """
        protocol = await self.connect()
        waiter: asyncio.Future[Verdict] = self.loop.create_future()
        self.queries[query.attempt_id] = waiter
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                protocol.send(query)
                return await waiter
        except TimeoutError:
            raise LinkError(
                'no verdict in time', step='query', peer=self.daemon_id
            ) from None
        finally:
            self.queries.pop(query.attempt_id, None)

    def cancel(self, attempt_id: str) -> None:
        """Tell the daemon that an answer is no longer wanted."""
        if self.protocol is not None:
            self.protocol.send(Cancel(attempt_id))

    async def connect(self) -> FrameProtocol:
        """Return the open connection, opening it first if need be.

        Raises:
            LinkError: If the daemon could not be reached.
        """
        if self.protocol is not None:
            return self.protocol
        async with self.connecting:
            if self.protocol is None:
                self.protocol = await self._open()
                self.keeper = asyncio.create_task(self._keep_alive())
        return self.protocol

    def close(self, reason: str) -> None:
        """Close the connection; waiting attempts fail."""
        if self.protocol is not None:
            self.protocol.close(reason)

    async def _open(self) -> FrameProtocol:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await self.loop.create_connection(
                    lambda: FrameProtocol(self._receive, self._closed),
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError) as error:
            reason = str(error) or 'no connection in time'
            raise LinkError(
                reason, step='connect', peer=self.daemon_id
            ) from error
        protocol.send(self.own)
        return protocol

    async def _keep_alive(self) -> None:
        number = 0
        while self.protocol is not None:
            number += 1
            self.protocol.send(Ping(number))
            await asyncio.sleep(PING_INTERVAL_S)
            if self.protocol is None:
                return
            if self.loop.time() - self.protocol.last_received > SILENCE_LIMIT_S:
                self.protocol.close('silent')

    def _receive(self, protocol: FrameProtocol, frame: Frame) -> None:
        match frame:
            case Answer() | Refusal() | Lost():
                self.on_load(self.daemon_id, frame.load)
                self._resolve(frame)
            case Verdict():
                waiter = self.queries.get(frame.attempt_id)
                if waiter is not None and not waiter.done():
                    waiter.set_result(frame)
            case Pong():
                self.on_load(self.daemon_id, frame.load)
            case _:
                protocol.close('unexpected frame')

    def _resolve(self, frame: AttemptResult) -> None:
        waiter = self.attempts.get(frame.attempt_id)
        if waiter is None or waiter.done():
            self.late_results += 1
            return
        waiter.set_result(frame)

    def _closed(self, protocol: FrameProtocol, reason: str) -> None:
        if protocol is self.protocol:
            self.protocol = None
        error = LinkError(reason, step='await', peer=self.daemon_id)
        for attempt in self.attempts.values():
            _fail(attempt, error)
        for query in self.queries.values():
            _fail(query, error)


def _fail(waiter: asyncio.Future[Any], error: LinkError) -> None:
    if not waiter.done():
        waiter.set_exception(error)
