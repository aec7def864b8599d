"""Server for links from entry daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from burdocklead.connection.frame_protocol import FrameProtocol, LinkEnd
from burdocklead.connection.frames import (
    Attempt,
    AttemptResult,
    AttemptState,
    Cancel,
    CrashNotice,
    Frame,
    Hello,
    Ping,
    Pong,
    Proof,
    Query,
    Verdict,
    Welcome,
)
from burdocklead.connection.link_identity import LinkIdentity
from burdocklead.events import EventKind, EventRing
from burdocklead.exceptions import LinkError
from burdocklead.log_events import RESULT_NOT_SENT
from burdocklead.metrics import LINK_ENDS, LINKS_OPEN, MetricSet
from burdocklead.settings import DaemonSettings
from burdocklead.values import Address, CrashReport, LoadReport

HANDSHAKE_LIMIT_S = 2.0
HANDSHAKE_FRAME_BYTES = 65536  # Of a peer that has proved nothing.
SPARE_HANDSHAKES = 16
LISTEN_BACKLOG = 100
SWEEP_INTERVAL_S = 5.0
IDLE_FACTOR = 2
FLUSH_LIMIT_S = 2.0
FLUSH_POLL_S = 0.01


class CrashReportSink(Protocol):
    """Receiver of crash reports."""

    def merge(self, reports: Sequence[CrashReport]) -> None:
        """Merge the crash reports of another daemon."""


class AttemptHandler(Protocol):
    """Handler for the requests that a link server receives."""

    def run(self, attempt: Attempt) -> Coroutine[Any, Any, AttemptResult]:
        """Run an attempt and return its result."""

    def follow(
        self, attempt_id: str
    ) -> Coroutine[Any, Any, AttemptResult | None]:
        """Wait for an attempt in progress and return its result."""

    def cancel(self, cancel: Cancel) -> Verdict:
        """Cancel an attempt and return its state."""

    def query(self, query: Query) -> Verdict:
        """Return the state of an attempt; an unseen one is fenced."""

    @property
    def guard(self) -> CrashReportSink:
        """Return the receiver of crash reports."""

    def load(self) -> LoadReport:
        """Return the current load."""


@dataclass(slots=True)
class Peer:
    """State of the daemon at the other end of a link.

    Attributes:
        hello: First frame of the peer, None until received.
        welcome: Reply to the first frame, None until sent.
        proven: True once the peer proved the cluster key.
        tasks: Number of replies that are not ready to be sent.
    """

    hello: Hello | None = None
    welcome: Welcome | None = None
    proven: bool = False
    tasks: int = 0


class LinkServer:
    """Accepts links and runs the attempts received over them.

    Attributes:
        peers: Peers by open connection.
        tasks: Tasks that send a reply once it is ready.
    """

    def __init__(
        self,
        handler: AttemptHandler,
        identity: LinkIdentity,
        settings: DaemonSettings,
        metrics: MetricSet,
        events: EventRing,
    ) -> None:
        """Initialize the server with its handler."""
        self.events = events
        self.handler = handler
        self.identity = identity
        self.settings = settings
        self.metrics = metrics
        self.peers: dict[FrameProtocol, Peer] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, address: Address) -> Address:
        """Listen and return the address with the actual port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.accept,
            address.host,
            address.port,
            ssl=self.identity.server_tls(),
            backlog=min(LISTEN_BACKLOG, self.settings.max_links),
        )
        self.sweeper = asyncio.create_task(self._sweep_forever())
        port = self.server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    def stop_listening(self) -> None:
        """Accept no new links; open links stay open."""
        if self.server is not None:
            self.server.close()

    async def close(self) -> None:
        """Close all links after a short wait for unwritten results."""
        self.stop_listening()
        if self.sweeper is not None:
            self.sweeper.cancel()
        loop = asyncio.get_running_loop()
        limit = loop.time() + FLUSH_LIMIT_S
        while any(protocol.unwritten_bytes() for protocol in self.peers):
            if loop.time() > limit:
                break
            await asyncio.sleep(FLUSH_POLL_S)
        for protocol in tuple(self.peers):
            protocol.close(LinkEnd.stopping)

    def accept(self) -> FrameProtocol:
        """Return the protocol of a new connection."""
        protocol = FrameProtocol(
            self._receive,
            self._on_close,
            self.identity.clock,
            HANDSHAKE_FRAME_BYTES,
            self.identity.budget,
        )
        self.peers[protocol] = Peer()
        if len(self.peers) > self.settings.max_links + SPARE_HANDSHAKES:
            asyncio.get_running_loop().call_soon(self._end_unproven, protocol)
        asyncio.get_running_loop().call_later(
            HANDSHAKE_LIMIT_S, self._end_unproven, protocol
        )
        return protocol

    def _end_unproven(self, protocol: FrameProtocol) -> None:
        peer = self.peers.get(protocol)
        if peer is not None and not peer.proven:
            protocol.close(LinkEnd.unproven)
            # After a failed TLS handshake the protocol has no connection.
            self.peers.pop(protocol, None)

    def _on_close(self, protocol: FrameProtocol, end: LinkEnd) -> None:
        peer = self.peers.pop(protocol, None)
        if peer and peer.hello and peer.proven:
            self.events.record(
                EventKind.link_closed, peer=peer.hello.daemon_id, detail=end
            )
        self.metrics.count(LINK_ENDS, end.value)
        self.metrics.set(LINKS_OPEN, self._proven_links())

    def _receive(self, protocol: FrameProtocol, frame: Frame) -> None:
        peer = self.peers.get(protocol)
        if peer is None:
            return
        if peer.proven:
            self._handle_frame(protocol, peer, frame)
        else:
            self._authenticate(protocol, peer, frame)

    def _authenticate(
        self, protocol: FrameProtocol, peer: Peer, frame: Frame
    ) -> None:
        match frame:
            case Hello() if peer.hello is None:
                self._reply_to_hello(protocol, peer, frame)
            case Proof() if peer.hello and peer.welcome:
                peer.proven = self.identity.verify_proof(
                    peer.hello, peer.welcome, frame
                )
                self._end_unproven(protocol)
                if peer.proven:
                    protocol.buffer.max_bytes = self.settings.max_frame_bytes()
                    self.events.record(
                        EventKind.link_opened, peer=peer.hello.daemon_id
                    )
                self.metrics.set(LINKS_OPEN, self._proven_links())
            case _:
                protocol.close(LinkEnd.unproven)

    def _reply_to_hello(
        self, protocol: FrameProtocol, peer: Peer, hello: Hello
    ) -> None:
        if hello.wanted_id != self.identity.hello.daemon_id:
            protocol.close(LinkEnd.wrong_peer)
            return
        if self._proven_links() >= self.settings.max_links:
            protocol.close(LinkEnd.too_many)
            return
        peer.hello = hello
        peer.welcome = self.identity.welcome(hello)
        protocol.send(peer.welcome)

    def _proven_links(self) -> int:
        return sum(peer.proven for peer in self.peers.values())

    def _handle_frame(
        self, protocol: FrameProtocol, peer: Peer, frame: Frame
    ) -> None:
        match frame:
            case Attempt():
                self._reply_later(protocol, peer, self.handler.run(frame))
            case CrashNotice():
                self.handler.guard.merge(frame.reports)
            case Ping(number):
                pong = Pong(number, self.handler.load())
                protocol.send(pong, urgent=True)
            case Query():
                verdict = self.handler.query(frame)
                protocol.send(verdict, urgent=True)
                if verdict.state is AttemptState.running:
                    result = self.handler.follow(frame.attempt_id)
                    self._reply_later(protocol, peer, result)
            case Cancel():
                protocol.send(self.handler.cancel(frame), urgent=True)
            case _:
                protocol.close(LinkEnd.unexpected_frame)

    def _reply_later(
        self,
        protocol: FrameProtocol,
        peer: Peer,
        result: Coroutine[Any, Any, AttemptResult | None],
    ) -> None:
        task = asyncio.create_task(self._reply(protocol, peer, result))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _reply(
        self,
        protocol: FrameProtocol,
        peer: Peer,
        result: Coroutine[Any, Any, AttemptResult | None],
    ) -> None:
        peer.tasks += 1
        try:
            frame = await result
        finally:
            peer.tasks -= 1
        if frame is None:
            return
        try:
            protocol.send(frame)
        except LinkError:
            RESULT_NOT_SENT.write(attempt=frame.attempt_id)

    async def _sweep_forever(self) -> None:
        """Close links whose peer has been silent for too long."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            oldest = loop.time() - self.settings.link_idle * IDLE_FACTOR
            for protocol, peer in tuple(self.peers.items()):
                if not peer.tasks and protocol.last_received < oldest:
                    protocol.close(LinkEnd.silent)
