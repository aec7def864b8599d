"""Replicated registers of one replica: store, peer clients and proposer."""

from __future__ import annotations

import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import (
    CatchUp,
    CatchUpPage,
    InstallSet,
    PhaseReplies,
    Phases,
    SetReply,
)
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.durable.acceptors import BatchingAcceptor, LocalAcceptor
from burdocklead.durable.files import OsFileLayer
from burdocklead.durable.group_commit import GroupCommit
from burdocklead.durable.identity import open_identity
from burdocklead.durable.proposer import PHASE_TIMEOUT_S, Proposer, Update
from burdocklead.durable.register import (
    Phase,
    PhaseReply,
    Register,
    merge_registers,
)
from burdocklead.durable.register_values import decode_value
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.set_change import decode_set
from burdocklead.durable.store import RegisterStore
from burdocklead.exceptions import ControlError, QuorumError
from burdocklead.log_events import REPLICA_SET
from burdocklead.settings import ControlSettings
from burdocklead.values import Address

IDENTITY_BYTES = 8
LOCAL_SET_KEY = 'local/replica-set'
LOCAL_PREFIX = 'local/'
PAGE_ENTRIES = 500
PAGE_BYTES = 1048576
STEP = 'registers'


@dataclass(frozen=True, slots=True)
class PhaseSender:
    """Sends batches of protocol phases to one replica."""

    client: ControlClient
    service: RegisterService

    async def send(self, phases: tuple[Phase, ...]) -> Sequence[PhaseReply]:
        """Return the replies to a batch.

        Raises:
            ControlError: If the replica is in another epoch or did not answer.
        """
        replica_set = self.service.replica_set
        recipient = replica_set.identity_of(self.client.name)
        message = Phases(replica_set.epoch, phases, recipient)
        reply = await self.client.request(message, PHASE_TIMEOUT_S)
        if isinstance(reply, PhaseReplies):
            return reply.replies
        if isinstance(reply, SetReply):
            await self.service.reconcile_sets(self.client, reply.replica_set)
        raise ControlError(
            'is in another epoch', step='propose', peer=self.client.name
        )


