"""Connections in memory that lose, double, delay and reorder frames."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

from burdocklead.connection.frames import HEADER

NEAR_S = (0.0005, 0.003)
LATE_S = (0.01, 2.5)
ORDER_S = 1e-6
SILENCED = 0.7


class Process(Protocol):
    """One process of the simulated deployment."""

    alive: bool
    context: contextvars.Context

    def accept(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""


@dataclass(frozen=True, slots=True)
class FaultRates:
    """How often a frame meets each fault, as shares.

    Attributes:
        lost: Frames that never arrive.
        doubled: Frames that arrive twice.
        late: Frames that take long; without any, frames keep their order.
        refused: Connections that fail.
    """

    lost: float = 0
    doubled: float = 0
    late: float = 0
    refused: float = 0


class FakeTransport(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(self, network: FakeNetwork, owner: Process) -> None:
        """Belong to a process; the other end is joined later."""
        super().__init__()
        self.network = network
        self.owner = owner
        self.protocol: asyncio.Protocol | None = None
        self.other: FakeTransport | None = None
        self.closed = False
        self.silent = False
        self.due = float(0)

    def write(self, chunk: Any) -> None:
        """Send each frame of a chunk by itself."""
        for frame in split_frames(bytes(chunk)):
            self.network.carry(self, frame)

    def get_write_buffer_size(self) -> int:
        """Return 0; everything is taken at once."""
        return 0

    def close(self) -> None:
        """End the connection; the other end hears of it later."""
        if self.closed:
            return
        self.closed = True
        self.network.later(self, self.lose)
        if self.other is not None:
            self.network.later(self.other, self.other.hang_up)

    def abort(self) -> None:
        """End the connection."""
        self.close()

    def hang_up(self) -> None:
        """Hear that the other end closed."""
        if not self.closed:
            self.closed = True
            self.lose()

    def lose(self) -> None:
        """Tell the protocol that the connection ended."""
        if self.protocol is not None and self.owner.alive:
            self.protocol.connection_lost(None)

    def receive(self, frame: bytes) -> None:
        """Take a frame unless this end is closed or its process ended."""
        if self.closed or not self.owner.alive or self.protocol is None:
            return
        self.protocol.data_received(frame)


@dataclass(slots=True)
class FakeNetwork:
    """Joins the processes of one simulated deployment.

    Attributes:
        rng: Source of all faults.
        rates: How often they happen.
        processes: Listening processes by port.
        current: The process whose code runs.
    """

    rng: random.Random
    rates: FaultRates
    current: contextvars.ContextVar[Any]
    processes: dict[int, Process] = field(default_factory=dict)
    transports: list[FakeTransport] = field(default_factory=list)

    async def connect(
        self, factory: Callable[[], asyncio.Protocol], port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Return a connection to the process that listens on a port."""
        await asyncio.sleep(self.rng.uniform(*NEAR_S))
        target = self.processes.get(port)
        refused = self.rng.random() < self.rates.refused
        if target is None or not target.alive or refused:
            raise ConnectionRefusedError('refused')
        client = FakeTransport(self, cast(Process, self.current.get()))
        server = FakeTransport(self, target)
        client.other = server
        server.other = client
        client.protocol = factory()
        server.protocol = target.context.run(target.accept)
        self.transports.extend((client, server))
        client.protocol.connection_made(client)
        target.context.run(server.protocol.connection_made, server)
        return client, client.protocol

    def carry(self, source: FakeTransport, frame: bytes) -> None:
        """Deliver a frame, or not, or twice, or late."""
        if source.silent or source.other is None or not source.owner.alive:
            return
        if self.rng.random() < self.rates.lost:
            return
        copies = 2 if self.rng.random() < self.rates.doubled else 1
        for _ in range(copies):
            self.later(source.other, source.other.receive, frame)

    def later(
        self,
        target: FakeTransport,
        callback: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Call back in the process of a connection's end after a delay."""
        loop = asyncio.get_running_loop()
        late = self.rng.random() < self.rates.late
        delays = LATE_S if late else NEAR_S
        due = loop.time() + self.rng.uniform(*delays)
        if not self.rates.late:
            due = max(due, target.due + ORDER_S)
        target.due = due
        loop.call_at(due, callback, *arguments, context=target.owner.context)

    def drop_frames(self, process: Process) -> None:
        """Swallow all frames of the open connections of a process."""
        for transport in self.transports:
            if transport.owner is process:
                transport.silent = self.rng.random() < SILENCED
                if transport.other is not None:
                    transport.other.silent = self.rng.random() < SILENCED

    def close_links(self, process: Process) -> None:
        """End all connections of a process that ended."""
        for transport in self.transports:
            if transport.owner is process and transport.other is not None:
                self.later(transport.other, transport.other.hang_up)


def split_frames(chunk: bytes) -> Iterator[bytes]:
    """Return the frames of a chunk with their lengths."""
    position = 0
    while position < len(chunk):
        end = position + HEADER.size + HEADER.unpack_from(chunk, position)[0]
        yield chunk[position:end]
        position = end
