"""Changes of the replica set: first set, planned changes and catch-up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import (
    CatchUp,
    CatchUpPage,
    InstallSet,
    SetReply,
)
from burdocklead.connection.replica_description import (
    describe_replica,
    is_without_set,
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
INSTALL_TIMEOUT_S = 2.0
REACHABLE_AGE_S = 2.0
FIRST_EPOCH = 1
CANDIDATE_MEMORY_S = 60
STEP = 'replica set'
SetUpdate = Callable[[ReplicaSet], ReplicaSet]


class ReplicaSetManager:
    """Forms the first replica set and carries out changes of the set.

    Attributes:
        discovered: Replicas found before the first set, by address.
        candidates: Monotonic time in s of the last exchange request from each
            replica.
        last_reply_at: Monotonic time in s of the last reply of each replica.
        caught_up_epoch: Epoch for which this replica has caught up.
    """

    def __init__(
        self, registers: RegisterService, last_reply_at: dict[str, float]
    ) -> None:
        """Manage the replica set of a register service."""
        self.registers = registers
        self.settings = registers.settings
        self.last_reply_at = last_reply_at
        own = registers.own_replica
        self.discovered = {own.address: own}
        self.candidates: dict[Replica, float] = {}
        self.caught_up_epoch = 0

    async def run_forever(self) -> None:
        """Form the first set and advance changes until cancelled."""
        while True:
            try:
                await self._reconcile()
            except BurdockleadError as error:
                SET_CHANGE_WAITS.write(cause=str(error))
            await asyncio.sleep(self.settings.exchange_interval)

    def observe_replica(
        self, replica: Replica, replica_set: ReplicaSet
    ) -> None:
        """Record a replica that is in no set yet."""
        if not replica_set.epoch:
            self.discovered[replica.address] = replica

    async def start(self, change: SetChange) -> ReplicaSet:
        """Start a change and return the set with the change in progress.

        Raises:
            SetChangeError: If the change is refused.
            QuorumError: If no quorum answered; the change may still start.
        """
        reachable = self._reachable()
        joining = change.joining
        if joining is not None:
            joining = await self._identify(joining)
            reachable |= {joining.replica_id}
        identified = SetChange(change.leaving, joining)

        def update(current: ReplicaSet) -> ReplicaSet:
            return start_change(current, identified, reachable)

        decided = await self._update_set(update)
        target_names = names_of(decided.following or decided.replicas)
        if joining is not None and joining.replica_id not in target_names:
            _raise_superseded()
        if change.leaving in target_names:
            _raise_superseded()
        return decided

    async def cancel(self) -> ReplicaSet:
        """Cancel the change in progress and return the set in force.

        Raises:
            SetChangeError: If no change is in progress.
            QuorumError: If no quorum answered.
        """
        return await self._update_set(cancel_change)

    async def _reconcile(self) -> None:
        replica_set = self.registers.replica_set
        _forget_silent(self.candidates)
        if not replica_set.epoch:
            await self._form_first_set(replica_set)
            return
        self.discovered.clear()
        if not self.registers.is_member:
            return
        newer = await _read_newer_set(self.registers)
        if newer is not None:
            await self._install(newer)
            return
        if self.settings.target_size:
            await self._maintain_size(replica_set)
        if not replica_set.following:
            return
        joining = names_of(replica_set.joining())
        if not joining:
            await self._finish(replica_set.epoch)
        elif self.settings.replica_id in joining:
            await self._catch_up(replica_set)
            await self._finish(replica_set.epoch)

    async def _maintain_size(self, replica_set: ReplicaSet) -> None:
        """Start or cancel the change that ``plan_change`` returns, if any."""
        now = time.monotonic()
        planned = plan_change(
            SetView(
                self.settings.replica_id,
                replica_set,
                {name: now - at for name, at in self.last_reply_at.items()},
                {replica: now - at for replica, at in self.candidates.items()},
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

    async def _form_first_set(self, configured: ReplicaSet) -> None:
        """Form the set of the settings once every replica was discovered.

        Only the first replica by name forms it, and only while no replica is
        in a set. The identities in the set later reveal a replica that lost
        its disk.
        """
        if self.settings.bootstrap == 'off':
            return
        found = [
            self.discovered.get(replica.address)
            for replica in configured.replicas
        ]
        replicas = tuple(sorted(filter(None, found)))
        if len(replicas) < len(configured.replicas):
            return
        if self.settings.replicas and names_of(replicas) != configured.names:
            return
        if replicas[0].replica_id != self.settings.replica_id:
            return
        if await self._all_without_set(replicas):
            await self.registers.install(ReplicaSet(FIRST_EPOCH, replicas))

    async def _all_without_set(self, replicas: tuple[Replica, ...]) -> bool:
        """Return True if every replica still runs and is in no set.

        One that was discovered earlier may have formed a set since with a
        replica that then lost its disk and was discovered again.
        """
        credentials = self.registers.credentials
        asked = [
            is_without_set(replica, credentials)
            for replica in replicas
            if replica != self.registers.own_replica
        ]
        without_set = await asyncio.gather(*asked)
        return all(without_set) and not self.registers.replica_set.epoch

    async def _finish(self, epoch: int) -> None:
        def update(current: ReplicaSet) -> ReplicaSet:
            return finish_change(current, epoch)

        await self._update_set(update)

    async def _update_set(self, update: SetUpdate) -> ReplicaSet:
        known = self.registers.replica_set

        def update_value(value: bytes) -> bytes:
            current = decode_set(value, known)
            if current.epoch > known.epoch:
                return msgspec.msgpack.encode(current)
            return msgspec.msgpack.encode(update(current))

        value = await self.registers.change(REPLICA_SET_KEY, update_value)
        decided = decode_set(value, known)
        await self._install(decided)
        return decided

    async def _install(self, replica_set: ReplicaSet) -> None:
        """Install a decided set here and at the other replicas."""
        await self.registers.install(replica_set)
        requests = [
            client.request(InstallSet(replica_set), INSTALL_TIMEOUT_S)
            for client in self.registers.clients.values()
        ]
        await asyncio.gather(*requests, return_exceptions=True)

    async def _catch_up(self, replica_set: ReplicaSet) -> None:
        """Merge the registers of a majority of the set before the change.

        Each of these replicas answers in the current epoch, so the old set
        alone can no longer decide anything.

        Raises:
            ControlError: If no majority could be read, or another set came
                into force meanwhile.
        """
        if self.caught_up_epoch == replica_set.epoch:
            return
        read: set[str] = set()
        for replica in replica_set.replicas:
            client = self.registers.clients.get(replica.replica_id)
            if client is None:
                raise ControlError(
                    'the set changed while this replica caught up',
                    step=STEP,
                    peer=replica.replica_id,
                )
            try:
                await self._read_all(client, replica_set)
            except ControlError as error:
                CATCH_UP_FAILED.write(peer=client.name, cause=str(error))
                continue
            read.add(replica.replica_id)
        if not is_majority(read, replica_set.replicas):
            reason = f'caught up with {len(read)} replicas only'
            raise ControlError(reason, step=STEP)
        self.caught_up_epoch = replica_set.epoch
        CAUGHT_UP.write(epoch=replica_set.epoch, replicas=len(read))

    async def _read_all(
        self, client: ControlClient, replica_set: ReplicaSet
    ) -> None:
        recipient = replica_set.identity_of(client.name)
        after = ''
        while True:
            message = CatchUp(replica_set.epoch, after, recipient)
            reply = await client.request(message, PAGE_TIMEOUT_S)
            if isinstance(reply, SetReply):
                await self.registers.reconcile_sets(client, reply.replica_set)
            if not isinstance(reply, CatchUpPage):
                raise ControlError(
                    'is in another epoch', step=STEP, peer=client.name
                )
            await self.registers.merge(reply.entries)
            if reply.last:
                return
            after = reply.entries[-1][0]

    async def _identify(self, joining: Replica) -> Replica:
        """Ask the joining replica for its identity and zone.

        Raises:
            SetChangeError: If the replica can't be reached or has another
                name.
        """
        try:
            reply = await describe_replica(joining, self.registers.credentials)
        except ControlError as error:
            reason = f'can not be reached: {error.reason}'
            raise SetChangeError(
                reason, step=STEP, peer=joining.replica_id
            ) from error
        if reply.replica_id != joining.replica_id:
            reason = f'{reply.replica_id} answers at {joining.address}'
            raise SetChangeError(reason, step=STEP, peer=joining.replica_id)
        return msgspec.structs.replace(
            joining, identity=reply.identity, zone=reply.zone
        )

    def _reachable(self) -> frozenset[str]:
        limit = time.monotonic() - REACHABLE_AGE_S
        reachable = {
            name for name, at in self.last_reply_at.items() if at > limit
        }
        reachable.add(self.settings.replica_id)
        return frozenset(reachable)


async def _read_newer_set(registers: RegisterService) -> ReplicaSet | None:
    """Return a newer set that was decided, if the own register holds one.

    The replica that had it decided may have stopped before it announced it.
    What the register holds may not be decided.
    """
    known = registers.replica_set
    held = registers.commits.read(REPLICA_SET_KEY)
    if decode_set(held.value, known).epoch <= known.epoch:
        return None
    decided = decode_set(await registers.read(REPLICA_SET_KEY), known)
    return decided if decided.epoch > known.epoch else None


def _forget_silent(candidates: dict[Replica, float]) -> None:
    """Drop candidates that are silent for long.

    A replica that loses its disk comes back as another candidate.
    """
    oldest = time.monotonic() - CANDIDATE_MEMORY_S
    for replica, heard_at in tuple(candidates.items()):
        if heard_at < oldest:
            candidates.pop(replica)


def _raise_superseded() -> None:
    reason = 'another change was decided first'
    raise SetChangeError(reason, step=STEP)
