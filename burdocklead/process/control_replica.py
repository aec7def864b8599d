"""A control replica: its registers, membership and message handling."""

from __future__ import annotations

import asyncio
import time

import msgspec

from burdocklead.allowance.lease_holder import create_grant_service
from burdocklead.allowance.messages import GrantRequest
from burdocklead.clock import HybridClock
from burdocklead.connection.control_messages import (
    CatchUp,
    ControlReply,
    ControlRequest,
    Exchange,
    Heartbeat,
    HeartbeatReply,
    InstallSet,
    Phases,
)
from burdocklead.connection.peer_credentials import load_peer_credentials
from burdocklead.durable.claims import (
    ClaimFinish,
    ClaimReply,
    ClaimStart,
    decode_claim,
    finish_claim,
    start_claim,
)
from burdocklead.durable.operator_configuration import OperatorConfiguration
from burdocklead.durable.replica_set import NO_QUORUM_AGE_S, Replica
from burdocklead.evacuation.operator_evacuations import OperatorEvacuations
from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import LEASE_RAN_OUT
from burdocklead.memory.budget import BudgetLimits, MemoryBudget
from burdocklead.metrics import MetricSet
from burdocklead.process.membership import MembershipView
from burdocklead.process.operator_drains import OperatorDrains
from burdocklead.process.register_service import RegisterService
from burdocklead.process.replica_set_manager import ReplicaSetManager
from burdocklead.settings import ControlSettings

MS_PER_S = 1000
RECENT_REPLY_S = 1
QUORUM_AGE_LIMIT_S = 2  # Eight exchanges at the default interval.


