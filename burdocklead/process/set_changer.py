"""Changes of the replica set: first set, operators' changes, catch-up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

import msgspec

from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import (
    CatchUp,
    CatchUpPage,
    InstallSet,
    SetReply,
)
from burdocklead.durable.replica_set import (
    Replica,
    ReplicaSet,
    is_majority,
    names_of,
)
from burdocklead.durable.set_change import (
    REPLICA_SET_KEY,
    SetChange,
    cancel_change,
    decode_set,
    finish_change,
    start_change,
)
from burdocklead.durable.set_policy import (
    CancelChange,
    SetView,
    plan_change,
)
from burdocklead.exceptions import (
    BurdockleadError,
    ControlError,
    SetChangeError,
)
from burdocklead.log_events import (
    CATCH_UP_FAILED,
    CAUGHT_UP,
    SET_CHANGE_PROPOSED,
    SET_CHANGE_TAKEN_BACK,
    SET_CHANGE_WAITS,
)
from burdocklead.process.register_service import RegisterService

PAGE_TIMEOUT_S = 5.0
GREETING_TIMEOUT_S = 2.0
REACHABLE_AGE_S = 2.0
FIRST_EPOCH = 1
STEP = 'replica set'
SetUpdate = Callable[[ReplicaSet], ReplicaSet]


class SetChanger:
    """Drives changes of the replica set from one replica.

    Attributes:
        seen: Replicas seen before the first set, by address.
        candidates: Monotonic time at which each replica last asked this one
            for news, in s.
        heard_at: Monotonic time at which each replica was last heard, in s.
        caught_up_epoch: Epoch for which this replica has caught up.
    """

    def __init__(
        self, registers: RegisterService, heard_at: Mapping[str, float]
    ) -> None:
        """Prepare changes of the set of a register service."""
        self.registers = registers
        self.settings = registers.settings
        self.heard_at = heard_at
        own = registers.own
        self.seen = {own.address: own}
        self.candidates: dict[Replica, float] = {}
        self.caught_up_epoch = 0

    async def run_forever(self) -> None:
        """Form the first set and finish changes, again and again."""
        while True:
            try:
                await self._settle()
            except BurdockleadError as error:
                SET_CHANGE_WAITS.write(cause=str(error))
            await asyncio.sleep(self.settings.exchange_interval)

    def observe_replica(
        self, replica: Replica, replica_set: ReplicaSet
    ) -> None:
        """Take note of a replica that is in no set yet."""
        if not replica_set.epoch:
            self.seen[replica.address] = replica

    async def start(self, change: SetChange) -> ReplicaSet:
        """Start a change and return the set that starts it.

        Raises:
            SetChangeError: If the change is refused.
            QuorumError: If no quorum answered; it may have started.
        """
        reachable = self._reachable()
        joining = change.joining
        if joining is not None:
            joining = await self._greet(joining)
            reachable |= {joining.replica_id}
        greeted = SetChange(change.leaving, joining)

        def update(current: ReplicaSet) -> ReplicaSet:
            return start_change(current, greeted, reachable)

        decided = await self._change_set(update)
        started = names_of(decided.following or decided.replicas)
        if joining is not None and joining.replica_id not in started:
            self._refuse_late()
        if change.leaving in started:
            self._refuse_late()
        return decided

    async def cancel(self) -> ReplicaSet:
        """Take back the change in progress and return the set in force.

        Raises:
            SetChangeError: If there is none.
            QuorumError: If no quorum answered.
        """
        return await self._change_set(cancel_change)

    async def _settle(self) -> None:
        replica_set = self.registers.replica_set
        if not replica_set.epoch:
            await self._form_first_set(replica_set)
            return
        if not self.registers.is_member:
            return
        if self.settings.target_size:
            await self._keep_size(replica_set)
        if not replica_set.following:
            return
        joining = names_of(replica_set.joining())
        if not joining:
            await self._finish(replica_set.epoch)
        elif self.settings.replica_id in joining:
            await self._catch_up(replica_set)
            await self._finish(replica_set.epoch)

    async def _keep_size(self, replica_set: ReplicaSet) -> None:
        """Propose the change that the set needs, if it needs any."""
        now = time.monotonic()
        planned = plan_change(
            SetView(
                self.settings.replica_id,
                replica_set,
                {name: now - at for name, at in self.heard_at.items()},
                {one: now - at for one, at in self.candidates.items()},
                self.settings.target_size,
            )
        )
        match planned:
            case SetChange(leaving, joining):
                SET_CHANGE_PROPOSED.write(
                    epoch=replica_set.epoch,
                    leaving=leaving,
                    joining=joining.replica_id if joining else '',
                )
                await self.start(planned)
            case CancelChange(reason):
                SET_CHANGE_TAKEN_BACK.write(
                    epoch=replica_set.epoch,
                    cause=reason,
                )
                await self.cancel()

    async def _form_first_set(self, listed: ReplicaSet) -> None:
        """Form the set of the settings once every replica was seen.

        Only the first replica by name forms it, and only while nobody is
        in a set; its identities tell a replica that lost its disk later.
        """
        if self.settings.bootstrap == 'off':
            return
        found = [self.seen.get(replica.address) for replica in listed.replicas]
        replicas = tuple(sorted(filter(None, found)))
        if len(replicas) < len(listed.replicas):
            return
        if self.settings.replicas and names_of(replicas) != listed.names:
            return
        if replicas[0].replica_id != self.settings.replica_id:
            return
        await self.registers.install(ReplicaSet(FIRST_EPOCH, replicas))

    async def _finish(self, epoch: int) -> None:
        def update(current: ReplicaSet) -> ReplicaSet:
            return finish_change(current, epoch)

        await self._change_set(update)

    async def _change_set(self, update: SetUpdate) -> ReplicaSet:
        known = self.registers.replica_set

        def update_value(value: bytes) -> bytes:
            current = decode_set(value, known)
            if current.epoch > known.epoch:
                return msgspec.msgpack.encode(current)
            return msgspec.msgpack.encode(update(current))

        value = await self.registers.change(REPLICA_SET_KEY, update_value)
        decided = decode_set(value, known)
        await self.registers.install(decided)
        await self._spread(decided)
        return decided

    async def _spread(self, replica_set: ReplicaSet) -> None:
        requests = [
            client.request(InstallSet(replica_set), GREETING_TIMEOUT_S)
            for client in self.registers.clients.values()
        ]
        await asyncio.gather(*requests, return_exceptions=True)

    async def _catch_up(self, replica_set: ReplicaSet) -> None:
        """Merge the registers of a majority of the set before the change.

        Each of them is in the present epoch when it answers, so nothing
        can be decided any more by the old set alone.

        Raises:
            ControlError: If no majority could be read.
        """
        if self.caught_up_epoch == replica_set.epoch:
            return
        read: set[str] = set()
        for replica in replica_set.replicas:
            client = self.registers.clients[replica.replica_id]
            try:
                await self._read_all(client, replica_set.epoch)
            except ControlError as error:
                CATCH_UP_FAILED.write(peer=client.name, cause=str(error))
                continue
            read.add(replica.replica_id)
        if not is_majority(read, replica_set.replicas):
            reason = f'caught up with {len(read)} replicas only'
            raise ControlError(reason, step=STEP)
        self.caught_up_epoch = replica_set.epoch
        CAUGHT_UP.write(epoch=replica_set.epoch, replicas=len(read))

    async def _read_all(self, client: ControlClient, epoch: int) -> None:
        after = ''
        while True:
            reply = await client.request(CatchUp(epoch, after), PAGE_TIMEOUT_S)
            if isinstance(reply, SetReply):
                await self.registers.settle_epochs(client, reply.replica_set)
            if not isinstance(reply, CatchUpPage):
                raise ControlError(
                    'is in another epoch', step=STEP, peer=client.name
                )
            await self.registers.merge(reply.entries)
            if reply.last:
                return
            after = reply.entries[-1][0]

    async def _greet(self, joining: Replica) -> Replica:
        """Return the joining replica with its identity.

        Raises:
            SetChangeError: If it can't be reached or is another one.
        """
        client = ControlClient(
            joining.replica_id, joining.address, self.registers.credentials
        )
        try:
            reply = await client.request(
                InstallSet(ReplicaSet()), GREETING_TIMEOUT_S
            )
        except ControlError as error:
            reason = f'can not be reached: {error.reason}'
            raise SetChangeError(
                reason, step=STEP, peer=joining.replica_id
            ) from error
        finally:
            client.close()
        if not isinstance(reply, SetReply):
            reason = 'unexpected reply'
        elif reply.replica_id != joining.replica_id:
            reason = f'{reply.replica_id} answers at {joining.address}'
        else:
            return msgspec.structs.replace(
                joining, identity=reply.identity, zone=reply.zone
            )
        raise SetChangeError(reason, step=STEP, peer=joining.replica_id)

    def _refuse_late(self) -> None:
        reason = 'another change was decided first'
        raise SetChangeError(reason, step=STEP)

    def _reachable(self) -> frozenset[str]:
        limit = time.monotonic() - REACHABLE_AGE_S
        heard = {name for name, at in self.heard_at.items() if at > limit}
        heard.add(self.settings.replica_id)
        return frozenset(heard)
