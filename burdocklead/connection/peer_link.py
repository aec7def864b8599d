"""Link from an entry daemon to the daemon of an upstream."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from burdocklead.connection.client_handshake import ClientHandshake
from burdocklead.connection.frame_protocol import FrameProtocol, LinkEnd
from burdocklead.connection.frames import (
    Answer,
    Attempt,
    AttemptResult,
    AttemptState,
    Cancel,
    CrashNotice,
    Frame,
    Lost,
    Ping,
    Pong,
    Query,
    Refusal,
    Verdict,
    Welcome,
)
from burdocklead.connection.large_frames import UNKNOWN_LOAD
from burdocklead.connection.link_identity import LinkIdentity
from burdocklead.connection.link_monitor import LinkMonitor
from burdocklead.connection.tls import PEER_NAME
from burdocklead.connection.waiters import Waiters
from burdocklead.exceptions import LinkError
from burdocklead.log_events import LINK_ENDED
from burdocklead.metrics import LATE_RESULTS, LINK_ENDS, MetricSet
from burdocklead.settings import DaemonSettings
from burdocklead.values import Address, LoadReport

# Long enough for regions 55 ms apart; a VM that is down does not answer.
CONNECT_TIMEOUT_S = 0.4
QUERY_TIMEOUT_S = 0.8

LoadHandler = Callable[[str, LoadReport], None]


class PeerLink:
    """Sends attempts to one daemon and receives their results.

    Attributes:
        daemon_id: ID of the daemon.
        address: Link address of the daemon.
        incarnation: Incarnation of the daemon, 0 while not connected.
    """

    def __init__(
        self,
        identity: LinkIdentity,
        daemon_id: str,
        address: Address,
        on_load: LoadHandler,
        settings: DaemonSettings,
        metrics: MetricSet,
    ) -> None:
        """Initialize the link; it connects when it is first needed."""
        self.identity = identity
        self.daemon_id = daemon_id
        self.address = address
        self.on_load = on_load
        self.settings = settings
        self.metrics = metrics
        self.incarnation = 0
        self.protocol: FrameProtocol | None = None
        self.connecting = asyncio.Lock()
        self.handshake: ClientHandshake | None = None
        self.results: Waiters[AttemptResult] = Waiters()
        self.verdicts: Waiters[Verdict] = Waiters()
        self.activity = asyncio.Event()
        self.monitor: asyncio.Task[None] | None = None

    async def open(self, incarnation: int) -> None:
        """Connect to an incarnation of the daemon.

        Raises:
            LinkError: If that incarnation can't be reached.
        """
        if self.protocol is None:
            await self._connect()
        if self.incarnation != incarnation:
            raise LinkError(
                'daemon runs another incarnation',
                step='connect',
                peer=self.daemon_id,
            )

    async def run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt over the open link and return its result.

        Raises:
            LinkError: If the link failed. With the step ``send``, the attempt
                was never sent; otherwise its outcome is unknown.
        """
        self._check_sendable(attempt)
        waiter = self.results.add(attempt.attempt_id)
        try:
            self._send(attempt)
            return await waiter
        finally:
            self.results.discard(attempt.attempt_id, waiter)

    async def query(self, query: Query) -> Verdict:
        """Return the state of an attempt; waits until a running one is done.

        Raises:
            LinkError: If there was no verdict in time or the link failed.
        """
        await self._connect()
        result = self.results.add(query.attempt_id)
        try:
            verdict = await self._request_verdict(query)
            if verdict.state is not AttemptState.running:
                return verdict
            if verdict.incarnation != query.incarnation:
                return verdict
            return Verdict(
                query.attempt_id,
                verdict.incarnation,
                AttemptState.done,
                await result,
            )
        finally:
            self.results.discard(query.attempt_id, result)

    async def withdraw(self, cancel: Cancel) -> Verdict:
        """Cancel an attempt and return its state.

        Raises:
            LinkError: If there was no verdict in time or the link failed.
        """
        await self._connect()
        return await self._request_verdict(cancel)

    def cancel(self, cancel: Cancel) -> None:
        """Cancel an attempt without waiting for its state."""
        with contextlib.suppress(LinkError):
            self._send(cancel, urgent=True)

    def send_nowait(self, frame: Ping | CrashNotice) -> None:
        """Send a frame over the open link without waiting for a reply.

        This doesn't count as activity, so that load probes don't keep an idle
        link open.

        Raises:
            LinkError: If the link is closed.
        """
        if self.protocol is None:
            raise LinkError(
                'connection is closed', step='send', peer=self.daemon_id
            )
        self.protocol.send(frame, urgent=True)

    def has_pending(self) -> bool:
        """Return True while an attempt, query or cancel awaits its reply."""
        return bool(self.results or self.verdicts)

    def close(self, end: LinkEnd) -> None:
        """Close the connection; pending attempts fail."""
        if self.protocol is not None:
            self.protocol.close(end)

    def _check_sendable(self, attempt: Attempt) -> None:
        reason = ''
        if self.protocol is None:
            reason = 'connection is closed'
        elif self.incarnation != attempt.incarnation:
            reason = 'daemon runs another incarnation'
        elif self.protocol.backlog_bytes > self.settings.link_backlog_bytes:
            reason = 'send backlog is full'
        elif len(self.results) >= self.settings.max_pending_attempts:
            reason = 'too many attempts are pending'
        if reason:
            raise LinkError(reason, step='send', peer=self.daemon_id)

    def _send(self, frame: Frame, *, urgent: bool = False) -> None:
        if self.protocol is None:
            raise LinkError(
                'connection is closed', step='send', peer=self.daemon_id
            )
        self.protocol.send(frame, urgent=urgent)
        self.activity.set()

    async def _request_verdict(self, request: Query | Cancel) -> Verdict:
        waiter = self.verdicts.add(request.attempt_id)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                self._send(request, urgent=True)
                return await waiter
        except TimeoutError:
            raise LinkError(
                'no verdict in time', step='query', peer=self.daemon_id
            ) from None
        finally:
            self.verdicts.discard(request.attempt_id, waiter)

    async def _connect(self) -> None:
        async with self.connecting:
            if self.protocol is not None:
                return
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    self.protocol = await self._open_and_authenticate()
            except (OSError, TimeoutError) as error:
                reason = str(error) or 'no connection in time'
                raise LinkError(
                    reason, step='connect', peer=self.daemon_id
                ) from error
            monitor = LinkMonitor(
                self.protocol,
                self.activity,
                self.has_pending,
                self.settings.link_idle,
                self.metrics,
            )
            self.monitor = asyncio.create_task(monitor.run())

    async def _open_and_authenticate(self) -> FrameProtocol:
        loop = asyncio.get_running_loop()
        handshake = ClientHandshake(self.identity, self.daemon_id)
        self.handshake = handshake
        tls = self.identity.client_tls()
        _, protocol = await loop.create_connection(
            lambda: FrameProtocol(
                self._receive,
                self._on_close,
                self.identity.clock,
                self.settings.max_frame_bytes(),
                self.identity.budget,
            ),
            self.address.host,
            self.address.port,
            ssl=tls,
            server_hostname=PEER_NAME if tls else None,
        )
        try:
            self.incarnation = await handshake.run(protocol)
        except BaseException:
            protocol.close(LinkEnd.unproven)
            raise
        return protocol

    def _receive(self, protocol: FrameProtocol, frame: Frame) -> None:
        match frame:
            case Answer() | Refusal() | Lost():
                if frame.load != UNKNOWN_LOAD:
                    self.on_load(self.daemon_id, frame.load)
                if not self.results.resolve(frame.attempt_id, frame):
                    self.metrics.count(LATE_RESULTS)
            case Verdict():
                self.verdicts.resolve(frame.attempt_id, frame)
            case Pong():
                self.on_load(self.daemon_id, frame.load)
            case Welcome() if self.handshake is not None:
                self.handshake.receive(frame)
            case _:
                protocol.close(LinkEnd.unexpected_frame)

    def _on_close(self, protocol: FrameProtocol, end: LinkEnd) -> None:
        self.metrics.count(LINK_ENDS, end.value)
        LINK_ENDED.write(peer=self.daemon_id, cause=end.value)
        error = LinkError(end.value, step='await', peer=self.daemon_id)
        if protocol is not self.protocol:
            if self.handshake is not None:
                self.handshake.fail(end)
            return
        self.protocol = None
        self.incarnation = 0
        self.activity.set()
        self.results.fail_all(error)
        self.verdicts.fail_all(error)