class RegisterService:
    """Reads and changes registers through a quorum of replicas.

    Attributes:
        own_replica: This replica as it is announced to the others.
        replica_set: The newest set known; phases of another epoch are
            refused.
        clients: Clients for the other replicas of the set; before the first
            set, for those in the settings.
    """

    def __init__(
        self, settings: ControlSettings, credentials: PeerCredentials
    ) -> None:
        """Open the data folder and create clients for the other replicas.

        Raises:
            StorageError: If the folder is damaged or belongs to another
                replica.
        """
        self.settings = settings
        self.credentials = credentials
        layer = OsFileLayer()
        self.identity = open_identity(
            layer,
            settings.data_folder,
            settings.replica_id,
            secrets.token_hex(IDENTITY_BYTES),
        )
        self.own_replica = Replica(
            settings.replica_id,
            settings.own_address(),
            self.identity.identity,
            settings.zone,
        )
        self.store = RegisterStore(layer, settings.data_folder)
        self.commits = GroupCommit(self.store)
        self.local = LocalAcceptor(self.commits)
        self.clients: dict[str, ControlClient] = {}
        self.proposer = Proposer(
            f'{settings.replica_id}/{self.identity.identity}',
            self.identity.start,
            ReplicaSet(),
            {},
            read_local=self.commits.read,
        )
        self._use_set(_initial_set(self.store, settings))

    @property
    def replica_set(self) -> ReplicaSet:
        """Return the newest set known."""
        return self.proposer.replicas

    @property
    def is_member(self) -> bool:
        """Return True if this replica, by name and identity, is in the set."""
        own = self.replica_set.find(self.settings.replica_id)
        if own is None or not self.replica_set.epoch:
            return False
        return own.identity == self.identity.identity

    async def handle(self, message: Phases) -> PhaseReplies | SetReply:
        """Return the replies to a batch from another replica.

        A batch of another epoch is refused: the reply is the set known here.

        Raises:
            ControlError: If this replica is not in the set, or the batch is
                for the one that had its address before.
        """
        if message.epoch != self.replica_set.epoch:
            return self.describe()
        self._check_recipient(message)
        return PhaseReplies(await self.local.reply_to(message.phases))

    def describe(self) -> SetReply:
        """Return the identity of this replica and the newest set known."""
        return SetReply(
            self.settings.replica_id,
            self.identity.identity,
            self.replica_set,
            self.settings.zone,
        )

    async def install(self, replica_set: ReplicaSet) -> None:
        """Adopt a set if it is newer, once it is synced to disk.

        A replica that answered in an epoch must not return to an older one
        when it starts again.

        Raises:
            StorageError: If it could not be written; the set stays in use.
        """
        written = decode_set(
            self.commits.read(LOCAL_SET_KEY).value, self.replica_set
        )
        if replica_set.epoch <= written.epoch:
            return
        value = msgspec.msgpack.encode(replica_set)
        await self.commits.write({LOCAL_SET_KEY: Register(value=value)})
        if replica_set.epoch <= self.replica_set.epoch:
            return
        self._use_set(replica_set)
        names = ', '.join(sorted(replica_set.names))
        REPLICA_SET.write(epoch=replica_set.epoch, replicas=names)

    async def reconcile_sets(
        self, client: ControlClient, other: ReplicaSet
    ) -> None:
        """Make this replica and another one adopt the newer of their sets."""
        await self.install(other)
        if other.epoch < self.replica_set.epoch:
            await client.request(InstallSet(self.replica_set), PHASE_TIMEOUT_S)

    async def change(
        self, key: str, update: Update, *, maybe_new: bool = False
    ) -> bytes:
        """Change a register and return its new value.

        Raises:
            QuorumError: If no quorum answered or this replica is not in the
                set.
        """
        self._check_can_propose()
        return await self.proposer.change(key, update, maybe_new=maybe_new)

    async def read(self, key: str) -> bytes:
        """Return the newest chosen value of a register.

        Raises:
            QuorumError: If no quorum answered or this replica is not in the
                set.
        """
        self._check_can_propose()
        return await self.proposer.read(key)

    async def catch_up_page(self, message: CatchUp) -> CatchUpPage | SetReply:
        """Return a page of registers for a replica that catches up.

        Changes accepted in an earlier epoch are synced before the page is
        built, because they were written before the set of this epoch.

        Raises:
            ControlError: As for a batch.
        """
        if message.epoch != self.replica_set.epoch:
            return self.describe()
        self._check_recipient(message)
        await self.commits.write({})
        registers = self.store.registers
        keys = sorted(
            key
            for key in registers
            if key > message.after and not key.startswith(LOCAL_PREFIX)
        )
        entries: list[tuple[str, Register]] = []
        size = 0
        for key in keys[:PAGE_ENTRIES]:
            entries.append((key, registers[key]))
            size += len(registers[key].value)
            if size > PAGE_BYTES:
                break
        return CatchUpPage(tuple(entries), last=len(entries) == len(keys))

    async def merge(self, entries: Sequence[tuple[str, Register]]) -> None:
        """Merge registers of another replica; they are synced on return."""
        changes: dict[str, Register] = {}
        for key, register in entries:
            changes[key] = merge_registers(self.commits.read(key), register)
        await self.commits.write(changes)

    async def close(self) -> None:
        """Wait for pending commits and close the store."""
        await self.commits.close()

    def _check_can_propose(self) -> None:
        if not self.is_member:
            raise QuorumError('this replica is not in the set', step=STEP)

    def _check_recipient(self, message: Phases | CatchUp) -> None:
        reason = ''
        if not self.is_member:
            reason = 'this replica is not in the set; add it under a new name'
        elif message.recipient != self.identity.identity:
            reason = 'another replica had this address before'
        if reason:
            raise ControlError(reason, step=STEP, peer=self.settings.replica_id)

    def _use_set(self, replica_set: ReplicaSet) -> None:
        replicas = (*replica_set.replicas, *replica_set.following)
        wanted = {
            replica.replica_id: replica.address
            for replica in replicas
            if replica.replica_id != self.settings.replica_id
        }
        for name, client in list(self.clients.items()):
            if wanted.get(name) != client.address:
                client.close()
                self.clients.pop(name)
        for name, address in wanted.items():
            if name not in self.clients:
                self.clients[name] = ControlClient(
                    name, address, self.credentials
                )
        self.proposer.use_replica_set(replica_set, self._acceptors())

    def _acceptors(self) -> Mapping[str, LocalAcceptor | BatchingAcceptor]:
        acceptors: dict[str, LocalAcceptor | BatchingAcceptor] = {
            name: BatchingAcceptor(name, PhaseSender(client, self).send)
            for name, client in self.clients.items()
        }
        acceptors[self.settings.replica_id] = self.local
        return acceptors


def _initial_set(store: RegisterStore, settings: ControlSettings) -> ReplicaSet:
    value = store.read(LOCAL_SET_KEY).value
    if value:
        return decode_value(value, ReplicaSet, LOCAL_SET_KEY)
    return ReplicaSet(
        replicas=tuple(
            Replica(name, address)
            for name, address in _configured_replicas(settings)
        )
    )


def _configured_replicas(
    settings: ControlSettings,
) -> tuple[tuple[str, Address], ...]:
    """Return the names and addresses of the replicas in the settings.

    A seed has a placeholder name until it reports its real one.
    """
    if settings.replicas:
        return settings.replicas
    return tuple(
        (
            settings.replica_id
            if address == settings.own_address()
            else f'seed-{address}',
            address,
        )
        for address in settings.seeds
    )
