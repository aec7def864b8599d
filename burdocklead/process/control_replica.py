"""One control replica: registers, membership and the answers to messages."""

from __future__ import annotations

import asyncio
import time

import logbook
import msgspec

from burdocklead.clock import HybridClock
from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import (
    ControlReply,
    ControlRequest,
    Exchange,
    Heartbeat,
    HeartbeatReply,
    Phases,
)
from burdocklead.connection.peer_access import load_peer_access
from burdocklead.durable.claims import (
    ClaimFinish,
    ClaimReply,
    ClaimStart,
    decode_claim,
    finish_claim,
    start_claim,
)
from burdocklead.durable.configuration import (
    CONFIGURATION_KEY,
    AcceptedFile,
    ApplyResult,
    decide_apply,
    decode_file,
)
from burdocklead.durable.register import quorum_size
from burdocklead.events import EventKind, EventRing
from burdocklead.exceptions import ControlError
from burdocklead.metrics import MetricSet
from burdocklead.process.membership import MembershipView
from burdocklead.process.register_service import RegisterService
from burdocklead.settings import ControlSettings
from burdocklead.version.configuration_file import decode_deployment

MS_PER_S = 1000
log = logbook.Logger('control')


class ControlReplica:
    """State of one replica and its answers to messages.

    Attributes:
        file: Newest configuration file known to be accepted.
        peers: Clients of the other replicas.
    """

    def __init__(self, settings: ControlSettings) -> None:
        """Open the store and prepare clients of the other replicas."""
        self.settings = settings
        self.clock = HybridClock()
        self.access = load_peer_access(settings)
        self.events = EventRing(settings.replica_id, self.clock)
        self.metrics = MetricSet()
        self.registers = RegisterService(settings, self.access)
        self.members = MembershipView(
            settings.replica_id, time.time_ns(), settings.member_lease
        )
        self.peers = list(self.registers.clients.values())
        self.file = AcceptedFile()
        self.peer_heard_at = {peer.name: float('-inf') for peer in self.peers}
        self.cursors = {
            peer.name: self.members.cursor.__class__() for peer in self.peers
        }

    async def handle(self, message: ControlRequest) -> ControlReply:
        """Return the reply to a message of a daemon or a replica."""
        match message:
            case Phases():
                return await self.registers.handle(message)
            case Heartbeat():
                self.members.observe(message.member, time.monotonic())
                return self._reply_since(message)
            case Exchange():
                return self._reply_since(message)
            case ClaimStart() | ClaimFinish():
                return await self._change_claim(message)

    async def apply(self, text: bytes) -> ApplyResult:
        """Decide on a configuration file and return the decision.

        Raises:
            ConfigurationError: If the file is not valid.
            QuorumError: If no quorum answered; the file may be accepted.
        """
        version = decode_deployment(text).version
        results: list[ApplyResult] = []

        def update(value: bytes) -> bytes:
            following, result = decide_apply(decode_file(value), version, text)
            results.append(result)
            return msgspec.msgpack.encode(following)

        value = await self.registers.change(CONFIGURATION_KEY, update)
        self.learn_file(decode_file(value))
        return results[-1]

    def learn_file(self, file: AcceptedFile) -> None:
        """Serve an accepted file if it is newer than the present one."""
        if file.version <= self.file.version:
            return
        self.file = file
        self.events.record(
            EventKind.version_accepted, detail=f'version {file.version}'
        )
        log.info('configuration accepted', version=file.version)

    def quorum_age(self) -> float:
        """Return the time since a quorum was last heard of in s."""
        now = time.monotonic()
        ages: list[float] = sorted(
            [0, *(now - at for at in self.peer_heard_at.values())]
        )
        return ages[quorum_size(len(ages)) - 1]

    async def recover_file(self) -> None:
        """Read the configuration register through a quorum until it works."""
        while True:
            try:
                value = await self.registers.change(CONFIGURATION_KEY, bytes)
            except ControlError:
                await asyncio.sleep(self.settings.exchange_interval)
                continue
            self.learn_file(decode_file(value))
            return

    async def exchange_forever(self, peer: ControlClient) -> None:
        """Take over what one other replica knows, again and again."""
        while True:
            try:
                await self._exchange_once(peer)
            except ControlError as error:
                log.debug('exchange failed', peer=peer.name, error=str(error))
            await asyncio.sleep(self.settings.exchange_interval)

    async def expire_forever(self) -> None:
        """Mark daemons whose lease ran out, again and again."""
        while True:
            for member in self.members.expire(time.monotonic()):
                self.events.record(EventKind.member_left, peer=member.daemon_id)
                log.info('lease ran out', daemon=member.daemon_id)
            await asyncio.sleep(self.settings.exchange_interval)

    async def _exchange_once(self, peer: ControlClient) -> None:
        message = Exchange(
            self.settings.replica_id,
            self.cursors[peer.name],
            self.file.version,
            self.clock.issue(),
        )
        reply = await peer.request(message, 1)
        if not isinstance(reply, HeartbeatReply):
            return
        now = time.monotonic()
        self.clock.observe(reply.time)
        self.peer_heard_at[peer.name] = now
        self.cursors[peer.name] = reply.cursor
        self.members.merge(reply.updates, now)
        if reply.file is not None:
            self.learn_file(reply.file)

    def _reply_since(self, message: Heartbeat | Exchange) -> HeartbeatReply:
        self.clock.observe(message.time)
        whole, updates = self.members.updates_since(
            message.cursor, time.monotonic()
        )
        newer = self.file.version > message.known_version
        return HeartbeatReply(
            cursor=self.members.cursor,
            whole=whole,
            updates=updates,
            file=self.file if newer else None,
            quorum_age_ms=min(self.quorum_age() * MS_PER_S, 1e12),
            time=self.clock.issue(),
        )

    async def _change_claim(
        self, message: ClaimStart | ClaimFinish
    ) -> ClaimReply:
        def update(value: bytes) -> bytes:
            current = decode_claim(value)
            match message:
                case ClaimStart():
                    following = start_claim(current, message)
                case ClaimFinish():
                    following = finish_claim(current, message)
            return msgspec.msgpack.encode(following)

        value = await self.registers.change(
            message.key, update, maybe_new=isinstance(message, ClaimStart)
        )
        return ClaimReply(
            msgspec.msgpack.decode(value, type=type(message.claim))
        )
