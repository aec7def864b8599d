"""Queries for the load of upstreams over UDP, one datagram each way.

Datagrams are not retransmitted: a lost one only leaves the sender with an
older load.
"""

from __future__ import annotations

import asyncio
import hmac
import itertools
from typing import Protocol, cast

import msgspec

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.decoding import decode_outside
from burdocklead.log_events import (
    LOAD_NOT_ASKED,
    LOAD_NOT_READ,
    LOAD_QUESTION_FAILED,
)
from burdocklead.metrics import CONTROL_BAD, CONTROL_UNPROVED, MetricSet
from burdocklead.values import Address, Estimate, LoadReport

PROOF_PURPOSE = b'load'
TRUNCATED_PROOF_BYTES = 16  # An HMAC may be truncated to half its length.


class LoadQuery(msgspec.Struct, frozen=True, tag=0, array_like=True):
    """Query for the time that a call to the upstream of a daemon would take.

    Attributes:
        number: Query number, repeated in the reply.
        route: Route key, ``service/route``.
        cost_ms: Service time in ms to assume until one is measured.
    """

    number: int
    route: str
    cost_ms: float


class LoadReply(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """Load of the upstream of a daemon.

    Attributes:
        number: Query number.
        incarnation: Incarnation of the daemon.
        load: Current load.
        estimate: Estimated time of the call, None if the daemon accepts no
            calls.
    """

    number: int
    incarnation: int
    load: LoadReport
    estimate: Estimate | None = None


LoadMessage = LoadQuery | LoadReply
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[LoadMessage] = msgspec.msgpack.Decoder(
    LoadMessage
)


class LoadSource(Protocol):
    """Provides the load of this daemon's upstream."""

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this daemon."""

    def load(self) -> LoadReport:
        """Return the current load."""

    def estimate(self, route: str, cost_ms: float) -> Estimate | None:
        """Return the time a call would take, None if none is accepted."""


class LoadSocket(asyncio.DatagramProtocol):
    """UDP socket that sends load queries and answers those of other daemons.

    Attributes:
        key: Cluster key.
        source: Provides the load for replies.
        pending: Futures of pending queries by number.
    """

    def __init__(
        self, key: ClusterKey, source: LoadSource, metrics: MetricSet
    ) -> None:
        """Initialize a socket that is not bound yet."""
        self.key = key
        self.source = source
        self.metrics = metrics
        self.pending: dict[int, asyncio.Future[LoadReply]] = {}
        self.query_numbers = itertools.count(1)
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address) -> None:
        """Bind the socket; if that fails, no query is sent or answered."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, (address.host, address.port)
            )
        except OSError as error:
            LOAD_NOT_ASKED.write(address=str(address), cause=str(error))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def send_query(
        self, address: Address, route: str, cost_ms: float
    ) -> tuple[int, asyncio.Future[LoadReply]]:
        """Send a query; return its number and the future of the reply."""
        number = next(self.query_numbers)
        reply: asyncio.Future[LoadReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[number] = reply
        query = LoadQuery(number, route, cost_ms)
        self._send(query, (address.host, address.port))
        return number, reply

    def forget(self, number: int) -> None:
        """Stop waiting for the reply to a query."""
        self.pending.pop(number, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the transport."""
        self.transport = None

    def error_received(self, error: Exception) -> None:
        """Log an unreachable peer; the query stays unanswered."""
        LOAD_QUESTION_FAILED.write(cause=str(error))

    def datagram_received(self, content: bytes, peer: tuple[str, int]) -> None:
        """Answer a query, or resolve the future of a reply."""
        proof = content[:TRUNCATED_PROOF_BYTES]
        payload = content[TRUNCATED_PROOF_BYTES:]
        if not hmac.compare_digest(proof, self._proof(payload)):
            self.metrics.count(CONTROL_UNPROVED)
            return
        try:
            message = decode_outside(_decoder.decode, payload)
        except msgspec.DecodeError as error:
            self.metrics.count(CONTROL_BAD)
            LOAD_NOT_READ.write(peer=peer[0], cause=str(error))
            return
        match message:
            case LoadQuery():
                self._answer(message, peer)
            case LoadReply():
                self._resolve(message)

    def _answer(self, query: LoadQuery, peer: tuple[str, int]) -> None:
        reply = LoadReply(
            query.number,
            self.source.incarnation,
            self.source.load(),
            self.source.estimate(query.route, query.cost_ms),
        )
        self._send(reply, peer)

    def _resolve(self, reply: LoadReply) -> None:
        waiter = self.pending.pop(reply.number, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)

    def _send(self, message: LoadMessage, peer: tuple[str, int]) -> None:
        if self.transport is None:
            return
        payload = _encoder.encode(message)
        self.transport.sendto(self._proof(payload) + payload, peer)

    def _proof(self, payload: bytes) -> bytes:
        return self.key.prove(PROOF_PURPOSE, payload)[:TRUNCATED_PROOF_BYTES]
