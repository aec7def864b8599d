"""Connections in memory that lose, duplicate and delay frames."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

from burdocklead.connection.frames import HEADER

SHORT_DELAY_S = (0.0005, 0.003)
LONG_DELAY_S = (0.01, 2.5)
FRAME_GAP_S = 1e-6
DROP_PROBABILITY = 0.7


class Process(Protocol):
    """A process of the simulated deployment."""

    alive: bool
    context: contextvars.Context

    def accept(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""


@dataclass(frozen=True, slots=True)
class FaultRates:
    """Probability of each network fault, from 0 to 1.

    Attributes:
        lost: A frame is lost.
        duplicated: A frame arrives twice.
        delayed: A frame is delayed; at 0, frames keep their order.
        refused: A connection is refused.
    """

    lost: float = 0
    duplicated: float = 0
    delayed: float = 0
    refused: float = 0


class FakeTransport(asyncio.Transport):
    """One end of a connection in memory.

    Attributes:
        owner: The process at this end.
        peer: The other end.
        drops_frames: True if written frames are lost.
        last_due: Loop time of the latest scheduled callback.
    """

    def __init__(self, network: FakeNetwork, owner: Process) -> None:
        """Create an end of a process; the caller sets the peer and protocol."""
        super().__init__()
        self.network = network
        self.owner = owner
        self.protocol: asyncio.Protocol | None = None
        self.peer: FakeTransport | None = None
        self.closed = False
        self.drops_frames = False
        self.last_due = float(0)

    def write(self, chunk: Any) -> None:
        """Send the frames of a chunk one by one."""
        for frame in split_frames(bytes(chunk)):
            self.network.transmit(self, frame)

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing is buffered."""
        return 0

    def close(self) -> None:
        """Close this end; both protocols are notified after a delay."""
        if self.closed:
            return
        self.closed = True
        self.network.schedule(self, self.notify_lost)
        if self.peer is not None:
            self.network.schedule(self.peer, self.peer.handle_peer_close)

    def abort(self) -> None:
        """Close this end as ``close`` does."""
        self.close()

    def handle_peer_close(self) -> None:
        """Handle the close of the peer."""
        if not self.closed:
            self.closed = True
            self.notify_lost()

    def notify_lost(self) -> None:
        """Notify the protocol that the connection is lost."""
        if self.protocol is not None and self.owner.alive:
            self.protocol.connection_lost(None)

    def receive(self, frame: bytes) -> None:
        """Pass a frame to the protocol unless this end or its process ended."""
        if self.closed or not self.owner.alive or self.protocol is None:
            return
        self.protocol.data_received(frame)


@dataclass(slots=True)
class FakeNetwork:
    """Connects the processes of a simulated deployment.

    Attributes:
        rng: Source of randomness of all delays and faults.
        rates: Probabilities of the faults.
        current_process: The process whose code is running.
        processes: Listening processes by port.
        transports: Both ends of every connection made.
    """

    rng: random.Random
    rates: FaultRates
    current_process: contextvars.ContextVar[Any]
    processes: dict[int, Process] = field(default_factory=dict)
    transports: list[FakeTransport] = field(default_factory=list)

    async def connect(
        self, factory: Callable[[], asyncio.Protocol], port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect to the process that listens on a port."""
        await asyncio.sleep(self.rng.uniform(*SHORT_DELAY_S))
        target = self.processes.get(port)
        refused = self.rng.random() < self.rates.refused
        if target is None or not target.alive or refused:
            raise ConnectionRefusedError('simulated refusal')
        client = FakeTransport(self, cast(Process, self.current_process.get()))
        server = FakeTransport(self, target)
        client.peer = server
        server.peer = client
        client.protocol = factory()
        server.protocol = target.context.run(target.accept)
        self.transports.extend((client, server))
        client.protocol.connection_made(client)
        target.context.run(server.protocol.connection_made, server)
        return client, client.protocol

    def transmit(self, source: FakeTransport, frame: bytes) -> None:
        """Schedule the delivery of a frame, subject to the faults."""
        if source.drops_frames or source.peer is None or not source.owner.alive:
            return
        if self.rng.random() < self.rates.lost:
            return
        copies = 2 if self.rng.random() < self.rates.duplicated else 1
        for _ in range(copies):
            self.schedule(source.peer, source.peer.receive, frame)

    def schedule(
        self,
        target: FakeTransport,
        callback: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Schedule a callback of an end of a connection after a delay."""
        loop = asyncio.get_running_loop()
        delayed = self.rng.random() < self.rates.delayed
        delays = LONG_DELAY_S if delayed else SHORT_DELAY_S
        due = loop.time() + self.rng.uniform(*delays)
        if not self.rates.delayed:
            due = max(due, target.last_due + FRAME_GAP_S)
        target.last_due = due
        loop.call_at(due, callback, *arguments, context=target.owner.context)

    def drop_frames(self, process: Process) -> None:
        """Choose at random which ends of a process's links drop frames."""
        for transport in self.transports:
            if transport.owner is process:
                transport.drops_frames = self.rng.random() < DROP_PROBABILITY
                if transport.peer is not None:
                    transport.peer.drops_frames = (
                        self.rng.random() < DROP_PROBABILITY
                    )

    def close_links(self, process: Process) -> None:
        """Close the peers of all connections of an ended process."""
        for transport in self.transports:
            if transport.owner is process and transport.peer is not None:
                self.schedule(transport.peer, transport.peer.handle_peer_close)


def split_frames(chunk: bytes) -> Iterator[bytes]:
    """Yield the frames of a chunk, each with its header."""
    position = 0
    while position < len(chunk):
        end = position + HEADER.size + HEADER.unpack_from(chunk, position)[0]
        yield chunk[position:end]
        position = end
