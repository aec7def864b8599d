"""Heartbeats of a daemon to control and the handling of their replies."""

from __future__ import annotations

import asyncio
import contextlib
import zlib

from burdocklead.clock import HybridClock
from burdocklead.connection.control_client import FailoverControlClient
from burdocklead.connection.control_messages import (
    Cursor,
    Heartbeat,
    HeartbeatReply,
)
from burdocklead.durable.drains import NO_DRAINS, DrainList
from burdocklead.durable.replica_set import ReplicaSet
from burdocklead.exceptions import ControlError
from burdocklead.log_events import CONTROL_LEFT, CONTROL_REACHED, REPLICA_SET
from burdocklead.process.directory import DaemonDirectory
from burdocklead.process.local_member import LocalMember

QUORUM_AGE_LIMIT_MS = 2000
REPLY_TIMEOUT_S = 1.0
# Short, because in a full restart the first replicas may be down.
RECONNECT_TIMEOUT_S = 0.3
CATCH_UP_INTERVAL_S = 0.1
# Other daemons and their upstreams announce themselves within this time.
CATCH_UP_S = 3.0
MS_PER_S = 1000


class ControlAgent:
    """Sends a daemon's heartbeats to control and applies the replies.

    Attributes:
        connected: True if the last heartbeat was answered.
        known_epoch: Epoch of the replica set in use, 0 before the first.
        drains: Newest list of daemons that operators drain.
        catching_up_until: Loop time in s until which heartbeats are sent more
            often.
    """

    def __init__(
        self,
        control: FailoverControlClient,
        local_member: LocalMember,
        directory: DaemonDirectory,
        clock: HybridClock,
        interval: float,
    ) -> None:
        """Prepare to send heartbeats at an interval in s."""
        self.control = control
        self.local_member = local_member
        self.directory = directory
        self.clock = clock
        self.interval = interval
        self.cursor = Cursor()
        self.connected = False
        self.known_epoch = 0
        self.drains = NO_DRAINS
        self.catching_up_until = float(0)

    async def run_forever(self) -> None:
        """Send heartbeats until cancelled, and one at once after a change."""
        while True:
            await self.send_heartbeat()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._heartbeat_delay_s()):
                    await self.local_member.changed.wait()

    def _heartbeat_delay_s(self) -> float:
        """Return the delay in s before the next heartbeat.

        It is shorter while the daemon catches up after a start or an outage.
        """
        now = asyncio.get_running_loop().time()
        if not self.connected or now < self.catching_up_until:
            return min(self.interval, CATCH_UP_INTERVAL_S)
        return self.interval

    def _timeout_s(self) -> float:
        return REPLY_TIMEOUT_S if self.connected else RECONNECT_TIMEOUT_S

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and apply the reply."""
        member = self.local_member.describe(self.directory.version)
        # A change during the request is announced by the next heartbeat.
        self.local_member.changed.clear()
        message = Heartbeat(
            member,
            self.cursor,
            self.directory.known_version,
            self.clock.issue(),
            self.known_epoch,
        )
        client = self.control.client
        sent_at = asyncio.get_running_loop().time()
        try:
            reply = await client.request(message, self._timeout_s())
        except ControlError as error:
            self._leave_replica(client.name, error.reason)
            return
        if not isinstance(reply, HeartbeatReply):
            self._leave_replica(client.name, 'unexpected reply')
            return
        if reply.replica_set is not None:
            self._use_set(reply.replica_set)
        # A list was accepted even if the replica was cut off since.
        self.directory.evacuations.learn(reply.evacuations)
        if reply.quorum_age_ms > QUORUM_AGE_LIMIT_MS:
            self._leave_replica(client.name, 'cut off from its quorum')
            return
        self._apply_reply(reply)
        if self.directory.known_version == self.directory.version:
            # The replica had heard of newer versions from a quorum by then.
            quorum_age_s = reply.quorum_age_ms / MS_PER_S
            self.directory.keys.confirmed_at = sent_at - quorum_age_s

    def _apply_reply(self, reply: HeartbeatReply) -> None:
        self.clock.observe(reply.time)
        self.directory.apply_updates(
            reply.updates,
            is_snapshot=reply.is_snapshot,
            is_settled=reply.is_settled,
        )
        self.cursor = reply.cursor
        if reply.file is not None:
            self.directory.install_file(reply.file)
        self._apply_drains(reply.drains)
        if not self.connected:
            self.connected = True
            now = asyncio.get_running_loop().time()
            self.catching_up_until = now + CATCH_UP_S
            CONTROL_REACHED.write(peer=reply.cursor.replica_id)

    def _use_set(self, replica_set: ReplicaSet) -> None:
        """Switch to the replicas of a newer set."""
        self.known_epoch = replica_set.epoch
        self.control.use_replicas(
            replica_set.addresses(),
            self._preferred(replica_set),
        )
        names = ', '.join(sorted(replica_set.names))
        REPLICA_SET.write(epoch=replica_set.epoch, replicas=names)

    def _preferred(self, replica_set: ReplicaSet) -> str:
        """Return the replica to try first, in the same zone if possible.

        The choice depends on the daemon, which spreads load over the replicas.
        """
        replicas = replica_set.following or replica_set.replicas
        member = self.local_member.member
        candidates = [
            replica for replica in replicas if replica.zone == member.zone
        ] or replicas
        index = zlib.crc32(member.daemon_id.encode()) % len(candidates)
        return candidates[index].replica_id

    def _apply_drains(self, drains: DrainList) -> None:
        if drains.revision <= self.drains.revision:
            return
        self.drains = drains
        own_id = self.local_member.member.daemon_id
        self.local_member.set_operator_drain(own_id in drains.daemons)

    def _leave_replica(self, name: str, reason: str) -> None:
        self.control.switch_replica()
        if self.connected:
            self.connected = False
            CONTROL_LEFT.write(peer=name, cause=reason)
