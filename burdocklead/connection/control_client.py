"""Clients for control requests to replicas, over pynng."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable

import msgspec
import pynng

from burdocklead.connection.control_messages import (
    ControlReply,
    ControlRequest,
    Failure,
    message_encoder,
    reply_decoder,
)
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.connection.sealing import open_reply, seal_request
from burdocklead.decoding import decode_outside
from burdocklead.exceptions import ControlError, QuorumError
from burdocklead.values import Address

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Short because all processes may start at once, and replicas slightly later.
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 200


class ControlClient:
    """Sends requests to one replica; a socket that timed out is replaced.

    Attributes:
        name: ID of the replica.
        address: Control address of the replica.
        bytes_sent: Number of bytes of requests.
        bytes_received: Number of bytes of replies.
        messages: Number of requests sent.
    """

    def __init__(
        self, name: str, address: Address, credentials: PeerCredentials
    ) -> None:
        """Initialize the client; the first request opens the socket."""
        self.credentials = credentials
        self.name = name
        self.address = address
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages = 0
        self.socket: pynng.Req0 | None = None

    async def request(
        self, message: ControlRequest, timeout: float
    ) -> ControlReply:
        """Send a request to the replica and return its reply.

        Args:
            message: The request.
            timeout: Time limit in seconds.

        Raises:
            ControlError: If the replica didn't answer or reported a failure.
            QuorumError: If the replica reported that no quorum answered.
        """
        step = type(message).__name__.lower()
        request = seal_request(
            self.credentials.key, message_encoder.encode(message)
        )
        try:
            async with asyncio.timeout(timeout):
                received = await self._send_and_receive(request.content)
        except (TimeoutError, pynng.NNGException) as error:
            self.close()
            _raise_if_cancelled()
            reason = str(error) or 'no answer in time'
            raise ControlError(reason, step=step, peer=self.name) from error
        return self._decode_reply(received, request.nonce, step)

    def close(self) -> None:
        """Close the socket; the next request opens a new one."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _decode_reply(
        self, received: bytes, nonce: bytes, step: str
    ) -> ControlReply:
        self.bytes_received += len(received)
        payload = open_reply(self.credentials.key, nonce, received)
        try:
            reply = decode_outside(reply_decoder.decode, payload)
        except msgspec.DecodeError as error:
            raise ControlError(str(error), step=step, peer=self.name) from error
        if isinstance(reply, Failure):
            kind = QuorumError if reply.no_quorum else ControlError
            raise kind(reply.reason, step=reply.step, peer=self.name)
        return reply

    async def _send_and_receive(self, payload: bytes) -> bytes:
        if self.socket is None:
            self.socket = self._open()
        self.messages += 1
        self.bytes_sent += len(payload)
        context = self.socket.new_context()
        try:
            await context.asend(payload)
            return bytes(await context.arecv())
        finally:
            context.close()

    def _open(self) -> pynng.Req0:
        tls = self.credentials.tls
        socket = pynng.Req0(
            resend_time=-1,
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            tls_config=tls.control_client_config() if tls else None,
        )
        scheme = 'tls+tcp' if tls else 'tcp'
        socket.dial(f'{scheme}://{self.address}', block=False)
        return socket