class ControlReplica:
    """State of one replica and its message handlers.

    Attributes:
        configuration: Configuration that operators change.
        grants: Grants calls of teams while this replica holds the lease.
        exchange_requested: Set to run an exchange with the other replicas at
            once.
    """

    def __init__(self, settings: ControlSettings) -> None:
        """Open the store and create clients for the other replicas."""
        self.settings = settings
        self.clock = HybridClock()
        self.credentials = load_peer_credentials(settings)
        self.events = EventRing(settings.replica_id, self.clock)
        self.metrics = MetricSet()
        self.budget = MemoryBudget(BudgetLimits(settings.memory_budget))
        self.registers = RegisterService(settings, self.credentials)
        self.members = MembershipView(
            settings.replica_id, time.time_ns(), settings.member_lease
        )
        self.exchange_requested = asyncio.Event()
        self.configuration = OperatorConfiguration(
            self.registers,
            self.registers.commits.read,
            self.events,
            self.exchange_requested.set,
        )
        self.drains = OperatorDrains(
            self.registers, self.events, self.exchange_requested.set
        )
        self.evacuations = OperatorEvacuations(
            self.registers,
            self.members,
            self.events,
            is_settled=lambda: self.members.is_settled,
            on_accepted=self.exchange_requested.set,
        )
        self.grants = create_grant_service(
            settings,
            self.registers,
            lambda: self.configuration.current,
            self.metrics,
        )
        self.set_manager = ReplicaSetManager(self.registers, {})
        self.registers.proposer.all_reachable = self.all_peers_responsive

    async def handle(self, message: ControlRequest) -> ControlReply:
        """Return the reply to a message from a daemon or a replica."""
        reply: ControlReply
        match message:
            case Phases():
                reply = await self.registers.handle(message)
            case InstallSet():
                await self.registers.install(message.replica_set)
                reply = self.registers.describe()
            case CatchUp():
                reply = await self.registers.catch_up_page(message)
            case Heartbeat():
                self.members.observe(
                    message.member, time.monotonic(), sent_at=message.time
                )
                reply = self._heartbeat_reply(message)
            case Exchange():
                self._note_candidate(message)
                self.evacuations.decided.learn(message.evacuations)
                self.drains.decided.learn(message.drains)
                self.configuration.learn_announced(
                    message.known_version, message.known_digest
                )
                reply = self._heartbeat_reply(message)
            case ClaimStart() | ClaimFinish():
                reply = await self._change_claim(message)
            case GrantRequest():
                reply = self.grants.handle(message)
        return reply

    def quorum_age(self) -> float:
        """Return the time in s since a quorum last replied."""
        if not self.registers.is_member:
            return NO_QUORUM_AGE_S
        now = time.monotonic()
        ages = {
            name: now - at
            for name, at in self.set_manager.last_reply_at.items()
            if name in self.registers.clients
        }
        ages[self.settings.replica_id] = 0
        return self.registers.replica_set.quorum_age(ages)

    def not_ready(self) -> str:
        """Return why changes are refused, empty if they are accepted."""
        return '' if self.quorum_age() < QUORUM_AGE_LIMIT_S else 'no quorum'

    def find_responsive_member(self) -> Replica | None:
        """Return the replica of the set that replied last.

        Returns:
            None if none of them replied recently.
        """
        limit = time.monotonic() - RECENT_REPLY_S
        replied_at = {
            name: at
            for name, at in self.set_manager.last_reply_at.items()
            if name in self.registers.clients and at > limit
        }
        if not replied_at:
            return None
        latest = max(replied_at, key=lambda name: replied_at[name])
        return self.registers.replica_set.find(latest)

    def all_peers_responsive(self) -> bool:
        """Return True if every other replica replied recently."""
        limit = time.monotonic() - RECENT_REPLY_S
        return all(
            self.set_manager.last_reply_at.get(name, 0) > limit
            for name in self.registers.clients
        )

    async def expire_forever(self) -> None:
        """Mark daemons whose lease expired, until cancelled.

        After a start or a long pause of the process, nothing expires for one
        lease, because no heartbeats could arrive before.
        """
        last = time.monotonic()
        expire_from = last + self.settings.member_lease
        while True:
            now = time.monotonic()
            if now - last > self.settings.member_lease / 2:
                expire_from = now + self.settings.member_lease
            last = now
            if now >= expire_from:
                self.members.is_settled = True
                self._expire(now)
            await asyncio.sleep(self.settings.exchange_interval)

    def _expire(self, now: float) -> None:
        for member in self.members.expire(now):
            self.events.record(EventKind.member_left, peer=member.daemon_id)
            LEASE_RAN_OUT.write(peer=member.daemon_id)

    def _note_candidate(self, message: Exchange) -> None:
        """Record a replica that may join the set."""
        sender = message.sender
        if sender is not None:
            self.set_manager.candidates[sender] = time.monotonic()

    def _heartbeat_reply(self, message: Heartbeat | Exchange) -> HeartbeatReply:
        self.clock.observe(message.time)
        is_snapshot, updates = self.members.updates_since(
            message.cursor, time.monotonic()
        )
        file = self.configuration.current
        newer = file.version > message.known_version
        # A daemon that has just started must not serve without the list.
        newer = newer and self.evacuations.current is not None
        replica_set = self.registers.replica_set
        newer_set = replica_set.epoch > message.known_epoch
        return HeartbeatReply(
            cursor=self.members.cursor,
            is_snapshot=is_snapshot,
            updates=updates,
            file=file if newer else None,
            quorum_age_ms=self.quorum_age() * MS_PER_S,
            time=self.clock.issue(),
            replica_set=replica_set if newer_set else None,
            drains=self.drains.current,
            is_settled=self.members.is_settled,
            evacuations=self.evacuations.current,
            identity=self.registers.identity.identity,
        )

    async def _change_claim(
        self, message: ClaimStart | ClaimFinish
    ) -> ClaimReply:
        def update(value: bytes) -> bytes:
            current = decode_claim(value)
            match message:
                case ClaimStart():
                    updated = start_claim(current, message)
                case ClaimFinish():
                    updated = finish_claim(current, message)
            return msgspec.msgpack.encode(updated)

        value = await self.registers.change(
            message.key, update, maybe_new=isinstance(message, ClaimStart)
        )
        return ClaimReply(decode_claim(value) or message.claim)
