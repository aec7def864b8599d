"""Periodic exchange of state between control replicas."""

from __future__ import annotations

import asyncio
import contextlib
import time

from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import (
    Cursor,
    Exchange,
    HeartbeatReply,
    InstallSet,
    SetReply,
)
from burdocklead.durable.replica_set import Replica
from burdocklead.exceptions import BurdockleadError
from burdocklead.log_events import EXCHANGE_FAILED
from burdocklead.process.control_replica import ControlReplica

EXCHANGE_TIMEOUT_S = 1.0
REPLY_MEMORY_S = 60.0
CATCH_UP_INTERVAL_S = 0.1
CATCH_UP_S = 5.0  # All daemons send a heartbeat again within this time.


class ReplicaExchange:
    """Polls the other replicas for changes.

    Attributes:
        replica: The replica that polls.
        registers: Its registers and clients.
        settings: Its settings.
        started: Monotonic time in s of the start.
        cursors: Last change received from each other replica.
    """

    def __init__(self, replica: ControlReplica) -> None:
        """Start without cursors, so that the first replies are snapshots."""
        self.replica = replica
        self.registers = replica.registers
        self.settings = replica.settings
        self.started = time.monotonic()
        self.cursors: dict[str, Cursor] = {}

    async def run_forever(self) -> None:
        """Exchange state with each other replica until cancelled."""
        running: dict[str, asyncio.Task[None]] = {}
        while True:
            for name, peer in list(self.registers.clients.items()):
                if name not in running or running[name].done():
                    exchange = self._try_exchange(peer)
                    running[name] = asyncio.create_task(exchange)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._exchange_delay_s()):
                    await self.replica.exchange_requested.wait()
            self.replica.exchange_requested.clear()

    def _exchange_delay_s(self) -> float:
        """Return the delay in s before the next exchange.

        It is shorter after a start, when this replica knows little.
        """
        interval = self.settings.exchange_interval
        if time.monotonic() < self.started + CATCH_UP_S:
            return min(interval, CATCH_UP_INTERVAL_S)
        return interval

    async def _try_exchange(self, peer: ControlClient) -> None:
        try:
            await self._exchange_once(peer)
        except BurdockleadError as error:
            EXCHANGE_FAILED.write(peer=peer.name, cause=str(error))

    async def _exchange_once(self, peer: ControlClient) -> None:
        message = Exchange(
            self.settings.replica_id,
            self.cursors.get(peer.name, Cursor()),
            self.replica.configuration.current.version,
            self.replica.clock.issue(),
            self.registers.replica_set.epoch,
            self.replica.configuration.text_digest,
            self.registers.own_replica,
            self.replica.evacuations.current,
            self.replica.drains.current,
        )
        reply = await peer.request(message, EXCHANGE_TIMEOUT_S)
        if not isinstance(reply, HeartbeatReply):
            return
        if not self.registers.replica_set.epoch:
            await self._learn_identity(peer)
        if reply.replica_set is not None:
            await self.registers.install(reply.replica_set)
        now = time.monotonic()
        self.replica.clock.observe(reply.time)
        self._record_reply(reply, now)
        self.cursors[peer.name] = reply.cursor
        sender = reply.cursor.replica_id
        self.replica.members.merge(reply.updates, now, sender)
        self.replica.members.renew_leases(sender, now)
        self.replica.members.is_settled |= reply.is_settled
        self.replica.drains.decided.learn(reply.drains)
        self.replica.evacuations.decided.learn(reply.evacuations)
        if reply.file is not None:
            self.replica.configuration.decided.learn(reply.file)

    def _record_reply(self, reply: HeartbeatReply, now: float) -> None:
        """Record a reply; forget replicas that left the set long ago.

        A replica that lost its disk may answer under its old name or, at its
        old address, under a new one. It is no member until it has joined.
        """
        last_reply_at = self.replica.set_manager.last_reply_at
        replica_id = reply.cursor.replica_id
        expected = self.registers.replica_set.identity_of(replica_id)
        if expected in {'', reply.identity}:
            last_reply_at[replica_id] = now
        oldest = now - REPLY_MEMORY_S
        for name, at in tuple(last_reply_at.items()):
            if at < oldest and name not in self.registers.clients:
                last_reply_at.pop(name)

    async def _learn_identity(self, peer: ControlClient) -> None:
        request = InstallSet(self.registers.replica_set)
        reply = await peer.request(request, EXCHANGE_TIMEOUT_S)
        if isinstance(reply, SetReply):
            replica = Replica(
                reply.replica_id, peer.address, reply.identity, reply.zone
            )
            self.replica.set_manager.observe_replica(replica, reply.replica_set)
