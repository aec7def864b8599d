"""The registers of one replica: its store, its peers and its proposer."""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from dataclasses import dataclass

from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import PhaseReplies, Phases
from burdocklead.connection.peer_access import PeerAccess
from burdocklead.durable.acceptors import BatchingAcceptor, LocalAcceptor
from burdocklead.durable.files import OsFileLayer
from burdocklead.durable.group_commit import GroupCommit
from burdocklead.durable.identity import open_identity
from burdocklead.durable.proposer import PHASE_TIMEOUT_S, Proposer, Update
from burdocklead.durable.register import Phase, PhaseReply
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.store import RegisterStore
from burdocklead.exceptions import ControlError
from burdocklead.settings import ControlSettings

IDENTITY_BYTES = 8


@dataclass(frozen=True, slots=True)
class PhaseSender:
    """Sends batches of phases to one replica."""

    client: ControlClient

    async def send(self, phases: tuple[Phase, ...]) -> Sequence[PhaseReply]:
        """Return the replies to a batch.

        Raises:
            ControlError: If the replica did not answer as expected.
        """
        reply = await self.client.request(Phases(phases), PHASE_TIMEOUT_S)
        if isinstance(reply, PhaseReplies):
            return reply.replies
        raise ControlError(
            'unexpected reply', step='propose', peer=self.client.name
        )


class RegisterService:
    """Registers that change through a quorum of replicas."""

    def __init__(self, settings: ControlSettings, access: PeerAccess) -> None:
        """Open the data folder and prepare clients of other replicas.

        Raises:
            StorageError: If the folder is damaged or another replica's.
        """
        layer = OsFileLayer()
        self.identity = open_identity(
            layer,
            settings.data_folder,
            settings.replica_id,
            secrets.token_hex(IDENTITY_BYTES),
        )
        self.store = RegisterStore(layer, settings.data_folder)
        self.commits = GroupCommit(self.store)
        self.local = LocalAcceptor(self.commits)
        self.clients = {
            name: ControlClient(name, address, access)
            for name, address in settings.replicas
            if name != settings.replica_id
        }
        acceptors = {
            name: BatchingAcceptor(name, PhaseSender(client).send)
            for name, client in self.clients.items()
        }
        self.proposer = Proposer(
            settings.replica_id,
            self.identity.start,
            ReplicaSet(
                replicas=tuple(
                    Replica(name, address)
                    for name, address in settings.replicas
                )
            ),
            {settings.replica_id: self.local, **acceptors},
        )

    async def handle(self, message: Phases) -> PhaseReplies:
        """Return the replies to a batch of another replica."""
        return PhaseReplies(await self.local.reply_to(message.phases))

    async def change(
        self, key: str, update: Update, *, maybe_new: bool = False
    ) -> bytes:
        """Return the value of a register after a change."""
        return await self.proposer.change(key, update, maybe_new=maybe_new)

    async def close(self) -> None:
        """Wait for pending commits and close the file."""
        await self.commits.close()