def _raise_if_cancelled() -> None:
    """Raise a cancellation that pynng reported as an error of its own."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


class FailoverControlClient:
    """Sends requests to a preferred replica and fails over to the others.

    Attributes:
        replicas: Replicas of the set in use, empty before it is known.
        fallback: Replicas from the settings.
        clients: Clients of all replicas, in failover order.
        preferred: Index of the client that is tried first.
    """

    def __init__(
        self,
        replicas: tuple[tuple[str, Address], ...],
        credentials: PeerCredentials,
    ) -> None:
        """Initialize a client for each replica."""
        self.credentials = credentials
        self.replicas: tuple[tuple[str, Address], ...] = ()
        self.fallback = replicas
        self.clients = [
            ControlClient(name, address, credentials)
            for name, address in replicas
        ]
        self.preferred = 0

    @property
    def client(self) -> ControlClient:
        """Return the client of the preferred replica."""
        return self.clients[self.preferred]

    def use_fallback(self, replicas: tuple[tuple[str, Address], ...]) -> None:
        """Use other replicas from the settings, from now on."""
        self.fallback = replicas
        self.use_replicas(self.replicas, self.client.name)

    def use_replicas(
        self, replicas: tuple[tuple[str, Address], ...], preferred: str = ''
    ) -> None:
        """Use another replica set; clients still in use keep their sockets.

        The replicas from the settings come last, as a fallback for when no
        replica of the set answers.

        Args:
            replicas: IDs and addresses of the replicas in the set.
            preferred: ID of the replica to try first, empty to keep the
                current one.
        """
        first = preferred or self.client.name
        self.replicas = replicas
        present = {address for _, address in replicas}
        wanted = dict(_rotate(replicas, first))
        for name, address in self.fallback:
            if address not in present:
                wanted.setdefault(name, address)
        known = {client.name: client for client in self.clients}
        self.clients = [
            _client_for(known.pop(name, None), name, address, self.credentials)
            for name, address in wanted.items()
        ]
        for client in known.values():
            client.close()
        names = list(wanted)
        self.preferred = names.index(first) if first in names else 0

    def switch_replica(self) -> None:
        """Make the next replica the preferred one."""
        self.preferred = (self.preferred + 1) % len(self.clients)

    async def request(
        self, message: ControlRequest, timeout: float
    ) -> ControlReply:
        """Return the reply of the first replica that answers.

        Each replica gets an equal part of the timeout before the next one is
        asked too. A slow replica may still answer first, as a request that
        started again elsewhere has to wait for the same disks.

        Raises:
            ControlError: If no replica answered.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        limit = timeout / len(self.clients)
        requests: dict[asyncio.Task[ControlReply], ControlClient] = {}
        answered = None
        try:
            for client in self._failover_order():
                left = max(deadline - loop.time(), 0)
                request = loop.create_task(client.request(message, left))
                requests[request] = client
                is_last = len(requests) == len(self.clients)
                answered = await _first_answered(
                    requests, left if is_last else limit
                )
                if answered is not None:
                    self._prefer(requests[answered])
                    return answered.result()
        finally:
            for pending in requests:
                pending.cancel()
        raise _last_error(requests, type(message).__name__.lower())

    def _failover_order(self) -> list[ControlClient]:
        """Return the clients in the order in which they are tried."""
        return self.clients[self.preferred :] + self.clients[: self.preferred]

    def _prefer(self, client: ControlClient) -> None:
        """Try a replica that answered first, unless the set changed."""
        if client in self.clients:
            self.preferred = self.clients.index(client)

    def close(self) -> None:
        """Close all sockets."""
        for client in self.clients:
            client.close()


async def _first_answered(
    requests: Collection[asyncio.Task[ControlReply]], timeout: float
) -> asyncio.Task[ControlReply] | None:
    """Return the first request with a reply.

    Returns:
        None if all requests failed or the timeout in s has passed.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    pending = set(requests)
    while pending and loop.time() < deadline:
        done, pending = await asyncio.wait(
            pending,
            timeout=deadline - loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        answered = [one for one in done if one.exception() is None]
        if answered:
            return answered[0]
    return None


def _last_error(
    requests: Iterable[asyncio.Task[ControlReply]], step: str
) -> BaseException:
    """Return the error of the request that was sent last, if it has one."""
    error: BaseException = ControlError('no replica answered', step=step)
    for request in requests:
        if request.done() and not request.cancelled():
            error = request.exception() or error
    return error


def _rotate(
    replicas: tuple[tuple[str, Address], ...], first: str
) -> tuple[tuple[str, Address], ...]:
    """Return the replicas in the same cyclic order, one of them first."""
    names = [name for name, _ in replicas]
    start = names.index(first) if first in names else 0
    return replicas[start:] + replicas[:start]


def _client_for(
    known: ControlClient | None,
    name: str,
    address: Address,
    credentials: PeerCredentials,
) -> ControlClient:
    if known is not None and known.address == address:
        return known
    if known is not None:
        known.close()
    return ControlClient(name, address, credentials)
